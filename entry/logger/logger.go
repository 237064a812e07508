// Package logger writes the log of an entry host as JSON lines, one per event.
//
// Each kind of event has a number whose meaning never changes, so that searches for
// the number keep working when the text changes. docs/EVENTS.md lists all kinds.
//
// New returns a logger that writes synchronously, for short programs and tests.
// NewNonBlocking returns one for servers: it never blocks its callers, and it limits
// the rate of the lines of each kind.
//
// # Usage
//
//	log := logger.NewNonBlocking(os.Stderr, "info", host)
//	defer log.Close(time.Second)
//	log.Event(logger.TicketApplied).Uint64("ticket", 7).Send()
package logger

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/endiverun/endiverun/core"
)

// Event describes a kind of log line.
type Event struct {
	Number int
	Name   string
	Level  zerolog.Level
	// Description is the text in docs/EVENTS.md.
	Description string
}

// The kinds of events. The first digit of a number groups them: 1 the host, 2
// tickets, 3 the platform, 4 other hosts, 5 upstreams and requests, 6 routing
// policies.
//
// Terms in the descriptions: a leaving host or upstream drains, that is, it finishes
// its requests and accepts no more. An unreadable object cannot be decoded or is
// invalid. A ticket is a numbered change of the configuration (see core.Ticket). A slot
// gives a host a share of the rate limit of the links to other regions. Without one it
// may not send requests to other regions. A cold upstream still warms up, so hosts
// limit the rate of its requests. An evacuated zone gets no requests, by decision of
// the operator. An owned upstream is assigned to this host, which sends requests to it
// and checks its health.
//
// ReaderFollowed and StoreRead are the two ends of one state: the host stops and
// starts to read the store itself. LinesLeftOut counts lines over the rate limit of a
// kind; lines that the writer did not take are counted by Logger.DroppedLines.
// PeerSilent is about connections for calls to another host and for fetching its
// snapshot, not about heartbeats, whose absence PeerExpired reports.
var (
	HostStarted     = Event{100, "host-started", zerolog.InfoLevel, "The host listens for clients and peers."}
	HostReady       = Event{101, "host-ready", zerolog.InfoLevel, "The host has a configuration and accepts requests."}
	HostLeaving     = Event{102, "host-leaving", zerolog.InfoLevel, "A graceful stop began; the host announces it and gives up its roles."}
	HostStopped     = Event{103, "host-stopped", zerolog.InfoLevel, "The graceful stop ended."}
	HostStopTimeout = Event{104, "host-stop-timeout", zerolog.WarnLevel, "The graceful stop timed out; requests in flight were aborted."}

	TicketApplied    = Event{200, "ticket-applied", zerolog.InfoLevel, "A ticket took effect on this host."}
	TicketAccepted   = Event{201, "ticket-accepted", zerolog.InfoLevel, "The platform's store accepted a ticket sent to this host."}
	TicketConflict   = Event{202, "ticket-conflict", zerolog.WarnLevel, "A ticket was rejected: its number is taken by another one."}
	TicketUnreadable = Event{203, "ticket-unreadable", zerolog.ErrorLevel, "A stored ticket cannot be decoded; later tickets wait for it."}
	SnapshotWritten  = Event{204, "snapshot-written", zerolog.InfoLevel, "A snapshot of the configuration was stored."}

	PlatformLost    = Event{300, "platform-lost", zerolog.WarnLevel, "The platform's store is unavailable or returns unusable responses."}
	PlatformFound   = Event{301, "platform-found", zerolog.InfoLevel, "The platform's store is available again."}
	ReaderFollowed  = Event{304, "reader-followed", zerolog.InfoLevel, "Another host of the zone reads the store on behalf of this host."}
	StoreRead       = Event{305, "store-read", zerolog.InfoLevel, "The host reads the store itself again."}
	StoreReadFailed = Event{306, "store-read-failed", zerolog.InfoLevel, "A list or a watch of objects in the store failed."}
	StoreRestored   = Event{307, "store-restored", zerolog.WarnLevel, "The platform's store came back from an older copy, in a later era."}
	EraUnreadable   = Event{308, "era-unreadable", zerolog.WarnLevel, "An answer of the store names an era that is invalid or not confirmed."}
	SlotTaken       = Event{302, "slot-taken", zerolog.InfoLevel, "The host acquired a slot of its region's links to other regions."}
	SlotLost        = Event{303, "slot-lost", zerolog.WarnLevel, "The host lost its slot and may not send to other regions."}

	StoreListsRequested = Event{310, "store-lists-requested", zerolog.InfoLevel, "The host asks the store for lists that came from others."}

	StoreAnswerRejected = Event{309, "store-answer-rejected", zerolog.WarnLevel, "The store sent bytes that are no valid response."}

	PeerSilent   = Event{400, "peer-silent", zerolog.WarnLevel, "Another host did not respond; the connection to it was replaced."}
	PeerRejected = Event{401, "peer-rejected", zerolog.WarnLevel, "Data from another host cannot be decoded."}
	PeerExpired  = Event{402, "peer-expired", zerolog.WarnLevel, "No heartbeat arrived from another host within the expiry time."}
	PeerFound    = Event{403, "peer-found", zerolog.InfoLevel, "Another host is live."}

	SnapshotFetched = Event{404, "snapshot-fetched", zerolog.InfoLevel, "The host fetched the snapshot of a host that it does not follow."}

	UpstreamLeaving        = Event{500, "upstream-leaving", zerolog.InfoLevel, "An owned upstream is leaving and gets no new requests."}
	UpstreamAnswerRejected = Event{501, "upstream-answer-rejected", zerolog.WarnLevel, "A response was unusable; its connection is closed."}
	RequestOutcomeUnknown  = Event{502, "request-outcome-unknown", zerolog.WarnLevel, "It is unknown whether an upstream ran a request."}
	RequestRetried         = Event{503, "request-retried", zerolog.WarnLevel, "A request is retried."}
	UpstreamFailed         = Event{511, "upstream-failed", zerolog.WarnLevel, "A client received an upstream's own error response."}
	RequestCut             = Event{518, "request-cut", zerolog.WarnLevel, "The host ended before the whole response to a request was there."}
	RequestRefused         = Event{504, "request-refused", zerolog.WarnLevel, "The host answered a request with an error of its own."}

	UpstreamUnreadable = Event{505, "upstream-unreadable", zerolog.WarnLevel, "An upstream's registration is invalid; it gets no requests."}
	UpstreamsApplied   = Event{506, "upstreams-applied", zerolog.InfoLevel, "A new list of upstreams took effect."}
	EvacuationsApplied = Event{507, "evacuations-applied", zerolog.InfoLevel, "A new list of evacuated zones took effect."}

	UpstreamNotPrepared = Event{508, "upstream-not-prepared", zerolog.DebugLevel, "A connection could not be opened in advance of requests."}

	UpstreamCheckFailed = Event{509, "upstream-check-failed", zerolog.InfoLevel, "A health check of an upstream that may be cold failed."}

	UpstreamCold = Event{510, "upstream-cold", zerolog.InfoLevel, "A health check found an upstream cold; it gets few requests."}

	UpstreamLimited = Event{512, "upstream-limited", zerolog.InfoLevel, "An upstream named, changed or ended the rate limit of its requests."}

	UpstreamLimitUnreadable = Event{513, "upstream-limit-unreadable", zerolog.WarnLevel, "An invalid rate limit; the last valid one applies."}

	UpstreamLimitUsed = Event{514, "upstream-limit-used", zerolog.InfoLevel, "What the host sent in 4 s to an upstream with a rate limit."}

	UpstreamSaidLeaving = Event{515, "upstream-said-leaving", zerolog.InfoLevel, "An upstream said that it drains, to this or another host."}

	UpstreamClosed = Event{516, "upstream-closed", zerolog.InfoLevel, "An upstream wants no requests from this host for some time."}

	UpstreamPauseUnreadable = Event{517, "upstream-pause-unreadable", zerolog.WarnLevel, "An upstream stated an invalid Retry-After."}

	UpstreamReopened = Event{519, "upstream-reopened", zerolog.InfoLevel, "The time for which an upstream wanted no requests is over."}
	UpstreamsDivided = Event{520, "upstreams-divided", zerolog.InfoLevel, "A service's upstreams take fewer connections than there are hosts."}
	UpstreamsShared  = Event{521, "upstreams-shared", zerolog.InfoLevel, "Each host may connect to all upstreams of a service again."}

	UpstreamLoadUnreadable = Event{522, "upstream-load-unreadable", zerolog.WarnLevel, "An upstream stated its load in an invalid form."}

	PolicyApplied         = Event{600, "policy-applied", zerolog.InfoLevel, "A routing policy took effect on this host."}
	PolicyUnreadable      = Event{601, "policy-unreadable", zerolog.ErrorLevel, "A stored policy is invalid; the previous one applies."}
	PolicyEntryUnreadable = Event{602, "policy-entry-unreadable", zerolog.WarnLevel, "A policy entry is invalid; the other entries apply."}
	PolicyTrusted         = Event{603, "policy-trusted", zerolog.InfoLevel, "The store's answers begin or cease to confirm keys."}

	SettingsReloaded   = Event{105, "settings-reloaded", zerolog.InfoLevel, "The settings file was read again."}
	ListenFailed       = Event{106, "listen-failed", zerolog.ErrorLevel, "The host cannot listen on one of its addresses."}
	LinesLeftOut       = Event{108, "lines-left-out", zerolog.WarnLevel, "An event exceeded its rate limit; lines left out are counted."}
	HostRemoved        = Event{109, "host-removed", zerolog.InfoLevel, "The registration of an expired host was removed from the store."}
	AcceptFailed       = Event{110, "accept-failed", zerolog.WarnLevel, "A connection could not be accepted; the host tries again."}
	RegistrationFailed = Event{107, "registration-failed", zerolog.WarnLevel, "The host's registration could not be stored or removed."}
)

// Events lists every kind of event once.
var Events = []Event{
	HostStarted, HostReady, HostLeaving, HostStopped, HostStopTimeout,
	TicketApplied, TicketAccepted, TicketConflict, TicketUnreadable, SnapshotWritten,
	PlatformLost, PlatformFound, SlotTaken, SlotLost, ReaderFollowed, StoreRead, StoreReadFailed, StoreRestored, EraUnreadable,
	StoreListsRequested, StoreAnswerRejected,
	PeerSilent, PeerRejected, PeerExpired, PeerFound, SnapshotFetched,
	UpstreamLeaving, UpstreamAnswerRejected, RequestOutcomeUnknown,
	RequestRetried, RequestRefused, RequestCut, UpstreamFailed,
	UpstreamUnreadable, UpstreamsApplied, EvacuationsApplied,
	UpstreamNotPrepared, UpstreamCheckFailed, UpstreamCold,
	UpstreamLimited, UpstreamLimitUnreadable, UpstreamLimitUsed,
	UpstreamSaidLeaving, UpstreamClosed, UpstreamPauseUnreadable, UpstreamReopened, UpstreamsDivided, UpstreamsShared,
	UpstreamLoadUnreadable,
	PolicyApplied, PolicyUnreadable, PolicyEntryUnreadable, PolicyTrusted,
	SettingsReloaded, ListenFailed, RegistrationFailed, LinesLeftOut, HostRemoved, AcceptFailed,
}

// Logger writes the events of one host.
type Logger struct {
	base zerolog.Logger
	// queue and limiter are nil for a logger made by New.
	queue   *queue
	limiter *limiter
}

// New returns a logger that writes lines of the given level and above to w. The
// level is info if it cannot be parsed.
func New(w io.Writer, level string, host core.Host) *Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	base := zerolog.New(w).Level(parsed).Hook(zerolog.HookFunc(addTime)).With().
		Str("host", string(host.Name)).
		Str("incarnation", host.Incarnation.String()).
		Logger()
	return &Logger{base: base}
}

// timeLayout has milliseconds, so that the events of one request have different
// times.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// addTime adds the current UTC time to a line.
func addTime(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeLayout))
}

// NewNonBlocking returns a logger that never blocks its callers and limits the rate of
// the lines of each kind of event. Call Close to write the queued lines.
func NewNonBlocking(w io.Writer, level string, host core.Host) *Logger {
	q := newQueue(w)
	l := New(q, level, host)
	l.queue = q
	l.limiter = &limiter{limits: map[int]*rate.Limiter{}, suppressed: map[int]int{}}
	return l
}

// Event starts a line of the given kind; the method Send of the result writes it. If
// the kind is over its rate limit, Event returns nil, on which all methods may be called
// and do nothing.
func (l *Logger) Event(event Event) *zerolog.Event {
	if l.limiter != nil {
		now := time.Now()
		l.writeSummaries(now)
		if !l.limiter.allow(event, now) {
			return nil
		}
	}
	return l.base.WithLevel(event.Level).Int("event", event.Number).Str("name", event.Name)
}

// writeSummaries writes how many lines of each kind were left out, if that is due.
func (l *Logger) writeSummaries(now time.Time) {
	for number, count := range l.limiter.takeSuppressed(now) {
		l.base.WithLevel(LinesLeftOut.Level).Int("event", LinesLeftOut.Number).Str("name", LinesLeftOut.Name).
			Int("of-event", number).Int("lines", count).Int64("dropped", l.queue.dropped.Load()).Send()
	}
}

// DroppedLines returns the number of lines that were dropped because the writer failed or
// was too slow. Lines over the rate limit do not count; LinesLeftOut reports them.
func (l *Logger) DroppedLines() int64 {
	if l.queue == nil {
		return 0
	}
	return l.queue.dropped.Load()
}

// Close stops the logger and waits until the queued lines are written, at most for
// the timeout.
func (l *Logger) Close(timeout time.Duration) {
	if l.queue != nil {
		l.queue.close(timeout)
	}
}
