package command

import (
	"fmt"
	"os"
	"text/tabwriter"

	"fescuehall/entry"
)

func init() {
	register("status", "Show an entry host's status, members, services and replicas.", &status{})
}

type status struct {
	Target
	JSON bool `help:"Print JSON."`
}

// Run prints the host's status.
func (status *status) Run() error {
	var hostStatus entry.Status
	if err := status.get("/v1/status", &hostStatus); err != nil {
		return err
	}
	if status.JSON {
		return printJSON(hostStatus)
	}
	fmt.Printf("host %s in %s: %s, version %d, watches the store: %t, fronts %d replicas\n\n", hostStatus.Name, hostStatus.FailureDomain, hostStatus.Why, hostStatus.Version, hostStatus.Watches, hostStatus.Fronted)
	table := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "MEMBER\tADDRESS\tDOMAIN\tSTATE")
	for _, member := range hostStatus.Members {
		state := member.State
		if member.Unreachable {
			state += ", unreachable from this host"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", member.Name, member.Address, member.FailureDomain, state)
	}
	fmt.Fprintln(table, "\nSERVICE\tIN FLIGHT BY RANK\tLIMITS\tSUB-REQUESTS\tRETRIES\tHEDGES")
	for _, load := range hostStatus.Loads {
		fmt.Fprintf(table, "%s\t%v\t%.0f\t%d\t%d\t%d\n", load.Service, load.InFlight, load.Limits, load.First, load.Retries, load.Hedges)
	}
	fmt.Fprintln(table, "\nREPLICA\tRUNNING\tWAITING\tCONNECTIONS OPENED")
	for _, replica := range hostStatus.Replicas {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\n", replica.Replica, replica.Running, replica.Waiting, replica.Opened)
	}
	for _, mark := range hostStatus.Leaving {
		fmt.Fprintf(table, "\nleaving: %s, reported by %s\n", mark.Replica, mark.Source)
	}
	return table.Flush()
}
