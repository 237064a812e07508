// Package server runs one entry host. It connects the decisions of package steerer
// with clients, upstreams, other hosts and the platform.
//
// # Usage
//
//	s := &server.Server{Settings: settings, Log: os.Stderr}
//	err := s.Run(ctx) // returns after the graceful stop that the end of ctx starts
//
// Each background task runs in its own goroutine on the tables of package steerer,
// which defines the order of their locks. This package adds no lock around them.
package server

import (
	"context"
	"errors"
	"expvar"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/core/balancer"
	"github.com/endiverun/endiverun/core/limiter"
	"github.com/endiverun/endiverun/core/sequencer"
	"github.com/endiverun/endiverun/core/steerer"
	"github.com/endiverun/endiverun/core/tracker"
	"github.com/endiverun/endiverun/entry/caller"
	"github.com/endiverun/endiverun/entry/counter"
	"github.com/endiverun/endiverun/entry/listener"
	"github.com/endiverun/endiverun/entry/loader"
	"github.com/endiverun/endiverun/entry/logger"
	"github.com/endiverun/endiverun/entry/messenger"
	"github.com/endiverun/endiverun/entry/storer"
	"github.com/endiverun/endiverun/entry/tracer"
	"github.com/endiverun/endiverun/entry/waiter"
)

// drainGracePeriod is how long a draining host still accepts requests of clients that
// have cached its address.
const drainGracePeriod = 2500 * time.Millisecond

// maxSendDelay is how late bytes may be sent after their bandwidth was reserved.
const maxSendDelay = time.Second

// taskExitTimeout is how long the end of the background tasks may take beyond the end of a
// stop. It is longer than the messenger needs to close its connections, and ends before the
// process is killed.
const taskExitTimeout = 300 * time.Millisecond

// idlePollInterval is the time between two checks for work in progress.
const idlePollInterval = 20 * time.Millisecond

// Network opens connections and sockets. A nil field selects the operating system's
// network.
type Network struct {
	DialUpstream   caller.DialFunc
	DialPlatform   fasthttp.DialFunc
	ListenPeers    func(address string) (net.PacketConn, error)
	OpenPeerSocket func(address string) (net.PacketConn, error)
	ListenClients  func(address string) (net.Listener, error)
}

// Server runs one entry host.
type Server struct {
	Settings loader.Settings
	// Log receives the log lines.
	Log io.Writer
	// Network opens connections and sockets.
	Network Network
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// OnTicketApplied is called after a ticket was applied; nil ignores it.
	OnTicketApplied func(number core.TicketNumber, now time.Time)

	host       core.Host
	steerer    *steerer.Steerer
	caller     *caller.Caller
	messenger  *messenger.Messenger
	storer     *storer.Storer
	listener   *listener.Listener
	log        *logger.Logger
	counters   *counter.Set
	tracer     *tracer.Tracer
	claims     *claimBatcher
	archive    sequencer.TicketStore
	slotKeeper *limiter.SlotManager
	platform   platformState
	sequence   atomic.Uint64
	liveHosts  map[core.HostName]bool
	// stopEnd is when the stop ends. It is set before the listener stops.
	stopEnd time.Time
}

func (s *Server) now() time.Time {
	if s.Clock != nil {
		return s.Clock()
	}
	return time.Now()
}

// Run serves until ctx ends. It then stops gracefully: the host announces that it is
// draining, finishes the requests in flight and returns.
func (s *Server) Run(ctx context.Context) error {
	if err := s.build(ctx); err != nil {
		return err
	}
	taskContext, stopTasks := context.WithCancel(context.Background())
	listenerContext, stopListener := context.WithCancel(context.Background())
	defer stopTasks()
	defer stopListener()
	var group conc.WaitGroup
	failed := make(chan error, 2)
	group.Go(func() { failed <- s.messenger.Run(taskContext) })
	var listening conc.WaitGroup
	listening.Go(func() { failed <- s.listener.Run(listenerContext, func() time.Time { return s.stopEnd }) })
	for _, run := range s.backgroundTasks() {
		group.Go(func() { run(taskContext) })
	}
	s.log.Event(logger.HostStarted).Str("client-address", s.host.ClientAddress).Send()
	var err error
	select {
	case err = <-failed:
		s.stopEnd = time.Now()
	case <-ctx.Done():
		s.drain(s.now())
	}
	stopListener()
	listening.Wait()
	s.finishRequests()
	stopTasks()
	s.storer.Close()
	// Whatever a task still waits for, its result would come too late.
	waiter.WaitTimeout(time.Until(s.stopEnd)+taskExitTimeout, group.Wait)
	s.caller.Close()
	s.log.Event(logger.HostStopped).Send()
	return errors.Join(err, s.tracer.Close(context.Background()))
}

// build creates the components of the host.
func (s *Server) build(ctx context.Context) error {
	now := s.now()
	s.host = s.Settings.Host(core.Incarnation(now.UnixMilli()))
	s.log = logger.New(s.Log, s.Settings.LogLevel, s.host)
	s.counters = counter.New()
	s.liveHosts = map[core.HostName]bool{}
	var err error
	s.tracer, err = tracer.New(ctx, s.Settings.Traces, "endiverun-entry", string(s.host.Name))
	if err != nil {
		return err
	}
	if err := s.buildMessenger(); err != nil {
		return err
	}
	policy, _ := balancer.FindPolicy(s.Settings.Limits.BalancingPolicy)
	s.steerer = &steerer.Steerer{Self: s.host, RoundTrip: s.messenger.RoundTrip, Policy: policy}
	s.steerer.Init(now)
	dial := s.Network.DialUpstream
	if dial == nil {
		dial = caller.DialTCP
	}
	s.caller = &caller.Caller{Dial: dial, MaxResponseBody: s.Settings.Limits.MaxBody}
	s.storer = &storer.Storer{
		Address: s.Settings.Platform.Address,
		Timeout: s.Settings.Platform.Timeout.Duration(),
		Dial:    s.Network.DialPlatform,
		OnCall:  func(call string) { s.counters.PlatformCalls.Add(call, 1) },
		OnMalformed: func(address string, err error) {
			s.counters.MalformedResponses.Add("platform", 1)
			s.log.Event(logger.StoreAnswerRejected).Str("store", address).Err(err).Send()
		},
	}
	s.storer.Init()
	s.claims = newClaimBatcher(s.host.Instance(), s.storer.Store(), s.now)
	s.archive = sequencer.TicketStore{Store: s.storer.Store(), Backoff: func() { time.Sleep(archiveRetryDelay) }}
	s.slotKeeper = s.newSlotKeeper()
	s.buildListener()
	s.counters.Add("waiting", expvar.Func(func() any { return s.waitingRequests() }))
	return nil
}

func (s *Server) buildMessenger() error {
	certificates := s.Settings.TLS
	serverConfig, clientConfig, err := messenger.TLSConfigs(certificates.Certificate, certificates.Key, certificates.Authority)
	if err != nil {
		return err
	}
	s.messenger = &messenger.Messenger{
		Self:             s.host,
		ServerTLS:        serverConfig,
		ClientTLS:        clientConfig,
		ListenSocket:     s.Network.ListenPeers,
		OpenSocket:       s.Network.OpenPeerSocket,
		MaxBody:          s.Settings.Limits.MaxBody,
		ReserveBandwidth: s.reserveBandwidth,
		OnRecords:        s.receiveRecords,
		Handle:           s.handleCall,
		OnError: func(peer, cause string) {
			s.log.Event(logger.PeerRejected).Str("peer", peer).Str("fault", cause).Send()
		},
		OnUnresponsive: func(host core.Host) {
			s.log.Event(logger.PeerSilent).Str("peer", string(host.Name)).Send()
		},
		OnBytes: func(direction string, bytes int) { s.counters.ControlBytes.Add(direction, int64(bytes)) },
	}
	return nil
}

func (s *Server) buildListener() {
	s.listener = &listener.Listener{
		Address:           s.Settings.ClientAddress,
		MaxBody:           s.Settings.Limits.MaxBody,
		MaxConnections:    s.Settings.Limits.MaxConnections,
		OperatorToken:     s.Settings.OperatorToken,
		Listen:            s.Network.ListenClients,
		OnAcceptError:     func(err error) { s.log.Event(logger.AcceptFailed).Err(err).Send() },
		Serve:             s.serve,
		NewRequest:        s.newRequest,
		Route:             s.route,
		ApplyTicket:       s.applyTicket,
		ShowTicket:        s.showTicket,
		ShowTicketNumbers: s.showNumbers,
		Status:            func() any { return s.Status() },
		Explain:           s.explain,
		IsReady:           func() bool { return s.steerer.Phase() == core.PhaseLive },
		IsDraining:        func() bool { return s.steerer.Phase() == core.PhaseLeaving },
		Metrics:           s.counters.String,
	}
}

// backgroundTasks returns the periodic work of the host. Each function runs until its
// context ends.
func (s *Server) backgroundTasks() []func(context.Context) {
	return []func(context.Context){
		s.runHeartbeats,
		s.watchTickets,
		s.catchUp,
		s.pollHealth,
		s.pollHostList,
		s.renewSlot,
		s.pingHosts,
		s.expireTables,
	}
}

// drain announces that the host is draining, and waits until clients no longer use routes
// that include it.
func (s *Server) drain(now time.Time) {
	schedule := core.NewDrainSchedule(drainGracePeriod, s.Settings.Limits.StopTimeout.Duration(), now)
	s.stopEnd = schedule.End
	s.log.Event(logger.HostLeaving).Send()
	s.steerer.StartDraining(schedule, now)
	s.sendHeartbeats(now)
	time.Sleep(time.Until(schedule.AcceptsUntil))
}

// finishRequests waits until no request is in flight, until the end of the stop at most.
func (s *Server) finishRequests() {
	if !s.waitUntilIdle(s.stopEnd) {
		s.log.Event(logger.HostStopTimeout).Int("in-flight", s.steerer.Balancer.InFlight()).Send()
	}
	_ = s.slotKeeper.Release()
}

// waitUntilIdle waits until no request is in flight and reports whether that happened
// before the deadline.
func (s *Server) waitUntilIdle(deadline time.Time) bool {
	for time.Now().Before(deadline) {
		if s.listener.InFlight() == 0 && s.messenger.InFlight() == 0 && s.steerer.Balancer.InFlight() == 0 {
			return true
		}
		time.Sleep(idlePollInterval)
	}
	return false
}

// receiveRecords updates the tables with records of other hosts.
func (s *Server) receiveRecords(records []tracker.Record) {
	s.steerer.ReceiveRecords(records, s.now())
}

// reserveBandwidth waits until n bytes may be sent to another region. It returns false
// if the host must not send there.
func (s *Server) reserveBandwidth(to core.RegionName, n core.Bytes) bool {
	for {
		reservation := s.steerer.LinkLimiter.Reserve(to, n, s.now())
		if reservation.Forbidden {
			return false
		}
		sendTime := s.now().Add(reservation.Delay)
		if reservation.Delay > 0 {
			time.Sleep(reservation.Delay)
		}
		// After a pause of the process the reservation may have expired, so it is
		// repeated.
		if reservation.Granted && s.now().Sub(sendTime) < maxSendDelay {
			s.counters.LinkBytes.Add(string(to), int64(n))
			return true
		}
	}
}
