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

// clock is how times are written: a life is short.
const clock = "15:04:05.000"

// Write writes the life as two tables: what happened, and what each host
// believed when the request came.
func (l Life) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(l.Lines) == 0 {
		fmt.Fprintf(t, "no line names request %s\n", l.Request)
		return t.Flush()
	}
	fmt.Fprintln(t, "TIME\tHOST\tEVENT\tDETAILS")
	for _, line := range l.Lines {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", line.Time.Format(clock), line.Host, line.Name, details(line.Fields))
	}
	fmt.Fprintln(t, "\nHOST\tBELIEVED\tFOR\tDETAILS")
	for _, host := range slices.Sorted(maps.Keys(l.Beliefs)) {
		for _, b := range l.Beliefs[host] {
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", host, b.Name, b.Age.Round(time.Millisecond), details(b.Fields))
		}
	}
	return t.Flush()
}

// details writes fields as pairs in the order of their names. Empty ones are
// left out.
func details(fields map[string]any) string {
	var pairs []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if text := fmt.Sprint(fields[name]); text != "" {
			pairs = append(pairs, name+"="+text)
		}
	}
	return strings.Join(pairs, " ")
}
