package allotter_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/allotter"
	"github.com/endiverun/endiverun/core/roster"
)

// startingHost is a host of a zone whose hosts start at about the same time.
type startingHost struct {
	self     core.Host
	roster   *roster.Roster
	allotter *allotter.Allotter
	// startsAt, registersAt and nextRead are times of the test. lag is how old the lists of hosts
	// are that the host reads.
	startsAt, registersAt, nextRead time.Duration
	lag                             time.Duration
	// listsOld says that lists have the host's last incarnation until it registers anew.
	listsOld bool
}

// isListed returns the host's registration in the list of a time.
func (h *startingHost) isListed(at time.Duration) (core.Host, bool) {
	if at >= h.registersAt {
		return h.self, true
	}
	old := h.self
	old.Incarnation--
	return old, h.listsOld
}

// TestZoneThatStartsGrantsOnce guards against a quota that is exceeded when all hosts of a zone start
// together: each knows only itself at first, since lists of hosts are old and are read seldom, and
// would grant the whole share of the zone. The hosts start within 1.5 s of each other.
func TestZoneThatStartsGrantsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			tick        = 50 * time.Millisecond
			readPause   = 2 * time.Second
			runFor      = 15 * time.Second
			perTick     = 10 // requests of each host
			rate, burst = 100, 10
		)
		start := time.Unix(1000, 0)
		zone := core.Zone{Name: "z-1", Region: "r-1"}
		draw := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		var hosts []*startingHost
		for i := range rapid.IntRange(1, 4).Draw(t, "hosts") {
			h := &startingHost{
				self:     core.Host{Name: core.HostName(fmt.Sprint("h-", i)), Incarnation: 2, Zone: zone},
				startsAt: draw("start", 1500), lag: draw("lag", 3000), listsOld: rapid.Bool().Draw(t, "old registration"),
			}
			h.registersAt = h.startsAt + draw("registration", 300)
			h.nextRead = h.startsAt + draw("first read", 300)
			h.roster = &roster.Roster{Self: h.self}
			h.allotter = &allotter.Allotter{Self: h.self, Zones: 1, Tolerance: allotter.Tolerance{Overage: overage, Slack: slack}}
			h.roster.SetReady(true)
			hosts = append(hosts, h)
		}
		quotas := map[core.Organisation]core.Quota{organisation: {Rate: rate, Burst: burst}}
		var runs []int
		granted := 0
		for at := time.Duration(0); at < runFor; at += tick {
			now := start.Add(at)
			runs = append(runs, 0)
			for i, h := range hosts {
				if at < h.startsAt {
					continue
				}
				if at >= h.nextRead {
					var list []core.Host
					for _, other := range hosts {
						if listed, ok := other.isListed(at - h.lag); ok {
							list = append(list, listed)
						}
					}
					h.roster.SetRegistrations(list, now)
					h.nextRead = at + readPause
				}
				isPeriod := int(at/tick+time.Duration(i))%10 == 0
				for _, peer := range h.roster.HeartbeatTargets(int(at/tick), now) {
					for _, other := range hosts {
						if isPeriod && other.self.Name == peer.Name && at >= other.startsAt {
							other.roster.RecordHeartbeat(roster.Heartbeat{Host: h.self, Ready: true, IsJoining: !h.roster.HasJoined(now)}, now)
						}
					}
				}
				if int(at/tick+time.Duration(i))%updateSteps == 0 {
					h.allotter.Update(h.roster.Members(now), quotas, now)
				}
				for range perTick {
					if h.allotter.Grant(organisation, now).IsGranted {
						runs[len(runs)-1]++
						granted++
					}
				}
			}
		}
		if most := (&fleet{runs: runs}).mostInWindow(); float64(most) > limit(quotas[organisation]) {
			t.Fatalf("%d requests ran in a window, %.0f allowed", most, limit(quotas[organisation]))
		}
		if granted < rate {
			t.Fatalf("%d requests ran in %v: no host grants", granted, runFor)
		}
	})
}
