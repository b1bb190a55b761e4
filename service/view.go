package service

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Part names. A part is what the store holds in one value.
const (
	ranksPart     = "Ranks"
	servicePrefix = "Service/"
)

// Part is one value of the configuration: the ranks, or one service.
type Part struct {
	Name string
	// Key is the store key of the content; it changes with the content.
	Key     string
	Content []byte
}

// Limits are what operators set for one backend server.
type Limits struct {
	Service       string
	FailureDomain string
	Slots         int
	Connections   int
}

// Service is one service of a view with its lookups.
type Service struct {
	Spec
	Name  string
	kinds map[string]Kind
	// maps holds the replicas of each shard, by snapshot.
	maps map[string][][]Replica
}

// Kind returns the kind of work with the given name.
func (service *Service) Kind(name string) (Kind, bool) {
	kind, ok := service.kinds[name]
	return kind, ok
}

// ShardMap returns the replicas of each shard of a snapshot, nil for a
// snapshot that the service does not have.
func (service *Service) ShardMap(snapshot string) [][]Replica {
	return service.maps[snapshot]
}

// View is the configuration at one version. It is immutable.
type View struct {
	Version  uint64
	PatchID  string
	Ranks    []Rank
	Services map[string]*Service

	parts    map[string]Part
	versions map[string]uint64
	// removed holds the version at which each missing part was removed.
	removed map[string]uint64
	// base is the version from which on changes are known.
	base   uint64
	limits map[string]Limits
}

// Empty returns the view before the first version.
func Empty() *View {
	return &View{Services: map[string]*Service{}, parts: map[string]Part{}, versions: map[string]uint64{}, removed: map[string]uint64{}, limits: map[string]Limits{}}
}

// With returns the view after a change. Parts that did not change are shared.
func (view *View) With(version uint64, patchID string, changed []Part, removed []string) (*View, error) {
	next := &View{Version: version, PatchID: patchID, Ranks: view.Ranks, base: view.base}
	if view.Version == 0 {
		next.base = version
	}
	next.parts = maps.Clone(view.parts)
	next.versions = maps.Clone(view.versions)
	next.removed = maps.Clone(view.removed)
	next.Services = maps.Clone(view.Services)
	for _, name := range removed {
		delete(next.parts, name)
		delete(next.versions, name)
		next.removed[name] = version
		delete(next.Services, strings.TrimPrefix(name, servicePrefix))
	}
	for _, part := range changed {
		next.parts[part.Name] = part
		next.versions[part.Name] = version
		delete(next.removed, part.Name)
		if err := next.decode(part); err != nil {
			return nil, err
		}
	}
	next.index()
	return next, nil
}

func (view *View) decode(part Part) error {
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
	service.index()
	view.Services[name] = service
	return nil
}

func (service *Service) index() {
	service.kinds = make(map[string]Kind)
	for _, kind := range service.Kinds {
		service.kinds[kind.Name] = kind
	}
	service.maps = make(map[string][][]Replica)
	for _, snapshot := range service.Snapshots {
		shards := make([][]Replica, snapshot.Shards)
		for _, replica := range snapshot.Replicas {
			if replica.Shard < len(shards) {
				shards[replica.Shard] = append(shards[replica.Shard], replica)
			}
		}
		service.maps[snapshot.Name] = shards
	}
}

func (view *View) index() {
	view.limits = make(map[string]Limits)
	for name, service := range view.Services {
		for _, snapshot := range service.Snapshots {
			for _, replica := range snapshot.Replicas {
				view.limits[replica.Address] = Limits{Service: name, FailureDomain: replica.FailureDomain, Slots: service.Slots, Connections: service.Connections}
			}
		}
	}
}

// Limits returns what is set for a backend server.
func (view *View) Limits(address string) (Limits, bool) {
	limits, ok := view.limits[address]
	return limits, ok
}

// Addresses returns the limits of all backend servers by address. The caller
// must not change it.
func (view *View) Addresses() map[string]Limits {
	return view.limits
}

// Rank returns the place of the named rank, 0 for the most urgent, or -1.
func (view *View) Rank(name string) int {
	return slices.IndexFunc(view.Ranks, func(rank Rank) bool { return rank.Name == name })
}

// Shares returns the kept share of each rank in percent.
func (view *View) Shares() []int {
	shares := make([]int, len(view.Ranks))
	for place, rank := range view.Ranks {
		shares[place] = rank.SharePercent
	}
	return shares
}

// Base returns the least version that Since can be asked about.
func (view *View) Base() uint64 {
	return view.base
}

// Since returns the parts that changed after a version and the names of those
// removed after it.
func (view *View) Since(version uint64) (parts []Part, removed []string) {
	for name, changedAt := range view.versions {
		if changedAt > version {
			parts = append(parts, view.parts[name])
		}
	}
	slices.SortFunc(parts, func(a, b Part) int { return strings.Compare(a.Name, b.Name) })
	for name, removedAt := range view.removed {
		if removedAt > version {
			removed = append(removed, name)
		}
	}
	return parts, removed
}

// Names returns the names of all parts in order.
func (view *View) Names() []string {
	return slices.Sorted(maps.Keys(view.parts))
}

// Entries returns names and store keys of all parts in order of name.
func (view *View) Entries() []Entry {
	entries := make([]Entry, 0, len(view.parts))
	for _, name := range view.Names() {
		entries = append(entries, Entry{Name: name, Key: view.parts[name].Key})
	}
	return entries
}

// Configuration returns the whole configuration as operators write it.
func (view *View) Configuration() *Configuration {
	configuration := &Configuration{Ranks: view.Ranks, Services: ConfigurationServices{}}
	for name, service := range view.Services {
		configuration.Services[name] = service.Spec
	}
	return configuration
}

// Compare returns the entries whose content the view lacks and the names of
// parts that the entries lack.
func (view *View) Compare(entries []Entry) (missing []Entry, gone []string) {
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Name] = true
		if view.parts[entry.Name].Key != entry.Key {
			missing = append(missing, entry)
		}
	}
	for name := range view.parts {
		if !listed[name] {
			gone = append(gone, name)
		}
	}
	return missing, gone
}
