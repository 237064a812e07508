package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// outcome is what a client saw of one request.
type outcome struct {
	id, host, path string
	sentAt         time.Time
	took           time.Duration
	status         int
	signature      string
	body           string
	err            error
}

// client sends requests to one host over kept connections.
type client struct {
	host      *host
	hostname  string
	transport *http.Transport
	results   *results
}

// results holds the outcomes of all clients.
type results struct {
	mu   sync.Mutex
	list []outcome
}

func (r *results) add(o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, o)
}

func (r *results) all() []outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]outcome(nil), r.list...)
}

func newClient(h *host, hostname string, results *results) *client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &client{host: h, hostname: hostname, results: results, transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 200, IdleConnTimeout: 12 * time.Second, DisableCompression: true,
	}}
}

// send sends one request and records its outcome. It never repeats it.
func (c *client) send(method, path, id string, body io.Reader, length int64, deadline time.Duration) outcome {
	o := outcome{id: id, host: c.host.name, path: path, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.host.addresses["frontend_addr"]+path, body)
	if err != nil {
		fail("%v", err)
	}
	request.Host = c.hostname
	request.ContentLength = length
	request.GetBody = nil
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Affinity-Key", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := c.transport.RoundTrip(request)
	if err == nil {
		o.status, o.signature = response.StatusCode, response.Header.Get("X-Server-Signature")
		var data []byte
		data, err = io.ReadAll(response.Body)
		o.body = string(data)
		_ = response.Body.Close()
	}
	o.err, o.took = err, time.Since(o.sentAt)
	c.results.add(o)
	return o
}

// post sends a small request of a non-idempotent route.
func (c *client) post(path, id string, deadline time.Duration) outcome {
	body := "body of " + id
	return c.send(http.MethodPost, path+id, id, strings.NewReader(body), int64(len(body)), deadline)
}

// load sends requests at a steady rate until stop is closed.
func (c *client) load(prefix, path string, perSecond float64, deadline time.Duration, stop <-chan struct{}, group *sync.WaitGroup) {
	group.Add(1)
	go func() {
		defer group.Done()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			id := fmt.Sprintf("%s-%s-%d", prefix, c.host.name, n)
			group.Add(1)
			go func() {
				defer group.Done()
				c.post(path, id, deadline)
			}()
		}
	}()
}
