package replicator_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/replicator"
)

const (
	// maxRewriteTime is the time after a restore within which the operator and live upstreams
	// write again. It leaves each host the time to read that before its grace period ends.
	maxRewriteTime = 2 * time.Second
	// entryExpiry is the time after a restore at which the entries of silent upstreams end.
	entryExpiry = 3 * 1500 * time.Millisecond
	maxStep     = 400 * time.Millisecond
	// maxStoreAge is the time for which a host follows one that does not reach the store, and
	// outageTime that without responses after which registrations may have expired.
	maxStoreAge = 1500 * time.Millisecond
	outageTime  = 3 * time.Second
	// outageGrace is how long after an outage missing upstreams are retained.
	outageGrace = 2 * time.Second
)

// drill is a fleet whose store comes back from older copies while upstreams start, drain and
// end. Every upstream writes its own registration.
type drill struct {
	t     *rapid.T
	now   time.Time
	store storeModel
	// processes holds the newest incarnation of each upstream, and hasEnded which ended.
	processes map[string]core.Upstream
	hasEnded  map[string]bool
	// isOrdered says that the operator wants the zone evacuated.
	isOrdered bool
	// writes are those that follow a restore, by the time at which they are made.
	writes  []pendingWrite
	answers []replicator.Snapshot
	hosts   []*drillHost
	// starter is a host that starts in between and reads the store at each step; nil before.
	starter *replicator.Replicator
}

// pendingWrite is a write to the store that is made at a later time.
type pendingWrite struct {
	at    time.Time
	write func()
}

// drillHost is a host's copy, with what it has held so far.
type drillHost struct {
	*replicator.Replicator
	name string
	// ended holds the last incarnation of each upstream that the copy held as draining, or
	// that an update removed from it after its end.
	ended map[core.UpstreamName]core.Incarnation
	// settled is the time at which the copy has settled after a restore, if the store has
	// confirmed the list of upstreams then or later.
	settled      time.Time
	lastResponse time.Time
	// confirmed is when the store last confirmed the list of upstreams in the copy's era.
	confirmed time.Time
	// graceUntil is the end of the grace period after a time without any response.
	graceUntil time.Time
	held       []core.Upstream
	// wasProvisional says that held may include upstreams whose registrations had expired. One
	// that is then missing need not have ended.
	wasProvisional bool
}

// TestRestoredStore guards against requests to upstreams that drain or have ended, and against
// the loss of live ones, while the store comes back from older copies. Two hosts read the
// store, one of them at each step, and one follows either of them. Until its copy has
// settled, no host lists an upstream as ready that it held as draining or saw ending, and
// the host that reads at each step never loses a live upstream nor an evacuation. Afterwards
// each copy equals the store. Late answers of an earlier era or revision change nothing. A
// host that starts in between holds, once told, what the host holds that was there before.
func TestRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &drill{t: t, now: start, processes: map[string]core.Upstream{}, hasEnded: map[string]bool{}}
		for _, name := range []string{"prompt", "slow", "follower"} {
			d.hosts = append(d.hosts, &drillHost{
				Replicator: &replicator.Replicator{}, name: name, ended: map[core.UpstreamName]core.Incarnation{},
			})
		}
		d.write(map[string]core.Upstream{})
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			d.advance(time.Duration(rapid.IntRange(0, int(maxStep.Milliseconds())).Draw(t, "ms")) * time.Millisecond)
			d.act()
			d.read(d.hosts[0])
			d.readAsStarter()
			d.learnLater()
			d.check()
		}
		for range 40 { // until every write has been made and every copy has settled
			d.advance(maxStep)
			d.read(d.hosts[0])
			d.read(d.hosts[1])
			d.follow(d.hosts[0])
			d.readAsStarter()
			d.check()
		}
		for _, h := range d.hosts {
			d.requireStored(h)
		}
	})
}

// advance lets time pass, with the writes and the periodic steps that are due.
func (d *drill) advance(step time.Duration) {
	d.now = d.now.Add(step)
	var later []pendingWrite
	for _, w := range d.writes {
		if d.now.Before(w.at) {
			later = append(later, w)
			continue
		}
		w.write()
	}
	d.writes = later
	for _, h := range d.hosts {
		d.settle(h)
	}
	if d.starter != nil {
		d.starter.Settle(d.now)
	}
}

// settle makes the periodic step of a host. What the host then no longer retains need not
// have ended.
func (d *drill) settle(h *drillHost) {
	h.Settle(d.now)
	h.held = slices.DeleteFunc(slices.Clone(h.held), func(u core.Upstream) bool {
		isLost := !h.lists(u.Name)
		if isLost {
			d.checkKept(h, u)
		}
		return isLost
	})
}

// lists reports whether the copy has an upstream of the name.
func (h *drillHost) lists(name core.UpstreamName) bool {
	u := h.Snapshot().Upstreams
	return u != nil && slices.ContainsFunc(u.List, func(other core.Upstream) bool { return other.Name == name })
}

// checkKept fails the test if an upstream that a host no longer lists is live, unless the host
// does not read the store at each step.
func (d *drill) checkKept(h *drillHost, u core.Upstream) {
	if h.name == "prompt" && !u.Draining && d.isLive(u) {
		d.t.Fatalf("%s has lost %s, which is live", h.name, u.Name)
	}
}

// isLive reports whether this incarnation of an upstream is alive.
func (d *drill) isLive(u core.Upstream) bool {
	return d.processes[string(u.Name)].Incarnation == u.Incarnation && !d.hasEnded[string(u.Name)]
}

// act makes one random thing happen.
func (d *drill) act() {
	name := fmt.Sprint("u-", rapid.IntRange(0, 4).Draw(d.t, "upstream"))
	isAlive := d.processes[name].Incarnation > 0 && !d.hasEnded[name]
	actions := []string{"start", "start", "drain", "stop", "crash", "cool", "evacuate", "restore", "read", "follow", "late", "other", "begin"}
	switch rapid.SampledFrom(actions).Draw(d.t, "action") {
	case "start":
		if !isAlive {
			d.start(name)
		}
	case "drain":
		if isAlive {
			d.update(name, func(u *core.Upstream) { u.Draining = true })
		}
	case "cool":
		if isAlive {
			d.update(name, func(u *core.Upstream) { u.ColdUntil = d.now.Add(3 * time.Second) })
		}
	case "stop":
		if isAlive {
			d.hasEnded[name] = true
			d.removeEntry(name)
		}
	case "crash":
		if isAlive {
			d.hasEnded[name] = true
			d.expire(name)
		}
	case "evacuate":
		d.isOrdered = !d.isOrdered
		d.writeOrder()
	case "restore":
		d.restore()
	case "read":
		d.read(d.hosts[1])
	case "follow":
		d.follow(d.hosts[rapid.IntRange(0, 1).Draw(d.t, "reader")])
	case "other":
		// The store answers a call about something else than upstreams.
		d.respond(d.hosts[rapid.IntRange(1, 2).Draw(d.t, "host")])
	case "begin":
		d.starter = &replicator.Replicator{}
		if rapid.Bool().Draw(d.t, "told first") {
			d.tell()
		}
	case "late":
		h := d.hosts[rapid.IntRange(0, 2).Draw(d.t, "host")]
		d.answerLate(h, d.answers[rapid.IntRange(0, len(d.answers)-1).Draw(d.t, "answer")])
	}
}

// start starts the next incarnation of an upstream, which registers.
func (d *drill) start(name string) {
	d.hasEnded[name] = false
	d.processes[name] = core.Upstream{
		Name: core.UpstreamName(name), Incarnation: d.processes[name].Incarnation + 1, ColdUntil: d.now.Add(time.Second),
	}
	d.writeEntry(name)
}

// update changes the state of a live upstream, which writes it.
func (d *drill) update(name string, change func(u *core.Upstream)) {
	u := d.processes[name]
	change(&u)
	d.processes[name] = u
	d.writeEntry(name)
}

// write replaces the registrations in the store.
func (d *drill) write(registered map[string]core.Upstream) {
	d.store.change(registered)
	answer := d.store.list()
	answer.Evacuations = &replicator.Evacuations{Revision: d.store.revision, Zones: d.store.zones()}
	d.answers = append(d.answers, answer)
}

// writeEntry writes the present state of an upstream, if it is alive.
func (d *drill) writeEntry(name string) {
	if d.hasEnded[name] || d.store.registered[name] == d.processes[name] {
		return
	}
	registered := maps.Clone(d.store.registered)
	registered[name] = d.processes[name]
	d.write(registered)
}

// removeEntry removes the entry of an upstream that has ended.
func (d *drill) removeEntry(name string) {
	if _, ok := d.store.registered[name]; !ok || !d.hasEnded[name] {
		return
	}
	registered := maps.Clone(d.store.registered)
	delete(registered, name)
	d.write(registered)
}

// expire lets the entry of a silent upstream end after its heartbeats have been missing.
func (d *drill) expire(name string) {
	d.later(entryExpiry, func() { d.removeEntry(name) })
}

// writeOrder writes whether the operator wants the zone evacuated.
func (d *drill) writeOrder() {
	if d.store.isEvacuated != d.isOrdered {
		d.store.isEvacuated = d.isOrdered
		d.write(d.store.registered)
	}
}

// later plans a write.
func (d *drill) later(after time.Duration, write func()) {
	d.writes = append(d.writes, pendingWrite{at: d.now.Add(after), write: write})
}

// restore lets the store come back from a copy. The operator and live upstreams write again,
// and the entries of the others expire.
func (d *drill) restore() {
	d.store.restore(rapid.IntRange(max(0, len(d.store.history)-12), len(d.store.history)-1).Draw(d.t, "copy"))
	rewriteTime := func() time.Duration {
		return time.Duration(rapid.IntRange(0, int(maxRewriteTime.Milliseconds())).Draw(d.t, "rewrite")) * time.Millisecond
	}
	d.writes = nil
	d.later(rewriteTime(), d.writeOrder)
	for _, name := range slices.Sorted(maps.Keys(d.processes)) {
		d.later(rewriteTime(), func() { d.writeEntry(name) })
		d.expire(name)
	}
}

// apply passes an update to a host and records what its copy held.
func (d *drill) apply(h *drillHost, update replicator.Snapshot) {
	before, hasContents := h.Snapshot().Era, h.Snapshot().Upstreams != nil
	h.ApplyUpdate(update, d.now)
	if h.Snapshot().Era > before {
		h.confirmed = time.Time{}
	}
	isHolding := update.Upstreams != nil && update.Upstreams.IsSettling || update.Knowledge != nil && update.Knowledge.IsSettling
	isSettling := isHolding && h.hasSettled()
	if h.Snapshot().Era > before && hasContents || isSettling {
		h.settled = d.now.Add(settleTime)
	}
}

// read lets a host read the store.
func (d *drill) read(h *drillHost) {
	update := d.store.list()
	update.Evacuations = &replicator.Evacuations{Revision: d.store.revision, Zones: d.store.zones()}
	d.apply(h, update)
	h.confirm(d.store.era, d.now)
	d.respond(h)
	if h.hasSettled() && !d.now.Before(h.graceUntil) {
		d.requireStored(h)
	}
}

// readAsStarter lets the starter read the store, and tells it what it may lack. It then must
// hold what the host does that was there before.
func (d *drill) readAsStarter() {
	if d.starter == nil {
		return
	}
	update := d.store.list()
	update.Evacuations = &replicator.Evacuations{Revision: d.store.revision, Zones: d.store.zones()}
	d.starter.ApplyUpdate(update, d.now)
	d.starter.ConfirmUpstreams(d.store.era, d.now)
	d.starter.RecordStoreResponse(d.now)
	d.starter.Settle(d.now)
	if d.starter.LacksKnowledge() && d.hosts[0].HasKnowledge() {
		d.tell()
	}
	known, copied := d.hosts[0].Snapshot(), d.starter.Snapshot()
	requireListed(d.t, known.Upstreams.List, copied.Upstreams.List)
	if !slices.Equal(known.Evacuations.Zones, copied.Evacuations.Zones) {
		d.t.Fatalf("the starter holds the zones %v, the host before %v", copied.Evacuations.Zones, known.Evacuations.Zones)
	}
}

// tell gives the starter the full lists of the host that was there before, with what it knows.
func (d *drill) tell() {
	d.starter.ApplyUpdate(d.hosts[0].ChangesSince(core.Revisions{Era: d.starter.Held().Era}, d.now), d.now)
}

// learnLater lets each host ask one that knew a later list of upstreams before the restore. It then
// lists no upstream as ready that the other host knows to have ended.
func (d *drill) learnLater() {
	for _, h := range d.hosts[1:] {
		for _, other := range d.hosts {
			known, isHeld := h.KnownBefore()
			later, isTold := other.KnownBefore()
			if !isHeld || !isTold || h.LacksKnowledge() || h.Snapshot().Era != other.Snapshot().Era || !known.IsBehind(later) {
				continue
			}
			d.apply(h, other.ChangesSince(core.Revisions{Era: h.Held().Era}, d.now))
			if after, _ := h.KnownBefore(); after.IsBehind(later) {
				d.t.Fatalf("%s still knows less than %s: %+v", h.name, other.name, after)
			}
			d.requireEnds(h, other)
		}
	}
}

// requireEnds fails the test if a host lists an upstream as ready that another one lists as draining,
// or no longer lists since it has ended.
func (d *drill) requireEnds(h, other *drillHost) {
	for _, u := range h.Snapshot().Upstreams.List {
		isDraining := slices.ContainsFunc(other.Snapshot().Upstreams.List, func(v core.Upstream) bool {
			return v.Name == u.Name && v.Incarnation == u.Incarnation && v.Draining
		})
		hasEnded := !d.isLive(u) && u.Incarnation <= other.ended[u.Name] && !other.lists(u.Name)
		if !u.Draining && (isDraining || hasEnded) {
			d.t.Fatalf("%s lists incarnation %d of %s as ready, unlike %s", h.name, u.Incarnation, u.Name, other.name)
		}
	}
}

// respond records a response of the store to a host.
func (d *drill) respond(h *drillHost) {
	if d.now.Sub(h.lastResponse) > outageTime {
		h.graceUntil = d.now.Add(outageGrace)
	}
	h.lastResponse = d.now
	h.RecordStoreResponse(d.now)
	d.settle(h)
}

// confirm records that the store confirmed the list of upstreams in an era.
func (h *drillHost) confirm(era core.Era, at time.Time) {
	h.ConfirmUpstreams(era, at)
	if era == h.Snapshot().Era && at.After(h.confirmed) {
		h.confirmed = at
	}
}

// hasSettled reports whether the copy has settled after the last restore.
func (h *drillHost) hasSettled() bool {
	return !h.confirmed.Before(h.settled)
}

// follow lets the follower fetch the changes of a reader that has reached the store lately.
func (d *drill) follow(reader *drillHost) {
	h := d.hosts[2]
	if d.now.Sub(reader.lastResponse) > maxStoreAge {
		return
	}
	if h.Held().IsBehind(reader.Snapshot().Revisions()) {
		d.apply(h, reader.ChangesSince(h.Held(), d.now))
	}
	if !h.Held().IsBehind(reader.Snapshot().Revisions()) {
		h.confirm(reader.Snapshot().Era, reader.confirmed)
	}
	d.respond(h)
}

// answerLate passes an answer of the store to a host that may know a later one.
func (d *drill) answerLate(h *drillHost, answer replicator.Snapshot) {
	before := h.Snapshot()
	d.apply(h, answer)
	isEarlier := answer.Era < before.Era || answer.Era == before.Era && answer.Upstreams.Revision < before.Revisions().Upstreams
	if isEarlier && h.Snapshot() != before {
		d.t.Fatalf("%s: an answer of era %d, revision %d changed %+v", h.name, answer.Era, answer.Upstreams.Revision, before.Revisions())
	}
}

// check fails the test if a host lists what it knows to have ended, or has lost what is live.
func (d *drill) check() {
	for _, h := range d.hosts {
		if h.Snapshot().Upstreams == nil {
			continue
		}
		list := h.Snapshot().Upstreams.List
		d.checkEnded(h, list)
		for _, u := range h.held {
			if h.lists(u.Name) {
				continue
			}
			d.checkKept(h, u)
			if !d.isLive(u) && !h.wasProvisional {
				h.ended[u.Name] = max(h.ended[u.Name], u.Incarnation)
			}
		}
		for _, u := range list {
			if u.Draining {
				h.ended[u.Name] = max(h.ended[u.Name], u.Incarnation)
			}
		}
		h.held, h.wasProvisional = list, h.Snapshot().Upstreams.MayIncludeExpired
	}
	prompt := d.hosts[0].Snapshot().Evacuations
	if d.isOrdered && prompt != nil && len(prompt.Zones) == 0 {
		d.t.Fatal("the evacuation of the zone is no longer in force")
	}
}

// checkEnded fails the test if the list has an upstream as ready that the host knows to have
// ended, unless the copy has settled and may lack the end of the entry.
func (d *drill) checkEnded(h *drillHost, list []core.Upstream) {
	// A follower takes what its reader retains because it does not know that it has ended.
	isRetaining := h.name == "follower" && h.Snapshot().Upstreams.MayIncludeExpired
	if isRetaining || !h.settled.IsZero() && h.hasSettled() {
		return
	}
	for _, u := range list {
		if !u.Draining && u.Incarnation <= h.ended[u.Name] {
			d.t.Fatalf("%s lists incarnation %d of %s, which has ended or drains", h.name, u.Incarnation, u.Name)
		}
	}
}

// requireStored fails the test if the copy differs from the store.
func (d *drill) requireStored(h *drillHost) {
	copied := h.Snapshot()
	requireListed(d.t, d.store.list().Upstreams.List, copied.Upstreams.List)
	if !slices.Equal(copied.Evacuations.Zones, d.store.zones()) {
		d.t.Fatalf("%s holds the zones %v, the store %v", h.name, copied.Evacuations.Zones, d.store.zones())
	}
}
