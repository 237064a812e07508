package forwarder

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/authenticator"
	"github.com/endiverun/endiverun/entry/timekeeper"
)

// match is what one version of the policy says about a request.
type match struct {
	policy *core.RoutingPolicy
	route  *core.Route
	// organisation is nil if the request needs no key.
	organisation *core.OrganisationPolicy
	// homeRegions are the regions that both the route and the organisation allow; empty means
	// all.
	homeRegions []core.RegionName
}

// refusal is an error response to a request that was not run.
type refusal struct {
	status int
	cause  string
	detail string
	// retryAfter is the Retry-After time of a response with status 503 or 429.
	retryAfter time.Duration
}

// matchInput is what a request says about itself that decides how it is matched.
type matchInput struct {
	hostname, path string
	credentials    authenticator.Credentials
}

func (f *Forwarder) readMatchInput(ctx *fasthttp.RequestCtx) matchInput {
	return matchInput{
		hostname:    requestHostname(ctx),
		path:        requestPath(ctx),
		credentials: authenticator.ParseCredentials(ctx.Request.Header.PeekAll(f.HeaderNames.Credentials)),
	}
}

// match returns what the policy says about a request, or why it may not run. It is called again
// before each attempt, since routes, keys and home regions may change while a request waits.
func (f *Forwarder) match(policy *core.RoutingPolicy, request matchInput) (match, *refusal) {
	route, ok := policy.Match(request.hostname, request.path)
	if !ok {
		return match{policy: policy}, f.refuseUnlessCurrent(fasthttp.StatusNotFound, "no-route")
	}
	m := match{policy: policy, route: route}
	if route.UnservableReason != "" {
		return m, unavailable("route-unreadable", route.UnservableReason, invalidRouteRetryAfter)
	}
	organisation, verdict := f.Authenticator.Check(policy, route, request.credentials, timekeeper.Uptime())
	switch verdict {
	case authenticator.Accepted:
	case authenticator.Unknown:
		return m, f.refuseUnlessCurrent(fasthttp.StatusUnauthorized, verdict.String())
	case authenticator.Unconfirmed:
		return m, unavailable(verdict.String(), "the policy may be too old to vouch for keys", notReadyRetryAfter)
	case authenticator.Unreadable:
		return m, unavailable(verdict.String(), "", invalidRouteRetryAfter)
	}
	m.organisation = organisation
	if organisation == nil {
		m.homeRegions = route.HomeRegions
		return m, nil
	}
	if m.homeRegions, ok = core.CommonHomeRegions(route.HomeRegions, organisation.HomeRegions); !ok {
		return m, unavailable("no-home-region", "the route and the organisation have no home region in common", invalidRouteRetryAfter)
	}
	return m, nil
}

// refuseUnlessCurrent returns a refusal with the given status, or with 503 if a newer policy,
// which this host may not have, could allow the request.
func (f *Forwarder) refuseUnlessCurrent(status int, cause string) *refusal {
	if f.IsPolicyCurrent != nil && !f.IsPolicyCurrent() {
		return unavailable("policy-unconfirmed", "", notReadyRetryAfter)
	}
	return &refusal{status: status, cause: cause}
}

func unavailable(cause, detail string, retryAfter time.Duration) *refusal {
	return &refusal{status: fasthttp.StatusServiceUnavailable, cause: cause, detail: detail, retryAfter: retryAfter}
}

// refuse responds to a request that was not run.
func (f *Forwarder) refuse(ctx *fasthttp.RequestCtx, event Event, r refusal) {
	if r.detail != "" {
		event.Detail = r.detail
	}
	if r.status == fasthttp.StatusServiceUnavailable {
		f.respondUnavailable(ctx, event, r.cause, r.retryAfter)
		return
	}
	if r.status == fasthttp.StatusUnauthorized {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	}
	event.Cause, event.Status = r.cause, r.status
	if r.status == fasthttp.StatusTooManyRequests {
		f.respondLater(ctx, event, withJitter(r.retryAfter))
		return
	}
	ctx.SetStatusCode(r.status)
	notify(f.OnFailure, event)
}

// eventOf returns the event of a request as far as the match describes it.
func (m *match) eventOf(requestID string) Event {
	event := Event{RequestID: requestID, PolicyVersion: m.policy.Version}
	if m.route != nil {
		event.Route = m.route.Name
	}
	if m.organisation != nil {
		event.Organisation = m.organisation.Name
	}
	return event
}
