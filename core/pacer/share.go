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
	rate := p.shareOf(upstream, region, limit).now * max(float64(limit), minLimit)
	if rate == 0 {
		return 0, false
	}
	return time.Duration(min(float64(time.Second)/rate, float64(math.MaxInt64/2))), true
}

// OwnRate returns the requests a second that this host may send to an upstream of the
// region as long as no host lends any of its share.
func (p *Pacer) OwnRate(upstream core.UpstreamName, region core.RegionName, limit core.RequestRate) core.RequestRate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return core.RequestRate(p.shareOf(upstream, region, limit).own * float64(limit))
}

// limitShare is the share of this host in a limit, from 0 to 1: its own, and with what
// hosts lend one another now.
type limitShare struct {
	senders  int
	own, now float64
}

// maxCachedShares limits the number of cached shares, and of cached senders.
const maxCachedShares = 4096

// shareOf returns this host's share of a limit. The caller holds Pacer.mu.
func (p *Pacer) shareOf(upstream core.UpstreamName, region core.RegionName, limit core.RequestRate) limitShare {
	count := min(len(p.hosts), senderCount(limit))
	if cached, ok := p.shares[upstream]; ok && cached.senders == count {
		return cached
	}
	if p.shares == nil || len(p.shares) >= maxCachedShares {
		p.shares = map[core.UpstreamName]limitShare{}
	}
	share := p.newShare(p.sendersOf(upstream, region, count), region)
	p.shares[upstream] = share
	return share
}

// sendersOf returns the hosts that may send requests to an upstream. The caller holds
// Pacer.mu.
func (p *Pacer) sendersOf(upstream core.UpstreamName, region core.RegionName, count int) []core.Host {
	if cached, ok := p.senders[upstream]; ok && len(cached) == count {
		return cached
	}
	if p.senders == nil || len(p.senders) >= maxCachedShares {
		p.senders = map[core.UpstreamName][]core.Host{}
	}
	senders := p.selectSenders(upstream, region, count)
	p.senders[upstream] = senders
	return senders
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

// newShare returns the share of this host among the senders. What some of them lend goes
// to those that lend nothing, in proportion to their own shares.
func (p *Pacer) newShare(senders []core.Host, region core.RegionName) limitShare {
	own, total, lent, borrowers := 0.0, 0.0, 0.0, 0.0
	for _, h := range senders {
		weight, loan := hostWeight(h, region), p.loans[h.Name]
		total += weight
		lent += loan * weight
		if loan == 0 {
			borrowers += weight
		}
		if h.Name == p.Self {
			own = weight
		}
	}
	share := limitShare{senders: len(senders)}
	if own == 0 {
		return share
	}
	share.own = own / total
	share.now = share.own * (1 - p.loans[p.Self])
	if p.loans[p.Self] == 0 {
		share.now += lent / total * own / borrowers
	}
	return share
}
