package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	name    string
	rev     uint64
	created uint64
	spec    json.RawMessage
	status  json.RawMessage
}

func (o *object) json() json.RawMessage {
	m := map[string]any{"metadata": map[string]any{
		"name": o.name, "revision": o.rev, "created_rev": o.created, "finalizers": []string{}, "deleting": false,
	}}
	if o.spec != nil {
		m["spec"] = o.spec
	}
	if o.status != nil {
		m["status"] = o.status
	}
	b, _ := json.Marshal(m)
	return b
}

// event is one change, as a watch returns it.
type event struct {
	at      time.Time
	name    string
	rev     uint64
	kind    string
	object  json.RawMessage
	removed bool
}

// gate says how the store treats one machine.
type gate string

const (
	open   gate = ""
	busy   gate = "busy"   // 503 to every call
	silent gate = "silent" // no answer
)

// store is a stand-in for the platform's metadata store, with one address for each machine.
type store struct {
	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]*object
	events  []event
	changed chan struct{}
	gates   map[string]gate
	// lag is how old the answers to reads with serializable=1 are.
	lag time.Duration
	// era is named in all answers, in Store-Era; it rises by one with each restore.
	era int
}

func newStore() *store {
	return &store{rev: 10, era: 3, kinds: map[string]map[string]*object{}, changed: make(chan struct{}), gates: map[string]gate{}}
}

// setGate changes how the store treats the machines.
func (s *store) setGate(g gate, machines ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range machines {
		s.gates[m] = g
	}
}

func (s *store) gateOf(machine string) gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gates[machine]
}

// listen serves the store to one machine and returns the address.
func (s *store) listen(machine string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(machine, w, r) })}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

// put writes an object on behalf of the operator or a backend.
func (s *store) put(kind, name string, spec any) uint64 {
	b, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, b, nil)
}

// remove removes an object.
func (s *store) remove(kind, name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drop(kind, name)
}

// write and drop need s.mu.
func (s *store) write(kind, name string, spec, status json.RawMessage) uint64 {
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]*object{}
	}
	o := s.kinds[kind][name]
	if o != nil && string(o.spec) == string(spec) && string(o.status) == string(status) {
		return s.rev
	}
	s.rev++
	if o == nil {
		o = &object{name: name, created: s.rev}
		s.kinds[kind][name] = o
	}
	o.rev, o.spec, o.status = s.rev, spec, status
	s.note(event{time.Now(), name, s.rev, kind, o.json(), false})
	return s.rev
}

func (s *store) drop(kind, name string) uint64 {
	o := s.kinds[kind][name]
	if o == nil {
		return s.rev
	}
	delete(s.kinds[kind], name)
	s.rev++
	s.note(event{time.Now(), name, s.rev, kind, o.json(), true})
	return s.rev
}

func (s *store) note(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(machine string, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	switch s.gateOf(machine) {
	case busy:
		w.WriteHeader(503)
		return
	case silent:
		<-r.Context().Done()
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "objects" {
		w.WriteHeader(404)
		return
	}
	kind, name := parts[1], ""
	if len(parts) > 2 {
		name = parts[2]
	}
	if r.Method == "GET" && name == "" && s.lag > 0 && r.URL.Query().Get("serializable") == "1" {
		s.readStale(kind, w, r)
		return
	}
	if r.Method == "GET" && name == "" {
		s.read(machine, kind, w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var in struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	_ = json.Unmarshal(body, &in)
	if name == "" {
		name = in.Metadata.Name
	}
	o := s.kinds[kind][name]
	wanted := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		wanted, _ = strconv.ParseUint(q, 10, 64)
	}
	switch {
	case r.Method == "POST" && o != nil, r.Method != "POST" && o != nil && wanted != 0 && wanted != o.rev:
		w.WriteHeader(409)
		_, _ = w.Write(o.json())
		return
	case r.Method != "POST" && o == nil:
		w.WriteHeader(404)
		return
	case r.Method == "DELETE":
		s.drop(kind, name)
		_, _ = w.Write(o.json())
		return
	case r.Method != "GET":
		s.write(kind, name, in.Spec, nil)
	}
	_, _ = w.Write(s.kinds[kind][name].json())
}

// read answers a list or a watch.
func (s *store) read(machine, kind string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	out := map[string]any{}
	if q.Get("watch") == "" {
		s.mu.Lock()
		items := []json.RawMessage{}
		names := []string{}
		for n := range s.kinds[kind] {
			names = append(names, n)
		}
		sort.Strings(names)
		for _, n := range names {
			if n > q.Get("after") {
				items = append(items, s.kinds[kind][n].json())
			}
		}
		out["items"], out["has_more"], out["current_rev"] = items, false, s.rev
		s.mu.Unlock()
	} else {
		after, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("wait_ms"))
		end := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer end.Stop()
		s.mu.Lock()
		era, isUnknown := s.era, after > s.rev
		s.mu.Unlock()
		if isUnknown {
			w.WriteHeader(410)
			return
		}
		for waiting := true; waiting; {
			s.mu.Lock()
			if s.era != era {
				s.mu.Unlock()
				panic(http.ErrAbortHandler) // The store was restored: its old connections end.
			}
			events := []map[string]any{}
			for _, e := range s.events {
				if e.rev > after && e.kind == kind {
					events = append(events, map[string]any{"object": e.object, "removed": e.removed})
				}
			}
			out["events"], out["current_rev"] = events, s.rev
			changed := s.changed
			s.mu.Unlock()
			if len(events) > 0 {
				break
			}
			select {
			case <-changed:
			case <-end.C:
				waiting = false
			case <-r.Context().Done():
				return
			}
		}
		switch s.gateOf(machine) {
		case busy:
			w.WriteHeader(503)
			return
		case silent:
			<-r.Context().Done()
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// readStale answers a list or a watch with what was true s.lag ago.
func (s *store) readStale(kind string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	after, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
	for end := time.Now().Add(time.Duration(ms) * time.Millisecond); ; time.Sleep(20 * time.Millisecond) {
		limit := time.Now().Add(-s.lag)
		rev := uint64(10)
		items := map[string]json.RawMessage{}
		events := []map[string]any{}
		s.mu.Lock()
		for _, e := range s.events {
			if e.at.After(limit) {
				break
			}
			rev = e.rev
			if e.kind != kind {
				continue
			}
			if items[e.name] = e.object; e.removed {
				delete(items, e.name)
			}
			if e.rev > after {
				events = append(events, map[string]any{"object": e.object, "removed": e.removed})
			}
		}
		s.mu.Unlock()
		isWatch := q.Get("watch") != ""
		if isWatch && len(events) == 0 && time.Now().Before(end) && r.Context().Err() == nil {
			continue
		}
		out := map[string]any{"current_rev": rev}
		if isWatch {
			out["events"], out["current_rev"] = events, max(rev, after)
		} else {
			names := []string{}
			for n := range items {
				names = append(names, n)
			}
			sort.Strings(names)
			list := []json.RawMessage{}
			for _, n := range names {
				if n > q.Get("after") {
					list = append(list, items[n])
				}
			}
			out["items"], out["has_more"] = list, false
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
		return
	}
}

// restore brings the store back from a copy: what was written since is lost, revisions are given
// out again, and the era rises.
func (s *store) restore(copied time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := []event{}
	s.kinds, s.rev = map[string]map[string]*object{}, 10
	for _, e := range s.events {
		if e.at.After(copied) {
			break
		}
		kept = append(kept, e)
		s.rev = e.rev
		if s.kinds[e.kind] == nil {
			s.kinds[e.kind] = map[string]*object{}
		}
		if e.removed {
			delete(s.kinds[e.kind], e.name)
			continue
		}
		var in struct {
			Metadata struct {
				Created uint64 `json:"created_rev"`
			} `json:"metadata"`
			Spec   json.RawMessage `json:"spec"`
			Status json.RawMessage `json:"status"`
		}
		_ = json.Unmarshal(e.object, &in)
		s.kinds[e.kind][e.name] = &object{name: e.name, rev: e.rev, created: in.Metadata.Created, spec: in.Spec, status: in.Status}
	}
	s.events = kept
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func check(err error) {
	if err != nil {
		panic(fmt.Sprint("the case could not run: ", err))
	}
}
