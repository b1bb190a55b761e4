package allowance_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fescuehall/allowance"
	"fescuehall/message"
	"fescuehall/shard"
)

// The intervals of the simulated store and hosts.
const (
	renewEvery = 2 * time.Second
	leaseTime  = 6 * time.Second
	readEvery  = 700 * time.Millisecond
	maxLag     = time.Second
	maxFeedAge = 1500 * time.Millisecond
	stepTime   = 50 * time.Millisecond
)

// node is one simulated host.
type node struct {
	shard.Host
	hosts  *allowance.Hosts
	keeper *allowance.Keeper
	tokens *allowance.Tokens
	up     bool
	// leaving is set when a graceful stop has begun.
	leaving bool
	frozen  bool
	// cut, storeCut and side separate the node from others: nodes with another side
	// are unreachable.
	cut      bool
	storeCut bool
	side     int
	readAt   time.Time
	nextRead time.Time
	// entry is the index of the list in world.lists that the node has read.
	entry      int
	leaseUntil time.Time
	renewAt    time.Time
	// version is the index of the limit that the node knows.
	version int
	// registered is set when this process has put its host on the list.
	registered bool
}

// world is a set of hosts with a network and a store, in fake time.
type world struct {
	mu     sync.Mutex
	random *rand.Rand
	nodes  map[string]*node
	order  []*node
	// lists are the states of the host list.
	lists []listing
	// limits are the versions of the limit.
	limits    []allowance.Limit
	current   int
	storeDown bool
	// quiet is the time before the first request.
	quiet time.Duration
	// loss is the share of messages that are lost, delay the longest delay.
	loss     float64
	delay    time.Duration
	messages int
	bytes    int
	// admitted are the times of admitted requests, versions which versions of the
	// limit any node knew over time.
	admitted []time.Time
	refused  int
	unknown  int
	known    []knownVersions
	ended    bool
}

type listing struct {
	at    time.Time
	hosts []shard.Host
}

type knownVersions struct {
	at     time.Time
	oldest int
}

var errLost = errors.New("lost")

// newWorld returns a world with a number of hosts, of which some are up.
func newWorld(count, domains int, limit allowance.Limit, seed uint64) *world {
	world := &world{random: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*node), limits: []allowance.Limit{limit}, delay: 2 * time.Millisecond}
	world.lists = []listing{{at: time.Now()}}
	for i := range count {
		node := &node{Host: shard.Host{Name: fmt.Sprintf("h%d", i), FailureDomain: fmt.Sprintf("d%d", i%domains), Address: fmt.Sprint(i), KeepsAllowances: true}}
		world.nodes[node.Name] = node
		world.order = append(world.order, node)
	}
	return world
}

func domainNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("d%d", i))
	}
	return names
}

// start starts a node's process, with no memory of an earlier one.
func (world *world) start(node *node, domains int) {
	node.up, node.leaving, node.frozen = true, false, false
	// A process reads the list before it registers.
	node.readAt, node.nextRead, node.entry, node.renewAt, node.registered = time.Time{}, time.Time{}, 0, time.Now().Add(time.Second), false
	ask := func(ctx context.Context, to shard.Host, ask *message.AllowanceAsk) (*message.AllowanceGrant, error) {
		return world.ask(ctx, node, to, ask)
	}
	node.hosts = &allowance.Hosts{
		Name: node.Name, Domain: node.FailureDomain, Now: time.Now, Ask: ask, Shuffle: func(n int, swap func(i, j int)) {
			world.mu.Lock()
			defer world.mu.Unlock()
			world.random.Shuffle(n, swap)
		},
		ReadAt: func() time.Time {
			world.mu.Lock()
			defer world.mu.Unlock()
			return node.readAt
		},
		Registered: func() bool {
			world.mu.Lock()
			defer world.mu.Unlock()
			return node.registered
		},
		Ended: func(host shard.Host) bool {
			world.mu.Lock()
			defer world.mu.Unlock()
			return !world.nodes[host.Name].up && world.linked(node, world.nodes[host.Name])
		},
	}
	limit := func(*message.AllowanceAsk) (allowance.Limit, bool) {
		world.mu.Lock()
		defer world.mu.Unlock()
		return world.limits[node.version], true
	}
	node.keeper = &allowance.Keeper{Hosts: node.hosts, Domains: domainNames(domains), Limit: limit}
	node.tokens = &allowance.Tokens{Domain: node.FailureDomain, Domains: domainNames(domains), Now: time.Now, Keeper: node.hosts.Keeper, Ask: ask, Random: func() float64 {
		world.mu.Lock()
		defer world.mu.Unlock()
		return world.random.Float64()
	}, Version: func() uint64 { return 0 }, Share: func() float64 { return 1 / float64(len(world.order)) }}
}

// linked reports whether the network connects two nodes. The caller holds the lock.
func (world *world) linked(a, b *node) bool {
	return a == b || !a.cut && !b.cut && a.side == b.side
}

// sizeOf returns the bytes of an ask and its reply with the frames' heads.
func sizeOf(ask *message.AllowanceAsk, grant *message.AllowanceGrant) int {
	const headBytes = 2 * 16
	asked, _ := ask.MarshalMsg(nil)
	granted, _ := grant.MarshalMsg(nil)
	return len(asked) + len(granted) + headBytes
}

// ask carries an ask to a node and its reply back. A frozen node stops it on the way.
func (world *world) ask(ctx context.Context, from *node, to shard.Host, ask *message.AllowanceAsk) (*message.AllowanceGrant, error) {
	keeper := from.keeper
	if to.Name == from.Name {
		return keeper.Grant(ctx, ask), nil
	}
	world.mu.Lock()
	target := world.nodes[to.Name]
	lostThere, lostBack := world.random.Float64() < world.loss, world.random.Float64() < world.loss
	there, back := world.draw(), world.draw()
	world.messages += 2
	world.mu.Unlock()
	replies := make(chan *message.AllowanceGrant, 1)
	go func() {
		time.Sleep(there)
		process, ok := world.arrive(from, target)
		if lostThere || !ok {
			return
		}
		grant := process.Grant(context.Background(), ask)
		time.Sleep(back)
		if _, ok := world.arrive(target, from); lostBack || !ok {
			return
		}
		replies <- grant
	}()
	select {
	case grant := <-replies:
		world.mu.Lock()
		world.bytes += sizeOf(ask, grant)
		world.mu.Unlock()
		world.thaw(from)
		return grant, nil
	case <-ctx.Done():
		world.thaw(from)
		return nil, errLost
	}
}

// draw returns a random delay. The caller holds the lock.
func (world *world) draw() time.Duration {
	return time.Duration(world.random.Int64N(int64(world.delay))) + time.Microsecond
}

// arrive waits until the receiver is not frozen, and returns its keeper and whether
// the message has arrived.
func (world *world) arrive(from, to *node) (*allowance.Keeper, bool) {
	world.thaw(to)
	world.mu.Lock()
	defer world.mu.Unlock()
	return to.keeper, to.up && world.linked(from, to)
}

func (world *world) thaw(node *node) {
	for {
		world.mu.Lock()
		frozen := node.frozen && !world.ended
		world.mu.Unlock()
		if !frozen {
			return
		}
		time.Sleep(stepTime)
	}
}

// step advances the store and what the nodes read of it.
func (world *world) step(now time.Time) {
	world.mu.Lock()
	world.renew(now)
	type update struct {
		hosts *allowance.Hosts
		list  []shard.Host
	}
	var updates []update
	for _, node := range world.order {
		if node.up && !node.frozen && !now.Before(node.nextRead) && world.read(node, now) {
			updates = append(updates, update{node.hosts, world.lists[node.entry].hosts})
		}
	}
	world.mu.Unlock()
	for _, update := range updates {
		update.hosts.Update(update.list)
	}
}

// renew renews the leases of the nodes and records the list of hosts and the versions
// that are known. The caller holds the lock.
func (world *world) renew(now time.Time) {
	oldest := world.current
	var listed []shard.Host
	for _, node := range world.order {
		if node.up {
			oldest = min(oldest, node.version)
			if !node.frozen && !node.leaving && world.inTouch(node) && !now.Before(node.renewAt) {
				node.registered = true
				node.leaseUntil, node.renewAt = now.Add(leaseTime), now.Add(renewEvery)
			}
		}
		if now.Before(node.leaseUntil) {
			listed = append(listed, node.Host)
		}
	}
	if len(world.known) == 0 || world.known[len(world.known)-1].oldest != oldest {
		world.known = append(world.known, knownVersions{at: now, oldest: oldest})
	}
	if !slices.Equal(listed, world.lists[len(world.lists)-1].hosts) {
		world.lists = append(world.lists, listing{at: now, hosts: listed})
	}
}

// inTouch reports whether a node reaches the store. The caller holds the lock.
func (world *world) inTouch(node *node) bool {
	return !world.storeDown && !node.cut && !node.storeCut && node.side == 0
}

// read reads the host list from the store, which may lag, or from another host of the
// failure domain. The caller holds the lock.
func (world *world) read(node *node, now time.Time) bool {
	node.nextRead = now.Add(readEvery + time.Duration(world.random.Int64N(int64(readEvery/2))))
	if world.inTouch(node) {
		seen := now.Add(-time.Duration(world.random.Int64N(int64(maxLag))))
		entry := len(world.lists) - 1
		for entry > node.entry && world.lists[entry].at.After(seen) {
			entry--
		}
		node.entry, node.readAt, node.version = entry, now, world.current
		return true
	}
	for _, index := range world.random.Perm(len(world.order)) {
		peer := world.order[index]
		if peer.FailureDomain == node.FailureDomain && peer.up && !peer.frozen && world.linked(node, peer) && peer.readAt.After(node.readAt) && now.Sub(peer.readAt) <= maxFeedAge {
			node.entry, node.readAt, node.version = peer.entry, peer.readAt, max(node.version, peer.version)
			return true
		}
	}
	return false
}

// request sends one caller's request to a node.
func (world *world) request(node *node, limit string) {
	world.mu.Lock()
	tokens, up := node.tokens, node.up && !node.frozen
	version := world.limits[node.version]
	world.mu.Unlock()
	if !up {
		return
	}
	ticket := tokens.Take(context.Background(), limit, version)
	world.mu.Lock()
	defer world.mu.Unlock()
	switch ticket.Decision {
	case allowance.Allowed:
		world.admitted = append(world.admitted, time.Now())
	case allowance.UsedUp:
		world.refused++
	default:
		world.unknown++
	}
}

// worst returns by how much the requests of the worst window exceed the bound of the
// greatest limit that any node may have known: negative if they never do.
func (world *world) worst() (excess float64, at time.Time, count int) {
	excess = -1e9
	window := world.limits[0].Window
	last := 0
	for first, begin := range world.admitted {
		for last < len(world.admitted) && !world.admitted[last].After(begin.Add(window)) {
			last++
		}
		if over := float64(last-first) - world.bound(begin, window); over > excess {
			excess, at, count = over, begin, last-first
		}
	}
	return excess, at, count
}

// bound returns the greatest bound of the limits that were known in a window or up to
// a second before it.
func (world *world) bound(begin time.Time, window time.Duration) float64 {
	oldest := 0
	for i, known := range world.known {
		if i == 0 || !known.at.After(begin.Add(-time.Second)) {
			oldest = known.oldest
		} else if !known.at.After(begin.Add(window)) {
			oldest = min(oldest, known.oldest)
		}
	}
	greatest := 0.0
	for _, limit := range world.limits[oldest:] {
		greatest = max(greatest, limit.Bound())
	}
	return greatest
}

// all returns the numbers of all nodes.
func (world *world) all() []int {
	var numbers []int
	for i := range world.order {
		numbers = append(numbers, i)
	}
	return numbers
}
