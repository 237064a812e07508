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

// Times of faults.
const (
	// faultTime is how long a fault lasts that ends by itself.
	faultTime = 4 * time.Second
	// replaceTime is how long a crashed host is missing.
	replaceTime = 3 * time.Second
	// slowness is the delay of a slow platform.
	slowness = 700 * time.Millisecond
	// drainPoll is the time between two looks at a leaving upstream.
	drainPoll = 10 * time.Millisecond
	drainWait = 8 * time.Second
)

// last waits for the length of a fault.
func last(ctx context.Context) {
	sleepUntil(ctx, time.Now().Add(faultTime))
}

// hostCrash ends an entry host at once and replaces it later.
func hostCrash(ctx context.Context, r *Runner) error {
	r.crash(0)
	sleepUntil(ctx, time.Now().Add(replaceTime))
	return r.replace(0)
}

// crash ends host i at once.
func (r *Runner) crash(i int) {
	r.mu.Lock()
	h := r.hosts[i]
	h.crashed = true
	r.mu.Unlock()
	h.sockets.Crash()
}

// replace starts another life of host i.
func (r *Runner) replace(i int) error {
	old := r.hosts[i]
	old.stop()
	select {
	case err := <-old.done:
		r.note(fmt.Sprintf("%s ended: %v", old.Name, err))
	case <-time.After(2 * stopTimeout):
		return fmt.Errorf("%s did not end", old.Name)
	}
	_, err := r.startAgain(i)
	return err
}

// startAgain starts another life of host i, which has ended.
func (r *Runner) startAgain(i int) (*host, error) {
	old := r.hosts[i]
	r.mu.Lock()
	delete(r.inForce, old.Name)
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

// hostPause freezes an entry host for longer than its peers wait for it.
func hostPause(ctx context.Context, r *Runner) error {
	frozen := r.hosts[1]
	frozen.sockets.Freeze(true)
	r.setStopping(frozen, true)
	last(ctx)
	frozen.sockets.Freeze(false)
	sleepUntil(ctx, time.Now().Add(time.Second))
	r.setStopping(frozen, false)
	return nil
}

func (r *Runner) setStopping(h *host, stopping bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.stopping = stopping
}

// zoneCut cuts an availability zone off from all others and the platform.
func zoneCut(ctx context.Context, r *Runner) error {
	zones := r.Deployment.Zones()
	lost := zones[3].Name
	for _, z := range zones {
		if z.Name != lost {
			r.emulator.Cut(lost, z.Name, true)
		}
	}
	last(ctx)
	for _, z := range zones {
		r.emulator.Cut(lost, z.Name, false)
	}
	return nil
}

// platformDown makes the platform's store answer nothing.
func platformDown(ctx context.Context, r *Runner) error {
	r.archiver.SetDown(true)
	last(ctx)
	r.archiver.SetDown(false)
	return nil
}

// platformSlow delays all answers of the platform's store.
func platformSlow(ctx context.Context, r *Runner) error {
	r.archiver.SetSlow(slowness)
	last(ctx)
	r.archiver.SetSlow(0)
	return nil
}

// platformLostAnswers loses every second answer after a write took effect.
func platformLostAnswers(_ context.Context, r *Runner) error {
	r.archiver.SetLose(2)
	return nil
}

// regionLoss ends all hosts and upstreams of a region for good.
func regionLoss(_ context.Context, r *Runner) error {
	lost := r.Deployment.Regions[2]
	for i, h := range r.hosts {
		if h.Zone.Region == lost {
			r.crash(i)
		}
	}
	for _, u := range r.upstreams {
		if u.Region == string(lost) {
			u.stop()
		}
	}
	return nil
}

// silentConnections makes all open connections go silent, twice.
func silentConnections(ctx context.Context, r *Runner) error {
	r.emulator.Silence(time.Now())
	sleepUntil(ctx, time.Now().Add(faultTime/2))
	r.emulator.Silence(time.Now())
	return nil
}

// crossedAnswers makes upstreams of every service give crossed, truncated and
// late answers for a part of the requests.
func crossedAnswers(ctx context.Context, r *Runner) error {
	kinds := []responder.Misbehaviour{{Crossed: true, Share: 0.2}, {Truncated: true, Share: 0.2}, {Late: true, Share: 0.1}}
	var bad []*upstream
	for i, u := range r.upstreams {
		if i%8 == 0 {
			u.SetMisbehaviour(kinds[i/8%len(kinds)])
			bad = append(bad, u)
		}
	}
	last(ctx)
	for _, u := range bad {
		u.SetMisbehaviour(responder.Misbehaviour{})
	}
	return nil
}

// upstreamDrain drains three upstreams, each announced by another source, and
// measures how long the slowest takes until it is empty.
func upstreamDrain(ctx context.Context, r *Runner) error {
	own, ticket, listed := r.upstreams[0], r.upstreams[1], r.upstreams[2]
	start := time.Now()
	own.SetDraining(true, start)
	if err := r.list(listed.spec); err != nil {
		return err
	}
	spec := ticket.spec
	spec.Draining = true
	if _, err := r.applyNext(core.Ticket{Author: "demo", Reason: "drain", Upstreams: []core.Upstream{spec}}); err != nil {
		return err
	}
	for _, u := range []*upstream{own, ticket, listed} {
		r.awaitEmpty(ctx, u, start)
	}
	return nil
}

// list has the platform list an upstream as leaving.
func (r *Runner) list(u core.Upstream) error {
	list := server.HostList{Hosts: []server.ListedHost{{Name: string(u.Name), Phase: core.PhaseLeaving}}}
	return r.archiver.Set("hostlist", string(u.Zone), list)
}

// awaitEmpty notes when an upstream has run nothing for a second.
func (r *Runner) awaitEmpty(ctx context.Context, u *upstream, start time.Time) {
	busy := start
	for ctx.Err() == nil && time.Since(start) < drainWait && time.Since(busy) < time.Second {
		if u.InFlight() > 0 {
			busy = time.Now()
		}
		time.Sleep(drainPoll)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drain = max(r.drain, busy.Sub(start))
}

// rollingRestart stops every host as planned and starts it again, one of each
// second zone at a time.
func rollingRestart(ctx context.Context, r *Runner) error {
	waves := len(r.hosts) / 2
	for wave := range waves {
		workers := pool.New().WithErrors()
		for i := wave; i < len(r.hosts); i += waves {
			workers.Go(func() error { return r.restart(ctx, i) })
		}
		if err := workers.Wait(); err != nil {
			return err
		}
	}
	return nil
}

// restart stops host i as planned, starts it again and waits until it is
// ready.
func (r *Runner) restart(ctx context.Context, i int) error {
	old := r.hosts[i]
	r.setStopping(old, true)
	start := time.Now()
	old.stop()
	select {
	case err := <-old.done:
		if err != nil {
			return fmt.Errorf("%s: %w", old.Name, err)
		}
	case <-time.After(2 * stopTimeout):
		return fmt.Errorf("%s did not stop", old.Name)
	}
	r.mu.Lock()
	r.drain = max(r.drain, time.Since(start))
	r.mu.Unlock()
	started, err := r.startAgain(i)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(readyTimeout)
	for !r.isInForce(1, []*host{started}) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("%s is not ready", old.Name)
		}
		time.Sleep(readyPoll)
	}
	return nil
}

// raceRounds is the number of races of tickets.
const raceRounds = 5

// ticketRace lets two operators apply different tickets under the same number
// at the same time.
func ticketRace(ctx context.Context, r *Runner) error {
	for round := range raceRounds {
		number := r.nextNumber()
		hosts := r.running()
		workers := pool.NewWithResults[error]()
		for i, author := range []string{"operator-a", "operator-b"} {
			objectives := core.Objectives{Latency: core.Weight(1 + round), Headroom: core.Weight(1 + i), Drain: 1}
			ticket := core.Ticket{Number: number, Author: author, Objectives: &objectives}
			address := hosts[(round*2+i*5)%len(hosts)].ClientAddress
			workers.Go(func() error { return r.postTicket(address, ticket) })
		}
		r.judgeRace(number, workers.Wait())
		r.measureTicket(ctx, number)
	}
	return nil
}

func (r *Runner) postTicket(address string, ticket core.Ticket) error {
	body, err := json.Marshal(ticket)
	if err != nil {
		return err
	}
	return post(address, body)
}

// judgeRace checks that a race had exactly one winner.
func (r *Runner) judgeRace(number core.Number, results []error) {
	winners := 0
	for _, err := range results {
		if err == nil {
			winners++
		}
	}
	if winners == 1 {
		return
	}
	r.note(fmt.Sprintf("ticket %d had %d winners: %v", number, winners, results))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.raceBroken++
}
