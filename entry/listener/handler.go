package listener

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/joomcode/errorx"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/caller"
	"github.com/endiverun/endiverun/entry/detector"
)

// Header fields of clients and responses, in addition to those of package caller.
const (
	headerOrdinal    = "Idempotency-Attempt"
	headerRetryAfter = "Retry-After"
)

// mimeProblem is the media type of RFC 9457.
const mimeProblem = "application/problem+json"

// maxDeadline is the longest timeout that a client can set. Longer ones are reduced to
// it.
const maxDeadline = time.Hour

// ClientRequest is a client's request as read from HTTP.
type ClientRequest struct {
	Service       core.ServiceName
	Organisation  core.Organisation
	ClientAddress netip.Addr
	Method        string
	Path          string
	Headers       []core.Header
	Body          []byte
	// Timeout is the client's timeout; 0 means the service's default.
	Timeout     time.Duration
	Key         core.IdempotencyKey
	Ordinal     int
	Traceparent string
}

// RouteQuery is a client's query for the entry hosts to use.
type RouteQuery struct {
	Service core.ServiceName
	// Zone is the availability zone that the client named; empty if it named none.
	Zone          core.ZoneName
	ClientAddress netip.Addr
	ClientHash    uint64
}

// Problem is the error response to a client or an operator (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// RunState is "not-run" if the request was certainly not run, else "unknown".
	RunState string `json:"run"`
	// RetryAfter is how long the client should wait before it retries.
	RetryAfter core.Milliseconds `json:"retry-after-ms"`
	// Findings lists the errors in the input.
	Findings core.Findings `json:"findings,omitempty"`
}

// problemTypePrefix precedes the kind of the problem in its type.
const problemTypePrefix = "urn:endiverun:problem:"

// NewProblem returns the problem for a refused or unknown outcome.
func NewProblem(outcome core.Outcome, status int) Problem {
	refusal := outcome.Refusal
	return Problem{
		Type:       problemTypePrefix + string(refusal.Kind),
		Title:      strings.ReplaceAll(string(refusal.Kind), "-", " "),
		Status:     status,
		Detail:     refusal.Detail,
		RunState:   outcome.State.String(),
		RetryAfter: core.MillisecondsOf(refusal.RetryAfter),
	}
}

func writeProblem(c fiber.Ctx, outcome core.Outcome, status int) error {
	if retry := outcome.Refusal.RetryAfter; retry > 0 {
		seconds := int((retry + time.Second - 1) / time.Second)
		c.Set(headerRetryAfter, strconv.Itoa(seconds))
	}
	return c.Status(status).JSON(NewProblem(outcome, status), mimeProblem)
}

// equalSecrets compares two secrets in constant time.
func equalSecrets(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// serve handles a client's request to a service.
func (l *Listener) serve(c fiber.Ctx) error {
	l.inFlight.Add(1)
	defer l.inFlight.Add(-1)
	defer l.closeIfDraining(c)
	incoming, err := readRequest(c)
	if err != nil {
		return writeProblem(c, core.RefusedOutcome(core.RefusalKeyInvalid, err.Error(), 0), fiber.StatusBadRequest)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if conn, ok := c.RequestCtx().Conn().(*detector.Conn); ok {
		conn.Watch(cancel)
		defer conn.Unwatch()
	}
	outcome := l.Serve(ctx, l.NewRequest(incoming))
	if outcome.State != core.Answered {
		return writeProblem(c, outcome, outcome.Refusal.HTTPStatus(outcome.State))
	}
	return writeResponse(c, outcome.Response)
}

// closeIfDraining makes the server close the client's connection after the response if the
// host drains.
func (l *Listener) closeIfDraining(c fiber.Ctx) {
	if l.IsDraining() {
		c.RequestCtx().SetConnectionClose()
	}
}

func writeResponse(c fiber.Ctx, response *core.Response) error {
	for _, header := range response.Headers {
		c.Response().Header.Add(header.Name, header.Value)
	}
	if c.Method() == fiber.MethodHead {
		c.Response().SkipBody = true
	} else {
		c.Set(caller.HeaderContentDigest, caller.ContentDigest(response.Body))
	}
	c.Status(response.Status)
	c.Response().SetBodyRaw(response.Body)
	return nil
}

// readRequest reads a client's request. The result shares no memory with the
// connection's buffers, which are reused.
func readRequest(c fiber.Ctx) (ClientRequest, error) {
	incoming := ClientRequest{
		Service:       core.ServiceName(strings.Clone(c.Params("service"))),
		Organisation:  core.Organisation(strings.Clone(c.Get(caller.HeaderOrganisation))),
		ClientAddress: clientAddress(c),
		Method:        strings.Clone(c.Method()),
		Path:          servicePath(c),
		Headers:       forwardedHeaders(c),
		Body:          bytes.Clone(c.Request().Body()),
		Traceparent:   strings.Clone(c.Get(caller.HeaderTraceparent)),
	}
	if text := c.Get(caller.HeaderDeadline); text != "" {
		timeout, err := strconv.ParseInt(text, 10, 64)
		if err != nil || timeout <= 0 {
			return ClientRequest{}, core.ErrInvalidKey.New("%s %q is not a positive number", caller.HeaderDeadline, text)
		}
		incoming.Timeout = min(core.Milliseconds(min(timeout, maxDeadline.Milliseconds())).Duration(), maxDeadline)
	}
	return readKey(c, incoming)
}

func readKey(c fiber.Ctx, incoming ClientRequest) (ClientRequest, error) {
	text := c.Get(caller.HeaderIdempotencyKey)
	if text == "" {
		return incoming, nil
	}
	key, err := core.ParseIdempotencyKey(strings.Clone(text))
	if err != nil {
		return ClientRequest{}, err
	}
	incoming.Key = key
	ordinal := c.Get(headerOrdinal)
	if ordinal == "" {
		return incoming, nil
	}
	incoming.Ordinal, err = strconv.Atoi(ordinal)
	if err != nil || incoming.Ordinal < 0 {
		return ClientRequest{}, core.ErrInvalidKey.New("%s %q is not a number of 0 or more", headerOrdinal, ordinal)
	}
	return incoming, nil
}

// servicePath returns the path after the service's name, with the query.
func servicePath(c fiber.Ctx) string {
	original := c.OriginalURL()
	rest := strings.TrimPrefix(original, "/s/")
	if i := strings.IndexAny(rest, "/?"); i >= 0 {
		rest = rest[i:]
	} else {
		rest = ""
	}
	if !strings.HasPrefix(rest, "/") {
		rest = "/" + rest
	}
	return strings.Clone(rest)
}

func forwardedHeaders(c fiber.Ctx) []core.Header {
	var headers []core.Header
	for k, v := range c.Request().Header.All() {
		if name := string(k); !caller.IsHopByHopHeader(name) {
			headers = append(headers, core.Header{Name: name, Value: string(v)})
		}
	}
	return headers
}

func clientAddress(c fiber.Ctx) netip.Addr {
	address, ok := netip.AddrFromSlice(c.RequestCtx().RemoteIP())
	if !ok {
		return netip.Addr{}
	}
	return address.Unmap()
}

func readQuery(c fiber.Ctx) RouteQuery {
	client := clientAddress(c)
	address := client.As16()
	return RouteQuery{
		Service:       core.ServiceName(strings.Clone(c.Query("service"))),
		Zone:          core.ZoneName(strings.Clone(c.Query("zone"))),
		ClientAddress: client,
		ClientHash:    xxhash.Sum64(append(address[:], c.Query("spread")...)),
	}
}

func (l *Listener) route(c fiber.Ctx) error {
	return respondToQuery(c, l.Route)
}

func (l *Listener) explain(c fiber.Ctx) error {
	return respondToQuery(c, l.Explain)
}

func respondToQuery(c fiber.Ctx, query func(RouteQuery) (any, *core.Refusal)) error {
	value, refusal := query(readQuery(c))
	if refusal != nil {
		outcome := core.Outcome{State: core.NotRun, Refusal: refusal}
		return writeProblem(c, outcome, refusal.HTTPStatus(core.NotRun))
	}
	return c.JSON(value)
}

func (l *Listener) applyTicket(c fiber.Ctx) error {
	checkOnly := c.Query("check") != ""
	value, err := l.ApplyTicket(bytes.Clone(c.Body()), checkOnly)
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(value)
}

func (l *Listener) showTicket(c fiber.Ctx) error {
	number, err := strconv.ParseUint(c.Params("number"), 10, 64)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "a ticket's number is a number")
	}
	value, err := l.ShowTicket(core.TicketNumber(number))
	if err != nil {
		return writeError(c, err)
	}
	return c.JSON(value)
}

// writeError responds to an operator's request that failed.
func writeError(c fiber.Ctx, err error) error {
	problem := Problem{Type: problemTypePrefix + "failed", Title: "failed", Detail: err.Error(), RunState: core.NotRun.String()}
	findings, hasFindings := core.FindingsOf(err)
	switch {
	case hasFindings:
		problem.Type, problem.Title = problemTypePrefix+"findings", "the ticket has problems"
		problem.Status, problem.Findings, problem.Detail = fiber.StatusUnprocessableEntity, findings, ""
	case errorx.IsOfType(err, core.ErrConflict):
		problem.Type, problem.Title, problem.Status = problemTypePrefix+"conflict", "conflict", fiber.StatusConflict
	case errorx.IsOfType(err, core.ErrNotFound):
		problem.Type, problem.Title, problem.Status = problemTypePrefix+"not-found", "not found", fiber.StatusNotFound
	case errorx.IsOfType(err, core.ErrPlatform):
		problem.Type, problem.Title, problem.Status = problemTypePrefix+"platform", "platform unavailable", fiber.StatusServiceUnavailable
		problem.RunState = core.RunUnknown.String()
	default:
		problem.Status = fiber.StatusInternalServerError
	}
	body, err := json.Marshal(problem)
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, mimeProblem)
	return c.Status(problem.Status).Send(body)
}
