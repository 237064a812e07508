// Package reporter collects the results of a demo run and writes the report of the
// run, as tables for people or as JSON for programs.
//
// A Collector counts the results of requests while the run goes on. At the end it
// fills its part of a Report; the caller adds the rest.
//
// # Usage
//
//	c := reporter.New([]core.ServiceName{"fitchart"})
//	c.Record("fitchart", result)
//	report := &reporter.Report{Violations: map[reporter.Promise]int{}}
//	c.FillReport(report)
//	err := report.WriteTable(os.Stdout)
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

// Range of recorded latencies, in microseconds, and their number of significant
// decimal digits.
const (
	minMicroseconds   = 1
	maxMicroseconds   = 60_000_000
	significantDigits = 3
)

// Promise is the name of a guarantee of the system whose violations are counted.
type Promise string

// The promises among the requirements whose violations a run can detect.
const (
	// PromiseLinkCap: no link carries more than its capacity over a second.
	PromiseLinkCap Promise = "link-cap"
	// PromiseRemoteOverload: no request from another region reaches an upstream whose
	// slots are all in use.
	PromiseRemoteOverload Promise = "region-overload"
	// PromiseOwnResponse: every response is complete and belongs to its request, and
	// every request body arrives intact.
	PromiseOwnResponse Promise = "whole-own-answer"
	// PromiseRefusedNotRun: a request that is reported as not run was not run.
	PromiseRefusedNotRun Promise = "true-refusal"
	// PromiseAtMostOnce: a request that is not idempotent runs at most once.
	PromiseAtMostOnce Promise = "at-most-once"
	// PromiseUpstreamDrain: a draining upstream gets no new requests after a
	// grace period.
	PromiseUpstreamDrain Promise = "upstream-drain"
	// PromiseGracefulStop: a graceful stop of an entry host succeeds and cuts no
	// connection with a request in flight.
	PromiseGracefulStop Promise = "planned-stop"
	// PromiseTicketPropagation: an accepted ticket is applied by all hosts in time and not
	// reverted, and of concurrent tickets with one number exactly one is accepted.
	PromiseTicketPropagation Promise = "ticket-in-force"
)

// Promises lists all promises in the order of the requirements.
var Promises = []Promise{
	PromiseLinkCap, PromiseRemoteOverload, PromiseOwnResponse, PromiseRefusedNotRun,
	PromiseAtMostOnce, PromiseUpstreamDrain, PromiseGracefulStop, PromiseTicketPropagation,
}

// Report is the report of a run. Its JSON form is documented in docs/API.md.
type Report struct {
	Deployment string `json:"deployment"`
	Fault      string `json:"fault"`
	Seed       uint64 `json:"seed"`
	// Load is the target utilization of all slots; 1 uses all of them.
	Load     float64 `json:"load"`
	Policy   string  `json:"policy"`
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	// Attempts is the number of executions by upstreams.
	Attempts int `json:"attempts"`
	// PreventableErrors is the number of failed requests, without those that are not
	// idempotent and whose outcome is unknown.
	PreventableErrors int `json:"preventable-errors"`
	// Violations is the number of violations of each promise.
	Violations map[Promise]int `json:"promises-broken"`
	Services   []ServiceReport `json:"services"`
	Regions    []RegionReport  `json:"regions"`
	Links      []LinkReport    `json:"links"`
	// DrainSeconds is the longest time in seconds that an upstream or host took to drain.
	DrainSeconds float64 `json:"drain-seconds"`
	// TicketPropagationSeconds is the longest time in seconds from acceptance of a ticket until all
	// running hosts that are not partitioned had applied it.
	TicketPropagationSeconds float64 `json:"ticket-in-force-seconds"`
	// CPUSeconds is the processor time in seconds of the whole process during the load.
	CPUSeconds float64 `json:"processes-cpu-seconds"`
	// PlatformWrites and Reads are the requests to the platform's store.
	PlatformWrites int64 `json:"platform-writes"`
	PlatformReads  int64 `json:"platform-reads"`
	// Failures is the number of failed requests by kind.
	Failures map[string]int `json:"refusals"`
	// UpstreamSheds is the number of requests from its own region that an upstream
	// refused because its slots were all in use.
	UpstreamSheds  int      `json:"upstream-sheds"`
	ElapsedSeconds float64  `json:"elapsed-seconds"`
	Notes          []string `json:"notes,omitempty"`
}

// ServiceReport is the part of a report on one service.
type ServiceReport struct {
	Name string `json:"name"`
	// P50, P99 and P999 are percentiles of the latency of answered requests, in
	// milliseconds.
	P50  float64 `json:"p50-ms"`
	P99  float64 `json:"p99-ms"`
	P999 float64 `json:"p999-ms"`
	// DirectP50 and DirectHi are the median and the 99th percentile of the baseline
	// latency in milliseconds: that of clients that call an idle upstream directly.
	DirectP50 float64 `json:"direct-p50-ms"`
	DirectP99 float64 `json:"direct-p99-ms"`
	Requests  int     `json:"requests"`
	// Refused is the number of requests that were not run.
	Refused int `json:"refused"`
	// Unknown is the number of requests that may have been run.
	Unknown int `json:"unknown"`
	// Failures is the number of failed requests by kind.
	Failures map[string]int `json:"kinds,omitempty"`
}

// RegionReport is the part of a report on one region.
type RegionReport struct {
	Name string `json:"name"`
	// LeastHeadroom is the minimum fraction of the region's slots that was free, as a mean
	// over one second.
	LeastHeadroom float64 `json:"least-headroom"`
}

// LinkReport is the part of a report on the link from one region to another.
type LinkReport struct {
	From core.RegionName    `json:"from"`
	To   core.RegionName    `json:"to"`
	Cap  core.BitsPerSecond `json:"cap-bits"`
	// Peak is the maximum mean rate over a window of one second.
	Peak core.BitsPerSecond `json:"peak-bits"`
	// PeakRatio is Peak divided by Cap.
	PeakRatio float64 `json:"peak-ratio"`
}

// Collector counts the results of requests during a run. Its methods may be called
// concurrently.
type Collector struct {
	mu       sync.Mutex
	services map[core.ServiceName]*serviceResults
	// failures is the number of failed requests by kind.
	failures map[string]int
	// invalidResponses is the number of responses that were incomplete, malformed or of
	// another request.
	invalidResponses int
	// connectionsLost is the number of requests that lost a connection.
	connectionsLost int
}

// serviceResults holds the results of one service.
type serviceResults struct {
	latencies *hdrhistogram.Histogram
	direct    *hdrhistogram.Histogram
	requests  int
	answered  int
	refused   int
	unknown   int
	failures  map[string]int
}

// New returns a collector for the services.
func New(services []core.ServiceName) *Collector {
	c := &Collector{services: map[core.ServiceName]*serviceResults{}, failures: map[string]int{}}
	for _, n := range services {
		c.services[n] = &serviceResults{
			latencies: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
			direct:    hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits),
			failures:  map[string]int{},
		}
	}
	return c
}

// Record records the result of one request.
func (c *Collector) Record(service core.ServiceName, result driver.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[service]
	s.requests++
	if result.ConnectionLost {
		c.connectionsLost++
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
	case driver.InvalidResponse:
		c.invalidResponses++
	}
	s.failures[result.FailureReason]++
	c.failures[result.FailureReason]++
}

// RecordDirect records the latency of a direct call to an idle upstream.
func (c *Collector) RecordDirect(service core.ServiceName, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.services[service].direct.RecordValue(latency.Microseconds())
}

// FillReport writes the collected results into a report, whose map of violations
// must exist.
func (c *Collector) FillReport(report *Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report.Failures = c.failures
	for n, s := range c.services {
		report.Requests += s.requests
		report.Answered += s.answered
		report.Services = append(report.Services, ServiceReport{
			Name:      string(n),
			P50:       percentileMs(s.latencies, 50),
			P99:       percentileMs(s.latencies, 99),
			P999:      percentileMs(s.latencies, 99.9),
			DirectP50: percentileMs(s.direct, 50),
			DirectP99: percentileMs(s.direct, 99),
			Requests:  s.requests,
			Refused:   s.refused,
			Unknown:   s.unknown,
			Failures:  s.failures,
		})
	}
	slices.SortFunc(report.Services, func(a, b ServiceReport) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	report.Violations[PromiseOwnResponse] += c.invalidResponses
}

// ConnectionsLost returns the number of requests that lost a connection before their response.
func (c *Collector) ConnectionsLost() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connectionsLost
}

// Progress returns the number of completed requests and of answered ones so far,
// and the number of failed ones by kind.
func (c *Collector) Progress() (requests, answered int, causes string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.services {
		requests += s.requests
		answered += s.answered
	}
	return requests, answered, formatCounts(c.failures)
}

// percentileMs returns a percentile of a histogram in milliseconds.
func percentileMs(h *hdrhistogram.Histogram, percentile float64) float64 {
	const perMillisecond = 1000
	return float64(h.ValueAtQuantile(percentile)) / perMillisecond
}

// HasViolations reports whether any promise was violated.
func (r *Report) HasViolations() bool {
	for _, n := range r.Violations {
		if n > 0 {
			return true
		}
	}
	return false
}

// WriteJSON writes the report as indented JSON, for programs.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as tables, for people.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "deployment %s, fault %s, load %.0f%%, seed %d, %.1f s\n\n", r.Deployment, r.Fault, r.Load*100, r.Seed, r.ElapsedSeconds)
	fmt.Fprintln(t, "SERVICE\tREQUESTS\tP50 MS\tP99 MS\tP99.9 MS\tDIRECT P50\tREFUSED\tUNKNOWN\tCAUSES")
	for _, s := range r.Services {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%s\n",
			s.Name, s.Requests, s.P50, s.P99, s.P999, s.DirectP50, s.Refused, s.Unknown, formatCounts(s.Failures))
	}
	fmt.Fprintln(t, "\nREGION\tLEAST HEADROOM")
	for _, g := range r.Regions {
		fmt.Fprintf(t, "%s\t%.0f%%\n", g.Name, g.LeastHeadroom*100)
	}
	fmt.Fprintln(t, "\nLINK\tPEAK MBIT/S\tCAP MBIT/S\tUSE")
	for _, l := range r.Links {
		fmt.Fprintf(t, "%s to %s\t%.2f\t%.0f\t%.1f%%\n", l.From, l.To, megabits(l.Peak), megabits(l.Cap), l.PeakRatio*100)
	}
	fmt.Fprintln(t, "\nPROMISE\tBROKEN")
	for _, p := range Promises {
		fmt.Fprintf(t, "%s\t%d\n", p, r.Violations[p])
	}
	fmt.Fprintf(t, "\nrequests %d, answered %d, attempts %d, preventable errors %d, upstream sheds %d\n",
		r.Requests, r.Answered, r.Attempts, r.PreventableErrors, r.UpstreamSheds)
	fmt.Fprintf(t, "ticket in force after %.2f s, drain %.2f s, CPU %.1f s, platform writes %d, reads %d\n",
		r.TicketPropagationSeconds, r.DrainSeconds, r.CPUSeconds, r.PlatformWrites, r.PlatformReads)
	for _, n := range r.Notes {
		fmt.Fprintf(t, "note: %s\n", n)
	}
	return t.Flush()
}

func megabits(b core.BitsPerSecond) float64 {
	return float64(b) / float64(core.Megabit)
}

// formatCounts returns the counts as "name=count " items, sorted by name.
func formatCounts(m map[string]int) string {
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
