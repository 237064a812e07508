// Package responder is a fake upstream.
//
// It executes a limited number of requests at a time, each for a random service
// time, and sheds the others. Setters make it slow, drain it, or inject failures
// of real upstreams such as truncated responses. It records each execution in a
// ledger, with which a run checks every promise about execution.
//
// # Usage
//
//	r := &responder.FakeUpstream{
//		Name: "fitchart-1", Address: "127.0.0.1:7001", Slots: 5,
//		MeanServiceTime: 30 * time.Millisecond, Ledger: responder.NewLedger(),
//	}
//	go r.Run(ctx)
//	r.SetDraining(true, now)
package responder

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/caller"
)

// Request header fields of the load, which the upstream records.
const (
	// HeaderNonce holds the nonce that identifies one request of the load.
	HeaderNonce = "X-Load-Nonce"
	// HeaderRegion holds the region of the client.
	HeaderRegion = "X-Load-Region"
)

// maxBody is the maximum size of a request body.
const maxBody = 80 * core.Mebibyte

// serviceTimeSigma is the standard deviation of the logarithm of service times,
// which have a log-normal distribution.
const serviceTimeSigma = 0.25

// coldFactor multiplies the service times of an upstream whose caches are cold.
const coldFactor = 3

// InjectedFailures holds the failures that an upstream injects.
type InjectedFailures struct {
	// PreviousResponse returns the response to the previous request.
	PreviousResponse bool
	// TruncatedResponse closes the connection after half of a response.
	TruncatedResponse bool
	// ResponseAfterDeadline responds after the deadline.
	ResponseAfterDeadline bool
	// StalledResponse responds only after silentTime, past the deadlines of the load.
	StalledResponse bool
	// ShedAll refuses every request and says that it was not run.
	ShedAll bool
	// ReportFullLoad reports full load in every health check.
	ReportFullLoad bool
	// Share is the fraction of requests that the other fields apply to, except for
	// ReportFullLoad, which applies to all health checks; 0 means all requests.
	Share float64
}

// FakeUpstream is one fake upstream, which serves HTTP.
type FakeUpstream struct {
	Name string
	// Address is the IP address and TCP port that Run listens on.
	Address string
	Region  string
	// Slots is the maximum number of requests in flight; others are shed.
	Slots int
	// MeanServiceTime is the mean service time.
	MeanServiceTime time.Duration
	// ResponseSize is the minimum length of response bodies.
	ResponseSize core.Bytes
	// WarmUpTime is how long caches are cold after the start.
	WarmUpTime time.Duration
	// Seed makes the service times reproducible.
	Seed uint64
	// Ledger records the executions. Several responders may share one.
	Ledger *Ledger

	inFlight atomic.Int64
	// slowdownBits holds the bits of the float64 that multiplies service times; 0 is
	// as good as 1.
	slowdownBits atomic.Uint64
	mu           sync.Mutex
	random       *rand.Rand
	misbehaviour InjectedFailures
	draining     bool
	// drainingSince is when draining was last set.
	drainingSince time.Time
	started       time.Time
	// previousBody is the body of the response to the previous request.
	previousBody []byte
}

// Run serves requests until ctx is canceled.
func (r *FakeUpstream) Run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", r.Address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.random = rand.New(rand.NewPCG(r.Seed, uint64(len(r.Name)))) //nolint:gosec // Reproducible on purpose.
	r.started = time.Now()
	r.mu.Unlock()
	server := &fasthttp.Server{Handler: r.handle, MaxRequestBodySize: int(maxBody), NoDefaultServerHeader: true}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	err = server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// SetInjectedFailures replaces the failures that the upstream injects.
func (r *FakeUpstream) SetInjectedFailures(misbehaviour InjectedFailures) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.misbehaviour = misbehaviour
}

// SetServiceTimeFactor sets the factor that multiplies service times; 1 is normal.
func (r *FakeUpstream) SetServiceTimeFactor(factor float64) {
	r.slowdownBits.Store(math.Float64bits(factor))
}

// SetDraining starts or ends draining, which the upstream announces in its responses
// and health checks.
func (r *FakeUpstream) SetDraining(draining bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining, r.drainingSince = draining, now
}

// InFlight returns the number of requests in flight.
func (r *FakeUpstream) InFlight() int {
	return int(r.inFlight.Load())
}

// behaviour says how the upstream treats one request.
type behaviour struct {
	misbehaviour  InjectedFailures
	draining      bool
	drainingSince time.Time
	serviceTime   time.Duration
}

// drawBehaviour returns the behaviour for the next request, with a random service
// time and, if Share is set, a random choice whether to inject failures.
func (r *FakeUpstream) drawBehaviour(now time.Time) behaviour {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := behaviour{misbehaviour: r.misbehaviour, draining: r.draining, drainingSince: r.drainingSince}
	if r.misbehaviour.Share > 0 && r.random.Float64() >= r.misbehaviour.Share {
		b.misbehaviour = InjectedFailures{ReportFullLoad: r.misbehaviour.ReportFullLoad}
	}
	factor := math.Exp(r.random.NormFloat64()*serviceTimeSigma - serviceTimeSigma*serviceTimeSigma/2)
	if slowdown := math.Float64frombits(r.slowdownBits.Load()); slowdown > 0 {
		factor *= slowdown
	}
	if now.Sub(r.started) < r.WarmUpTime {
		factor *= coldFactor
	}
	b.serviceTime = time.Duration(float64(r.MeanServiceTime) * factor)
	return b
}

func (r *FakeUpstream) handle(c *fasthttp.RequestCtx) {
	now := time.Now()
	b := r.drawBehaviour(now)
	if string(c.Path()) == "/healthz" {
		r.serveHealth(c, b)
		return
	}
	attempt := string(c.Request.Header.Peek(caller.HeaderAttempt))
	c.Response.Header.Set(caller.HeaderAttempt, attempt)
	if b.draining {
		c.Response.Header.Set(caller.HeaderPhase, caller.PhaseDraining)
		r.Ledger.recordDraining(r.Name, now.Sub(b.drainingSince))
	}
	if b.misbehaviour.ShedAll || int(r.inFlight.Add(1)) > r.Slots {
		r.shed(c, b)
		return
	}
	defer r.inFlight.Add(-1)
	r.serve(c, b)
}

// shed refuses a request and says that it was not run.
func (r *FakeUpstream) shed(c *fasthttp.RequestCtx, b behaviour) {
	if !b.misbehaviour.ShedAll {
		r.inFlight.Add(-1)
		isRemote := string(c.Request.Header.Peek(HeaderRegion)) != r.Region
		r.Ledger.recordOverload(r.Region, isRemote)
	}
	c.Response.Header.Set(caller.HeaderRunState, caller.RunStateNotRun)
	c.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// serveHealth responds to a health check.
func (r *FakeUpstream) serveHealth(c *fasthttp.RequestCtx, b behaviour) {
	report := caller.HealthReport{Phase: core.PhaseLive, Load: float64(r.InFlight()) / float64(r.Slots)}
	if b.draining {
		report.Phase = core.PhaseLeaving
	}
	if b.misbehaviour.ReportFullLoad {
		report.Load = 1
	}
	body, _ := json.Marshal(report)
	c.SetBody(body)
}

// serve executes a request: it checks the body, records the execution, sleeps for
// the service time and responds.
func (r *FakeUpstream) serve(c *fasthttp.RequestCtx, b behaviour) {
	nonce := string(c.Request.Header.Peek(HeaderNonce))
	if len(c.PostBody()) > 0 && string(c.Request.Header.Peek(caller.HeaderContentDigest)) != caller.ContentDigest(c.PostBody()) {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		r.Ledger.recordCorrupt()
		return
	}
	r.Ledger.recordExecution(nonce, string(c.Request.Header.Peek(caller.HeaderIdempotencyKey)), r.Name)
	time.Sleep(b.serviceTime)
	if b.misbehaviour.ResponseAfterDeadline {
		remaining, _ := strconv.Atoi(string(c.Request.Header.Peek(caller.HeaderDeadline)))
		time.Sleep(time.Duration(remaining) * time.Millisecond)
	}
	body := r.responseBody(nonce)
	r.mu.Lock()
	previousBody := r.previousBody
	r.previousBody = body
	r.mu.Unlock()
	if b.misbehaviour.PreviousResponse && previousBody != nil {
		c.Response.Header.Set(caller.HeaderAttempt, "another-attempt")
		body = previousBody
	}
	c.Response.Header.Set(caller.HeaderContentDigest, caller.ContentDigest(body))
	c.SetBody(body)
	switch {
	case b.misbehaviour.StalledResponse:
		time.Sleep(silentTime)
	case b.misbehaviour.TruncatedResponse:
		truncate(c)
	default:
	}
}

// silentTime is how long a silent upstream delays its response.
const silentTime = 10 * time.Second

// truncate writes half of the response and closes the connection.
func truncate(c *fasthttp.RequestCtx) {
	response := c.Response.String()
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) {
		_, _ = conn.Write([]byte(response[:len(response)/2]))
		_ = conn.Close()
	})
}

// responseBody returns a body that starts with the nonce of its request.
func (r *FakeUpstream) responseBody(nonce string) []byte {
	text := "nonce=" + nonce + ";"
	if padding := int(r.ResponseSize) - len(text); padding > 0 {
		text += strings.Repeat("x", padding)
	}
	return []byte(text)
}

// IsResponseTo reports whether a response body belongs to the request with the nonce.
func IsResponseTo(body []byte, nonce string) bool {
	return strings.HasPrefix(string(body), "nonce="+nonce+";")
}
