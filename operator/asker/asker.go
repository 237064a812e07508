// Package asker calls the operators' API of entry hosts: it sends and reads
// tickets, reads the status of a host, asks how a request would be routed, and waits
// until a ticket is in force.
//
// # Usage
//
//	a := &asker.APIClient{Hosts: []string{"127.0.0.1:8080"}, Timeout: 5 * time.Second}
//	status, err := a.Status("127.0.0.1:8080")
//	applied, err := a.ApplyTicket(ticket, false)
//	progress := a.AwaitTicket(applied.Number, 10*time.Second)
package asker

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/receiver"
)

// Problem types that are mapped to distinct errors.
const (
	problemTypeFindings = "urn:endiverun:problem:findings"
	problemTypeConflict = "urn:endiverun:problem:conflict"
)

// ErrConflict reports that another ticket with the same number was accepted.
var ErrConflict = errors.New("conflict")

// ErrUnreachable reports that a host did not respond within the timeout, or that the
// call to it failed.
var ErrUnreachable = errors.New("host did not respond")

// ErrNoHosts reports that a call needs the address of a host and has none.
var ErrNoHosts = errors.New("no hosts given: set --hosts or ENDIVERUN_HOSTS")

// APIClient calls the operators' API of entry hosts.
type APIClient struct {
	// Hosts holds the client addresses of entry hosts in the order in which they are
	// tried.
	Hosts []string
	// Token is sent as a bearer token with every call, unless it is empty.
	Token string
	// Timeout is the time limit of a call to one host.
	Timeout time.Duration

	init   sync.Once
	client fasthttp.Client
}

// maxResponseSize is the largest response of a host that is read. A ticket has at most a
// megabyte, and a status a line for each host and upstream.
const maxResponseSize = 16 * core.Mebibyte

// prepare sets up the HTTP client.
func (a *APIClient) prepare() {
	a.client.Transport = &receiver.Transport{}
	a.client.MaxResponseBodySize = int(maxResponseSize)
}

// ApplyResponse is the response to an accepted ticket, or to a valid one that was only
// checked.
type ApplyResponse struct {
	Number    core.TicketNumber `json:"number"`
	CheckOnly bool              `json:"check-only,omitempty"`
}

// Status is the part of a host's status that the command line shows. Ticket is the
// number of the ticket in force on the host; HasLinkSlot tells whether the host holds one
// of the slots of its region's links and so may send to other regions.
type Status struct {
	Host        string     `json:"host"`
	Zone        string     `json:"zone"`
	Region      string     `json:"region"`
	Phase       string     `json:"phase"`
	Ticket      uint64     `json:"ticket"`
	HasLinkSlot bool       `json:"has-link-slot"`
	Members     []Member   `json:"members"`
	Upstreams   []Upstream `json:"upstreams"`
	Links       []Link     `json:"links"`
}

// Member is what the queried host knows about another host. HeartbeatAgeMs is the time since
// the latest heartbeat of that host, in milliseconds; IsLive is false once the
// heartbeat timeout has passed.
type Member struct {
	Host           string `json:"host"`
	Address        string `json:"client-address"`
	Zone           string `json:"zone"`
	Phase          string `json:"phase"`
	Ticket         uint64 `json:"ticket"`
	IsLive         bool   `json:"live"`
	HeartbeatAgeMs int64  `json:"silence-ms"`
}

// Upstream is the state of an upstream that the queried host owns. Slots is the number
// of requests that the upstream can process at a time, Limit the host's present
// concurrency limit for it, and MeanServiceTimeMs the running mean of its service times in
// milliseconds. IsDraining tells that it is draining.
type Upstream struct {
	Name              string `json:"name"`
	Service           string `json:"service"`
	Slots             int    `json:"slots"`
	Limit             int    `json:"limit"`
	InFlight          int    `json:"in-flight"`
	MeanServiceTimeMs int64  `json:"mean-ms"`
	IsDraining        bool   `json:"leaving"`
	IsEjected         bool   `json:"ejected"`
}

// Link is the rate at which the queried host may send to another region, in bits per
// second.
type Link struct {
	ToRegion      string `json:"to"`
	BitsPerSecond int64  `json:"rate-bits"`
}

// Explanation tells how the queried host would route a request for a service: Route
// holds the entry hosts that a client is told to use, Candidates the candidates that
// could process the request, and Decision describes the host's decision.
type Explanation struct {
	Service    string      `json:"service"`
	Host       string      `json:"host"`
	ClientZone string      `json:"client-zone"`
	Ticket     uint64      `json:"ticket"`
	Route      []Target    `json:"route"`
	Candidates []Candidate `json:"choices"`
	Decision   string      `json:"verdict"`
}

// Target is an entry host that a client is told to use.
type Target struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
}

// Candidate is a candidate that could process a request: an upstream of the queried host
// or another host, according to Kind. FreeSlots and TotalSlots count slots. CostMs is the expected time in milliseconds: the
// service time, and for a host also the round trip to it. Reason tells why a choice
// is not usable.
type Candidate struct {
	Name       string  `json:"name"`
	Kind       string  `json:"kind"`
	Zone       string  `json:"zone"`
	FreeSlots  int     `json:"free"`
	TotalSlots int     `json:"total"`
	CostMs     float64 `json:"cost-ms"`
	IsUsable   bool    `json:"usable"`
	Reason     string  `json:"reason,omitempty"`
}

// problem is an error response in the form of RFC 9457. Findings lists the problems of
// a rejected ticket.
type problem struct {
	Type     string        `json:"type"`
	Title    string        `json:"title"`
	Detail   string        `json:"detail"`
	Findings core.Findings `json:"findings"`
}

// ApplyTicket sends an encoded ticket to the first host that responds. With checkOnly, the
// host only validates it against the configuration in force. The error is of type
// core.Findings if the ticket is invalid, and wraps ErrConflict if its number is
// taken.
func (a *APIClient) ApplyTicket(ticket []byte, checkOnly bool) (ApplyResponse, error) {
	path := "/v1/tickets"
	if checkOnly {
		path += "?check=1"
	}
	var applied ApplyResponse
	err := a.callFirst(fasthttp.MethodPost, path, ticket, &applied)
	return applied, err
}

// GetTicket returns the ticket with the given number. For 0 it returns the number of the
// ticket in force.
func (a *APIClient) GetTicket(number core.TicketNumber) (json.RawMessage, error) {
	path := "/v1/tickets"
	if number > 0 {
		path += "/" + strconv.FormatUint(uint64(number), 10)
	}
	var raw json.RawMessage
	err := a.callFirst(fasthttp.MethodGet, path, nil, &raw)
	return raw, err
}

// Explain returns how a request for the service would be routed now. The client is in
// the given availability zone or, if that is empty, in the zone that the host assigns
// to the address of the caller.
func (a *APIClient) Explain(service, zone string) (Explanation, error) {
	query := url.Values{"service": {service}}
	if zone != "" {
		query.Set("zone", zone)
	}
	var explanation Explanation
	err := a.callFirst(fasthttp.MethodGet, "/v1/explain?"+query.Encode(), nil, &explanation)
	return explanation, err
}

// Status returns the status of the host at the given client address.
func (a *APIClient) Status(host string) (Status, error) {
	var status Status
	err := a.call(host, fasthttp.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// callFirst calls the hosts in order until one responds, even with an error, and
// decodes the response into target. It returns the errors of all hosts if none does, and
// ErrNoHosts if there is none to call.
func (a *APIClient) callFirst(method, path string, body []byte, target any) error {
	if len(a.Hosts) == 0 {
		return ErrNoHosts
	}
	var failures []error
	for _, host := range a.Hosts {
		err := a.call(host, method, path, body, target)
		if err == nil || !errors.Is(err, ErrUnreachable) {
			return err
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

// call sends a request to one host and decodes its response into target.
func (a *APIClient) call(host, method, path string, body []byte, target any) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + host + path)
	if a.Token != "" {
		request.Header.Set("Authorization", "Bearer "+a.Token)
	}
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(body)
	}
	a.init.Do(a.prepare)
	if err := a.client.DoTimeout(request, response, a.Timeout); err != nil {
		return fmt.Errorf("%s: %w: %w", host, ErrUnreachable, err)
	}
	if response.StatusCode() == fasthttp.StatusOK {
		return json.Unmarshal(response.Body(), target)
	}
	return responseError(host, response)
}

// responseError returns the error that a response with another status than 200
// describes.
func responseError(host string, response *fasthttp.Response) error {
	var details problem
	if err := json.Unmarshal(response.Body(), &details); err != nil {
		return fmt.Errorf("%s: status %d without a problem description", host, response.StatusCode())
	}
	switch details.Type {
	case problemTypeFindings:
		return details.Findings
	case problemTypeConflict:
		return fmt.Errorf("%w: %s", ErrConflict, details.Detail)
	default:
		return fmt.Errorf("%s: %s: %s", host, details.Title, details.Detail)
	}
}
