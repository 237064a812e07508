package simulator

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/limiter"
	"github.com/endiverun/endiverun/core/router"
)

// Bounds that the brief states.
const (
	drainLimit    = 3 * time.Second
	ticketLimit   = 5 * time.Second
	attemptFactor = 1.1
	attemptBurst  = 10
)

// TestPromises checks every promise after every step of random histories.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"":               w.check,
			"order":          w.actOrder,
			"lookup":         w.actLookup,
			"send-again":     w.actSendAgain,
			"arrive":         w.actArrive,
			"complete":       w.actComplete,
			"deliver":        w.actDeliver,
			"reply":          w.actReply,
			"give-up":        w.actGiveUp,
			"lose":           w.actLose,
			"advance":        func(t *rapid.T) { w.random = t; w.advance(drawTime(t, 2000)) },
			"advance-long":   func(t *rapid.T) { w.random = t; w.advance(drawTime(t, 20_000)) },
			"jump":           w.actJump,
			"cancel":         w.actCancel,
			"crash":          w.actCrash,
			"pause":          w.actPause,
			"resume":         w.actResume,
			"leave":          w.actLeave,
			"cut":            w.actCut,
			"heal":           w.actHeal,
			"store":          w.actStore,
			"ticket":         w.actTicket,
			"upstream":       w.actUpstream,
			"transfer":       w.actTransfer,
			"renew-together": w.actRenewTogether,
		})
		w.settleAll(rt)
	})
}

func drawTime(t *rapid.T, most int) time.Duration {
	return time.Duration(rapid.IntRange(10, most).Draw(t, "milliseconds")) * time.Millisecond
}

// pick draws one of a list; it skips the step where the list is empty.
func pick[T any](t *rapid.T, list []T, label string) T {
	if len(list) == 0 {
		t.Skip("none")
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, label)]
}

func (w *world) acting() []*node {
	var nodes []*node
	for _, n := range w.nodes {
		if n.acts() {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (w *world) actOrder(t *rapid.T) {
	w.random = t
	o := &order{service: serviceOrder}
	to := pick(t, w.acting(), "host")
	key := w.drawKey(t, to)
	w.orders = append(w.orders, o)
	w.sendOrder(o, to, key, 0, drawSize(t))
}

func drawSize(t *rapid.T) int {
	return rapid.SampledFrom([]int{10, 10, 5000, 60_000}).Draw(t, "size")
}

// drawKey draws a home-bound key from a route answer, or a client's own.
func (w *world) drawKey(t *rapid.T, asked *node) core.Key {
	w.serial++
	nonce := strconv.Itoa(w.serial)
	if rapid.IntRange(0, 3).Draw(t, "own-key") == 0 {
		return core.Key{Text: "own-" + nonce}
	}
	query := router.Query{Service: serviceOrder, Zone: asked.steerer.Self.Zone}
	route := asked.steerer.Router.Route(query, 1, asked.now())
	target := pick(t, route.Hosts, "home")
	incarnation, err := core.ParseIncarnation(target.Incarnation)
	if err != nil {
		t.Fatal(err)
	}
	life := core.Life{Host: target.Name, Incarnation: incarnation}
	return core.NewHomeKey(life, nonce, time.Unix(target.Second, 0))
}

func (w *world) actLookup(t *rapid.T) {
	w.random = t
	o := &order{service: serviceLookup}
	w.sendOrder(o, pick(t, w.acting(), "host"), core.Key{}, 0, drawSize(t))
}

// actSendAgain does what a client may do: send again under the same key, or
// under a new one once every send was said not to have run.
func (w *world) actSendAgain(t *rapid.T) {
	w.random = t
	o := pick(t, w.orders, "order")
	to := pick(t, w.acting(), "host")
	last := o.sends[len(o.sends)-1]
	if o.isRefused() {
		w.sendOrder(o, to, w.drawKey(t, to), 0, len(last.request.Body))
		return
	}
	w.sendOrder(o, to, last.request.Key, last.request.Ordinal+1, len(last.request.Body))
}

// isRefused reports whether every send was said not to have run.
func (o *order) isRefused() bool {
	for _, s := range o.sends {
		if !s.ended || s.outcome.State != core.NotRun {
			return false
		}
	}
	return true
}

func (w *world) actArrive(t *rapid.T) {
	w.random = t
	var list []*attempt
	for _, a := range w.attempts {
		if !a.done && !a.running && !a.flow.node.paused {
			list = append(list, a)
		}
	}
	w.reach(pick(t, list, "attempt"), rapid.IntRange(0, 9).Draw(t, "refused") == 0)
}

func (w *world) actComplete(t *rapid.T) {
	var list []*attempt
	for _, a := range w.attempts {
		if !a.done && a.running && !a.flow.node.paused {
			list = append(list, a)
		}
	}
	w.complete(pick(t, list, "attempt"), rapid.IntRange(0, 4).Draw(t, "lost") == 0)
}

func (w *world) open() []*message {
	var list []*message
	for _, m := range w.messages {
		if !m.done {
			list = append(list, m)
		}
	}
	return list
}

func (w *world) actDeliver(t *rapid.T) { w.deliver(pick(t, w.open(), "message")) }
func (w *world) actReply(t *rapid.T)   { w.reply(pick(t, w.open(), "message")) }
func (w *world) actGiveUp(t *rapid.T)  { w.giveUp(pick(t, w.open(), "message")) }

func (w *world) actLose(t *rapid.T) { w.lose(pick(t, w.open(), "message")) }

// actJump lets minutes pass in which no host does anything.
func (w *world) actJump(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "minutes")) * time.Minute)
	w.disturbed = w.now
}

// actCancel lets the client of a waiting request go away.
func (w *world) actCancel(t *rapid.T) {
	var list []*flow
	for _, n := range w.acting() {
		for _, f := range n.flows {
			if f.waiting && f.send != nil {
				list = append(list, f)
			}
		}
	}
	f := pick(t, list, "request")
	f.dispatch.Cancel(f.node.now())
	w.proceed(f)
}

// actCrash ends a life; another begins under the same name.
func (w *world) actCrash(t *rapid.T) {
	w.random = t
	i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "host")
	w.nodes[i].dead = true
	w.nodes[i] = w.newNode(i)
	w.disturbed = w.now
}

func (w *world) actPause(t *rapid.T) {
	pick(t, w.acting(), "host").paused = true
	w.disturbed = w.now
}

func (w *world) actResume(t *rapid.T) {
	var list []*node
	for _, n := range w.nodes {
		if n.paused {
			list = append(list, n)
		}
	}
	pick(t, list, "host").paused = false
	w.disturbed = w.now
}

// actLeave begins a planned stop.
func (w *world) actLeave(t *rapid.T) {
	n := pick(t, w.acting(), "host")
	n.steerer.Leave(n.now())
	_ = n.keeper.Release()
}

func (w *world) actCut(t *rapid.T) {
	pairs := [][2]core.ZoneName{{"a-1", "a-2"}, {"a-1", "b-1"}, {"a-2", "b-1"}}
	w.cuts[pick(t, pairs, "pair")] = true
	w.store.cut[pick(t, zones, "zone").Name] = true
	w.disturbed = w.now
}

func (w *world) actHeal(*rapid.T) {
	clear(w.cuts)
	clear(w.store.cut)
	w.disturbed = w.now
}

func (w *world) actStore(t *rapid.T) {
	w.store.down = rapid.Bool().Draw(t, "down")
	w.store.lose = rapid.IntRange(0, 3).Draw(t, "lose")
	w.disturbed = w.now
}

// actTicket has one or two operators apply the next ticket.
func (w *world) actTicket(t *rapid.T) {
	w.random = t
	first := pick(t, w.acting(), "host")
	if rapid.Bool().Draw(t, "race") {
		second := pick(t, w.acting(), "rival")
		w.store.between = func() { w.apply(second) }
	}
	w.apply(first)
}

func (w *world) apply(n *node) {
	configuration := n.steerer.Sequencer.Configuration()
	w.serial++
	weight := float64(w.serial)
	ticket := core.Ticket{
		Number: configuration.Number + 1, Author: "operator",
		Objectives: &core.Objectives{Latency: core.Weight(weight)},
	}
	nonce := strconv.Itoa(w.serial)
	winner, err := n.archive.Accept(ticket, nonce)
	if winner.Number > 0 && winner.Objectives != nil {
		n.steerer.Offer(winner, n.now())
	}
	if err != nil {
		return
	}
	if known, ok := w.contents[ticket.Number]; ok {
		w.random.Fatalf("ticket %d was accepted twice, as %v and %v", ticket.Number, known, weight)
	}
	w.contents[ticket.Number] = weight
	w.accepted[ticket.Number] = w.now
}

// actUpstream changes how an upstream behaves.
func (w *world) actUpstream(t *rapid.T) {
	names := make([]core.UpstreamName, 0, len(w.upstreams))
	for _, s := range []core.ServiceName{serviceLookup, serviceOrder} {
		for _, z := range zones {
			for i := range 2 {
				names = append(names, core.UpstreamName(string(s)+"-"+string(z.Name)+"-"+strconv.Itoa(i)))
			}
		}
	}
	u := w.upstreams[pick(t, names, "upstream")]
	switch rapid.IntRange(0, 4).Draw(t, "behaviour") {
	case 0:
		u.shed = !u.shed
	case 1:
		u.leaving = w.now
	case 2:
		u.listed = w.now
	case 3:
		u.reported = rapid.Float64Range(0, 5).Draw(t, "reported")
	default:
		u.leaving, u.listed, u.shed = time.Time{}, time.Time{}, false
	}
}

// actTransfer sends a large body over a link as fast as the share permits.
func (w *world) actTransfer(t *rapid.T) {
	n := pick(t, w.acting(), "host")
	to := core.RegionName("a")
	if n.steerer.Self.Zone.Region == "a" {
		to = "b"
	}
	w.spend(n, to, core.Bytes(rapid.IntRange(1, 60).Draw(t, "chunks"))*limiter.ChunkSize)
}

// actRenewTogether lets two hosts race for the slots of their region.
func (w *world) actRenewTogether(t *rapid.T) {
	first, second := pick(t, w.acting(), "host"), pick(t, w.acting(), "rival")
	w.store.between = func() { _ = second.keeper.Renew(second.now()) }
	_ = first.keeper.Renew(first.now())
	w.store.between = nil
}

// check is the oracle.
func (w *world) check(t *rapid.T) {
	w.checkOrders(t)
	w.checkLinks(t)
	w.checkUpstreams(t)
	w.checkTickets(t)
	if limit := attemptFactor*float64(w.requests) + attemptBurst*float64(w.serial); float64(w.runs) > limit {
		t.Fatalf("%d attempts for %d requests", w.runs, w.requests)
	}
}

func (w *world) checkOrders(t *rapid.T) {
	for i, o := range w.orders {
		if o.runs > 1 {
			t.Fatalf("order %d ran %d times", i, o.runs)
		}
		if o.isRefused() && o.runs > 0 {
			t.Fatalf("order %d ran although every send was said not to have run: %+v", i, *o.sends[0].outcome.Refusal)
		}
	}
	for i, s := range w.sends {
		if s.ended && s.outcome.State == core.NotRun && s.runs > 0 {
			t.Fatalf("send %d ran although it was said not to have run: %+v", i, *s.outcome.Refusal)
		}
		if s.ended && s.outcome.State == core.NotRun && s.order.ranBefore(s) {
			t.Fatalf("send %d was said not to have run, an earlier one ran: %+v", i, *s.outcome.Refusal)
		}
		if s.ended && s.outcome.Refusal != nil && s.outcome.Refusal.Kind == core.RefusalStopping {
			t.Fatalf("send %d was refused because its host stops", i)
		}
		if s.ended && s.outcome.State == core.Answered && !s.order.owns(s.outcome.Answer) {
			t.Fatalf("send %d got the answer to %s", i, s.outcome.Answer.Body)
		}
	}
}

// ranBefore reports whether an earlier send under the same key ran.
func (o *order) ranBefore(last *send) bool {
	for _, s := range o.sends {
		if s.request.Key.Text == last.request.Key.Text && s.request.Ordinal < last.request.Ordinal && s.runs > 0 {
			return true
		}
	}
	return false
}

// owns reports whether an answer belongs to a send of the order that ran.
func (o *order) owns(answer *core.Answer) bool {
	for _, s := range o.sends {
		if string(s.request.ID) == string(answer.Body) && s.runs > 0 {
			return true
		}
	}
	return false
}

// checkLinks looks at every window of one second.
func (w *world) checkLinks(t *rapid.T) {
	for link, list := range w.spent {
		kept := list[:0]
		for _, s := range list {
			if w.now.Sub(s.at) < 3*time.Second {
				kept = append(kept, s)
			}
		}
		w.spent[link] = kept
		for _, first := range kept {
			sum := core.Bytes(0)
			for _, s := range kept {
				if !s.at.Before(first.at) && s.at.Sub(first.at) < time.Second {
					sum += s.n
				}
			}
			if float64(sum) > linkCap.PerSecond() {
				t.Fatalf("link %v carried %d bytes in a second, its cap is %.0f", link, sum, linkCap.PerSecond())
			}
		}
	}
}

func (w *world) checkUpstreams(t *rapid.T) {
	for _, n := range w.nodes {
		for name, count := range n.running {
			if count > upstreamSlots {
				t.Fatalf("%s has %d requests at %s with %d slots", n.steerer.Self.Name, count, name, upstreamSlots)
			}
		}
	}
	for _, a := range w.attempts {
		for _, since := range []time.Time{a.up.leaving, a.up.listed} {
			if !since.IsZero() && a.begun.Sub(since) > drainLimit {
				t.Fatalf("%s got new work %s after it began to leave", a.up.Name, a.begun.Sub(since))
			}
		}
	}
	w.attempts = keep(w.attempts, func(a *attempt) bool { return !a.done })
	w.messages = keep(w.messages, func(m *message) bool { return !m.done && (!m.gaveUp || m.child == nil || m.result == nil) })
}

func keep[T any](list []T, isKept func(T) bool) []T {
	kept := list[:0]
	for _, v := range list {
		if isKept(v) {
			kept = append(kept, v)
		}
	}
	return kept
}

func (w *world) checkTickets(t *rapid.T) {
	for _, n := range w.nodes {
		configuration := n.steerer.Sequencer.Configuration()
		if configuration.Number < n.number {
			t.Fatalf("%s went back from ticket %d to %d", n.steerer.Self.Name, n.number, configuration.Number)
		}
		n.number = configuration.Number
		weight, ok := w.contents[configuration.Number]
		if ok && float64(configuration.Objectives.Latency) != weight {
			t.Fatalf("%s has ticket %d as %v, accepted was %v",
				n.steerer.Self.Name, n.number, configuration.Objectives.Latency, weight)
		}
		for number, at := range w.accepted {
			since := at
			if w.disturbed.After(since) {
				since = w.disturbed
			}
			if n.acts() && n.number < number && w.now.Sub(since) > ticketLimit && !w.isDisturbed() {
				t.Fatalf("%s has ticket %d; %d was accepted %s ago", n.steerer.Self.Name, n.number, number, w.now.Sub(at))
			}
		}
	}
}

// isDisturbed reports whether any cut or outage lasts.
func (w *world) isDisturbed() bool {
	return len(w.cuts) > 0 || len(w.store.cut) > 0 || w.store.down
}

// settleAll ends all faults and checks that every request comes to an end.
func (w *world) settleAll(t *rapid.T) {
	w.random = t
	clear(w.cuts)
	clear(w.store.cut)
	w.store.down, w.store.lose = false, 0
	for _, n := range w.nodes {
		n.paused = false
	}
	const rounds, patience = 200, 50
	for round := range rounds {
		w.advance(tickEvery)
		for _, a := range w.attempts {
			switch {
			case a.done:
			case a.running:
				w.complete(a, false)
			default:
				w.reach(a, false)
			}
		}
		for _, m := range w.open() {
			w.deliver(m)
			w.reply(m)
			if round > patience {
				w.giveUp(m)
			}
		}
	}
	w.check(t)
	for _, n := range w.nodes {
		for _, f := range n.flows {
			t.Fatalf("a request at %s never ended; last step %s", n.steerer.Self.Name, f.step.Kind)
		}
	}
}
