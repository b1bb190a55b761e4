package where

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteText writes the explanation as text for people.
func (explanation *Explanation) WriteText(writer io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "host %s in %s, configuration version %d\n", explanation.Host, explanation.FailureDomain, explanation.Version)
	explanation.writeRoute(&text)
	explanation.writeAccount(&text)
	explanation.writeOutcome(&text)
	for _, bundle := range explanation.Bundles {
		fmt.Fprintf(&text, "gathered by %s in %s, %d of the shards: %s\n", bundle.Peer, bundle.FailureDomain, len(bundle.Shards), strings.Join(bundle.Shards, " "))
	}
	if len(explanation.Parts) > 0 {
		explanation.writeParts(&text)
	}
	_, err := io.WriteString(writer, text.String())
	return err
}

func (explanation *Explanation) writeRoute(text *strings.Builder) {
	route := explanation.Route
	if route == nil {
		return
	}
	fmt.Fprintf(text, "route %s: %s%s, rank %d", route.Name, route.Host, route.Prefix, explanation.Rank)
	if route.Public {
		text.WriteString(", public")
	}
	if route.Shards > 0 {
		fmt.Fprintf(text, ", merges %d shards, at least %d", route.Shards, route.MinShards)
	}
	if homes := strings.Join(explanation.Homes, " "); homes != "" {
		fmt.Fprintf(text, ", homes %s", homes)
	} else if len(explanation.Homes) > 0 {
		text.WriteString(", no home in common of route and workspace")
	}
	text.WriteByte('\n')
	if len(route.Services) > 1 {
		text.WriteString("a service is drawn by weight:")
		for _, share := range route.Services {
			fmt.Fprintf(text, " %s %g", share.Service, share.Weight)
		}
		text.WriteByte('\n')
	}
}

func (explanation *Explanation) writeAccount(text *strings.Builder) {
	account := explanation.Account
	if account == nil {
		return
	}
	fmt.Fprintf(text, "workspace %s: ", account.Name)
	if account.Rate <= 0 {
		text.WriteString("no allowance\n")
		return
	}
	fmt.Fprintf(text, "%g requests a second, burst %g; this host has %d tokens", account.Rate, account.Burst, account.Tokens)
	if account.Asking {
		text.WriteString("; an ask is in flight")
	}
	if len(account.Keepers) > 0 {
		fmt.Fprintf(text, "; would ask %s", strings.Join(account.Keepers, " "))
	}
	text.WriteByte('\n')
}

func (explanation *Explanation) writeOutcome(text *strings.Builder) {
	switch {
	case explanation.Refusal != nil:
		fmt.Fprintf(text, "refused: %v\n", explanation.Refusal)
	case explanation.MayRefuse != nil:
		fmt.Fprintf(text, "refused with a probability of %.3f: %v; else sent\n", explanation.RefusalProbability, explanation.MayRefuse)
	default:
		text.WriteString("sent\n")
	}
}

// String describes the answer.
func (refusal *Refusal) String() string {
	text := fmt.Sprintf("%d %s, %s", refusal.Status, refusal.Code, refusal.Detail)
	if refusal.RetryAfterMillis > 0 {
		text += fmt.Sprintf(", Retry-After %.3f s", refusal.RetryAfterMillis/1000)
	}
	return text
}

// writeParts writes a table with a line for each replica.
func (explanation *Explanation) writeParts(text *strings.Builder) {
	table := tabwriter.NewWriter(text, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "\nSERVICE\tBY\tREPLICA\tDOMAIN\tSCORE\tOUT\tTIME\tAGE\tRUN\tWAIT\tAGE\tSLOW\tAGE\tWHY")
	for _, part := range explanation.Parts {
		by := part.GatheredBy
		if by == explanation.Host {
			by = "this host"
		}
		if len(part.Replicas) == 0 {
			fmt.Fprintf(table, "%s\t%s\tnone listed\n", part.Service, by)
		}
		for _, replica := range part.Replicas {
			fmt.Fprintf(table, "%s\t%s\t%s\n", part.Service, by, replica.row(part.Chosen == replica.ID, part.AwaitsToken))
		}
		if part.WaitMillis > 0 {
			fmt.Fprintf(table, "%s\t%s\twaits %s for the end of a pause\n", part.Service, by, millis(part.WaitMillis))
		}
		if part.ReplicasLeftOut > 0 {
			fmt.Fprintf(table, "%s\t%s\tand %d more\n", part.Service, by, part.ReplicasLeftOut)
		}
	}
	table.Flush()
	if explanation.PartsLeftOut > 0 {
		fmt.Fprintf(text, "and %d more shards\n", explanation.PartsLeftOut)
	}
}

// row returns the cells of a replica in the table.
func (replica *Replica) row(chosen, awaitsToken bool) string {
	cells := []string{
		replica.ID, replica.FailureDomain, millis(replica.ScoreMillis), fmt.Sprint(replica.Outstanding),
		known(millis(replica.OwnMillis), replica.OwnAgeMillis), known(millis(replica.OwnAgeMillis), replica.OwnAgeMillis),
		known(fmt.Sprint(replica.Running), replica.LoadAgeMillis), known(fmt.Sprint(replica.Waiting), replica.LoadAgeMillis), known(millis(replica.LoadAgeMillis), replica.LoadAgeMillis),
		known(fmt.Sprintf("%.2f", replica.Slowness), replica.SlownessAgeMillis), known(millis(replica.SlownessAgeMillis), replica.SlownessAgeMillis),
		replica.why(chosen, awaitsToken),
	}
	return strings.Join(cells, "\t")
}

// why describes why the replica is chosen, considered or excluded.
func (replica *Replica) why(chosen, awaitsToken bool) string {
	var reasons []string
	add := func(condition bool, format string, values ...any) {
		if condition {
			reasons = append(reasons, fmt.Sprintf(format, values...))
		}
	}
	add(chosen && !awaitsToken, "chosen")
	add(chosen && awaitsToken, "chosen, once there is a token")
	add(replica.Excluded != "", "excluded: %s", replica.Excluded)
	add(replica.PausedMillis > 0, "paused for %s", millis(replica.PausedMillis))
	add(replica.Ramp < 1, "considered with a probability of %.2f after an ejection", replica.Ramp)
	add(replica.Suspected, "late in succession")
	add(replica.DistanceMillis > 0, "%s for its distance", millis(replica.DistanceMillis))
	add(replica.SilenceMillis > 0, "no reply for %s", millis(replica.SilenceMillis))
	add(replica.ColdMillis > 0, "cold for %s", millis(replica.ColdMillis))
	return strings.Join(reasons, ", ")
}

func millis(value float64) string {
	return fmt.Sprintf("%.1f ms", value)
}

// known returns the text of a figure, whose age is negative if it is unknown.
func known(text string, ageMillis float64) string {
	if ageMillis < 0 {
		return "-"
	}
	return text
}
