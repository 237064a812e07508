package simulator

import (
	"slices"
	"strconv"
	"time"

	"pgregory.net/rapid"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/deduplicator"
	"github.com/endiverun/endiverun/core/dispatcher"
)

// operation is one action that a client wants to be executed. The client submits it
// under an idempotency key, and under another key once it knows that it didn't run.
type operation struct {
	service     core.ServiceName
	submissions []*submission
	// executions counts how often upstreams ran the operation.
	executions int
}

// submission is one request for an operation, sent to an entry host.
type submission struct {
	operation *operation
	host      *node
	request   core.Request
	ended     bool
	outcome   core.Outcome
	// executions counts how often upstreams ran this submission.
	executions int
}

// hostRequest is the processing of a request at one host.
type hostRequest struct {
	node       *node
	dispatch   *dispatcher.Dispatch
	request    core.Request
	submission *submission
	message    *message
	step       dispatcher.Step
	waiting    bool
	woken      bool
	ended      bool
}

// message is a request, or a query about one, from one host to another, and its response.
type message struct {
	from *hostRequest
	step dispatcher.Step
	// remoteRequest is the request that the message started at its receiver.
	remoteRequest *hostRequest
	result        *dispatcher.Result
	// timedOut says that the sender no longer waits for the response.
	timedOut bool
	done     bool
}

// attempt is a request in flight to an upstream, or running there.
type attempt struct {
	hostRequest *hostRequest
	step        dispatcher.Step
	target      *upstream
	startedAt   time.Time
	running     bool
	done        bool
}

// startRequest starts the processing of a request at a host.
func (sim *simulation) startRequest(n *node, request core.Request, origin dispatcher.Origin, s *submission, m *message) *hostRequest {
	r := &hostRequest{node: n, request: request, submission: s, message: m}
	r.dispatch = n.steerer.Dispatcher.Start(request, origin, func() { r.woken = true })
	n.hostRequests = append(n.hostRequests, r)
	sim.resume(r)
	return r
}

// resume continues the processing of a request until it waits for an event.
func (sim *simulation) resume(r *hostRequest) {
	for !r.ended && r.node.isActive() {
		r.woken = false
		step := r.dispatch.Next(r.node.now())
		r.step = step
		r.waiting = false
		switch step.Kind {
		case dispatcher.StepDone:
			sim.finish(r, step.Outcome)
			return
		case dispatcher.StepWait, dispatcher.StepWaitForDone:
			r.waiting = true
			return
		case dispatcher.StepSendAttempt:
			target := sim.upstreams[step.Upstream.Name]
			r.node.inFlight[target.Name]++
			sim.attempts = append(sim.attempts, &attempt{hostRequest: r, step: step, target: target, startedAt: sim.now})
			return
		case dispatcher.StepClaimKey:
			r.node.claiming = append(r.node.claiming, r)
			return
		default:
			sim.sendMessage(r, step)
			return
		}
	}
}

// claim claims the keys of the requests of a host that wait for it, those of one bucket
// together.
func (sim *simulation) claim(n *node) {
	if !n.isActive() {
		return
	}
	waiting := n.claiming
	n.claiming = nil
	for len(waiting) > 0 {
		bucket := deduplicator.BucketOf(waiting[0].request.Key.Text)
		var batch, others []*hostRequest
		for _, r := range waiting {
			if deduplicator.BucketOf(r.request.Key.Text) == bucket {
				batch = append(batch, r)
			} else {
				others = append(others, r)
			}
		}
		sim.claimTogether(n, bucket, batch)
		waiting = others
	}
}

// claimTogether claims the keys of requests in one write and reports the results.
func (sim *simulation) claimTogether(n *node, bucket int, batch []*hostRequest) {
	var keys []string
	for _, r := range batch {
		if !slices.Contains(keys, r.request.Key.Text) {
			keys = append(keys, r.request.Key.Text)
		}
	}
	holders, err := n.claimer.Claim(bucket, keys, n.now())
	for _, r := range batch {
		holder, ok := holders[r.request.Key.Text]
		r.dispatch.Observe(dispatcher.Result{Claim: dispatcher.Claim{Failed: err != nil || !ok, Holder: holder}}, n.now())
		sim.resume(r)
	}
}

// sendMessage sends the step's message to another host, unless the link to its region has no
// capacity for it.
func (sim *simulation) sendMessage(r *hostRequest, step dispatcher.Step) {
	size := core.Bytes(len(r.request.Body))
	if step.Kind != dispatcher.StepQueryAttempt && !sim.transferOverLink(r.node, step.Host.Zone.Region, size) {
		sim.observeUnreachable(r)
		return
	}
	sim.messages = append(sim.messages, &message{from: r, step: step})
}

// observeUnreachable reports to a request that the other host could not be reached.
func (sim *simulation) observeUnreachable(r *hostRequest) {
	outcome := core.RefusedOutcome(core.RefusalOverload, "unreachable", 0)
	if r.step.Kind == dispatcher.StepQueryAttempt {
		outcome = core.Outcome{State: core.RunUnknown}
	}
	r.dispatch.Observe(dispatcher.Result{Outcome: outcome, Unreachable: true}, r.node.now())
	sim.resume(r)
}

// dropMessage drops a message before it leaves its host.
func (sim *simulation) dropMessage(m *message) {
	if m.remoteRequest != nil || m.result != nil || m.timedOut || !m.from.node.isActive() {
		return
	}
	m.done, m.timedOut = true, true
	sim.observeUnreachable(m.from)
}

// finish reports the outcome of a request to its sender.
func (sim *simulation) finish(r *hostRequest, outcome core.Outcome) {
	r.ended = true
	r.node.hostRequests = slices.DeleteFunc(r.node.hostRequests, func(o *hostRequest) bool { return o == r })
	if r.message != nil {
		r.message.result = &dispatcher.Result{
			Outcome: outcome, Attempted: r.dispatch.Attempted(), Capacities: r.node.steerer.Capacities(r.node.now()),
		}
		return
	}
	if r.submission != nil && !r.submission.ended {
		r.submission.ended, r.submission.outcome = true, outcome
	}
}

// resumeWaiting resumes the requests that were woken or whose wait is over.
func (sim *simulation) resumeWaiting() {
	for _, n := range sim.nodes {
		if !n.isActive() {
			continue
		}
		for _, r := range slices.Clone(n.hostRequests) {
			if !r.waiting {
				continue
			}
			isOver := r.woken || !n.now().Before(r.step.Deadline)
			if r.step.Done != nil {
				select {
				case <-r.step.Done:
					isOver = true
				default:
				}
			}
			if isOver {
				sim.resume(r)
			}
		}
	}
}

// checkLaterSubmissions fails where a later submission under the same key was reported as
// not run: that report covers the earlier submissions too.
func (o *operation) checkLaterSubmissions(t *rapid.T, executed *submission) {
	for _, s := range o.submissions {
		isLater := s.request.Key.Text == executed.request.Key.Text && s.request.Ordinal > executed.request.Ordinal
		if isLater && s.ended && s.outcome.State == core.NotRun {
			t.Fatalf("submission %s ran after %s was reported as not run", executed.request.ID, s.request.ID)
		}
	}
}

// arrive delivers an attempt to its upstream, or lets the upstream refuse the connection.
func (sim *simulation) arrive(a *attempt, isRefused bool) {
	if isRefused {
		sim.finishAttempt(a, dispatcher.Result{Outcome: core.RefusedOutcome(core.RefusalUpstreamFailed, "connect", 0), Attempted: true})
		return
	}
	sim.arrivedAttempts++
	if a.target.shed || a.target.running >= a.target.Slots {
		sim.finishAttempt(a, dispatcher.Result{Outcome: core.RefusedOutcome(core.RefusalUpstreamFailed, "shed", 0), Shed: true, Attempted: true})
		return
	}
	a.running = true
	a.target.running++
	sim.recordExecution(a)
}

// recordExecution counts the execution of an attempt for its submission and operation.
func (sim *simulation) recordExecution(a *attempt) {
	for _, s := range sim.submissions {
		if s.request.ID != a.hostRequest.request.ID {
			continue
		}
		s.executions++
		s.operation.executions++
		s.operation.checkLaterSubmissions(sim.rapidT, s)
	}
}

// complete ends the execution of an attempt, and delivers or loses the response.
func (sim *simulation) complete(a *attempt, isLost bool) {
	a.target.running--
	outcome := core.AnsweredOutcome(&core.Response{Status: 200, Body: []byte(a.hostRequest.request.ID)})
	if isLost {
		outcome = core.UnknownOutcome(core.RefusalUpstreamFailed, "no usable answer")
	}
	sim.finishAttempt(a, dispatcher.Result{Outcome: outcome, ServiceTime: sim.now.Sub(a.startedAt), Attempted: true})
}

// finishAttempt reports the result of an attempt to its host, unless the host crashed.
func (sim *simulation) finishAttempt(a *attempt, result dispatcher.Result) {
	a.done = true
	r := a.hostRequest
	r.node.inFlight[a.target.Name]--
	if r.node.crashed {
		return
	}
	r.dispatch.Observe(result, r.node.now())
	sim.resume(r)
}

// deliver delivers a message to its receiver, where that can be reached.
func (sim *simulation) deliver(m *message) {
	target := sim.node(m.step.Host.Name)
	if m.remoteRequest != nil || !target.isActive() || sim.isPartitioned(m.from.node.steerer.Self.Zone.Name, target.steerer.Self.Zone.Name) {
		return
	}
	if target.steerer.Self.Incarnation != m.step.Host.Incarnation {
		sim.refuseWrongIncarnation(m)
		return
	}
	if m.step.Kind == dispatcher.StepQueryAttempt {
		entry := target.steerer.Dispatcher.QueryAttempt(m.step.Attempt, target.now())
		if entry.Done == nil || isClosed(entry.Done) {
			entry = target.steerer.Dispatcher.QueryAttempt(m.step.Attempt, target.now())
			m.result = &dispatcher.Result{Outcome: entry.Outcome}
		}
		return
	}
	request := m.from.request
	request.Deadline = target.now().Add(m.step.Deadline.Sub(m.from.node.now()))
	origin := dispatcher.Origin{
		Peer: m.from.node.steerer.Self, Attempt: m.step.Attempt, ToKeyHome: m.step.Kind == dispatcher.StepForwardHome,
	}
	m.remoteRequest = sim.startRequest(target, request, origin, nil, m)
}

// refuseWrongIncarnation responds to a message for an earlier incarnation of its receiver.
func (sim *simulation) refuseWrongIncarnation(m *message) {
	outcome := core.RefusedOutcome(core.RefusalStaleHome, "replaced", 0)
	if m.step.Kind == dispatcher.StepQueryAttempt {
		outcome = core.UnknownOutcome(core.RefusalOutcomeUnknown, "gone")
	}
	m.result = &dispatcher.Result{Outcome: outcome}
}

// isClosed reports whether the channel is closed.
func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// deliverReply delivers the response to a message, where the sender can be reached.
func (sim *simulation) deliverReply(m *message) {
	from := m.from.node
	if m.result == nil || m.timedOut || !from.isActive() || sim.isPartitioned(from.steerer.Self.Zone.Name, m.step.Host.Zone.Name) {
		return
	}
	m.done = true
	m.from.dispatch.Observe(*m.result, from.now())
	sim.resume(m.from)
}

// timeOut lets the sender of a message stop waiting. The message may still arrive later.
func (sim *simulation) timeOut(m *message) {
	if m.timedOut || m.done || !m.from.node.isActive() {
		return
	}
	m.timedOut = true
	m.from.dispatch.Observe(dispatcher.Result{Outcome: core.Outcome{State: core.RunUnknown}}, m.from.node.now())
	sim.resume(m.from)
}

// submit sends another submission of an operation to the given host.
func (sim *simulation) submit(o *operation, to *node, key core.IdempotencyKey, ordinal, size int) {
	sim.requestCount++
	request := core.Request{
		ID:      core.RequestID("r" + strconv.Itoa(len(sim.submissions))),
		Service: o.service, Method: "POST", Path: "/", ClientZone: zones[0].Name,
		Body: make([]byte, size), Key: key, Ordinal: ordinal, Deadline: to.now().Add(3 * time.Second),
	}
	s := &submission{operation: o, host: to, request: request}
	sim.submissions = append(sim.submissions, s)
	o.submissions = append(o.submissions, s)
	sim.startRequest(to, request, dispatcher.Origin{}, s, nil)
}
