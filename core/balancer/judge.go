package balancer

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// Release gives a slot back and takes in what became of the attempt.
func (t *Table) Release(name core.UpstreamName, result Result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[name]
	if s == nil {
		return
	}
	s.InFlight--
	t.judge(s, result, now)
	if !s.owned && s.InFlight == 0 {
		delete(t.states, name)
	}
}

func (t *Table) judge(s *State, result Result, now time.Time) {
	switch {
	case result.Cancelled:
	case result.Stale:
		s.abandon(now)
	case result.Shed:
		s.Limit = max(1, min(s.Limit, s.InFlight))
		s.rampedAt = now
	case result.State == core.Answered:
		s.failing *= 1 - failureSmoothing
		if s.failing < forgiveBelow {
			s.ejections = 0
		}
		s.measure(result.Duration, now)
	default:
		s.failing += failureSmoothing * (1 - s.failing)
		if result.State == core.RunUnknown {
			s.abandon(now)
		}
		t.eject(s, now)
	}
}

// Patience returns how long to wait for an answer before another attempt may
// be worth it; 0 means that nothing is known.
func (t *Table) Patience(name core.UpstreamName) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[name]
	if s == nil || s.Mean == 0 {
		return 0
	}
	return max(patienceLeast, patienceFactor*s.Mean)
}

// eject takes an upstream out after repeated failures, up to half of its
// service.
func (t *Table) eject(s *State, now time.Time) {
	if s.failing < ejectAbove {
		return
	}
	list := t.byName[s.Service]
	ejected := 0
	for _, o := range list {
		if o != s && now.Before(o.EjectedUntil) {
			ejected++
		}
	}
	if (ejected+1)*2 > len(list) {
		return
	}
	pause := min(ejectMost, ejectBase<<min(s.ejections, 5))
	s.ejections++
	s.failing = 0
	s.EjectedUntil = now.Add(pause)
	s.Limit = 1
	s.rampedAt = s.EjectedUntil
}
