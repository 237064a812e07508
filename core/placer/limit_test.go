package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/placer"
)

// limited returns the report of a response that names a limit.
func limited(rate core.RequestRate) placer.Report {
	return placer.Report{Outcome: placer.Done, RateLimit: placer.RateLimit{Statement: placer.Limited, Rate: rate}}
}

// unlimited returns the report of a response without a limit.
func unlimited(outcome placer.Outcome) placer.Report {
	return placer.Report{Outcome: outcome, RateLimit: placer.RateLimit{Statement: placer.NoLimit}}
}

// TestLimitOfResponses guards against a limit that is missed, or that an older response, a
// failure or an unreadable value ends or raises. Each response is to a request that was
// sent at the given time, in seconds; the responses arrive in order.
func TestLimitOfResponses(t *testing.T) {
	type response struct {
		sentAt, arrivesAt float64
		report            placer.Report
	}
	unreadable := placer.Report{RateLimit: placer.RateLimit{Statement: placer.LimitUnreadable, Finding: "not a number"}}
	tests := []struct {
		name      string
		responses []response
		inForce   bool
		rate      core.RequestRate
		changes   int
	}{
		{"named", []response{{0, 1, limited(8.6)}}, true, 8.6, 1},
		{"none named", []response{{0, 1, unlimited(placer.Done)}}, false, 0, 0},
		{"named again", []response{{0, 1, limited(8.6)}, {1, 2, limited(8.6)}}, true, 8.6, 1},
		{"lowered by a response of any age", []response{{0, 2, limited(8.6)}, {1, 3, limited(4)}}, true, 4, 2},
		{"raised by a later response", []response{{0, 1, limited(4)}, {1.5, 2, limited(8.6)}}, true, 8.6, 2},
		{"not raised by an older response", []response{{0, 2, limited(4)}, {1, 3, limited(8.6)}}, true, 4, 1},
		{"ended by a later response", []response{{0, 1, limited(4)}, {1.5, 2, unlimited(placer.Done)}}, false, 0, 2},
		{"not ended by an older response", []response{{0, 2, limited(4)}, {1, 3, unlimited(placer.Done)}}, true, 4, 1},
		{"not ended by a failure", []response{{0, 1, limited(4)}, {1.5, 2, unlimited(placer.Failed)}}, true, 4, 1},
		{"not ended by an unreadable value", []response{{0, 1, limited(4)}, {1.5, 2, unreadable}}, true, 4, 2},
		{"unreadable from the start", []response{{0, 1, unreadable}, {1, 2, unreadable}}, false, 0, 1},
		{"unchanged without a response", []response{{0, 1, limited(4)}, {2, 3, placer.Report{Outcome: placer.Broken}}}, true, 4, 1},
		{"none taken", []response{{0, 1, limited(0)}}, true, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newPlacer("slz-a", upstreamsIn(1, "slz-a"))
			var last placer.KnownLimit
			changes := 0
			p.OnLimitChange = func(change placer.LimitChange) {
				last = change.Limit
				changes++
			}
			choices := make([]placer.Choice, len(tt.responses))
			for i, r := range tt.responses {
				choice, ok := p.Choose(query("1"), at(r.sentAt))
				is.True(ok)
				choices[i] = choice
			}
			for i, r := range tt.responses {
				p.Report(choices[i], r.report, at(r.arrivesAt))
			}
			is.Equal(changes, tt.changes)
			is.Equal(last.InForce, tt.inForce)
			is.Equal(last.Rate, tt.rate)
			is.Equal(p.LimitedUpstreams() == 1, tt.inForce)
		})
	}
}

// at returns the time a number of seconds after start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// TestLimitEndsWithItsIncarnation guards against a limit that outlives the process that
// named it: one that starts again under the same name knows nothing of it.
func TestLimitEndsWithItsIncarnation(t *testing.T) {
	is := is.New(t)
	list := upstreamsIn(1, "slz-a")
	p := newPlacer("slz-a", list)
	choice, ok := p.Choose(query("1"), start)
	is.True(ok)
	p.Report(choice, limited(8.6), at(1))
	is.Equal(p.LimitedUpstreams(), 1)
	list[0].Incarnation++
	p.SetUpstreams(list, at(2))
	is.Equal(p.LimitedUpstreams(), 0)
	p.Report(choice, limited(8.6), at(3))
	is.Equal(p.LimitedUpstreams(), 0)
}

// TestLimitUseIsCounted checks that the use of limited upstreams is reported once, with
// first attempts and repeats.
func TestLimitUseIsCounted(t *testing.T) {
	is := is.New(t)
	p := newPlacer("slz-a", upstreamsIn(1, "slz-a"))
	choice, ok := p.Choose(query("1"), start)
	is.True(ok)
	p.Report(choice, limited(8.6), at(1))
	repeat := query("1")
	repeat.Exclude = []core.UpstreamName{"another"}
	_, ok = p.Choose(repeat, at(2))
	is.True(ok)
	use := p.TakeLimitUse()
	is.Equal(len(use), 1)
	is.Equal([]int{use[0].Sent, use[0].Repeats}, []int{2, 1})
	is.Equal(use[0].Limit.Rate, core.RequestRate(8.6))
	is.Equal(len(p.TakeLimitUse()), 0)
}

// TestNamedLimitOverAllHosts guards against an upstream that names a rate limit and goes on
// getting its usual requests, because each host places them as if it had named none.
func TestNamedLimitOverAllHosts(t *testing.T) {
	tests := []struct {
		name       string
		deployment deployment
		rate       core.RequestRate
	}{
		{"few hosts", smallDeployment, 8.6},
		{"few hosts, a limit below their number", smallDeployment, 2},
		{"many hosts, less than a hundredth each", largeDeployment, 1.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newLimitFleet(tt.deployment)
			f.limit(0, tt.rate, 4, 24)
			f.limit(7, tt.rate, 4, 24)
			f.run(24)
			f.checkLimits(t)
		})
	}
}
