package runner

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/endiverun/endiverun/core"
	"github.com/endiverun/endiverun/demo/reporter"
)

// Sampling of headroom, over windows of one second.
const (
	headroomInterval = 50 * time.Millisecond
	headroomWindow   = int(time.Second / headroomInterval)
)

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// watchHeadroom starts to sample the fraction of each region's slots that is free.
// The returned function stops it and returns the minimum for each region of the
// means over one second.
func (r *Runner) watchHeadroom() func() map[core.RegionName]float64 {
	stop := make(chan struct{})
	minimum := map[core.RegionName]float64{}
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		windows := map[core.RegionName][]float64{}
		ticker := time.NewTicker(headroomInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				r.sampleHeadroom(windows, minimum)
			}
		}
	}()
	return func() map[core.RegionName]float64 {
		close(stop)
		group.Wait()
		return minimum
	}
}

// sampleHeadroom adds a sample to the window of each region and updates the minimum
// of the means.
func (r *Runner) sampleHeadroom(windows map[core.RegionName][]float64, minimum map[core.RegionName]float64) {
	used := map[core.RegionName]int{}
	slots := map[core.RegionName]int{}
	for _, u := range r.upstreams {
		region := core.RegionName(u.Region)
		used[region] += min(u.InFlight(), u.spec.Slots)
		slots[region] += u.spec.Slots
	}
	for g, n := range slots {
		windows[g] = append(windows[g], 1-float64(used[g])/float64(n))
		if len(windows[g]) > headroomWindow {
			windows[g] = windows[g][1:]
		}
		window := windows[g]
		if len(window) < headroomWindow {
			continue
		}
		mean := 0.0
		for _, v := range window {
			mean += v / float64(len(window))
		}
		if lowest, ok := minimum[g]; !ok || mean < lowest {
			minimum[g] = mean
		}
	}
}

// report checks the promises and returns the report of the run.
func (r *Runner) report(headroom map[core.RegionName]float64, elapsed, cpu time.Duration) *reporter.Report {
	report := &reporter.Report{
		Deployment: r.Deployment.Name,
		Fault:      r.Fault,
		Seed:       r.Seed,
		Load:       r.Load,
		Policy:     r.Policy,
		Broken:     map[reporter.Promise]int{},
		CPU:        cpu.Seconds(),
		Elapsed:    elapsed.Seconds(),
	}
	for _, p := range reporter.Promises {
		report.Broken[p] = 0
	}
	r.collector.Fill(report)
	for _, g := range r.Deployment.Regions {
		report.Regions = append(report.Regions, reporter.RegionReport{Name: string(g), Least: headroom[g]})
	}
	r.reportLinks(report)
	r.reportLedger(report)
	report.Writes, report.Reads = r.archiver.Counts()
	r.mu.Lock()
	defer r.mu.Unlock()
	report.Drain = r.drainTime.Seconds()
	report.Ticket = r.propagationTime.Seconds()
	if r.propagationTime > maxPropagationTime {
		report.Broken[reporter.PromiseTicket]++
	}
	report.Broken[reporter.PromiseTicket] += r.reverted + r.failedRaces
	report.Preventable = report.Requests - report.Answered - r.expectedUnknown
	report.Notes = append(report.Notes, r.notes...)
	return report
}

// reportLinks reports the peak rate of each link and compares it with its capacity.
func (r *Runner) reportLinks(report *reporter.Report) {
	for l, m := range r.emulator.Meters() {
		peak := m.Peak()
		linkCap := r.Deployment.LinkCap
		report.Links = append(report.Links, reporter.LinkReport{
			From: l.From, To: l.To, Cap: linkCap, Peak: peak, Part: float64(peak) / float64(linkCap),
		})
		if peak > linkCap {
			report.Broken[reporter.PromiseLinkCap]++
		}
	}
	slices.SortFunc(report.Links, func(a, b reporter.LinkReport) int {
		if a.From != b.From {
			if a.From < b.From {
				return -1
			}
			return 1
		}
		if a.To < b.To {
			return -1
		}
		return 1
	})
}

// reportLedger checks the results of the clients against the executions of the
// upstreams.
func (r *Runner) reportLedger(report *reporter.Report) {
	r.mu.Lock()
	refusals := slices.Clone(r.refusals)
	nonIdempotent := slices.Clone(r.nonIdempotent)
	r.mu.Unlock()
	for _, f := range refusals {
		if r.ledger.Runs(f.call.Nonce) > 0 {
			report.Broken[reporter.PromiseTrueRefusal]++
			report.Notes = append(report.Notes, fmt.Sprintf("%s request %s was executed but reported as not run (%s) after %d attempts in %s",
				f.call.Service.Name, f.call.Nonce, f.result.Kind, f.result.Sends, f.result.Latency))
		}
	}
	report.Broken[reporter.PromiseAtMostOnce] = r.ledger.Repeated(nonIdempotent)
	if r.Fault == "rolling-restart" {
		report.Broken[reporter.PromisePlannedStop] += r.collector.Cut()
	}
	report.Broken[reporter.PromiseUpstreamDrain] = r.ledger.AfterDrain()
	report.Broken[reporter.PromiseOwnAnswer] += r.ledger.Damaged()
	remote, local := r.ledger.Overloads()
	report.Broken[reporter.PromiseOverload] = remote
	report.LocalSheds = local
	report.Attempts = r.ledger.Total()
}
