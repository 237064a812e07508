package roster_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/roster"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// host returns a host whose client address is its name.
func host(name, zone, region string, incarnation core.Incarnation) core.Host {
	return core.Host{
		Name:          core.HostName(name),
		Incarnation:   incarnation,
		Zone:          core.Zone{Name: core.ZoneName(zone), Region: core.RegionName(region)},
		ClientAddress: name,
	}
}

// newRoster returns the roster of a host "self" that takes requests.
func newRoster() *roster.Roster {
	r := &roster.Roster{Self: host("self", "for-b", "for", 1)}
	r.SetReady(true)
	return r
}

// query returns the query of a client in the given zone.
func query(zone, region string, homes ...core.RegionName) roster.Query {
	return roster.Query{Zone: core.Zone{Name: core.ZoneName(zone), Region: core.RegionName(region)}, HomeRegions: homes, MaxAddresses: 64}
}

// TestResolve checks which hosts a client is referred to.
func TestResolve(t *testing.T) {
	r := newRoster()
	for _, h := range []core.Host{
		host("a1", "for-a", "for", 1), host("a2", "for-a", "for", 1),
		host("n1", "nat-a", "nat", 1), host("n2", "nat-b", "nat", 1),
	} {
		r.RecordHeartbeat(roster.Heartbeat{Host: h, Ready: true}, start)
	}
	r.RecordHeartbeat(roster.Heartbeat{Host: host("starting", "for-a", "for", 1)}, start)
	tests := []struct {
		name  string
		query roster.Query
		want  []string
	}{
		{"own zone with two hosts", query("for-a", "for"), []string{"a1", "a2"}},
		{"own zone with one host gets the region", query("for-b", "for"), []string{"a1", "a2", "self"}},
		{"region without hosts gets all others", query("slz-a", "slz"), []string{"a1", "a2", "n1", "n2", "self"}},
		{"only home regions beside the client's own", query("slz-a", "slz", "nat"), []string{"n1", "n2"}},
		{"own region although it is no home", query("for-a", "for", "nat"), []string{"a1", "a2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(r.Resolve(tt.query, start), tt.want)
		})
	}
}

// TestDeadHostIsNotResolved guards against clients that are sent to a host that was
// killed: its registration stays in the store, but its heartbeats expire.
func TestDeadHostIsNotResolved(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	dead := host("dead", "for-b", "for", 1)
	r.SetRegistrations([]core.Host{dead}, start)
	r.RecordHeartbeat(roster.Heartbeat{Host: dead, Ready: true}, start)
	is.Equal(r.Resolve(query("for-b", "for"), start.Add(time.Second)), []string{"dead", "self"})
	r.SetRegistrations([]core.Host{dead}, start.Add(2*time.Second))
	is.Equal(r.Resolve(query("for-b", "for"), start.Add(3*time.Second)), []string{"self"})
}

// TestRegisteredHostIsNotLive checks that a host is not named before its first
// heartbeat, that a late heartbeat of an earlier incarnation is ignored, and that a
// new incarnation is not named because of the heartbeats of the former one.
func TestRegisteredHostIsNotLive(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.SetRegistrations([]core.Host{host("new", "for-b", "for", 1)}, start)
	is.Equal(r.Resolve(query("for-b", "for"), start), []string{"self"})
	r.RecordHeartbeat(roster.Heartbeat{Host: host("new", "for-b", "for", 5), Ready: true}, start)
	r.RecordHeartbeat(roster.Heartbeat{Host: host("new", "for-b", "for", 4), Ready: false}, start)
	is.Equal(r.Resolve(query("for-b", "for"), start), []string{"new", "self"})
	r.SetRegistrations([]core.Host{host("new", "for-b", "for", 6)}, start)
	is.Equal(r.Resolve(query("for-b", "for"), start), []string{"self"})
}

// TestClockSetBack guards against a host that stays unknown after a restart: its
// clock was set back, so its new incarnation has a lower number than the former one.
// It is named again once the former incarnation has gone silent.
func TestClockSetBack(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.RecordHeartbeat(roster.Heartbeat{Host: host("back", "for-b", "for", 2400), Ready: true}, start)
	restarted := roster.Heartbeat{Host: host("back", "for-b", "for", 100), Ready: true}
	restarted.Host.ClientAddress = "new"
	r.RecordHeartbeat(restarted, start.Add(time.Second))
	is.Equal(r.Resolve(query("for-b", "for"), start.Add(time.Second)), []string{"back", "self"})
	r.RecordHeartbeat(restarted, start.Add(4*time.Second))
	is.Equal(r.Resolve(query("for-b", "for"), start.Add(4*time.Second)), []string{"new", "self"})
}

// TestSilentHostsShareLimits checks that a silent host, which may still be alive, counts
// for shared limits for 30 s in which this host runs, and no longer after that.
func TestSilentHostsShareLimits(t *testing.T) {
	tests := []struct {
		name string
		// pause is how long this host itself is paused after 10 s.
		pause time.Duration
		// want is how long the silent host counts.
		want time.Duration
	}{
		{"not paused", 0, 30 * time.Second},
		{"paused", 50 * time.Second, (10 + 50 + 30) * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newRoster()
			r.RecordHeartbeat(roster.Heartbeat{Host: host("silent", "nat-a", "nat", 1), Ready: true}, start)
			for elapsed := time.Duration(0); elapsed <= tt.want; elapsed += time.Second {
				if elapsed > 10*time.Second && elapsed < 10*time.Second+tt.pause {
					continue
				}
				is.Equal(names(r.SharingHosts(start.Add(elapsed))), []core.HostName{"self", "silent"})
			}
			is.Equal(names(r.SharingHosts(start.Add(tt.want+time.Second))), []core.HostName{"self"})
		})
	}
}

// TestNewer checks that the live host with the newest copy of the store is returned,
// and none where no copy is newer than the given revisions.
func TestNewer(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	r.RecordHeartbeat(roster.Heartbeat{Host: host("a", "for-a", "for", 1), Revisions: core.Revisions{Policy: 7, Upstreams: 90}}, start)
	r.RecordHeartbeat(roster.Heartbeat{Host: host("b", "for-a", "for", 1), Revisions: core.Revisions{Policy: 9, Upstreams: 99}}, start)
	newer, ok := r.PeerWithNewerCopy(core.Revisions{Policy: 8, Upstreams: 95}, start)
	is.True(ok)
	is.Equal(newer.Name, core.HostName("b"))
	_, ok = r.PeerWithNewerCopy(core.Revisions{Policy: 9, Upstreams: 99}, start)
	is.True(!ok)
	_, ok = r.PeerWithNewerCopy(core.Revisions{Policy: 8, Upstreams: 95}, start.Add(5*time.Second))
	is.True(!ok) // no longer live
}

// TestPeerWithLaterKnowledge guards against a host that asks one that knew no more than it, or asks
// several hosts before the one that knew the latest upstreams before a restore.
func TestPeerWithLaterKnowledge(t *testing.T) {
	is := is.New(t)
	known := core.KnownUpstreams{Era: 1, Revision: 50, Digest: 1}
	tests := []struct {
		name      string
		era       core.Era
		isHolding bool
		known     *core.KnownUpstreams
		want      core.HostName
	}{
		{name: "older-build", era: 2, isHolding: true},
		{name: "earlier-list", era: 2, isHolding: true, known: &core.KnownUpstreams{Era: 1, Revision: 49, Digest: 2}},
		{name: "same-list", era: 2, isHolding: true, known: &core.KnownUpstreams{Era: 1, Revision: 99, Digest: 1}},
		{name: "other-era", era: 3, isHolding: true, known: &core.KnownUpstreams{Era: 1, Revision: 99, Digest: 2}},
		{name: "settled", era: 2, known: &core.KnownUpstreams{Era: 1, Revision: 99, Digest: 2}},
		{name: "later", era: 2, isHolding: true, known: &core.KnownUpstreams{Era: 1, Revision: 60, Digest: 3}, want: "later"},
		{name: "latest", era: 2, isHolding: true, known: &core.KnownUpstreams{Era: 1, Revision: 70, Digest: 4}, want: "latest"},
		{name: "between", era: 2, isHolding: true, known: &core.KnownUpstreams{Era: 1, Revision: 65, Digest: 5}, want: "latest"},
	}
	r := newRoster()
	for _, tt := range tests {
		r.RecordHeartbeat(roster.Heartbeat{
			Host: host(tt.name, "for-a", "for", 9), Revisions: core.Revisions{Era: tt.era}, HasKnowledge: tt.isHolding, KnownBefore: tt.known,
		}, start)
		peer, ok := r.PeerWithLaterKnowledge(2, known, start)
		is.Equal(peer.Name, tt.want)
		is.Equal(ok, tt.want != "")
	}
}

// largeFleet returns n hosts in regions of three zones each. The first host is in
// the first zone of the first region.
func largeFleet(n, regions int) []core.Host {
	const zonesPerRegion = 3
	var hosts []core.Host
	for i := range n {
		region := "region-" + strconv.Itoa(i%regions)
		zone := region + "-" + strconv.Itoa(i/regions%zonesPerRegion)
		hosts = append(hosts, host("host-"+strconv.Itoa(i), zone, region, 1))
	}
	return hosts
}

// TestHeartbeatsOfLargeFleet checks that the number of heartbeats that a host sends in
// a period is bounded, that hosts of its zone get them most often, and that every
// host gets one before it would evict the sender.
func TestHeartbeatsOfLargeFleet(t *testing.T) {
	tests := []struct {
		hosts, regions int
		// zonePeriods, regionPeriods and allPeriods are the numbers of periods in which
		// all hosts of the sender's zone, of its region and of the fleet get one.
		zonePeriods, regionPeriods, allPeriods int
	}{
		{12, 3, 1, 1, 1},
		{76, 3, 1, 2, 7},
		{295, 3, 2, 6, 25},
		{1300, 30, 1, 3, 158},
	}
	for _, tt := range tests {
		t.Run(strconv.Itoa(tt.hosts), func(t *testing.T) {
			is := is.New(t)
			fleet := largeFleet(tt.hosts, tt.regions)
			self := fleet[0]
			r := &roster.Roster{Self: self}
			for _, h := range fleet[1:] {
				r.RecordHeartbeat(roster.Heartbeat{Host: h}, start)
			}
			first := map[core.HostName]int{}
			for period := range tt.allPeriods {
				due := r.HeartbeatTargets(period, start)
				is.True(len(due) <= 36)
				for _, h := range due {
					if _, ok := first[h.Name]; !ok {
						first[h.Name] = period
					}
				}
			}
			for _, h := range fleet[1:] {
				period, ok := first[h.Name]
				is.True(ok)
				is.True(h.Zone != self.Zone || period < tt.zonePeriods)
				is.True(h.Zone.Region != self.Zone.Region || period < tt.regionPeriods)
			}
		})
	}
}

// TestDeadHostOfLargeFleet guards against clients that are sent to a killed host for
// longer in a large zone than in a small one. In a zone of so many hosts not all get a
// heartbeat in each period, so missed heartbeats take longer to notice. Hosts whose
// heartbeats are merely lost stay named.
func TestDeadHostOfLargeFleet(t *testing.T) {
	is := is.New(t)
	const (
		maxSilence = 5 * time.Second
		interval   = time.Second // two periods
	)
	fleet := largeFleet(295, 3)
	r := &roster.Roster{Self: fleet[0], MaxHeartbeatTimeout: maxSilence}
	r.SetReady(true)
	for _, h := range fleet[1:] {
		r.RecordHeartbeat(roster.Heartbeat{Host: h, Ready: true}, start)
	}
	ask := query(string(fleet[0].Zone.Name), string(fleet[0].Zone.Region))
	named := len(r.Resolve(ask, start))
	is.True(named > 30)
	is.Equal(len(r.Resolve(ask, start.Add(2*interval+interval/2))), named)
	is.Equal(r.Resolve(ask, start.Add(maxSilence+time.Millisecond)), []string{"host-0"})
}

// TestLoansOfLiveHosts guards against shares that are borrowed from a host that has gone
// silent or ended its loan, or in an amount that is not a fraction.
func TestLoansOfLiveHosts(t *testing.T) {
	is := is.New(t)
	const maxAge = time.Second
	r := &roster.Roster{Self: host("self", "for-a", "for", 1)}
	beat := func(name string, steps uint8, now time.Time) {
		r.RecordHeartbeat(roster.Heartbeat{Host: host(name, "for-a", "for", 1), LoanSteps: steps}, now)
	}
	beat("lends", 5, start)
	beat("ended", 5, start)
	beat("ended", 0, start.Add(time.Millisecond))
	beat("too-much", 11, start)
	is.Equal(r.Loans(maxAge, start.Add(maxAge)), map[core.HostName]float64{"lends": 0.5})
	is.Equal(len(r.Loans(maxAge, start.Add(maxAge+time.Millisecond))), 0)
	is.True(!r.AreSharesNeeded(maxAge, start))
	r.RecordHeartbeat(roster.Heartbeat{Host: host("needs", "for-a", "for", 1), NeedsShares: true}, start)
	is.True(r.AreSharesNeeded(maxAge, start.Add(maxAge)))
	is.True(!r.AreSharesNeeded(maxAge, start.Add(maxAge+time.Millisecond)))
}

// names returns the names of hosts.
func names(hosts []core.Host) []core.HostName {
	list := make([]core.HostName, len(hosts))
	for i, h := range hosts {
		list[i] = h.Name
	}
	return list
}
