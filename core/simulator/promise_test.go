package simulator

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/deduplicator"
	"github.com/endiverun/endiverun/core/dispatcher"
	"github.com/endiverun/endiverun/core/limiter"
	"github.com/endiverun/endiverun/core/router"
)

// The required bounds.
const (
	// drainLimit is how long after an upstream began draining it may get new requests.
	drainLimit = 3 * time.Second
	// ticketLimit is how long an accepted ticket may take to reach every host.
	ticketLimit = 5 * time.Second
	// attemptFactor is the greatest number of attempts per request, and attemptBurst the
	// number of additional attempts per incarnation of a host.
	attemptFactor = 1.1
	attemptBurst  = 10
)

// TestPromises checks the guarantees of the system after every step of random histories:
// at-most-once execution, true reports about requests that did not run, link rates, slots
// and draining of upstreams, the order of tickets, and the number of attempts.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"":               sim.check,
			"order":          sim.actOrder,
			"lookup":         sim.actLookup,
			"send-again":     sim.actSendAgain,
			"arrive":         sim.actArrive,
			"complete":       sim.actComplete,
			"deliver":        sim.actDeliver,
			"reply":          sim.actReply,
			"give-up":        sim.actGiveUp,
			"lose":           sim.actLose,
			"advance":        func(t *rapid.T) { sim.rapidT = t; sim.advance(drawTime(t, 2000)) },
			"advance-long":   func(t *rapid.T) { sim.rapidT = t; sim.advance(drawTime(t, 20_000)) },
			"jump":           sim.actJump,
			"cancel":         sim.actCancel,
			"crash":          sim.actCrash,
			"pause":          sim.actPause,
			"resume":         sim.actResume,
			"leave":          sim.actLeave,
			"cut":            sim.actCut,
			"heal":           sim.actHeal,
			"store":          sim.actStore,
			"ticket":         sim.actTicket,
			"upstream":       sim.actUpstream,
			"transfer":       sim.actTransfer,
			"renew-together": sim.actRenewTogether,
			"claim":          sim.actClaim,
			"calm":           sim.actCalm,
			"serve":          sim.actServe,
			"order-served":   sim.actOrderServed,
			"again-served":   sim.actSendAgainServed,
			"overtake":       sim.actOvertake,
			"storm":          sim.actStorm,
		})
		sim.finishAll(rt)
	})
}

// drawTime draws a duration between 10 ms and the given number of milliseconds.
func drawTime(t *rapid.T, maxMilliseconds int) time.Duration {
	return time.Duration(rapid.IntRange(10, maxMilliseconds).Draw(t, "milliseconds")) * time.Millisecond
}

// pick draws an element of a list, and skips the step where the list is empty.
func pick[T any](t *rapid.T, list []T, label string) T {
	if len(list) == 0 {
		t.Skip("none")
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, label)]
}

// activeNodes returns the nodes that are neither crashed nor paused.
func (sim *simulation) activeNodes() []*node {
	var nodes []*node
	for _, n := range sim.nodes {
		if n.isActive() {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// actOrder submits a new operation that must run at most once.
func (sim *simulation) actOrder(t *rapid.T) {
	sim.rapidT = t
	o := &operation{service: serviceOrder}
	to := pick(t, sim.activeNodes(), "host")
	key := sim.drawKey(t, to)
	sim.operations = append(sim.operations, o)
	sim.submit(o, to, key, 0, drawSize(t))
}

// drawSize draws the size of a request body in bytes.
func drawSize(t *rapid.T) int {
	return rapid.SampledFrom([]int{10, 10, 5000, 60_000}).Draw(t, "size")
}

// drawKey draws a home-bound key for one of the hosts in a route, or a key that the client
// chose.
func (sim *simulation) drawKey(t *rapid.T, host *node) core.IdempotencyKey {
	sim.serial++
	nonce := strconv.Itoa(sim.serial)
	if rapid.IntRange(0, 3).Draw(t, "own-key") == 0 {
		return ownKey(nonce)
	}
	query := router.Query{Service: serviceOrder, Zone: host.steerer.Self.Zone}
	route := host.steerer.Router.Route(query, 1, host.now())
	target := pick(t, route.Hosts, "home")
	incarnation, err := core.ParseIncarnation(target.Incarnation)
	if err != nil {
		t.Fatal(err)
	}
	home := core.HostInstance{Host: target.Name, Incarnation: incarnation}
	return core.NewHomeBoundKey(home, nonce, time.Unix(target.KeyIssuedAt, 0))
}

// actCalm ends all faults and lets the hosts learn of each other again. Without it most
// histories are in a fault from their first steps on and few requests are answered.
func (sim *simulation) actCalm(t *rapid.T) {
	sim.rapidT = t
	sim.endFaults()
	sim.lastFaultAt = sim.now
	sim.advance(calmTime)
}

// calmTime is enough for heartbeats, and for the renewal of slots.
const calmTime = 4 * time.Second

// actServe lets everything that is in flight arrive and end.
func (sim *simulation) actServe(t *rapid.T) {
	sim.rapidT = t
	sim.serve()
}

// serve lets messages and attempts arrive and end, and what follows from them.
func (sim *simulation) serve() {
	for range serveRounds {
		sim.serveRound(false)
	}
}

// serveRounds is the number of steps of a request that is forwarded once and retried once.
const serveRounds = 6

// serveRound lets all messages and attempts take one step. The responses of upstreams may be
// lost.
func (sim *simulation) serveRound(isLost bool) {
	for _, n := range sim.nodes {
		sim.claim(n)
	}
	for _, a := range sim.attempts {
		switch {
		case a.done || a.hostRequest.node.paused:
		case a.running:
			sim.complete(a, isLost)
		default:
			sim.arrive(a, false)
		}
	}
	for _, m := range sim.openMessages() {
		sim.deliver(m)
		sim.deliverReply(m)
	}
}

// actOrderServed submits a new operation and serves it.
func (sim *simulation) actOrderServed(t *rapid.T) {
	sim.actOrder(t)
	sim.serve()
}

// actSendAgainServed retries an operation at another host than the last time, together with
// a new one, and serves both. Their keys are claimed together.
func (sim *simulation) actSendAgainServed(t *rapid.T) {
	sim.rapidT = t
	o := pick(t, sim.operations, "order")
	last := o.submissions[len(o.submissions)-1].host
	others := filter(sim.activeNodes(), func(n *node) bool { return n != last })
	to := pick(t, others, "host")
	sim.sendAgain(t, o, to)
	added, key := &operation{service: serviceOrder}, sim.drawKey(t, to)
	sim.operations = append(sim.operations, added)
	sim.submit(added, to, key, 0, drawSize(t))
	sim.serve()
}

// actStorm lets hosts submit many repeatable requests while upstreams lose all
// responses, more than the burst of the retry budgets allows to retry.
func (sim *simulation) actStorm(t *rapid.T) {
	sim.rapidT = t
	const requests = 80
	hosts := sim.activeNodes()
	if len(hosts) == 0 {
		t.Skip("none")
	}
	for i := range requests {
		o := &operation{service: serviceLookup}
		sim.submit(o, hosts[i%len(hosts)], core.IdempotencyKey{}, 0, 10)
		for range 3 * serveRounds {
			sim.serveRound(true)
		}
		sim.advance(tickInterval)
	}
}

// actOvertake lets the query about a message arrive before the message itself.
func (sim *simulation) actOvertake(t *rapid.T) {
	sim.rapidT = t
	late := pick(t, filter(sim.openMessages(), func(m *message) bool {
		return m.remoteRequest == nil && m.result == nil && !m.timedOut && m.step.Kind != dispatcher.StepQueryAttempt
	}), "message")
	sim.timeOut(late)
	for _, m := range sim.openMessages() {
		if m.from == late.from && m.step.Kind == dispatcher.StepQueryAttempt {
			sim.deliver(m)
			sim.deliverReply(m)
		}
	}
	sim.deliver(late)
}

// ownKey returns a key that a client chose. All have their claims in one object of the store.
func ownKey(nonce string) core.IdempotencyKey {
	for i := 0; ; i++ {
		text := "own-" + nonce + "-" + strconv.Itoa(i)
		if deduplicator.BucketOf(text) == 0 {
			return core.IdempotencyKey{Text: text}
		}
	}
}

// actClaim lets a host claim the keys of its requests.
func (sim *simulation) actClaim(t *rapid.T) {
	sim.rapidT = t
	sim.claim(pick(t, sim.activeNodes(), "host"))
}

// actLookup submits a repeatable request.
func (sim *simulation) actLookup(t *rapid.T) {
	sim.rapidT = t
	o := &operation{service: serviceLookup}
	sim.submit(o, pick(t, sim.activeNodes(), "host"), core.IdempotencyKey{}, 0, drawSize(t))
}

// actSendAgain retries an operation as a client may: under the same key, or under a new key
// once every submission was reported as not run.
func (sim *simulation) actSendAgain(t *rapid.T) {
	sim.rapidT = t
	o := pick(t, sim.operations, "order")
	sim.sendAgain(t, o, pick(t, sim.activeNodes(), "host"))
}

// sendAgain submits an operation to a host again.
func (sim *simulation) sendAgain(t *rapid.T, o *operation, to *node) {
	last := o.submissions[len(o.submissions)-1]
	if o.isReportedNotRun() {
		sim.submit(o, to, sim.drawKey(t, to), 0, len(last.request.Body))
		return
	}
	sim.submit(o, to, last.request.Key, last.request.Ordinal+1, len(last.request.Body))
}

// isReportedNotRun reports whether every submission was reported as not run.
func (o *operation) isReportedNotRun() bool {
	for _, s := range o.submissions {
		if !s.ended || s.outcome.State != core.NotRun {
			return false
		}
	}
	return true
}

// actArrive lets an attempt arrive at its upstream, which may refuse the connection.
func (sim *simulation) actArrive(t *rapid.T) {
	sim.rapidT = t
	var list []*attempt
	for _, a := range sim.attempts {
		if !a.done && !a.running && !a.hostRequest.node.paused {
			list = append(list, a)
		}
	}
	sim.arrive(pick(t, list, "attempt"), rapid.IntRange(0, 9).Draw(t, "refused") == 0)
}

// actComplete ends the execution of an attempt and may lose the response.
func (sim *simulation) actComplete(t *rapid.T) {
	var list []*attempt
	for _, a := range sim.attempts {
		if !a.done && a.running && !a.hostRequest.node.paused {
			list = append(list, a)
		}
	}
	sim.complete(pick(t, list, "attempt"), rapid.IntRange(0, 4).Draw(t, "lost") == 0)
}

// openMessages returns the messages that have not ended.
func (sim *simulation) openMessages() []*message {
	var list []*message
	for _, m := range sim.messages {
		if !m.done {
			list = append(list, m)
		}
	}
	return list
}

// actDeliver delivers a message that has not ended.
func (sim *simulation) actDeliver(t *rapid.T) { sim.deliver(pick(t, sim.openMessages(), "message")) }

// actReply delivers the response to a message.
func (sim *simulation) actReply(t *rapid.T) { sim.deliverReply(pick(t, sim.openMessages(), "message")) }

// actGiveUp lets the sender of a message stop waiting.
func (sim *simulation) actGiveUp(t *rapid.T) { sim.timeOut(pick(t, sim.openMessages(), "message")) }

// actLose drops a message before it leaves its host.
func (sim *simulation) actLose(t *rapid.T) { sim.dropMessage(pick(t, sim.openMessages(), "message")) }

// actJump lets minutes pass in which no host runs.
func (sim *simulation) actJump(t *rapid.T) {
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "minutes")) * time.Minute)
	sim.lastFaultAt = sim.now
}

// actCancel lets the client of a waiting request disconnect.
func (sim *simulation) actCancel(t *rapid.T) {
	var list []*hostRequest
	for _, n := range sim.activeNodes() {
		for _, r := range n.hostRequests {
			if r.waiting && r.submission != nil {
				list = append(list, r)
			}
		}
	}
	r := pick(t, list, "request")
	r.dispatch.Cancel(r.node.now())
	sim.resume(r)
}

// actCrash ends an incarnation of a host and starts another under the same name.
func (sim *simulation) actCrash(t *rapid.T) {
	sim.rapidT = t
	i := rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "host")
	sim.nodes[i].crashed = true
	sim.nodes[i] = sim.newNode(i)
	sim.lastFaultAt = sim.now
}

// actPause stops a host without ending it.
func (sim *simulation) actPause(t *rapid.T) {
	pick(t, sim.activeNodes(), "host").paused = true
	sim.lastFaultAt = sim.now
}

// actResume lets a paused host continue.
func (sim *simulation) actResume(t *rapid.T) {
	var list []*node
	for _, n := range sim.nodes {
		if n.paused {
			list = append(list, n)
		}
	}
	pick(t, list, "host").paused = false
	sim.lastFaultAt = sim.now
}

// stopTime is longer than any history, so a stopping host refuses no request.
const stopTime = 1000 * time.Hour

// actLeave starts the graceful stop of a host.
func (sim *simulation) actLeave(t *rapid.T) {
	n := pick(t, sim.activeNodes(), "host")
	n.steerer.StartDraining(core.DrainSchedule{AcceptsUntil: n.now(), End: n.now().Add(stopTime)}, n.now())
	_ = n.keeper.Release()
}

// actCut partitions two availability zones and separates one zone from the store.
func (sim *simulation) actCut(t *rapid.T) {
	pairs := [][2]core.ZoneName{{"a-1", "a-2"}, {"a-1", "b-1"}, {"a-2", "b-1"}}
	sim.partitions[pick(t, pairs, "pair")] = true
	sim.store.unreachableZones[pick(t, zones, "zone").Name] = true
	sim.lastFaultAt = sim.now
}

// actHeal ends all partitions.
func (sim *simulation) actHeal(*rapid.T) {
	clear(sim.partitions)
	clear(sim.store.unreachableZones)
	sim.lastFaultAt = sim.now
}

// actStore changes the faults of the store.
func (sim *simulation) actStore(t *rapid.T) {
	sim.store.down = rapid.Bool().Draw(t, "down")
	sim.store.lostResponses = rapid.IntRange(0, 3).Draw(t, "lose")
	sim.lastFaultAt = sim.now
}

// actTicket lets one operator create the next ticket, or two operators at the same time.
func (sim *simulation) actTicket(t *rapid.T) {
	sim.rapidT = t
	first := pick(t, sim.activeNodes(), "host")
	if rapid.Bool().Draw(t, "race") {
		second := pick(t, sim.activeNodes(), "rival")
		sim.store.beforeWrite = func() { sim.applyTicket(second) }
	}
	sim.applyTicket(first)
}

// applyTicket creates the next ticket through a node, and checks that its number was not
// accepted before.
func (sim *simulation) applyTicket(n *node) {
	configuration := n.steerer.Sequencer.Configuration()
	sim.serial++
	weight := float64(sim.serial)
	ticket := core.Ticket{
		Number: configuration.Number + 1, Author: "operator",
		Objectives: &core.Objectives{Latency: core.Weight(weight)},
	}
	nonce := strconv.Itoa(sim.serial)
	winner, err := n.archive.Accept(ticket, nonce)
	if winner.Number > 0 && winner.Objectives != nil {
		n.steerer.AddTicket(winner, n.now())
	}
	if err != nil {
		return
	}
	if known, ok := sim.acceptedWeights[ticket.Number]; ok {
		sim.rapidT.Fatalf("ticket %d was accepted twice, as %v and %v", ticket.Number, known, weight)
	}
	sim.acceptedWeights[ticket.Number] = weight
	sim.acceptedAt[ticket.Number] = sim.now
}

// actUpstream changes the behaviour of an upstream.
func (sim *simulation) actUpstream(t *rapid.T) {
	names := make([]core.UpstreamName, 0, len(sim.upstreams))
	for _, s := range []core.ServiceName{serviceLookup, serviceOrder} {
		for _, z := range zones {
			for i := range 2 {
				names = append(names, core.UpstreamName(string(s)+"-"+string(z.Name)+"-"+strconv.Itoa(i)))
			}
		}
	}
	u := sim.upstreams[pick(t, names, "upstream")]
	switch rapid.IntRange(0, 4).Draw(t, "behaviour") {
	case 0:
		u.shed = !u.shed
	case 1:
		u.drainingSince = sim.now
	case 2:
		u.listedSince = sim.now
	case 3:
		u.reportedLoad = rapid.Float64Range(0, 5).Draw(t, "reported")
	default:
		u.drainingSince, u.listedSince, u.shed = time.Time{}, time.Time{}, false
	}
}

// actTransfer sends a large body over a link as fast as the host's share permits.
func (sim *simulation) actTransfer(t *rapid.T) {
	n := pick(t, sim.activeNodes(), "host")
	to := core.RegionName("a")
	if n.steerer.Self.Zone.Region == "a" {
		to = "b"
	}
	sim.transferOverLink(n, to, core.Bytes(rapid.IntRange(1, 60).Draw(t, "chunks"))*limiter.ChunkSize)
}

// actRenewTogether lets two hosts renew their slots at the same time.
func (sim *simulation) actRenewTogether(t *rapid.T) {
	first, second := pick(t, sim.activeNodes(), "host"), pick(t, sim.activeNodes(), "rival")
	sim.store.beforeWrite = func() { _ = second.keeper.Renew(second.now()) }
	_ = first.keeper.Renew(first.now())
	sim.store.beforeWrite = nil
}

// check checks every guarantee.
func (sim *simulation) check(t *rapid.T) {
	sim.checkOperations(t)
	sim.checkLinks(t)
	sim.checkUpstreams(t)
	sim.checkTickets(t)
	if limit := attemptFactor*float64(sim.requestCount) + attemptBurst*float64(sim.incarnations); float64(sim.arrivedAttempts) > limit {
		t.Fatalf("%d attempts for %d requests", sim.arrivedAttempts, sim.requestCount)
	}
}

// checkOperations checks that operations run at most once, that requests reported as not run
// did not run, and that responses belong to their requests.
func (sim *simulation) checkOperations(t *rapid.T) {
	for i, o := range sim.operations {
		if o.executions > 1 {
			t.Fatalf("operation %d ran %d times", i, o.executions)
		}
		if o.isReportedNotRun() && o.executions > 0 {
			t.Fatalf("operation %d ran although every submission was reported as not run: %+v", i, *o.submissions[0].outcome.Refusal)
		}
	}
	for i, s := range sim.submissions {
		if s.ended && s.outcome.State == core.NotRun && s.executions > 0 {
			t.Fatalf("submission %d ran although it was reported as not run: %+v", i, *s.outcome.Refusal)
		}
		if s.ended && s.outcome.State == core.NotRun && s.operation.earlierSubmissionRan(s) {
			t.Fatalf("submission %d was reported as not run although an earlier one ran: %+v", i, *s.outcome.Refusal)
		}
		if s.ended && s.outcome.Refusal != nil && s.outcome.Refusal.Kind == core.RefusalStopping {
			t.Fatalf("submission %d was refused because its host is stopping", i)
		}
		if s.ended && s.outcome.State == core.Answered && !s.operation.hasResponse(s.outcome.Response) {
			t.Fatalf("submission %d got the response to %s", i, s.outcome.Response.Body)
		}
	}
}

// earlierSubmissionRan reports whether an earlier submission under the same key ran.
func (o *operation) earlierSubmissionRan(last *submission) bool {
	for _, s := range o.submissions {
		if s.request.Key.Text == last.request.Key.Text && s.request.Ordinal < last.request.Ordinal && s.executions > 0 {
			return true
		}
	}
	return false
}

// hasResponse reports whether a response belongs to a submission of the operation that ran.
func (o *operation) hasResponse(answer *core.Response) bool {
	for _, s := range o.submissions {
		if string(s.request.ID) == string(answer.Body) && s.executions > 0 {
			return true
		}
	}
	return false
}

// checkLinks checks the rate of every link over every window of one second.
func (sim *simulation) checkLinks(t *rapid.T) {
	for link, list := range sim.transfers {
		kept := list[:0]
		for _, s := range list {
			if sim.now.Sub(s.at) < 3*time.Second {
				kept = append(kept, s)
			}
		}
		sim.transfers[link] = kept
		for _, first := range kept {
			sum := core.Bytes(0)
			for _, s := range kept {
				if !s.at.Before(first.at) && s.at.Sub(first.at) < time.Second {
					sum += s.size
				}
			}
			if float64(sum) > linkCap.BytesPerSecond() {
				t.Fatalf("link %v carried %d bytes in a second, its cap is %.0f", link, sum, linkCap.BytesPerSecond())
			}
		}
	}
}

// checkUpstreams checks that no host exceeds the slots of an upstream, and that no upstream
// gets new requests after it has been draining for drainLimit.
func (sim *simulation) checkUpstreams(t *rapid.T) {
	for _, n := range sim.nodes {
		for name, count := range n.inFlight {
			if count > upstreamSlots {
				t.Fatalf("%s has %d requests at %s with %d slots", n.steerer.Self.Name, count, name, upstreamSlots)
			}
		}
	}
	for _, a := range sim.attempts {
		for _, since := range []time.Time{a.target.drainingSince, a.target.listedSince} {
			if !since.IsZero() && a.startedAt.Sub(since) > drainLimit {
				t.Fatalf("%s got a new request %s after it began draining", a.target.Name, a.startedAt.Sub(since))
			}
		}
	}
	sim.attempts = filter(sim.attempts, func(a *attempt) bool { return !a.done })
	sim.messages = filter(sim.messages, func(m *message) bool { return !m.done && (!m.timedOut || m.remoteRequest == nil || m.result == nil) })
}

// filter returns the elements to keep, in the same array.
func filter[T any](list []T, isKept func(T) bool) []T {
	kept := list[:0]
	for _, v := range list {
		if isKept(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

// checkTickets checks that no host returns to an earlier ticket, that each host has a ticket
// with the accepted content, and that an accepted ticket reaches every active host within
// ticketLimit of its acceptance or of the last fault.
func (sim *simulation) checkTickets(t *rapid.T) {
	for _, n := range sim.nodes {
		configuration := n.steerer.Sequencer.Configuration()
		if configuration.Number < n.number {
			t.Fatalf("%s returned from ticket %d to %d", n.steerer.Self.Name, n.number, configuration.Number)
		}
		n.number = configuration.Number
		weight, ok := sim.acceptedWeights[configuration.Number]
		if ok && float64(configuration.Objectives.Latency) != weight {
			t.Fatalf("%s has ticket %d as %v, accepted was %v",
				n.steerer.Self.Name, n.number, configuration.Objectives.Latency, weight)
		}
		for number, at := range sim.acceptedAt {
			since := at
			if sim.lastFaultAt.After(since) {
				since = sim.lastFaultAt
			}
			if n.isActive() && n.number < number && sim.now.Sub(since) > ticketLimit && !sim.hasFaults() {
				t.Fatalf("%s has ticket %d; %d was accepted %s ago", n.steerer.Self.Name, n.number, number, sim.now.Sub(at))
			}
		}
	}
}

// hasFaults reports whether there is a partition or an outage of the store.
func (sim *simulation) hasFaults() bool {
	return len(sim.partitions) > 0 || len(sim.store.unreachableZones) > 0 || sim.store.down
}

// endFaults ends all faults but those of upstreams.
func (sim *simulation) endFaults() {
	clear(sim.partitions)
	clear(sim.store.unreachableZones)
	sim.store.down, sim.store.lostResponses = false, 0
	for _, n := range sim.nodes {
		n.paused = false
	}
}

// finishAll ends all faults and checks that every request ends.
func (sim *simulation) finishAll(t *rapid.T) {
	sim.rapidT = t
	sim.endFaults()
	const rounds, timeoutRounds = 200, 50
	for round := range rounds {
		sim.advance(tickInterval)
		for _, a := range sim.attempts {
			switch {
			case a.done:
			case a.running:
				sim.complete(a, false)
			default:
				sim.arrive(a, false)
			}
		}
		for _, m := range sim.openMessages() {
			sim.deliver(m)
			sim.deliverReply(m)
			if round > timeoutRounds {
				sim.timeOut(m)
			}
		}
	}
	sim.check(t)
	for _, n := range sim.nodes {
		for _, r := range n.hostRequests {
			t.Fatalf("a request at %s never ended; last step %s", n.steerer.Self.Name, r.step.Kind)
		}
	}
}
