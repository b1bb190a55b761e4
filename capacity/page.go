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

// The deployment size that the page computes costs for.
const (
	nodes             = 4600
	failureDomains    = 10
	totalReplicas     = 28_000
	queriesPerSecond  = 930_000
	shardsPerQuery    = 1800
	changesPerDay     = 22_000
	hostChangesPerDay = 2656
	secondsPerDay     = 86_400
	nodesPerDomain    = nodes / failureDomains
	queriesPerNode    = float64(queriesPerSecond) / nodes
	changeRate        = float64(changesPerDay) / secondsPerDay
	hostChangeRate    = float64(hostChangesPerDay) / secondsPerDay
	rackHosts         = 40
	watchersPerDomain = 2
)

// Figure is one computed cost at the deployment size of the page.
type Figure struct {
	Role      string
	Mechanism string
	Quantity  string
	// Formula shows how the value is computed, with the slopes' numbers filled in.
	Formula string
	Value   float64
	Unit    string
	// Limit is the required upper limit in the same unit, 0 for none.
	Limit float64
}

// WithinLimit returns the text that says whether the figure is within its
// limit, empty when there is none.
func (figure Figure) WithinLimit() string {
	switch {
	case figure.Limit == 0:
		return ""
	case figure.Value <= figure.Limit:
		return fmt.Sprintf("yes, %.0f%% of %s", 100*figure.Value/figure.Limit, formatNumber(figure.Limit))
	}
	return fmt.Sprintf("**no**, %.1f times %s", figure.Value/figure.Limit, formatNumber(figure.Limit))
}

// Amount returns the value with its unit.
func (figure Figure) Amount() string {
	return formatNumber(figure.Value) + " " + figure.Unit
}

// formatNumber formats a value with about three digits.
func formatNumber(value float64) string {
	switch {
	case value >= 100:
		return fmt.Sprintf("%.0f", value)
	case value >= 10:
		return fmt.Sprintf("%.1f", value)
	}
	return fmt.Sprintf("%.3g", value)
}

// formula returns the text of the formula for a slope's cost at a size.
func formula(slope Slope, size float64) string {
	return fmt.Sprintf("(%s + %.4g × %s)", formatNumber(slope.Base), slope.PerUnit, formatNumber(size))
}

// percentOfCore converts microseconds of processor time per second to percent
// of a core.
const percentOfCore = 1e-6 * 100

// controlFigures computes the costs of one host apart from queries.
func controlFigures(data *Data) []Figure {
	timers, datagrams, delta, placing := data.Find("TickProcessor"), data.Find("GossipProcessor"), data.Find("DeltaProcessor"), data.Find("Placing")
	probeBytes, churnBytes := data.Find("GossipBytes"), data.Find("ChurnBytes")
	processor := []Figure{
		{Role: "member", Mechanism: "member.Detector, timers", Quantity: "processor", Formula: formula(timers, nodes) + " µs/s", Value: timers.At(nodes) * percentOfCore, Unit: "% of a core"},
		{Role: "member", Mechanism: "member.Detector, datagrams", Quantity: "processor", Formula: formula(datagrams, nodes) + " µs/s", Value: datagrams.At(nodes) * percentOfCore, Unit: "% of a core"},
		{Role: "configuration", Mechanism: "relay.Current, one delta per change", Quantity: "processor at 22,000 changes a day", Formula: fmt.Sprintf("%s µs × %.3f/s", formula(delta, totalReplicas), changeRate), Value: delta.At(totalReplicas) * changeRate * percentOfCore, Unit: "% of a core"},
		{Role: "placement", Mechanism: "shard.Placement, all domains at each host change", Quantity: "processor at 2,656 host changes a day", Formula: fmt.Sprintf("%s µs × %d domains × 2 × %.4f/s", formula(placing, nodesPerDomain), failureDomains, hostChangeRate), Value: placing.At(nodesPerDomain) * failureDomains * 2 * hostChangeRate * percentOfCore, Unit: "% of a core"},
	}
	total := Figure{Role: "all control", Quantity: "processor", Formula: "sum of the lines above", Unit: "% of a core", Limit: 1.5}
	for _, figure := range processor {
		total.Value += figure.Value
	}
	deltaBytes := data.Find("DeltaBytes").At(totalReplicas)
	traffic := []Figure{
		{Role: "member", Mechanism: "member.Detector, probes", Quantity: "bytes sent", Formula: formula(probeBytes, nodes) + " B/s", Value: probeBytes.At(nodes), Unit: "B/s"},
		{Role: "member", Mechanism: "member.Detector, updates", Quantity: "bytes sent at 2,656 host changes a day", Formula: fmt.Sprintf("%s B × %.4f/s", formula(churnBytes, nodes), hostChangeRate), Value: churnBytes.At(nodes) * hostChangeRate, Unit: "B/s"},
		{Role: "configuration", Mechanism: "relay.Delta to one peer for each host on average", Quantity: "bytes sent at 22,000 changes a day", Formula: fmt.Sprintf("%s B × %.3f/s", formatNumber(deltaBytes), changeRate), Value: deltaBytes * changeRate, Unit: "B/s"},
	}
	bytesTotal := Figure{Role: "all control", Quantity: "bytes sent", Formula: "sum of the three lines above", Unit: "B/s", Limit: 3000}
	for _, figure := range traffic {
		bytesTotal.Value += figure.Value
	}
	return append(append(append(processor, total), traffic...), append([]Figure{bytesTotal}, stateFigures(data)...)...)
}

// stateFigures computes the memory of a host's state and how long updates take
// to reach all hosts.
func stateFigures(data *Data) []Figure {
	members, view := data.Find("MemberMemory"), data.Find("ViewMemory")
	detection, spreading := data.Find("Detection"), data.Find("Spreading")
	const megabyte = 1 << 20
	return []Figure{
		{Role: "member", Mechanism: "member.Detector", Quantity: "memory", Formula: formula(members, nodes) + " B", Value: members.At(nodes) / megabyte, Unit: "MB", Limit: 256},
		{Role: "configuration", Mechanism: "service.View, old and new at a change", Quantity: "memory", Formula: "2 × " + formula(view, totalReplicas) + " B", Value: 2 * view.At(totalReplicas) / megabyte, Unit: "MB", Limit: 256},
		{Role: "member", Mechanism: "probe every 0.4 s, 0.9 s to refute, notices", Quantity: "time until all hosts consider a killed host dead", Formula: "larger of " + formula(detection, nodes) + " s and the measured points", Value: detection.Bound(nodes), Unit: "s"},
		{Role: "configuration", Mechanism: "3 notices from each host that receives it, then probes", Quantity: "time for a new version to reach all hosts from one, fetches not counted", Formula: "larger of " + formula(spreading, nodes) + " s and the measured points", Value: spreading.Bound(nodes), Unit: "s", Limit: 9},
	}
}

// platformFigures computes the load on the configuration store.
func platformFigures(data *Data) []Figure {
	index := data.Find("IndexBytes")
	const writesPerPatch, megabyte = 4, 1 << 20
	watcherCount := float64(watchersPerDomain * failureDomains)
	return []Figure{
		{Role: "watching", Mechanism: "relay.Watcher on 2 hosts a domain, a watch of 2 s each", Quantity: "waiting watches and their renewal", Formula: fmt.Sprintf("%d × %d × (1 + 1/2 s)", watchersPerDomain, failureDomains), Value: watcherCount * 1.5, Unit: "calls/s", Limit: 200},
		{Role: "watching", Mechanism: "only the changed part is read", Quantity: "reads at 22,000 changes a day", Formula: fmt.Sprintf("(2 × %d + 4) × %.3f/s", watchersPerDomain*failureDomains, changeRate), Value: (2*watcherCount + 4) * changeRate, Unit: "calls/s", Limit: 200},
		{Role: "patching", Mechanism: "part, index, history, head", Quantity: "writes at 22,000 changes a day", Formula: fmt.Sprintf("%d × %.3f/s", writesPerPatch, changeRate), Value: writesPerPatch * changeRate, Unit: "calls/s", Limit: 30},
		{Role: "patching", Mechanism: "patch.Submitter writes the list of parts", Quantity: "size of the index, 100 replicas a service", Formula: formula(index, totalReplicas) + " B", Value: index.At(totalReplicas) / megabyte, Unit: "MB", Limit: 1},
		{Role: "claims", Mechanism: "claim.Claimer, a claim and its outcome", Quantity: "requests that are not idempotent, within 300 writes a second", Formula: "(300 - 4 × 0.255) / 2", Value: (300 - writesPerPatch*changeRate) / 2, Unit: "requests/s in the whole fleet"},
	}
}

// pathFigures computes the costs of queries for a node.
func pathFigures(data *Data) []Figure {
	coordinator, link, queue, search, batch := data.Find("QueryProcessor"), data.Find("LinkProcessor"), data.Find("QueueProcessor"), data.Find("SearchProcessor"), data.Find("BatchProcessor")
	processorFigure := func(role, mechanism string, slope Slope) Figure {
		return Figure{Role: role, Mechanism: mechanism, Quantity: "processor", Formula: fmt.Sprintf("%s µs × %.0f/s", formula(slope, shardsPerQuery), queriesPerNode), Value: slope.At(shardsPerQuery) * queriesPerNode / 1e6, Unit: "cores"}
	}
	figures := []Figure{
		processorFigure("coordinating queries", "query.Coordinator", coordinator),
		processorFigure("between hosts", "link, both ends", link),
		processorFigure("fronting", "front.Front and rank.Queue", queue),
		processorFigure("fronting", "HTTP to backend servers, including the stand-in's half", search),
	}
	total := Figure{Role: "whole path", Quantity: "processor of a node", Formula: "sum of the four lines above", Unit: "cores"}
	for _, figure := range figures {
		total.Value += figure.Value
	}
	wireBytes := data.Find("PathBytes")
	const batchSize = 32
	perSearch := batch.At(batchSize) / batchSize
	return append(figures, total,
		Figure{Role: "between hosts", Mechanism: "link", Quantity: "bytes in and out of a node", Formula: fmt.Sprintf("%s B × %.0f/s × 2", formula(wireBytes, shardsPerQuery), queriesPerNode), Value: wireBytes.At(shardsPerQuery) * queriesPerNode * 2 / 1e6, Unit: "MB/s"},
		Figure{Role: "fronting", Mechanism: "not built: 32 searches to a server in one exchange", Quantity: "processor", Formula: fmt.Sprintf("%s µs / 32 × %d × %.0f/s", formula(batch, batchSize), shardsPerQuery, queriesPerNode), Value: perSearch * shardsPerQuery * queriesPerNode / 1e6, Unit: "cores"},
		Figure{Role: "between hosts", Mechanism: "one TCP connection for each pair of hosts that communicate", Quantity: "connections of a node", Formula: "2 × 4,599", Value: 2 * (nodes - 1), Unit: "connections"},
		Figure{Role: "fronting", Mechanism: "one host fronts a replica", Quantity: "connections to a server", Formula: "one for each running request, at most the service's limit", Value: 25, Unit: "connections", Limit: 25},
	)
}

// figureTable renders figures as a Markdown table.
func figureTable(figures []Figure) string {
	var text strings.Builder
	text.WriteString("| role | what | mechanism | formula | at this size | within the limit |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, figure := range figures {
		fmt.Fprintf(&text, "| %s | %s | %s | %s | %s | %s |\n", figure.Role, figure.Quantity, figure.Mechanism, figure.Formula, figure.Amount(), figure.WithinLimit())
	}
	return text.String()
}

func slopeTable(data *Data) string {
	var text strings.Builder
	text.WriteString("| slope | cost | size | points | line | off by up to |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, slope := range data.Slopes {
		points := make([]string, len(slope.Sizes))
		for index, size := range slope.Sizes {
			points[index] = fmt.Sprintf("%.0f: %s", size, formatNumber(slope.Costs[index]))
		}
		fmt.Fprintf(&text, "| %s | %s | %s | %s | %.4g + %.4g x | %.0f%% |\n", slope.Name, slope.Cost, slope.Size, strings.Join(points, ", "), slope.Base, slope.PerUnit, 100*slope.Error)
	}
	return text.String()
}

// Page returns docs/CAPACITY.md for the measurements.
func Page(data *Data) ([]byte, error) {
	parsed, err := template.New("page").Parse(pageText)
	if err != nil {
		return nil, err
	}
	var page bytes.Buffer
	err = parsed.Execute(&page, struct {
		*Data
		Control, Platform, Path, SlopeTable string
		RackHosts, DomainHosts              int
		RackBytes, DomainBytes              string
	}{
		Data: data, Control: figureTable(controlFigures(data)), Platform: figureTable(platformFigures(data)), Path: figureTable(pathFigures(data)), SlopeTable: slopeTable(data),
		RackHosts: rackHosts, DomainHosts: nodesPerDomain,
		RackBytes:   formatNumber(data.Find("ChurnBytes").At(nodes) / 2 * rackHosts / 1000),
		DomainBytes: formatNumber(data.Find("ChurnBytes").At(nodes) / 2 * nodesPerDomain / 1000),
	})
	return page.Bytes(), err
}
