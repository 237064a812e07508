// Package reporter collects what a run of the demo showed and writes it as a
// table for people or as JSON for programs.
//
// # Usage
//
//	r := reporter.New(deployment)
//	r.Note("fitchart", result)
//	report := r.Report()
//	report.WriteTable(os.Stdout)
package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/demo/driver"
)

// Range of recorded latencies, in microseconds, and their precision.
const (
	lowest    = 1
	highest   = 60_000_000
	precision = 3
)

// Promise names a promise whose breaks are counted.
type Promise string

// The promises of the brief that a run can see broken.
const (
	PromiseLinkCap       Promise = "link-cap"
	PromiseOverload      Promise = "region-overload"
	PromiseOwnAnswer     Promise = "whole-own-answer"
	PromiseTrueRefusal   Promise = "true-refusal"
	PromiseAtMostOnce    Promise = "at-most-once"
	PromiseUpstreamDrain Promise = "upstream-drain"
	PromisePlannedStop   Promise = "planned-stop"
	PromiseTicket        Promise = "ticket-in-force"
)

// Promises lists all promises in the order of the brief.
var Promises = []Promise{
	PromiseLinkCap, PromiseOverload, PromiseOwnAnswer, PromiseTrueRefusal,
	PromiseAtMostOnce, PromiseUpstreamDrain, PromisePlannedStop, PromiseTicket,
}

// Report is what a run showed. Its JSON form is documented in docs/API.md.
type Report struct {
	Deployment  string          `json:"deployment"`
	Fault       string          `json:"fault"`
	Seed        uint64          `json:"seed"`
	Load        float64         `json:"load"`
	Policy      string          `json:"policy"`
	Requests    int             `json:"requests"`
	Answered    int             `json:"answered"`
	Attempts    int             `json:"attempts"`
	Preventable int             `json:"preventable-errors"`
	Broken      map[Promise]int `json:"promises-broken"`
	Services    []ServiceReport `json:"services"`
	Regions     []RegionReport  `json:"regions"`
	Links       []LinkReport    `json:"links"`
	Drain       float64         `json:"drain-seconds"`
	Ticket      float64         `json:"ticket-in-force-seconds"`
	CPU         float64         `json:"processes-cpu-seconds"`
	Writes      int64           `json:"platform-writes"`
	Reads       int64           `json:"platform-reads"`
	Refusals    map[string]int  `json:"refusals"`
	LocalSheds  int             `json:"upstream-sheds"`
	Elapsed     float64         `json:"elapsed-seconds"`
	Notes       []string        `json:"notes,omitempty"`
}

// ServiceReport is what a run showed of one service. Direct is the median of
// clients that called an idle stand-in without the system between.
type ServiceReport struct {
	Name     string         `json:"name"`
	P50      float64        `json:"p50-ms"`
	P99      float64        `json:"p99-ms"`
	P999     float64        `json:"p999-ms"`
	Direct   float64        `json:"direct-p50-ms"`
	DirectHi float64        `json:"direct-p99-ms"`
	Requests int            `json:"requests"`
	Refused  int            `json:"refused"`
	Unknown  int            `json:"unknown"`
	Kinds    map[string]int `json:"kinds,omitempty"`
}

// RegionReport is the least part of a region's slots that was free over a
// second.
type RegionReport struct {
	Name  string  `json:"name"`
	Least float64 `json:"least-headroom"`
}

// LinkReport is the most that a link carried in a window of a second.
type LinkReport struct {
	From core.RegionName    `json:"from"`
	To   core.RegionName    `json:"to"`
	Cap  core.BitsPerSecond `json:"cap-bits"`
	Peak core.BitsPerSecond `json:"peak-bits"`
	Part float64            `json:"peak-ratio"`
}

// Collector collects results while a run goes on.
type Collector struct {
	mu       sync.Mutex
	services map[core.ServiceName]*series
	refusals map[string]int
	wrong    int
	cut      int
}

type series struct {
	latencies *hdrhistogram.Histogram
	direct    *hdrhistogram.Histogram
	requests  int
	answered  int
	refused   int
	unknown   int
	kinds     map[string]int
}

// New returns a collector for the services.
func New(services []core.ServiceName) *Collector {
	c := &Collector{services: map[core.ServiceName]*series{}, refusals: map[string]int{}}
	for _, n := range services {
		c.services[n] = &series{
			latencies: hdrhistogram.New(lowest, highest, precision),
			direct:    hdrhistogram.New(lowest, highest, precision),
			kinds:     map[string]int{},
		}
	}
	return c
}

// Note takes in the result of one request.
func (c *Collector) Note(service core.ServiceName, result driver.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[service]
	s.requests++
	if result.Cut {
		c.cut++
	}
	switch result.Verdict {
	case driver.Answered:
		s.answered++
		_ = s.latencies.RecordValue(result.Latency.Microseconds())
		return
	case driver.Refused:
		s.refused++
	case driver.Unknown:
		s.unknown++
	case driver.Wrong:
		c.wrong++
	}
	s.kinds[result.Kind]++
	c.refusals[result.Kind]++
}

// NoteDirect takes in the latency of a call without the system between.
func (c *Collector) NoteDirect(service core.ServiceName, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.services[service].direct.RecordValue(latency.Microseconds())
}

// Fill writes what was collected into a report.
func (c *Collector) Fill(report *Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report.Refusals = c.refusals
	for n, s := range c.services {
		report.Requests += s.requests
		report.Answered += s.answered
		report.Services = append(report.Services, ServiceReport{
			Name:     string(n),
			P50:      quantile(s.latencies, 50),
			P99:      quantile(s.latencies, 99),
			P999:     quantile(s.latencies, 99.9),
			Direct:   quantile(s.direct, 50),
			DirectHi: quantile(s.direct, 99),
			Requests: s.requests,
			Refused:  s.refused,
			Unknown:  s.unknown,
			Kinds:    s.kinds,
		})
	}
	slices.SortFunc(report.Services, func(a, b ServiceReport) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	report.Broken[PromiseOwnAnswer] += c.wrong
}

// Cut returns the number of requests some connection of which was cut.
func (c *Collector) Cut() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

// Progress returns the number of requests and of answers so far, and the causes
// of the rest.
func (c *Collector) Progress() (requests, answered int, causes string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		requests += s.requests
		answered += s.answered
	}
	return requests, answered, counts(c.refusals)
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	const perMillisecond = 1000
	return float64(h.ValueAtQuantile(q)) / perMillisecond
}

// IsBroken reports whether any promise broke.
func (r *Report) IsBroken() bool {
	for _, n := range r.Broken {
		if n > 0 {
			return true
		}
	}
	return false
}

// WriteJSON writes the report for programs.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report for people.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "deployment %s, fault %s, load %.0f%%, seed %d, %.1f s\n\n", r.Deployment, r.Fault, r.Load*100, r.Seed, r.Elapsed)
	fmt.Fprintln(t, "SERVICE\tREQUESTS\tP50 MS\tP99 MS\tP99.9 MS\tDIRECT P50\tREFUSED\tUNKNOWN\tCAUSES")
	for _, s := range r.Services {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%s\n",
			s.Name, s.Requests, s.P50, s.P99, s.P999, s.Direct, s.Refused, s.Unknown, counts(s.Kinds))
	}
	fmt.Fprintln(t, "\nREGION\tLEAST HEADROOM")
	for _, g := range r.Regions {
		fmt.Fprintf(t, "%s\t%.0f%%\n", g.Name, g.Least*100)
	}
	fmt.Fprintln(t, "\nLINK\tPEAK MBIT/S\tCAP MBIT/S\tUSE")
	for _, l := range r.Links {
		fmt.Fprintf(t, "%s to %s\t%.2f\t%.0f\t%.1f%%\n", l.From, l.To, megabits(l.Peak), megabits(l.Cap), l.Part*100)
	}
	fmt.Fprintln(t, "\nPROMISE\tBROKEN")
	for _, p := range Promises {
		fmt.Fprintf(t, "%s\t%d\n", p, r.Broken[p])
	}
	fmt.Fprintf(t, "\nrequests %d, answered %d, attempts %d, preventable errors %d, upstream sheds %d\n",
		r.Requests, r.Answered, r.Attempts, r.Preventable, r.LocalSheds)
	fmt.Fprintf(t, "ticket in force after %.2f s, drain %.2f s, CPU %.1f s, platform writes %d, reads %d\n",
		r.Ticket, r.Drain, r.CPU, r.Writes, r.Reads)
	for _, n := range r.Notes {
		fmt.Fprintf(t, "note: %s\n", n)
	}
	return t.Flush()
}

func megabits(b core.BitsPerSecond) float64 {
	return float64(b) / float64(core.Megabit)
}

// counts writes counts by name, sorted by name.
func counts(m map[string]int) string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	text := ""
	for _, n := range names {
		text += fmt.Sprintf("%s=%d ", n, m[n])
	}
	return text
}
