package replica

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const stateShards = 64

// sharded is a map by address in shards, each under its own lock.
type sharded[V any] struct {
	shards [stateShards]struct {
		mu     sync.Mutex
		values map[string]V
	}
}

// with runs use on the part of the map that holds the address.
func (sharded *sharded[V]) with(address string, use func(values map[string]V)) {
	shard := &sharded.shards[xxhash.Sum64String(address)%stateShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.values == nil {
		shard.values = make(map[string]V)
	}
	use(shard.values)
}

// each runs use on every part of the map in turn.
func (sharded *sharded[V]) each(use func(values map[string]V)) {
	for place := range sharded.shards {
		shard := &sharded.shards[place]
		shard.mu.Lock()
		use(shard.values)
		shard.mu.Unlock()
	}
}
