package server

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/balancer"
	"github.com/endiverun/endiverun/core/steerer"
	"github.com/endiverun/endiverun/core/tracker"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/messenger"
	"github.com/endiverun/endiverun/entry/waiter"
)

// Intervals and timeouts of the background tasks.
const (
	tickInterval     = 50 * time.Millisecond
	healthInterval   = 500 * time.Millisecond
	healthTimeout    = 400 * time.Millisecond
	hostListInterval = time.Second
	pingInterval     = time.Second
	expireInterval   = 10 * time.Second
	// healthWorkers is the maximum number of concurrent health checks.
	healthWorkers = 16
)

// kindHostList is the kind of the platform's object that lists the upstreams of an
// availability zone.
const kindHostList = "hostlist"

// HostList is the platform's list of the upstreams in one availability zone. It may be
// out of date.
type HostList struct {
	Hosts []ListedHost `json:"hosts"`
}

// ListedHost is one upstream in the platform's list.
type ListedHost struct {
	Name  string     `json:"name"`
	Phase core.Phase `json:"phase"`
}

// runHeartbeats sends heartbeats and updates the tables as time passes.
func (s *Server) runHeartbeats(ctx context.Context) {
	nextHeartbeat := s.now()
	waiter.Every(ctx, tickInterval, func(time.Time) {
		now := s.now()
		s.steerer.Tick(now)
		if now.Before(nextHeartbeat) {
			return
		}
		nextHeartbeat = now.Add(steerer.HeartbeatInterval)
		s.sendHeartbeats(now)
		s.logMembershipChanges(now)
	})
}

func (s *Server) sendHeartbeats(now time.Time) {
	messages := s.steerer.NextRecordBatches(now)
	contacted := map[string]bool{s.host.PeerAddress: true}
	for _, message := range messages {
		s.messenger.Send(message.To.PeerAddress, message.Records)
		contacted[message.To.PeerAddress] = true
	}
	s.contactSeeds(contacted, now)
}

// contactSeeds sends this host's record to the seed addresses at which no live host is
// known.
func (s *Server) contactSeeds(contacted map[string]bool, now time.Time) {
	for _, member := range s.steerer.Tracker.Live(now) {
		contacted[member.Host.PeerAddress] = true
	}
	records := []tracker.Record{s.steerer.NextRecord(now)}
	for _, seed := range s.Settings.SeedPeers {
		if !contacted[seed] {
			s.messenger.Send(seed, records)
		}
	}
}

// logMembershipChanges logs which hosts became live and which expired.
func (s *Server) logMembershipChanges(now time.Time) {
	live := map[core.HostName]bool{}
	for _, m := range s.steerer.Tracker.Live(now) {
		live[m.Host.Name] = true
		if !s.liveHosts[m.Host.Name] {
			s.log.Event(logger.PeerFound).Str("peer", string(m.Host.Name)).Send()
		}
	}
	for n := range s.liveHosts {
		if !live[n] {
			s.log.Event(logger.PeerExpired).Str("peer", string(n)).Send()
		}
	}
	s.liveHosts = live
}

// pollHealth checks the health of this host's upstreams every healthInterval, and of
// new ones at once.
func (s *Server) pollHealth(ctx context.Context) {
	draining := map[core.UpstreamName]bool{}
	waiter.Every(ctx, tickInterval, func(time.Time) {
		states := s.steerer.Balancer.UpstreamStates()
		states = slices.DeleteFunc(states, func(upstream balancer.UpstreamState) bool {
			return s.now().Sub(upstream.CheckedAt) < healthInterval
		})
		results := make([]core.Phase, len(states))
		workers := pool.New().WithMaxGoroutines(healthWorkers)
		for i, upstream := range states {
			workers.Go(func() { results[i] = s.checkHealth(upstream) })
		}
		workers.Wait()
		for i, upstream := range states {
			isDraining := results[i] == core.PhaseLeaving
			if isDraining && !draining[upstream.Name] {
				s.log.Event(logger.UpstreamLeaving).Str("upstream", string(upstream.Name)).Send()
			}
			draining[upstream.Name] = isDraining
		}
	})
}

// checkHealth fetches the health report of an upstream, records it and returns the
// reported phase. The phase is empty if the check failed.
func (s *Server) checkHealth(state balancer.UpstreamState) core.Phase {
	report, err := s.caller.FetchHealth(state.Upstream, healthTimeout, time.Now())
	now := s.now()
	if err != nil {
		s.steerer.Balancer.RecordFailedHealthCheck(state.Name, now)
		return ""
	}
	s.steerer.Balancer.RecordHealthCheck(state.Name, report.Load, report.Phase == core.PhaseLeaving, now)
	return report.Phase
}

// pollHostList reads which upstreams the platform lists as draining or gone.
func (s *Server) pollHostList(ctx context.Context) {
	waiter.Every(ctx, jitter(hostListInterval), func(time.Time) {
		object, err := s.storer.Get(kindHostList, string(s.host.Zone.Name))
		s.observePlatform(err)
		if err != nil {
			return
		}
		var list HostList
		if json.Unmarshal(object.Data, &list) != nil {
			return
		}
		draining := map[core.UpstreamName]bool{}
		for _, h := range list.Hosts {
			if h.Phase == core.PhaseLeaving || h.Phase == core.PhaseGone {
				draining[core.UpstreamName(h.Name)] = true
			}
		}
		s.steerer.Balancer.SetListedDraining(draining)
	})
}

// jitter varies an interval by up to 10 % in either direction, which spreads the calls
// of hosts that started together.
func jitter(interval time.Duration) time.Duration {
	const spread = 0.2
	return time.Duration(float64(interval) * (1 - spread/2 + spread*rand.Float64())) //nolint:gosec // No secret depends on it.
}

// pingHosts measures the round trip to one live host per interval, each in turn.
func (s *Server) pingHosts(ctx context.Context) {
	count := 0
	waiter.Every(ctx, pingInterval, func(time.Time) {
		live := s.steerer.Tracker.Live(s.now())
		if len(live) == 0 {
			return
		}
		count++
		to := live[count%len(live)].Host
		call := messenger.Call{Kind: messenger.CallPing, ToIncarnation: to.Incarnation}
		_, _ = s.messenger.Call(to, call, time.Now().Add(pingInterval))
	})
}

// expireTables removes expired idempotency keys and attempts.
func (s *Server) expireTables(ctx context.Context) {
	waiter.Every(ctx, expireInterval, func(time.Time) {
		now := s.now()
		s.steerer.Keys.RemoveExpired(now)
		s.steerer.Attempts.RemoveExpired(now)
	})
}

// platformState holds whether the platform failed to respond to the last read of its
// host list.
type platformState struct {
	isUnavailable bool
}

// observePlatform logs when the platform stops or starts responding. Only one
// background task calls it, so it needs no lock.
func (s *Server) observePlatform(err error) {
	isUnavailable := core.IsPlatform(err)
	if isUnavailable == s.platform.isUnavailable {
		return
	}
	s.platform.isUnavailable = isUnavailable
	if isUnavailable {
		s.log.Event(logger.PlatformLost).Err(err).Send()
		return
	}
	s.log.Event(logger.PlatformFound).Send()
}
