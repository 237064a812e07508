// Package storer speaks to the platform's object API.
//
// The API is HTTP and JSON in the style of the Kubernetes API conventions:
// objects have a kind, a name and a resource version; an update names the
// version that it replaces and is refused with 409 where another came first; a
// watch is a stream of events. Each call, and each waiting watch, is counted.
//
// # Usage
//
//	s := &storer.Storer{Address: "127.0.0.1:9000", Timeout: time.Second}
//	object, err := s.Get("ticket", "00000000000000000007")
//	if errorx.IsOfType(err, core.ErrNotFound) { ... }
package storer

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/caller"
)

// basePath is where the API stands.
const basePath = "/apis/endiverun.io/v1/"

// maxObject is the largest object, as the platform limits it.
const maxObject = core.Mebibyte

// Metadata identifies an object and its version.
type Metadata struct {
	Name            string       `json:"name"`
	ResourceVersion core.Version `json:"resourceVersion,string"`
}

// Object is one object of the platform's store.
type Object struct {
	Kind     string          `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Data     json.RawMessage `json:"data"`
}

// Event is one change that a watch reports.
type Event struct {
	Type   string `json:"type"`
	Object Object `json:"object"`
}

// Storer is a client of the platform's object API.
type Storer struct {
	// Address is the IP address and TCP port.
	Address string
	// Timeout bounds one call.
	Timeout time.Duration
	// Count is called for every call and waiting watch; nil counts nothing.
	Count func(call string)
	// Dial opens connections; nil means TCP.
	Dial fasthttp.DialFunc

	client  fasthttp.Client
	watcher fasthttp.Client

	mu      sync.Mutex
	streams map[net.Conn]bool
}

// Init prepares the clients. Call it once, before the first call.
func (s *Storer) Init() {
	s.client = fasthttp.Client{
		Dial:                s.Dial,
		ReadTimeout:         s.Timeout,
		WriteTimeout:        s.Timeout,
		MaxResponseBodySize: int(2 * maxObject),
		// A repeated write is decided by the caller, which reads back first.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	s.watcher = fasthttp.Client{
		Dial:                      s.dialStream,
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
	}
}

// dialStream opens a connection that Close can end.
func (s *Storer) dialStream(address string) (net.Conn, error) {
	dial := s.Dial
	if dial == nil {
		dial = fasthttp.Dial
	}
	conn, err := dial(address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams == nil {
		s.streams = map[net.Conn]bool{}
	}
	stream := &streamConn{Conn: conn, owner: s}
	s.streams[stream] = true
	return stream, nil
}

// streamConn is a connection that a waiting watch reads from.
type streamConn struct {
	net.Conn
	owner *Storer
}

// Close closes the connection and forgets it.
func (c *streamConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.streams, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// Close ends waiting watches and closes idle connections.
func (s *Storer) Close() {
	s.mu.Lock()
	streams := make([]net.Conn, 0, len(s.streams))
	for c := range s.streams {
		streams = append(streams, c)
	}
	s.mu.Unlock()
	for _, c := range streams {
		_ = c.Close()
	}
	s.client.CloseIdleConnections()
	s.watcher.CloseIdleConnections()
}

// Get reads an object. The error is of type core.ErrNotFound where it is
// absent and core.ErrPlatform where there is no usable answer.
func (s *Storer) Get(kind, name string) (Object, error) {
	return s.call("get", fasthttp.MethodGet, path(kind, name), nil)
}

// Create writes an object that must not exist. The error is of type
// core.ErrConflict where it exists. After core.ErrPlatform the write may have
// taken effect.
func (s *Storer) Create(kind, name string, data any) (Object, error) {
	return s.write("create", fasthttp.MethodPost, path(kind, ""), Object{Kind: kind, Metadata: Metadata{Name: name}}, data)
}

// Update replaces the given version of an object. The error is of type
// core.ErrConflict where the version is not the newest. After core.ErrPlatform
// the write may have taken effect.
func (s *Storer) Update(object Object, data any) (Object, error) {
	target := path(object.Kind, object.Metadata.Name)
	return s.write("update", fasthttp.MethodPut, target, object, data)
}

func (s *Storer) write(call, method, target string, object Object, data any) (Object, error) {
	encoded, err := json.Marshal(data)
	if err != nil {
		return Object{}, err
	}
	object.Data = encoded
	body, err := json.Marshal(object)
	if err != nil {
		return Object{}, err
	}
	return s.call(call, method, target, body)
}

func path(kind, name string) string {
	if name == "" {
		return basePath + url.PathEscape(kind)
	}
	return basePath + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (s *Storer) count(call string) {
	if s.Count != nil {
		s.Count(call)
	}
}

func (s *Storer) call(call, method, target string, body []byte) (Object, error) {
	s.count(call)
	var object Object
	made := caller.StoreCall{Method: method, Address: s.Address, Path: target, Body: body}
	err := made.Do(&s.client, s.Timeout, &object)
	return object, err
}

// Port returns the store as the decisions use it.
func (s *Storer) Port() core.Store {
	return core.Store{
		Get: func(kind, name string) (core.Object, error) {
			object, err := s.Get(kind, name)
			return object.Core(), err
		},
		Create: func(kind, name string, data json.RawMessage) error {
			_, err := s.Create(kind, name, data)
			return err
		},
		Update: func(object core.Object, data json.RawMessage) error {
			metadata := Metadata{Name: object.Name, ResourceVersion: object.Version}
			_, err := s.Update(Object{Kind: object.Kind, Metadata: metadata}, data)
			return err
		},
	}
}

// Core returns the object as the decisions use it.
func (o Object) Core() core.Object {
	return core.Object{Kind: o.Kind, Name: o.Metadata.Name, Version: o.Metadata.ResourceVersion, Data: o.Data}
}

// Watch reports changes of a kind after the given version until the platform
// ends the stream, Close is called or handle returns false.
func (s *Storer) Watch(kind string, after core.Version, wait time.Duration, handle func(Event) bool) error {
	s.count("watch")
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	query := url.Values{}
	query.Set("watch", "1")
	query.Set("resourceVersion", strconv.FormatUint(uint64(after), 10))
	query.Set("timeoutSeconds", strconv.Itoa(int(wait.Seconds())))
	request.SetRequestURI("http://" + s.Address + path(kind, "") + "?" + query.Encode())
	if err := s.watcher.DoTimeout(request, response, wait+s.Timeout); err != nil {
		return core.ErrPlatform.Wrap(err, "watch %s", kind)
	}
	defer func() { _ = response.CloseBodyStream() }()
	if response.StatusCode() != fasthttp.StatusOK {
		return core.ErrPlatform.New("watch %s: status %d", kind, response.StatusCode())
	}
	return readEvents(response.BodyStream(), handle)
}

// readEvents decodes one event a line.
func readEvents(stream io.Reader, handle func(Event) bool) error {
	decoder := json.NewDecoder(bufio.NewReader(stream))
	for {
		var event Event
		err := decoder.Decode(&event)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return core.ErrPlatform.Wrap(err, "event")
		}
		if !handle(event) {
			return nil
		}
	}
}
