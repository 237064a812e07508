// Package printer writes the responses of hosts as aligned tables for people. Programs
// read the JSON of the same values instead.
//
// # Usage
//
//	err := printer.WriteStatus(os.Stdout, statuses, failures)
//	err = printer.WriteExplanation(os.Stdout, explanation)
//	err = printer.WriteProgress(os.Stdout, progress)
package printer

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/endiverun/endiverun/operator/asker"
)

// newTable returns a writer that aligns tab-separated columns when it is flushed.
func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
}

// WriteStatus writes a table of the hosts, a table of the upstreams that they own, and the
// errors of the hosts whose status could not be read.
func WriteStatus(w io.Writer, statuses []asker.Status, failures []error) error {
	t := newTable(w)
	fmt.Fprintln(t, "HOST\tZONE\tPHASE\tTICKET\tLIVE PEERS\tSILENT PEERS\tLINK SLOT")
	for _, s := range statuses {
		live, expired := countMembers(s.Members)
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", s.Host, s.Zone, s.Phase, s.Ticket, live, expired, yesNo(s.HasLinkSlot))
	}
	fmt.Fprintln(t, "\nUPSTREAM\tOWNER\tSERVICE\tIN FLIGHT\tLIMIT\tSLOTS\tMEAN MS\tSTATE")
	for _, s := range statuses {
		for _, u := range s.Upstreams {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n",
				u.Name, s.Host, u.Service, u.InFlight, u.Limit, u.Slots, u.MeanServiceTimeMs, upstreamState(u))
		}
	}
	for _, err := range failures {
		fmt.Fprintf(t, "\n%s\n", err)
	}
	return t.Flush()
}

// countMembers returns the numbers of live and of expired members.
func countMembers(members []asker.Member) (live, expired int) {
	for _, m := range members {
		if m.IsLive {
			live++
		} else {
			expired++
		}
	}
	return live, expired
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// upstreamState returns "leaving" for a draining upstream, even if it is also ejected.
func upstreamState(u asker.Upstream) string {
	switch {
	case u.IsDraining:
		return "leaving"
	case u.IsEjected:
		return "ejected"
	default:
		return "live"
	}
}

// WriteExplanation writes how a request would be routed: a table of the entry hosts that
// the client is told to use, a table of the candidates that could process the request,
// and the decision of the queried host.
func WriteExplanation(w io.Writer, e asker.Explanation) error {
	t := newTable(w)
	fmt.Fprintf(t, "service %s, client zone %s, asked %s, ticket %d\n\n", e.Service, e.ClientZone, e.Host, e.Ticket)
	fmt.Fprintln(t, "ORDER\tENTRY HOST\tADDRESS\tZONE")
	for i, target := range e.Route {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\n", i+1, target.Name, target.Address, target.Zone)
	}
	fmt.Fprintln(t, "\nPLACE\tKIND\tZONE\tFREE\tTOTAL\tCOST MS\tUSABLE\tREASON")
	for _, c := range e.Candidates {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%.1f\t%s\t%s\n",
			c.Name, c.Kind, c.Zone, c.FreeSlots, c.TotalSlots, c.CostMs, yesNo(c.IsUsable), c.Reason)
	}
	fmt.Fprintf(t, "\na request now would: %s\n", e.Decision)
	return t.Flush()
}

// WriteProgress writes on which hosts a ticket is in force, on which it is not yet, and
// which hosts are cut off.
func WriteProgress(w io.Writer, p asker.RolloutProgress) error {
	t := newTable(w)
	fmt.Fprintf(t, "ticket %d after %d ms\n", p.Number, p.Elapsed)
	fmt.Fprintf(t, "in force\t%s\n", joinNames(p.InForce))
	fmt.Fprintf(t, "behind\t%s\n", joinNames(p.Pending))
	fmt.Fprintf(t, "cut off\t%s\n", joinNames(p.Unreachable))
	return t.Flush()
}

// joinNames returns the names separated by spaces, or "none".
func joinNames(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, " ")
}
