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
		Deployment:     r.Deployment.Name,
		Fault:          r.Fault,
		Seed:           r.Seed,
		Load:           r.Load,
		Policy:         r.Policy,
		Violations:     map[reporter.Promise]int{},
		CPUSeconds:     cpu.Seconds(),
		ElapsedSeconds: elapsed.Seconds(),
	}
	for _, p := range reporter.Promises {
		report.Violations[p] = 0
	}
	r.collector.FillReport(report)
	for _, g := range r.Deployment.Regions {
		report.Regions = append(report.Regions, reporter.RegionReport{Name: string(g), LeastHeadroom: headroom[g]})
	}
	r.reportLinks(report)
	r.reportLedger(report)
	report.PlatformWrites, report.PlatformReads = r.archiver.RequestCounts()
	r.mu.Lock()
	defer r.mu.Unlock()
	report.DrainSeconds = r.drainTime.Seconds()
	report.TicketPropagationSeconds = r.propagationTime.Seconds()
	if r.propagationTime > maxPropagationTime {
		report.Violations[reporter.PromiseTicketPropagation]++
	}
	report.Violations[reporter.PromiseTicketPropagation] += r.reverted + r.failedRaces
	report.PreventableErrors = report.Requests - report.Answered - r.expectedUnknown
	report.Notes = append(report.Notes, r.notes...)
	return report
}

// reportLinks reports the peak rate of each link and compares it with its capacity.
func (r *Runner) reportLinks(report *reporter.Report) {
	for l, m := range r.emulator.Meters() {
		peak := m.Peak()
		linkCap := r.Deployment.LinkCap
		report.Links = append(report.Links, reporter.LinkReport{
			From: l.From, To: l.To, Cap: linkCap, Peak: peak, PeakRatio: float64(peak) / float64(linkCap),
		})
		if peak > linkCap {
			report.Violations[reporter.PromiseLinkCap]++
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
		if r.ledger.Executions(f.call.Nonce) > 0 {
			report.Violations[reporter.PromiseRefusedNotRun]++
			report.Notes = append(report.Notes, fmt.Sprintf("%s request %s was executed but reported as not run (%s) after %d attempts in %s",
				f.call.Service.Name, f.call.Nonce, f.result.FailureReason, f.result.Attempts, f.result.Latency))
		}
	}
	report.Violations[reporter.PromiseAtMostOnce] = r.ledger.CountRepeatedExecutions(nonIdempotent)
	if r.Fault == "rolling-restart" {
		report.Violations[reporter.PromiseGracefulStop] += r.collector.ConnectionsLost()
	}
	report.Violations[reporter.PromiseUpstreamDrain] = r.ledger.RequestsAfterDrain()
	report.Violations[reporter.PromiseOwnResponse] += r.ledger.CorruptRequests()
	remote, local := r.ledger.Overloads()
	report.Violations[reporter.PromiseRemoteOverload] = remote
	report.UpstreamSheds = local
	report.Attempts = r.ledger.TotalExecutions()
}
