// Package storer is a client of the platform's object API.
//
// The API uses HTTP and JSON and follows the conventions of the Kubernetes API: an
// object has a kind, a name and a resource version. An update states the version that
// it replaces and fails with status 409 if that is not the current version. A watch is
// a stream of events. Each call is counted once, a watch included.
//
// # Usage
//
//	s := &storer.Storer{Address: "127.0.0.1:9000", Timeout: time.Second}
//	s.Init()
//	defer s.Close()
//	object, err := s.Get("ticket", "00000000000000000007")
//	if errorx.IsOfType(err, core.ErrNotFound) { ... }
package storer

import (
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
	"github.com/endiverun/endiverun/entry/receiver"
)

// basePath is the path prefix of the API.
const basePath = "/apis/endiverun.io/v1/"

// maxObjectSize is the largest size of an object, as limited by the platform.
const maxObjectSize = core.Mebibyte

// Metadata holds the name and the version of an object.
type Metadata struct {
	Name            string             `json:"name"`
	ResourceVersion core.ObjectVersion `json:"resourceVersion,string"`
}

// Object is an object in the platform's store.
type Object struct {
	Kind     string          `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Data     json.RawMessage `json:"data"`
}

// Event is a change that a watch delivers.
type Event struct {
	Type   string `json:"type"`
	Object Object `json:"object"`
}

// Storer is a client of the platform's object API.
type Storer struct {
	// Address is the IP address and TCP port of the platform.
	Address string
	// Timeout is the timeout of one call.
	Timeout time.Duration
	// OnCall is called at the start of every call and watch; nil ignores them.
	OnCall func(call string)
	// OnMalformed is called with the platform's address for each answer that is no valid
	// response; nil ignores it.
	OnMalformed func(address string, err error)
	// Dial opens connections; nil means TCP.
	Dial fasthttp.DialFunc

	client      fasthttp.Client
	watchClient fasthttp.Client

	mu         sync.Mutex
	watchConns map[net.Conn]bool
}

// Init sets up the HTTP clients. It must be called once, before the first call.
func (s *Storer) Init() {
	transport := &receiver.Transport{OnMalformed: s.OnMalformed}
	s.client = fasthttp.Client{
		Transport:           transport,
		Dial:                s.Dial,
		MaxResponseBodySize: int(2 * maxObjectSize),
		// The caller decides whether to retry a write, after it has read the object.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	s.watchClient = fasthttp.Client{
		Transport:                 transport,
		Dial:                      s.dialWatch,
		StreamResponseBody:        true,
		MaxIdemponentCallAttempts: 1,
	}
}

// dialWatch opens a connection for a watch and registers it, so that Close can close
// it.
func (s *Storer) dialWatch(address string) (net.Conn, error) {
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
	if s.watchConns == nil {
		s.watchConns = map[net.Conn]bool{}
	}
	registered := &watchConn{Conn: conn, storer: s}
	s.watchConns[registered] = true
	return registered, nil
}

// watchConn is the connection of a watch.
type watchConn struct {
	net.Conn
	storer *Storer
}

// Close closes the connection and unregisters it.
func (c *watchConn) Close() error {
	c.storer.mu.Lock()
	delete(c.storer.watchConns, c)
	c.storer.mu.Unlock()
	return c.Conn.Close()
}

// Close ends all watches and closes idle connections.
func (s *Storer) Close() {
	s.mu.Lock()
	watchConns := make([]net.Conn, 0, len(s.watchConns))
	for conn := range s.watchConns {
		watchConns = append(watchConns, conn)
	}
	s.mu.Unlock()
	for _, conn := range watchConns {
		_ = conn.Close()
	}
	s.client.CloseIdleConnections()
	s.watchClient.CloseIdleConnections()
}

// Get reads an object. The error is of type core.ErrNotFound if the object does not
// exist and of type core.ErrPlatform if there is no valid response.
func (s *Storer) Get(kind, name string) (Object, error) {
	return s.call("get", fasthttp.MethodGet, objectPath(kind, name), nil)
}

// Create creates an object. The error is of type core.ErrConflict if the object already
// exists. After an error of type core.ErrPlatform the write may have taken effect.
func (s *Storer) Create(kind, name string, data any) (Object, error) {
	return s.writeObject("create", fasthttp.MethodPost, objectPath(kind, ""), Object{Kind: kind, Metadata: Metadata{Name: name}}, data)
}

// Update replaces the given version of an object. The error is of type core.ErrConflict
// if that is not the current version. After an error of type core.ErrPlatform the write
// may have taken effect.
func (s *Storer) Update(object Object, data any) (Object, error) {
	urlPath := objectPath(object.Kind, object.Metadata.Name)
	return s.writeObject("update", fasthttp.MethodPut, urlPath, object, data)
}

func (s *Storer) writeObject(operation, method, urlPath string, object Object, data any) (Object, error) {
	encoded, err := json.Marshal(data)
	if err != nil {
		return Object{}, err
	}
	object.Data = encoded
	body, err := json.Marshal(object)
	if err != nil {
		return Object{}, err
	}
	return s.call(operation, method, urlPath, body)
}

func objectPath(kind, name string) string {
	if name == "" {
		return basePath + url.PathEscape(kind)
	}
	return basePath + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (s *Storer) count(operation string) {
	if s.OnCall != nil {
		s.OnCall(operation)
	}
}

func (s *Storer) call(operation, method, urlPath string, body []byte) (Object, error) {
	s.count(operation)
	var object Object
	request := caller.StoreCall{Method: method, Address: s.Address, Path: urlPath, Body: body}
	err := request.Do(&s.client, s.Timeout, &object)
	return object, err
}

// Store returns the store as the interface that the core packages use.
func (s *Storer) Store() core.Store {
	return core.Store{
		Get: func(kind, name string) (core.Object, error) {
			object, err := s.Get(kind, name)
			return object.ToCore(), err
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

// ToCore converts the object to the type that the core packages use.
func (o Object) ToCore() core.Object {
	return core.Object{Kind: o.Kind, Name: o.Metadata.Name, Version: o.Metadata.ResourceVersion, Data: o.Data}
}

// Watch passes the changes of a kind after the given version to handle, until the
// platform ends the stream after the given duration, Close is called or handle returns
// false.
func (s *Storer) Watch(kind string, after core.ObjectVersion, duration time.Duration, handle func(Event) bool) error {
	s.count("watch")
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	query := url.Values{}
	query.Set("watch", "1")
	query.Set("resourceVersion", strconv.FormatUint(uint64(after), 10))
	query.Set("timeoutSeconds", strconv.Itoa(int(duration.Seconds())))
	request.SetRequestURI("http://" + s.Address + objectPath(kind, "") + "?" + query.Encode())
	if err := s.watchClient.DoTimeout(request, response, duration+s.Timeout); err != nil {
		return core.ErrPlatform.Wrap(err, "watch %s", kind)
	}
	defer func() { _ = response.CloseBodyStream() }()
	if response.StatusCode() != fasthttp.StatusOK {
		return core.ErrPlatform.New("watch %s: status %d", kind, response.StatusCode())
	}
	return readEvents(response.BodyStream(), handle)
}

// maxEventSize is the largest size of an event in a watch. It has room for an object, what the
// store adds to it, and what the decoder reads of the next event.
const maxEventSize = 4 * maxObjectSize

// readEvents decodes a stream of JSON events of at most maxEventSize each.
func readEvents(stream io.Reader, handle func(Event) bool) error {
	limited := &io.LimitedReader{R: stream}
	decoder := json.NewDecoder(limited)
	for {
		var event Event
		limited.N = int64(maxEventSize)
		err := decoder.Decode(&event)
		if err != nil && limited.N == 0 {
			return core.ErrPlatform.New("event of more than %d bytes", maxEventSize)
		}
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
