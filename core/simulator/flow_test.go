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

// order is one thing that a client wants done, under one key after another.
type order struct {
	service core.ServiceName
	sends   []*send
	runs    int
}

// send is one sending of a request to an entry host.
type send struct {
	order   *order
	request core.Request
	ended   bool
	outcome core.Outcome
	// runs counts the runs of attempts that this send caused.
	runs int
}

// flow is a request at one host.
type flow struct {
	node     *node
	dispatch *dispatcher.Dispatch
	request  core.Request
	send     *send
	message  *message
	step     dispatcher.Step
	waiting  bool
	woken    bool
	ended    bool
}

// message is a request, or a question about one, on its way to another host.
type message struct {
	from   *flow
	step   dispatcher.Step
	child  *flow
	result *dispatcher.Result
	// gaveUp says that the sender no longer waits.
	gaveUp bool
	done   bool
}

// attempt is a request on its way to an upstream, or running there.
type attempt struct {
	flow    *flow
	step    dispatcher.Step
	up      *upstream
	begun   time.Time
	running bool
	done    bool
}

// begin takes a request in at a host.
func (w *world) begin(n *node, request core.Request, origin dispatcher.Origin, s *send, m *message) *flow {
	f := &flow{node: n, request: request, send: s, message: m}
	f.dispatch = n.steerer.Dispatcher.Start(request, origin, func() { f.woken = true })
	n.flows = append(n.flows, f)
	w.proceed(f)
	return f
}

// proceed lets a request go on until it waits for something.
func (w *world) proceed(f *flow) {
	for !f.ended && f.node.acts() {
		f.woken = false
		step := f.dispatch.Next(f.node.now())
		f.step = step
		f.waiting = false
		switch step.Kind {
		case dispatcher.StepDone:
			w.end(f, step.Outcome)
			return
		case dispatcher.StepWait, dispatcher.StepAwait:
			f.waiting = true
			return
		case dispatcher.StepRun:
			up := w.upstreams[step.Upstream.Name]
			f.node.running[up.Name]++
			w.attempts = append(w.attempts, &attempt{flow: f, step: step, up: up, begun: w.now})
			return
		case dispatcher.StepClaim:
			w.claim(f)
		default:
			w.dispatchMessage(f, step)
			return
		}
	}
}

// claim claims the key of a request at once.
func (w *world) claim(f *flow) {
	key := f.request.Key.Text
	holders, err := f.node.claimer.Claim(deduplicator.Bucket(key), []string{key}, f.node.now())
	holder, ok := holders[key]
	f.dispatch.Observe(dispatcher.Result{Claim: dispatcher.Claim{Failed: err != nil || !ok, Holder: holder}}, f.node.now())
}

func (w *world) dispatchMessage(f *flow, step dispatcher.Step) {
	size := core.Bytes(len(f.request.Body))
	if step.Kind != dispatcher.StepAsk && !w.spend(f.node, step.Host.Zone.Region, size) {
		w.unreachable(f)
		return
	}
	w.messages = append(w.messages, &message{from: f, step: step})
}

// unreachable tells a request that the other host cannot be reached.
func (w *world) unreachable(f *flow) {
	outcome := core.Refuse(core.RefusalOverload, "unreachable", 0)
	if f.step.Kind == dispatcher.StepAsk {
		outcome = core.Outcome{State: core.RunUnknown}
	}
	f.dispatch.Observe(dispatcher.Result{Outcome: outcome, Unreachable: true}, f.node.now())
	w.proceed(f)
}

// lose lets a message never leave its host.
func (w *world) lose(m *message) {
	if m.child != nil || m.result != nil || m.gaveUp || !m.from.node.acts() {
		return
	}
	m.done, m.gaveUp = true, true
	w.unreachable(m.from)
}

// end tells the sender of a request what became of it.
func (w *world) end(f *flow, outcome core.Outcome) {
	f.ended = true
	f.node.flows = slices.DeleteFunc(f.node.flows, func(o *flow) bool { return o == f })
	if f.message != nil {
		f.message.result = &dispatcher.Result{
			Outcome: outcome, Attempted: f.dispatch.Attempted(), Spares: f.node.steerer.Spares(f.node.now()),
		}
		return
	}
	if f.send != nil && !f.send.ended {
		f.send.ended, f.send.outcome = true, outcome
	}
}

// poll lets requests go on that were woken or whose wait is over.
func (w *world) poll() {
	for _, n := range w.nodes {
		if !n.acts() {
			continue
		}
		for _, f := range slices.Clone(n.flows) {
			if !f.waiting {
				continue
			}
			isOver := f.woken || !n.now().Before(f.step.Until)
			if f.step.Done != nil {
				select {
				case <-f.step.Done:
					isOver = true
				default:
				}
			}
			if isOver {
				w.proceed(f)
			}
		}
	}
}

// checkLater fails where a later send under the same key was said not to have
// run: it spoke for this one too.
func (o *order) checkLater(t *rapid.T, run *send) {
	for _, s := range o.sends {
		isLater := s.request.Key.Text == run.request.Key.Text && s.request.Ordinal > run.request.Ordinal
		if isLater && s.ended && s.outcome.State == core.NotRun {
			t.Fatalf("send %s ran after %s was said not to have run", run.request.ID, s.request.ID)
		}
	}
}

// reach lets an attempt arrive at its upstream, or be refused a connection.
func (w *world) reach(a *attempt, isRefused bool) {
	if isRefused {
		w.settle(a, dispatcher.Result{Outcome: core.Refuse(core.RefusalUpstream, "connect", 0), Attempted: true})
		return
	}
	w.runs++
	if a.up.shed || a.up.running >= a.up.Slots {
		w.settle(a, dispatcher.Result{Outcome: core.Refuse(core.RefusalUpstream, "shed", 0), Shed: true, Attempted: true})
		return
	}
	a.running = true
	a.up.running++
	w.noteRun(a)
}

// noteRun writes the ledger.
func (w *world) noteRun(a *attempt) {
	for _, s := range w.sends {
		if s.request.ID != a.flow.request.ID {
			continue
		}
		s.runs++
		s.order.runs++
		s.order.checkLater(w.random, s)
	}
}

// complete ends a run; the answer arrives, or not.
func (w *world) complete(a *attempt, isLost bool) {
	a.up.running--
	outcome := core.OutcomeOf(&core.Answer{Status: 200, Body: []byte(a.flow.request.ID)})
	if isLost {
		outcome = core.Unknown(core.RefusalUpstream, "no usable answer")
	}
	w.settle(a, dispatcher.Result{Outcome: outcome, Duration: w.now.Sub(a.begun), Attempted: true})
}

// settle tells the host what became of an attempt, if it still runs.
func (w *world) settle(a *attempt, result dispatcher.Result) {
	a.done = true
	f := a.flow
	f.node.running[a.up.Name]--
	if f.node.dead {
		return
	}
	f.dispatch.Observe(result, f.node.now())
	w.proceed(f)
}

// deliver brings a message to its host.
func (w *world) deliver(m *message) {
	target := w.node(m.step.Host.Name)
	if m.child != nil || !target.acts() || w.isCut(m.from.node.steerer.Self.Zone.Name, target.steerer.Self.Zone.Name) {
		return
	}
	if target.steerer.Self.Incarnation != m.step.Host.Incarnation {
		w.answerWrongLife(m)
		return
	}
	if m.step.Kind == dispatcher.StepAsk {
		entry := target.steerer.Dispatcher.Ask(m.step.Attempt, target.now())
		if entry.Done == nil || isClosed(entry.Done) {
			entry = target.steerer.Dispatcher.Ask(m.step.Attempt, target.now())
			m.result = &dispatcher.Result{Outcome: entry.Outcome}
		}
		return
	}
	request := m.from.request
	request.Deadline = target.now().Add(m.step.Until.Sub(m.from.node.now()))
	origin := dispatcher.Origin{
		Peer: m.from.node.steerer.Self, Attempt: m.step.Attempt, IsHome: m.step.Kind == dispatcher.StepHome,
	}
	m.child = w.begin(target, request, origin, nil, m)
}

func (w *world) answerWrongLife(m *message) {
	outcome := core.Refuse(core.RefusalStaleHome, "replaced", 0)
	if m.step.Kind == dispatcher.StepAsk {
		outcome = core.Unknown(core.RefusalUnknown, "gone")
	}
	m.result = &dispatcher.Result{Outcome: outcome}
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// reply brings the answer to a message back.
func (w *world) reply(m *message) {
	from := m.from.node
	if m.result == nil || m.gaveUp || !from.acts() || w.isCut(from.steerer.Self.Zone.Name, m.step.Host.Zone.Name) {
		return
	}
	m.done = true
	m.from.dispatch.Observe(*m.result, from.now())
	w.proceed(m.from)
}

// giveUp lets the sender of a message stop waiting. A message that has not
// arrived may still arrive.
func (w *world) giveUp(m *message) {
	if m.gaveUp || m.done || !m.from.node.acts() {
		return
	}
	m.gaveUp = true
	m.from.dispatch.Observe(dispatcher.Result{Outcome: core.Outcome{State: core.RunUnknown}}, m.from.node.now())
	w.proceed(m.from)
}

// sendOrder sends an order once more, to the given host.
func (w *world) sendOrder(o *order, to *node, key core.Key, ordinal, size int) {
	w.requests++
	request := core.Request{
		ID:      core.RequestID("r" + strconv.Itoa(len(w.sends))),
		Service: o.service, Method: "POST", Path: "/", Client: zones[0].Name,
		Body: make([]byte, size), Key: key, Ordinal: ordinal, Deadline: to.now().Add(3 * time.Second),
	}
	s := &send{order: o, request: request}
	w.sends = append(w.sends, s)
	o.sends = append(o.sends, s)
	w.begin(to, request, dispatcher.Origin{}, s, nil)
}
