package balancer

import (
	"time"

	"github.com/endiverun/endiverun/core"
)

// Release returns the slot of an attempt and records its result.
func (t *Table) Release(name core.UpstreamName, result Result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[name]
	if s == nil {
		return
	}
	s.InFlight--
	t.recordResult(s, result, now)
	if !s.isOwned && s.InFlight == 0 {
		delete(t.states, name)
	}
}

// recordResult updates the limit, failure rate and service time of an upstream after an
// attempt. The caller holds mu.
func (t *Table) recordResult(s *UpstreamState, result Result, now time.Time) {
	switch {
	case result.Cancelled:
	case result.StaleConnection:
		s.addAbandoned(now)
	case result.Shed:
		s.ConcurrencyLimit = max(1, min(s.ConcurrencyLimit, s.InFlight))
		s.limitRaisedAt = now
	case result.RunState == core.Answered:
		s.failureRate *= 1 - failureRateWeight
		if s.failureRate < ejectionResetRate {
			s.ejections = 0
		}
		s.recordServiceTime(result.ServiceTime, now)
	default:
		s.failureRate += failureRateWeight * (1 - s.failureRate)
		if result.RunState == core.RunUnknown {
			s.addAbandoned(now)
		}
		t.ejectFailing(s, now)
	}
}

// AttemptTimeout returns how long to wait for a response of the upstream before a retry
// elsewhere may be quicker; 0 where no service time is known.
func (t *Table) AttemptTimeout(name core.UpstreamName) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[name]
	if s == nil || s.MeanServiceTime == 0 {
		return 0
	}
	return max(minAttemptTimeout, attemptTimeoutFactor*s.MeanServiceTime)
}

// ejectFailing ejects an upstream whose failure rate is too high, unless more than half
// of the service's upstreams would then be ejected. The caller holds mu.
func (t *Table) ejectFailing(s *UpstreamState, now time.Time) {
	if s.failureRate < ejectionFailureRate {
		return
	}
	list := t.byService[s.Service]
	ejected := 0
	for _, o := range list {
		if o != s && now.Before(o.EjectedUntil) {
			ejected++
		}
	}
	if (ejected+1)*2 > len(list) {
		return
	}
	duration := min(maxEjectionTime, baseEjectionTime<<min(s.ejections, 5))
	s.ejections++
	s.failureRate = 0
	s.EjectedUntil = now.Add(duration)
	s.ConcurrencyLimit = 1
	s.limitRaisedAt = s.EjectedUntil
}
