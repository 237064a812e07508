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

// TestColdUpstreamOverAllHosts lets every host send requests to one cold upstream
// as fast as it is allowed to. All hosts together must not exceed the limit in
// any second.
func TestColdUpstreamOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 40).Draw(t, "rate")
		const overage, slack = 1.5, 5.0
		names := make([]core.HostName, rapid.IntRange(1, 120).Draw(t, "hosts"))
		for i := range names {
			names[i] = core.HostName(fmt.Sprintf("host-%d", i))
		}
		hosts := make([]*pacer.Pacer, len(names))
		for i, name := range names {
			hosts[i] = &pacer.Pacer{Self: name, RateMultiplier: overage, Burst: slack}
			hosts[i].SetHosts(namedHosts(names...))
		}
		var sent []time.Time
		start := time.Unix(1000, 0)
		for step := range 40 {
			now := start.Add(time.Duration(step) * 50 * time.Millisecond)
			for _, h := range hosts {
				if h.Allow("upstream", rate, 0, now) {
					sent = append(sent, now)
				}
			}
		}
		for i, from := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(from) < time.Second {
					n++
				}
			}
			if float64(n) > rate*overage+slack {
				t.Fatalf("%d hosts sent %d in a second, bound %v", len(hosts), n, rate*overage+slack)
			}
		}
	})
}

// TestColdUpstreamGetsRequestsOfManyHosts guards against a cold upstream that gets
// no requests because there are more hosts than requests allowed in a second, so
// that the share of each host is less than one request.
func TestColdUpstreamGetsRequestsOfManyHosts(t *testing.T) {
	is := is.New(t)
	names := make([]core.HostName, 60)
	for i := range names {
		names[i] = core.HostName(fmt.Sprintf("host-%d", i))
	}
	senders := 0
	for _, name := range names {
		p := &pacer.Pacer{Self: name, RateMultiplier: 1.5, Burst: 8}
		p.SetHosts(namedHosts(names...))
		if p.Allow("upstream", 6.9, 0, time.Unix(1000, 0)) {
			senders++
		}
	}
	is.True(senders > 8)
	is.True(senders <= 18)
}

// TestNothingAllowedWithoutHosts checks that a host that has not read the list of
// hosts, and so cannot know its share, sends no requests to cold upstreams.
func TestNothingAllowedWithoutHosts(t *testing.T) {
	is := is.New(t)
	p := &pacer.Pacer{Self: "host-1", RateMultiplier: 1.5, Burst: 5}
	is.True(!p.Allow("upstream", 100, 0, time.Unix(1000, 0)))
}
