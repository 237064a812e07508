package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is one request that a backend received, other than health checks and requests
// that got 421.
type arrival struct {
	id, upstream, service string
	at                    time.Time
	ran                   bool
}

// arrivals holds what all backends received.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(one arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, one)
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.list...)
}

// upstream is a stand-in of one backend.
type upstream struct {
	id, service, zone string
	address           string
	slots             int
	work              time.Duration
	store             *store
	log               *arrivals
	born              int64

	inFlight atomic.Int64
	server   *http.Server
}

// start starts the backend and writes its entry.
func (u *upstream) start() {
	listener, err := net.Listen("tcp4", u.address)
	if err != nil {
		fail("backend: %v", err)
	}
	u.address = listener.Addr().String()
	u.born = time.Now().UnixMilli()
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(listener) }()
	u.register("ready")
}

func (u *upstream) register(state string) {
	u.store.put("servers", u.id, upstreamSpec(u.address, u.service, u.zone, state, u.slots, u.born))
}

// exit ends the backend at once, with the requests that it runs.
func (u *upstream) exit() {
	_ = u.server.Close()
}

// ServeHTTP answers a request as PROTOCOL.md describes it.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", u.id)
	h.Set("Keep-Alive", "timeout=10")
	if id := r.Header.Get("X-Request-Id"); id != "" {
		h.Set("X-Request-Id", id)
	}
	if r.URL.Path == "/health" {
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	at := time.Now()
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		u.log.add(arrival{id: id, upstream: u.id, service: u.service, at: at})
		return
	}
	running := u.inFlight.Add(1)
	defer u.inFlight.Add(-1)
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, u.slots))
	if running > int64(u.slots) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		u.log.add(arrival{id: id, upstream: u.id, service: u.service, at: at})
		return
	}
	u.log.add(arrival{id: id, upstream: u.id, service: u.service, at: at, ran: true})
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), u.limit(r))
	defer cancel()
	select {
	case <-time.After(u.work):
	case <-ctx.Done():
		if r.Context().Err() == nil {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
		return
	}
	h.Set("X-Server-Signature", "s."+u.id+"."+id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// limit returns the time that the request leaves the backend.
func (u *upstream) limit(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64)
	if err != nil {
		return 30 * time.Second
	}
	return time.Duration(ms * float64(time.Millisecond))
}
