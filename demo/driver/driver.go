// Package driver is the client side of the load: it asks the entry hosts for the
// route of each service, caches it, sends requests along it and checks the
// responses.
//
// A client follows docs/API.md: it tries the hosts of its route in order, and
// retries a request only where that is safe. Requests that are not idempotent
// carry an idempotency key, so that a retry does not run them again.
//
// # Usage
//
//	c := &driver.Client{
//		Deployment: d, Zone: zone, LocalAddress: local, Dial: dial, Deadline: 3 * time.Second,
//	}
//	c.Init()
//	c.Refresh(time.Now())
//	result := c.Do(driver.Call{Service: spec, Nonce: "a1"}, time.Now())
package driver

import (
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/router"
	"github.com/endiverun/endiverun/demo/deployer"
	"github.com/endiverun/endiverun/demo/responder"
	"github.com/endiverun/endiverun/entry/caller"
	"github.com/endiverun/endiverun/entry/listener"
	"github.com/endiverun/endiverun/entry/receiver"
)

// Limits of a client's requests.
const (
	connectTimeout = 400 * time.Millisecond
	routeTimeout   = 800 * time.Millisecond
	idleTimeout    = 900 * time.Millisecond
	maxConnections = 4096
	// attemptTimeoutFactor times the expected response time is how long a client
	// waits for the response of one attempt, but at least minAttemptTimeout.
	// Then it retries, which is safe under an idempotency key and for idempotent
	// requests.
	attemptTimeoutFactor = 8
	minAttemptTimeout    = 400 * time.Millisecond
	// attemptsPerRoute is the number of attempts on the hosts of one route, in
	// order, before a request takes the newest cached route.
	attemptsPerRoute = 3
	// maxAttempts is the maximum number of attempts of one request.
	maxAttempts = 6
)

// Verdict is the outcome of a request as its client sees it.
type Verdict uint8

// The verdicts.
const (
	// Answered is a complete response that belongs to the request.
	Answered Verdict = iota
	// Refused is a failure without execution: the request was not run.
	Refused
	// Unknown is a failure that leaves open whether the request was run.
	Unknown
	// InvalidResponse is a response that is incomplete, malformed or belongs to another
	// request.
	InvalidResponse
)

// Call is one request of the load.
type Call struct {
	Service      deployer.ServiceSpec
	Organisation core.Organisation
	// Nonce identifies the request in the ledger of the upstreams and in the
	// response.
	Nonce string
	Body  []byte
}

// Result is the outcome of a call.
type Result struct {
	Verdict Verdict
	// FailureReason says why the last attempt failed: the last segment of the problem
	// type, or "unreachable", "connection-lost" or "no-host".
	FailureReason string
	// Latency is the time of all attempts.
	Latency time.Duration
	// Attempts is the number of attempts.
	Attempts int
	// ConnectionLost says that a connection was closed after the request was sent and before
	// its response was complete.
	ConnectionLost bool
}

// Client sends the requests of all clients in one availability zone. Its methods
// other than Init may be called concurrently.
type Client struct {
	Deployment deployer.Deployment
	Zone       core.Zone
	// LocalAddress is the local address of connections.
	LocalAddress netip.Addr
	// Dial opens a TCP connection from a local address.
	Dial func(local netip.Addr, address string, timeout time.Duration) (net.Conn, error)
	// CountBytes counts the n bytes of a body sent between two zones; nil counts none.
	CountBytes func(from, to core.Zone, n int, now time.Time)
	// Deadline is how long a client waits for a response, over all attempts.
	Deadline time.Duration

	mu sync.Mutex
	// clients holds an HTTP client for each address of an entry host.
	clients map[string]*fasthttp.HostClient
	routes  map[core.ServiceName]cachedRoute
	// rotation is incremented by every lookup of targets.
	rotation uint64
}

// cachedRoute is a route and when it was fetched.
type cachedRoute struct {
	route   router.Route
	fetched time.Time
}

// dialError is the failure to open a connection. No request was sent on it.
type dialError struct{ error }

// Init initializes the client. Call it once, before any other method.
func (c *Client) Init() {
	c.clients = map[string]*fasthttp.HostClient{}
	c.routes = map[core.ServiceName]cachedRoute{}
}

// hostClient returns the HTTP client for the address of an entry host.
func (c *Client) hostClient(address string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.clients[address]
	if h == nil {
		h = &fasthttp.HostClient{
			Addr:                      address,
			Transport:                 &receiver.Transport{},
			MaxConns:                  maxConnections,
			MaxIdleConnDuration:       idleTimeout,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial: func(a string) (net.Conn, error) {
				conn, err := c.Dial(c.LocalAddress, a, connectTimeout)
				if err != nil {
					return nil, dialError{err}
				}
				return conn, nil
			},
		}
		c.clients[address] = h
	}
	return h
}

// discardConnections makes further requests to a host open new connections.
func (c *Client) discardConnections(address string) {
	c.mu.Lock()
	old := c.clients[address]
	delete(c.clients, address)
	c.mu.Unlock()
	if old != nil {
		old.CloseIdleConnections()
	}
}

// Refresh fetches the routes of all services. For each service it asks the hosts
// of the cached route first and takes the first route that it gets.
func (c *Client) Refresh(now time.Time) {
	for _, s := range c.Deployment.Services {
		for _, address := range c.routeSources(s.Name) {
			route, err := c.fetchRoute(address, s.Name)
			if err != nil {
				continue
			}
			c.mu.Lock()
			c.routes[s.Name] = cachedRoute{route: route, fetched: now}
			c.mu.Unlock()
			break
		}
	}
}

// routeSources returns the addresses to ask for the route of a service: the hosts
// of the cached route, then all hosts, those of the client's zone first.
func (c *Client) routeSources(service core.ServiceName) []string {
	c.mu.Lock()
	cached := c.routes[service].route
	c.mu.Unlock()
	var addresses []string
	for _, h := range cached.Hosts {
		addresses = append(addresses, h.Address)
	}
	for _, isLocal := range []bool{true, false} {
		for _, h := range c.Deployment.EntryHosts() {
			if (h.Zone.Name == c.Zone.Name) == isLocal {
				addresses = append(addresses, h.ClientAddress)
			}
		}
	}
	return addresses
}

// fetchRoute asks an entry host for the route of a service.
func (c *Client) fetchRoute(address string, service core.ServiceName) (router.Route, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/v1/route?service=" + string(service))
	if err := c.hostClient(address).DoTimeout(request, response, routeTimeout); err != nil {
		return router.Route{}, err
	}
	var route router.Route
	if err := json.Unmarshal(response.Body(), &route); err != nil {
		return router.Route{}, err
	}
	if len(route.Hosts) == 0 {
		return router.Route{}, errors.New("no hosts in the route")
	}
	return route, nil
}

// currentTargets returns the hosts of the cached route by rank. It rotates the hosts of
// equal rank from one call to the next, to distribute requests over them.
func (c *Client) currentTargets(service core.ServiceName) []router.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.routes[service].route
	c.rotation++
	targets := make([]router.Target, 0, len(cached.Hosts))
	for start := 0; start < len(cached.Hosts); {
		end := start + 1
		for end < len(cached.Hosts) && cached.Hosts[end].Rank == cached.Hosts[start].Rank {
			end++
		}
		group := cached.Hosts[start:end]
		for i := range group {
			targets = append(targets, group[(i+int(c.rotation%uint64(len(group))))%len(group)])
		}
		start = end
	}
	return targets
}

// Do sends a request, with retries, and returns its outcome.
func (c *Client) Do(call Call, now time.Time) Result {
	exchange := &exchange{client: c, call: call, start: now, deadline: now.Add(c.Deadline)}
	result := exchange.run()
	result.Latency = time.Since(now)
	result.Attempts = exchange.attempts
	result.ConnectionLost = exchange.connectionLost
	return result
}

// exchange is the state of one request over all of its attempts.
type exchange struct {
	client   *Client
	call     Call
	start    time.Time
	deadline time.Time
	// key is the idempotency key, and home the address of the host that it is
	// bound to; both are empty for idempotent requests.
	key  string
	home string
	// ordinal counts the attempts under the key that may have reached a host.
	ordinal  int
	attempts int
	targets  []router.Target
	// responseLost says that an attempt was sent and got no response.
	responseLost bool
	// connectionLost says that a connection was closed before the response.
	connectionLost bool
}

// reply is the result of one attempt.
type reply struct {
	// dialFailed says that no connection could be opened.
	dialFailed bool
	// responseLost says that no complete response arrived.
	responseLost bool
	// timedOut says that the attempt ended by its timeout.
	timedOut bool
	status   int
	problem  listener.Problem
	verdict  Verdict
}

// run sends attempts until one of them is final.
func (e *exchange) run() Result {
	last := Result{Verdict: Refused, FailureReason: "no-host"}
	for e.attempts < maxAttempts {
		if e.attempts%attemptsPerRoute == 0 {
			e.targets = e.client.currentTargets(e.call.Service.Name)
		}
		targets := e.targets
		if len(targets) == 0 || time.Now().After(e.deadline) {
			return last
		}
		target := targets[e.attempts%len(targets)]
		e.ensureKey(target)
		r := e.sendAttempt(target)
		e.attempts++
		result, retry := e.classify(r)
		if !retry {
			return result
		}
		last = result
	}
	return last
}

// ensureKey gives a request that is not idempotent a key, if it has none. The key
// is bound to the target's host instance, which tracks all attempts under it.
func (e *exchange) ensureKey(target router.Target) {
	if e.call.Service.Repeatable || e.key != "" {
		return
	}
	incarnation, _ := core.ParseIncarnation(target.Incarnation)
	instance := core.HostInstance{Host: target.Name, Incarnation: incarnation}
	nonce := e.call.Nonce + "-" + strconv.Itoa(e.attempts)
	e.key = core.NewHomeBoundKey(instance, nonce, time.Unix(target.KeyIssuedAt, 0)).Text
	e.home = target.Address
	e.ordinal = 0
}

// classify returns the result after an attempt and whether to retry.
func (e *exchange) classify(r reply) (Result, bool) {
	switch {
	case r.dialFailed:
		if e.ordinal == 0 {
			e.key = ""
		}
		verdict := e.notRunVerdict()
		if e.ordinal > 0 {
			verdict = Unknown
		}
		return Result{Verdict: verdict, FailureReason: "unreachable"}, true
	case r.responseLost:
		e.ordinal++
		e.responseLost = true
		e.connectionLost = e.connectionLost || !r.timedOut
		return Result{Verdict: Unknown, FailureReason: "connection-lost"}, true
	case r.problem.Type != "":
		return e.classifyProblem(r.problem)
	default:
		return Result{Verdict: r.verdict}, false
	}
}

// notRunVerdict returns the verdict after an attempt that was not run. Under a
// key, the host that it is bound to speaks for all attempts; without one, an
// earlier attempt whose response was lost may have been run.
func (e *exchange) notRunVerdict() Verdict {
	if e.responseLost && e.call.Service.Repeatable {
		return Unknown
	}
	return Refused
}

// classifyProblem is classify for a problem response.
func (e *exchange) classifyProblem(problem listener.Problem) (Result, bool) {
	kind := problem.Type[len("urn:endiverun:problem:"):]
	if problem.RunState == core.NotRun.String() {
		isKeyStale := kind == string(core.RefusalStaleHome) || kind == string(core.RefusalStopping)
		if isKeyStale {
			e.key = ""
		}
		return Result{Verdict: e.notRunVerdict(), FailureReason: kind}, isKeyStale
	}
	return Result{Verdict: Unknown, FailureReason: kind}, e.call.Service.Repeatable
}

// sendAttempt makes one attempt. It sleeps for the one-way delay to the target before
// and after the call.
func (e *exchange) sendAttempt(target router.Target) reply {
	c := e.client
	zone := c.Deployment.ZoneByName(target.Zone)
	delay := c.Deployment.ClientDelay + c.Deployment.OneWayDelay(c.Zone, zone)
	time.Sleep(delay)
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	e.fillRequest(request, target)
	timeout := min(time.Until(e.deadline), e.attemptTimeout(delay))
	err := c.hostClient(target.Address).DoTimeout(request, response, timeout)
	if err != nil {
		c.discardConnections(target.Address)
		var dialFailure dialError
		return reply{dialFailed: errors.As(err, &dialFailure), responseLost: true, timedOut: errors.Is(err, fasthttp.ErrTimeout)}
	}
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if c.CountBytes != nil {
		c.CountBytes(c.Zone, zone, len(e.call.Body), time.Now())
		c.CountBytes(zone, c.Zone, len(response.Body()), time.Now())
	}
	time.Sleep(delay)
	return e.readResponse(response)
}

// attemptTimeout returns the timeout of one attempt, given the one-way delay.
func (e *exchange) attemptTimeout(delay time.Duration) time.Duration {
	return max(minAttemptTimeout, attemptTimeoutFactor*(e.call.Service.MeanServiceTime+2*delay))
}

// fillRequest sets the URL, headers and body of one attempt.
func (e *exchange) fillRequest(request *fasthttp.Request, target router.Target) {
	request.SetRequestURI("http://" + target.Address + "/s/" + string(e.call.Service.Name) + "/work?nonce=" + e.call.Nonce)
	request.Header.Set(responder.HeaderNonce, e.call.Nonce)
	request.Header.Set(responder.HeaderRegion, string(e.client.Zone.Region))
	request.Header.Set(caller.HeaderOrganisation, string(e.call.Organisation))
	remaining := max(time.Until(e.deadline).Milliseconds(), 1)
	request.Header.Set(caller.HeaderDeadline, strconv.FormatInt(remaining, 10))
	if e.key != "" {
		request.Header.Set(caller.HeaderIdempotencyKey, e.key)
		request.Header.Set("Idempotency-Attempt", strconv.Itoa(e.ordinal))
	}
	if len(e.call.Body) > 0 || !e.call.Service.Repeatable {
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetBodyRaw(e.call.Body)
	}
}

// readResponse checks that a response is complete and belongs to the request.
func (e *exchange) readResponse(response *fasthttp.Response) reply {
	if string(response.Header.ContentType()) == "application/problem+json" {
		var problem listener.Problem
		if err := json.Unmarshal(response.Body(), &problem); err != nil {
			return reply{verdict: InvalidResponse}
		}
		return reply{status: response.StatusCode(), problem: problem}
	}
	digest := string(response.Header.Peek(caller.HeaderContentDigest))
	isComplete := digest == caller.ContentDigest(response.Body())
	if !isComplete || !responder.IsResponseTo(response.Body(), e.call.Nonce) {
		return reply{verdict: InvalidResponse}
	}
	return reply{status: response.StatusCode(), verdict: Answered}
}
