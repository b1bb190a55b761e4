package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"fescuehall/fleet"
	"fescuehall/member"
	"fescuehall/message"
	"fescuehall/relay"
	"fescuehall/service"
	"fescuehall/shard"
)

const (
	settleTime  = 5 * time.Second
	observeTime = 20 * time.Second
	// testDomains is the number of failure domains, as in the size to design
	// for.
	testDomains = 10
)

// gossipSizes are fleets of hosts in fake time.
var gossipSizes = []int{40, 80, 160, 320, 500}

func settled(hosts int) *fleet.Detectors {
	detectors := fleet.NewDetectors(hosts, testDomains, false)
	detectors.Run(settleTime)
	detectors.Sent, detectors.Bytes = 0, 0
	return detectors
}

// perNodeSecond divides by hosts and seconds of fake time.
func perNodeSecond(total float64, hosts int, length time.Duration) float64 {
	return total / float64(hosts) / length.Seconds()
}

func gossipBytes(hosts int) (float64, error) {
	detectors := settled(hosts)
	detectors.Run(observeTime)
	return perNodeSecond(float64(detectors.Bytes), hosts, observeTime), nil
}

func gossipProcessor(hosts int) (float64, error) {
	detectors := settled(hosts)
	micros := timed(1, func() { detectors.Run(observeTime) })
	return perNodeSecond(micros, hosts, observeTime), nil
}

// churnBytes is what one host's death and return adds, over all hosts.
func churnBytes(hosts int) (float64, error) {
	quiet, busy := settled(hosts), settled(hosts)
	quiet.Run(observeTime)
	busy.Nodes[0].Stopped = true
	busy.Run(observeTime / 2)
	busy.Nodes[0].Stopped = false
	busy.Run(observeTime / 2)
	return max(1, float64(busy.Bytes-quiet.Bytes)/float64(hosts)), nil
}

// awaited runs until held is true, and returns the fake time it took.
func awaited(detectors *fleet.Detectors, held func() bool) (float64, error) {
	began := detectors.Now
	for detectors.Now.Sub(began) < time.Minute {
		if held() {
			return detectors.Now.Sub(began).Seconds(), nil
		}
		detectors.Run(member.TickInterval)
	}
	return 0, fmt.Errorf("not reached in a minute with %d hosts", len(detectors.Nodes))
}

// detection is the time until every host of the fleet holds a killed one dead.
func detection(hosts int) (float64, error) {
	detectors := settled(hosts)
	detectors.Nodes[0].Stopped = true
	return awaited(detectors, func() bool {
		for _, node := range detectors.Nodes[1:] {
			if state, _ := node.State("host-0"); state != member.Dead {
				return false
			}
		}
		return true
	})
}

// spreading is the time until a version that one host holds is everywhere.
func spreading(hosts int) (float64, error) {
	detectors := settled(hosts)
	detectors.Lost = func(*fleet.Node, *fleet.Node) bool { return detectors.Random.Float64() < 0.01 }
	detectors.Adopt(detectors.Nodes[0], 1)
	return awaited(detectors, func() bool {
		for _, node := range detectors.Nodes {
			if node.Version != 1 {
				return false
			}
		}
		return true
	})
}

func memberMemory(hosts int) (float64, error) {
	updates := make([]message.MemberUpdate, hosts)
	for place := range updates {
		updates[place] = message.MemberUpdate{Name: fmt.Sprint("host-", place), Address: fmt.Sprint("10.0.0.1:", place), FailureDomain: fmt.Sprint("domain-", place%testDomains), Incarnation: 1}
	}
	return held(func() *member.Detector {
		detector := &member.Detector{Self: updates[0], Random: rand.New(rand.NewPCG(1, 1))}
		detector.Learn(time.Unix(1, 0), updates)
		return detector
	}), nil
}

// tick is the processor time of one host's membership for a second.
func tick(hosts int) (float64, error) {
	detector := &member.Detector{Self: message.MemberUpdate{Name: "self", FailureDomain: "domain-0"}, Random: rand.New(rand.NewPCG(1, 1))}
	updates := make([]message.MemberUpdate, hosts)
	for place := range updates {
		updates[place] = message.MemberUpdate{Name: fmt.Sprint("host-", place), FailureDomain: fmt.Sprint("domain-", 1+place%testDomains), Incarnation: 1}
	}
	now := time.Unix(1, 0)
	detector.Learn(now, updates)
	const seconds = 20
	ticks := int(seconds * time.Second / member.TickInterval)
	micros := timed(ticks, func() {
		now = now.Add(member.TickInterval)
		detector.Tick(now)
	})
	return micros * float64(ticks) / seconds, nil
}

func replicas(count int) []service.Replica {
	all := make([]service.Replica, count)
	for place := range all {
		all[place] = service.Replica{Address: fmt.Sprintf("10.%d.%d.%d:9000", place>>16, place>>8&255, place&255), FailureDomain: fmt.Sprint("domain-", place%testDomains), Shard: place / 2}
	}
	return all
}

// placing is the processor time to find the fronts of all replicas again, for
// 2,800 replicas in a domain with the given number of hosts.
func placing(hosts int) (float64, error) {
	const inDomain = 2800
	var all []shard.Host
	for place := range hosts {
		all = append(all, shard.Host{Name: fmt.Sprint("host-", place), FailureDomain: "domain-0"})
	}
	addresses := replicas(inDomain)
	return timed(3, func() {
		placement := shard.New(all)
		for _, replica := range addresses {
			placement.Fronts(replica.Address, "domain-0", 2)
		}
	}), nil
}

func configurationOf(count int) *service.Configuration {
	kind := service.Kind{Name: "Lookup", Rank: "Urgent", DeadlineMillis: 200, Idempotent: true, MinCoveragePercent: 90}
	configuration := &service.Configuration{Ranks: []service.Rank{{Name: "Urgent", SharePercent: 10}}, Services: service.ConfigurationServices{}}
	const perService = 100
	all := replicas(count)
	for place := 0; place < count; place += perService {
		part := all[place:min(count, place+perService)]
		for index := range part {
			part[index].Shard = index / 2
		}
		configuration.Services[fmt.Sprint("Desk", place/perService)] = service.Spec{Slots: 2, Connections: 25, Kinds: []service.Kind{kind}, Snapshots: []service.Snapshot{{Name: "S1", Shards: (len(part) + 1) / 2, Replicas: part}}}
	}
	return configuration
}

func viewOf(count int) (*service.View, error) {
	changed, removed, err := service.Empty().Diff(configurationOf(count))
	if err != nil {
		return nil, err
	}
	return service.Empty().With(1, "first", changed, removed)
}

func viewMemory(count int) (float64, error) {
	changed, _, err := service.Empty().Diff(configurationOf(count))
	if err != nil {
		return 0, err
	}
	return held(func() *service.View {
		view, err := service.Empty().With(1, "first", changed, nil)
		if err != nil {
			panic(err)
		}
		return view
	}), nil
}

// oneServiceChanged returns a view and the delta that changes one service of
// 100 replicas.
func oneServiceChanged(count int) (*service.View, *message.ConfigDelta, error) {
	view, err := viewOf(count)
	if err != nil {
		return nil, nil, err
	}
	configuration := view.Configuration()
	spec := configuration.Services["Desk0"]
	spec.Slots = 3
	configuration.Services["Desk0"] = spec
	changed, removed, err := view.Diff(configuration)
	if err != nil {
		return nil, nil, err
	}
	next, err := view.With(2, "second", changed, removed)
	if err != nil {
		return nil, nil, err
	}
	return view, relay.Delta(next, 1), nil
}

func deltaBytes(count int) (float64, error) {
	_, delta, err := oneServiceChanged(count)
	if err != nil {
		return 0, err
	}
	return float64(delta.Msgsize()), nil
}

func deltaProcessor(count int) (float64, error) {
	view, delta, err := oneServiceChanged(count)
	if err != nil {
		return 0, err
	}
	return timed(10, func() {
		current := &relay.Current{}
		current.Advance(view, "measurement")
		if err := current.Apply(delta, "measurement"); err != nil {
			panic(err)
		}
	}), nil
}

func indexBytes(count int) (float64, error) {
	view, err := viewOf(count)
	if err != nil {
		return 0, err
	}
	content, err := json.Marshal(service.Index{Parts: view.Entries()})
	return float64(len(content)), err
}

// storeLayout is a fleet with one small service.
func storeLayout(hosts int) fleet.Layout {
	desk := fleet.ServiceLayout{Shards: 1, Replicas: 1, Slots: 1, Connections: 2, Kinds: []service.Kind{{Name: "Lookup", Rank: "Urgent", DeadlineMillis: 100, Idempotent: true}}}
	return fleet.Layout{
		Domains:  []string{"a", "b", "c", "d"},
		Hosts:    hosts,
		Ranks:    []service.Rank{{Name: "Urgent"}},
		Services: map[string]fleet.ServiceLayout{"Desk": desk},
	}
}

// storeCalls counts the calls a second of a fleet of real hosts in the steady
// state, each waiting watch included.
func storeCalls(hosts int) (float64, error) {
	running, err := fleet.Start(storeLayout(hosts))
	if err != nil {
		return 0, err
	}
	defer running.Close()
	const length = 10 * time.Second
	before := running.Store.Counts()
	time.Sleep(length)
	after := running.Store.Counts()
	return float64(after.Reads-before.Reads+after.Writes-before.Writes)/length.Seconds() + float64(after.Waiting), nil
}

// storeRestart counts the calls for each host when all start at once.
func storeRestart(hosts int) (float64, error) {
	running, err := fleet.Start(storeLayout(hosts))
	if err != nil {
		return 0, err
	}
	defer running.Close()
	counts := running.Store.Counts()
	return float64(counts.Reads + counts.Writes), nil
}
