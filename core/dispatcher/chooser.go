package dispatcher

import (
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/balancer"
	"github.com/endiverun/endiverun/core/tracker"
)

// Parameters of the selection between this host and others.
const (
	// minForwardGain is the fraction of the local cost that forwarding must save.
	minForwardGain = 0.25
	// remoteReserve is the fraction of its slots that a host does not give to requests
	// forwarded from other regions.
	remoteReserve = 0.2
	// maxSendTime is the time within which a link must be able to carry a request's
	// body, so that the request is forwarded to another region.
	maxSendTime = 20 * time.Millisecond
)

// target is where an attempt is sent: an upstream of this host, one of whose slots is
// acquired, or another host.
type target struct {
	upstream core.Upstream
	host     core.Host
}

// isEmpty reports whether no target was selected.
func (t target) isEmpty() bool {
	return t.upstream.Name == "" && t.host.Name == ""
}

// selectTarget acquires a slot of an upstream of this host, or selects another host. It
// returns false where neither has a free slot. The caller holds mu.
func (r *Dispatcher) selectTarget(d *Dispatch, now time.Time) (target, bool) {
	summary := r.Balancer.Capacity(d.request.Service, now)
	if !d.origin.mayForward() {
		return r.acquireLocal(d, r.reserveFor(d.origin, summary.TotalSlots), now)
	}
	hasLocal := summary.FreeSlots > 0
	best, bestCost, ok := r.bestPeer(d, hasLocal, now)
	if ok && d.forwards < maxForwards && (!hasLocal || bestCost < (1-minForwardGain)*r.localCost(summary)) {
		r.Tracker.ReserveSlot(best.Host.Name, d.request.Service)
		r.takeSpareInView(best.Host.Name, d.request.Service)
		return target{host: best.Host}, true
	}
	if !hasLocal {
		return target{}, false
	}
	return r.acquireLocal(d, 0, now)
}

// acquireLocal acquires a slot of an upstream of this host, where more than reserve
// slots are free.
func (r *Dispatcher) acquireLocal(d *Dispatch, reserve int, now time.Time) (target, bool) {
	demand := balancer.AcquireOptions{ReservedSlots: reserve, Exclude: d.triedUpstreams, RequireExactCount: d.isRemote()}
	upstream, ok := r.Balancer.Acquire(d.request.Service, demand, now)
	return target{upstream: upstream}, ok
}

// reserveFor returns the number of slots that a request of the given origin must leave
// free.
func (r *Dispatcher) reserveFor(origin Origin, total int) int {
	if origin.Peer.Zone.Region == r.Self.Zone.Region {
		return 0
	}
	return reserveOf(total)
}

// reserveOf returns the number of slots, out of total, that are not given to requests
// forwarded from other regions. It rounds up.
func reserveOf(total int) int {
	return int(float64(total)*remoteReserve + 0.999)
}

// cost returns the cost of running a request on a host, in seconds: the round trip plus
// the expected service time, which is increased by the fraction of slots in use
// according to the operator's weights of latency and headroom.
func (r *Dispatcher) cost(roundTrip, expected time.Duration, free, total int) float64 {
	objectives := r.Configuration().Objectives
	sum := objectives.Latency.OrOne() + objectives.Headroom.OrOne()
	latency := objectives.Latency.OrOne() / sum
	utilization := 1 - float64(free)/float64(max(1, total))
	return roundTrip.Seconds() + expected.Seconds()*(1+(1-latency)*utilization)
}

// localCost returns the cost of running a request on this host.
func (r *Dispatcher) localCost(summary balancer.Capacity) float64 {
	return r.cost(0, summary.BestServiceTime, summary.FreeSlots, summary.TotalSlots)
}

// bestPeer returns the host with free slots and the lowest cost. It considers hosts of
// other regions only if neither this host nor any other host of this region has a free
// slot. The caller holds mu.
func (r *Dispatcher) bestPeer(d *Dispatch, hasLocal bool, now time.Time) (tracker.Member, float64, bool) {
	var best tracker.Member
	bestCost := 0.0
	found := false
	r.refreshView(now)
	for _, m := range r.localMembers {
		spare, ok := usableSpare(d, m)
		if !ok {
			continue
		}
		c := r.cost(r.RoundTrip(m.Host), spare.BestServiceTime, spare.FreeSlots, spare.TotalSlots)
		if !found || c < bestCost {
			best, bestCost, found = m, c, true
		}
	}
	if found || hasLocal {
		return best, bestCost, found
	}
	return r.bestRemotePeer(d, now)
}

// bestRemotePeer returns the host of another region with free slots beyond its reserve
// and the lowest cost. The caller holds mu.
func (r *Dispatcher) bestRemotePeer(d *Dispatch, now time.Time) (tracker.Member, float64, bool) {
	var best tracker.Member
	bestCost := 0.0
	found := false
	for _, m := range r.remoteMembers {
		spare, ok := usableSpare(d, m)
		if !ok || spare.FreeSlots <= reserveOf(spare.TotalSlots) {
			continue
		}
		c := r.cost(r.RoundTrip(m.Host), spare.BestServiceTime, spare.FreeSlots, spare.TotalSlots)
		if (!found || c < bestCost) && r.maySpillOver(d, m, now) {
			best, bestCost, found = m, c, true
		}
	}
	return best, bestCost, found
}

// usableSpare returns the spare capacity of a member for the request's service. It
// returns false where there is none, or the request must not be forwarded to it.
func usableSpare(d *Dispatch, m tracker.Member) (tracker.ServiceCapacity, bool) {
	if m.Phase != core.PhaseLive || slices.Contains(d.triedHosts, m.Host.Name) {
		return tracker.ServiceCapacity{}, false
	}
	for _, s := range m.Capacities {
		if s.Service == d.request.Service && s.FreeSlots > 0 {
			return s, true
		}
	}
	return tracker.ServiceCapacity{}, false
}

// maySpillOver reports whether forwarding the request to a host of another region is
// expected to be quicker than waiting in the queue here, and this host may send that
// much over the link. The caller holds mu.
func (r *Dispatcher) maySpillOver(d *Dispatch, m tracker.Member, now time.Time) bool {
	summary := r.Balancer.Capacity(d.request.Service, now)
	if summary.TotalSlots > 0 {
		queued := r.queue(d.request.Service, d.isRemote()).Len()
		queueTime := time.Duration(queued+1) * summary.MeanServiceTime / time.Duration(summary.TotalSlots)
		if summary.FreeSlots > 0 || queueTime < r.RoundTrip(m.Host) {
			return false
		}
	}
	size := core.Bytes(len(d.request.Body))
	return r.LinkLimiter.CanSend(m.Host.Zone.Region, size, maxSendTime, now)
}

// refreshView reads the live members from the tracker if the view is older than
// maxViewAge. The caller holds mu.
func (r *Dispatcher) refreshView(now time.Time) {
	if !r.viewedAt.IsZero() && now.Sub(r.viewedAt) < maxViewAge && !now.Before(r.viewedAt) {
		return
	}
	r.viewedAt = now
	r.localMembers, r.remoteMembers = r.localMembers[:0], r.remoteMembers[:0]
	for _, m := range r.Tracker.Live(now) {
		if m.Host.Zone.Region == r.Self.Zone.Region {
			r.localMembers = append(r.localMembers, m)
		} else {
			r.remoteMembers = append(r.remoteMembers, m)
		}
	}
}

// updateView replaces the spare capacity of a host in the view. The caller holds mu.
func (r *Dispatcher) updateView(host core.HostName, update func([]tracker.ServiceCapacity) []tracker.ServiceCapacity) {
	for _, list := range [][]tracker.Member{r.localMembers, r.remoteMembers} {
		for i := range list {
			if list[i].Host.Name == host {
				list[i].Capacities = update(list[i].Capacities)
				return
			}
		}
	}
}

// takeSpareInView reduces the free slots of a host in the view, as Tracker.ReserveSlot
// does in the tracker. The caller holds mu.
func (r *Dispatcher) takeSpareInView(host core.HostName, service core.ServiceName) {
	r.updateView(host, func(old []tracker.ServiceCapacity) []tracker.ServiceCapacity {
		spares := slices.Clone(old)
		for i := range spares {
			if spares[i].Service == service && spares[i].FreeSlots > 0 {
				spares[i].FreeSlots--
			}
		}
		return spares
	})
}

// recordSpares records the spare capacity that a host reported; nil means that the host
// was unreachable.
func (r *Dispatcher) recordSpares(host core.Host, spares []tracker.ServiceCapacity) {
	if spares == nil {
		r.Tracker.MarkUnreachable(host.Instance())
	} else {
		r.Tracker.SetCapacities(host.Instance(), spares)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateView(host.Name, func([]tracker.ServiceCapacity) []tracker.ServiceCapacity { return spares })
}

// Explain returns where a request for a service would be sent now, as a phrase for
// operators. It acquires no slot.
func (r *Dispatcher) Explain(service core.ServiceName, now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	example := &Dispatch{dispatcher: r, request: core.Request{Service: service}}
	summary := r.Balancer.Capacity(service, now)
	best, bestCost, ok := r.bestPeer(example, summary.FreeSlots > 0, now)
	switch {
	case r.queue(service, false).Len() > 0:
		return "wait in the queue of this host"
	case ok && (summary.FreeSlots == 0 || bestCost < (1-minForwardGain)*r.localCost(summary)):
		return "hand over to " + string(best.Host.Name)
	case summary.FreeSlots > 0:
		return "run at an upstream of this host"
	default:
		return "wait in the queue of this host"
	}
}
