package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/endiverun/endiverun/core"
)

// Pending describes a request that has been read and not yet answered.
type Pending struct {
	RequestID     string
	Route         core.RouteName
	Service       core.ServiceName
	PolicyVersion uint64
	// Upstream is where the last attempt was sent; empty before the first one.
	Upstream core.UpstreamName
	// Started is when the header of the request had been read, and Received when its body
	// had.
	Started, Received time.Time
}

// pendingRequest is a request in the table of requests in flight. Another goroutine may read
// it while the request is served.
type pendingRequest struct {
	description Pending
	upstream    atomic.Pointer[core.UpstreamName]
}

// describe returns the description with the upstream of the last attempt.
func (p *pendingRequest) describe() Pending {
	description := p.description
	if upstream := p.upstream.Load(); upstream != nil {
		description.Upstream = *upstream
	}
	return description
}

// pendingRequests holds the requests that have been read and not yet answered.
//
// Lock order: no other lock is taken while the lock of a pendingRequests is held.
type pendingRequests struct {
	mu       sync.Mutex
	requests map[*pendingRequest]struct{}
}

func (p *pendingRequests) add(request *pendingRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.requests == nil {
		p.requests = map[*pendingRequest]struct{}{}
	}
	p.requests[request] = struct{}{}
}

func (p *pendingRequests) remove(request *pendingRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.requests, request)
}

// list returns the descriptions of all requests.
func (p *pendingRequests) list() []Pending {
	p.mu.Lock()
	defer p.mu.Unlock()
	descriptions := make([]Pending, 0, len(p.requests))
	for request := range p.requests {
		descriptions = append(descriptions, request.describe())
	}
	return descriptions
}
