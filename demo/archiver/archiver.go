// Package archiver is an in-memory fake of the platform's object API.
//
// It stores objects with resource versions and supports conditional updates and
// watches. Setters inject the failures of the real API while it runs: no
// responses at all, slow responses, and writes whose response is lost.
//
// # Usage
//
//	a := &archiver.ObjectStore{Address: "127.0.0.1:9000"}
//	go a.Run(ctx)
//	a.SetUnavailable(true)
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

// maxObjectSize is the maximum size of an object's data.
const maxObjectSize = core.Mebibyte

// basePath is the path prefix of every object.
const basePath = "/apis/endiverun.io/v1/"

// ObjectStore serves the object API over HTTP. The zero value with an Address is
// ready for Run; Put and PutUnconditionally work only after Run has started.
type ObjectStore struct {
	// Address is the IP address and TCP port that Run listens on.
	Address string

	down atomic.Bool
	// responseDelay is the added response time in nanoseconds.
	responseDelay atomic.Int64
	// dropEvery is n if the response of every nth write is dropped, or 0.
	dropEvery atomic.Int64
	writes    atomic.Int64
	reads     atomic.Int64
	watchers  atomic.Int64

	mu      sync.Mutex
	version core.ObjectVersion
	// objects holds the current objects by "kind/name".
	objects map[string]storer.Object
	// events holds every change since the start, oldest first.
	events []storer.Event
	// changed is closed, and replaced, by every write.
	changed chan struct{}
}

// SetUnavailable makes every request fail: its connection is closed without a
// response.
func (a *ObjectStore) SetUnavailable(down bool) { a.down.Store(down) }

// SetResponseDelay delays every response by the given time.
func (a *ObjectStore) SetResponseDelay(delay time.Duration) { a.responseDelay.Store(int64(delay)) }

// SetDropEveryNthWriteResponse drops the response of every nth write after the write took effect;
// 0 drops none.
func (a *ObjectStore) SetDropEveryNthWriteResponse(nth int) { a.dropEvery.Store(int64(nth)) }

// RequestCounts returns the number of write and read requests so far, without watches.
func (a *ObjectStore) RequestCounts() (writes, reads int64) {
	return a.writes.Load(), a.reads.Load()
}

// Run serves requests until ctx is canceled.
func (a *ObjectStore) Run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", a.Address)
	if err != nil {
		return err
	}
	a.mu.Lock()
	a.objects = map[string]storer.Object{}
	a.changed = make(chan struct{})
	a.mu.Unlock()
	server := &fasthttp.Server{Handler: a.handle, MaxRequestBodySize: int(2 * maxObjectSize), CloseOnShutdown: true}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	err = server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (a *ObjectStore) handle(c *fasthttp.RequestCtx) {
	if a.down.Load() {
		dropResponse(c)
		return
	}
	time.Sleep(time.Duration(a.responseDelay.Load()))
	path, ok := strings.CutPrefix(string(c.Path()), basePath)
	if !ok {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
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

// dropResponse closes the connection without a response.
func dropResponse(c *fasthttp.RequestCtx) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) { _ = conn.Close() })
}

func (a *ObjectStore) get(c *fasthttp.RequestCtx, kind, name string) {
	a.mu.Lock()
	object, ok := a.objects[kind+"/"+name]
	a.mu.Unlock()
	if !ok {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	writeJSON(c, fasthttp.StatusOK, object)
}

func writeJSON(c *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetStatusCode(status)
	c.SetBody(body)
}

func (a *ObjectStore) write(c *fasthttp.RequestCtx, kind string) {
	var object storer.Object
	if err := json.Unmarshal(c.PostBody(), &object); err != nil || core.Bytes(len(object.Data)) > maxObjectSize {
		c.SetStatusCode(fasthttp.StatusUnprocessableEntity)
		return
	}
	object.Kind = kind
	count := a.writes.Add(1)
	stored, ok := a.Put(object, c.IsPost())
	if nth := a.dropEvery.Load(); nth > 0 && count%nth == 0 {
		dropResponse(c)
		return
	}
	if !ok {
		c.SetStatusCode(fasthttp.StatusConflict)
		return
	}
	writeJSON(c, fasthttp.StatusOK, stored)
}

// Put creates an object if isNew is true, and otherwise replaces the object
// whose resource version it carries. It returns false on a conflict: the object
// to create exists, or the one to replace is missing or has another version.
func (a *ObjectStore) Put(object storer.Object, isNew bool) (storer.Object, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := object.Kind + "/" + object.Metadata.Name
	current, exists := a.objects[key]
	if exists == isNew || (exists && current.Metadata.ResourceVersion != object.Metadata.ResourceVersion) {
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

// PutUnconditionally creates or replaces an object without a version check.
func (a *ObjectStore) PutUnconditionally(kind, name string, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	object := storer.Object{Kind: kind, Metadata: storer.Metadata{Name: name}, Data: encoded}
	a.mu.Lock()
	current, exists := a.objects[kind+"/"+name]
	a.mu.Unlock()
	object.Metadata.ResourceVersion = current.Metadata.ResourceVersion
	a.Put(object, !exists)
	return nil
}

// watch streams the events of a kind until the requested timeout.
func (a *ObjectStore) watch(c *fasthttp.RequestCtx, kind string) {
	after := core.ObjectVersion(c.QueryArgs().GetUintOrZero("resourceVersion"))
	end := time.Now().Add(time.Duration(c.QueryArgs().GetUintOrZero("timeoutSeconds")) * time.Second)
	a.watchers.Add(1)
	c.SetContentType("application/json")
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer a.watchers.Add(-1)
		a.stream(w, kind, after, end)
	})
}

func (a *ObjectStore) stream(w *bufio.Writer, kind string, after core.ObjectVersion, end time.Time) {
	encoder := json.NewEncoder(w)
	for {
		events, changed := a.eventsSince(kind, after)
		for _, e := range events {
			if encoder.Encode(e) != nil {
				return
			}
			after = e.Object.Metadata.ResourceVersion
		}
		if w.Flush() != nil || a.down.Load() {
			return
		}
		timer := time.NewTimer(min(time.Until(end), watchPollInterval))
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

// watchPollInterval is how often an open watch checks whether the API has
// been made unavailable.
const watchPollInterval = 100 * time.Millisecond

// eventsSince returns the events of a kind after a version, oldest first, and a
// channel that is closed by the next write of any kind.
func (a *ObjectStore) eventsSince(kind string, after core.ObjectVersion) ([]storer.Event, <-chan struct{}) {
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
