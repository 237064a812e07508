package forwarder_test

import (
	"context"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/pacer"
	"github.com/endiverun/endiverun/core/placer"
	"github.com/endiverun/endiverun/core/retrier"
	"github.com/endiverun/endiverun/entry/exchanger"
	"github.com/endiverun/endiverun/entry/forwarder"
)

// The grammar of RFC 9110 and RFC 9112. Bytes above 127 count as text, whatever they encode.
const (
	token      = "[!#$%&'*+.^_`|~0-9A-Za-z-]+"
	control    = `\x00-\x08\x0a-\x1f\x7f`
	text       = "[^" + control + "]*"
	blanks     = "[ \\t]*"
	quoted     = `"(?:[^"\\` + control + `]|\\[^` + control + `])*"`
	extensions = "(?:" + blanks + ";" + blanks + token + "(?:" + blanks + "=" + blanks + "(?:" + token + "|" + quoted + "))?)*"
)

var (
	statusLine = regexp.MustCompile(`\AHTTP/1\.([0-9]) ([1-5][0-9][0-9])(?: (` + text + `))?\r\n`)
	fieldLine  = regexp.MustCompile(`\A(` + token + `):(` + text + `)\r\n`)
	chunkLine  = regexp.MustCompile(`\A([0-9A-Fa-f]+)(` + extensions + `)\r\n`)
)

// message is a response as the grammar reads it.
type message struct {
	status int
	fields map[string][]string
	body   string
	// rest is what follows the response, if that has an end of its own.
	rest string
}

// readMessage reads the final response at the start of the bytes that a peer sent before it
// closed the connection cleanly. It is written for clarity, apart from the code it judges.
func readMessage(raw string) (message, bool) {
	for {
		m, minorVersion, rest, ok := readMessageHead(raw)
		if !ok || m.status == fasthttp.StatusSwitchingProtocols {
			return message{}, false
		}
		if m.status >= fasthttp.StatusOK {
			return m.readBody(rest, minorVersion)
		}
		if !m.announcesNoBody() {
			return message{}, false
		}
		raw = rest
	}
}

func readMessageHead(raw string) (m message, minorVersion, rest string, ok bool) {
	line := statusLine.FindStringSubmatch(raw)
	if line == nil {
		return m, "", "", false
	}
	m.status, _ = strconv.Atoi(line[2])
	m.fields, rest, ok = readFields(raw[len(line[0]):])
	return m, line[1], rest, ok
}

// readFields reads field lines up to an empty one.
func readFields(raw string) (fields map[string][]string, rest string, ok bool) {
	fields = map[string][]string{}
	for {
		if rest, ok := strings.CutPrefix(raw, "\r\n"); ok {
			return fields, rest, true
		}
		line := fieldLine.FindStringSubmatch(raw)
		if line == nil {
			return nil, "", false
		}
		name := strings.ToLower(line[1])
		fields[name] = append(fields[name], strings.Trim(line[2], " \t"))
		raw = raw[len(line[0]):]
	}
}

// list returns the elements of all values of a field.
func (m message) list(name string) []string {
	var elements []string
	for _, value := range m.fields[name] {
		for element := range strings.SplitSeq(value, ",") {
			elements = append(elements, strings.Trim(element, " \t"))
		}
	}
	return elements
}

// length returns the stated length of the body, or -1.
func (m message) length() (int, bool) {
	length := -1
	for _, element := range m.list("content-length") {
		n, err := strconv.ParseUint(element, 10, 32)
		if err != nil || element[0] == '+' || length >= 0 && int(n) != length {
			return 0, false
		}
		length = int(n)
	}
	return length, true
}

// codings returns the transfer codings.
func (m message) codings() []string {
	var codings []string
	for _, element := range m.list("transfer-encoding") {
		if element != "" {
			codings = append(codings, strings.ToLower(element))
		}
	}
	return codings
}

func (m message) announcesNoBody() bool {
	length, ok := m.length()
	return ok && length <= 0 && len(m.codings()) == 0
}

func (m message) readBody(raw, minorVersion string) (message, bool) {
	length, ok := m.length()
	codings := m.codings()
	isChunked := len(codings) == 1 && codings[0] == "chunked"
	switch {
	case !ok || len(codings) > 0 && (!isChunked || length >= 0 || minorVersion == "0"):
		return message{}, false
	case m.status == fasthttp.StatusNoContent:
		m.rest = raw
		return m, m.announcesNoBody()
	case m.status == fasthttp.StatusNotModified:
		m.rest = raw
		return m, true
	case isChunked:
		return m.readChunks(raw)
	case length > len(raw):
		return message{}, false
	case length >= 0:
		m.body, m.rest = raw[:length], raw[length:]
		return m, true
	}
	m.body = raw
	return m, true
}

func (m message) readChunks(raw string) (message, bool) {
	for {
		line := chunkLine.FindStringSubmatch(raw)
		if line == nil {
			return message{}, false
		}
		raw = raw[len(line[0]):]
		size, err := strconv.ParseUint(line[1], 16, 32)
		if err != nil {
			return message{}, false
		}
		if size == 0 {
			_, m.rest, _ = readFields(raw)
			_, _, ok := readFields(raw)
			return m, ok
		}
		if uint64(len(raw)) < size+2 || raw[size:size+2] != "\r\n" {
			return message{}, false
		}
		m.body += raw[:size]
		raw = raw[size+2:]
	}
}

// scriptedConn is a connection to an upstream that sends some bytes, whatever it is sent, and
// then closes the connection.
type scriptedConn struct {
	net.Conn
	response io.Reader
}

// Read reads the response.
func (c *scriptedConn) Read(p []byte) (int, error) { return c.response.Read(p) }

// Write discards the request.
func (c *scriptedConn) Write(p []byte) (int, error) { return len(p), nil }

// Close does nothing.
func (c *scriptedConn) Close() error { return nil }

// SetDeadline does nothing: the bytes are all there.
func (c *scriptedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *scriptedConn) SetReadDeadline(time.Time) error { return nil }

// scriptedHost is a host whose only upstream sends the bytes of response on each connection.
type scriptedHost struct {
	*forwarder.Forwarder
	address  string
	response atomic.Pointer[[]byte]
}

func newScriptedHost(f *testing.F) *scriptedHost {
	f.Helper()
	listener, err := (&net.ListenConfig{}).Listen(f.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	pacing := &pacer.Pacer{Self: "self", Burst: 20}
	pacing.SetHosts([]core.Host{{Name: "self"}})
	place := &placer.Placer{
		Zone:         core.Zone{Name: "for-a", Region: "for"},
		RegionByZone: map[core.ZoneName]core.RegionName{"for-a": "for"},
		Pacer:        pacing,
	}
	retries := &retrier.Budget{Window: 10 * time.Second, Ratio: 0.2, Allowance: 10}
	retries.SetHosts(1)
	h := &scriptedHost{address: listener.Addr().String()}
	h.Forwarder = &forwarder.Forwarder{
		HeaderNames: forwarder.HeaderNames{RequestID: "Request-Id", Deadline: "Deadline-Ms", AffinityKey: "Key"},
		Placer:      place,
		RetryBudget: retries,
		Exchanger: &exchanger.Exchanger{
			HeaderNames: exchanger.HeaderNames{RequestID: "Request-Id", Deadline: "Deadline-Ms", Target: "Target", NotRun: "Not-Run"},
			Dial: func(string, string, time.Duration) (net.Conn, error) {
				return &scriptedConn{response: strings.NewReader(string(*h.response.Load()))}, nil
			},
			MaxResponseBody: core.Mebibyte,
		},
		OnAttempt: func(forwarder.Event) { // What the upstream did does not count for the next request.
			place.SetUpstreams(nil, time.Now())
			place.SetUpstreams([]core.Upstream{{Name: "desk-0", Service: "desk", Zone: "for-a", Address: "127.0.0.1:1", Slots: 4}}, time.Now())
		},
	}
	h.OnAttempt(forwarder.Event{})
	route := orderRoute
	route.Hostname, route.WeightedServices = "desk.example", []core.WeightedService{{Service: "desk", Weight: 1}}
	h.SetPolicy(core.NewRoutingPolicy(3, []core.Route{route}, nil, core.ClientLimits{BodyBytes: core.Mebibyte}))
	ctx, cancel := context.WithCancel(context.Background())
	f.Cleanup(cancel)
	go func() { _ = h.Run(ctx, listener) }()
	return h
}

// fetch sends a request with the id "id" and returns all bytes that the host sends back.
func (h *scriptedHost) fetch(t *testing.T) []byte {
	t.Helper()
	h.Exchanger.Close() // so that the upstream gets the request on a new connection
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", h.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "POST /o/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: id\r\nDeadline-Ms: 3000\r\n"+
		"Content-Length: 4\r\nConnection: close\r\n\r\nbody")
	raw, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// FuzzUpstreamResponse guards against passing anything on to a client but the upstream's valid
// response: whatever bytes an upstream sends, the client gets that or an error of the host's own.
func FuzzUpstreamResponse(f *testing.F) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: id\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200\r\nRequest-Id: id\r\nX:\r\nContent-Length: 2, 2\r\n\r\nok, and more",
		"HTTP/1.0 299 a\tb\r\nrequest-id:id\r\n\r\nok",
		"HTTP/1.2 404 \r\nRequest-Id: id\r\nTransfer-Encoding: , chunked\r\nTrailer: Sum\r\n\r\n2 ;a=\"b\\\"\"\r\nok\r\n00\r\nSum: 1\r\n\r\n",
		"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 204 \r\nRequest-Id: id\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 304 \r\nRequest-Id: id\r\nContent-Length: 9\r\nConnection: x, close\r\n\r\n",
		"HTTP/1.1 000 OK\r\nRequest-Id: id\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nRequest-Id: id\r\nX Y: a\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nRequest-Id: id\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: a\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nRequest-Id: id\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nRequest-Id: id\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 204 \r\nRequest-Id: other\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: id\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 304 \r\nRequest-Id: id\r\n\r\n",
		"HTTP/1.1 200 OK\r\nRequest-Id: id\r\nContent-Encoding:\r\nContent-Type: a\r\nSet-Cookie: b=c\r\nDate: d\r\n\r\n",
	} {
		f.Add([]byte(response))
	}
	host := newScriptedHost(f)
	f.Fuzz(func(t *testing.T, raw []byte) {
		const maxSize = 3 << 10 // Larger heads are refused.
		if len(raw) > maxSize {
			return
		}
		host.response.Store(&raw)
		got, isWhole := readMessage(string(host.fetch(t)))
		if !isWhole || got.rest != "" {
			t.Fatalf("the client got no whole response to %q", raw)
		}
		want, isAnswer := answerOf(string(raw))
		if !isAnswer {
			isOwn := got.status == fasthttp.StatusBadGateway || got.status == fasthttp.StatusServiceUnavailable
			if !isOwn || got.body != "" || got.fields["request-id"] != nil {
				t.Fatalf("the client got %+v in response to %q", got, raw)
			}
			return
		}
		if got.status != want.status || got.body != want.body || got.fields["request-id"] == nil {
			t.Fatalf("the client got %+v, not %+v, in response to %q", got, want, raw)
		}
	})
}

// answerOf returns the response to the request with the id "id" among the bytes of an upstream.
// Before it there may be two responses to other requests, and a refusal is none.
func answerOf(raw string) (message, bool) {
	const maxOthers = 2
	for range maxOthers + 1 {
		m, ok := readMessage(raw)
		if !ok {
			return message{}, false
		}
		ids := m.fields["request-id"]
		if len(ids) > 0 && ids[0] == "id" {
			notRun := m.fields["not-run"]
			isRefusal := m.status == fasthttp.StatusMisdirectedRequest || len(notRun) > 0 && notRun[0] != ""
			return m, !isRefusal
		}
		raw = m.rest
	}
	return message{}, false
}
