package exchanger

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
)

// maxQuotedBytes limits how much of an invalid value a finding quotes.
const maxQuotedBytes = 40

// parseRateLimit parses the values of the RateLimit field. Each should be one decimal
// number of at least 0, and there should be at most one. Of several numbers the lowest
// counts. Values that are not such numbers are left out and reported as a finding.
func parseRateLimit(values [][]byte) placer.RateLimit {
	if len(values) == 0 {
		return placer.RateLimit{Statement: placer.NoLimit}
	}
	limit := placer.RateLimit{Statement: placer.LimitUnreadable}
	var invalid []string
	for _, value := range values {
		rate, ok := parseRate(string(value))
		if !ok {
			invalid = append(invalid, strconv.Quote(string(value[:min(len(value), maxQuotedBytes)])))
			continue
		}
		if limit.Statement != placer.Limited || rate < limit.Rate {
			limit = placer.RateLimit{Statement: placer.Limited, Rate: rate}
		}
	}
	switch {
	case len(invalid) > 0:
		limit.Finding = "not a number of requests a second: " + strings.Join(invalid, ", ")
	case len(values) > 1:
		limit.Finding = fmt.Sprintf("named %d times, the lowest counts", len(values))
	}
	return limit
}

// parseRate parses a finite number of at least 0.
func parseRate(text string) (core.RequestRate, bool) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, false
	}
	return core.RequestRate(rate), true
}
