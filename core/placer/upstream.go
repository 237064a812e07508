package placer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endiverun/endiverun/core"
)

const (
	// defaultWork is the time of a run before one was measured.
	defaultWork = 150 * time.Millisecond
	// defaultTrip is the round trip to another region before one was measured.
	defaultTrip = 30 * time.Millisecond
	// reportTrust is how long a reported load is taken as it was; after that
	// half of it counts for each further reportTrust.
	reportTrust = 500 * time.Millisecond
	// faultHalfLife is how fast failures are forgiven.
	faultHalfLife = 3 * time.Second
	// faultWeight is the part of one attempt in the average of an upstream, and
	// serviceFaultWeight in that of its service.
	faultWeight        = 0.2
	serviceFaultWeight = 0.03
	// knownObjects bounds the objects remembered for each upstream.
	knownObjects = 256
	// minDown and maxDown bound how long an upstream that cannot be reached
	// is left alone.
	minDown = 300 * time.Millisecond
	maxDown = 3 * time.Second
)

// upstream is what the placer knows of one life of an upstream.
type upstream struct {
	core.Upstream
	region core.RegionName
	hash   uint64
	// coldUntil is the end of a warm-up that the upstream told itself.
	coldUntil time.Time
	// suspected is when the upstream may have become cold without a word; zero
	// where nothing speaks for it.
	suspected time.Time
	// wanted is when a request was last kept from the upstream for being cold.
	wanted time.Time

	inFlight int
	uses     usage
	// sent are the times of the requests of the last second, oldest first.
	sent []time.Time
	// others is the load that the upstream reported beyond inFlight, at
	// reported.
	others   float64
	reported time.Time

	fault faultRate
	// run averages the time of runs without a queue.
	run average

	retiredAt time.Time
	downUntil time.Time
	down      time.Duration

	known map[uint64]struct{}
}

func newUpstream(item core.Upstream, region core.RegionName) *upstream {
	return &upstream{
		Upstream: item,
		region:   region,
		hash:     xxhash.Sum64String(string(item.Name)),
		known:    map[uint64]struct{}{},
	}
}

// isSameLife reports whether a registration is of the life that is known.
func (u *upstream) isSameLife(item core.Upstream) bool {
	return u.Incarnation == item.Incarnation && u.Address == item.Address && u.Service == item.Service
}

// begin counts an attempt on the object with the given key.
func (u *upstream) begin(key uint64, now time.Time) {
	u.inFlight++
	u.recent(now) // forgets what is older
	if len(u.known) >= knownObjects {
		for k := range u.known {
			delete(u.known, k)
			break
		}
	}
	u.known[key] = struct{}{}
	u.uses.count(now)
	u.sent = append(u.sent, now)
}

// recent returns how many requests were sent in the last second.
func (u *upstream) recent(now time.Time) int {
	old := 0
	for old < len(u.sent) && now.Sub(u.sent[old]) >= time.Second {
		old++
	}
	u.sent = slices.Delete(u.sent, 0, old)
	return len(u.sent)
}

func (u *upstream) end() {
	u.inFlight = max(u.inFlight-1, 0)
}

// isCold reports whether the upstream is cold, or may be: a warm-up has not
// passed since it was suspected.
func (u *upstream) isCold(warmUp time.Duration, now time.Time) bool {
	return now.Before(u.coldUntil) || now.Before(u.suspected.Add(warmUp))
}

func (u *upstream) isDown(now time.Time) bool {
	return now.Before(u.downUntil)
}

// load estimates the requests at the upstream, running and queued.
func (u *upstream) load(now time.Time) float64 {
	others := u.others
	if age := now.Sub(u.reported); age > reportTrust {
		others *= math.Exp2(-float64(age-reportTrust) / float64(reportTrust))
	}
	return float64(u.inFlight) + others
}

// report takes the load that an answer told, with the request that it answers
// already ended.
func (u *upstream) report(load Load, now time.Time) {
	u.others = max(0, float64(load.Running+load.Waiting-u.inFlight))
	u.reported = now
	if load.Slots > 0 {
		u.Slots = load.Slots
	}
}

// overload takes a rejection for lack of room: the slots and a queue of the
// same length are taken.
func (u *upstream) overload(now time.Time) {
	u.others = max(u.others, float64(2*u.slots()-u.inFlight))
	u.reported = now
}

func (u *upstream) slots() int {
	return max(u.Slots, 1)
}

// wait estimates the time that one more request queues.
func (u *upstream) wait(work time.Duration, now time.Time) time.Duration {
	excess := u.load(now) + 1 - float64(u.slots())
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / float64(u.slots()) * float64(work))
}

// markDown leaves the upstream alone for a time that doubles with each
// failure in a row.
func (u *upstream) markDown(now time.Time) {
	u.down = min(max(2*u.down, minDown), maxDown)
	u.downUntil = now.Add(u.down)
	// It may have started anew when it answers again.
	u.suspected = later(u.suspected, u.downUntil)
}

// fade returns what is left of a value after some time, in each half-life half of
// it.
func fade(value float64, age, halfLife time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(halfLife))
}

// usage counts requests, of which older ones count less.
type usage struct {
	weight float64
	at     time.Time
}

// now returns the number as faded since the last request.
func (g *usage) now(now time.Time) float64 {
	return fade(g.weight, now.Sub(g.at), useHalfLife)
}

func (g *usage) count(now time.Time) {
	g.weight = g.now(now) + 1
	g.at = now
}

// faultRate averages failures between 0 and 1. It fades while nothing happens.
type faultRate struct {
	rate float64
	at   time.Time
}

// now returns the rate as faded since the last attempt.
func (f *faultRate) now(now time.Time) float64 {
	return fade(f.rate, now.Sub(f.at), faultHalfLife)
}

func (f *faultRate) count(failed bool, weight float64, now time.Time) {
	f.rate = f.now(now) * (1 - weight)
	if failed {
		f.rate += weight
	}
	f.at = now
}

// average is an exponentially weighted mean of durations.
type average struct {
	value time.Duration
}

// averageWeight is the part of one value in an average.
const averageWeight = 0.1

func (a *average) add(d time.Duration) {
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += time.Duration(averageWeight * float64(d-a.value))
}

func (a *average) or(fallback time.Duration) time.Duration {
	if a.value == 0 {
		return fallback
	}
	return a.value
}
