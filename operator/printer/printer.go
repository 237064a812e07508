// Package printer writes what hosts answer as tables for people.
//
// # Usage
//
//	printer.Status(os.Stdout, statuses)
package printer

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/endiverun/endiverun/operator/asker"
)

// newTable returns a writer that aligns columns.
func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
}

// Status writes the views of hosts.
func Status(w io.Writer, statuses []asker.Status, failures []error) error {
	t := newTable(w)
	fmt.Fprintln(t, "HOST\tZONE\tPHASE\tTICKET\tLIVE PEERS\tSILENT PEERS\tLINK SLOT")
	for _, s := range statuses {
		live, silent := countMembers(s.Members)
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n", s.Host, s.Zone, s.Phase, s.Ticket, live, silent, yes(s.HasSlot))
	}
	fmt.Fprintln(t, "\nUPSTREAM\tOWNER\tSERVICE\tIN FLIGHT\tLIMIT\tSLOTS\tMEAN MS\tSTATE")
	for _, s := range statuses {
		for _, u := range s.Upstreams {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n",
				u.Name, s.Host, u.Service, u.InFlight, u.Limit, u.Slots, u.Mean, stateOf(u))
		}
	}
	for _, err := range failures {
		fmt.Fprintf(t, "\n%s\n", err)
	}
	return t.Flush()
}

func countMembers(members []asker.Member) (live, silent int) {
	for _, m := range members {
		if m.IsLive {
			live++
		} else {
			silent++
		}
	}
	return live, silent
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func stateOf(u asker.Upstream) string {
	switch {
	case u.Leaving:
		return "leaving"
	case u.Ejected:
		return "ejected"
	default:
		return "live"
	}
}

// Explanation writes what a request would use.
func Explanation(w io.Writer, e asker.Explanation) error {
	t := newTable(w)
	fmt.Fprintf(t, "service %s, client zone %s, asked %s, ticket %d\n\n", e.Service, e.Zone, e.Host, e.Ticket)
	fmt.Fprintln(t, "ORDER\tENTRY HOST\tADDRESS\tZONE")
	for i, h := range e.Route {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\n", i+1, h.Name, h.Address, h.Zone)
	}
	fmt.Fprintln(t, "\nPLACE\tKIND\tZONE\tFREE\tTOTAL\tCOST MS\tUSABLE\tREASON")
	for _, c := range e.Choices {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%.1f\t%s\t%s\n", c.Name, c.Kind, c.Zone, c.Free, c.Total, c.Cost, yes(c.Usable), c.Reason)
	}
	fmt.Fprintf(t, "\na request now would: %s\n", e.Verdict)
	return t.Flush()
}

// Progress writes which hosts have a ticket in force.
func Progress(w io.Writer, p asker.Progress) error {
	t := newTable(w)
	fmt.Fprintf(t, "ticket %d after %d ms\n", p.Number, p.Elapsed)
	fmt.Fprintf(t, "in force\t%s\n", list(p.InForce))
	fmt.Fprintf(t, "behind\t%s\n", list(p.Behind))
	fmt.Fprintf(t, "cut off\t%s\n", list(p.CutOff))
	return t.Flush()
}

func list(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, " ")
}
