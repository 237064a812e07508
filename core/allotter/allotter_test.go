package allotter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/allotter"
	"github.com/endiverun/endiverun/core/roster"
)

// The limits of the tests: in each window, the requests that run may exceed the quota by a
// fraction and by a number.
const (
	window  = 5 * time.Second
	overage = 0.1
	slack   = 20
	step    = 50 * time.Millisecond
	// updateSteps is the number of steps between two updates of a host.
	updateSteps = 5
	// liveSteps is how long after its last heartbeat a host counts as live, in steps.
	liveSteps = 50
)

// fakeHost is one host of a fleet and what it heard of the others.
type fakeHost struct {
	host     core.Host
	allotter *allotter.Allotter
	// heardAt is the step of the last heartbeat of each host.
	heardAt map[int]int
	// downUntil and frozenUntil are steps. A frozen host keeps its state.
	downUntil, frozenUntil int
	isCut                  bool
}

// fleet is a fleet of hosts that grant credits of one organisation.
type fleet struct {
	hosts []*fakeHost
	zones int
	quota core.Quota
	start time.Time
	step  int
	// runs counts the requests that ran in each step.
	runs []int
	// refused counts the requests that got no credit.
	refused int
	random  *rand.Rand
}

const organisation = core.Organisation("guild")

func newFleet(hosts, zones int, quota core.Quota, seed uint64) *fleet {
	f := &fleet{zones: zones, quota: quota, start: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1))}
	for range hosts {
		f.join()
	}
	return f
}

// join adds a host, which the store lists at once.
func (f *fleet) join() {
	i := len(f.hosts)
	zone := core.Zone{Name: core.ZoneName(fmt.Sprintf("z-%d", i%f.zones)), Region: core.RegionName(fmt.Sprintf("r-%d", i%f.zones/2))}
	h := &fakeHost{host: core.Host{Name: core.HostName(fmt.Sprintf("h-%d", i)), Zone: zone}}
	h.restart(f.zones)
	f.hosts = append(f.hosts, h)
}

func (h *fakeHost) restart(zones int) {
	h.heardAt = map[int]int{}
	h.allotter = &allotter.Allotter{Self: h.host, Zones: zones, Tolerance: allotter.Tolerance{Overage: overage, Slack: slack}}
}

func (f *fleet) now() time.Time { return f.start.Add(time.Duration(f.step) * step) }

func (f *fleet) isRunning(h *fakeHost) bool { return f.step >= h.downUntil && f.step >= h.frozenUntil }

// reaches reports whether a message from one host arrives at the other. A host that is cut off
// reaches only itself.
func (f *fleet) reaches(from, to *fakeHost) bool {
	return from == to || f.isRunning(from) && f.isRunning(to) && !from.isCut && !to.isCut
}

// advance lets a step pass: heartbeats arrive, hosts update what they know, and the clients of
// random hosts send a number of requests.
func (f *fleet) advance(requests int) {
	f.step++
	f.runs = append(f.runs, 0)
	for i, from := range f.hosts {
		if (f.step+i)%10 != 0 { // a heartbeat every 0.5 s
			continue
		}
		for _, to := range f.hosts {
			if f.reaches(from, to) {
				to.heardAt[i] = f.step
			}
		}
	}
	for i, h := range f.hosts {
		if f.isRunning(h) && (f.step+i)%updateSteps == 0 {
			h.allotter.Update(f.peersOf(i), map[core.Organisation]core.Quota{organisation: f.quota}, f.now())
		}
	}
	for range requests {
		f.send(f.hosts[f.random.IntN(len(f.hosts))])
	}
}

// peersOf returns what a host knows of the fleet.
func (f *fleet) peersOf(i int) []roster.Member {
	h := f.hosts[i]
	var peers []roster.Member
	for j, other := range f.hosts {
		heard, ok := h.heardAt[j]
		peers = append(peers, roster.Member{Host: other.host, IsRegistered: true, IsReady: i == j || ok && f.step-heard <= liveSteps})
	}
	return peers
}

// send lets a host take a credit for one request.
func (f *fleet) send(h *fakeHost) {
	if !f.isRunning(h) {
		return
	}
	for _, grantor := range h.allotter.Grantors(organisation) {
		for _, other := range f.hosts {
			if other.host.Name == grantor.Name && f.reaches(h, other) && other.allotter.Grant(organisation, f.now()).IsGranted {
				f.runs[len(f.runs)-1]++
				return
			}
		}
	}
	f.refused++
}

// mostInWindow returns the most requests that ran in any window.
func (f *fleet) mostInWindow() int {
	steps, sum, most := int(window/step), 0, 0
	for i, n := range f.runs {
		sum += n
		if i >= steps {
			sum -= f.runs[i-steps]
		}
		most = max(most, sum)
	}
	return most
}

// limit returns the most requests that may run in a window.
func limit(quota core.Quota) float64 {
	return (float64(quota.Rate)*window.Seconds()+quota.Burst)*(1+overage) + slack
}

// TestQuotaHolds plays random kills of many hosts at once, cuts, freezes, joins and lower quotas
// under demand far above the quota. The quota must hold in every window.
func TestQuotaHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 9).Draw(t, "zones")
		hosts := max(zones, rapid.IntRange(3, 30).Draw(t, "hosts"))
		rate := core.RequestRate(rapid.IntRange(1, 700).Draw(t, "rate"))
		f := newFleet(hosts, zones, core.Quota{Rate: rate, Burst: float64(rate)}, rapid.Uint64().Draw(t, "seed"))
		demand := int(float64(rate)*step.Seconds()*3) + 2
		pass := func(t *rapid.T) {
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				f.advance(demand)
			}
		}
		some := func(t *rapid.T) []*fakeHost {
			share := rapid.Float64Range(0, 1).Draw(t, "share")
			var list []*fakeHost
			for _, h := range f.hosts {
				if f.random.Float64() < share {
					list = append(list, h)
				}
			}
			return list
		}
		pass(t)
		t.Repeat(map[string]func(*rapid.T){
			"time passes": pass,
			"hosts are killed": func(t *rapid.T) {
				down := f.step + rapid.IntRange(10, 100).Draw(t, "for")
				for _, h := range some(t) {
					h.downUntil = down
					h.restart(zones)
				}
				pass(t)
			},
			"hosts are frozen": func(t *rapid.T) {
				frozen := f.step + rapid.IntRange(10, 200).Draw(t, "for")
				for _, h := range some(t) {
					h.frozenUntil = frozen
				}
				pass(t)
			},
			"hosts are cut off": func(t *rapid.T) {
				for _, h := range some(t) {
					h.isCut = true
				}
				pass(t)
			},
			"cuts end": func(t *rapid.T) {
				for _, h := range f.hosts {
					h.isCut = false
				}
				pass(t)
			},
			"a host joins": func(t *rapid.T) {
				f.join()
				pass(t)
			},
			"": func(t *rapid.T) {
				if most := f.mostInWindow(); float64(most) > limit(f.quota) {
					t.Fatalf("%d requests ran in %v, at most %.0f may", most, window, limit(f.quota))
				}
			},
		})
	})
}

// TestLowerQuotaBinds checks that a lower quota holds in every window that begins once all hosts
// know of it.
func TestLowerQuotaBinds(t *testing.T) {
	is := is.New(t)
	f := newFleet(12, 6, core.Quota{Rate: 300, Burst: 300}, 1)
	for range 400 {
		f.advance(45)
	}
	f.quota = core.Quota{Rate: 20, Burst: 20}
	for range updateSteps {
		f.advance(45)
	}
	f.runs = nil
	for range 400 {
		f.advance(45)
	}
	is.True(float64(f.mostInWindow()) <= limit(f.quota))
}

// TestQuotaIsUsed checks that an organisation that asks for its whole rate gets at least 95% of
// it, whether its clients reach one host, three or all.
func TestQuotaIsUsed(t *testing.T) {
	for _, hosts := range []int{3, 12, 61, 300} {
		for _, reached := range []int{1, 3, hosts} {
			for _, rate := range []core.RequestRate{5, 40, 700} {
				if hosts == 300 && rate != 40 {
					continue // The largest fleet takes long.
				}
				t.Run(fmt.Sprintf("hosts=%d reached=%d rate=%v", hosts, reached, rate), func(t *testing.T) {
					f := newFleet(hosts, min(hosts, 6), core.Quota{Rate: rate, Burst: float64(rate)}, 7)
					for range 100 { // The hosts come to know one another.
						f.advance(0)
					}
					f.runs = nil
					const steps = 300
					asked, due := 0, 0.0
					for range steps {
						due += float64(rate) * step.Seconds()
						f.advance(0)
						for ; float64(asked) < due; asked++ {
							f.send(f.hosts[f.random.IntN(reached)])
						}
					}
					if share := float64(asked-f.refused) / float64(asked); share < 0.95 {
						t.Errorf("%.3f of %d requests got a credit", share, asked)
					}
				})
			}
		}
	}
}

// TestRefusedClientsReturnInTurn checks that clients without a credit are told to return one after
// the other.
func TestRefusedClientsReturnInTurn(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, core.Quota{Rate: 10}, 1)
	f.advance(0)
	for f.step%updateSteps != 0 {
		f.advance(0)
	}
	last := time.Duration(0)
	for range 10 {
		answer := f.hosts[0].allotter.Grant(organisation, f.now())
		if answer.IsGranted {
			continue
		}
		is.True(answer.NextIn > 0 && answer.NextIn <= 100*time.Millisecond)
		is.True(answer.RetryIn > last)
		last = answer.RetryIn
	}
	is.True(last > 500*time.Millisecond)
}

// TestReturnedCredit checks that a credit that was given back is granted again, and that a bucket
// holds no more than the burst.
func TestReturnedCredit(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, core.Quota{Rate: 1}, 1)
	for range 1000 {
		f.advance(0)
	}
	a := f.hosts[0].allotter
	granted := 0
	for a.Grant(organisation, f.now()).IsGranted {
		granted++
	}
	is.Equal(granted, 10) // no burst, and half of the slack
	a.Return(organisation, f.now())
	is.True(a.Grant(organisation, f.now()).IsGranted)
	is.True(!a.Grant(organisation, f.now()).IsGranted)
}
