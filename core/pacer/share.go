package pacer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endiverun/endiverun/core"
)

// Interval returns the shortest time between two requests of this host to an upstream of
// the region that takes the given rate from all hosts together. It returns false if this
// host may not send any, because other hosts do or the hosts are not known.
func (p *Pacer) Interval(upstream core.UpstreamName, region core.RegionName, limit core.RequestRate) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rate := p.limitShare(upstream, region, limit) * max(float64(limit), minLimit)
	if rate == 0 {
		return 0, false
	}
	return time.Duration(min(float64(time.Second)/rate, float64(math.MaxInt64/2))), true
}

// cachedShare is a result of limitShare for a number of senders.
type cachedShare struct {
	senders int
	share   float64
}

// maxCachedShares limits the number of cached shares.
const maxCachedShares = 4096

// limitShare returns this host's share of a limit, from 0 to 1. The caller holds Pacer.mu.
func (p *Pacer) limitShare(upstream core.UpstreamName, region core.RegionName, limit core.RequestRate) float64 {
	senders := min(len(p.hosts), senderCount(limit))
	if cached, ok := p.shares[upstream]; ok && cached.senders == senders {
		return cached.share
	}
	if p.shares == nil || len(p.shares) >= maxCachedShares {
		p.shares = map[core.UpstreamName]cachedShare{}
	}
	share := p.shareAmong(p.selectSenders(upstream, region, senders), region)
	p.shares[upstream] = cachedShare{senders: senders, share: share}
	return share
}

// senderCount returns how many hosts may send requests to an upstream with the limit.
func senderCount(limit core.RequestRate) int {
	return int(min(limit, math.MaxInt32)) + extraSenders
}

// hostWeight returns the weight of a host's share in the limit of an upstream.
func hostWeight(host core.Host, region core.RegionName) float64 {
	if host.Zone.Region == region {
		return localWeight
	}
	return 1
}

// selectSenders returns the hosts that may send requests to an upstream, all hosts or a
// number of them that rendezvous hashing selects by weight.
func (p *Pacer) selectSenders(upstream core.UpstreamName, region core.RegionName, count int) []core.Host {
	if len(p.hosts) <= count {
		return p.hosts
	}
	type scored struct {
		host  core.Host
		score float64
	}
	key := xxhash.Sum64String(string(upstream))
	all := make([]scored, len(p.hosts))
	for i, h := range p.hosts {
		all[i] = scored{h, core.RendezvousScore(key, xxhash.Sum64String(string(h.Name)), hostWeight(h, region))}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host.Name, b.host.Name))
	})
	senders := make([]core.Host, count)
	for i := range senders {
		senders[i] = all[i].host
	}
	return senders
}

// shareAmong returns the share of this host among the senders, 0 if it is none of them.
func (p *Pacer) shareAmong(senders []core.Host, region core.RegionName) float64 {
	own, total := 0.0, 0.0
	for _, h := range senders {
		weight := hostWeight(h, region)
		total += weight
		if h.Name == p.Self {
			own = weight
		}
	}
	if total == 0 {
		return 0
	}
	return own / total
}
