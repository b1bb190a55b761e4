package allowance

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fescuehall/message"
	"fescuehall/shard"
)

const (
	// maxListAge is the age of the list of hosts up to which a keeper relies on it
	// alone.
	maxListAge = 2 * time.Second
	// takeoverTime is how long a host has been a limit's keeper by its lists before
	// it grants. It is longer than an earlier keeper may still rely on its own list:
	// maxListAge, the lag of the store's reads, which is up to a second, and a
	// margin.
	takeoverTime = 3500 * time.Millisecond
	// voteInterval is how long a majority of votes holds. It is shorter than
	// takeoverTime by more than voteTimeout.
	voteInterval = time.Second
	voteTimeout  = 40 * time.Millisecond
	// maxVoters is the number of hosts that a keeper with an old list asks: all in a
	// failure domain of up to 16 hosts, a sample in larger ones.
	maxVoters = 15
	// memory is how long earlier lists are kept, maxLists how many.
	memory   = 10 * time.Minute
	maxLists = 64
	// lostTime is how long hosts that have left the list count as possibly cut off.
	lostTime = time.Minute
	// votePrefix starts the Limit of an ask that is a question for a vote.
	votePrefix = "hosts/"
)

// Hosts tells which host keeps a limit in which failure domain, by rendezvous hashing
// over the hosts on the host list. Set the exported fields before use.
type Hosts struct {
	// Name and Domain are this host's name and failure domain.
	Name   string
	Domain string
	// Now is a clock that also runs while the machine is suspended.
	Now func() time.Time
	// ReadAt returns when the store was asked for the list of hosts that was last
	// passed to Update or is still valid.
	ReadAt func() time.Time
	// Registered reports whether this process has put its host on the list; nil if
	// that is not known.
	Registered func() bool
	// Ended reports whether a host's process has ended: it refused a connection.
	Ended func(host shard.Host) bool
	// Ask sends an ask to another host; nil if there is no other.
	Ask func(ctx context.Context, host shard.Host, ask *message.AllowanceAsk) (*message.AllowanceGrant, error)
	// Shuffle shuffles n elements by swapping pairs, as rand.Shuffle does.
	Shuffle func(n int, swap func(i, j int))
	// Changed is called when this host's grants depend on votes ("unsure") and when
	// they no longer do ("sure"); it may be nil.
	Changed func(state string, listAge time.Duration)

	// updating is held during an update, so that updates don't overtake each other.
	updating sync.Mutex

	mu sync.Mutex
	// latest is the latest list as it was passed to Update.
	latest []shard.Host
	// placement maps limits to hosts of all failure domains.
	placement *shard.Placement
	// lists are the lists of the hosts of this failure domain, the latest last.
	lists []domainList
	// fingerprint identifies the latest of lists.
	fingerprint string
	// unsure is set while this host's grants depend on votes.
	unsure bool

	// voting is closed when the vote in progress ends, nil when there is none.
	voting chan struct{}
	// confirmedAt is when a vote was last begun that was won, confirmedFor what it was
	// about.
	confirmedAt  time.Time
	confirmedFor question
	// votedAt is when one was last begun.
	votedAt time.Time
}

// question is what a vote is about: a list of hosts, and whether it was recent.
type question struct {
	fingerprint string
	recent      bool
}

// domainList is the hosts of this failure domain from a time on.
type domainList struct {
	placement *shard.Placement
	hosts     []shard.Host
	from      time.Time
	// released maps earlier keepers to the time from which they are known to grant
	// nothing that this host keeps by this list. asked maps them to the time at which
	// they were last asked.
	released, asked map[string]time.Time
}

// keeper returns the name of the host that keeps a limit by the list, empty if there is
// none.
func (list *domainList) keeper(limit, domain string) string {
	keepers := list.placement.HostsForRole(limit, domain, 1)
	if len(keepers) == 0 {
		return ""
	}
	return keepers[0].Name
}

// Update replaces the list of hosts.
func (hosts *Hosts) Update(list []shard.Host) {
	hosts.updating.Lock()
	defer hosts.updating.Unlock()
	if !hosts.setLatest(list) {
		return
	}
	keeping := slices.DeleteFunc(slices.Clone(list), func(host shard.Host) bool { return !host.KeepsAllowances })
	slices.SortFunc(keeping, func(a, b shard.Host) int { return strings.Compare(a.Name, b.Name) })
	var local []shard.Host
	hash := xxhash.New()
	for _, host := range keeping {
		if host.FailureDomain == hosts.Domain {
			local = append(local, host)
			hash.WriteString(host.Name + "\x00")
		}
	}
	fingerprint := votePrefix + strconv.FormatUint(hash.Sum64(), 16)
	hosts.mu.Lock()
	defer hosts.mu.Unlock()
	hosts.placement = shard.New(keeping)
	if len(hosts.lists) > 0 && fingerprint == hosts.fingerprint {
		return
	}
	now := hosts.Now()
	from := now
	if len(hosts.lists) == 0 && hosts.listedBefore(local) {
		from = now.Add(-takeoverTime)
	}
	hosts.fingerprint = fingerprint
	hosts.lists = append(hosts.lists, domainList{placement: shard.New(local), hosts: local, from: from, released: make(map[string]time.Time), asked: make(map[string]time.Time)})
	hosts.forget(now)
}

// listedBefore reports whether an earlier process of this host is on the first list.
// Other hosts then have this host on their lists as well, and what it keeps was kept by
// that process, which has ended, so that there is no time to wait for another keeper.
func (hosts *Hosts) listedBefore(list []shard.Host) bool {
	if hosts.Registered == nil || hosts.Registered() {
		return false
	}
	return slices.ContainsFunc(list, func(host shard.Host) bool { return host.Name == hosts.Name })
}

// setLatest records the list and reports whether it differs from the one before.
func (hosts *Hosts) setLatest(list []shard.Host) bool {
	hosts.mu.Lock()
	defer hosts.mu.Unlock()
	if hosts.placement != nil && slices.Equal(hosts.latest, list) {
		return false
	}
	hosts.latest = slices.Clone(list)
	return true
}

// forget removes lists that are too old or too many. A host that keeps a limit by all
// lists that are left counts as its keeper since the first of them, which is no earlier
// than it became that. The caller holds the lock.
func (hosts *Hosts) forget(now time.Time) {
	for len(hosts.lists) > 1 && now.Sub(hosts.lists[1].from) > memory {
		hosts.lists = hosts.lists[1:]
	}
	if len(hosts.lists) > maxLists {
		hosts.lists = hosts.lists[1:]
	}
}

// Keeper returns the host of a failure domain that keeps a limit by the latest list.
func (hosts *Hosts) Keeper(limit, domain string) (shard.Host, bool) {
	hosts.mu.Lock()
	placement := hosts.placement
	hosts.mu.Unlock()
	if placement == nil {
		return shard.Host{}, false
	}
	keepers := placement.HostsForRole(limit, domain, 1)
	if len(keepers) == 0 {
		return shard.Host{}, false
	}
	return keepers[0], true
}

// Since returns the time from which this host grants tokens of a limit, by its lists,
// and whether that time has come: takeoverTime after it became the keeper, or sooner if
// the earlier keepers have agreed.
func (hosts *Hosts) Since(limit string) (time.Time, bool) {
	hosts.mu.Lock()
	defer hosts.mu.Unlock()
	first := len(hosts.lists)
	for first > 0 && hosts.lists[first-1].keeper(limit, hosts.Domain) == hosts.Name {
		first--
	}
	if first == len(hosts.lists) {
		return time.Time{}, false
	}
	begin := hosts.lists[first].from.Add(takeoverTime)
	if released, ok := hosts.releasedAt(first, limit); ok && released.Before(begin) {
		begin = released
	}
	return begin, !hosts.Now().Before(begin)
}

// releasedAt returns the time from which no earlier keeper of a limit may grant, and
// whether it is known: each host that kept the limit by a list of the takeoverTime before
// this host did so has the latest list, or its process has ended. Those that were not
// asked yet are asked in the background. The caller holds the lock.
func (hosts *Hosts) releasedAt(first int, limit string) (time.Time, bool) {
	list := &hosts.lists[first]
	latest, all := list.from, true
	settled := false
	for i := first - 1; i >= 0 && !settled; i-- {
		earlier := &hosts.lists[i]
		settled = list.from.Sub(earlier.from) >= takeoverTime
		keeper := earlier.keeper(limit, hosts.Domain)
		if keeper == hosts.Name || keeper == "" {
			continue
		}
		released, ok := list.released[keeper]
		if !ok {
			hosts.askRelease(list, earlier, keeper)
			all = false
		}
		if released.After(latest) {
			latest = released
		}
	}
	return latest, all && settled
}

// askRelease asks an earlier keeper in the background whether it has the latest list, so
// that it grants nothing more of what this host keeps. The caller holds the lock.
func (hosts *Hosts) askRelease(list, earlier *domainList, name string) {
	const interval = 200 * time.Millisecond
	now := hosts.Now()
	index := slices.IndexFunc(earlier.hosts, func(host shard.Host) bool { return host.Name == name })
	if asked, ok := list.asked[name]; hosts.Ask == nil || index < 0 || ok && now.Sub(asked) < interval || now.Sub(list.from) > takeoverTime {
		return
	}
	list.asked[name] = now
	keeper, fingerprint, released := earlier.hosts[index], hosts.fingerprint, list.released
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
		defer cancel()
		if hosts.askVote(ctx, keeper, fingerprint, true) == voteNo {
			return
		}
		hosts.mu.Lock()
		defer hosts.mu.Unlock()
		released[name] = hosts.Now()
	}()
}

// Certain reports whether no other host of this failure domain can believe that it
// keeps the same limits: the list of hosts is recent, or a majority of a sample of the
// failure domain's hosts has the same list. If at least half of the hosts have left the
// list within lostTime, they may have been cut off together with an earlier keeper, and
// a majority that includes them has to agree as well.
func (hosts *Hosts) Certain(ctx context.Context) bool {
	now, readAt := hosts.Now(), hosts.ReadAt()
	hosts.mu.Lock()
	recent := now.Sub(readAt) <= maxListAge
	electorate := hosts.electorate(now)
	changed := hosts.unsure == recent
	hosts.unsure = !recent
	hosts.mu.Unlock()
	if changed && hosts.Changed != nil {
		hosts.Changed(map[bool]string{true: "sure", false: "unsure"}[recent], now.Sub(readAt))
	}
	switch {
	case electorate.listed == 0:
		return false
	case recent && 2*electorate.listed > len(electorate.hosts):
		return true
	}
	return hosts.confirmed(ctx, electorate, recent)
}

// electorate is the hosts of a failure domain whose votes count.
type electorate struct {
	fingerprint string
	hosts       []shard.Host
	// listed is how many of them are on the latest list.
	listed int
}

// electorate returns the hosts of this failure domain that were listed within lostTime.
// The caller holds the lock.
func (hosts *Hosts) electorate(now time.Time) electorate {
	if len(hosts.lists) == 0 {
		return electorate{}
	}
	latest := hosts.lists[len(hosts.lists)-1]
	result := electorate{fingerprint: hosts.fingerprint, hosts: latest.hosts, listed: len(latest.hosts)}
	// A list counts until lostTime after it was replaced.
	for i := len(hosts.lists) - 2; i >= 0 && now.Sub(hosts.lists[i+1].from) < lostTime; i-- {
		for _, host := range hosts.lists[i].hosts {
			if !slices.ContainsFunc(result.hosts, func(other shard.Host) bool { return other.Name == host.Name }) {
				result.hosts = append(slices.Clip(result.hosts), host)
			}
		}
	}
	return result
}

// confirmed reports whether a vote that was won still holds. If not, it has one taken,
// at most one at a time.
func (hosts *Hosts) confirmed(ctx context.Context, electorate electorate, recent bool) bool {
	hosts.mu.Lock()
	if !hosts.holds(electorate, recent) && hosts.voting == nil && hosts.Now().Sub(hosts.votedAt) >= voteInterval/2 {
		hosts.voting, hosts.votedAt = make(chan struct{}), hosts.Now()
		go hosts.takeVote(electorate, recent)
	}
	voting := hosts.voting
	hosts.mu.Unlock()
	if voting != nil {
		select {
		case <-voting:
		case <-ctx.Done():
		}
	}
	hosts.mu.Lock()
	defer hosts.mu.Unlock()
	return hosts.holds(electorate, recent)
}

// holds reports whether a vote for an electorate's list was won and still holds. The
// caller holds the lock.
func (hosts *Hosts) holds(electorate electorate, recent bool) bool {
	return hosts.confirmedFor == (question{electorate.fingerprint, recent}) && hosts.Now().Sub(hosts.confirmedAt) < voteInterval
}

// takeVote takes a vote and records that it was won.
func (hosts *Hosts) takeVote(electorate electorate, recent bool) {
	begin := hosts.Now()
	won := hosts.vote(electorate, recent)
	hosts.mu.Lock()
	defer hosts.mu.Unlock()
	if won {
		hosts.confirmedAt, hosts.confirmedFor = begin, question{electorate.fingerprint, recent}
	}
	close(hosts.voting)
	hosts.voting = nil
}

// vote asks a sample of the electorate whether they have the same list of the failure
// domain's hosts, and reports whether a majority does, this host included. While this
// host's list is recent, hosts whose process has ended have no vote: they grant nothing.
func (hosts *Hosts) vote(electorate electorate, recent bool) bool {
	voters := slices.DeleteFunc(slices.Clone(electorate.hosts), func(host shard.Host) bool { return host.Name == hosts.Name })
	hosts.Shuffle(len(voters), func(i, j int) { voters[i], voters[j] = voters[j], voters[i] })
	if recent {
		voters = slices.DeleteFunc(voters, hosts.Ended)
	}
	voters = voters[:min(len(voters), maxVoters)]
	ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
	defer cancel()
	votes := make(chan vote, len(voters))
	for _, voter := range voters {
		go func() { votes <- hosts.askVote(ctx, voter, electorate.fingerprint, recent) }()
	}
	yes, all := 1, len(voters)+1
	for range voters {
		switch <-votes {
		case voteYes:
			yes++
		case voteEnded:
			all--
		}
	}
	return 2*yes > all
}

// vote is a host's reply to a question for its vote.
type vote int

const (
	voteNo vote = iota
	voteYes
	voteEnded
)

func (hosts *Hosts) askVote(ctx context.Context, voter shard.Host, fingerprint string, recent bool) vote {
	grant, err := hosts.Ask(ctx, voter, &message.AllowanceAsk{Limit: fingerprint, FailureDomain: hosts.Domain})
	switch {
	case err == nil && !grant.Refused:
		return voteYes
	case err != nil && recent && hosts.Ended(voter):
		return voteEnded
	}
	return voteNo
}

// agrees reports whether this host has the list of its failure domain's hosts that
// another host asks about.
func (hosts *Hosts) agrees(ask *message.AllowanceAsk) bool {
	hosts.mu.Lock()
	defer hosts.mu.Unlock()
	return ask.FailureDomain == hosts.Domain && ask.Limit == hosts.fingerprint
}
