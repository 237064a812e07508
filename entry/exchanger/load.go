package exchanger

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
)

const (
	// minLoadFigures is the number of figures that every Load field has, and slownessFigure the
	// index of the one that follows.
	minLoadFigures = 3
	slownessFigure = 3
	// usualPercent is the slowness of a machine that runs at its usual speed, and
	// maxSlownessPercent the largest one that is believed.
	usualPercent       = 100
	maxSlownessPercent = 1_000_000
)

// parseLoad parses the values of the Load field, of which there should be at most one: running
// requests, waiting requests and slots, perhaps the slowness of the machine in percent, and
// perhaps more, separated by commas. It returns nil and a finding if one of the first three
// cannot be read or is larger than the number of slots that an upstream can have. A slowness that
// cannot be read is a finding too, and the rest counts.
func parseLoad(values [][]byte) (*placer.Load, string) {
	if len(values) == 0 {
		return nil, ""
	}
	text := string(values[0])
	if len(values) > 1 {
		return nil, fmt.Sprintf("stated %d times", len(values))
	}
	parts := strings.Split(text, ",")
	if len(parts) < minLoadFigures {
		return nil, "too few figures: " + quoteStart(text)
	}
	var figures [minLoadFigures]int
	for i := range figures {
		n, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || n < 0 || n > core.MaxSlots {
			return nil, "not a number of requests: " + quoteStart(parts[i])
		}
		figures[i] = n
	}
	load := &placer.Load{Running: figures[0], Waiting: figures[1], Slots: figures[2]}
	if len(parts) <= slownessFigure {
		return load, ""
	}
	percent, err := strconv.ParseFloat(strings.TrimSpace(parts[slownessFigure]), 64)
	if err != nil || !(percent > 0 && percent <= maxSlownessPercent) {
		return load, "not a slowness in percent: " + quoteStart(parts[slownessFigure])
	}
	load.Slowness = percent / usualPercent
	return load, ""
}

// quoteStart quotes the start of an invalid value.
func quoteStart(text string) string {
	return strconv.Quote(text[:min(len(text), maxQuotedBytes)])
}
