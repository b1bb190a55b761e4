package story

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// hostState is the state of one host at some time, as far as its log shows it.
type hostState struct {
	// version is the active version of the configuration.
	version float64
	// source is where the host got the version from, such as a peer.
	source string
	// activatedAt is the time at which the version became active.
	activatedAt time.Time
	// lostAt holds the dependencies of the host that are lost, such as config,
	// replicas, lease or feed, with the time of their event lost. The dependency
	// metrics is lost when metrics can't be served.
	lostAt map[string]time.Time
	// isolated is set while the host reaches no other failure domain.
	isolated bool
	stopping bool
	// pausedAt is when the host last noticed that it had been paused, paused for
	// how long.
	pausedAt time.Time
	paused   time.Duration
	// replicaChanges holds the line of the last replica change of each service.
	replicaChanges map[string]Line
	// lateAt holds the time at which consecutive late replies of a replica or host
	// were last logged.
	lateAt map[string]time.Time
}

// lateExpiry is how long consecutive late replies are mentioned after they were
// logged. The log has no line for their end.
const lateExpiry = 3 * time.Second

// Explain describes how a request was handled, as lines of text. The given
// lines are those of all hosts, sorted by time. The result is empty if none
// mentions the request.
func Explain(lines []Line, id string) []string {
	states := make(map[string]*hostState)
	var output []string
	for _, line := range lines {
		state := states[line.Host]
		if state == nil {
			state = &hostState{lostAt: make(map[string]time.Time), replicaChanges: make(map[string]Line), lateAt: make(map[string]time.Time)}
			states[line.Host] = state
		}
		state.update(line)
		if !line.mentions(id) {
			continue
		}
		output = append(output, fmt.Sprintf("%s %s: %s", line.Time.Format("15:04:05.000"), line.Host, line.describe()))
		for _, fact := range state.describe(line) {
			output = append(output, "    "+fact)
		}
	}
	return output
}

// update applies a line of the host's log to the state.
func (state *hostState) update(line Line) {
	switch line.Message {
	case "start":
		state.stopping = false
	case "stop":
		state.stopping = true
	case "in force":
		state.version, _ = line.Fields["version"].(float64)
		state.source = stringField(line.Fields["source"])
		state.activatedAt = line.Time
	case "lost":
		state.lostAt[line.Part] = line.Time
	case "regained":
		delete(state.lostAt, line.Part)
	case "reach":
		state.isolated, _ = line.Fields["cut_off"].(bool)
	case "paused":
		millis, _ := line.Fields["paused_ms"].(float64)
		state.pausedAt, state.paused = line.Time, time.Duration(millis)*time.Millisecond
	case "late":
		state.lateAt[stringField(line.Fields["name"])] = line.Time
	}
	if line.Part == "roster" {
		state.replicaChanges[stringField(line.Fields["service"])] = line
	}
}

// describe returns the text for a decision.
func (line Line) describe() string {
	field := func(name string) string { return fmt.Sprint(line.Fields[name]) }
	progress := fmt.Sprintf("%s of %s parts answered after %s ms, %s hedges, %s retries", field("in"), field("parts"), field("took_ms"), field("hedges"), field("retries"))
	if line.Fields["cut"] == true {
		progress += ", partial answer at the latency target"
	}
	switch line.Message {
	case "answered", "answered a peer", "caller left":
		return line.Message + ": " + progress + line.peersAndMissing()
	case "failed":
		return fmt.Sprintf("failed, %s (%s): %s; %s%s", field("code"), field("verdict"), field("detail"), progress, line.peersAndMissing())
	case "refused":
		if line.Part == "ingress" {
			return fmt.Sprintf("refused with status %s: %s", field("status"), field("detail"))
		}
		return fmt.Sprintf("refused as not run: the refusal probability of rank %s was %s, from the share of recent requests answered in time", field("rank"), field("chance"))
	case "cut off":
		return "refused as not run: this host reaches no other failure domain"
	case "stopping":
		return "refused as not run: this host was stopping, and no longer sent requests to servers"
	case "unservable":
		return "refused as not run: too few of its shards had a replica"
	case "peer failed":
		return fmt.Sprintf("request to host %s for %s shards failed after %s ms, %s: %s", field("peer"), field("shards"), field("took_ms"), field("verdict"), field("detail"))
	}
	return line.Message
}

// peersAndMissing returns the text for the requests to peers and the first
// missing shard.
func (line Line) peersAndMissing() string {
	var builder strings.Builder
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		if peer, ok := strings.CutPrefix(name, "peer_"); ok {
			fmt.Fprintf(&builder, "; host %s: %v", peer, line.Fields[name])
		}
	}
	if missing := stringField(line.Fields["missing"]); missing != "" {
		fmt.Fprintf(&builder, "; missing %s", missing)
	}
	return builder.String()
}

// describe returns the texts for the host's state when it wrote a line.
func (state *hostState) describe(line Line) []string {
	var facts []string
	ago := func(at time.Time) string { return fmt.Sprintf("%.1f s earlier", line.Time.Sub(at).Seconds()) }
	if !state.activatedAt.IsZero() {
		facts = append(facts, fmt.Sprintf("version %v from the %s, activated %s", state.version, state.source, ago(state.activatedAt)))
	}
	for _, part := range slices.Sorted(maps.Keys(state.lostAt)) {
		facts = append(facts, fmt.Sprintf("dependency %s lost %s", part, ago(state.lostAt[part])))
	}
	if state.isolated {
		facts = append(facts, "isolated from other failure domains")
	}
	if !state.pausedAt.IsZero() && line.Time.Sub(state.pausedAt) < lateExpiry {
		facts = append(facts, fmt.Sprintf("was paused for %.1f s until %s", state.paused.Seconds(), ago(state.pausedAt)))
	}
	if state.stopping {
		facts = append(facts, "stopping")
	}
	service, _, _ := strings.Cut(stringField(line.Fields["missing"]), ":")
	if change, ok := state.replicaChanges[service]; ok {
		facts = append(facts, fmt.Sprintf("replica %v of %s: %s %s", change.Fields["replica"], service, change.Message, ago(change.Time)))
	}
	var late []string
	for _, name := range slices.Sorted(maps.Keys(state.lateAt)) {
		if line.Time.Sub(state.lateAt[name]) < lateExpiry {
			late = append(late, name)
		}
	}
	if len(late) > 0 {
		facts = append(facts, fmt.Sprintf("%d replicas and hosts with consecutive late replies recently: %s", len(late), strings.Join(late, " ")))
	}
	return facts
}
