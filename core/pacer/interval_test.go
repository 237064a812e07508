package pacer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/pacer"
)

// newHosts returns the pacers of a number of hosts that know each other. Every third is in
// the region "near".
func newHosts(n int) []*pacer.Pacer {
	peers := make([]core.Host, n)
	for i := range peers {
		peers[i].Name = core.HostName(fmt.Sprintf("host-%d", i))
		if i%3 == 0 {
			peers[i].Zone.Region = "near"
		}
	}
	hosts := make([]*pacer.Pacer, n)
	for i, self := range peers {
		hosts[i] = &pacer.Pacer{Self: self.Name}
		hosts[i].SetHosts(peers)
	}
	return hosts
}

// namedHosts returns hosts with the given names.
func namedHosts(names ...core.HostName) []core.Host {
	hosts := make([]core.Host, len(names))
	for i, name := range names {
		hosts[i].Name = name
	}
	return hosts
}

// TestIntervalsKeepLimitOverAllHosts lets every host send to one upstream as often as its
// interval allows. All hosts together must neither exceed the limit on average nor, in any
// 4 s, one and a half times the limit and 5 requests.
func TestIntervalsKeepLimitOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := core.RequestRate(rapid.Float64Range(0, 60).Draw(t, "limit"))
		hosts := newHosts(rapid.IntRange(1, 400).Draw(t, "hosts"))
		const window = 4.0
		var average, burst float64
		for _, h := range hosts {
			interval, ok := h.Interval("upstream", "near", limit)
			if !ok {
				continue
			}
			average += 1 / interval.Seconds()
			burst += 1 + window/interval.Seconds()
		}
		if floor := 0.1; average > max(float64(limit), floor)*1.001 {
			t.Fatalf("%d hosts may send %v a second, limit %v", len(hosts), average, limit)
		}
		if average < 0.99*float64(limit) {
			t.Fatalf("%d hosts may send only %v a second, limit %v", len(hosts), average, limit)
		}
		if allowed := 1.5*window*float64(limit) + 5; burst > allowed {
			t.Fatalf("%d hosts may send %v in %v s, allowed %v", len(hosts), burst, window, allowed)
		}
	})
}

// TestIntervalOfUnusualLimits checks limits at the ends of their range: no time may be
// negative or endless.
func TestIntervalOfUnusualLimits(t *testing.T) {
	tests := []struct {
		limit core.RequestRate
		want  time.Duration
	}{
		{0, 10 * time.Second},
		{1e-9, 10 * time.Second},
		{2, 500 * time.Millisecond},
		{1e300, 0},
	}
	for _, tt := range tests {
		is := is.New(t)
		interval, ok := newHosts(1)[0].Interval("upstream", "near", tt.limit)
		is.True(ok)
		is.Equal(interval, tt.want)
	}
}

// TestNoIntervalWithoutHosts checks that a host that does not know the other hosts, and so
// cannot know its share, sends nothing to an upstream with a limit.
func TestNoIntervalWithoutHosts(t *testing.T) {
	is := is.New(t)
	p := &pacer.Pacer{Self: "host-1"}
	_, ok := p.Interval("upstream", "near", 8.6)
	is.True(!ok)
	p.SetHosts(namedHosts("host-1"))
	_, ok = p.Interval("upstream", "near", 8.6)
	is.True(ok)
}

// TestIntervalFollowsHosts checks that a host that leaves hands its share to the others.
func TestIntervalFollowsHosts(t *testing.T) {
	is := is.New(t)
	p := &pacer.Pacer{Self: "a"}
	p.SetHosts(namedHosts("a", "b"))
	before, _ := p.Interval("upstream", "near", 2)
	p.SetHosts(namedHosts("a"))
	after, _ := p.Interval("upstream", "near", 2)
	is.Equal(before, 2*after)
}
