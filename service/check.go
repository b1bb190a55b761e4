package service

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"fescuehall/schema"
)

// Parse decodes and validates a configuration. It returns all problems found.
func Parse(content []byte) (*Configuration, []schema.Problem) {
	if problems := schema.Check(schema.Configuration, content); len(problems) > 0 {
		return nil, problems
	}
	var configuration Configuration
	if err := json.Unmarshal(content, &configuration); err != nil {
		return nil, []schema.Problem{{Path: "/", Detail: err.Error()}}
	}
	check := &check{configuration: &configuration, owners: make(map[string]string)}
	check.validate()
	return &configuration, check.problems
}

// check validates the rules of a configuration that the JSON schema can't
// express.
type check struct {
	configuration *Configuration
	problems      []schema.Problem
	// owners maps the address of a backend server to the service that lists it; a
	// backend server belongs to one service only.
	owners map[string]string
}

func (check *check) addProblem(path, format string, args ...any) {
	check.problems = append(check.problems, schema.Problem{Path: path, Detail: fmt.Sprintf(format, args...)})
}

func (check *check) validate() {
	declaredRanks := check.checkRanks()
	for _, name := range slices.Sorted(maps.Keys(check.configuration.Services)) {
		spec := check.configuration.Services[name]
		path := "/Services/" + name
		check.checkKinds(path, spec, declaredRanks)
		check.checkSnapshots(path, name, spec)
		if spec.Connections < spec.Slots {
			check.addProblem(path+"/Connections", "%d connections are too few for %d slots", spec.Connections, spec.Slots)
		}
	}
}

// checkRanks checks the ranks and returns the set of their names.
func (check *check) checkRanks() map[string]bool {
	ranks := make(map[string]bool)
	total := 0
	for i, rank := range check.configuration.Ranks {
		if ranks[rank.Name] {
			check.addProblem(fmt.Sprintf("/Ranks/%d/Name", i), "rank %q is declared twice", rank.Name)
		}
		ranks[rank.Name] = true
		total += rank.SharePercent
	}
	if total > 100 {
		check.addProblem("/Ranks", "shares add up to %d percent, at most 100 are allowed", total)
	}
	return ranks
}

func (check *check) checkKinds(path string, spec Spec, declaredRanks map[string]bool) {
	seen := make(map[string]bool)
	for i, kind := range spec.Kinds {
		kindPath := fmt.Sprintf("%s/Kinds/%d", path, i)
		if !declaredRanks[kind.Rank] {
			check.addProblem(kindPath+"/Rank", "rank %q is not declared", kind.Rank)
		}
		if seen[kind.Name] {
			check.addProblem(kindPath+"/Name", "kind %q is declared twice", kind.Name)
		}
		seen[kind.Name] = true
	}
}

func (check *check) checkSnapshots(path, name string, spec Spec) {
	seen := make(map[string]bool)
	for i, snapshot := range spec.Snapshots {
		snapshotPath := fmt.Sprintf("%s/Snapshots/%d", path, i)
		if seen[snapshot.Name] {
			check.addProblem(snapshotPath+"/Name", "snapshot %q is declared twice", snapshot.Name)
		}
		seen[snapshot.Name] = true
		check.checkReplicas(snapshotPath, name, snapshot)
	}
}

func (check *check) checkReplicas(path, name string, snapshot Snapshot) {
	replicaCounts := make([]int, snapshot.Shards)
	for i, replica := range snapshot.Replicas {
		replicaPath := fmt.Sprintf("%s/Replicas/%d", path, i)
		if replica.Shard >= snapshot.Shards {
			check.addProblem(replicaPath+"/Shard", "shard %d does not exist, the snapshot has %d", replica.Shard, snapshot.Shards)
			continue
		}
		replicaCounts[replica.Shard]++
		owner, listed := check.owners[replica.Address]
		if listed && owner != name {
			check.addProblem(replicaPath+"/Address", "backend server %s belongs to service %q", replica.Address, owner)
		}
		check.owners[replica.Address] = name
	}
	for shard, count := range replicaCounts {
		if count == 0 {
			check.addProblem(path+"/Replicas", "shard %d has no replica", shard)
		}
	}
}
