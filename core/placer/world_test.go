package placer_test

import (
	"container/heap"
	"fmt"
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

// world is a model of a deployment in its own time: regions with hosts, clients
// whose demand swings, and upstreams that work faster on the objects that they
// handled last and queue what exceeds their slots.
type world struct {
	profile
	now     time.Time
	random  *rand.Rand
	events  events
	hosts   []*worldHost
	servers map[core.UpstreamName]*server
	// pairs are the objects that each upstream handled.
	pairs map[string]map[core.UpstreamName]bool
	// counted is from when on requests count.
	counted                 time.Time
	asked, inTime, unchosen int
}

// The figures of the world.
const (
	worldObjective = 300 * time.Millisecond
	worldTrip      = 110 * time.Millisecond
)

// profile describes the service of a world.
type profile struct {
	// warm and cold are the times of runs on known and on unknown objects.
	warm, cold time.Duration
	slots      int
	// objects is the number of objects of each region's clients, memory that of
	// the objects that an upstream remembers.
	objects, memory int
	// perSecond is the mean demand of one host's clients.
	perSecond float64
}

var (
	lookups = profile{80 * time.Millisecond, 260 * time.Millisecond, 6, 150, 90, 120}
	notices = profile{100 * time.Millisecond, 330 * time.Millisecond, 4, 50, 51, 48}
)

type worldHost struct {
	placer *placer.Placer
	region core.RegionName
	// phase shifts the swing of the demand of the host's clients.
	phase float64
}

// server is an upstream with its queue and the objects that it remembers, the
// one handled last at the end.
type server struct {
	core.Upstream
	region  core.RegionName
	running int
	queue   []*job
	known   []string
}

type job struct {
	host   *worldHost
	choice placer.Choice
	object string
	start  time.Time
	trip   time.Duration
}

// event is something that happens at a time.
type event struct {
	at  time.Time
	act func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push adds an event, as container/heap needs it.
func (e *events) Push(x any) {
	if one, ok := x.(event); ok {
		*e = append(*e, one)
	}
}

// Pop removes the last event, as container/heap needs it.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newWorld returns a world with the given number of upstreams in each zone.
func newWorld(profile profile, counts map[core.ZoneName]int) *world {
	w := &world{
		profile: profile, now: start, random: rand.New(rand.NewPCG(1, 2)),
		servers: map[core.UpstreamName]*server{}, pairs: map[string]map[core.UpstreamName]bool{},
	}
	var list []core.Upstream
	for _, zone := range []core.ZoneName{"slz-a", "for-a", "nat-a", "slz-b", "for-b", "nat-b"} {
		for i := range counts[zone] {
			u := core.Upstream{
				Name: core.UpstreamName(fmt.Sprint(zone, "-", i)), Service: service, Zone: zone, Slots: profile.slots, Incarnation: 1,
			}
			list = append(list, u)
			w.servers[u.Name] = &server{Upstream: u, region: regions[zone]}
		}
	}
	for i, zone := range []core.ZoneName{"slz-a", "for-a", "nat-a", "slz-b", "for-b", "nat-b"} {
		region := regions[zone]
		p := &placer.Placer{Zone: core.Zone{Name: zone, Region: region}, Regions: regions, Pacer: &pacer.Pacer{}}
		p.SetPolicy(core.NewRoutingPolicy(1, nil, []core.ServicePolicy{{Name: service}}, core.ClientLimits{}))
		p.SetEvacuated(nil, start)
		p.SetUpstreams(list, start)
		w.hosts = append(w.hosts, &worldHost{placer: p, region: region, phase: float64(i%3) / 3})
	}
	return w
}

func (w *world) after(d time.Duration, act func()) {
	heap.Push(&w.events, event{w.now.Add(d), act})
}

// run plays the world for a time. The demand swings by half around its mean every
// 36 s.
func (w *world) run(length time.Duration) {
	const swing, period = 0.55, 36.0
	for _, h := range w.hosts {
		var arrive func()
		arrive = func() {
			w.request(h)
			wave := 1 + swing*math.Sin(2*math.Pi*(w.now.Sub(start).Seconds()/period+h.phase))
			w.after(time.Duration(w.random.ExpFloat64()/(w.perSecond*wave)*float64(time.Second)), arrive)
		}
		w.after(0, arrive)
	}
	end := start.Add(length)
	for w.events.Len() > 0 && w.events[0].at.Before(end) {
		next, ok := heap.Pop(&w.events).(event)
		if !ok {
			return
		}
		w.now = next.at
		next.act()
	}
}

// request sends one request of a host's clients.
func (w *world) request(h *worldHost) {
	object := fmt.Sprint(h.region, "-", w.random.IntN(w.objects))
	choice, ok := h.placer.Choose(query(object), w.now)
	if !w.now.Before(w.counted) {
		w.asked++
	}
	if !ok {
		w.unchosen++
		return
	}
	s := w.servers[choice.Upstream.Name]
	j := &job{host: h, choice: choice, object: object, start: w.now}
	if s.region != h.region {
		j.trip = worldTrip
	}
	if w.pairs[object] == nil {
		w.pairs[object] = map[core.UpstreamName]bool{}
	}
	w.pairs[object][s.Name] = true
	w.after(j.trip/2, func() {
		s.queue = append(s.queue, j)
		w.serve(s)
	})
}

// serve begins what fits the slots.
func (w *world) serve(s *server) {
	for s.running < s.Slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		w.after(w.work(s, j.object), func() { w.end(s, j) })
	}
}

// work returns the time of a run and remembers its object.
func (w *world) work(s *server, object string) time.Duration {
	i := slices.Index(s.known, object)
	if i >= 0 {
		s.known = slices.Delete(s.known, i, i+1)
	}
	s.known = append(s.known, object)
	if len(s.known) > w.memory {
		s.known = s.known[1:]
	}
	if i < 0 {
		return w.cold
	}
	return w.warm
}

func (w *world) end(s *server, j *job) {
	s.running--
	load := &placer.Load{Running: s.running, Waiting: len(s.queue), Slots: s.Slots}
	w.serve(s)
	w.after(j.trip/2, func() {
		took := w.now.Sub(j.start)
		j.host.placer.Report(j.choice, placer.Report{Outcome: placer.Done, Run: took, Load: load}, w.now)
		if !j.start.Before(w.counted) && took <= worldObjective {
			w.inTime++
		}
	})
}

// meanPairs returns the mean number of upstreams that handled an object.
func (w *world) meanPairs() float64 {
	total := 0
	for _, upstreams := range w.pairs {
		total += len(upstreams)
	}
	return float64(total) / float64(len(w.pairs))
}

// TestDemandSwingsBetweenRegions is the pattern of regions whose demand swings
// against each other, one of which has few upstreams: requests must follow the
// room without objects moving, since each move is a run that takes three times
// as long.
func TestDemandSwingsBetweenRegions(t *testing.T) {
	const (
		warmUp = 4 * time.Second
		length = 60 * time.Second
		// target is the share that the users want answered in time on a quiet day.
		target = 0.85
	)
	even := map[core.ZoneName]int{"slz-a": 4, "slz-b": 4, "for-a": 4, "for-b": 4, "nat-a": 4, "nat-b": 4}
	uneven := map[core.ZoneName]int{"slz-a": 1, "slz-b": 1, "for-a": 5, "for-b": 5, "nat-a": 5, "nat-b": 5}
	few := map[core.ZoneName]int{"slz-a": 1, "slz-b": 1, "for-a": 2, "for-b": 2, "nat-a": 3, "nat-b": 3}
	busy := lookups
	busy.perSecond *= 1.5
	tests := []struct {
		name    string
		profile profile
		counts  map[core.ZoneName]int
	}{
		{"as many upstreams everywhere", lookups, even},
		{"one region with few", lookups, uneven},
		{"two thirds of the slots busy", busy, uneven},
		{"upstreams that remember few objects", notices, few},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(tt.profile, tt.counts)
			w.counted = start.Add(warmUp)
			w.run(length)
			t.Logf("in time %.3f, upstreams an object %.2f", float64(w.inTime)/float64(w.asked), w.meanPairs())
			is.Equal(w.unchosen, 0)
			is.True(float64(w.inTime) >= target*float64(w.asked))
			is.True(w.meanPairs() <= 2) // an object has two copies
		})
	}
}
