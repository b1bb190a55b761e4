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

// firsts adds up the first sub-requests that all hosts have sent.
func firsts(running *fleet.Fleet) uint64 {
	total := uint64(0)
	for _, host := range running.Hosts {
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

// Overhead measures what one entry host adds to a query of 20 shards, against
// the same searches sent to the backend servers side by side without it.
func Overhead(ctx context.Context) ([]Row, error) {
	layout := deskLayout(1, entry.Policy{NoHedge: true})
	desk := layout.Services["Desk"]
	desk.Model = standin.Model{ServiceTime: serviceTime}
	layout.Services["Desk"] = desk
	through, raw := hdrhistogram.New(1, 10_000_000, 3), hdrhistogram.New(1, 10_000_000, 3)
	err := withFleet(ctx, layout, func(running *fleet.Fleet) error {
		direct := newDirect(running)
		for range overheadPairs {
			if err := raw.RecordValue(direct.query(ctx).Microseconds()); err != nil {
				return err
			}
			began := time.Now()
			if _, err := running.Hosts[0].Ask(answer.Request{Service: "Desk", Kind: "Normal", Limit: 10}); err != nil {
				return err
			}
			if err := through.RecordValue(time.Since(began).Microseconds()); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	added := func(quantile float64) time.Duration {
		return time.Duration(through.ValueAtQuantile(quantile)-raw.ValueAtQuantile(quantile)) * time.Microsecond
	}
	shown := func(from *hdrhistogram.Histogram) string {
		return fmt.Sprintf("%.1f and %.1f ms", float64(from.ValueAtQuantile(50))/1000, float64(from.ValueAtQuantile(99))/1000)
	}
	return []Row{{
		Case:     "Query to 20 shards of 40 ms, one host, idle: p50 and p99; baseline without a host",
		Baseline: shown(raw),
		Ours:     fmt.Sprintf("%s (adds %s and %s)", shown(through), millis(added(50)), millis(added(99))),
		Target:   "adds at most 1 ms and 5 ms",
		Held:     added(50) <= msec && added(99) <= 5*msec,
	}}, nil
}

// overheadPairs is how many queries are sent each way.
const overheadPairs = 200

// direct sends a query's searches to the first replica of each shard.
type direct struct {
	clients []*backend.Client
}

func newDirect(running *fleet.Fleet) *direct {
	made := &direct{clients: make([]*backend.Client, shards)}
	for _, replica := range running.Configuration.Services["Desk"].Snapshots[0].Replicas {
		made.clients[replica.Shard] = backend.New(replica.Address, 25, nil)
	}
	return made
}

func (direct *direct) query(ctx context.Context) time.Duration {
	began := time.Now()
	var group sync.WaitGroup
	for shard, client := range direct.clients {
		group.Go(func() {
			client.Search(ctx, &backend.Search{RequestID: "direct", Snapshot: "S1", Shard: shard, Limit: 10, DeadlineMillis: 1000})
		})
	}
	group.Wait()
	return time.Since(began)
}
