// Package archiver is the stand-in for the platform's object API.
//
// It keeps objects in memory with versions, conditional updates and watches,
// and has switches for the ways in which the real one fails.
//
// # Usage
//
//	a := &archiver.Archiver{Address: "127.0.0.1:9000"}
//	go a.Run(ctx)
//	a.SetDown(true)
package archiver

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/storer"
)

// maxObject is the largest object.
const maxObject = core.Mebibyte

// basePath is where the API stands.
const basePath = "/apis/endiverun.io/v1/"

// Archiver is the stand-in.
type Archiver struct {
	// Address is the IP address and TCP port.
	Address string

	down     atomic.Bool
	slow     atomic.Int64
	lose     atomic.Int64
	writes   atomic.Int64
	reads    atomic.Int64
	watching atomic.Int64

	mu      sync.Mutex
	version core.Version
	objects map[string]storer.Object
	events  []storer.Event
	changed chan struct{}
}

// SetDown makes every call end without an answer.
func (a *Archiver) SetDown(down bool) { a.down.Store(down) }

// SetSlow delays every answer.
func (a *Archiver) SetSlow(by time.Duration) { a.slow.Store(int64(by)) }

// SetLose drops the answer of every nth write after it took effect; 0 drops
// none.
func (a *Archiver) SetLose(nth int) { a.lose.Store(int64(nth)) }

// Counts returns the number of writes and reads so far.
func (a *Archiver) Counts() (writes, reads int64) {
	return a.writes.Load(), a.reads.Load()
}

// Run serves until ctx ends.
func (a *Archiver) Run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", a.Address)
	if err != nil {
		return err
	}
	a.mu.Lock()
	a.objects = map[string]storer.Object{}
	a.changed = make(chan struct{})
	a.mu.Unlock()
	server := &fasthttp.Server{Handler: a.handle, MaxRequestBodySize: int(2 * maxObject), CloseOnShutdown: true}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	err = server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (a *Archiver) handle(c *fasthttp.RequestCtx) {
	if a.down.Load() {
		dropAnswer(c)
		return
	}
	time.Sleep(time.Duration(a.slow.Load()))
	rest, ok := strings.CutPrefix(string(c.Path()), basePath)
	if !ok {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case c.QueryArgs().Has("watch"):
		a.watch(c, kind)
	case c.IsGet():
		a.reads.Add(1)
		a.get(c, kind, name)
	case c.IsPost(), c.IsPut():
		a.write(c, kind)
	default:
		c.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
}

// dropAnswer closes the connection without an answer.
func dropAnswer(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) { _ = conn.Close() })
}

func (a *Archiver) get(c *fasthttp.RequestCtx, kind, name string) {
	a.mu.Lock()
	object, ok := a.objects[kind+"/"+name]
	a.mu.Unlock()
	if !ok {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	answer(c, fasthttp.StatusOK, object)
}

func answer(c *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetStatusCode(status)
	c.SetBody(body)
}

func (a *Archiver) write(c *fasthttp.RequestCtx, kind string) {
	var object storer.Object
	if err := json.Unmarshal(c.PostBody(), &object); err != nil || core.Bytes(len(object.Data)) > maxObject {
		c.SetStatusCode(fasthttp.StatusUnprocessableEntity)
		return
	}
	object.Kind = kind
	count := a.writes.Add(1)
	stored, ok := a.Put(object, c.IsPost())
	if nth := a.lose.Load(); nth > 0 && count%nth == 0 {
		dropAnswer(c)
		return
	}
	if !ok {
		c.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	answer(c, fasthttp.StatusOK, stored)
}

// Put writes an object: a new one, or the replacement of the version that it
// names. It reports false on a conflict.
func (a *Archiver) Put(object storer.Object, isNew bool) (storer.Object, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := object.Kind + "/" + object.Metadata.Name
	known, exists := a.objects[key]
	if exists == isNew || (exists && known.Metadata.ResourceVersion != object.Metadata.ResourceVersion) {
		return storer.Object{}, false
	}
	a.version++
	object.Metadata.ResourceVersion = a.version
	a.objects[key] = object
	event := storer.Event{Type: "MODIFIED", Object: object}
	if isNew {
		event.Type = "ADDED"
	}
	a.events = append(a.events, event)
	close(a.changed)
	a.changed = make(chan struct{})
	return object, true
}

// Set writes an object whatever stands there.
func (a *Archiver) Set(kind, name string, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	object := storer.Object{Kind: kind, Metadata: storer.Metadata{Name: name}, Data: encoded}
	a.mu.Lock()
	known, exists := a.objects[kind+"/"+name]
	a.mu.Unlock()
	object.Metadata.ResourceVersion = known.Metadata.ResourceVersion
	a.Put(object, !exists)
	return nil
}

// watch streams events of a kind until its time is over.
func (a *Archiver) watch(c *fasthttp.RequestCtx, kind string) {
	after := core.Version(c.QueryArgs().GetUintOrZero("resourceVersion"))
	end := time.Now().Add(time.Duration(c.QueryArgs().GetUintOrZero("timeoutSeconds")) * time.Second)
	a.watching.Add(1)
	c.SetContentType("application/json")
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer a.watching.Add(-1)
		a.stream(w, kind, after, end)
	})
}

func (a *Archiver) stream(w *bufio.Writer, kind string, after core.Version, end time.Time) {
	encoder := json.NewEncoder(w)
	for {
		events, changed := a.since(kind, after)
		for _, e := range events {
			if encoder.Encode(e) != nil {
				return
			}
			after = e.Object.Metadata.ResourceVersion
		}
		if w.Flush() != nil || a.down.Load() {
			return
		}
		timer := time.NewTimer(min(time.Until(end), watchCheck))
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		if time.Now().After(end) {
			return
		}
	}
}

// watchCheck is the time between two looks at the switches.
const watchCheck = 100 * time.Millisecond

// since returns the events of a kind after a version, and what closes at the
// next one.
func (a *Archiver) since(kind string, after core.Version) ([]storer.Event, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var events []storer.Event
	for i := len(a.events) - 1; i >= 0; i-- {
		e := a.events[i]
		if e.Object.Metadata.ResourceVersion <= after {
			break
		}
		if e.Object.Kind == kind {
			events = append(events, e)
		}
	}
	for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
		events[i], events[j] = events[j], events[i]
	}
	return events, a.changed
}
