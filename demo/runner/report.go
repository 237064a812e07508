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

// Windows of headroom.
const (
	headroomInterval = 50 * time.Millisecond
	headroomWindow   = int(time.Second / headroomInterval)
)

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// watchHeadroom follows the free part of each region's slots, as a mean over a
// second. The returned function ends it and returns the least of each region.
func (r *Runner) watchHeadroom() func() map[core.RegionName]float64 {
	stop := make(chan struct{})
	least := map[core.RegionName]float64{}
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
				r.sampleHeadroom(windows, least)
			}
		}
	}()
	return func() map[core.RegionName]float64 {
		close(stop)
		group.Wait()
		return least
	}
}

func (r *Runner) sampleHeadroom(windows map[core.RegionName][]float64, least map[core.RegionName]float64) {
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
		if known, ok := least[g]; !ok || mean < known {
			least[g] = mean
		}
	}
}

// report checks the promises and writes down what the run showed.
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
	report.Drain = r.drain.Seconds()
	report.Ticket = r.ticket.Seconds()
	if r.ticket > ticketLimit {
		report.Broken[reporter.PromiseTicket]++
	}
	report.Broken[reporter.PromiseTicket] += r.reverted + r.raceBroken
	report.Preventable = report.Requests - report.Answered - r.expected
	report.Notes = append(report.Notes, r.notes...)
	return report
}

func (r *Runner) reportLinks(report *reporter.Report) {
	for l, m := range r.emulator.Meters() {
		peak := m.Peak()
		limit := r.Deployment.LinkCap
		report.Links = append(report.Links, reporter.LinkReport{
			From: l.From, To: l.To, Cap: limit, Peak: peak, Part: float64(peak) / float64(limit),
		})
		if peak > limit {
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

// reportLedger compares what clients were told with what upstreams ran.
func (r *Runner) reportLedger(report *reporter.Report) {
	r.mu.Lock()
	refused := slices.Clone(r.refused)
	once := slices.Clone(r.once)
	r.mu.Unlock()
	for _, f := range refused {
		if r.ledger.Runs(f.call.Nonce) > 0 {
			report.Broken[reporter.PromiseTrueRefusal]++
			report.Notes = append(report.Notes, fmt.Sprintf("%s request %s ran and was refused as %s after %d sends, %s",
				f.call.Service.Name, f.call.Nonce, f.result.Kind, f.result.Sends, f.result.Latency))
		}
	}
	report.Broken[reporter.PromiseAtMostOnce] = r.ledger.Repeated(once)
	if r.Fault == "rolling-restart" {
		report.Broken[reporter.PromisePlannedStop] += r.collector.Cut()
	}
	report.Broken[reporter.PromiseUpstreamDrain] = r.ledger.AfterDrain()
	report.Broken[reporter.PromiseOwnAnswer] += r.ledger.Damaged()
	foreign, local := r.ledger.Overloads()
	report.Broken[reporter.PromiseOverload] = foreign
	report.LocalSheds = local
	report.Attempts = r.ledger.Total()
}
