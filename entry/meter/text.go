package meter

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// namePrefix precedes the names of all metrics in the text.
const namePrefix = "endiverun_"

// WriteText writes all metrics in the Prometheus text format: one line per series.
// Histograms are written as summaries.
func (m *Meter) WriteText(w io.Writer) error {
	out := bufio.NewWriter(w)
	reading := m.Snapshot()
	for _, metric := range slices.Sorted(maps.Keys(reading.Counters)) {
		name := namePrefix + string(metric) + "_total"
		fmt.Fprintf(out, "# TYPE %s counter\n", name)
		for _, s := range reading.Counters[metric] {
			fmt.Fprintf(out, "%s%s %d\n", name, s.Labels.format(""), s.Count)
		}
	}
	for _, metric := range slices.Sorted(maps.Keys(reading.Histograms)) {
		name := namePrefix + string(metric) + "_seconds"
		fmt.Fprintf(out, "# TYPE %s summary\n", name)
		for _, s := range reading.Histograms[metric] {
			writeSummary(out, name, s)
		}
	}
	for _, gauge := range slices.Sorted(maps.Keys(reading.Gauges)) {
		fmt.Fprintf(out, "# TYPE %s gauge\n%s %g\n", namePrefix+gauge, namePrefix+gauge, reading.Gauges[gauge])
	}
	return out.Flush()
}

func writeSummary(out io.Writer, name string, s Series) {
	for _, q := range slices.Sorted(maps.Keys(s.Quantiles)) {
		fmt.Fprintf(out, "%s%s %g\n", name, s.Labels.format(q), s.Quantiles[q])
	}
	fmt.Fprintf(out, "%s_sum%s %g\n", name, s.Labels.format(""), s.Sum)
	fmt.Fprintf(out, "%s_count%s %d\n", name, s.Labels.format(""), s.Count)
}

// format returns the labels in braces, with a quantile label if quantile is not empty.
func (l Labels) format(quantile string) string {
	pairs := []struct{ name, value string }{
		{"service", l.Service},
		{"zone", l.Zone},
		{"outcome", l.Outcome},
		{"cause", l.Cause},
		{"call", l.Call},
		{"quantile", quantile},
	}
	var parts []string
	for _, p := range pairs {
		if p.value != "" {
			parts = append(parts, fmt.Sprintf("%s=%q", p.name, p.value))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return "{" + strings.Join(parts, ",") + "}"
}
