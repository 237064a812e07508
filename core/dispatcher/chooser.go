package dispatcher

import (
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/balancer"
	"github.com/endiverun/endiverun/core/tracker"
)

// Weights of the choice between places.
const (
	// switchGain is the part of the local cost that a peer must save.
	switchGain = 0.25
	// foreignReserve is the part of its slots that a host keeps from requests
	// of other regions.
	foreignReserve = 0.2
	// sendWithin is how soon a request must start to leave over a link.
	sendWithin = 20 * time.Millisecond
)

// grant is the place that was chosen for an attempt: an upstream of this host,
// whose slot is taken, or another host.
type grant struct {
	upstream core.Upstream
	host     core.Host
}

func (g grant) isEmpty() bool {
	return g.upstream.Name == "" && g.host.Name == ""
}

// choose takes a slot for the request here, or picks another host. The caller
// holds mu.
func (r *Dispatcher) choose(d *Dispatch, now time.Time) (grant, bool) {
	summary := r.Balancer.Summarize(d.request.Service, now)
	if !d.origin.mayForward() {
		return r.chooseLocal(d, r.reserveFor(d.origin, summary.Total), now)
	}
	best, bestCost, ok := r.bestPeer(d, now)
	hasLocal := summary.Free > 0
	if ok && d.forwards < maxForwards && (!hasLocal || bestCost < (1-switchGain)*r.localCost(summary)) {
		r.Tracker.TakeSpare(best.Host.Name, d.request.Service)
		r.takeView(best.Host.Name, d.request.Service)
		return grant{host: best.Host}, true
	}
	if !hasLocal {
		return grant{}, false
	}
	return r.chooseLocal(d, 0, now)
}

func (r *Dispatcher) chooseLocal(d *Dispatch, reserve int, now time.Time) (grant, bool) {
	demand := balancer.Demand{Reserve: reserve, Exclude: d.excluded}
	upstream, ok := r.Balancer.Acquire(d.request.Service, demand, now)
	return grant{upstream: upstream}, ok
}

// reserveFor returns the slots that a request of the given origin must leave
// free.
func (r *Dispatcher) reserveFor(origin Origin, total int) int {
	if origin.Peer.Zone.Region == r.Self.Zone.Region {
		return 0
	}
	return reserveOf(total)
}

// reserveOf returns the slots kept from requests of other regions.
func reserveOf(total int) int {
	return int(float64(total)*foreignReserve + 0.999)
}

// cost of running a request somewhere, in seconds: the time it takes, and the
// used part of the place, each weighed by the operator.
func (r *Dispatcher) cost(trip, expected time.Duration, free, total int) float64 {
	objectives := r.Configuration().Objectives
	sum := objectives.Latency.OrOne() + objectives.Headroom.OrOne()
	latency := objectives.Latency.OrOne() / sum
	used := 1 - float64(free)/float64(max(1, total))
	return trip.Seconds() + expected.Seconds()*(1+(1-latency)*used)
}

func (r *Dispatcher) localCost(summary balancer.Summary) float64 {
	return r.cost(0, summary.Expected, summary.Free, summary.Total)
}

// bestPeer returns the host with room that costs least: one of this region,
// or of another region while waiting here would take longer than the way.
func (r *Dispatcher) bestPeer(d *Dispatch, now time.Time) (tracker.Member, float64, bool) {
	var best tracker.Member
	bestCost := 0.0
	found := false
	for _, m := range r.view(now) {
		spare, ok := r.usableSpare(d, m, now)
		if !ok {
			continue
		}
		c := r.cost(r.RoundTrip(m.Host), spare.Expected, spare.Free, spare.Total)
		if !found || c < bestCost {
			best, bestCost, found = m, c, true
		}
	}
	return best, bestCost, found
}

// usableSpare returns what a member can take in of the request's service.
func (r *Dispatcher) usableSpare(d *Dispatch, m tracker.Member, now time.Time) (tracker.Spare, bool) {
	if m.Phase != core.PhaseLive || slices.Contains(d.refused, m.Host.Name) {
		return tracker.Spare{}, false
	}
	for _, s := range m.Spares {
		if s.Service != d.request.Service || s.Free <= 0 {
			continue
		}
		if m.Host.Zone.Region == r.Self.Zone.Region {
			return s, true
		}
		return s, s.Free > reserveOf(s.Total) && r.mayLeaveRegion(d, m, now)
	}
	return tracker.Spare{}, false
}

// mayLeaveRegion reports whether handing the request to another region is
// quicker than waiting here, and permitted by the link's share.
func (r *Dispatcher) mayLeaveRegion(d *Dispatch, m tracker.Member, now time.Time) bool {
	summary := r.Balancer.Summarize(d.request.Service, now)
	if summary.Total > 0 {
		waiting := r.queue(d.request.Service).Len()
		wait := time.Duration(waiting+1) * summary.Mean / time.Duration(summary.Total)
		if summary.Free > 0 || wait < r.RoundTrip(m.Host) {
			return false
		}
	}
	size := core.Bytes(len(d.request.Body))
	return r.Links.CanSend(m.Host.Zone.Region, size, sendWithin, now)
}

// view returns the live members. The caller holds mu.
func (r *Dispatcher) view(now time.Time) []tracker.Member {
	if r.members == nil || now.Sub(r.viewed) >= viewAge || now.Before(r.viewed) {
		r.members, r.viewed = r.Tracker.Live(now), now
	}
	return r.members
}

// takeView lowers the free slots in the view as Tracker.TakeSpare does in the
// tracker.
func (r *Dispatcher) takeView(host core.HostName, service core.ServiceName) {
	for i := range r.members {
		if r.members[i].Host.Name != host {
			continue
		}
		spares := slices.Clone(r.members[i].Spares)
		for j := range spares {
			if spares[j].Service == service && spares[j].Free > 0 {
				spares[j].Free--
			}
		}
		r.members[i].Spares = spares
	}
}

// dropView makes the next choice read the tracker again.
func (r *Dispatcher) dropView() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = nil
}

// Explain says where a request for a service would go now. It takes nothing.
func (r *Dispatcher) Explain(service core.ServiceName, now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	probe := &Dispatch{shared: r, request: core.Request{Service: service}}
	summary := r.Balancer.Summarize(service, now)
	best, bestCost, ok := r.bestPeer(probe, now)
	switch {
	case r.queue(service).Len() > 0:
		return "wait in the queue of this host"
	case ok && (summary.Free == 0 || bestCost < (1-switchGain)*r.localCost(summary)):
		return "hand over to " + string(best.Host.Name)
	case summary.Free > 0:
		return "run at an upstream of this host"
	default:
		return "wait in the queue of this host"
	}
}
