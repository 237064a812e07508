// Package logger writes the numbered events of an entry host.
//
// Each event has a number that never changes meaning; docs/EVENTS.md is the
// catalogue. Searching for the number finds an event whatever its words.
//
// # Usage
//
//	log := logger.New(os.Stderr, "info", host)
//	log.Event(logger.TicketApplied).Uint64("ticket", 7).Send()
package logger

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/endiverun/endiverun/core"
)

// Event is one kind of log line.
type Event struct {
	Number int
	Name   string
	Level  zerolog.Level
	// Meaning is the line of the catalogue.
	Meaning string
}

// The events.
var (
	HostStarted = Event{100, "host-started", zerolog.InfoLevel, "The host listens for clients and peers."}
	HostReady   = Event{101, "host-ready", zerolog.InfoLevel, "The host has a configuration and takes requests."}
	HostLeaving = Event{102, "host-leaving", zerolog.InfoLevel, "A planned stop began; roles are given up."}
	HostStopped = Event{103, "host-stopped", zerolog.InfoLevel, "The planned stop ended."}
	HostCutOff  = Event{104, "host-stop-timeout", zerolog.WarnLevel, "The planned stop took too long; requests were cut."}

	TicketApplied    = Event{200, "ticket-applied", zerolog.InfoLevel, "A ticket is in force on this host."}
	TicketAccepted   = Event{201, "ticket-accepted", zerolog.InfoLevel, "The platform's store accepted a ticket sent to this host."}
	TicketConflict   = Event{202, "ticket-conflict", zerolog.WarnLevel, "A ticket lost against another with the same number."}
	TicketUnreadable = Event{203, "ticket-unreadable", zerolog.ErrorLevel, "A stored ticket cannot be read; later ones wait."}
	SnapshotWritten  = Event{204, "snapshot-written", zerolog.InfoLevel, "A snapshot of the configuration was stored."}

	PlatformLost   = Event{300, "platform-lost", zerolog.WarnLevel, "The platform's store gives no usable answers."}
	PlatformFound  = Event{301, "platform-found", zerolog.InfoLevel, "The platform's store answers again."}
	ReaderFollowed = Event{304, "reader-followed", zerolog.InfoLevel, "Another host of the zone reads the store for this one."}
	StoreRead      = Event{305, "store-read", zerolog.InfoLevel, "The host reads the store itself again."}
	SlotTaken      = Event{302, "slot-taken", zerolog.InfoLevel, "The host holds a slot of its region's links."}
	SlotLost       = Event{303, "slot-lost", zerolog.WarnLevel, "The host may not send to other regions."}

	PeerSilent   = Event{400, "peer-silent", zerolog.WarnLevel, "A connection to another host was replaced after silence."}
	PeerRejected = Event{401, "peer-rejected", zerolog.WarnLevel, "Another host sent what cannot be read."}
	PeerExpired  = Event{402, "peer-expired", zerolog.WarnLevel, "No news of another host for the expiry time."}
	PeerFound    = Event{403, "peer-found", zerolog.InfoLevel, "Another host is live."}

	UpstreamLeaving = Event{500, "upstream-leaving", zerolog.InfoLevel, "An owned upstream gets no new work."}
	UpstreamBroken  = Event{501, "upstream-answer-rejected", zerolog.WarnLevel, "An answer was unusable; its connection is closed."}
	RequestUnknown  = Event{502, "request-outcome-unknown", zerolog.WarnLevel, "A request ended without proof of whether it ran."}
	RequestRetried  = Event{503, "request-retried", zerolog.WarnLevel, "A request gets a further attempt."}
	UpstreamFailed  = Event{511, "upstream-failed", zerolog.WarnLevel, "A client got an upstream's own failure."}
	RequestRefused  = Event{504, "request-refused", zerolog.WarnLevel, "The host answered a request itself."}

	UpstreamUnreadable = Event{505, "upstream-unreadable", zerolog.WarnLevel, "A registration of an upstream cannot be read; it gets nothing."}
	UpstreamsApplied   = Event{506, "upstreams-applied", zerolog.InfoLevel, "A new list of upstreams is in force."}
	EvacuationsApplied = Event{507, "evacuations-applied", zerolog.InfoLevel, "A new list of evacuated zones is in force."}

	UpstreamNotPrepared = Event{508, "upstream-not-prepared", zerolog.DebugLevel, "No connection could be opened ahead of requests."}

	CheckFailed = Event{509, "upstream-check-failed", zerolog.InfoLevel, "A health check of an upstream that may be cold brought no answer."}

	UpstreamCold = Event{510, "upstream-cold", zerolog.InfoLevel, "A health check found an upstream cold; it gets few requests."}

	PolicyApplied         = Event{600, "policy-applied", zerolog.InfoLevel, "A routing policy is in force on this host."}
	PolicyUnreadable      = Event{601, "policy-unreadable", zerolog.ErrorLevel, "A stored routing policy cannot be read; the last one holds."}
	PolicyEntryUnreadable = Event{602, "policy-entry-unreadable", zerolog.WarnLevel, "An entry of a policy cannot be read; the others hold."}

	SettingsReloaded   = Event{105, "settings-reloaded", zerolog.InfoLevel, "The settings file was read again."}
	ListenFailed       = Event{106, "listen-failed", zerolog.ErrorLevel, "An address of the host cannot be served."}
	LinesLeftOut       = Event{108, "lines-left-out", zerolog.WarnLevel, "Lines of an event were more than the bound; they are counted here."}
	HostRemoved        = Event{109, "host-removed", zerolog.InfoLevel, "The registration of a host that is gone was removed from the store."}
	RegistrationFailed = Event{107, "registration-failed", zerolog.WarnLevel, "The host's entry in the store was not written."}
)

// Events lists all events in the order of the catalogue.
var Events = []Event{
	HostStarted, HostReady, HostLeaving, HostStopped, HostCutOff,
	TicketApplied, TicketAccepted, TicketConflict, TicketUnreadable, SnapshotWritten,
	PlatformLost, PlatformFound, SlotTaken, SlotLost, ReaderFollowed, StoreRead,
	PeerSilent, PeerRejected, PeerExpired, PeerFound,
	UpstreamLeaving, UpstreamBroken, RequestUnknown,
	RequestRetried, RequestRefused, UpstreamFailed,
	UpstreamUnreadable, UpstreamsApplied, EvacuationsApplied,
	UpstreamNotPrepared, CheckFailed, UpstreamCold,
	PolicyApplied, PolicyUnreadable, PolicyEntryUnreadable,
	SettingsReloaded, ListenFailed, RegistrationFailed, LinesLeftOut, HostRemoved,
}

// Logger writes events of one host.
type Logger struct {
	base  zerolog.Logger
	queue *queue
	quota *quota
}

// New returns a logger that writes JSON lines of the given level and above.
func New(w io.Writer, level string, host core.Host) *Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	base := zerolog.New(w).Level(parsed).Hook(zerolog.HookFunc(stamp)).With().
		Str("host", string(host.Name)).
		Str("incarnation", host.Incarnation.String()).
		Logger()
	return &Logger{base: base}
}

// timeLayout tells the events of one request apart.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// stamp adds the time of day to an event.
func stamp(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str(zerolog.TimestampFieldName, time.Now().UTC().Format(timeLayout))
}

// NewBounded returns a logger that never delays its callers and writes at most
// a steady number of lines of each event. Close it at the end.
func NewBounded(w io.Writer, level string, host core.Host) *Logger {
	q := newQueue(w)
	l := New(q, level, host)
	l.queue = q
	l.quota = &quota{limits: map[int]*rate.Limiter{}, leftOut: map[int]int{}}
	return l
}

// Event begins a line of the given kind. The caller ends it with Send. Beyond
// the bound it returns nil, on which every call is valid and does nothing.
func (l *Logger) Event(event Event) *zerolog.Event {
	if l.quota != nil {
		now := time.Now()
		l.summarize(now)
		if !l.quota.allow(event, now) {
			return nil
		}
	}
	return l.base.WithLevel(event.Level).Int("event", event.Number).Str("name", event.Name)
}

// summarize writes how many lines of each event were left out.
func (l *Logger) summarize(now time.Time) {
	for number, count := range l.quota.summary(now) {
		l.base.WithLevel(LinesLeftOut.Level).Int("event", LinesLeftOut.Number).Str("name", LinesLeftOut.Name).
			Int("of-event", number).Int("lines", count).Int64("dropped", l.queue.dropped.Load()).Send()
	}
}

// Lost returns the lines that found the writer too slow.
func (l *Logger) Lost() int64 {
	if l.queue == nil {
		return 0
	}
	return l.queue.dropped.Load()
}

// Close writes what is queued, for the given time at most.
func (l *Logger) Close(timeout time.Duration) {
	if l.queue != nil {
		l.queue.close(timeout)
	}
}
