package asker

import (
	"slices"
	"time"

	"github.com/endiverun/endiverun/core"
)

// pollInterval is the pause between two polls of the hosts.
const pollInterval = 100 * time.Millisecond

// RolloutProgress tells on which hosts a ticket is in force. InForce and Pending hold the
// names of hosts that have applied the ticket and of those that have not. Unreachable holds
// the addresses in Asker.Hosts whose status could not be read, and the names of hosts
// that another host lists as expired and that are in neither of the other lists. Elapsed is
// the time since the wait began.
type RolloutProgress struct {
	Number      core.TicketNumber `json:"number"`
	InForce     []string          `json:"in-force"`
	Pending     []string          `json:"behind"`
	Unreachable []string          `json:"cut-off"`
	Elapsed     core.Milliseconds `json:"elapsed-ms"`
}

// IsInForce reports whether the ticket is in force on every host that is not cut off, and
// on at least one.
func (p RolloutProgress) IsInForce() bool {
	return len(p.InForce) > 0 && len(p.Pending) == 0
}

// AwaitTicket polls the hosts until the ticket is in force on every known host and no host
// is cut off, or until the limit has passed, and returns the last result.
func (a *APIClient) AwaitTicket(number core.TicketNumber, limit time.Duration) RolloutProgress {
	start := time.Now()
	for {
		progress := a.poll(number)
		progress.Elapsed = core.MillisecondsOf(time.Since(start))
		if progress.IsInForce() && len(progress.Unreachable) == 0 || time.Since(start) >= limit {
			return progress
		}
		time.Sleep(pollInterval)
	}
}

// poll asks each host in a.Hosts which ticket is in force on it and on the hosts that
// it knows. Of several reports about a host, the highest number counts. A host is cut
// off if it is reported only as expired; an address whose status cannot be read is
// always cut off, since the name of the host there is not known.
func (a *APIClient) poll(number core.TicketNumber) RolloutProgress {
	tickets := map[string]uint64{} // By host name.
	cutOff := map[string]bool{}
	for _, address := range a.Hosts {
		status, err := a.Status(address)
		if err != nil {
			cutOff[address] = true
			continue
		}
		tickets[status.Host] = max(tickets[status.Host], status.Ticket)
		for _, member := range status.Members {
			if member.IsLive {
				tickets[member.Host] = max(tickets[member.Host], member.Ticket)
			} else if _, ok := tickets[member.Host]; !ok {
				cutOff[member.Host] = true
			}
		}
	}
	progress := RolloutProgress{Number: number}
	for host, ticket := range tickets {
		delete(cutOff, host)
		if ticket >= uint64(number) {
			progress.InForce = append(progress.InForce, host)
		} else {
			progress.Pending = append(progress.Pending, host)
		}
	}
	for host := range cutOff {
		progress.Unreachable = append(progress.Unreachable, host)
	}
	slices.Sort(progress.InForce)
	slices.Sort(progress.Pending)
	slices.Sort(progress.Unreachable)
	return progress
}
