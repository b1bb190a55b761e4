package replica_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fescuehall/estimate"
	"fescuehall/replica"
	"fescuehall/suspect"
)

const (
	modelShards  = 90
	modelDomains = 3
	modelSlots   = 2
	modelQueue   = 12
	modelLength  = 10 * time.Second
	// modelExchange is how often a host tells others of late replies.
	modelExchange = 400 * time.Millisecond
)

// model plays queries of 90 shards without a network. Each shard has a server in each
// of 3 domains, with 2 slots. A server pauses 250 ms each 6 s, is 2.5 times slower in
// 0.15 of the periods of 600 ms, and one in ten is 6 times slower for 4 s. An attempt is
// hedged when it takes 3 times the mean work, within a budget of 0.2 of the attempts.
type model struct {
	hosts int
	// rate is the number of queries a second, remotePenalty what is added to the
	// score of servers in other domains.
	rate          float64
	remotePenalty time.Duration
	// tells is set when servers report their slowness.
	tells bool
	// choose picks a candidate; nil uses Pick.
	choose func(random *rand.Rand, candidates []replica.Candidate) int
	seed   uint64

	// random decides for hosts, traffic what arrives: it is the same for all ways to
	// choose.
	random, traffic *rand.Rand
	now             time.Time
	events          events
	pickers         []*replica.Picker
	suspects        []*suspect.Tracker
	servers         [modelShards * modelDomains]modelServer
	budget          float64
	result          modelResult
}

// modelResult counts the requests that were shed, and the time in which a server has a
// free slot while another one of its shard has a queue, summed over the shards.
type modelResult struct {
	shed   int
	uneven time.Duration
}

type modelServer struct {
	running    int
	queue      []*modelAttempt
	pauseAt    time.Duration
	speed      float64
	noise      uint64
	unevenFrom time.Time
}

// modelQuery is a query of a host. Parts that take longer than late are hedged.
type modelQuery struct {
	host int
	late time.Duration
}

// modelPart is one shard of a query. tried holds the domains that were asked.
type modelPart struct {
	query *modelQuery
	shard int
	work  time.Duration
	tried []int
	done  bool
}

type modelAttempt struct {
	part   *modelPart
	server int
	sent   time.Time
}

type event struct {
	at  time.Time
	run func()
}

type events []event

func (events events) Len() int           { return len(events) }
func (events events) Less(i, j int) bool { return events[i].at.Before(events[j].at) }
func (events events) Swap(i, j int)      { events[i], events[j] = events[j], events[i] }
func (events *events) Push(value any)    { *events = append(*events, value.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

var (
	modelStart  = time.Unix(1000, 0)
	serverNames = func() (names []string) {
		for server := range modelShards * modelDomains {
			names = append(names, fmt.Sprintf("shard-%02d-%d", server/modelDomains, server%modelDomains))
		}
		return names
	}()
)

func (model *model) after(delay time.Duration, run func()) {
	heap.Push(&model.events, event{model.now.Add(delay), run})
}

// run plays modelLength.
func (model *model) run() *modelResult {
	model.random = rand.New(rand.NewPCG(model.seed, uint64(model.hosts)))
	model.traffic = rand.New(rand.NewPCG(model.seed, 1))
	model.now = modelStart
	for i := range model.servers {
		server := &model.servers[i]
		server.pauseAt = time.Duration(model.traffic.Int64N(int64(6 * time.Second)))
		server.speed = []float64{0.8, 1, 1.3}[model.traffic.IntN(3)]
		server.noise = model.traffic.Uint64()
	}
	for host := range model.hosts {
		model.addHost(host)
	}
	model.after(0, model.arrive)
	for len(model.events) > 0 {
		next := heap.Pop(&model.events).(event)
		if next.at.After(modelStart.Add(modelLength)) {
			break
		}
		model.now = next.at
		next.run()
	}
	return &model.result
}

func (model *model) addHost(host int) {
	picker := &replica.Picker{Now: func() time.Time { return model.now }, Random: model.random.IntN}
	picker.Distance = func(name string) time.Duration {
		if int(name[len(name)-1]-'0') == host%modelDomains {
			return 0
		}
		return model.remotePenalty
	}
	tracker := &suspect.Tracker{Now: picker.Now}
	picker.Suspected = tracker.Suspected
	model.pickers, model.suspects = append(model.pickers, picker), append(model.suspects, tracker)
	if host >= modelDomains {
		model.after(time.Duration(model.random.Int64N(int64(modelExchange))), func() { model.exchange(host) })
	}
}

// exchange is a fetch of a host from the reader of its domain.
func (model *model) exchange(host int) {
	reader := host % modelDomains
	model.suspects[reader].Merge(model.suspects[host].Streaks())
	model.suspects[host].Merge(model.suspects[reader].Streaks())
	model.after(modelExchange, func() { model.exchange(host) })
}

func (model *model) arrive() {
	model.after(time.Duration(model.traffic.ExpFloat64()/model.rate*float64(time.Second)), model.arrive)
	mean := 28 * float64(time.Millisecond)
	if model.traffic.IntN(4) == 0 {
		mean /= 3
	}
	query := &modelQuery{host: model.traffic.IntN(model.hosts), late: time.Duration(3 * mean)}
	for shard := range modelShards {
		work := mean * math.Exp(0.35*model.traffic.NormFloat64()-0.06)
		if model.traffic.IntN(100) == 0 {
			work *= 5
		}
		part := &modelPart{query: query, shard: shard, work: time.Duration(work)}
		model.budget += 0.2
		model.send(part)
		model.after(query.late, func() {
			if !part.done && model.budget >= 1 && len(part.tried) == 1 {
				model.budget--
				model.send(part)
			}
		})
	}
}

// send sends an attempt to a server that was not asked before.
func (model *model) send(part *modelPart) {
	var names []string
	var domains []int
	for domain := range modelDomains {
		if !slices.Contains(part.tried, domain) {
			names, domains = append(names, serverNames[part.shard*modelDomains+domain]), append(domains, domain)
		}
	}
	if len(names) == 0 {
		return
	}
	picker, chosen := model.pickers[part.query.host], 0
	if model.choose == nil {
		chosen = picker.Pick(names)
	} else {
		chosen = model.choose(model.random, picker.Explain(names))
		picker.Start(names[chosen])
	}
	part.tried = append(part.tried, domains[chosen])
	attempt := &modelAttempt{part: part, server: part.shard*modelDomains + domains[chosen], sent: model.now}
	model.after(model.delay(attempt), func() { model.receive(attempt) })
}

func (model *model) delay(attempt *modelAttempt) time.Duration {
	if attempt.part.query.host%modelDomains == attempt.server%modelDomains {
		return 100 * time.Microsecond
	}
	return 500 * time.Microsecond
}

func (model *model) receive(attempt *modelAttempt) {
	server := &model.servers[attempt.server]
	model.countUneven(attempt.part.shard)
	defer model.markUneven(attempt.part.shard)
	switch {
	case attempt.part.done:
		model.report(attempt, replica.Result{Cancelled: true})
	case server.running < modelSlots:
		model.begin(attempt)
	case len(server.queue) >= modelQueue:
		model.result.shed++
		model.report(attempt, replica.Result{Failed: true})
		model.after(time.Millisecond, func() { model.send(attempt.part) })
	default:
		server.queue = append(server.queue, attempt)
	}
}

func (model *model) begin(attempt *modelAttempt) {
	server := &model.servers[attempt.server]
	server.running++
	since := model.now.Sub(modelStart)
	model.after(server.finish(since, attempt.part.work)-since, func() { model.end(attempt) })
}

// finish returns when work that begins at a time ends.
func (server *modelServer) finish(at, work time.Duration) time.Duration {
	const step = 2 * time.Millisecond
	left := float64(work) * server.speed
	for ; left > 0; at += step {
		if (at+server.pauseAt)%(6*time.Second) >= 250*time.Millisecond {
			left -= float64(step) / server.slowness(at)
		}
	}
	return at
}

func (server *modelServer) slowness(at time.Duration) float64 {
	slowness := 1.0
	period := uint64(at / (600 * time.Millisecond))
	if (server.noise^period*0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9>>40%100 < 15 {
		slowness = 2.5
	}
	if server.noise%10 == 0 && at > 5*time.Second && at < 9*time.Second {
		slowness *= 6
	}
	return slowness
}

// end ends an attempt at its server and begins those that wait there. Attempts whose part
// was answered meanwhile leave the queue.
func (model *model) end(attempt *modelAttempt) {
	server := &model.servers[attempt.server]
	model.countUneven(attempt.part.shard)
	server.running--
	for len(server.queue) > 0 && server.running < modelSlots {
		next := server.queue[0]
		server.queue = server.queue[1:]
		if next.part.done {
			model.report(next, replica.Result{Cancelled: true})
			continue
		}
		model.begin(next)
	}
	model.markUneven(attempt.part.shard)
	load := estimate.Load{Running: server.running, Waiting: len(server.queue), Slots: modelSlots}
	if model.tells {
		load.Slowness = int(100 * server.slowness(model.now.Sub(modelStart)))
	}
	model.report(attempt, replica.Result{Load: load, Cancelled: attempt.part.done})
	attempt.part.done = true
}

// report tells the host how an attempt ended.
func (model *model) report(attempt *modelAttempt, result replica.Result) {
	model.after(model.delay(attempt), func() {
		query, name := attempt.part.query, serverNames[attempt.server]
		result.Latency = model.now.Sub(attempt.sent)
		model.pickers[query.host].Done(name, result)
		if result.Latency > query.late {
			model.suspects[query.host].RecordLate(name)
		} else if !result.Failed && !result.Cancelled {
			model.suspects[query.host].RecordTimely(name)
		}
	})
}

// markUneven notes when a server of the shard has a free slot while another one has a
// queue; countUneven adds the time since.
func (model *model) markUneven(shard int) {
	servers := model.servers[shard*modelDomains:][:modelDomains]
	free := slices.ContainsFunc(servers, func(server modelServer) bool { return server.running < modelSlots })
	if free && slices.ContainsFunc(servers, func(server modelServer) bool { return len(server.queue) > 0 }) {
		servers[0].unevenFrom = model.now
	}
}

func (model *model) countUneven(shard int) {
	first := &model.servers[shard*modelDomains]
	if !first.unevenFrom.IsZero() {
		model.result.uneven += model.now.Sub(first.unevenFrom)
		first.unevenFrom = time.Time{}
	}
}
