package forwarder

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/creditor"
)

// quota returns the quota of the organisation of a request; no limit if it has none.
func (m *match) quota() core.Quota {
	if m.organisation == nil {
		return core.Quota{}
	}
	return m.organisation.Quota
}

// refusedByQuota returns a refusal if the organisation is known to have no credit now.
func (f *Forwarder) refusedByQuota(m match, now time.Time) *refusal {
	if f.Creditor == nil || m.organisation == nil {
		return nil
	}
	retryAfter, isExhausted := f.Creditor.Exhausted(m.organisation.Name, m.quota(), now)
	if !isExhausted {
		return nil
	}
	return overQuota(retryAfter)
}

func overQuota(retryAfter time.Duration) *refusal {
	return &refusal{status: fasthttp.StatusTooManyRequests, cause: "over-quota", retryAfter: retryAfter}
}

// ensureCredit obtains a credit of the request's organisation unless the request has one that may
// still be used. It returns false, and sets refused, if there is none.
func (r *requestState) ensureCredit(ctx context.Context) bool {
	quota := r.match.quota()
	if quota.Rate <= 0 || r.credit != nil && r.credit.Organisation == r.match.organisation.Name && r.credit.IsFresh(time.Now()) {
		return true
	}
	r.returnCredit()
	if r.forwarder.Creditor == nil {
		r.refused = unavailable("quota-unknown", "the host has no address for credits", invalidRouteRetryAfter)
		return false
	}
	credit, outcome := r.forwarder.Creditor.Take(ctx, r.match.organisation.Name, quota, r.deadline)
	switch outcome.Result {
	case creditor.Granted:
		r.credit = &credit
		return true
	case creditor.Exhausted:
		r.refused = overQuota(outcome.RetryAfter)
	case creditor.Unavailable:
		r.refused = unavailable("quota-unknown", "no host that grants credits answered", outcome.RetryAfter)
	}
	return false
}

// returnCredit gives back the credit of the request if it has an unused one.
func (r *requestState) returnCredit() {
	if r.credit != nil {
		r.forwarder.Creditor.Return(*r.credit)
		r.credit = nil
	}
}
