package asker

import (
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

// awaitPoll is the time between two looks at the hosts.
const awaitPoll = 100 * time.Millisecond

// Progress tells which hosts have a ticket in force.
type Progress struct {
	Number  core.Number       `json:"number"`
	InForce []string          `json:"in-force"`
	Behind  []string          `json:"behind"`
	CutOff  []string          `json:"cut-off"`
	Elapsed core.Milliseconds `json:"elapsed-ms"`
}

// IsDone reports whether every host that is not cut off has the ticket.
func (p Progress) IsDone() bool {
	return len(p.InForce) > 0 && len(p.Behind) == 0
}

// Await waits until a ticket is in force on every host that is not cut off, at
// most for the limit.
func (a *Asker) Await(number core.Number, limit time.Duration) Progress {
	start := time.Now()
	for {
		progress := a.look(number)
		progress.Elapsed = core.MillisecondsOf(time.Since(start))
		if progress.IsDone() && len(progress.CutOff) == 0 || time.Since(start) >= limit {
			return progress
		}
		time.Sleep(awaitPoll)
	}
}

// look asks all hosts, and the hosts that these know, which ticket is in
// force. A host that neither answers nor is heard from is cut off.
func (a *Asker) look(number core.Number) Progress {
	tickets := map[string]uint64{}
	cutOff := map[string]bool{}
	for _, h := range a.Hosts {
		status, err := a.Status(h)
		if err != nil {
			cutOff[h] = true
			continue
		}
		tickets[status.Host] = max(tickets[status.Host], status.Ticket)
		for _, m := range status.Members {
			if m.IsLive {
				tickets[m.Host] = max(tickets[m.Host], m.Ticket)
			} else if _, ok := tickets[m.Host]; !ok {
				cutOff[m.Host] = true
			}
		}
	}
	progress := Progress{Number: number}
	for h, t := range tickets {
		delete(cutOff, h)
		if t >= uint64(number) {
			progress.InForce = append(progress.InForce, h)
		} else {
			progress.Behind = append(progress.Behind, h)
		}
	}
	for h := range cutOff {
		progress.CutOff = append(progress.CutOff, h)
	}
	slices.Sort(progress.InForce)
	slices.Sort(progress.Behind)
	slices.Sort(progress.CutOff)
	return progress
}
