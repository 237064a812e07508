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
// the names of hosts that another host lists as expired and that are in neither of the other
// lists, and the addresses in APIClient.Hosts whose status could not be read and at which no
// other host reports a host. Elapsed is the time since the wait began.
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
// off if it is reported only as expired, and so is an address whose status cannot be
// read, unless another host reports which host is there.
func (a *APIClient) poll(number core.TicketNumber) RolloutProgress {
	r := newReports()
	for _, address := range a.Hosts {
		status, err := a.Status(address)
		if err != nil {
			r.unreachable = append(r.unreachable, address)
			continue
		}
		r.add(status)
	}
	return r.progress(number)
}

// reports holds what the hosts that were asked say about all hosts that they know.
type reports struct {
	// tickets holds the ticket in force on each live host, by the host's name.
	tickets map[string]uint64
	// expired holds the names of the hosts that some host reports as expired.
	expired map[string]bool
	// hostAt holds the name of the host at each client address.
	hostAt map[string]string
	// unreachable are the addresses whose status could not be read.
	unreachable []string
}

func newReports() *reports {
	return &reports{tickets: map[string]uint64{}, expired: map[string]bool{}, hostAt: map[string]string{}}
}

// add adds the status of one host.
func (r *reports) add(status Status) {
	r.tickets[status.Host] = max(r.tickets[status.Host], status.Ticket)
	for _, member := range status.Members {
		if member.Address != "" {
			r.hostAt[member.Address] = member.Host
		}
		if member.IsLive {
			r.tickets[member.Host] = max(r.tickets[member.Host], member.Ticket)
		} else {
			r.expired[member.Host] = true
		}
	}
}

// progress returns on which hosts a ticket is in force, by name.
func (r *reports) progress(number core.TicketNumber) RolloutProgress {
	progress := RolloutProgress{Number: number}
	for host, ticket := range r.tickets {
		if ticket >= uint64(number) {
			progress.InForce = append(progress.InForce, host)
		} else {
			progress.Pending = append(progress.Pending, host)
		}
	}
	for host := range r.expired {
		if _, isLive := r.tickets[host]; !isLive {
			progress.Unreachable = append(progress.Unreachable, host)
		}
	}
	for _, address := range r.unreachable {
		if _, isKnown := r.hostAt[address]; !isKnown {
			progress.Unreachable = append(progress.Unreachable, address)
		}
	}
	slices.Sort(progress.InForce)
	slices.Sort(progress.Pending)
	slices.Sort(progress.Unreachable)
	return progress
}
