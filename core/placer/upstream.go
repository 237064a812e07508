package placer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endiverun/endiverun/core"
)

const (
	// defaultServiceTime is the service time assumed before one was measured.
	defaultServiceTime = 150 * time.Millisecond
	// defaultRoundTrip is the round-trip time to another region assumed before one
	// was measured.
	defaultRoundTrip = 30 * time.Millisecond
	// loadReportFreshness is how long a reported load counts in full. After that
	// it halves with each further loadReportFreshness.
	loadReportFreshness = 500 * time.Millisecond
	// slownessHalfLife is the half-life of a stated slowness. Other programs on the machine of
	// the upstream come and go within fractions of a second.
	slownessHalfLife = 400 * time.Millisecond
	// maxSlowness is the largest slowness that counts. A machine that is slower than that is
	// avoided by its queue and its failures.
	maxSlowness = 10.0
	// failureHalfLife is the half-life of a failure rate without new attempts.
	failureHalfLife = 3 * time.Second
	// failureWeight is the weight of one attempt in the failure rate of an
	// upstream, and serviceFailureWeight in that of its service.
	failureWeight        = 0.2
	serviceFailureWeight = 0.03
	// maxServedKeys is the largest number of keys remembered for each upstream.
	maxServedKeys = 256
	// minEjectionTime and maxEjectionTime limit how long an unreachable upstream
	// is ejected.
	minEjectionTime = 300 * time.Millisecond
	maxEjectionTime = 3 * time.Second
)

// upstream is the state of one incarnation of an upstream.
type upstream struct {
	core.Upstream
	availability
	// departure is set if the incarnation announced that it drains.
	departure *departure
	// excluded is Draining, Evacuated or Unassigned while this keeps requests from the upstream,
	// otherwise Open. It is kept up to date while the upstream is listed.
	excluded Closure
	region   core.RegionName
	// hash is the hash of the name, for rendezvous hashing.
	hash uint64
	// coldUntil is the end of a warm-up that the upstream or another host announced.
	coldUntil time.Time
	// suspectedAt is when the upstream may have become cold without announcing it.
	// It is zero if there is no such suspicion.
	suspectedAt time.Time
	// lastThrottled is when the warm-up limit last kept a request from the upstream.
	lastThrottled time.Time

	inFlight int
	usage    decayingCounter
	// sentAt holds the send times of the requests of the last second, oldest first.
	sentAt []time.Time
	// lastSentAt is the time of the last request; zero before the first.
	lastSentAt time.Time
	// externalLoad is the number of requests that the upstream reported at
	// reportedAt, without those that this host had in flight.
	externalLoad float64
	reportedAt   time.Time
	// slowness is what the upstream stated last at reportedAt (Load.Slowness), less 1; 0 if it
	// states none.
	slowness float64

	failures failureRate
	// serviceTime averages the processing time of requests that did not queue.
	serviceTime movingAverage

	removedAt time.Time
	// ejectedUntil is the end of the last ejection, and ejectionTime its length, 0
	// after a successful attempt.
	ejectedUntil time.Time
	ejectionTime time.Duration
	limit        KnownLimit
	// limitChangedAt is when the limit changed last, and listedAt when this host first had
	// the upstream in its list.
	limitChangedAt, listedAt time.Time
	limitUse                 limitUse

	// servedKeys holds the hashes of keys that this host sent to the upstream.
	servedKeys map[uint64]struct{}
}

func newUpstream(item core.Upstream, region core.RegionName, now time.Time) *upstream {
	return &upstream{
		listedAt:   now,
		Upstream:   item,
		region:     region,
		hash:       xxhash.Sum64String(string(item.Name)),
		servedKeys: map[uint64]struct{}{},
	}
}

// isSameIncarnation reports whether a registration is of this incarnation of the upstream.
func (u *upstream) isSameIncarnation(item core.Upstream) bool {
	return u.Incarnation == item.Incarnation && u.Address == item.Address && u.Service == item.Service
}

// startAttempt records the start of an attempt with the given key.
func (u *upstream) startAttempt(key uint64, now time.Time) {
	u.inFlight++
	u.sentLastSecond(now) // removes older send times
	if len(u.servedKeys) >= maxServedKeys {
		for k := range u.servedKeys {
			delete(u.servedKeys, k)
			break
		}
	}
	u.servedKeys[key] = struct{}{}
	u.usage.increment(now)
	u.sentAt = append(u.sentAt, now)
	u.lastSentAt = now
}

// sentLastSecond returns the number of requests sent in the last second and
// removes older send times.
func (u *upstream) sentLastSecond(now time.Time) int {
	old := 0
	for old < len(u.sentAt) && now.Sub(u.sentAt[old]) >= time.Second {
		old++
	}
	u.sentAt = slices.Delete(u.sentAt, 0, old)
	return len(u.sentAt)
}

func (u *upstream) finishAttempt() {
	u.inFlight = max(u.inFlight-1, 0)
}

// isCold reports whether the upstream is cold or may be: it announced a warm-up
// that has not ended, or less than a warm-up has passed since it was suspected.
func (u *upstream) isCold(warmUp time.Duration, now time.Time) bool {
	return now.Before(u.coldUntil) || now.Before(u.suspectedAt.Add(warmUp))
}

func (u *upstream) isEjected(now time.Time) bool {
	return now.Before(u.ejectedUntil)
}

// load estimates the number of requests at the upstream, running and queued.
func (u *upstream) load(now time.Time) float64 {
	externalLoad := u.externalLoad
	if age := now.Sub(u.reportedAt); age > loadReportFreshness {
		externalLoad *= math.Exp2(-float64(age-loadReportFreshness) / float64(loadReportFreshness))
	}
	return float64(u.inFlight) + externalLoad
}

// updateLoad records the load that a response reported. The request of that
// response is no longer in flight.
func (u *upstream) updateLoad(load Load, now time.Time) {
	u.externalLoad = max(0, float64(load.Running+load.Waiting-u.inFlight))
	u.reportedAt = now
	if load.Slots > 0 {
		u.Slots = load.Slots
	}
	u.slowness = 0
	if load.Slowness > 0 {
		u.slowness = min(load.Slowness, maxSlowness) - 1
	}
}

// expectedSlowness returns by how much longer than usual a request is expected to take, as a
// multiple of the usual time. What was stated counts less the older it is.
func (u *upstream) expectedSlowness(now time.Time) float64 {
	return decay(u.slowness, now.Sub(u.reportedAt), slownessHalfLife)
}

// markOverloaded records that the upstream shed a request without reporting its
// load: its slots and a queue of the same length are taken to be full.
func (u *upstream) markOverloaded(now time.Time) {
	u.externalLoad = max(u.externalLoad, float64(2*u.slots()-u.inFlight))
	u.reportedAt = now
}

// slots returns the concurrency limit of the upstream, at least 1.
func (u *upstream) slots() int {
	return max(u.Slots, 1)
}

// queueTime estimates how long one more request would queue at the upstream.
func (u *upstream) queueTime(serviceTime time.Duration, now time.Time) time.Duration {
	excess := u.load(now) + 1 - float64(u.slots())
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / float64(u.slots()) * float64(serviceTime))
}

// eject keeps requests from the upstream for a time that doubles with each
// consecutive failure to reach it.
func (u *upstream) eject(now time.Time) {
	u.ejectionTime = min(max(2*u.ejectionTime, minEjectionTime), maxEjectionTime)
	u.ejectedUntil = now.Add(u.ejectionTime)
	// The upstream may have restarted by the time it is reachable again.
	u.suspectedAt = later(u.suspectedAt, u.ejectedUntil)
}

// decay returns a value after exponential decay with the given half-life.
func decay(value float64, age, halfLife time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(halfLife))
}

// decayingCounter counts requests with exponential decay.
type decayingCounter struct {
	value     float64
	updatedAt time.Time
}

// valueAt returns the count, decayed since the last request.
func (g *decayingCounter) valueAt(now time.Time) float64 {
	return decay(g.value, now.Sub(g.updatedAt), useHalfLife)
}

func (g *decayingCounter) increment(now time.Time) {
	g.value = g.valueAt(now) + 1
	g.updatedAt = now
}

// failureRate is an exponentially weighted mean of failures, between 0 and 1. It
// decays while there are no attempts.
type failureRate struct {
	rate      float64
	updatedAt time.Time
}

// rateAt returns the rate, decayed since the last attempt.
func (f *failureRate) rateAt(now time.Time) float64 {
	return decay(f.rate, now.Sub(f.updatedAt), failureHalfLife)
}

func (f *failureRate) record(failed bool, weight float64, now time.Time) {
	f.rate = f.rateAt(now) * (1 - weight)
	if failed {
		f.rate += weight
	}
	f.updatedAt = now
}

// movingAverage is an exponentially weighted mean of durations.
type movingAverage struct {
	value time.Duration
}

// averageWeight is the weight of one value in a moving average.
const averageWeight = 0.1

func (a *movingAverage) add(d time.Duration) {
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += time.Duration(averageWeight * float64(d-a.value))
}

// valueOr returns the mean, or the fallback if no value was added.
func (a *movingAverage) valueOr(fallback time.Duration) time.Duration {
	if a.value == 0 {
		return fallback
	}
	return a.value
}
