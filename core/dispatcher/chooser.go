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
	hasLocal := summary.Free > 0
	best, bestCost, ok := r.bestPeer(d, hasLocal, now)
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
	demand := balancer.Demand{Reserve: reserve, Exclude: d.excluded, OnlyCertain: d.isForeign()}
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

// bestPeer returns the host with room that costs least: one of this region, or,
// where neither it nor this host has room, of another region.
func (r *Dispatcher) bestPeer(d *Dispatch, hasLocal bool, now time.Time) (tracker.Member, float64, bool) {
	var best tracker.Member
	bestCost := 0.0
	found := false
	r.refreshView(now)
	for _, m := range r.near {
		spare, ok := usableSpare(d, m)
		if !ok {
			continue
		}
		c := r.cost(r.RoundTrip(m.Host), spare.Expected, spare.Free, spare.Total)
		if !found || c < bestCost {
			best, bestCost, found = m, c, true
		}
	}
	if found || hasLocal {
		return best, bestCost, found
	}
	return r.bestFar(d, now)
}

// bestFar returns the host of another region with room that costs least.
func (r *Dispatcher) bestFar(d *Dispatch, now time.Time) (tracker.Member, float64, bool) {
	var best tracker.Member
	bestCost := 0.0
	found := false
	for _, m := range r.far {
		spare, ok := usableSpare(d, m)
		if !ok || spare.Free <= reserveOf(spare.Total) {
			continue
		}
		c := r.cost(r.RoundTrip(m.Host), spare.Expected, spare.Free, spare.Total)
		if (!found || c < bestCost) && r.mayLeaveRegion(d, m, now) {
			best, bestCost, found = m, c, true
		}
	}
	return best, bestCost, found
}

// usableSpare returns what a member can take in of the request's service.
func usableSpare(d *Dispatch, m tracker.Member) (tracker.Spare, bool) {
	if m.Phase != core.PhaseLive || slices.Contains(d.refused, m.Host.Name) {
		return tracker.Spare{}, false
	}
	for _, s := range m.Spares {
		if s.Service == d.request.Service && s.Free > 0 {
			return s, true
		}
	}
	return tracker.Spare{}, false
}

// mayLeaveRegion reports whether handing the request to another region is
// quicker than waiting here, and permitted by the link's share.
func (r *Dispatcher) mayLeaveRegion(d *Dispatch, m tracker.Member, now time.Time) bool {
	summary := r.Balancer.Summarize(d.request.Service, now)
	if summary.Total > 0 {
		waiting := r.queue(d.request.Service, d.isForeign()).Len()
		wait := time.Duration(waiting+1) * summary.Mean / time.Duration(summary.Total)
		if summary.Free > 0 || wait < r.RoundTrip(m.Host) {
			return false
		}
	}
	size := core.Bytes(len(d.request.Body))
	return r.Links.CanSend(m.Host.Zone.Region, size, sendWithin, now)
}

// refreshView reads the live members where the last view is old. The caller
// holds mu.
func (r *Dispatcher) refreshView(now time.Time) {
	if !r.viewed.IsZero() && now.Sub(r.viewed) < viewAge && !now.Before(r.viewed) {
		return
	}
	r.viewed = now
	r.near, r.far = r.near[:0], r.far[:0]
	for _, m := range r.Tracker.Live(now) {
		if m.Host.Zone.Region == r.Self.Zone.Region {
			r.near = append(r.near, m)
		} else {
			r.far = append(r.far, m)
		}
	}
}

// setView replaces the spares of a host in the view. The caller holds mu.
func (r *Dispatcher) setView(host core.HostName, change func([]tracker.Spare) []tracker.Spare) {
	for _, list := range [][]tracker.Member{r.near, r.far} {
		for i := range list {
			if list[i].Host.Name == host {
				list[i].Spares = change(list[i].Spares)
				return
			}
		}
	}
}

// takeView lowers the free slots in the view as Tracker.TakeSpare does in the
// tracker. The caller holds mu.
func (r *Dispatcher) takeView(host core.HostName, service core.ServiceName) {
	r.setView(host, func(old []tracker.Spare) []tracker.Spare {
		spares := slices.Clone(old)
		for i := range spares {
			if spares[i].Service == service && spares[i].Free > 0 {
				spares[i].Free--
			}
		}
		return spares
	})
}

// learn takes in what a host said of its room; none means unreachable.
func (r *Dispatcher) learn(host core.Host, spares []tracker.Spare) {
	if spares == nil {
		r.Tracker.Suspect(host.Life())
	} else {
		r.Tracker.SetSpare(host.Life(), spares)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setView(host.Name, func([]tracker.Spare) []tracker.Spare { return spares })
}

// Explain says where a request for a service would go now. It takes nothing.
func (r *Dispatcher) Explain(service core.ServiceName, now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	probe := &Dispatch{shared: r, request: core.Request{Service: service}}
	summary := r.Balancer.Summarize(service, now)
	best, bestCost, ok := r.bestPeer(probe, summary.Free > 0, now)
	switch {
	case r.queue(service, false).Len() > 0:
		return "wait in the queue of this host"
	case ok && (summary.Free == 0 || bestCost < (1-switchGain)*r.localCost(summary)):
		return "hand over to " + string(best.Host.Name)
	case summary.Free > 0:
		return "run at an upstream of this host"
	default:
		return "wait in the queue of this host"
	}
}
