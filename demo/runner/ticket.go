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

// Limits and intervals for tickets.
const (
	// maxPropagationTime is how long an accepted ticket may take until every host
	// that is not partitioned has applied it.
	maxPropagationTime = 5 * time.Second
	ticketTimeout      = 4 * time.Second
	ticketPollInterval = 10 * time.Millisecond
)

// writeFirstTicket writes the first ticket to the platform's store, as an operator
// does before the first hosts start. It retries until the store is up, and returns early if
// a background task fails.
func (r *Runner) writeFirstTicket() error {
	deadline := time.Now().Add(readyTimeout)
	ticket := r.Deployment.FirstTicket()
	client := &storer.Storer{Address: r.Deployment.PlatformAddress(), Timeout: time.Second}
	client.Init()
	defer client.Close()
	data := map[string]any{"ticket": ticket, "nonce": "demo"}
	for {
		if err := r.failedTask(); err != nil {
			return err
		}
		_, err := client.Create("ticket", sequencer.TicketObjectName(ticket.Number), data)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(readyPollInterval)
	}
}

// awaitReady waits until all hosts have applied the first ticket. It returns early if
// a host ends or a background task fails.
func (r *Runner) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if err := r.failedTask(); err != nil {
			return err
		}
		if r.isApplied(1, r.hosts) {
			return nil
		}
		for _, h := range r.hosts {
			select {
			case err := <-h.done:
				return fmt.Errorf("%s ended before it was ready: %w", h.Name, err)
			default:
			}
		}
		time.Sleep(readyPollInterval)
	}
	return fmt.Errorf("not all hosts are ready after %s", readyTimeout)
}

// recordTicket records that a host has applied a ticket.
func (r *Runner) recordTicket(name core.HostName, number core.TicketNumber, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number < r.appliedTickets[name] {
		r.reverted++
	}
	r.appliedTickets[name] = number
}

// isApplied reports whether all given hosts have applied the ticket with the number
// or a newer one.
func (r *Runner) isApplied(number core.TicketNumber, hosts []*host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hosts {
		if r.appliedTickets[h.Name] < number {
			return false
		}
	}
	return true
}

// applyRoutineTicket applies a ticket after a quarter of the load and measures its
// propagation time. The ticket repeats the objectives of the deployment, so that
// it does not change the behaviour of the hosts.
func (r *Runner) applyRoutineTicket(ctx context.Context) {
	if !sleepUntil(ctx, time.Now().Add(r.Duration/4)) {
		return
	}
	ticket := core.Ticket{Author: "demo", Reason: "the objectives are written again", Objectives: &r.Deployment.Objectives}
	number, err := r.applyNextTicket(ticket)
	if err != nil {
		r.addNote("failed to apply the routine ticket: " + err.Error())
		return
	}
	r.measurePropagation(ctx, number)
}

// nextTicketNumber returns the number after that of the newest applied ticket.
func (r *Runner) nextTicketNumber() core.TicketNumber {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := core.TicketNumber(0)
	for _, n := range r.appliedTickets {
		newest = max(newest, n)
	}
	return newest + 1
}

// maxApplyAttempts is the maximum number of attempts to apply a ticket, each under
// the then next number, in case another ticket has taken the last one.
const maxApplyAttempts = 5

// applyNextTicket applies a ticket under the next number and returns that number.
func (r *Runner) applyNextTicket(ticket core.Ticket) (core.TicketNumber, error) {
	var err error
	for range maxApplyAttempts {
		ticket.Number = r.nextTicketNumber()
		if err = r.applyTicket(ticket); err == nil {
			return ticket.Number, nil
		}
		time.Sleep(applyRetryDelay)
	}
	return 0, err
}

// applyRetryDelay is the pause between attempts to apply a ticket.
const applyRetryDelay = 300 * time.Millisecond

// measurePropagation waits until all reachable hosts have applied a ticket, and records
// how long that took.
func (r *Runner) measurePropagation(ctx context.Context, number core.TicketNumber) {
	accepted := time.Now()
	for ctx.Err() == nil && !r.isApplied(number, r.reachableHosts()) {
		time.Sleep(ticketPollInterval)
	}
	r.mu.Lock()
	r.propagationTime = max(r.propagationTime, time.Since(accepted))
	r.mu.Unlock()
}

// isPartitioned reports whether the zone of a host is partitioned from more than half
// of all zones.
func (r *Runner) isPartitioned(h *host) bool {
	partitions := 0
	zones := r.Deployment.Zones()
	for _, z := range zones {
		if r.emulator.IsPartitioned(h.Zone.Name, z.Name) {
			partitions++
		}
	}
	return partitions*2 > len(zones)
}

// applyTicket sends a ticket to one reachable host after the other until one accepts
// it.
func (r *Runner) applyTicket(ticket core.Ticket) error {
	body, err := json.Marshal(ticket)
	if err != nil {
		return err
	}
	for _, h := range r.reachableHosts() {
		err = postTicketBody(h.ClientAddress, body)
		if err == nil {
			return nil
		}
	}
	return err
}

// reachableHosts returns the hosts that are running and not partitioned.
func (r *Runner) reachableHosts() []*host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var hosts []*host
	for _, h := range r.hosts {
		if !h.crashed && !h.stopping && !r.isPartitioned(h) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// postTicketBody sends an encoded ticket to a host and returns an error unless it
// is accepted.
func postTicketBody(address string, body []byte) error {
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
		return fmt.Errorf("ticket was not accepted, status %d: %s", response.StatusCode(), response.Body())
	}
	return nil
}
