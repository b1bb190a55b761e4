package capacity

import (
	"bytes"
	_ "embed"
	"fmt"
	"strings"
	"text/template"
)

//go:embed page.md.tmpl
var pageText string

// The size to design for.
const (
	nodes          = 4600
	failureDomains = 10
	allReplicas    = 28_000
	queriesASecond = 930_000
	queryShards    = 1800
	changesADay    = 22_000
	hostChanges    = 2656
	secondsADay    = 86_400
	perDomain      = nodes / failureDomains
	queriesANode   = float64(queriesASecond) / nodes
	changeRate     = float64(changesADay) / secondsADay
	hostChangeRate = float64(hostChanges) / secondsADay
	rackHosts      = 40
	watchers       = 2
)

// Figure is one worked-out cost at the size to design for.
type Figure struct {
	Role      string
	Mechanism string
	What      string
	// Sum is the formula with the slopes' numbers in it.
	Sum   string
	Value float64
	Unit  string
	// Limit is the letter's limit in the same unit, 0 for none.
	Limit float64
}

// Held tells whether the figure is within its limit.
func (figure Figure) Held() string {
	switch {
	case figure.Limit == 0:
		return ""
	case figure.Value <= figure.Limit:
		return fmt.Sprintf("yes, %.0f%% of %s", 100*figure.Value/figure.Limit, number(figure.Limit))
	}
	return fmt.Sprintf("**no**, %.1f times %s", figure.Value/figure.Limit, number(figure.Limit))
}

// Amount returns the value with its unit.
func (figure Figure) Amount() string {
	return number(figure.Value) + " " + figure.Unit
}

// number shows three digits or so.
func number(value float64) string {
	switch {
	case value >= 100:
		return fmt.Sprintf("%.0f", value)
	case value >= 10:
		return fmt.Sprintf("%.1f", value)
	}
	return fmt.Sprintf("%.3g", value)
}

// line shows a slope's formula at a size.
func line(slope Slope, size float64) string {
	return fmt.Sprintf("(%s + %.4g × %s)", number(slope.Base), slope.PerUnit, number(size))
}

const percentOfCore = 1e-6 * 100

// control works out what one host spends apart from queries.
func control(data *Data) []Figure {
	tick, gossip, delta, place := data.Find("TickProcessor"), data.Find("GossipProcessor"), data.Find("DeltaProcessor"), data.Find("Placing")
	sent, churn := data.Find("GossipBytes"), data.Find("ChurnBytes")
	processor := []Figure{
		{Role: "member", Mechanism: "member.Detector, timers", What: "processor", Sum: line(tick, nodes) + " µs/s", Value: tick.At(nodes) * percentOfCore, Unit: "% of a core"},
		{Role: "member", Mechanism: "member.Detector, datagrams", What: "processor", Sum: line(gossip, nodes) + " µs/s", Value: gossip.At(nodes) * percentOfCore, Unit: "% of a core"},
		{Role: "configuration", Mechanism: "relay.Current, a delta a change", What: "processor at 22,000 changes a day", Sum: fmt.Sprintf("%s µs × %.3f/s", line(delta, allReplicas), changeRate), Value: delta.At(allReplicas) * changeRate * percentOfCore, Unit: "% of a core"},
		{Role: "placement", Mechanism: "shard.Placement, all domains at each host change", What: "processor at 2,656 host changes a day", Sum: fmt.Sprintf("%s µs × %d domains × 2 × %.4f/s", line(place, perDomain), failureDomains, hostChangeRate), Value: place.At(perDomain) * failureDomains * 2 * hostChangeRate * percentOfCore, Unit: "% of a core"},
	}
	total := Figure{Role: "all control", What: "processor", Sum: "sum of the lines above", Unit: "% of a core", Limit: 1.5}
	for _, figure := range processor {
		total.Value += figure.Value
	}
	deltaBytes := data.Find("DeltaBytes").At(allReplicas)
	traffic := []Figure{
		{Role: "member", Mechanism: "member.Detector, probes", What: "bytes sent", Sum: line(sent, nodes) + " B/s", Value: sent.At(nodes), Unit: "B/s"},
		{Role: "member", Mechanism: "member.Detector, news", What: "bytes sent at 2,656 host changes a day", Sum: fmt.Sprintf("%s B × %.4f/s", line(churn, nodes), hostChangeRate), Value: churn.At(nodes) * hostChangeRate, Unit: "B/s"},
		{Role: "configuration", Mechanism: "relay.Delta to one peer for each host on average", What: "bytes sent at 22,000 changes a day", Sum: fmt.Sprintf("%s B × %.3f/s", number(deltaBytes), changeRate), Value: deltaBytes * changeRate, Unit: "B/s"},
	}
	bytesTotal := Figure{Role: "all control", What: "bytes sent", Sum: "sum of the three lines above", Unit: "B/s", Limit: 3000}
	for _, figure := range traffic {
		bytesTotal.Value += figure.Value
	}
	return append(append(append(processor, total), traffic...), append([]Figure{bytesTotal}, state(data)...)...)
}

// state works out what a host holds and how long news takes.
func state(data *Data) []Figure {
	members, view := data.Find("MemberMemory"), data.Find("ViewMemory")
	detection, spread := data.Find("Detection"), data.Find("Spreading")
	const mega = 1 << 20
	return []Figure{
		{Role: "member", Mechanism: "member.Detector", What: "memory", Sum: line(members, nodes) + " B", Value: members.At(nodes) / mega, Unit: "MB", Limit: 256},
		{Role: "configuration", Mechanism: "service.View, old and new at a change", What: "memory", Sum: "2 × " + line(view, allReplicas) + " B", Value: 2 * view.At(allReplicas) / mega, Unit: "MB", Limit: 256},
		{Role: "member", Mechanism: "probe every 0.4 s, 0.9 s to refute, notices", What: "time until a killed host is held dead everywhere", Sum: "larger of " + line(detection, nodes) + " s and the points", Value: detection.Bound(nodes), Unit: "s"},
		{Role: "configuration", Mechanism: "3 notices from each host that learns, then probes", What: "time from one host to all, fetches not counted", Sum: "larger of " + line(spread, nodes) + " s and the points", Value: spread.Bound(nodes), Unit: "s", Limit: 9},
	}
}

// platform works out what the store gets.
func platform(data *Data) []Figure {
	index := data.Find("IndexBytes")
	const writesOfPatch, mega = 4, 1 << 20
	chosen := float64(watchers * failureDomains)
	return []Figure{
		{Role: "watching", Mechanism: "relay.Watcher on 2 hosts a domain, a watch of 2 s each", What: "waiting watches and their renewal", Sum: fmt.Sprintf("%d × %d × (1 + 1/2 s)", watchers, failureDomains), Value: chosen * 1.5, Unit: "calls/s", Limit: 200},
		{Role: "watching", Mechanism: "the changed part alone is read", What: "reads at 22,000 changes a day", Sum: fmt.Sprintf("(2 × %d + 4) × %.3f/s", watchers*failureDomains, changeRate), Value: (2*chosen + 4) * changeRate, Unit: "calls/s", Limit: 200},
		{Role: "patching", Mechanism: "part, index, history, head", What: "writes at 22,000 changes a day", Sum: fmt.Sprintf("%d × %.3f/s", writesOfPatch, changeRate), Value: writesOfPatch * changeRate, Unit: "calls/s", Limit: 30},
		{Role: "patching", Mechanism: "patch.Submitter writes the list of parts", What: "size of the index, 100 replicas a service", Sum: line(index, allReplicas) + " B", Value: index.At(allReplicas) / mega, Unit: "MB", Limit: 1},
		{Role: "once", Mechanism: "claim.Claimer, a claim and its outcome", What: "requests that are not idempotent and fit in 300 writes a second", Sum: "(300 - 4 × 0.255) / 2", Value: (300 - writesOfPatch*changeRate) / 2, Unit: "requests/s in the whole fleet"},
	}
}

// path works out what queries take of a node.
func path(data *Data) []Figure {
	take, links, queue, search, batch := data.Find("QueryProcessor"), data.Find("LinkProcessor"), data.Find("QueueProcessor"), data.Find("SearchProcessor"), data.Find("BatchProcessor")
	cores := func(role, mechanism string, slope Slope) Figure {
		return Figure{Role: role, Mechanism: mechanism, What: "processor", Sum: fmt.Sprintf("%s µs × %.0f/s", line(slope, queryShards), queriesANode), Value: slope.At(queryShards) * queriesANode / 1e6, Unit: "cores"}
	}
	figures := []Figure{
		cores("taking requests", "query.Coordinator", take),
		cores("between hosts", "link, both ends", links),
		cores("fronting", "front.Front and rank.Queue", queue),
		cores("fronting", "HTTP to backend servers, the stand-in's half included", search),
	}
	total := Figure{Role: "all of the path", What: "processor of a node", Sum: "sum of the first three and of the fourth", Unit: "cores"}
	for _, figure := range figures {
		total.Value += figure.Value
	}
	wire := data.Find("PathBytes")
	const batchSize = 32
	perSearch := batch.At(batchSize) / batchSize
	return append(figures, total,
		Figure{Role: "between hosts", Mechanism: "link", What: "bytes in and out of a node", Sum: fmt.Sprintf("%s B × %.0f/s × 2", line(wire, queryShards), queriesANode), Value: wire.At(queryShards) * queriesANode * 2 / 1e6, Unit: "MB/s"},
		Figure{Role: "fronting", Mechanism: "not built: 32 searches to a server in one exchange", What: "processor", Sum: fmt.Sprintf("%s µs / 32 × %d × %.0f/s", line(batch, batchSize), queryShards, queriesANode), Value: perSearch * queryShards * queriesANode / 1e6, Unit: "cores"},
		Figure{Role: "between hosts", Mechanism: "one TCP connection for each pair of hosts that talk", What: "connections of a node", Sum: "2 × 4,599", Value: 2 * (nodes - 1), Unit: "connections"},
		Figure{Role: "fronting", Mechanism: "one host fronts a replica", What: "connections to a server", Sum: "as many as run at a time, at most the service's limit", Value: 25, Unit: "connections", Limit: 25},
	)
}

// table renders figures as Markdown.
func table(figures []Figure) string {
	var out strings.Builder
	out.WriteString("| role | what | mechanism | sum | at this size | within the limit |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, figure := range figures {
		fmt.Fprintf(&out, "| %s | %s | %s | %s | %s | %s |\n", figure.Role, figure.What, figure.Mechanism, figure.Sum, figure.Amount(), figure.Held())
	}
	return out.String()
}

func slopeTable(data *Data) string {
	var out strings.Builder
	out.WriteString("| slope | cost | size | points | line | off by up to |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, slope := range data.Slopes {
		points := make([]string, len(slope.Sizes))
		for place, size := range slope.Sizes {
			points[place] = fmt.Sprintf("%.0f: %s", size, number(slope.Costs[place]))
		}
		fmt.Fprintf(&out, "| %s | %s | %s | %s | %.4g + %.4g x | %.0f%% |\n", slope.Name, slope.Cost, slope.Size, strings.Join(points, ", "), slope.Base, slope.PerUnit, 100*slope.Error)
	}
	return out.String()
}

// Page returns docs/CAPACITY.md for the measurements.
func Page(data *Data) ([]byte, error) {
	parsed, err := template.New("page").Parse(pageText)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	err = parsed.Execute(&out, struct {
		*Data
		Control, Platform, Path, SlopeTable string
		RackHosts, DomainHosts              int
		RackBytes, DomainBytes              string
	}{
		Data: data, Control: table(control(data)), Platform: table(platform(data)), Path: table(path(data)), SlopeTable: slopeTable(data),
		RackHosts: rackHosts, DomainHosts: perDomain,
		RackBytes:   number(data.Find("ChurnBytes").At(nodes) / 2 * rackHosts / 1000),
		DomainBytes: number(data.Find("ChurnBytes").At(nodes) / 2 * perDomain / 1000),
	})
	return out.Bytes(), err
}
