package runner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/demo/deployer"
	"github.com/endiverun/endiverun/demo/driver"
	"github.com/endiverun/endiverun/demo/responder"
	"github.com/endiverun/endiverun/entry/caller"
	"github.com/endiverun/endiverun/entry/waiter"
)

// Intervals of the load.
const (
	refreshInterval  = time.Second
	progressInterval = 2 * time.Second
	directInterval   = 25 * time.Millisecond
)

// startClients creates the clients of each availability zone and fetches their first
// routes.
func (r *Runner) startClients() {
	for i, z := range r.Deployment.Zones() {
		sockets := r.emulator.NewProcess(z)
		client := &driver.Client{
			Deployment:   r.Deployment,
			Zone:         z,
			LocalAddress: r.Deployment.ClientAddress(i),
			Dial: func(local netip.Addr, address string, timeout time.Duration) (net.Conn, error) {
				return sockets.DialFrom(local, address, timeout)
			},
			CountBytes: r.emulator.CountBytes,
			Deadline:   clientDeadline,
		}
		client.Init()
		client.Refresh(time.Now())
		r.clients = append(r.clients, client)
	}
}

// drive generates the load, injects the faults, and returns once the load has ended
// and all of its requests have completed.
func (r *Runner) drive(ctx context.Context) error {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	startedAt := time.Now()
	var requests sync.WaitGroup
	var workers sync.WaitGroup
	spawn := func(group *sync.WaitGroup, run func()) {
		group.Add(1)
		go func() {
			defer group.Done()
			run()
		}()
	}
	for i, c := range r.clients {
		spawn(&workers, func() { r.refreshRoutes(loadCtx, c) })
		for j, s := range r.Deployment.Services {
			seed := r.Seed*1_000_003 + uint64(i*100+j)
			spawn(&workers, func() { r.generateLoad(loadCtx, c, s, seed, &requests) })
		}
	}
	for _, s := range r.Deployment.Services {
		spawn(&workers, func() { r.measureDirect(loadCtx, s) })
	}
	spawn(&workers, func() { r.reportProgress(loadCtx) })
	spawn(&workers, func() { r.applyRoutineTicket(loadCtx) })
	err := r.injectFaults(loadCtx)
	sleepUntil(ctx, startedAt.Add(r.Duration))
	stop()
	workers.Wait()
	requests.Wait()
	return errors.Join(ctx.Err(), err)
}

// refreshRoutes fetches a client's routes again every refreshInterval.
func (r *Runner) refreshRoutes(ctx context.Context, client *driver.Client) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			client.Refresh(now)
		}
	}
}

// requestCount is the number of requests of all runs of this process. Nonces are made
// of it.
var requestCount atomic.Uint64

// generateLoad sends the requests of one client to one service until ctx is
// canceled. They are a Poisson process whose rate keeps the fraction Load of the
// service's slots in use, over all clients together.
func (r *Runner) generateLoad(ctx context.Context, client *driver.Client, spec deployer.ServiceSpec, seed uint64, group *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // Reproducible on purpose.
	slots := float64(spec.Upstreams * spec.Slots)
	rate := r.Load * slots / spec.MeanServiceTime.Seconds() / float64(len(r.clients))
	body := randomBody(random, spec.RequestSize)
	next := time.Now()
	for {
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if !sleepUntil(ctx, next) {
			return
		}
		call := driver.Call{
			Service:      spec,
			Organisation: spec.Organisations[random.IntN(len(spec.Organisations))],
			Nonce:        strconv.FormatUint(requestCount.Add(1), 36),
			Body:         body,
		}
		group.Add(1)
		go func() {
			defer group.Done()
			r.recordResult(call, client.Do(call, time.Now()))
		}()
	}
}

// makeBody returns random bytes.
func randomBody(random *rand.Rand, size core.Bytes) []byte {
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(random.IntN(256))
	}
	return body
}

// sleepUntil waits until the given time. It returns false if ctx is canceled before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// recordResult records the result of a request, and what reportLedger checks later
// against the ledger.
func (r *Runner) recordResult(call driver.Call, result driver.Result) {
	r.collector.Record(call.Service.Name, result)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !call.Service.Repeatable {
		r.nonIdempotent = append(r.nonIdempotent, call.Nonce)
	}
	switch result.Verdict {
	case driver.Refused:
		r.refusals = append(r.refusals, refusedCall{call: call, result: result})
	case driver.Unknown:
		if !call.Service.Repeatable {
			r.expectedUnknown++
		}
	default:
	}
}

// measureDirect calls an idle upstream directly every directInterval, to measure the
// baseline latency without an entry host.
func (r *Runner) measureDirect(ctx context.Context, spec deployer.ServiceSpec) {
	client := &fasthttp.HostClient{Addr: r.Deployment.DirectUpstreamAddress(spec)}
	ticker := time.NewTicker(directInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	body := make([]byte, spec.RequestSize)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			group.Add(1)
			go func() {
				defer group.Done()
				r.sendDirect(client, spec, body)
			}()
		}
	}
}

// sendDirect sends one direct request and records its latency.
func (r *Runner) sendDirect(client *fasthttp.HostClient, spec deployer.ServiceSpec, body []byte) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + client.Addr + "/work")
	request.Header.Set(responder.HeaderNonce, "direct")
	request.Header.SetMethod(fasthttp.MethodPost)
	if len(body) > 0 {
		request.SetBodyRaw(body)
		request.Header.Set(caller.HeaderContentDigest, caller.ContentDigest(body))
	}
	start := time.Now()
	time.Sleep(r.Deployment.ClientDelay)
	err := client.Do(request, response)
	time.Sleep(r.Deployment.ClientDelay)
	if err == nil {
		r.collector.RecordDirect(spec.Name, time.Since(start))
	}
}

// reportProgress writes a line to Progress every progressInterval.
func (r *Runner) reportProgress(ctx context.Context) {
	start := time.Now()
	waiter.Every(ctx, progressInterval, func(now time.Time) {
		requests, answered, failures := r.collector.Progress()
		fmt.Fprintf(r.ProgressOutput, "%4.0f s: %d requests completed, %d answered %s\n",
			now.Sub(start).Seconds(), requests, answered, failures)
	})
}
