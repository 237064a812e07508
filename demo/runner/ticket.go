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
		if r.countInForce(1, nil) == len(r.hosts) {
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
	return fmt.Errorf("%d of %d hosts are ready after %s", r.countInForce(1, nil), len(r.hosts), readyTimeout)
}

// noteTicket takes in that a ticket came in force on a host.
func (r *Runner) noteTicket(name core.HostName, number core.Number, _ time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number < r.inForce[name] {
		r.reverted++
	}
	r.inForce[name] = max(r.inForce[name], number)
}

// countInForce counts the hosts with at least the number in force, among those
// for which isCounted holds; nil counts all.
func (r *Runner) countInForce(number core.Number, isCounted func(*host) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, h := range r.hosts {
		if (isCounted == nil || isCounted(h)) && r.inForce[h.Name] >= number {
			count++
		}
	}
	return count
}

// changeTicket applies a ticket in the middle of the run and measures when it
// is in force on all hosts.
func (r *Runner) changeTicket(ctx context.Context) {
	if !sleepUntil(ctx, time.Now().Add(r.For/4)) {
		return
	}
	ticket := core.Ticket{
		Number:     2,
		Author:     "demo",
		Reason:     "the objectives are written again",
		Objectives: &r.Deployment.Objectives,
	}
	if err := r.apply(ticket); err != nil {
		r.note("ticket 2: " + err.Error())
		return
	}
	r.measureTicket(ctx, 2)
}

// measureTicket waits until a ticket is in force on all hosts that run.
func (r *Runner) measureTicket(ctx context.Context, number core.Number) {
	accepted := time.Now()
	isCounted := func(h *host) bool { return !h.crashed && !r.isCutOff(h) }
	for ctx.Err() == nil {
		wanted := 0
		for _, h := range r.hosts {
			if isCounted(h) {
				wanted++
			}
		}
		if r.countInForce(number, isCounted) >= wanted {
			r.mu.Lock()
			r.ticket = max(r.ticket, time.Since(accepted))
			r.mu.Unlock()
			return
		}
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
	for _, h := range r.hosts {
		if h.crashed {
			continue
		}
		err = post(h.ClientAddress, body)
		if err == nil {
			return nil
		}
	}
	return err
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
