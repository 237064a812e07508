package exchanger

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core/placer"
)

// maxRetryAfter is the longest time for which an upstream can keep requests away with one
// response. Beyond it a wrong value would cost the upstream for good, while a right one is
// stated again by the next refusal.
const maxRetryAfter = 10 * time.Minute

// leavingValue is the value of the Leaving field of an upstream that drains.
const leavingValue = "1"

// availabilityOf returns what a response says about further requests. A Retry-After counts
// only in a response with status 503.
func (e *Exchanger) availabilityOf(response *fasthttp.Response) placer.Availability {
	said := placer.Availability{IsLeaving: e.saysLeaving(response)}
	if response.StatusCode() == fasthttp.StatusServiceUnavailable {
		said.RetryAfter, said.Finding = parseRetryAfter(response.Header.PeekAll(fasthttp.HeaderRetryAfter))
	}
	return said
}

func (e *Exchanger) saysLeaving(response *fasthttp.Response) bool {
	return strings.TrimSpace(string(response.Header.Peek(e.HeaderNames.Leaving))) == leavingValue
}

// notifyLeaving calls OnLeaving if the head of the response to an attempt says that the
// upstream drains. The result of the attempt says it too, but only after the body, or if that
// is long, its first part.
func (e *Exchanger) notifyLeaving(response *fasthttp.Response, attempt Attempt) {
	isOwn := e.matches(response, attempt) && response.StatusCode() != fasthttp.StatusMisdirectedRequest
	if e.OnLeaving != nil && isOwn && e.saysLeaving(response) {
		e.OnLeaving(attempt.Upstream)
	}
}

// parseRetryAfter parses the values of the Retry-After field. Each should be one number of
// seconds, perhaps with a fraction, and there should be at most one. Of several numbers the
// longest counts. Other values, such as dates, are left out and reported as a finding, and
// so is a time longer than maxRetryAfter, which counts as that.
func parseRetryAfter(values [][]byte) (longest time.Duration, finding string) {
	var findings []string
	for _, value := range values {
		text := strings.TrimSpace(string(value))
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(seconds) || seconds < 0 {
			findings = append(findings, "not a number of seconds: "+strconv.Quote(text[:min(len(text), maxQuotedBytes)]))
			continue
		}
		if seconds > maxRetryAfter.Seconds() {
			findings = append(findings, fmt.Sprintf("longer than %v, which counts", maxRetryAfter))
			seconds = maxRetryAfter.Seconds()
		}
		longest = max(longest, time.Duration(seconds*float64(time.Second)))
	}
	if len(values) > 1 {
		findings = append(findings, fmt.Sprintf("stated %d times, the longest counts", len(values)))
	}
	return longest, strings.Join(findings, "; ")
}
