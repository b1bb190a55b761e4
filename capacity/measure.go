package capacity

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"
)

// measurement describes a slope and how to measure its points.
type measurement struct {
	name      string
	cost      string
	size      string
	sizes     []int
	measureAt func(size int) (float64, error)
}

var (
	replicaSizes = []int{1000, 4000, 12000, 28000}
	hostSizes    = []int{4, 8, 16, 32}
	domainSizes  = []int{8, 40, 160, 460}
)

var measurements = []measurement{
	{"GossipBytes", "bytes sent by a host for membership a second", "hosts", gossipSizes, gossipBytes},
	{"GossipProcessor", "µs of processor time of a host for membership a second, codecs included", "hosts", gossipSizes, gossipProcessor},
	{"ChurnBytes", "bytes sent by a host for one death and return of another", "hosts", gossipSizes, churnBytes},
	{"TickProcessor", "µs of processor time of one host's timers a second", "hosts", []int{460, 1000, 2300, 4600}, tickProcessor},
	{"MemberMemory", "bytes of heap memory that the member list uses", "hosts", []int{460, 1000, 2300, 4600}, memberMemory},
	{"Detection", "seconds until all hosts consider a killed host dead", "hosts", gossipSizes, detectionTime},
	{"Spreading", "seconds until a new version is on all hosts, 1% loss", "hosts", gossipSizes, spreadingTime},
	{"Placing", "µs to find the fronting hosts of 2,800 replicas", "hosts in the domain", domainSizes, placementProcessor},
	{"ViewMemory", "bytes of heap memory that the configuration uses", "replicas", replicaSizes, viewMemory},
	{"DeltaBytes", "bytes of a change to one service of 100 replicas", "replicas in all", replicaSizes, deltaBytes},
	{"DeltaProcessor", "µs to apply a change to one service of 100 replicas", "replicas in all", replicaSizes, deltaProcessor},
	{"IndexBytes", "bytes of the index that a patch writes", "replicas in all", replicaSizes, indexBytes},
	{"StoreCalls", "store calls a second in the steady state, waiting watches included", "hosts in 4 domains", hostSizes, storeCalls},
	{"StoreRestart", "store calls while all hosts start at once and the first patch is submitted", "hosts in 4 domains", hostSizes, storeRestart},
	{"QueryProcessor", "µs of processor time of a query at the host that coordinates it, without sending sub-requests", "shards", shardSizes, queryProcessor},
	{"LinkProcessor", "µs of processor time of a query's messages between two hosts, both ends", "shards", shardSizes, linkProcessor},
	{"QueueProcessor", "µs of processor time in the fronting host's queue", "sub-requests", shardSizes, queueProcessor},
	{"SearchProcessor", "µs of processor time of searches by HTTP, fronting host and stand-in together", "sub-requests", shardSizes, searchProcessor},
	{"BatchProcessor", "µs of processor time of one HTTP exchange with many searches, both ends", "searches", []int{1, 8, 32, 128}, batchProcessor},
	{"PathBytes", "bytes of a query's messages between hosts", "shards", shardSizes, pathBytes},
}

// Measure measures all slopes, or those named in the comma-separated list, and
// prints each to standard error.
func Measure(now time.Time, only string) (*Data, error) {
	data := &Data{Measured: now.UTC().Format(time.DateOnly), Machine: fmt.Sprintf("%s/%s, %d processors, %s", runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())}
	for _, measurement := range measurements {
		if only != "" && !strings.Contains(","+only+",", ","+measurement.name+",") {
			continue
		}
		slope, err := measureSlope(measurement.name, measurement.cost, measurement.size, measurement.sizes, measurement.measureAt)
		if err != nil {
			return nil, fmt.Errorf("slope %s: %w", measurement.name, err)
		}
		fmt.Fprintf(os.Stderr, "%-16s %v at %v: %.4g + %.4g x, off by up to %.0f%%\n", slope.Name, slope.Costs, slope.Sizes, slope.Base, slope.PerUnit, 100*slope.Error)
		data.Slopes = append(data.Slopes, slope)
	}
	return data, nil
}
