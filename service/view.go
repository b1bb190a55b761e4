package service

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Names of parts: the ranks, and one part for each service.
const (
	ranksPart     = "Ranks"
	servicePrefix = "Service/"
)

// Part is a piece of the configuration that is stored as one value: the ranks,
// or one service.
type Part struct {
	Name string
	// Key is the store key of the content. It contains a hash of the content.
	Key string
	// Content is JSON, compressed with gzip.
	Content []byte
}

// Limits are the limits that operators set for one backend server.
type Limits struct {
	Service       string
	FailureDomain string
	Slots         int
	Connections   int
}

// Service is one service of a view, with maps for lookups by name.
type Service struct {
	Spec
	Name  string
	kinds map[string]Kind
	// shardMaps holds the replicas of each shard, by name of snapshot.
	shardMaps map[string][][]Replica
}

// Kind returns the kind of request with the given name.
func (service *Service) Kind(name string) (Kind, bool) {
	kind, ok := service.kinds[name]
	return kind, ok
}

// ShardMap returns the replicas of each shard of a snapshot. It returns nil for
// a snapshot that the service does not have.
func (service *Service) ShardMap(snapshot string) [][]Replica {
	return service.shardMaps[snapshot]
}

// View is the configuration at one version. It is immutable.
type View struct {
	Version  uint64
	PatchID  string
	Ranks    []Rank
	Services map[string]*Service

	parts map[string]Part
	// partVersions holds the version that last changed each part.
	partVersions map[string]uint64
	// removedVersions holds the version that removed each removed part.
	removedVersions map[string]uint64
	// base is the oldest version since which all changes are recorded.
	base uint64
	// limits holds the limits of each backend server by address.
	limits map[string]Limits
}

// Empty returns the view before the first version.
func Empty() *View {
	return &View{Services: map[string]*Service{}, parts: map[string]Part{}, partVersions: map[string]uint64{}, removedVersions: map[string]uint64{}, limits: map[string]Limits{}}
}

// With returns the view at a later version. It shares the parts that did not
// change with this view.
func (view *View) With(version uint64, patchID string, changed []Part, removed []string) (*View, error) {
	next := &View{Version: version, PatchID: patchID, Ranks: view.Ranks, base: view.base}
	if view.Version == 0 {
		next.base = version
	}
	next.parts = maps.Clone(view.parts)
	next.partVersions = maps.Clone(view.partVersions)
	next.removedVersions = maps.Clone(view.removedVersions)
	next.Services = maps.Clone(view.Services)
	for _, name := range removed {
		delete(next.parts, name)
		delete(next.partVersions, name)
		next.removedVersions[name] = version
		delete(next.Services, strings.TrimPrefix(name, servicePrefix))
	}
	for _, part := range changed {
		next.parts[part.Name] = part
		next.partVersions[part.Name] = version
		delete(next.removedVersions, part.Name)
		if err := next.decodePart(part); err != nil {
			return nil, err
		}
	}
	next.buildLimits()
	return next, nil
}

// decodePart decodes a part into the view's ranks or services.
func (view *View) decodePart(part Part) error {
	if part.Name == ranksPart {
		return part.Decode(&view.Ranks)
	}
	name, ok := strings.CutPrefix(part.Name, servicePrefix)
	if !ok {
		return fmt.Errorf("configuration part %q has an unknown name", part.Name)
	}
	service := &Service{Name: name}
	if err := part.Decode(&service.Spec); err != nil {
		return err
	}
	service.buildLookups()
	view.Services[name] = service
	return nil
}

func (service *Service) buildLookups() {
	service.kinds = make(map[string]Kind)
	for _, kind := range service.Kinds {
		service.kinds[kind.Name] = kind
	}
	service.shardMaps = make(map[string][][]Replica)
	for _, snapshot := range service.Snapshots {
		shards := make([][]Replica, snapshot.Shards)
		for _, replica := range snapshot.Replicas {
			if replica.Shard < len(shards) {
				shards[replica.Shard] = append(shards[replica.Shard], replica)
			}
		}
		service.shardMaps[snapshot.Name] = shards
	}
}

func (view *View) buildLimits() {
	view.limits = make(map[string]Limits)
	for name, service := range view.Services {
		for _, snapshot := range service.Snapshots {
			for _, replica := range snapshot.Replicas {
				view.limits[replica.Address] = Limits{Service: name, FailureDomain: replica.FailureDomain, Slots: service.Slots, Connections: service.Connections}
			}
		}
	}
}

// Limits returns the limits of the backend server at an address.
func (view *View) Limits(address string) (Limits, bool) {
	limits, ok := view.limits[address]
	return limits, ok
}

// LimitsByAddress returns the limits of all backend servers by address. The
// caller must not modify the map.
func (view *View) LimitsByAddress() map[string]Limits {
	return view.limits
}

// RankIndex returns the index of the named rank, where 0 is the most urgent, or
// -1 if there is no such rank.
func (view *View) RankIndex(name string) int {
	return slices.IndexFunc(view.Ranks, func(rank Rank) bool { return rank.Name == name })
}

// RankShares returns the share of every replica's capacity that is guaranteed
// to each rank, in percent.
func (view *View) RankShares() []int {
	shares := make([]int, len(view.Ranks))
	for i, rank := range view.Ranks {
		shares[i] = rank.SharePercent
	}
	return shares
}

// BaseVersion returns the oldest version that ChangesSince accepts; earlier
// changes are not recorded.
func (view *View) BaseVersion() uint64 {
	return view.base
}

// ChangesSince returns the parts that changed after a version, and the names of
// the parts removed after it.
func (view *View) ChangesSince(version uint64) (parts []Part, removed []string) {
	for name, changedVersion := range view.partVersions {
		if changedVersion > version {
			parts = append(parts, view.parts[name])
		}
	}
	slices.SortFunc(parts, func(a, b Part) int { return strings.Compare(a.Name, b.Name) })
	for name, removedVersion := range view.removedVersions {
		if removedVersion > version {
			removed = append(removed, name)
		}
	}
	return parts, removed
}

// PartNames returns the sorted names of all parts.
func (view *View) PartNames() []string {
	return slices.Sorted(maps.Keys(view.parts))
}

// Entries returns the names and store keys of all parts, sorted by name.
func (view *View) Entries() []Entry {
	entries := make([]Entry, 0, len(view.parts))
	for _, name := range view.PartNames() {
		entries = append(entries, Entry{Name: name, Key: view.parts[name].Key})
	}
	return entries
}

// Configuration returns the whole configuration in the form that operators
// edit.
func (view *View) Configuration() *Configuration {
	configuration := &Configuration{Ranks: view.Ranks, Services: ConfigurationServices{}}
	for name, service := range view.Services {
		configuration.Services[name] = service.Spec
	}
	return configuration
}

// Compare returns the entries whose content the view lacks, and the names of
// the view's parts that are not among the entries.
func (view *View) Compare(entries []Entry) (missing []Entry, removed []string) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Name] = true
		if view.parts[entry.Name].Key != entry.Key {
			missing = append(missing, entry)
		}
	}
	for name := range view.parts {
		if !listed[name] {
			removed = append(removed, name)
		}
	}
	return missing, removed
}
