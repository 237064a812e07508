package explainer

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// timeLayout is the layout of times in the tables. It has no date because the
// events of one request are close together.
const timeLayout = "15:04:05.000"

// Write writes the history as two tables: the events about the request, and the
// state that each host had logged before the request reached it. If no event names
// the request, it writes a line that says so.
func (h History) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(h.Events) == 0 {
		fmt.Fprintf(t, "no line names request %s\n", h.Request)
		return t.Flush()
	}
	fmt.Fprintln(t, "TIME\tHOST\tEVENT\tDETAILS")
	for _, event := range h.Events {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", event.Time.Format(timeLayout), event.Host, event.Name, formatFields(event.Fields))
	}
	fmt.Fprintln(t, "\nHOST\tBELIEVED\tFOR\tDETAILS")
	for _, host := range slices.Sorted(maps.Keys(h.StateEvents)) {
		for _, b := range h.StateEvents[host] {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", host, b.Name, b.Age.Round(time.Millisecond), formatFields(b.Fields))
		}
	}
	return t.Flush()
}

// formatFields returns the fields as name=value pairs, sorted by name. It omits
// empty values.
func formatFields(fields map[string]any) string {
	var pairs []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if text := fmt.Sprint(fields[name]); text != "" {
			pairs = append(pairs, name+"="+text)
		}
	}
	return strings.Join(pairs, " ")
}
