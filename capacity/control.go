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
	// testDomains is the number of failure domains, equal to failureDomains in
	// page.go.
	testDomains = 10
)

// gossipSizes are the numbers of hosts of the fleets that run in fake time.
var gossipSizes = []int{40, 80, 160, 320, 500}

func settledDetectors(hosts int) *fleet.Detectors {
	detectors := fleet.NewDetectors(hosts, testDomains, false)
	detectors.Run(settleTime)
	detectors.Sent, detectors.Bytes = 0, 0
	return detectors
}

// perHostSecond returns a total per host and second of fake time.
func perHostSecond(total float64, hosts int, length time.Duration) float64 {
	return total / float64(hosts) / length.Seconds()
}

func gossipBytes(hosts int) (float64, error) {
	detectors := settledDetectors(hosts)
	detectors.Run(observeTime)
	return perHostSecond(float64(detectors.Bytes), hosts, observeTime), nil
}

func gossipProcessor(hosts int) (float64, error) {
	detectors := settledDetectors(hosts)
	micros := processorMicros(1, func() { detectors.Run(observeTime) })
	return perHostSecond(micros, hosts, observeTime), nil
}

// churnBytes measures how many more bytes each host sends on average when one
// host dies and returns.
func churnBytes(hosts int) (float64, error) {
	undisturbed, churning := settledDetectors(hosts), settledDetectors(hosts)
	undisturbed.Run(observeTime)
	churning.Nodes[0].Stopped = true
	churning.Run(observeTime / 2)
	churning.Nodes[0].Stopped = false
	churning.Run(observeTime / 2)
	return max(1, float64(churning.Bytes-undisturbed.Bytes)/float64(hosts)), nil
}

// timeUntil runs the detectors until condition is true, and returns how many
// seconds of fake time have passed.
func timeUntil(detectors *fleet.Detectors, condition func() bool) (float64, error) {
	start := detectors.Now
	for detectors.Now.Sub(start) < time.Minute {
		if condition() {
			return detectors.Now.Sub(start).Seconds(), nil
		}
		detectors.Run(member.TickInterval)
	}
	return 0, fmt.Errorf("condition not reached within a minute with %d hosts", len(detectors.Nodes))
}

// detectionTime measures the time until every other host considers a killed
// host dead.
func detectionTime(hosts int) (float64, error) {
	detectors := settledDetectors(hosts)
	detectors.Nodes[0].Stopped = true
	return timeUntil(detectors, func() bool {
		for _, node := range detectors.Nodes[1:] {
			if state, _ := node.State("host-0"); state != member.Dead {
				return false
			}
		}
		return true
	})
}

// spreadingTime measures the time until a new version on one host has reached
// all hosts.
func spreadingTime(hosts int) (float64, error) {
	detectors := settledDetectors(hosts)
	detectors.Lost = func(*fleet.Node, *fleet.Node) bool { return detectors.Random.Float64() < 0.01 }
	detectors.SetVersion(detectors.Nodes[0], 1)
	return timeUntil(detectors, func() bool {
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
	for index := range updates {
		updates[index] = message.MemberUpdate{Name: fmt.Sprint("host-", index), Address: fmt.Sprint("10.0.0.1:", index), FailureDomain: fmt.Sprint("domain-", index%testDomains), Incarnation: 1}
	}
	return heapBytes(func() *member.Detector {
		detector := &member.Detector{Self: updates[0], Random: rand.New(rand.NewPCG(1, 1))}
		detector.AddMembers(time.Unix(1, 0), updates)
		return detector
	}), nil
}

// tickProcessor measures the processor time of one host's membership timers in
// a second.
func tickProcessor(hosts int) (float64, error) {
	detector := &member.Detector{Self: message.MemberUpdate{Name: "self", FailureDomain: "domain-0"}, Random: rand.New(rand.NewPCG(1, 1))}
	updates := make([]message.MemberUpdate, hosts)
	for index := range updates {
		updates[index] = message.MemberUpdate{Name: fmt.Sprint("host-", index), FailureDomain: fmt.Sprint("domain-", 1+index%testDomains), Incarnation: 1}
	}
	now := time.Unix(1, 0)
	detector.AddMembers(now, updates)
	const seconds = 20
	ticks := int(seconds * time.Second / member.TickInterval)
	micros := processorMicros(ticks, func() {
		now = now.Add(member.TickInterval)
		detector.Tick(now)
	})
	return micros * float64(ticks) / seconds, nil
}

func replicas(count int) []service.Replica {
	replicaList := make([]service.Replica, count)
	for index := range replicaList {
		replicaList[index] = service.Replica{Address: fmt.Sprintf("10.%d.%d.%d:9000", index>>16, index>>8&255, index&255), FailureDomain: fmt.Sprint("domain-", index%testDomains), Shard: index / 2}
	}
	return replicaList
}

// placementProcessor measures the processor time to find the fronting hosts of
// 2,800 replicas in a domain with the given number of hosts.
func placementProcessor(hosts int) (float64, error) {
	const replicasInDomain = 2800
	var hostList []shard.Host
	for index := range hosts {
		hostList = append(hostList, shard.Host{Name: fmt.Sprint("host-", index), FailureDomain: "domain-0"})
	}
	domainReplicas := replicas(replicasInDomain)
	return processorMicros(3, func() {
		placement := shard.New(hostList)
		for _, replica := range domainReplicas {
			placement.FrontingHosts(replica.Address, "domain-0", 2)
		}
	}), nil
}

func newConfiguration(count int) *service.Configuration {
	kind := service.Kind{Name: "Lookup", Rank: "Urgent", DeadlineMillis: 200, Idempotent: true, MinCoveragePercent: 90}
	configuration := &service.Configuration{Ranks: []service.Rank{{Name: "Urgent", SharePercent: 10}}, Services: service.ConfigurationServices{}}
	const perService = 100
	replicaList := replicas(count)
	for first := 0; first < count; first += perService {
		serviceReplicas := replicaList[first:min(count, first+perService)]
		for index := range serviceReplicas {
			serviceReplicas[index].Shard = index / 2
		}
		configuration.Services[fmt.Sprint("Desk", first/perService)] = service.Spec{Slots: 2, Connections: 25, Kinds: []service.Kind{kind}, Snapshots: []service.Snapshot{{Name: "S1", Shards: (len(serviceReplicas) + 1) / 2, Replicas: serviceReplicas}}}
	}
	return configuration
}

func newView(count int) (*service.View, error) {
	changed, removed, err := service.Empty().Diff(newConfiguration(count))
	if err != nil {
		return nil, err
	}
	return service.Empty().With(1, "first", changed, removed)
}

func viewMemory(count int) (float64, error) {
	changed, _, err := service.Empty().Diff(newConfiguration(count))
	if err != nil {
		return 0, err
	}
	return heapBytes(func() *service.View {
		view, err := service.Empty().With(1, "first", changed, nil)
		if err != nil {
			panic(err)
		}
		return view
	}), nil
}

// oneServiceDelta returns a view and a delta that changes one of its services,
// which has 100 replicas.
func oneServiceDelta(count int) (*service.View, *message.ConfigDelta, error) {
	view, err := newView(count)
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
	_, delta, err := oneServiceDelta(count)
	if err != nil {
		return 0, err
	}
	return float64(delta.Msgsize()), nil
}

func deltaProcessor(count int) (float64, error) {
	view, delta, err := oneServiceDelta(count)
	if err != nil {
		return 0, err
	}
	return processorMicros(10, func() {
		current := &relay.Current{}
		current.Advance(view, "measurement")
		if err := current.Apply(delta, "measurement"); err != nil {
			panic(err)
		}
	}), nil
}

func indexBytes(count int) (float64, error) {
	view, err := newView(count)
	if err != nil {
		return 0, err
	}
	content, err := json.Marshal(service.Index{Parts: view.Entries()})
	return float64(len(content)), err
}

// storeLayout returns the layout of a fleet with one small service.
func storeLayout(hosts int) fleet.Layout {
	serviceLayout := fleet.ServiceLayout{Shards: 1, Replicas: 1, Slots: 1, Connections: 2, Kinds: []service.Kind{{Name: "Lookup", Rank: "Urgent", DeadlineMillis: 100, Idempotent: true}}}
	return fleet.Layout{
		Domains:  []string{"a", "b", "c", "d"},
		Hosts:    hosts,
		Ranks:    []service.Rank{{Name: "Urgent"}},
		Services: map[string]fleet.ServiceLayout{"Desk": serviceLayout},
	}
}

// storeCalls measures the store's calls per second from a fleet of real hosts
// in the steady state, counting each waiting watch as one.
func storeCalls(hosts int) (float64, error) {
	testFleet, err := fleet.Start(storeLayout(hosts))
	if err != nil {
		return 0, err
	}
	defer testFleet.Close()
	const length = 10 * time.Second
	before := testFleet.Store.Counts()
	time.Sleep(length)
	after := testFleet.Store.Counts()
	return float64(after.Reads-before.Reads+after.Writes-before.Writes)/length.Seconds() + float64(after.Waiting), nil
}

// storeRestart counts the store's calls while all hosts start at once and the
// first patch is submitted.
func storeRestart(hosts int) (float64, error) {
	testFleet, err := fleet.Start(storeLayout(hosts))
	if err != nil {
		return 0, err
	}
	defer testFleet.Close()
	counts := testFleet.Store.Counts()
	return float64(counts.Reads + counts.Writes), nil
}
