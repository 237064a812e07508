// Package explainer reconstructs the history of one request from the logs of
// several hosts: every event that names the request, and the state that each of
// those hosts had last logged when the request reached it.
//
// A log holds one event per line, as a JSON object. Text before the object, such
// as the prefix that a log collector adds, is ignored, and so are lines without an
// event.
//
// # Usage
//
//	history, err := explainer.Explain("9c41d07be2a35f68", readers)
//	err = history.Write(os.Stdout)
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineLength is the length of the longest log line that is read, in bytes. A
// longer line is an error.
const maxLineLength = 1 << 20

// stateEvents names the events that report a change of a host's state: its phase,
// its routing policy, its lists of evacuated zones and of upstreams, its access to
// the platform's store, its cold upstreams, the rate limits of upstreams, and upstreams
// that said that they drain.
var stateEvents = []string{
	"host-started", "host-ready", "host-leaving",
	"policy-applied", "evacuations-applied", "upstreams-applied",
	"platform-lost", "platform-found", "reader-followed", "store-read",
	"upstream-cold", limitEvent, leavingEvent,
}

// limitEvent names the event of the rate limit of an upstream, and leavingEvent that of an
// upstream that drains. The state of a host has the latest one of each upstream.
const (
	limitEvent   = "upstream-limited"
	leavingEvent = "upstream-said-leaving"
)

// commonFields names the fields that every event has. They are not repeated in
// Event.Fields.
var commonFields = []string{"level", "host", "incarnation", "event", "name", "time", "request"}

// Event is one event that a host logged.
type Event struct {
	Time time.Time
	Host string
	// Name is the name of the event, such as "policy-applied".
	Name string
	// Request is the id of the request that the event is about, or empty.
	Request string
	// Fields holds the fields that are particular to the event.
	Fields map[string]any
}

// StateEvent is a state event that a host logged before a request reached it.
type StateEvent struct {
	Event
	// Age is the time from this event to the host's first event about the request.
	Age time.Duration
}

// History is the history of a request as the logs show it. Programs read its JSON form,
// so the JSON names of its fields and of those of Event and StateEvent must not change.
type History struct {
	Request string `json:"Request"`
	// Events holds the events about the request in the order of their times.
	Events []Event `json:"Lines"`
	// StateEvents maps each host in Events to the latest state event of each name before
	// the host's first event about the request, in the order of their times.
	StateEvents map[string][]StateEvent `json:"Beliefs"`
}

// Explain reads the logs and returns the history of the request with the given id.
func Explain(request string, logs []io.Reader) (History, error) {
	history := History{Request: request, StateEvents: map[string][]StateEvent{}}
	var all []Event
	for _, log := range logs {
		events, err := readLog(log, request)
		if err != nil {
			return history, err
		}
		all = append(all, events...)
	}
	slices.SortStableFunc(all, func(a, b Event) int { return a.Time.Compare(b.Time) })
	latest := map[string]map[string]Event{} // By host and stateKey.
	for _, event := range all {
		if event.Request == "" {
			if latest[event.Host] == nil {
				latest[event.Host] = map[string]Event{}
			}
			latest[event.Host][stateKey(event)] = event
			continue
		}
		if _, isKnown := history.StateEvents[event.Host]; !isKnown {
			history.StateEvents[event.Host] = stateAt(latest[event.Host], event.Time)
		}
		history.Events = append(history.Events, event)
	}
	return history, nil
}

// stateKey identifies what a state event is about: a later event with the same key
// replaces it.
func stateKey(event Event) string {
	if event.Name != limitEvent && event.Name != leavingEvent {
		return event.Name
	}
	return event.Name + " " + stringField(event.Fields, "upstream")
}

// stateAt returns the latest state events of a host with their ages at the given
// time, sorted by time and then by name.
func stateAt(latest map[string]Event, now time.Time) []StateEvent {
	list := make([]StateEvent, 0, len(latest))
	for _, event := range latest {
		list = append(list, StateEvent{Event: event, Age: now.Sub(event.Time)})
	}
	slices.SortFunc(list, func(a, b StateEvent) int {
		if c := a.Time.Compare(b.Time); c != 0 {
			return c
		}
		return strings.Compare(stateKey(a.Event), stateKey(b.Event))
	})
	return list
}

// readLog returns the events of a log that name the request, and all state events.
func readLog(log io.Reader, request string) ([]Event, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineLength)
	var events []Event
	for scanner.Scan() {
		event, ok := parseLine(scanner.Bytes())
		isStateEvent := event.Request == "" && slices.Contains(stateEvents, event.Name)
		if ok && (event.Request == request || isStateEvent) {
			events = append(events, event)
		}
	}
	return events, scanner.Err()
}

// parseLine decodes the event in a log line. It returns false if the line holds no
// JSON object, or one without a valid time or without a name.
func parseLine(text []byte) (Event, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Event{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[start:], &fields) != nil {
		return Event{}, false
	}
	timestamp, err := time.Parse(time.RFC3339Nano, stringField(fields, "time"))
	if err != nil {
		return Event{}, false
	}
	event := Event{
		Time: timestamp, Host: stringField(fields, "host"), Name: stringField(fields, "name"), Request: stringField(fields, "request"),
		Fields: fields,
	}
	for _, name := range commonFields {
		delete(fields, name)
	}
	return event, event.Name != ""
}

// stringField returns a field's value, or an empty string if the field is missing
// or not a string.
func stringField(fields map[string]any, name string) string {
	text, ok := fields[name].(string)
	if !ok {
		return ""
	}
	return text
}
