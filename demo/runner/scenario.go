package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/demo/responder"
	"github.com/endiverun/endiverun/entry/server"
)

// Durations of faults.
const (
	// faultTime is the duration of faults that end within the run.
	faultTime = 4 * time.Second
	// replaceTime is the time from the crash of a host until it is started again.
	replaceTime = 3 * time.Second
	// platformDelay is the delay of every response of a slow platform store.
	platformDelay = 700 * time.Millisecond
	// drainPollInterval is how often a draining upstream is checked for requests in
	// flight, for at most drainTimeout.
	drainPollInterval = 10 * time.Millisecond
	drainTimeout      = 8 * time.Second
)

// sleepFaultTime waits for the duration of a fault, or until ctx is canceled.
func sleepFaultTime(ctx context.Context) {
	sleepUntil(ctx, time.Now().Add(faultTime))
}

// hostCrash crashes an entry host and starts it again after replaceTime.
func hostCrash(ctx context.Context, r *Runner) error {
	r.crashHost(0)
	sleepUntil(ctx, time.Now().Add(replaceTime))
	return r.restartCrashed(0)
}

// crashHost crashes host i: all of its sockets close at once.
func (r *Runner) crashHost(i int) {
	r.mu.Lock()
	h := r.hosts[i]
	h.crashed = true
	r.mu.Unlock()
	h.sockets.Crash()
}

// restartCrashed waits until the crashed host i has ended and starts it again.
func (r *Runner) restartCrashed(i int) error {
	old := r.hosts[i]
	old.stop()
	select {
	case err := <-old.done:
		r.addNote(fmt.Sprintf("%s ended after its crash: %v", old.Name, err))
	case <-time.After(2 * stopTimeout):
		return fmt.Errorf("%s did not end after its crash", old.Name)
	}
	_, err := r.startNextInstance(i)
	return err
}

// startNextInstance starts the next instance of host i, whose last one has ended.
func (r *Runner) startNextInstance(i int) (*host, error) {
	old := r.hosts[i]
	r.mu.Lock()
	delete(r.appliedTickets, old.Name)
	r.mu.Unlock()
	started, err := r.startHost(old.Host)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts[i] = started
	return started, nil
}

// hostPause pauses an entry host for longer than the heartbeat timeout of its peers.
func hostPause(ctx context.Context, r *Runner) error {
	paused := r.hosts[1]
	paused.sockets.SetPaused(true)
	r.setStopping(paused, true)
	sleepFaultTime(ctx)
	paused.sockets.SetPaused(false)
	sleepUntil(ctx, time.Now().Add(time.Second))
	r.setStopping(paused, false)
	return nil
}

// setStopping marks a host as unavailable, or as available again.
func (r *Runner) setStopping(h *host, stopping bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.stopping = stopping
}

// zoneCut partitions an availability zone from all others and the platform.
func zoneCut(ctx context.Context, r *Runner) error {
	zones := r.Deployment.Zones()
	isolated := zones[3].Name
	for _, z := range zones {
		if z.Name != isolated {
			r.emulator.SetPartitioned(isolated, z.Name, true)
		}
	}
	sleepFaultTime(ctx)
	for _, z := range zones {
		r.emulator.SetPartitioned(isolated, z.Name, false)
	}
	return nil
}

// platformDown makes the platform's store close every connection without a response.
func platformDown(ctx context.Context, r *Runner) error {
	r.archiver.SetUnavailable(true)
	sleepFaultTime(ctx)
	r.archiver.SetUnavailable(false)
	return nil
}

// platformSlow delays all responses of the platform's store.
func platformSlow(ctx context.Context, r *Runner) error {
	r.archiver.SetResponseDelay(platformDelay)
	sleepFaultTime(ctx)
	r.archiver.SetResponseDelay(0)
	return nil
}

// platformLostAnswers drops the response of every second write after the write took
// effect.
func platformLostAnswers(_ context.Context, r *Runner) error {
	r.archiver.SetDropEveryNthWriteResponse(2)
	return nil
}

// regionLoss crashes all hosts and stops all upstreams of a region, until the end of
// the run.
func regionLoss(_ context.Context, r *Runner) error {
	lostRegion := r.Deployment.Regions[2]
	for i, h := range r.hosts {
		if h.Zone.Region == lostRegion {
			r.crashHost(i)
		}
	}
	for _, u := range r.upstreams {
		if u.Region == string(lostRegion) {
			u.stop()
		}
	}
	return nil
}

// silentConnections makes all open connections silent, twice: they stay open, but
// deliver nothing any more.
func silentConnections(ctx context.Context, r *Runner) error {
	r.emulator.SilenceConnections(time.Now())
	sleepUntil(ctx, time.Now().Add(faultTime/2))
	r.emulator.SilenceConnections(time.Now())
	return nil
}

// crossedAnswers makes every eighth upstream, and so some of every service, return
// the response to the previous request, a truncated one or a late one for a
// fraction of its requests.
func crossedAnswers(ctx context.Context, r *Runner) error {
	failures := []responder.InjectedFailures{
		{PreviousResponse: true, Share: 0.2}, {TruncatedResponse: true, Share: 0.2}, {ResponseAfterDeadline: true, Share: 0.1},
	}
	var affected []*upstream
	for i, u := range r.upstreams {
		if i%8 == 0 {
			u.SetInjectedFailures(failures[i/8%len(failures)])
			affected = append(affected, u)
		}
	}
	sleepFaultTime(ctx)
	for _, u := range affected {
		u.SetInjectedFailures(responder.InjectedFailures{})
	}
	return nil
}

// upstreamDrain drains three upstreams, which are announced by the upstream itself,
// by a ticket and by the platform's host list, and measures how long the slowest
// takes until it has no requests in flight.
func upstreamDrain(ctx context.Context, r *Runner) error {
	byItself, byTicket, byHostList := r.upstreams[0], r.upstreams[1], r.upstreams[2]
	start := time.Now()
	byItself.SetDraining(true, start)
	if err := r.listAsDraining(byHostList.spec); err != nil {
		return err
	}
	spec := byTicket.spec
	spec.Draining = true
	if _, err := r.applyNextTicket(core.Ticket{Author: "demo", Reason: "drain", Upstreams: []core.Upstream{spec}}); err != nil {
		return err
	}
	for _, u := range []*upstream{byItself, byTicket, byHostList} {
		r.awaitDrained(ctx, u, start)
	}
	return nil
}

// listAsDraining stores a host list in which an upstream is draining.
func (r *Runner) listAsDraining(u core.Upstream) error {
	hostList := server.HostList{Hosts: []server.ListedHost{{Name: string(u.Name), Phase: core.PhaseLeaving}}}
	return r.archiver.PutUnconditionally("hostlist", string(u.Zone), hostList)
}

// awaitDrained waits until an upstream had no requests in flight for a second, or
// until drainTimeout, and records the time from the start to its last request.
func (r *Runner) awaitDrained(ctx context.Context, u *upstream, start time.Time) {
	lastBusy := start
	for ctx.Err() == nil && time.Since(start) < drainTimeout && time.Since(lastBusy) < time.Second {
		if u.InFlight() > 0 {
			lastBusy = time.Now()
		}
		time.Sleep(drainPollInterval)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainTime = max(r.drainTime, lastBusy.Sub(start))
}

// rollingRestart stops every host gracefully and starts it again, in batches of two
// or three hosts that are half of the list of hosts apart.
func rollingRestart(ctx context.Context, r *Runner) error {
	batches := len(r.hosts) / 2
	for batch := range batches {
		workers := pool.New().WithErrors()
		for i := batch; i < len(r.hosts); i += batches {
			workers.Go(func() error { return r.restart(ctx, i) })
		}
		if err := workers.Wait(); err != nil {
			return err
		}
	}
	return nil
}

// restart stops host i gracefully, starts it again and waits until it has applied
// the first ticket. It records the time that the stop took.
func (r *Runner) restart(ctx context.Context, i int) error {
	old := r.hosts[i]
	r.setStopping(old, true)
	start := time.Now()
	old.stop()
	select {
	case err := <-old.done:
		if err != nil {
			return fmt.Errorf("%s failed to stop gracefully: %w", old.Name, err)
		}
	case <-time.After(2 * stopTimeout):
		return fmt.Errorf("%s did not stop in time", old.Name)
	}
	r.mu.Lock()
	r.drainTime = max(r.drainTime, time.Since(start))
	r.mu.Unlock()
	started, err := r.startNextInstance(i)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(readyTimeout)
	for !r.isApplied(1, []*host{started}) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("%s is not ready after its restart", old.Name)
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}

// raceRounds is the number of ticket races.
const raceRounds = 5

// ticketRace applies two different tickets of two operators with the same number
// concurrently, on different hosts.
func ticketRace(ctx context.Context, r *Runner) error {
	for round := range raceRounds {
		number := r.nextTicketNumber()
		hosts := r.reachableHosts()
		workers := pool.NewWithResults[error]()
		for i, author := range []string{"operator-a", "operator-b"} {
			objectives := core.Objectives{Latency: core.Weight(1 + round), Headroom: core.Weight(1 + i), Drain: 1}
			ticket := core.Ticket{Number: number, Author: author, Objectives: &objectives}
			address := hosts[(round*2+i*5)%len(hosts)].ClientAddress
			workers.Go(func() error { return r.postTicket(address, ticket) })
		}
		r.checkRace(number, workers.Wait())
		r.measurePropagation(ctx, number)
	}
	return nil
}

// postTicket applies a ticket through a host.
func (r *Runner) postTicket(address string, ticket core.Ticket) error {
	body, err := json.Marshal(ticket)
	if err != nil {
		return err
	}
	return postTicketBody(address, body)
}

// checkRace checks that exactly one of the concurrent tickets was accepted.
func (r *Runner) checkRace(number core.TicketNumber, results []error) {
	winners := 0
	for _, err := range results {
		if err == nil {
			winners++
		}
	}
	if winners == 1 {
		return
	}
	r.addNote(fmt.Sprintf("ticket %d was accepted %d times in a race: %v", number, winners, results))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedRaces++
}
