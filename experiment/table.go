package experiment

import (
	"fmt"
	"strings"
)

// Table returns the rows as a Markdown table.
func Table(rows []Row) string {
	var table strings.Builder
	table.WriteString("| case | baseline | ours | target | passed |\n| --- | --- | --- | --- | --- |\n")
	for _, row := range rows {
		passed := "no"
		if row.Passed {
			passed = "yes"
		}
		fmt.Fprintf(&table, "| %s | %s | %s | %s | %s |\n", row.Case, row.Baseline, row.Ours, row.Target, passed)
	}
	return table.String()
}
