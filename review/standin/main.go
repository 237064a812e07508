// Command standin runs the cases of the review: it starts the project's own processes and
// stand-ins of the platform, its backends and its clients.
//
// Usage: standin CASE RECORD, in the root of the repository. The exit code is 1 if the rule
// of the case was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the
// disruption out.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"sync"
	"syscall"
	"time"
)

// cases holds the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(trouble bool) bool{
	"lost-watch": lostWatch,
	"retained":   retained,
	"memory":     memory,
}

var (
	began    = time.Now()
	cleanups []func()
	record   struct {
		sync.Mutex
		lines []line
	}
)

// line is one line of the record.
type line struct {
	at   time.Time
	text string
}

// note adds a line to the record.
func note(who, format string, args ...any) {
	noteAt(time.Now(), who, format, args...)
}

func noteAt(at time.Time, who, format string, args ...any) {
	record.Lock()
	defer record.Unlock()
	record.lines = append(record.lines, line{at, who + ": " + fmt.Sprintf(format, args...)})
}

// writeRecord writes the record in the order of time.
func writeRecord(path string) {
	record.Lock()
	defer record.Unlock()
	sort.SliceStable(record.lines, func(i, j int) bool { return record.lines[i].at.Before(record.lines[j].at) })
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer func() { _ = file.Close() }()
	w := bufio.NewWriter(file)
	defer func() { _ = w.Flush() }()
	for _, l := range record.lines {
		fmt.Fprintf(w, "%8.3f %s\n", l.at.Sub(began).Seconds(), l.text)
	}
}

func cleanUp() {
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	cleanups = nil
}

// fail ends the program because the case could not run.
func fail(format string, args ...any) {
	say("could not run: "+format, args...)
	end(exitCouldNotRun)
}

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitCouldNotRun
)

// end ends all processes, writes the record and exits.
func end(code int) {
	cleanUp()
	if len(os.Args) > 2 {
		writeRecord(os.Args[2])
	}
	os.Exit(code)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitCouldNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		end(exitCouldNotRun)
	}()
	defer func() {
		if reason := recover(); reason != nil {
			fail("%v", reason)
		}
	}()
	if cases[os.Args[1]](os.Getenv("TROUBLE") != "0") {
		end(exitBroken)
	}
	end(exitHeld)
}

// noteTraffic records what was sent, answered and run.
func noteTraffic(outcomes []outcome, arrived []arrival) {
	for _, o := range outcomes {
		noteAt(o.sentAt, "client", "sent %s %s to %s", o.id, o.path, o.host)
		answer := fmt.Sprintf("status %d, signature %q", o.status, o.signature)
		if o.err != nil {
			answer = "no complete answer: " + o.err.Error()
		}
		noteAt(o.sentAt.Add(o.took), "client", "%s: %s", o.id, answer)
	}
	for _, a := range arrived {
		noteAt(a.at, "backend", "%s (%s) got %s, ran it: %v", a.upstream, a.service, a.id, a.ran)
	}
}

// say prints a line and records it.
func say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	note("case", format, args...)
}
