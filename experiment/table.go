package experiment

import (
	"fmt"
	"strings"
)

// Table returns the rows as a Markdown table.
func Table(rows []Row) string {
	var table strings.Builder
	table.WriteString("| case | baseline | ours | target | held |\n| --- | --- | --- | --- | --- |\n")
	for _, row := range rows {
		held := "no"
		if row.Passed {
			held = "yes"
		}
		fmt.Fprintf(&table, "| %s | %s | %s | %s | %s |\n", row.Case, row.Baseline, row.Ours, row.Target, held)
	}
	return table.String()
}
