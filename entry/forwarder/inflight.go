package forwarder

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/entry/budgeter"
	"github.com/endiverun/endiverun/entry/detector"
)

// Pending describes a request whose response has not been written to the client.
type Pending struct {
	RequestID     string
	Route         core.RouteName
	Service       core.ServiceName
	PolicyVersion uint64
	// Upstream is where the last attempt was sent; empty before the first one.
	Upstream core.UpstreamName
	// Started is when the header of the request had been read, and Received when its body
	// had; zero before that.
	Started, Received time.Time
	// IsAnswered says that the response is being written to the client.
	IsAnswered bool
}

// pendingRequest is a request in the table of requests in flight.
type pendingRequest struct {
	mu          sync.Mutex
	description Pending
	// claim counts the body of the request, and matchInput is what its header says. Only the
	// goroutine of its connection uses them.
	claim      budgeter.Claim
	matchInput matchInput
}

// update changes the description.
func (p *pendingRequest) update(change func(description *Pending)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.description)
}

// describe returns the description.
func (p *pendingRequest) describe() Pending {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.description
}

// pendingRequests holds the requests in flight, from their header to the end of their
// response.
//
// Lock order: pendingRequests.mu, then pendingRequest.mu; no other lock is taken while one of
// them is held.
type pendingRequests struct {
	mu       sync.Mutex
	requests map[*pendingRequest]struct{}
}

// add adds a request whose header has been read.
func (p *pendingRequests) add(requestID string, now time.Time) *pendingRequest {
	request := &pendingRequest{description: Pending{RequestID: requestID, Started: now}}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requests == nil {
		p.requests = map[*pendingRequest]struct{}{}
	}
	p.requests[request] = struct{}{}
	return request
}

// removeAfterResponse removes a request once its response has been written.
func (p *pendingRequests) removeAfterResponse(ctx *fasthttp.RequestCtx, request *pendingRequest) {
	request.update(func(description *Pending) { description.IsAnswered = true })
	remove := func() {
		request.claim.Release()
		p.remove(request)
	}
	if conn, ok := ctx.Conn().(*detector.Conn); ok {
		conn.AfterResponse(remove)
		return
	}
	remove()
}

func (p *pendingRequests) remove(request *pendingRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.requests, request)
}

// count returns the number of requests.
func (p *pendingRequests) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.requests)
}

// list returns the descriptions of the requests whose body has been read.
func (p *pendingRequests) list() []Pending {
	p.mu.Lock()
	defer p.mu.Unlock()
	var descriptions []Pending
	for request := range p.requests {
		if description := request.describe(); !description.Received.IsZero() {
			descriptions = append(descriptions, description)
		}
	}
	return descriptions
}
