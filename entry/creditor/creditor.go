// Package creditor obtains credits for requests of organisations with quotas from the hosts that
// grant them, and answers the requests of other hosts for credits (see package allotter).
//
// Hosts exchange datagrams. An answer that is lost costs one credit at most; a host that does not
// answer in time is passed over for a short time, and the grantor of the next zone is asked.
//
// # Usage
//
//	c := &creditor.Creditor{Address: "10.0.0.1:7001", Allotter: a, Quota: quotaOf}
//	go c.Run(ctx)
//	credit, outcome := c.Take(ctx, organisation, quota, deadline)
//	defer c.Return(credit) // unless the request ran
package creditor

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/allotter"
	"github.com/endiverun/endiverun/entry/caller"
)

const (
	// localTimeout is how long a host of the same region may take to answer, and remoteTimeout
	// one of another region. A processor that is shared may answer after a pause.
	localTimeout  = 40 * time.Millisecond
	remoteTimeout = 300 * time.Millisecond
	// maxExhaustedTime is how long a grantor without a credit is passed over at most. It may get
	// credits back, or a higher quota, before the time that it stated.
	maxExhaustedTime = 250 * time.Millisecond
	// silenceTime is how long a host that did not answer is passed over.
	silenceTime = 300 * time.Millisecond
	// maxRemoteCalls limits the hosts of other regions that are asked for one request.
	maxRemoteCalls = 2
	// minRetryAfter is the shortest time after which a request without a credit should return.
	minRetryAfter = 50 * time.Millisecond
	// unavailableRetryAfter is that time if no grantor answered.
	unavailableRetryAfter = 300 * time.Millisecond
)

// Credit is the right to send one request.
type Credit struct {
	Organisation core.Organisation
	TakenAt      time.Time
	// grantor granted the credit; empty for a request without a quota.
	grantor core.Host
}

// IsFresh reports whether the credit may still be used.
func (c Credit) IsFresh(now time.Time) bool {
	return now.Sub(c.TakenAt) <= allotter.CreditLifetime
}

// Result says how the attempt to obtain a credit ended.
type Result uint8

// The results.
const (
	// Granted means that there is a credit.
	Granted Result = iota
	// Exhausted means that the organisation has used its quota.
	Exhausted
	// Unavailable means that no host that could grant a credit answered.
	Unavailable
)

// String returns the name of the result in metrics.
func (r Result) String() string {
	names := [...]string{"granted", "exhausted", "unavailable"}
	if int(r) < len(names) {
		return names[r]
	}
	return "invalid"
}

// Outcome is the result of Take.
type Outcome struct {
	Result Result
	// RetryAfter is the time after which the client should return if there is no credit.
	RetryAfter time.Duration
	// Asked is the number of other hosts that were asked, and Zone the zone of the host that
	// granted the credit.
	Asked int
	Zone  core.Zone
}

// Creditor obtains and grants credits for one host.
//
// Lock order: Creditor.mu is a leaf.
type Creditor struct {
	// Address is the IP address and UDP port for other hosts; all hosts use the same port.
	Address  string
	Self     core.HostName
	Allotter *allotter.Allotter
	// OnEnd is called with the outcome of each call of Take for a quota; nil ignores it.
	OnEnd func(outcome Outcome)
	// Listen opens the socket; nil means a UDP socket.
	Listen func(address string) (net.PacketConn, error)
	// OnError is called with a peer and the error if an invalid message arrives or one cannot be
	// sent; nil ignores it.
	OnError func(peer string, err error)

	mu     sync.Mutex
	socket net.PacketConn
	lastID uint64
	// pending holds the calls that wait for an answer.
	pending map[uint64]chan allotter.Answer
	// exhausted is until when the grantor of a zone has no credit, and silent until when a host
	// is passed over.
	exhausted map[bucketName]time.Time
	silent    map[core.HostName]time.Time
}

// bucketName identifies the bucket of an organisation in a zone.
type bucketName struct {
	organisation core.Organisation
	zone         core.ZoneName
}

// kind says what a message is.
type kind uint8

const (
	// ask asks for a credit, answer answers that, and giveBack returns a credit.
	ask kind = iota + 1
	answer
	giveBack
)

// message is a datagram between hosts.
type message struct {
	Kind kind `cbor:"1,keyasint"`
	// ID identifies the call that an answer belongs to.
	ID           uint64            `cbor:"2,keyasint,omitempty"`
	Organisation core.Organisation `cbor:"3,keyasint,omitempty"`
	IsGranted    bool              `cbor:"4,keyasint,omitempty"`
	IsGrantor    bool              `cbor:"5,keyasint,omitempty"`
	NextIn       time.Duration     `cbor:"6,keyasint,omitempty"`
	RetryIn      time.Duration     `cbor:"7,keyasint,omitempty"`
}

// Run answers other hosts until ctx ends.
func (c *Creditor) Run(ctx context.Context) error {
	listen := c.Listen
	if listen == nil {
		listen = caller.ListenUDP
	}
	socket, err := listen(c.Address)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.socket = socket
	c.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	c.receive(socket)
	return nil
}

// receive handles messages until the socket is closed.
func (c *Creditor) receive(socket net.PacketConn) {
	caller.ReadDatagrams(socket, func(data []byte, from net.Addr) {
		var m message
		if err := cbor.Unmarshal(data, &m); err != nil {
			c.reportError(from.String(), err)
			return
		}
		c.handle(m, from, time.Now())
	})
}

// handle handles one message.
func (c *Creditor) handle(m message, from net.Addr, now time.Time) {
	switch m.Kind {
	case ask:
		reply := message{Kind: answer, ID: m.ID, Organisation: m.Organisation}
		given := c.Allotter.Grant(m.Organisation, now)
		reply.IsGranted, reply.IsGrantor = given.IsGranted, given.IsGrantor
		reply.NextIn, reply.RetryIn = given.NextIn, given.RetryIn
		c.send(reply, from)
	case answer:
		if !c.deliver(m) && m.IsGranted {
			c.send(message{Kind: giveBack, Organisation: m.Organisation}, from)
		}
	case giveBack:
		c.Allotter.Return(m.Organisation, now)
	default:
		c.reportError(from.String(), core.ErrPeer.New("unknown kind of message %d", m.Kind))
	}
}

// deliver passes an answer to the call that waits for it, and reports whether there is one.
func (c *Creditor) deliver(m message) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting, ok := c.pending[m.ID]
	if ok {
		delete(c.pending, m.ID)
		waiting <- allotter.Answer{IsGranted: m.IsGranted, IsGrantor: m.IsGrantor, NextIn: m.NextIn, RetryIn: m.RetryIn}
	}
	return ok
}

// Take obtains a credit of the organisation. It asks the grantors of the zones one after the
// other until one grants a credit, none is left or the deadline passes.
func (c *Creditor) Take(ctx context.Context, organisation core.Organisation, quota core.Quota, deadline time.Time) (Credit, Outcome) {
	if quota.Rate <= 0 {
		return Credit{Organisation: organisation, TakenAt: time.Now()}, Outcome{}
	}
	credit, outcome := c.take(ctx, organisation, deadline)
	if c.OnEnd != nil {
		c.OnEnd(outcome)
	}
	return credit, outcome
}

// take is Take for an organisation with a quota.
func (c *Creditor) take(ctx context.Context, organisation core.Organisation, deadline time.Time) (Credit, Outcome) {
	outcome := Outcome{Result: Unavailable, RetryAfter: unavailableRetryAfter}
	remoteCalls := 0
	region := c.Allotter.Self.Zone.Region
	for _, grantor := range c.Allotter.Grantors(organisation) {
		now := time.Now()
		if ctx.Err() != nil || !now.Before(deadline) {
			break
		}
		if until, ok := c.exhaustedUntil(organisation, grantor.Zone.Name, now); ok {
			outcome.exhaust(until.Sub(now))
			continue
		}
		timeout := localTimeout
		if grantor.Zone.Region != region {
			if remoteCalls++; remoteCalls > maxRemoteCalls {
				break
			}
			timeout = remoteTimeout
		}
		given, ok := c.askGrantor(ctx, grantor, organisation, min(timeout, deadline.Sub(now)), &outcome)
		if !ok {
			continue
		}
		if given.IsGranted {
			return Credit{Organisation: organisation, TakenAt: time.Now(), grantor: grantor}, Outcome{Asked: outcome.Asked, Zone: grantor.Zone}
		}
		c.markExhausted(organisation, grantor.Zone.Name, time.Now().Add(min(given.NextIn, maxExhaustedTime)))
		outcome.exhaust(given.RetryIn)
	}
	return Credit{}, outcome
}

// exhaust records that a grantor has no credit for some time.
func (o *Outcome) exhaust(retryIn time.Duration) {
	if o.Result == Exhausted {
		retryIn = min(retryIn, o.RetryAfter)
	}
	o.Result, o.RetryAfter = Exhausted, max(retryIn, minRetryAfter)
}

// Exhausted returns the time after which the organisation may have a credit again. It returns
// false if a grantor may have one now.
func (c *Creditor) Exhausted(organisation core.Organisation, quota core.Quota, now time.Time) (time.Duration, bool) {
	if quota.Rate <= 0 {
		return 0, false
	}
	var outcome Outcome
	for _, grantor := range c.Allotter.Grantors(organisation) {
		until, ok := c.exhaustedUntil(organisation, grantor.Zone.Name, now)
		if !ok {
			return 0, false
		}
		outcome.exhaust(until.Sub(now))
	}
	return outcome.RetryAfter, outcome.Result == Exhausted
}

// Return gives back a credit whose request did not run.
func (c *Creditor) Return(credit Credit) {
	if credit.grantor.Name == "" {
		return
	}
	if credit.grantor.Name == c.Self {
		c.Allotter.Return(credit.Organisation, time.Now())
		return
	}
	address, err := netip.ParseAddrPort(credit.grantor.AddressWithPortOf(c.Address))
	if err == nil {
		c.send(message{Kind: giveBack, Organisation: credit.Organisation}, net.UDPAddrFromAddrPort(address))
	}
}

// askGrantor asks one host, which may be this one. It returns false if that host does not answer
// in time or grants no credits of the organisation.
func (c *Creditor) askGrantor(
	ctx context.Context, grantor core.Host, organisation core.Organisation, timeout time.Duration, outcome *Outcome,
) (allotter.Answer, bool) {
	if grantor.Name == c.Self {
		given := c.Allotter.Grant(organisation, time.Now())
		return given, given.IsGrantor
	}
	if c.isSilent(grantor.Name, time.Now()) {
		return allotter.Answer{}, false
	}
	outcome.Asked++
	given, ok := c.call(ctx, grantor, organisation, timeout)
	if !ok && ctx.Err() == nil {
		c.markSilent(grantor.Name, time.Now().Add(silenceTime))
	}
	return given, ok && given.IsGrantor
}

// call asks another host and waits for its answer. It returns false if there is none in time.
func (c *Creditor) call(
	ctx context.Context, grantor core.Host, organisation core.Organisation, timeout time.Duration,
) (allotter.Answer, bool) {
	address, err := netip.ParseAddrPort(grantor.AddressWithPortOf(c.Address))
	if err != nil {
		c.reportError(string(grantor.Name), err)
		return allotter.Answer{}, false
	}
	waiting := make(chan allotter.Answer, 1)
	id := c.register(waiting)
	c.send(message{Kind: ask, ID: id, Organisation: organisation}, net.UDPAddrFromAddrPort(address))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case given := <-waiting:
		return given, true
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
	select {
	case given := <-waiting: // The answer came just now.
		return given, true
	default:
		return allotter.Answer{}, false
	}
}

// register returns the ID of a new call.
func (c *Creditor) register(waiting chan allotter.Answer) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = map[uint64]chan allotter.Answer{}
		// Answers to calls of an earlier process of the host must not match.
		c.lastID = uint64(time.Now().UnixNano())
	}
	c.lastID++
	c.pending[c.lastID] = waiting
	return c.lastID
}

func (c *Creditor) send(m message, to net.Addr) {
	c.mu.Lock()
	socket := c.socket
	c.mu.Unlock()
	if socket == nil {
		return
	}
	data, err := cbor.Marshal(m)
	if err == nil {
		_, err = socket.WriteTo(data, to)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.reportError(to.String(), err)
	}
}

func (c *Creditor) exhaustedUntil(organisation core.Organisation, zone core.ZoneName, now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := bucketName{organisation, zone}
	until, ok := c.exhausted[name]
	if ok && !now.Before(until) {
		delete(c.exhausted, name)
		return time.Time{}, false
	}
	return until, ok
}

func (c *Creditor) markExhausted(organisation core.Organisation, zone core.ZoneName, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exhausted == nil {
		c.exhausted = map[bucketName]time.Time{}
	}
	c.exhausted[bucketName{organisation, zone}] = until
}

func (c *Creditor) isSilent(host core.HostName, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.silent[host])
}

func (c *Creditor) markSilent(host core.HostName, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent == nil {
		c.silent = map[core.HostName]time.Time{}
	}
	c.silent[host] = until
}

func (c *Creditor) reportError(peer string, err error) {
	if c.OnError != nil {
		c.OnError(peer, err)
	}
}
