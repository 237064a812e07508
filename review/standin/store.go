package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedRev uint64   `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// change is one entry of the store's history.
type change struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	objects  map[string]map[string]object
	history  []change
	revision uint64
}

func newStore() *store {
	return &store{changed: make(chan struct{}), objects: map[string]map[string]object{}, revision: 100}
}

// put writes an object as an operator or an upstream does. Its return is the
// acknowledgement.
func (s *store) put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, encoded
	s.write(kind, o, false)
}

// remove deletes objects, each with a change of its own.
func (s *store) remove(kind string, names ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		if o, ok := s.objects[kind][name]; ok {
			s.write(kind, o, true)
		}
	}
}

// write records a change. The caller holds store.mu.
func (s *store) write(kind string, o object, removed bool) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.revision
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if removed {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.history = append(s.history, change{kind: kind, revision: s.revision, Object: o, Removed: removed})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// front is the address of the store for one machine, so that the store can be silent
// towards this machine while it serves the others.
type front struct {
	store   *store
	address string

	mu     sync.Mutex
	silent bool
	lost   int
}

// serve starts the store's server for one machine.
func (s *store) serve(address string) *front {
	f := &front{store: s, address: address}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		fail("store: %v", err)
	}
	f.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, f) }()
	return f
}

// setSilent makes the store silent towards the machine, or ends that. A response that
// falls into the silence is lost, and its connection returns nothing further.
func (f *front) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

// lostResponses returns the number of responses that were lost.
func (f *front) lostResponses() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// swallow reports whether a response that is due now is lost, and counts it.
func (f *front) swallow() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent {
		f.lost++
	}
	return f.silent
}

// ServeHTTP handles a call.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if f.swallow() {
		<-r.Context().Done()
		return
	}
	status, result := f.store.handle(r, body)
	if f.swallow() {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if result != nil {
		_ = json.NewEncoder(w).Encode(result)
	}
}

func (s *store) handle(r *http.Request, body []byte) (int, any) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	query := r.URL.Query()
	if r.Method == http.MethodGet && query.Get("watch") != "" {
		return s.watch(r, kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][name]
	switch r.Method {
	case http.MethodGet:
		if name == "" {
			return s.list(kind, query.Get("after"))
		}
		if !exists {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, current
	case http.MethodDelete:
		if !exists {
			return http.StatusNotFound, nil
		}
		if stated := query.Get("revision"); stated != "" && stated != strconv.FormatUint(current.Metadata.Revision, 10) {
			return http.StatusConflict, current
		}
		s.write(kind, current, true)
		return http.StatusOK, nil
	}
	var written object
	if json.Unmarshal(body, &written) != nil {
		return http.StatusBadRequest, nil
	}
	if r.Method == http.MethodPost {
		name = written.Metadata.Name
		current, exists = s.objects[kind][name]
		if exists {
			return http.StatusConflict, current
		}
		return http.StatusOK, s.write(kind, object{Metadata: metadata{Name: name}, Spec: written.Spec}, false)
	}
	if !exists {
		return http.StatusNotFound, nil
	}
	if stated := written.Metadata.Revision; stated != 0 && stated != current.Metadata.Revision {
		return http.StatusConflict, current
	}
	current.Spec = written.Spec
	return http.StatusOK, s.write(kind, current, false)
}

// list returns one page. The caller holds store.mu.
func (s *store) list(kind, after string) (int, any) {
	const pageSize = 500
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	hasMore := len(items) > pageSize
	items = items[:min(len(items), pageSize)]
	return http.StatusOK, map[string]any{"items": items, "has_more": hasMore, "current_rev": s.revision}
}

// watch answers as soon as there is an event, or when the stated time has passed.
func (s *store) watch(r *http.Request, kind string) (int, any) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		return http.StatusBadRequest, nil
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	isLate := false
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isLate {
			return http.StatusOK, map[string]any{"events": events, "current_rev": revision}
		}
		select {
		case <-changed:
		case <-timer.C:
			isLate = true
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}

// route is a route of the configuration.
type route struct {
	name, prefix, class string
	// services are the parts of the route's traffic; more than one makes a split.
	services []string
	timeout  float64
}

// putConfiguration writes a version of the configuration.
func (s *store) putConfiguration(version int, host string, routes []route, services []string) {
	resources := []any{}
	for _, r := range routes {
		spec := map[string]any{
			"host": host, "path_prefix": r.prefix, "type": r.class, "timeout_s": r.timeout, "target_latency_s": r.timeout,
			"priority": 1, "max_attempts": 2, "session_affinity": false, "home_regions": []string{},
		}
		if len(r.services) == 1 {
			spec["service"] = r.services[0]
		} else {
			split := []any{}
			for _, name := range r.services {
				split = append(split, map[string]any{"service": name, "weight": 100 / len(r.services)})
			}
			spec["traffic_split"] = split
		}
		resources = append(resources, map[string]any{"entry_kind": "routes", "metadata": map[string]any{"name": r.name}, "spec": spec})
	}
	for _, name := range services {
		resources = append(resources, map[string]any{
			"entry_kind": "services", "metadata": map[string]any{"name": name},
			"spec": map[string]any{
				"health_path": "/health", "max_connections": 390, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 17.0,
			},
		})
	}
	resources = append(resources, map[string]any{"entry_kind": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15,
	}})
	s.put("config", "main", map[string]any{"version": version, "resources": resources})
	note("operator", "configuration %d acknowledged", version)
}

// upstreamSpec is a backend's entry in the store.
func upstreamSpec(address, service, zone, state string, slots int, born int64) map[string]any {
	return map[string]any{
		"address": address, "born": born,
		"info":   map[string]any{"service": service, "version": "v1", "zone": zone, "slots": slots},
		"status": map[string]any{"state": state, "sequence": 1, "warmup_left_s": 0},
	}
}
