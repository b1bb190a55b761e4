package service

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"fescuehall/schema"
)

// Parse reads a configuration and checks it. It returns every problem found.
func Parse(content []byte) (*Configuration, []schema.Problem) {
	if problems := schema.Check(schema.Configuration, content); len(problems) > 0 {
		return nil, problems
	}
	var configuration Configuration
	if err := json.Unmarshal(content, &configuration); err != nil {
		return nil, []schema.Problem{{Path: "/", Detail: err.Error()}}
	}
	check := &check{configuration: &configuration, owners: make(map[string]string)}
	check.run()
	return &configuration, check.problems
}

// check finds what the schema can't express.
type check struct {
	configuration *Configuration
	problems      []schema.Problem
	// owners maps a backend server's address to its service.
	owners map[string]string
}

func (check *check) add(path, format string, args ...any) {
	check.problems = append(check.problems, schema.Problem{Path: path, Detail: fmt.Sprintf(format, args...)})
}

func (check *check) run() {
	ranks := check.ranks()
	for _, name := range slices.Sorted(maps.Keys(check.configuration.Services)) {
		spec := check.configuration.Services[name]
		path := "/Services/" + name
		check.kinds(path, spec, ranks)
		check.snapshots(path, name, spec)
		if spec.Connections < spec.Slots {
			check.add(path+"/Connections", "%d connections can't fill %d slots", spec.Connections, spec.Slots)
		}
	}
}

func (check *check) ranks() map[string]bool {
	ranks := make(map[string]bool)
	total := 0
	for place, rank := range check.configuration.Ranks {
		if ranks[rank.Name] {
			check.add(fmt.Sprintf("/Ranks/%d/Name", place), "rank %q is declared twice", rank.Name)
		}
		ranks[rank.Name] = true
		total += rank.SharePercent
	}
	if total > 100 {
		check.add("/Ranks", "shares add up to %d percent, want at most 100", total)
	}
	return ranks
}

func (check *check) kinds(path string, spec Spec, ranks map[string]bool) {
	seen := make(map[string]bool)
	for place, kind := range spec.Kinds {
		at := fmt.Sprintf("%s/Kinds/%d", path, place)
		if !ranks[kind.Rank] {
			check.add(at+"/Rank", "rank %q is not declared", kind.Rank)
		}
		if seen[kind.Name] {
			check.add(at+"/Name", "kind %q is declared twice", kind.Name)
		}
		seen[kind.Name] = true
	}
}

func (check *check) snapshots(path, name string, spec Spec) {
	seen := make(map[string]bool)
	for place, snapshot := range spec.Snapshots {
		at := fmt.Sprintf("%s/Snapshots/%d", path, place)
		if seen[snapshot.Name] {
			check.add(at+"/Name", "snapshot %q is declared twice", snapshot.Name)
		}
		seen[snapshot.Name] = true
		check.replicas(at, name, snapshot)
	}
}

func (check *check) replicas(path, name string, snapshot Snapshot) {
	held := make([]int, snapshot.Shards)
	for place, replica := range snapshot.Replicas {
		at := fmt.Sprintf("%s/Replicas/%d", path, place)
		if replica.Shard >= snapshot.Shards {
			check.add(at+"/Shard", "shard %d does not exist, the snapshot has %d", replica.Shard, snapshot.Shards)
			continue
		}
		held[replica.Shard]++
		owner, taken := check.owners[replica.Address]
		if taken && owner != name {
			check.add(at+"/Address", "backend server %s belongs to service %q", replica.Address, owner)
		}
		check.owners[replica.Address] = name
	}
	for number, count := range held {
		if count == 0 {
			check.add(path+"/Replicas", "shard %d has no replica", number)
		}
	}
}
