package placer_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/pacer"
	"github.com/endiverun/endiverun/core/placer"
)

// simulation is a discrete-event simulation of a deployment: regions with hosts,
// clients whose request rate oscillates, and upstreams that serve recently used
// keys faster and queue requests beyond their slots.
type simulation struct {
	profile
	now     time.Time
	random  *rand.Rand
	events  events
	hosts   []*simulatedHost
	servers map[core.UpstreamName]*server
	// upstreamsOf holds the upstreams that served each key.
	upstreamsOf map[string]map[core.UpstreamName]bool
	// countFrom is the end of the warm-up. Only later requests are counted.
	countFrom time.Time
	// total counts requests and inTime those within latencyObjective. rejected
	// counts requests without an upstream, those of the warm-up included.
	total, inTime, rejected int
}

const (
	// latencyObjective is the time within which a response counts as in time.
	latencyObjective = 300 * time.Millisecond
	// interRegionRoundTrip is the round-trip time between any two regions.
	interRegionRoundTrip = 110 * time.Millisecond
)

// profile describes the simulated service.
type profile struct {
	// hitTime and missTime are the service times for keys that the upstream
	// remembers and for other keys.
	hitTime, missTime time.Duration
	slots             int
	// keys is the number of different keys that each region's clients use, and
	// cacheSize the number of keys that an upstream remembers.
	keys, cacheSize int
	// requestRate is the mean number of requests a second of one host's clients.
	requestRate float64
	// noise says how the machines of upstreams change their speed.
	noise noise
}

// noise describes machines that are slow for short times, since other programs run there too.
type noise struct {
	// share is the fraction of the time in which a machine is slow, and slowness the time that a
	// request then takes, as a multiple of the usual time.
	share, slowness float64
	// interval is the mean time after which the speed of a machine may change.
	interval time.Duration
	// isStated says that upstreams state their slowness.
	isStated bool
}

var (
	lookups = profile{80 * time.Millisecond, 260 * time.Millisecond, 6, 150, 90, 120, noise{}}
	notices = profile{100 * time.Millisecond, 330 * time.Millisecond, 4, 50, 51, 48, noise{}}
)

type simulatedHost struct {
	placer *placer.Placer
	region core.RegionName
	// phase is the phase of the oscillation of the request rate, in periods.
	phase float64
}

// server is a simulated upstream.
type server struct {
	core.Upstream
	region  core.RegionName
	running int
	queue   []*job
	// slowness is that of the machine at present; 0 counts as 1.
	slowness float64
	// cachedKeys holds the remembered keys, the most recently used one last.
	cachedKeys []string
}

// job is one request.
type job struct {
	host      *simulatedHost
	choice    placer.Choice
	key       string
	start     time.Time
	roundTrip time.Duration
}

// event is a function that runs at a simulated time.
type event struct {
	at     time.Time
	handle func()
}

// events is a heap of events, ordered by time.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push appends an event, for container/heap.
func (e *events) Push(x any) {
	if one, ok := x.(event); ok {
		*e = append(*e, one)
	}
}

// Pop removes the last event, for container/heap.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newSimulation returns a simulation with the given number of upstreams in each zone.
func newSimulation(profile profile, counts map[core.ZoneName]int) *simulation {
	m := &simulation{
		profile: profile, now: start, random: rand.New(rand.NewPCG(1, 2)),
		servers: map[core.UpstreamName]*server{}, upstreamsOf: map[string]map[core.UpstreamName]bool{},
	}
	var list []core.Upstream
	for _, zone := range []core.ZoneName{"slz-a", "for-a", "nat-a", "slz-b", "for-b", "nat-b"} {
		for i := range counts[zone] {
			u := core.Upstream{
				Name: core.UpstreamName(fmt.Sprint(zone, "-", i)), Service: service, Zone: zone, Slots: profile.slots, Incarnation: 1,
			}
			list = append(list, u)
			m.servers[u.Name] = &server{Upstream: u, region: regions[zone]}
		}
	}
	for i, zone := range []core.ZoneName{"slz-a", "for-a", "nat-a", "slz-b", "for-b", "nat-b"} {
		region := regions[zone]
		p := &placer.Placer{Zone: core.Zone{Name: zone, Region: region}, RegionByZone: regions, Pacer: &pacer.Pacer{}}
		p.SetPolicy(core.NewRoutingPolicy(1, nil, []core.ServicePolicy{{Name: service}}, core.ClientLimits{}))
		p.SetEvacuatedZones(nil, start)
		p.SetUpstreams(list, start)
		m.hosts = append(m.hosts, &simulatedHost{placer: p, region: region, phase: float64(i%3) / 3})
	}
	return m
}

// schedule runs the function after the given simulated time.
func (m *simulation) schedule(delay time.Duration, handle func()) {
	heap.Push(&m.events, event{m.now.Add(delay), handle})
}

// run simulates the given time. The request rate oscillates by about half around
// its mean with a period of 36 s.
func (m *simulation) run(length time.Duration) {
	const amplitude, period = 0.55, 36.0
	for _, h := range m.hosts {
		var arrive func()
		arrive = func() {
			m.request(h)
			rateFactor := 1 + amplitude*math.Sin(2*math.Pi*(m.now.Sub(start).Seconds()/period+h.phase))
			m.schedule(time.Duration(m.random.ExpFloat64()/(m.requestRate*rateFactor)*float64(time.Second)), arrive)
		}
		m.schedule(0, arrive)
	}
	if m.noise.interval > 0 {
		for _, zone := range slices.Sorted(maps.Keys(m.servers)) {
			m.changeSpeed(m.servers[zone])
		}
	}
	end := start.Add(length)
	for m.events.Len() > 0 && m.events[0].at.Before(end) {
		next, ok := heap.Pop(&m.events).(event)
		if !ok {
			return
		}
		m.now = next.at
		next.handle()
	}
}

// changeSpeed draws the speed of a machine, now and again after random times.
func (m *simulation) changeSpeed(s *server) {
	s.slowness = 1
	if m.random.Float64() < m.noise.share {
		s.slowness = m.noise.slowness
	}
	m.schedule(time.Duration(m.random.ExpFloat64()*float64(m.noise.interval)), func() { m.changeSpeed(s) })
}

// request sends one request of the host's clients.
func (m *simulation) request(h *simulatedHost) {
	key := fmt.Sprint(h.region, "-", m.random.IntN(m.keys))
	choice, ok := h.placer.Choose(query(key), m.now)
	if !m.now.Before(m.countFrom) {
		m.total++
	}
	if !ok {
		m.rejected++
		return
	}
	s := m.servers[choice.Upstream.Name]
	j := &job{host: h, choice: choice, key: key, start: m.now}
	if s.region != h.region {
		j.roundTrip = interRegionRoundTrip
	}
	if m.upstreamsOf[key] == nil {
		m.upstreamsOf[key] = map[core.UpstreamName]bool{}
	}
	m.upstreamsOf[key][s.Name] = true
	m.schedule(j.roundTrip/2, func() {
		s.queue = append(s.queue, j)
		m.startQueued(s)
	})
}

// startQueued starts queued requests while the server has free slots.
func (m *simulation) startQueued(s *server) {
	for s.running < s.Slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		m.schedule(m.serviceTime(s, j.key), func() { m.finish(s, j) })
	}
}

// serviceTime returns the service time for a key and adds the key to the cache.
func (m *simulation) serviceTime(s *server, key string) time.Duration {
	i := slices.Index(s.cachedKeys, key)
	if i >= 0 {
		s.cachedKeys = slices.Delete(s.cachedKeys, i, i+1)
	}
	s.cachedKeys = append(s.cachedKeys, key)
	if len(s.cachedKeys) > m.cacheSize {
		s.cachedKeys = s.cachedKeys[1:]
	}
	usual := m.hitTime
	if i < 0 {
		usual = m.missTime
	}
	return time.Duration(float64(usual) * max(s.slowness, 1))
}

// finish ends a request and returns its response to the host.
func (m *simulation) finish(s *server, j *job) {
	s.running--
	load := &placer.Load{Running: s.running, Waiting: len(s.queue), Slots: s.Slots}
	if m.noise.isStated {
		load.Slowness = s.slowness
	}
	m.startQueued(s)
	m.schedule(j.roundTrip/2, func() {
		elapsed := m.now.Sub(j.start)
		j.host.placer.Report(j.choice, placer.Report{Outcome: placer.Done, ResponseTime: elapsed, Load: load}, m.now)
		if !j.start.Before(m.countFrom) && elapsed <= latencyObjective {
			m.inTime++
		}
	})
}

// meanUpstreamsPerKey returns the mean number of upstreams that served a key.
func (m *simulation) meanUpstreamsPerKey() float64 {
	total := 0
	for _, upstreams := range m.upstreamsOf {
		total += len(upstreams)
	}
	return float64(total) / float64(len(m.upstreamsOf))
}

// TestDemandSwingsBetweenRegions simulates regions whose request rates oscillate
// out of phase, some with few upstreams in one region. Requests must move to
// regions with free capacity without moving keys to further upstreams, because
// the first request for a key at an upstream takes three times as long.
func TestDemandSwingsBetweenRegions(t *testing.T) {
	const (
		warmUp = 4 * time.Second
		length = 60 * time.Second
		// target is the share of requests that users expect to be answered in time on a
		// day without incidents.
		target = 0.85
	)
	even := map[core.ZoneName]int{"slz-a": 4, "slz-b": 4, "for-a": 4, "for-b": 4, "nat-a": 4, "nat-b": 4}
	uneven := map[core.ZoneName]int{"slz-a": 1, "slz-b": 1, "for-a": 5, "for-b": 5, "nat-a": 5, "nat-b": 5}
	few := map[core.ZoneName]int{"slz-a": 1, "slz-b": 1, "for-a": 2, "for-b": 2, "nat-a": 3, "nat-b": 3}
	busy := lookups
	busy.requestRate *= 1.5
	tests := []struct {
		name    string
		profile profile
		counts  map[core.ZoneName]int
	}{
		{"same number of upstreams in every zone", lookups, even},
		{"one region with few upstreams", lookups, uneven},
		{"two thirds of the slots busy", busy, uneven},
		{"upstreams that remember few keys", notices, few},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newSimulation(tt.profile, tt.counts)
			m.countFrom = start.Add(warmUp)
			m.run(length)
			t.Logf("in time %.3f, upstreams per key %.2f", float64(m.inTime)/float64(m.total), m.meanUpstreamsPerKey())
			is.Equal(m.rejected, 0)
			is.True(float64(m.inTime) >= target*float64(m.total))
			is.True(m.meanUpstreamsPerKey() <= 2) // a key has two candidates
		})
	}
}

// TestMachinesChangeTheirSpeed simulates upstreams whose machines are slow for short times. What
// they state of it is as old as the last response. More requests must be in time than if they
// stated nothing.
func TestMachinesChangeTheirSpeed(t *testing.T) {
	counts := map[core.ZoneName]int{"slz-a": 4, "slz-b": 4, "for-a": 4, "for-b": 4, "nat-a": 4, "nat-b": 4}
	for _, interval := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second} {
		t.Run(interval.String(), func(t *testing.T) {
			share := func(isStated bool) float64 {
				busy := lookups
				busy.requestRate *= 1.3
				busy.noise = noise{share: 0.15, slowness: 2.5, interval: interval, isStated: isStated}
				m := newSimulation(busy, counts)
				m.countFrom = start.Add(4 * time.Second)
				m.run(40 * time.Second)
				return float64(m.inTime) / float64(m.total)
			}
			stated, unstated := share(true), share(false)
			t.Logf("in time %.3f, without the statement %.3f", stated, unstated)
			if stated < unstated {
				t.Errorf("in time %.3f, without the statement %.3f", stated, unstated)
			}
		})
	}
}
