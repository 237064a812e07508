package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/sequencer"
	"github.com/endiverun/endiverun/entry/storer"
)

// Limits of tickets.
const (
	// ticketLimit is how long an accepted ticket may take to be in force on
	// every host that is not cut off.
	ticketLimit   = 5 * time.Second
	ticketTimeout = 4 * time.Second
	ticketPoll    = 10 * time.Millisecond
)

// writeFirstTicket stores the first ticket as an operator would have done
// before the hosts started.
func (r *Runner) writeFirstTicket() error {
	deadline := time.Now().Add(readyTimeout)
	ticket := r.Deployment.Ticket()
	client := &storer.Storer{Address: r.Deployment.PlatformAddress(), Timeout: time.Second}
	client.Init()
	defer client.Close()
	data := map[string]any{"ticket": ticket, "nonce": "demo"}
	for {
		_, err := client.Create("ticket", sequencer.ObjectName(ticket.Number), data)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(readyPoll)
	}
}

// awaitReady waits until the first ticket is in force on all hosts.
func (r *Runner) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if r.isInForce(1, r.hosts) {
			return nil
		}
		for _, h := range r.hosts {
			select {
			case err := <-h.done:
				return fmt.Errorf("%s: %w", h.Name, err)
			default:
			}
		}
		time.Sleep(readyPoll)
	}
	return fmt.Errorf("not all hosts are ready after %s", readyTimeout)
}

// noteTicket takes in that a ticket came in force on a host.
func (r *Runner) noteTicket(name core.HostName, number core.Number, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number < r.inForce[name] {
		r.reverted++
	}
	r.inForce[name] = number
}

// isInForce reports whether the number is in force on all given hosts.
func (r *Runner) isInForce(number core.Number, hosts []*host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hosts {
		if r.inForce[h.Name] < number {
			return false
		}
	}
	return true
}

// changeTicket applies a ticket in the middle of the run and measures when it
// is in force on all hosts.
func (r *Runner) changeTicket(ctx context.Context) {
	if !sleepUntil(ctx, time.Now().Add(r.For/4)) {
		return
	}
	ticket := core.Ticket{Author: "demo", Reason: "the objectives are written again", Objectives: &r.Deployment.Objectives}
	number, err := r.applyNext(ticket)
	if err != nil {
		r.note("ticket: " + err.Error())
		return
	}
	r.measureTicket(ctx, number)
}

// nextNumber returns the number that follows the newest ticket in force.
func (r *Runner) nextNumber() core.Number {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := core.Number(0)
	for _, n := range r.inForce {
		newest = max(newest, n)
	}
	return newest + 1
}

// applyTries is how often a ticket that lost its number is applied again.
const applyTries = 5

// applyNext applies a ticket under the next free number.
func (r *Runner) applyNext(ticket core.Ticket) (core.Number, error) {
	var err error
	for range applyTries {
		ticket.Number = r.nextNumber()
		if err = r.apply(ticket); err == nil {
			return ticket.Number, nil
		}
		time.Sleep(ticketRetry)
	}
	return 0, err
}

// ticketRetry is the pause before a ticket is applied again.
const ticketRetry = 300 * time.Millisecond

// measureTicket waits until a ticket is in force on all hosts that run.
func (r *Runner) measureTicket(ctx context.Context, number core.Number) {
	accepted := time.Now()
	for ctx.Err() == nil && !r.isInForce(number, r.running()) {
		time.Sleep(ticketPoll)
	}
	r.mu.Lock()
	r.ticket = max(r.ticket, time.Since(accepted))
	r.mu.Unlock()
}

// isCutOff reports whether a host is cut off from most other zones.
func (r *Runner) isCutOff(h *host) bool {
	cuts := 0
	zones := r.Deployment.Zones()
	for _, z := range zones {
		if r.emulator.IsCut(h.Zone.Name, z.Name) {
			cuts++
		}
	}
	return cuts*2 > len(zones)
}

// apply sends a ticket to the first host that takes it.
func (r *Runner) apply(ticket core.Ticket) error {
	body, err := json.Marshal(ticket)
	if err != nil {
		return err
	}
	for _, h := range r.running() {
		err = post(h.ClientAddress, body)
		if err == nil {
			return nil
		}
	}
	return err
}

// running returns the hosts that run and are not cut off.
func (r *Runner) running() []*host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var hosts []*host
	for _, h := range r.hosts {
		if !h.crashed && !h.stopping && !r.isCutOff(h) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func post(address string, body []byte) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/v1/tickets")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(body)
	if err := fasthttp.DoTimeout(request, response, ticketTimeout); err != nil {
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("status %d: %s", response.StatusCode(), response.Body())
	}
	return nil
}
