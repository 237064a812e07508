// Package explainer finds the life of one request in the logs of several hosts:
// every line that names it, and what each host believed at that time.
//
// Lines that are no events are passed over, and so is whatever a collector
// writes before an event.
//
// # Usage
//
//	life, err := explainer.Explain("9c41d07be2a35f68", readers)
//	err = life.Write(os.Stdout)
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

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// beliefs are the events that change what a host believes.
var beliefs = []string{
	"host-started", "host-ready", "host-leaving",
	"policy-applied", "evacuations-applied", "upstreams-applied",
	"platform-lost", "platform-found", "reader-followed", "store-read",
	"upstream-cold",
}

// own are the fields that every event has.
var own = []string{"level", "host", "incarnation", "event", "name", "time", "request"}

// Line is one event of a host.
type Line struct {
	Time time.Time
	Host string
	Name string
	// Request is the id of the request that the event is about, if any.
	Request string
	// Fields are the event's other fields.
	Fields map[string]any
}

// Belief is an event that said what a host believed when a request came.
type Belief struct {
	Line
	// Age is how long before the request's first line on that host it was.
	Age time.Duration
}

// Life is what the logs tell of a request.
type Life struct {
	Request string
	// Lines are those that name the request, in order of time.
	Lines []Line
	// Beliefs are the last ones of each kind on each of those hosts.
	Beliefs map[string][]Belief
}

// Explain reads logs and returns what they tell of a request.
func Explain(request string, logs []io.Reader) (Life, error) {
	life := Life{Request: request, Beliefs: map[string][]Belief{}}
	var all []Line
	for _, log := range logs {
		lines, err := read(log, request)
		if err != nil {
			return life, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	last := map[string]map[string]Line{}
	for _, line := range all {
		if line.Request == "" {
			if last[line.Host] == nil {
				last[line.Host] = map[string]Line{}
			}
			last[line.Host][line.Name] = line
			continue
		}
		if _, isKnown := life.Beliefs[line.Host]; !isKnown {
			life.Beliefs[line.Host] = beliefsAt(last[line.Host], line.Time)
		}
		life.Lines = append(life.Lines, line)
	}
	return life, nil
}

// beliefsAt returns the beliefs in order of time, with their ages.
func beliefsAt(last map[string]Line, now time.Time) []Belief {
	list := make([]Belief, 0, len(last))
	for _, line := range last {
		list = append(list, Belief{Line: line, Age: now.Sub(line.Time)})
	}
	slices.SortFunc(list, func(a, b Belief) int {
		if c := a.Time.Compare(b.Time); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return list
}

// read returns the lines of a log that name the request or state a belief.
func read(log io.Reader, request string) ([]Line, error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	var lines []Line
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		isBelief := line.Request == "" && slices.Contains(beliefs, line.Name)
		if ok && (line.Request == request || isBelief) {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// parse returns false where the line is no event.
func parse(text []byte) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[begin:], &fields) != nil {
		return Line{}, false
	}
	stamp, err := time.Parse(time.RFC3339Nano, word(fields, "time"))
	if err != nil {
		return Line{}, false
	}
	line := Line{
		Time: stamp, Host: word(fields, "host"), Name: word(fields, "name"), Request: word(fields, "request"),
		Fields: fields,
	}
	for _, name := range own {
		delete(fields, name)
	}
	return line, line.Name != ""
}

func word(fields map[string]any, name string) string {
	text, ok := fields[name].(string)
	if !ok {
		return ""
	}
	return text
}
