package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Print writes the report as a table.
func (r Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "route\tsent\tanswered\tturned away\tfailed\twrong\tp50 ms\tp99 ms\taway p99\treasons\t")

	for _, row := range append(slices.Clone(r.Rows), r.Total) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%s\t\n",
			row.Name, row.Sent, row.Answered, row.TurnedAway, row.Failed, row.Wrong, row.P50Ms, row.P99Ms, row.AwayP99Ms, reasons(row))
	}

	_ = t.Flush()
}

func reasons(row Row) string {
	var out []string

	for _, k := range slices.Sorted(maps.Keys(row.Reasons)) {
		out = append(out, fmt.Sprintf("%s:%d", k, row.Reasons[k]))
	}

	return strings.Join(out, " ")
}
