package assessor_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/assessor"
)

const (
	service = core.ServiceName("desk")
	target  = 400 * time.Millisecond
)

var start = time.Unix(1000, 0)

// TestSingleRequests checks which requests are worth sending while there is room.
func TestSingleRequests(t *testing.T) {
	tests := []struct {
		name           string
		queue, left    time.Duration
		target         time.Duration
		isRepeat, want bool
	}{
		{"no queue", 0, time.Second, target, false, true},
		{"late, but not by much", 590 * time.Millisecond, time.Second, target, false, true},
		{"far too late", 610 * time.Millisecond, time.Second, target, false, false},
		{"past the deadline", 300 * time.Millisecond, 200 * time.Millisecond, target, false, false},
		{"no target", 900 * time.Millisecond, time.Second, 0, false, true},
		{"another attempt", 900 * time.Millisecond, time.Second, target, true, true},
		{"another attempt past the deadline", 900 * time.Millisecond, 800 * time.Millisecond, target, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var a assessor.Assessor
			r := assessor.Request{Service: service, TargetLatency: tt.target, Left: tt.left, IsFirst: !tt.isRepeat}
			is.Equal(a.Accepts(r, assessor.Expectation{QueueTime: tt.queue}, start), tt.want)
		})
	}
}

// station is a group of upstreams with one queue, whose length every request knows.
type station struct {
	assessor assessor.Assessor
	slots    int
	// runTime is how long requests run on average. They vary by half of it.
	runTime time.Duration
	random  *rand.Rand
	// isAlone says that no organisations compete.
	isAlone bool
	// free holds the times at which the slots become free.
	free []time.Time
}

// tally counts the requests of one priority.
type tally struct {
	asked, served, inTime int
}

// play sends requests of several priorities at random times with the given rates, in requests a
// second, for 60 s, and counts those after the first 10 s.
func (s *station) play(rates map[core.Priority]float64) map[core.Priority]*tally {
	s.free = make([]time.Time, s.slots)
	s.random = rand.New(rand.NewPCG(1, 2))
	total := 0.0
	tallies := map[core.Priority]*tally{}
	for p := range rates {
		total += rates[p]
		tallies[p] = &tally{}
	}
	for now := start; now.Before(start.Add(time.Minute)); {
		now = now.Add(time.Duration(s.random.ExpFloat64() / total * float64(time.Second)))
		priority, at := core.Priority(0), s.random.Float64()*total
		for ; at >= rates[priority]; priority++ {
			at -= rates[priority]
		}
		s.send(now, priority, tallies[priority])
	}
	return tallies
}

// send sends one request if it is accepted.
func (s *station) send(now time.Time, priority core.Priority, t *tally) {
	first := 0
	for i := range s.free {
		if s.free[i].Before(s.free[first]) {
			first = i
		}
	}
	wait := max(s.free[first].Sub(now), 0)
	request := assessor.Request{
		Service: service, Priority: priority, TargetLatency: target, Left: 2 * time.Second, IsContended: !s.isAlone, IsFirst: true,
	}
	isAccepted := s.assessor.Accepts(request, assessor.Expectation{QueueTime: wait}, now)
	run := time.Duration((0.5 + s.random.Float64()) * float64(s.runTime))
	if isAccepted {
		s.free[first] = now.Add(wait + run)
	}
	if now.Sub(start) < 10*time.Second {
		return
	}
	t.asked++
	if isAccepted {
		t.served++
		if wait+run <= target {
			t.inTime++
		}
	}
}

// inTimeShare is the share of the served requests that must be in time where more is asked than
// fits. A request that queued for shortestQueue is in time if it runs for 0.65 of the target, as
// four of five do.
const inTimeShare = 0.75

// TestDemandAboveRoom checks demand of half the room up to six times the room. Throughput must not
// fall as demand grows, and where more is asked than fits, what is served must be in time.
func TestDemandAboveRoom(t *testing.T) {
	const room = 200.0 // 40 slots of 0.2 s
	highest := 0.0
	for _, load := range []float64{0.5, 0.8, 1, 1.2, 1.5, 2, 3, 6} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			s := &station{slots: 40, runTime: 200 * time.Millisecond}
			got := s.play(map[core.Priority]float64{0: load * room})[0]
			served := float64(got.served) / 50
			highest = max(highest, served)
			t.Logf("%.0f of %.0f requests a second served, %.2f of them in time", served, load*room, float64(got.inTime)/float64(got.served))
			if served < 0.95*min(highest, load*room) {
				t.Errorf("%.0f served, %.0f at lower demand", served, highest)
			}
			if load >= 1.2 && float64(got.inTime) < inTimeShare*float64(got.served) {
				t.Errorf("%d of %d served in time", got.inTime, got.served)
			}
		})
	}
}

// TestUrgentRequestsPass checks that urgent requests are served whole and in time while less urgent
// ones ask for far more than fits.
func TestUrgentRequestsPass(t *testing.T) {
	is := is.New(t)
	s := &station{slots: 40, runTime: 200 * time.Millisecond}
	got := s.play(map[core.Priority]float64{0: 60, 1: 1200})
	t.Logf("urgent %+v, others %+v", *got[0], *got[1])
	is.True(float64(got[0].served) >= 0.99*float64(got[0].asked))
	is.True(float64(got[0].inTime) >= inTimeShare*float64(got[0].served))
	is.True(got[1].served > 0)
}

// TestRefusedShare checks that the share counts more urgent requests, is forgotten, and counts only
// once there are several requests.
func TestRefusedShare(t *testing.T) {
	is := is.New(t)
	var a assessor.Assessor
	ask := func(priority core.Priority, wait time.Duration) {
		request := assessor.Request{
			Service: service, Priority: priority, TargetLatency: target, Left: time.Minute, IsContended: true, IsFirst: true,
		}
		a.Accepts(request, assessor.Expectation{QueueTime: wait}, start)
	}
	ask(2, time.Hour)
	is.Equal(a.RefusedShare(service, 2, start), 0.0)
	for range 5 {
		ask(1, 0)
		ask(2, time.Hour)
	}
	is.Equal(a.RefusedShare(service, 1, start), 0.0)
	is.Equal(a.RefusedShare(service, 2, start), 6.0/11)
	is.Equal(a.RefusedShare("other", 2, start), 0.0)
	is.Equal(a.RefusedShare(service, 2, start.Add(time.Minute)), 0.0)
}

// TestSparseRequests checks that a few requests that find long queues, seconds apart, do not make
// queues count as standing: they say little about the time between them.
func TestSparseRequests(t *testing.T) {
	is := is.New(t)
	var a assessor.Assessor
	request := assessor.Request{Service: service, TargetLatency: target, Left: time.Minute, IsContended: true, IsFirst: true}
	for i := range 5 {
		is.True(a.Accepts(request, assessor.Expectation{QueueTime: target}, start.Add(time.Duration(2*i)*time.Second)))
	}
}

// TestWithoutOrganisations checks that the acceptable queue is never shortened where no organisations
// compete, whatever the load.
func TestWithoutOrganisations(t *testing.T) {
	is := is.New(t)
	s := &station{slots: 40, runTime: 200 * time.Millisecond, isAlone: true}
	got := s.play(map[core.Priority]float64{0: 600})[0]
	is.Equal(got.inTime, 0) // All of them queue for about 1.5 times the target.
	is.True(float64(got.served) >= 0.95*200*50)
}
