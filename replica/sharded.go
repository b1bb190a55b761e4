package replica

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const lockShards = 64

// sharded is a map by string key, split into shards that each have their own
// lock.
type sharded[V any] struct {
	shards [lockShards]struct {
		mu     sync.Mutex
		values map[string]V
	}
}

// withShard calls use with the shard that holds key, under the shard's lock.
func (sharded *sharded[V]) withShard(key string, use func(values map[string]V)) {
	shard := &sharded.shards[xxhash.Sum64String(key)%lockShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.values == nil {
		shard.values = make(map[string]V)
	}
	use(shard.values)
}

// forEachShard calls use with each shard in turn, under that shard's lock.
func (sharded *sharded[V]) forEachShard(use func(values map[string]V)) {
	for index := range sharded.shards {
		shard := &sharded.shards[index]
		shard.mu.Lock()
		use(shard.values)
		shard.mu.Unlock()
	}
}
