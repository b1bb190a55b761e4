package feed

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"fescuehall/evacuation"
	"fescuehall/message"
	"fescuehall/roster"
	"fescuehall/shard"
)

const (
	// maxListAge is the maximum age of lists that are accepted from another host,
	// and the age after which the host that would replace the reader reads them
	// itself. It is a little more than the intervals between reads and between
	// fetches together.
	maxListAge = 1500 * time.Millisecond
	// shortestBound is the shortest time in use within which a change must be known
	// everywhere.
	shortestBound = 3 * time.Second
	// ownListAgeRatio is the age of this host's lists after which it reads them
	// itself, as a share of that bound. It leaves time for the next host to take over
	// as the reader, and for the lag of a read.
	ownListAgeRatio = 0.63
	// maxOwnListAge bounds that age. It stays below the time without a list that the
	// roster takes for an outage of the store, after which it keeps replicas that are
	// missing from the list, and leaves time for the next check and the read.
	maxOwnListAge = 2100 * time.Millisecond
	// configAgeRatio is the time since the store confirmed the configuration after
	// which a host reads it itself, as a share of that bound. The reader confirms it
	// once a second and followers fetch that within half a second. It bounds how late
	// a host that can reach the store activates a change, whatever happens to the
	// reader, and leaves time for a read that has to be repeated.
	configAgeRatio = 0.6
	// maxConfigAge is the time since the store confirmed the configuration up to which
	// a host accepts it from another host.
	maxConfigAge = 1800 * time.Millisecond
	// remoteListAge is the age of the lists at which a follower fetches from other
	// failure domains, when no candidate of its own has had recent lists and its own
	// reads have failed. Whole lists are long, and transfers between failure domains
	// are expensive.
	remoteListAge = 6 * time.Second
	// fetchTimeout bounds a fetch from one host.
	fetchTimeout = 250 * time.Millisecond
)

// Follower fetches what the reader of the same failure domain has read from the
// store. Set the exported fields before use.
type Follower struct {
	// Name is this host's name.
	Name string
	// Domain is this host's failure domain.
	Domain string
	// Now is a clock that also runs while the machine is suspended.
	Now func() time.Time
	// Bound is the time within which a change of the lists must be known on each host
	// that can reach the store; 0 means shortestBound. With a longer one, hosts ask the
	// store later when their reader fails, and a short outage of the store brings no
	// calls of all hosts.
	Bound time.Duration
	// Hosts returns the hosts on the host list.
	Hosts func() []shard.Host
	// Version returns the version of the active configuration.
	Version func() uint64
	// SendFetch sends a fetch to a host and returns its reply.
	SendFetch func(ctx context.Context, host shard.Host, fetch *message.FeedFetch) (*message.FeedNews, error)
	// ApplyConfig, UpdateReplicas and UpdateHosts are called with a fetched
	// configuration and the complete updated lists.
	ApplyConfig    func(config []byte) error
	UpdateReplicas func(replicas []roster.Replica)
	UpdateHosts    func(hosts []shard.Host)
	// OwnStates returns the states of the store that the lists show that this host
	// itself has read.
	OwnStates func() States
	// ConfigRecent reports whether the configuration was confirmed recently, to this
	// host or to one that told this host.
	ConfigRecent func() bool
	// Evacuations is the set of evacuated failure domains. A reply's set is as old as
	// its confirmation of the configuration.
	Evacuations *evacuation.Set
	// ConfirmConfig is called with a time at which the store held no newer
	// configuration than the fetched one.
	ConfirmConfig func(at time.Time)
	// Confirm is called when a fetch finds the lists unchanged.
	Confirm func()
	// SourceChanged is called with the host that updates are fetched from, when it
	// is another one than before.
	SourceChanged func(host string)

	// replicas and hosts are the lists of the host source as of sequence.
	replicas map[string]roster.Replica
	hosts    []shard.Host
	source   string
	sequence uint64
	// fetched holds the states that the fetched lists show.
	fetched atomic.Pointer[States]
	// publishedOver are the states of this host's own lists when the fetched ones were
	// last passed on.
	publishedOver States
	cached        atomic.Pointer[ranking]
	// lastSource is the host of the last successful fetch.
	lastSource shard.Host
	// firstFetchAt is when FetchOnce was first called.
	firstFetchAt time.Time
	transfer     transfer
	// earlierSource is set while this host fetches from one of an earlier release,
	// whose list of hosts leaves out what that release does not know.
	earlierSource atomic.Bool
}

// share returns a share of a bound on how late changes are known.
func share(ratio float64, bound time.Duration) time.Duration {
	return time.Duration(ratio * float64(max(bound, shortestBound)))
}

// MustReadStore reports whether this host has to read the store itself: because
// it is the reader, or because its lists are too old.
func (follower *Follower) MustReadStore() bool {
	limit := min(share(ownListAgeRatio, follower.Bound), maxOwnListAge)
	for i, host := range follower.ranking().candidates {
		if host.Name != follower.Name {
			continue
		}
		if i < readersPerDomain {
			return true
		}
		if i == readersPerDomain {
			limit = maxListAge
		}
	}
	return follower.Now().Sub(follower.ReadAt()) > limit
}

// MustReadHosts reports whether this host has to read the list of hosts itself: because
// it has to read the store, or because it fetches from a host of an earlier release.
func (follower *Follower) MustReadHosts() bool {
	return follower.earlierSource.Load() || follower.MustReadStore()
}

// FetchedNewerHosts reports whether a list of hosts was fetched that shows a later state
// than a given one.
func (follower *Follower) FetchedNewerHosts(state State) bool {
	fetched := follower.fetched.Load()
	return fetched != nil && !follower.earlierSource.Load() && state.OlderThan(fetched.Hosts)
}

// HostsReadAt returns a time at which the list of hosts that this host has was still
// valid.
func (follower *Follower) HostsReadAt() time.Time {
	if follower.earlierSource.Load() {
		return follower.OwnStates().ReadAt()
	}
	return follower.ReadAt()
}

// IsCandidate reports whether other hosts of the failure domain fetch from this one.
func (follower *Follower) IsCandidate() bool {
	return slices.ContainsFunc(follower.ranking().candidates, func(host shard.Host) bool { return host.Name == follower.Name })
}

// FetchedNewerReplicas reports whether a list of replicas was fetched that shows a later
// state than a given one.
func (follower *Follower) FetchedNewerReplicas(state State) bool {
	fetched := follower.fetched.Load()
	return fetched != nil && state.OlderThan(fetched.Replicas)
}

// ReadAt returns the time as of which this host's lists hold each change, whether it
// read them itself or fetched them.
func (follower *Follower) ReadAt() time.Time {
	readAt := follower.OwnStates().ReadAt()
	if fetched := follower.fetched.Load(); fetched != nil && fetched.ReadAt().After(readAt) {
		return fetched.ReadAt()
	}
	return readAt
}

// ListAge returns the time since the state of the store that this host's lists show, and
// whether it has any.
func (follower *Follower) ListAge() (time.Duration, bool) {
	readAt := follower.ReadAt()
	return follower.Now().Sub(readAt), !readAt.IsZero()
}

// FetchOnce fetches from the first host that returns recent lists: the candidates
// of this failure domain, or else readers of others, since the store may reject the
// calls of a whole domain and serve others. The reader itself fetches only while
// its own reads fail.
func (follower *Follower) FetchOnce(ctx context.Context) error {
	if follower.firstFetchAt.IsZero() {
		follower.firstFetchAt = follower.Now()
	}
	ranking := follower.ranking()
	candidates := ranking.candidates
	if len(candidates) > 0 && candidates[0].Name == follower.Name && follower.readsSucceed() {
		return nil
	}
	if follower.needsRemote() {
		candidates = slices.Concat(candidates, ranking.remote)
	}
	var err error
	for _, host := range candidates {
		if host.Name == follower.Name {
			continue
		}
		if err = follower.fetch(ctx, host); err == nil {
			if follower.lastSource.Name != host.Name {
				follower.lastSource = host
				follower.SourceChanged(host.Name)
			}
			return nil
		}
	}
	return err
}

// readsSucceed reports whether this host itself has read all data recently.
func (follower *Follower) readsSucceed() bool {
	return follower.ConfigRecent() && follower.Now().Sub(follower.OwnStates().ReadAt()) <= maxListAge
}

// needsRemote reports whether this host fetches from other failure domains when its
// own has no recent lists. A host that does so continues, since it then receives
// only changes.
func (follower *Follower) needsRemote() bool {
	since := follower.ReadAt()
	if since.Before(follower.firstFetchAt) {
		since = follower.firstFetchAt
	}
	followsRemote := follower.lastSource.FailureDomain != "" && follower.lastSource.FailureDomain != follower.Domain
	return followsRemote || follower.Now().Sub(since) > remoteListAge
}

// fetch fetches from a host until this one has the host's configuration.
func (follower *Follower) fetch(ctx context.Context, host shard.Host) error {
	for {
		more, err := follower.fetchPart(ctx, host)
		if err != nil || !more {
			return err
		}
	}
}

// Transferring reports whether a configuration is being received from a peer and will
// soon be complete, so that reading it from the store as well would only delay it.
func (follower *Follower) Transferring() bool {
	return follower.transfer.advancing(follower.Now())
}

// fetchPart fetches the changes of the lists and the next part of a newer
// configuration. It reports whether the host has more of it.
func (follower *Follower) fetchPart(ctx context.Context, host shard.Host) (more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sentAt := follower.Now()
	fetch := &message.FeedFetch{Version: follower.Version(), Source: follower.source, Sequence: follower.sequence, MaxConfigBytes: partBytes}
	fetch.PartVersion, fetch.PartOffset = follower.transfer.next()
	reply, err := follower.SendFetch(ctx, host, fetch)
	if err != nil {
		return false, err
	}
	// The other host may have computed its ages as early as at sentAt.
	elapsed := follower.Now().Sub(sentAt)
	configAge := time.Duration(reply.ConfigAgeMicros) * time.Microsecond
	if reply.ConfigAgeMicros == neverRead || configAge+elapsed > maxConfigAge {
		return false, fmt.Errorf("host %s has no recent configuration, age %v", host.Name, configAge+elapsed)
	}
	follower.earlierSource.Store(!reply.EvacuationsKnown)
	confirmedAt := sentAt.Add(-configAge)
	if err := follower.receiveEvacuations(reply, confirmedAt); err != nil {
		return false, fmt.Errorf("host %s: %w", host.Name, err)
	}
	if len(reply.Config) > 0 {
		if err := follower.receiveConfig(reply); err != nil {
			return false, fmt.Errorf("host %s: %w", host.Name, err)
		}
	}
	more = len(reply.Config) > 0 && follower.Version() < reply.Version
	if follower.Version() >= reply.Version && reply.EvacuationsKnown {
		follower.ConfirmConfig(confirmedAt)
	}
	return more, follower.receiveLists(reply, sentAt, elapsed)
}

// receiveEvacuations applies the evacuated failure domains in a reply. Hosts of an
// earlier release don't know them: their confirmation of the configuration does not
// count, and this host takes nothing from them before it knows the evacuations.
func (follower *Follower) receiveEvacuations(reply *message.FeedNews, confirmedAt time.Time) error {
	if reply.EvacuationsKnown {
		follower.Evacuations.Confirm(reply.Evacuated, confirmedAt)
		return nil
	}
	if _, known := follower.Evacuations.Domains(); !known {
		return errors.New("it does not know the evacuated failure domains")
	}
	return nil
}

// receiveLists applies the lists in a reply, unless they are too old.
func (follower *Follower) receiveLists(reply *message.FeedNews, sentAt time.Time, elapsed time.Duration) error {
	listAge := time.Duration(reply.AgeMicros) * time.Microsecond
	if reply.AgeMicros == neverRead || listAge+elapsed > maxListAge {
		return fmt.Errorf("host %s has no recent lists, age %v", reply.Source, listAge+elapsed)
	}
	readAt := sentAt.Add(-listAge)
	states := States{
		Replicas: State{ReadAt: readAt, Era: reply.ReplicasEra, Revision: reply.ReplicasRevision},
		Hosts:    State{ReadAt: readAt, Era: reply.HostsEra, Revision: reply.HostsRevision},
	}
	if follower.hasNewer(states) {
		// Older lists may hold a replica that left.
		return nil
	}
	follower.fetched.Store(&states)
	switch {
	case !reply.Unchanged:
		follower.apply(reply)
	case follower.OwnStates() != follower.publishedOver:
		// This host has replaced the fetched lists by what it read itself.
		follower.publish()
	default:
		follower.Confirm()
	}
	return nil
}

// hasNewer reports whether this host has a list of replicas or hosts that shows a later
// state than those of a reply.
func (follower *Follower) hasNewer(reply States) bool {
	own := follower.OwnStates()
	if reply.Replicas.OlderThan(own.Replicas) || follower.FetchedNewerReplicas(reply.Replicas) {
		return true
	}
	return !follower.earlierSource.Load() && (reply.Hosts.OlderThan(own.Hosts) || follower.FetchedNewerHosts(reply.Hosts))
}

// receiveConfig adds the part of a configuration in a reply, and applies the
// configuration once it is complete.
func (follower *Follower) receiveConfig(reply *message.FeedNews) error {
	config, err := follower.transfer.add(reply, follower.Now())
	if err != nil || config == nil {
		return err
	}
	before := follower.Version()
	if err := follower.ApplyConfig(config); err != nil {
		return err
	}
	if follower.Version() == before {
		return fmt.Errorf("the configuration of version %d is not newer than version %d", reply.Version, before)
	}
	return nil
}

// apply merges changes into the lists, or replaces the lists by complete ones.
func (follower *Follower) apply(reply *message.FeedNews) {
	if reply.Whole {
		follower.replicas = make(map[string]roster.Replica, len(reply.Replicas))
	}
	for _, encoded := range reply.Replicas {
		follower.replicas[encoded.ID] = decodeReplica(encoded).ReceivedAt(follower.Now())
	}
	for _, id := range reply.Gone {
		delete(follower.replicas, id)
	}
	if reply.HostsChanged {
		follower.hosts = make([]shard.Host, len(reply.Hosts))
		for i, encoded := range reply.Hosts {
			follower.hosts[i] = shard.Host{Name: encoded.Name, Address: encoded.Address, FailureDomain: encoded.FailureDomain, Cores: encoded.Cores, KeepsAllowances: encoded.KeepsAllowances}
		}
	}
	follower.source, follower.sequence = reply.Source, reply.Sequence
	follower.publish()
}

// publish passes on the complete lists as they were fetched.
func (follower *Follower) publish() {
	follower.publishedOver = follower.OwnStates()
	follower.UpdateReplicas(slices.Collect(maps.Values(follower.replicas)))
	if !follower.earlierSource.Load() {
		follower.UpdateHosts(follower.hosts)
	}
}
