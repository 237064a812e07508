// Package driver is the load: clients that ask which entry host to use, cache
// the answer, send requests and check what comes back.
//
// A client follows docs/API.md: it tries the hosts of its route in order, and
// repeats a request only where that is safe.
//
// # Usage
//
//	c := &driver.Client{Deployment: d, Zone: zone, Dial: dial}
//	c.Init()
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
)

// Bounds of a client's calls.
const (
	connectTimeout = 400 * time.Millisecond
	routeTimeout   = 800 * time.Millisecond
	maxIdle        = 900 * time.Millisecond
	maxConnections = 4096
	// patienceFactor times the usual time, and patienceLeast, is how long a
	// client waits for a host before it sends again, which is safe under a key
	// and for what may be repeated.
	patienceFactor = 8
	patienceLeast  = 400 * time.Millisecond
	// sendsPerRoute is how many hosts of one answer are tried in order before
	// the newest answer is read again.
	sendsPerRoute = 3
	// maxSends bounds how often one request is sent.
	maxSends = 6
)

// Verdict is how a request ended for the client.
type Verdict uint8

// The verdicts.
const (
	// Answered is a whole answer to the client's own request.
	Answered Verdict = iota
	// Refused is a refusal that says not run.
	Refused
	// Unknown is an end without proof of whether the request was run.
	Unknown
	// Wrong is an answer that is not whole or belongs to another request.
	Wrong
)

// Call is one request of the load.
type Call struct {
	Service      deployer.ServiceSpec
	Organisation core.Organisation
	Nonce        string
	Body         []byte
}

// Result is what became of a call.
type Result struct {
	Verdict Verdict
	// Kind is the kind of the refusal.
	Kind    string
	Latency time.Duration
	Sends   int
	// Cut says that some connection ended between request and answer.
	Cut bool
}

// Client is the clients of one availability zone.
type Client struct {
	Deployment deployer.Deployment
	Zone       core.Zone
	// Local is the address that the client calls from.
	Local netip.Addr
	// Dial opens connections.
	Dial func(local netip.Addr, address string, timeout time.Duration) (net.Conn, error)
	// Charge counts bytes that cross regions; nil ignores them.
	Charge func(from, to core.Zone, n int, now time.Time)
	// Deadline is how long a client waits.
	Deadline time.Duration

	mu      sync.Mutex
	clients map[string]*fasthttp.HostClient
	routes  map[core.ServiceName]cachedRoute
	turn    uint64
}

type cachedRoute struct {
	route   router.Route
	fetched time.Time
}

// dialError marks a connection that could not be opened.
type dialError struct{ error }

// Init prepares the client. Call it once.
func (c *Client) Init() {
	c.clients = map[string]*fasthttp.HostClient{}
	c.routes = map[core.ServiceName]cachedRoute{}
}

// host returns the HTTP client for an entry host.
func (c *Client) host(address string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.clients[address]
	if h == nil {
		h = &fasthttp.HostClient{
			Addr:                      address,
			MaxConns:                  maxConnections,
			MaxIdleConnDuration:       maxIdle,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial: func(a string) (net.Conn, error) {
				conn, err := c.Dial(c.Local, a, connectTimeout)
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

// forget makes further calls to a host open new connections.
func (c *Client) forget(address string) {
	c.mu.Lock()
	old := c.clients[address]
	delete(c.clients, address)
	c.mu.Unlock()
	if old != nil {
		old.CloseIdleConnections()
	}
}

// Refresh asks for the routes of all services, first from the hosts in use.
func (c *Client) Refresh(now time.Time) {
	for _, s := range c.Deployment.Services {
		for _, address := range c.known(s.Name) {
			route, err := c.fetch(address, s.Name)
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

// known lists hosts to ask: those of the route in use, then all others.
func (c *Client) known(service core.ServiceName) []string {
	c.mu.Lock()
	cached := c.routes[service].route
	c.mu.Unlock()
	var addresses []string
	for _, h := range cached.Hosts {
		addresses = append(addresses, h.Address)
	}
	for _, near := range []bool{true, false} {
		for _, h := range c.Deployment.HostList() {
			if (h.Zone.Name == c.Zone.Name) == near {
				addresses = append(addresses, h.ClientAddress)
			}
		}
	}
	return addresses
}

func (c *Client) fetch(address string, service core.ServiceName) (router.Route, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/v1/route?service=" + string(service))
	if err := c.host(address).DoTimeout(request, response, routeTimeout); err != nil {
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

// route returns the targets for a call, spreading calls over the hosts of
// equal rank.
func (c *Client) route(service core.ServiceName) []router.Target {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := c.routes[service].route
	c.turn++
	targets := make([]router.Target, 0, len(cached.Hosts))
	for start := 0; start < len(cached.Hosts); {
		end := start + 1
		for end < len(cached.Hosts) && cached.Hosts[end].Rank == cached.Hosts[start].Rank {
			end++
		}
		group := cached.Hosts[start:end]
		for i := range group {
			targets = append(targets, group[(i+int(c.turn%uint64(len(group))))%len(group)])
		}
		start = end
	}
	return targets
}

// Do sends a request until it has an outcome.
func (c *Client) Do(call Call, now time.Time) Result {
	exchange := &exchange{client: c, call: call, start: now, deadline: now.Add(c.Deadline)}
	result := exchange.run()
	result.Latency = time.Since(now)
	result.Sends = exchange.sends
	result.Cut = exchange.cut
	return result
}

// exchange is the course of one request at the client.
type exchange struct {
	client   *Client
	call     Call
	start    time.Time
	deadline time.Time
	key      string
	home     string
	ordinal  int
	sends    int
	targets  []router.Target
	// lost says that some send brought no answer; cut that a connection ended.
	lost bool
	cut  bool
}

// reply is what one send brought.
type reply struct {
	unsent  bool
	lost    bool
	late    bool
	status  int
	problem listener.Problem
	verdict Verdict
}

func (e *exchange) run() Result {
	last := Result{Verdict: Refused, Kind: "no-host"}
	for e.sends < maxSends {
		if e.sends%sendsPerRoute == 0 {
			e.targets = e.client.route(e.call.Service.Name)
		}
		targets := e.targets
		if len(targets) == 0 || time.Now().After(e.deadline) {
			return last
		}
		target := targets[e.sends%len(targets)]
		e.prepareKey(target)
		r := e.send(target)
		e.sends++
		result, again := e.judge(r)
		if !again {
			return result
		}
		last = result
	}
	return last
}

// prepareKey makes a home-bound key where there is none.
func (e *exchange) prepareKey(target router.Target) {
	if e.call.Service.Repeatable || e.key != "" {
		return
	}
	incarnation, _ := core.ParseIncarnation(target.Incarnation)
	life := core.Life{Host: target.Name, Incarnation: incarnation}
	nonce := e.call.Nonce + "-" + strconv.Itoa(e.sends)
	e.key = core.NewHomeKey(life, nonce, time.Unix(target.Second, 0)).Text
	e.home = target.Address
	e.ordinal = 0
}

// judge decides whether to send again.
func (e *exchange) judge(r reply) (Result, bool) {
	switch {
	case r.unsent:
		if e.ordinal == 0 {
			e.key = ""
		}
		verdict := e.unserved()
		if e.ordinal > 0 {
			verdict = Unknown
		}
		return Result{Verdict: verdict, Kind: "unreachable"}, true
	case r.lost:
		e.ordinal++
		e.lost = true
		e.cut = e.cut || !r.late
		return Result{Verdict: Unknown, Kind: "connection-lost"}, true
	case r.problem.Type != "":
		return e.judgeProblem(r.problem)
	default:
		return Result{Verdict: r.verdict}, false
	}
}

// unserved returns the verdict after a send that was not run. The home of a key
// answers for all sends of it; without a key an earlier send that was lost may
// have been run.
func (e *exchange) unserved() Verdict {
	if e.lost && e.call.Service.Repeatable {
		return Unknown
	}
	return Refused
}

func (e *exchange) judgeProblem(problem listener.Problem) (Result, bool) {
	kind := problem.Type[len("urn:endiverun:problem:"):]
	if problem.Run == core.NotRun.String() {
		isStale := kind == string(core.RefusalStaleHome) || kind == string(core.RefusalStopping)
		if isStale {
			e.key = ""
		}
		return Result{Verdict: e.unserved(), Kind: kind}, isStale
	}
	return Result{Verdict: Unknown, Kind: kind}, e.call.Service.Repeatable
}

// send sends the request once.
func (e *exchange) send(target router.Target) reply {
	c := e.client
	zone := c.Deployment.ZoneByName(target.Zone)
	delay := c.Deployment.Client + c.Deployment.Delay(c.Zone, zone)
	time.Sleep(delay)
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	e.fill(request, target)
	limit := min(time.Until(e.deadline), e.patience(delay))
	err := c.host(target.Address).DoTimeout(request, response, limit)
	if err != nil {
		c.forget(target.Address)
		var refused dialError
		return reply{unsent: errors.As(err, &refused), lost: true, late: errors.Is(err, fasthttp.ErrTimeout)}
	}
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	if c.Charge != nil {
		c.Charge(c.Zone, zone, len(e.call.Body), time.Now())
		c.Charge(zone, c.Zone, len(response.Body()), time.Now())
	}
	time.Sleep(delay)
	return e.read(response)
}

// patience returns how long to wait for one send.
func (e *exchange) patience(delay time.Duration) time.Duration {
	return max(patienceLeast, patienceFactor*(e.call.Service.Mean+2*delay))
}

func (e *exchange) fill(request *fasthttp.Request, target router.Target) {
	request.SetRequestURI("http://" + target.Address + "/s/" + string(e.call.Service.Name) + "/work?nonce=" + e.call.Nonce)
	request.Header.Set(responder.HeaderNonce, e.call.Nonce)
	request.Header.Set(responder.HeaderRegion, string(e.client.Zone.Region))
	request.Header.Set(caller.HeaderOrg, string(e.call.Organisation))
	left := max(time.Until(e.deadline).Milliseconds(), 1)
	request.Header.Set(caller.HeaderDeadline, strconv.FormatInt(left, 10))
	if e.key != "" {
		request.Header.Set(caller.HeaderKey, e.key)
		request.Header.Set("Idempotency-Attempt", strconv.Itoa(e.ordinal))
	}
	if len(e.call.Body) > 0 || !e.call.Service.Repeatable {
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetBodyRaw(e.call.Body)
	}
}

func (e *exchange) read(response *fasthttp.Response) reply {
	if string(response.Header.ContentType()) == "application/problem+json" {
		var problem listener.Problem
		if err := json.Unmarshal(response.Body(), &problem); err != nil {
			return reply{verdict: Wrong}
		}
		return reply{status: response.StatusCode(), problem: problem}
	}
	digest := string(response.Header.Peek(caller.HeaderDigest))
	isWhole := digest == caller.Digest(response.Body())
	if !isWhole || !responder.IsOwnAnswer(response.Body(), e.call.Nonce) {
		return reply{verdict: Wrong}
	}
	return reply{status: response.StatusCode(), verdict: Answered}
}
