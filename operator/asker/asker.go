// Package asker calls entry hosts on behalf of operators.
//
// # Usage
//
//	a := &asker.Asker{Hosts: []string{"127.0.0.1:8080"}, Timeout: 5 * time.Second}
//	status, err := a.Status("127.0.0.1:8080")
package asker

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
)

// Kinds of problems that callers tell apart.
const (
	problemFindings = "urn:endiverun:problem:findings"
	problemConflict = "urn:endiverun:problem:conflict"
)

// ErrConflict reports that another ticket took the number.
var ErrConflict = errors.New("conflict")

// ErrUnreachable reports that no host answered.
var ErrUnreachable = errors.New("no host answered")

// Asker calls hosts.
type Asker struct {
	// Hosts are client addresses of entry hosts, tried in order.
	Hosts []string
	// Token accompanies every call where it is set.
	Token string
	// Timeout bounds one call.
	Timeout time.Duration
}

// Applied is the answer to an accepted ticket.
type Applied struct {
	Number    core.Number `json:"number"`
	CheckOnly bool        `json:"check-only,omitempty"`
}

// Status is the part of a host's view that the command line shows.
type Status struct {
	Host      string     `json:"host"`
	Zone      string     `json:"zone"`
	Region    string     `json:"region"`
	Phase     string     `json:"phase"`
	Ticket    uint64     `json:"ticket"`
	HasSlot   bool       `json:"has-link-slot"`
	Members   []Member   `json:"members"`
	Upstreams []Upstream `json:"upstreams"`
	Links     []Link     `json:"links"`
}

// Member is another host as one host sees it.
type Member struct {
	Host    string `json:"host"`
	Address string `json:"client-address"`
	Zone    string `json:"zone"`
	Phase   string `json:"phase"`
	Ticket  uint64 `json:"ticket"`
	IsLive  bool   `json:"live"`
	Silence int64  `json:"silence-ms"`
}

// Upstream is an upstream that a host owns.
type Upstream struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Slots    int    `json:"slots"`
	Limit    int    `json:"limit"`
	InFlight int    `json:"in-flight"`
	Mean     int64  `json:"mean-ms"`
	Leaving  bool   `json:"leaving"`
	Ejected  bool   `json:"ejected"`
}

// Link is what a host may send to another region.
type Link struct {
	To   string `json:"to"`
	Rate int64  `json:"rate-bits"`
}

// Explanation tells what a request would use.
type Explanation struct {
	Service string   `json:"service"`
	Host    string   `json:"host"`
	Zone    string   `json:"client-zone"`
	Ticket  uint64   `json:"ticket"`
	Route   []Target `json:"route"`
	Choices []Choice `json:"choices"`
	Verdict string   `json:"verdict"`
}

// Target is an entry host in a route answer.
type Target struct {
	Name        string `json:"name"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
}

// Choice is a place that could run a request.
type Choice struct {
	Name   string  `json:"name"`
	Kind   string  `json:"kind"`
	Zone   string  `json:"zone"`
	Free   int     `json:"free"`
	Total  int     `json:"total"`
	Cost   float64 `json:"cost-ms"`
	Usable bool    `json:"usable"`
	Reason string  `json:"reason,omitempty"`
}

// problem is a refusal by a host.
type problem struct {
	Type     string        `json:"type"`
	Title    string        `json:"title"`
	Detail   string        `json:"detail"`
	Findings core.Findings `json:"findings"`
}

// Apply sends a ticket to the first host that answers.
func (a *Asker) Apply(ticket []byte, checkOnly bool) (Applied, error) {
	path := "/v1/tickets"
	if checkOnly {
		path += "?check=1"
	}
	var applied Applied
	err := a.first(fasthttp.MethodPost, path, ticket, &applied)
	return applied, err
}

// Show reads a ticket; 0 reads which number is in force.
func (a *Asker) Show(number core.Number) (json.RawMessage, error) {
	path := "/v1/tickets"
	if number > 0 {
		path += "/" + strconv.FormatUint(uint64(number), 10)
	}
	var raw json.RawMessage
	err := a.first(fasthttp.MethodGet, path, nil, &raw)
	return raw, err
}

// Explain asks what a request for a service would use now.
func (a *Asker) Explain(service, zone string) (Explanation, error) {
	query := url.Values{"service": {service}}
	if zone != "" {
		query.Set("zone", zone)
	}
	var explanation Explanation
	err := a.first(fasthttp.MethodGet, "/v1/explain?"+query.Encode(), nil, &explanation)
	return explanation, err
}

// Status asks one host for its view.
func (a *Asker) Status(host string) (Status, error) {
	var status Status
	err := a.call(host, fasthttp.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// first calls the hosts in order until one answers.
func (a *Asker) first(method, path string, body []byte, target any) error {
	var failures []error
	for _, h := range a.Hosts {
		err := a.call(h, method, path, body, target)
		if err == nil || !errors.Is(err, ErrUnreachable) {
			return err
		}
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

func (a *Asker) call(host, method, path string, body []byte, target any) error {
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
	if err := fasthttp.DoTimeout(request, response, a.Timeout); err != nil {
		return fmt.Errorf("%s: %w: %w", host, ErrUnreachable, err)
	}
	if response.StatusCode() == fasthttp.StatusOK {
		return json.Unmarshal(response.Body(), target)
	}
	return refusal(host, response)
}

// refusal returns the error that a host answered with.
func refusal(host string, response *fasthttp.Response) error {
	var refused problem
	if err := json.Unmarshal(response.Body(), &refused); err != nil {
		return fmt.Errorf("%s: status %d", host, response.StatusCode())
	}
	switch refused.Type {
	case problemFindings:
		return refused.Findings
	case problemConflict:
		return fmt.Errorf("%w: %s", ErrConflict, refused.Detail)
	default:
		return fmt.Errorf("%s: %s: %s", host, refused.Title, refused.Detail)
	}
}
