// Package responder is the stand-in for an upstream.
//
// It runs a bounded number of requests at a time, each for a drawn service
// time, and can misbehave in the ways that upstreams do. What it ran stands in
// a ledger, which is the evidence for every promise about running.
//
// # Usage
//
//	r := &responder.Responder{Name: "fitchart-1", Address: "127.0.0.1:7001", Slots: 5}
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

// Header fields by which the load tells the stand-in what to record and check.
const (
	// HeaderNonce identifies one request of the load.
	HeaderNonce = "X-Load-Nonce"
	// HeaderRegion is the region of the client.
	HeaderRegion = "X-Load-Region"
)

// maxBody is the largest request.
const maxBody = 80 * core.Mebibyte

// spread is the standard deviation of the logarithm of service times.
const spread = 0.25

// coldFactor multiplies service times while caches are cold.
const coldFactor = 3

// Misbehaviour is what a stand-in does wrong.
type Misbehaviour struct {
	// Crossed answers with what belongs to the request before.
	Crossed bool
	// Truncated ends an answer early.
	Truncated bool
	// Late answers after the deadline.
	Late bool
	// Silent never answers.
	Silent bool
	// Shed refuses every request as not run.
	Shed bool
	// Lie reports full load always.
	Lie bool
	// Share is the part of the requests that the above befalls; 0 means all.
	Share float64
}

// Responder is one upstream.
type Responder struct {
	Name    string
	Address string
	Region  string
	Slots   int
	// Mean is the mean service time.
	Mean time.Duration
	// AnswerSize is the length of answers.
	AnswerSize core.Bytes
	// ColdTime is how long after the start caches are cold.
	ColdTime time.Duration
	// Seed makes service times repeatable.
	Seed uint64
	// Ledger records what was run; several responders may share one.
	Ledger *Ledger

	inFlight atomic.Int64
	slowness atomic.Uint64
	mu       sync.Mutex
	random   *rand.Rand
	bad      Misbehaviour
	draining bool
	drained  time.Time
	started  time.Time
	previous []byte
}

// Run serves until ctx ends.
func (r *Responder) Run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", r.Address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.random = rand.New(rand.NewPCG(r.Seed, uint64(len(r.Name)))) //nolint:gosec // Repeatable on purpose.
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

// SetMisbehaviour replaces what the stand-in does wrong.
func (r *Responder) SetMisbehaviour(bad Misbehaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bad = bad
}

// SetSlowness multiplies service times; 1 is normal.
func (r *Responder) SetSlowness(factor float64) {
	r.slowness.Store(math.Float64bits(factor))
}

// SetDraining makes the stand-in announce that it leaves.
func (r *Responder) SetDraining(draining bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining, r.drained = draining, now
}

// InFlight returns the number of requests that run.
func (r *Responder) InFlight() int {
	return int(r.inFlight.Load())
}

// plan is what happens to one request.
type plan struct {
	bad      Misbehaviour
	draining bool
	drained  time.Time
	service  time.Duration
}

func (r *Responder) plan(now time.Time) plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := plan{bad: r.bad, draining: r.draining, drained: r.drained}
	if r.bad.Share > 0 && r.random.Float64() >= r.bad.Share {
		p.bad = Misbehaviour{Lie: r.bad.Lie}
	}
	factor := math.Exp(r.random.NormFloat64()*spread - spread*spread/2)
	if slow := math.Float64frombits(r.slowness.Load()); slow > 0 {
		factor *= slow
	}
	if now.Sub(r.started) < r.ColdTime {
		factor *= coldFactor
	}
	p.service = time.Duration(float64(r.Mean) * factor)
	return p
}

func (r *Responder) handle(c *fasthttp.RequestCtx) {
	now := time.Now()
	p := r.plan(now)
	if string(c.Path()) == "/healthz" {
		r.health(c, p)
		return
	}
	attempt := string(c.Request.Header.Peek(caller.HeaderAttempt))
	c.Response.Header.Set(caller.HeaderAttempt, attempt)
	if p.draining {
		c.Response.Header.Set(caller.HeaderPhase, caller.PhaseLeaving)
		r.Ledger.noteDraining(r.Name, now.Sub(p.drained))
	}
	if p.bad.Shed || int(r.inFlight.Add(1)) > r.Slots {
		r.shed(c, p)
		return
	}
	defer r.inFlight.Add(-1)
	r.serve(c, p)
}

// shed refuses a request as not run.
func (r *Responder) shed(c *fasthttp.RequestCtx, p plan) {
	if !p.bad.Shed {
		r.inFlight.Add(-1)
		isForeign := string(c.Request.Header.Peek(HeaderRegion)) != r.Region
		r.Ledger.noteOverload(r.Region, isForeign)
	}
	c.Response.Header.Set(caller.HeaderRunState, caller.RunStateNotRun)
	c.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

func (r *Responder) health(c *fasthttp.RequestCtx, p plan) {
	report := caller.Report{Phase: core.PhaseLive, Load: float64(r.InFlight()) / float64(r.Slots)}
	if p.draining {
		report.Phase = core.PhaseLeaving
	}
	if p.bad.Lie {
		report.Load = 1
	}
	body, _ := json.Marshal(report)
	c.SetBody(body)
}

// serve runs a request.
func (r *Responder) serve(c *fasthttp.RequestCtx, p plan) {
	nonce := string(c.Request.Header.Peek(HeaderNonce))
	if len(c.PostBody()) > 0 && string(c.Request.Header.Peek(caller.HeaderDigest)) != caller.Digest(c.PostBody()) {
		c.SetStatusCode(fasthttp.StatusBadRequest)
		r.Ledger.noteDamaged()
		return
	}
	r.Ledger.noteRun(nonce, string(c.Request.Header.Peek(caller.HeaderKey)), r.Name)
	time.Sleep(p.service)
	if p.bad.Late {
		left, _ := strconv.Atoi(string(c.Request.Header.Peek(caller.HeaderDeadline)))
		time.Sleep(time.Duration(left) * time.Millisecond)
	}
	body := r.body(nonce)
	r.mu.Lock()
	previous := r.previous
	r.previous = body
	r.mu.Unlock()
	if p.bad.Crossed && previous != nil {
		c.Response.Header.Set(caller.HeaderAttempt, "another-attempt")
		body = previous
	}
	c.Response.Header.Set(caller.HeaderDigest, caller.Digest(body))
	c.SetBody(body)
	switch {
	case p.bad.Silent:
		time.Sleep(silence)
	case p.bad.Truncated:
		truncate(c)
	default:
	}
}

// silence is how long a silent stand-in holds its connection.
const silence = 10 * time.Second

// truncate writes half of the answer and closes the connection.
func truncate(c *fasthttp.RequestCtx) {
	whole := c.Response.String()
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) {
		_, _ = conn.Write([]byte(whole[:len(whole)/2]))
		_ = conn.Close()
	})
}

// body returns an answer that names the request it belongs to.
func (r *Responder) body(nonce string) []byte {
	text := "nonce=" + nonce + ";"
	if fill := int(r.AnswerSize) - len(text); fill > 0 {
		text += strings.Repeat("x", fill)
	}
	return []byte(text)
}

// IsOwnAnswer reports whether a body answers the request with the nonce.
func IsOwnAnswer(body []byte, nonce string) bool {
	return strings.HasPrefix(string(body), "nonce="+nonce+";")
}
