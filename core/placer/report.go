package placer

import (
	"math"
	"time"

	"github.com/endiverun/endiverun/core"
)

// Outcome is how an attempt ended, as far as it concerns the upstream.
type Outcome uint8

// The outcomes.
const (
	// Done is a whole answer of a run.
	Done Outcome = iota
	// Failed is an answer that reports a failure of the upstream itself.
	Failed
	// Shed is a rejection for lack of room.
	Shed
	// Unreachable means that no connection was made.
	Unreachable
	// Broken means that the connection ended or went silent before an answer.
	Broken
	// Misdirected means that another upstream has the address.
	Misdirected
	// Abandoned means that the client left or the time was over.
	Abandoned
)

// String returns the outcome as logs write it.
func (o Outcome) String() string {
	names := [...]string{"done", "failed", "shed", "unreachable", "broken", "misdirected", "abandoned"}
	if int(o) < len(names) {
		return names[o]
	}
	return "invalid"
}

// Load is what an upstream told of its own load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Report is what an attempt showed.
type Report struct {
	Outcome Outcome
	// Run is the time from the send to the answer.
	Run time.Duration
	// Dial is the time that opening a connection took; 0 where one was kept.
	Dial time.Duration
	// Load is nil where the answer told none.
	Load *Load
	// Reopened says that kept connections had been closed by the upstream, as
	// they are when it starts anew.
	Reopened bool
	// Cold is how long the upstream said that it stays cold.
	Cold time.Duration
}

// Report ends a choice and takes what its attempt showed.
func (p *Placer) Report(choice Choice, report Report, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if report.Dial > 0 {
		p.countTrip(choice, report.Dial)
	}
	u := p.upstreams[choice.Upstream.Name]
	if u == nil || u.Incarnation != choice.Upstream.Incarnation {
		return
	}
	u.end()
	if report.Load != nil {
		u.report(*report.Load, now)
	}
	if report.Cold > 0 {
		u.coldUntil = later(u.coldUntil, now.Add(report.Cold))
	}
	if report.Reopened {
		u.suspected = later(u.suspected, now)
	}
	p.judge(u, choice, report, now)
}

func (p *Placer) judge(u *upstream, choice Choice, report Report, now time.Time) {
	switch report.Outcome {
	case Done:
		p.countFault(u, false, now)
		u.down = 0
		p.countRun(u, choice, report.Run-choice.Trip)
	case Failed:
		p.countFault(u, true, now)
	case Shed:
		if report.Load == nil {
			u.overload(now)
		}
		p.countFault(u, true, now)
	case Broken:
		p.countFault(u, true, now)
		delete(u.known, choice.key)
	case Unreachable, Misdirected:
		p.countFault(u, true, now)
		delete(u.known, choice.key)
		u.markDown(now)
	case Abandoned:
	}
}

// countFault counts an attempt for the upstream and for its service.
func (p *Placer) countFault(u *upstream, failed bool, now time.Time) {
	u.fault.count(failed, faultWeight, now)
	if s := p.services[u.Service]; s != nil {
		s.fault.count(failed, serviceFaultWeight, now)
	}
}

// countRun takes the time of a run that did not queue.
func (p *Placer) countRun(u *upstream, choice Choice, run time.Duration) {
	if choice.isQueued || run <= 0 {
		return
	}
	u.run.add(run)
	if s := p.services[u.Service]; s != nil {
		s.work.add(run)
	}
}

// countTrip takes the time of opening a connection, which is one round trip.
func (p *Placer) countTrip(choice Choice, dial time.Duration) {
	if p.trips == nil {
		p.trips = map[core.RegionName]time.Duration{}
	}
	known, ok := p.trips[choice.Region]
	if !ok || dial < known {
		p.trips[choice.Region] = dial
		return
	}
	p.trips[choice.Region] = known + time.Duration(averageWeight*float64(min(dial, 2*known)-known))
}

// rendezvous returns the score of one of several weighted names for a key, by
// the hash of the name.
func rendezvous(key, name uint64, weight float64) float64 {
	const smallest = 1e-18
	return -weight / math.Log(max(unit(core.Mix(key, name)), smallest))
}
