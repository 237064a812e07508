package exchanger_test

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
)

// TestRateLimitOfResponses guards against a named limit that a response states in an
// unusual way: it must cost no more than a finding, and must never count as no limit.
func TestRateLimitOfResponses(t *testing.T) {
	tests := []struct {
		name       string
		header     string
		statement  placer.LimitStatement
		rate       core.RequestRate
		hasFinding bool
	}{
		{"none", "", placer.NoLimit, 0, false},
		{"a decimal number", "Rate-Limit: 8.6\r\n", placer.Limited, 8.6, false},
		{"zero", "Rate-Limit: 0\r\n", placer.Limited, 0, false},
		{"huge", "Rate-Limit: 1e300\r\n", placer.Limited, 1e300, false},
		{"with spaces", "Rate-Limit:  \t12 \r\n", placer.Limited, 12, false},
		{"empty", "Rate-Limit:\r\n", placer.LimitUnreadable, 0, true},
		{"negative", "Rate-Limit: -1\r\n", placer.LimitUnreadable, 0, true},
		{"two dots", "Rate-Limit: 8.6.1\r\n", placer.LimitUnreadable, 0, true},
		{"infinite", "Rate-Limit: inf\r\n", placer.LimitUnreadable, 0, true},
		{"not a number", "Rate-Limit: nan\r\n", placer.LimitUnreadable, 0, true},
		{"out of range", "Rate-Limit: 1e999\r\n", placer.LimitUnreadable, 0, true},
		{"long", "Rate-Limit: " + strings.Repeat("x", 1000) + "\r\n", placer.LimitUnreadable, 0, true},
		{"twice", "Rate-Limit: 9\r\nRate-Limit: 4\r\n", placer.Limited, 4, true},
		{"once valid, once not", "Rate-Limit: x\r\nRate-Limit: 4\r\n", placer.Limited, 4, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			upstream := serve(t, reply(okHead+tt.header+"Content-Length: 2\r\n\r\nok"))
			e := newExchanger()
			e.HeaderNames.RateLimit = "Rate-Limit"
			result := e.Do(context.Background(), attempt(upstream, "x"))
			defer result.Close()
			is.Equal(result.State, core.Answered)
			limit := result.Report.RateLimit
			is.Equal(limit.Statement, tt.statement)
			is.Equal(limit.Rate, tt.rate)
			is.Equal(limit.Finding != "", tt.hasFinding)
			is.True(len(limit.Finding) < 200)
		})
	}
}

// TestRateLimitOfAnotherUpstream guards against a limit that is attributed to the wrong
// upstream, because another one answers at a reused address.
func TestRateLimitOfAnotherUpstream(t *testing.T) {
	is := is.New(t)
	upstream := serve(t, reply("HTTP/1.1 421 No\r\nRequest-Id: id-1\r\nRate-Limit: 4\r\nContent-Length: 0\r\n\r\n"))
	e := newExchanger()
	e.HeaderNames.RateLimit = "Rate-Limit"
	result := e.Do(context.Background(), attempt(upstream, "x"))
	defer result.Close()
	is.Equal(result.Report.Outcome, placer.Misdirected)
	is.Equal(result.Report.RateLimit.Statement, placer.LimitNotStated)
}
