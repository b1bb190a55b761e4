package story

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// belief is what one host held for true at some time.
type belief struct {
	version   float64
	source    string
	versionAt time.Time
	lost      map[string]time.Time
	cutOff    bool
	stopping  bool
	// changed holds the last change of the replicas of each service.
	changed map[string]Line
	// suspects holds since when replicas and hosts are late in a row.
	suspects map[string]time.Time
}

// suspectTime is how long a suspicion is worth telling: it ends without a line.
const suspectTime = 3 * time.Second

// Tell returns the story of a request in words, a line each. It is empty when no
// line names the request. The lines are those of all hosts, sorted by time.
func Tell(lines []Line, id string) []string {
	beliefs := make(map[string]*belief)
	var told []string
	for _, line := range lines {
		known := beliefs[line.Host]
		if known == nil {
			known = &belief{lost: make(map[string]time.Time), changed: make(map[string]Line), suspects: make(map[string]time.Time)}
			beliefs[line.Host] = known
		}
		known.learn(line)
		if !line.about(id) {
			continue
		}
		told = append(told, fmt.Sprintf("%s %s: %s", line.Time.Format("15:04:05.000"), line.Host, line.words()))
		for _, held := range known.words(line) {
			told = append(told, "    "+held)
		}
	}
	return told
}

// learn takes a line that changes what its host believes.
func (belief *belief) learn(line Line) {
	switch line.Message {
	case "start":
		belief.stopping = false
	case "stop":
		belief.stopping = true
	case "in force":
		belief.version, _ = line.Fields["version"].(float64)
		belief.source = text(line.Fields["source"])
		belief.versionAt = line.Time
	case "lost":
		belief.lost[line.Part] = line.Time
	case "regained":
		delete(belief.lost, line.Part)
	case "reach":
		belief.cutOff, _ = line.Fields["cut_off"].(bool)
	case "late":
		belief.suspects[text(line.Fields["name"])] = line.Time
	}
	if line.Part == "roster" {
		belief.changed[text(line.Fields["service"])] = line
	}
}

// words tells a decision.
func (line Line) words() string {
	number := func(name string) string { return fmt.Sprint(line.Fields[name]) }
	progress := fmt.Sprintf("%s of %s parts in after %s ms, %s hedges, %s retries", number("in"), number("parts"), number("took_ms"), number("hedges"), number("retries"))
	if line.Fields["cut"] == true {
		progress += ", cut at the target"
	}
	switch line.Message {
	case "answered", "answered a peer", "caller left":
		return line.Message + ": " + progress + line.rest()
	case "failed":
		return fmt.Sprintf("failed, %s (%s): %s; %s%s", number("code"), number("verdict"), number("detail"), progress, line.rest())
	case "refused":
		if line.Part == "ingress" {
			return fmt.Sprintf("refused with status %s: %s", number("status"), number("detail"))
		}
		return fmt.Sprintf("refused as not run: the chance of a refusal of rank %s was %s, by what was in time lately", number("rank"), number("chance"))
	case "cut off":
		return "refused as not run: this host reaches no other failure domain"
	case "peer failed":
		return fmt.Sprintf("host %s failed with %s shards after %s ms, %s: %s", number("peer"), number("shards"), number("took_ms"), number("verdict"), number("detail"))
	}
	return line.Message
}

// rest tells of the peers asked and the first missing shard.
func (line Line) rest() string {
	var rest strings.Builder
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		if peer, ok := strings.CutPrefix(name, "peer_"); ok {
			fmt.Fprintf(&rest, "; host %s: %v", peer, line.Fields[name])
		}
	}
	if missing := text(line.Fields["missing"]); missing != "" {
		fmt.Fprintf(&rest, "; missing %s", missing)
	}
	return rest.String()
}

// words tells what a host believed when it wrote a line.
func (belief *belief) words(line Line) []string {
	var held []string
	ago := func(at time.Time) string { return fmt.Sprintf("%.1f s before", line.Time.Sub(at).Seconds()) }
	if !belief.versionAt.IsZero() {
		held = append(held, fmt.Sprintf("version %v, in force from the %s %s", belief.version, belief.source, ago(belief.versionAt)))
	}
	for _, part := range slices.Sorted(maps.Keys(belief.lost)) {
		held = append(held, fmt.Sprintf("%s lost %s", part, ago(belief.lost[part])))
	}
	if belief.cutOff {
		held = append(held, "cut off from other failure domains")
	}
	if belief.stopping {
		held = append(held, "stopping")
	}
	service, _, _ := strings.Cut(text(line.Fields["missing"]), ":")
	if change, ok := belief.changed[service]; ok {
		held = append(held, fmt.Sprintf("replica %v of %s: %s %s", change.Fields["replica"], service, change.Message, ago(change.Time)))
	}
	var late []string
	for _, name := range slices.Sorted(maps.Keys(belief.suspects)) {
		if line.Time.Sub(belief.suspects[name]) < suspectTime {
			late = append(late, name)
		}
	}
	if len(late) > 0 {
		held = append(held, fmt.Sprintf("%d replicas and hosts late in a row lately: %s", len(late), strings.Join(late, " ")))
	}
	return held
}
