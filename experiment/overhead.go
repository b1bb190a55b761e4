package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fescuehall/answer"
	"fescuehall/backend"
	"fescuehall/entry"
	"fescuehall/fleet"
	"fescuehall/standin"
)

// firstAttempts returns how many sub-requests all hosts have sent, not counting
// retries and hedges.
func firstAttempts(testFleet *fleet.Fleet) uint64 {
	total := uint64(0)
	for _, host := range testFleet.Hosts {
		var status entry.Status
		if err := host.Get("/v1/status", &status); err != nil {
			continue
		}
		for _, load := range status.Loads {
			total += load.First
		}
	}
	return total
}

// Overhead measures how much latency one entry host adds to a query of 20
// shards, compared with sending the same searches concurrently to the backend
// servers.
func Overhead(ctx context.Context) ([]Row, error) {
	layout := deskLayout(1, entry.Policy{NoHedge: true})
	desk := layout.Services["Desk"]
	desk.Model = standin.Model{ServiceTime: serviceTime}
	layout.Services["Desk"] = desk
	throughHost, withoutHost := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	err := withFleet(ctx, layout, func(testFleet *fleet.Fleet) error {
		direct := newDirect(testFleet)
		for range overheadPairs {
			if err := withoutHost.RecordValue(direct.query(ctx).Microseconds()); err != nil {
				return err
			}
			start := time.Now()
			if _, err := testFleet.Hosts[0].Query(answer.Request{Service: "Desk", Kind: "Normal", Limit: 10}); err != nil {
				return err
			}
			if err := throughHost.RecordValue(time.Since(start).Microseconds()); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	addedLatency := func(quantile float64) time.Duration {
		return time.Duration(throughHost.ValueAtQuantile(quantile)-withoutHost.ValueAtQuantile(quantile)) * time.Microsecond
	}
	formatQuantiles := func(histogram *hdrhistogram.Histogram) string {
		return fmt.Sprintf("%.1f and %.1f ms", float64(histogram.ValueAtQuantile(50))/1000, float64(histogram.ValueAtQuantile(99))/1000)
	}
	return []Row{{
		Case:     "Query to 20 shards of 40 ms, one host, idle: p50 and p99; baseline without a host",
		Baseline: formatQuantiles(withoutHost),
		Ours:     fmt.Sprintf("%s (adds %s and %s)", formatQuantiles(throughHost), formatMillis(addedLatency(50)), formatMillis(addedLatency(99))),
		Target:   "adds at most 1 ms and 5 ms",
		Passed:   addedLatency(50) <= msec && addedLatency(99) <= 5*msec,
	}}, nil
}

// overheadPairs is how many queries are sent through the host, and as many
// without it.
const overheadPairs = 200

// direct sends a query's searches to one replica of each shard, without an
// entry host.
type direct struct {
	clients []*backend.Client
}

func newDirect(testFleet *fleet.Fleet) *direct {
	direct := &direct{clients: make([]*backend.Client, shards)}
	for _, replica := range testFleet.Configuration.Services["Desk"].Snapshots[0].Replicas {
		direct.clients[replica.Shard] = backend.New(replica.Address, 25, nil)
	}
	return direct
}

func (direct *direct) query(ctx context.Context) time.Duration {
	start := time.Now()
	var group sync.WaitGroup
	for shard, client := range direct.clients {
		group.Go(func() {
			client.Search(ctx, &backend.Search{RequestID: "direct", Snapshot: "S1", Shard: shard, Limit: 10, DeadlineMillis: 1000})
		})
	}
	group.Wait()
	return time.Since(start)
}
