package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Table writes the results as a table with one line for each stream.
func Table(out io.Writer, results []*Result) error {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "STREAM\tRATE\tSENT\tWHOLE\tPARTIAL\tNOT RUN\tMAY HAVE RUN\tWHOLE/S\tP50\tP99\tP99.9\tREFUSED P99")
	for _, result := range results {
		fmt.Fprintf(table, "%s/%s\t%.0f\t%d\t%d\t%d\t%d\t%d\t%.1f\t%s\t%s\t%s\t%s\n",
			result.Stream.Service, result.Stream.Kind, result.Stream.Rate, result.Sent, result.Whole, result.Partial, result.NotRun, result.MayHaveRun, result.Goodput(),
			formatMillis(result.Quantile(50)), formatMillis(result.Quantile(99)), formatMillis(result.Quantile(99.9)),
			formatMillis(time.Duration(result.Refusals.ValueAtQuantile(99))*time.Microsecond))
	}
	return table.Flush()
}

func formatMillis(duration time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(duration.Microseconds())/1000)
}
