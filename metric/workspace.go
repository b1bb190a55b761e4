package metric

import (
	"expvar"
	"maps"
	"sync"
)

const (
	// maxWorkspaces bounds the workspaces with counts of their own.
	maxWorkspaces = 256
	// otherWorkspaces is the name under which the counts of the others are added up. No
	// header holds it as the name of a workspace.
	otherWorkspaces = " others"
)

// Workspaces counts the requests of workspaces by outcome. When there are too many,
// those without a request for the longest time are counted together.
type Workspaces struct {
	mu     sync.Mutex
	counts map[string]*workspaceCounts
	latest uint64
}

// workspaceCounts counts the requests of one workspace.
type workspaceCounts struct {
	outcomes map[string]int64
	// latest is the number of the latest request among those of all workspaces.
	latest uint64
}

// Observe counts a request of a workspace.
func (workspaces *Workspaces) Observe(workspace, outcome string) {
	workspaces.mu.Lock()
	defer workspaces.mu.Unlock()
	workspaces.latest++
	counts := workspaces.of(workspace)
	counts.outcomes[outcome]++
	counts.latest = workspaces.latest
}

// of returns the counts of a workspace. It makes room for them if needed.
func (workspaces *Workspaces) of(workspace string) *workspaceCounts {
	if counts := workspaces.counts[workspace]; counts != nil {
		return counts
	}
	if workspaces.counts == nil {
		workspaces.counts = map[string]*workspaceCounts{otherWorkspaces: {outcomes: make(map[string]int64)}}
	}
	if len(workspaces.counts) > maxWorkspaces {
		workspaces.dropOldest()
	}
	counts := &workspaceCounts{outcomes: make(map[string]int64)}
	workspaces.counts[workspace] = counts
	return counts
}

func (workspaces *Workspaces) dropOldest() {
	oldest := ""
	for name, counts := range workspaces.counts {
		if name != otherWorkspaces && (oldest == "" || counts.latest < workspaces.counts[oldest].latest) {
			oldest = name
		}
	}
	others := workspaces.counts[otherWorkspaces]
	for outcome, count := range workspaces.counts[oldest].outcomes {
		others.outcomes[outcome] += count
	}
	delete(workspaces.counts, oldest)
}

// Outcomes returns the number of requests by workspace and outcome, for expvar.Func.
func (workspaces *Workspaces) Outcomes() any {
	workspaces.mu.Lock()
	defer workspaces.mu.Unlock()
	outcomes := make(map[string]map[string]int64, len(workspaces.counts))
	for name, counts := range workspaces.counts {
		outcomes[name] = maps.Clone(counts.outcomes)
	}
	return outcomes
}

var (
	waiting     = new(expvar.Map)
	waitingOnce sync.Once
)

// PublishWaiting publishes how many requests of each workspace wait for a connection. A
// later call replaces the function of an earlier one.
func PublishWaiting(count func() map[string]int) {
	waitingOnce.Do(func() { expvar.Publish("Workspaces", waiting) })
	waiting.Set("Waiting", expvar.Func(func() any { return count() }))
}
