package allowance

import (
	"context"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"fescuehall/message"
)

// Keeper holds the tokens of the limits that this host keeps for its failure domain.
// Set the exported fields before use.
type Keeper struct {
	// Hosts tells which limits this host keeps.
	Hosts *Hosts
	// Domains are the failure domains of the deployment.
	Domains []string
	// Limit returns the limit that an ask is about and whether there is one: by the
	// newest known configuration, or by the ask if only the hosts that ask know it.
	Limit func(ask *message.AllowanceAsk) (Limit, bool)
	// Changed is called when this host begins to grant tokens of a limit ("kept")
	// and when it no longer does ("left"); it may be nil.
	Changed func(limit, change string)

	mu      sync.Mutex
	buckets map[string]*bucket
	sweptAt time.Time
}

// bucket holds the tokens of one limit.
type bucket struct {
	share share
	// level is the number of tokens at a time.
	level float64
	at    time.Time
	// line is the number of tokens that were asked for in vain and that will be
	// asked for again.
	line float64
	// askedAt is when a host last asked.
	askedAt time.Time
}

const (
	// sweepInterval is how often full buckets are removed that no host has asked for
	// within idleBucketTime.
	sweepInterval  = 10 * time.Second
	idleBucketTime = 10 * time.Minute
	// maxLine limits the tokens that count as asked for again, in seconds of the
	// bucket's rate.
	maxLine = 5
	// maxWait is the longest time until a token that is told to other hosts.
	maxWait = time.Minute
)

// Grant answers an ask. The tokens that it grants are removed from the bucket, also
// if the reply is lost.
func (keeper *Keeper) Grant(ctx context.Context, ask *message.AllowanceAsk) *message.AllowanceGrant {
	if strings.HasPrefix(ask.Limit, votePrefix) {
		return &message.AllowanceGrant{Refused: !keeper.Hosts.agrees(ask)}
	}
	limit, known := keeper.Limit(ask)
	if !known || !keeper.Hosts.Certain(ctx) {
		return &message.AllowanceGrant{Refused: true}
	}
	keeper.mu.Lock()
	defer keeper.mu.Unlock()
	bucket := keeper.bucket(ask.Limit, limit)
	if bucket == nil {
		return &message.AllowanceGrant{Refused: true}
	}
	return bucket.grant(max(1, math.Floor(ask.Tokens)), limit.lifetime())
}

// grant removes up to a number of tokens. If there are fewer, the rest join the line.
func (bucket *bucket) grant(wanted float64, lifetime time.Duration) *message.AllowanceGrant {
	grant := &message.AllowanceGrant{Tokens: min(math.Floor(bucket.level), wanted), ExpiryMicros: lifetime.Microseconds()}
	bucket.level -= grant.Tokens
	if grant.Tokens == wanted {
		return grant
	}
	wait := (1 - bucket.level + bucket.line) / bucket.share.rate
	grant.NextMicros = max(1, int64(min(wait, maxWait.Seconds())*1e6))
	bucket.line = min(bucket.line+wanted-grant.Tokens, maxLine*bucket.share.rate)
	return grant
}

// bucket returns the bucket of a limit with the tokens that it holds now, nil if this
// host does not keep the limit. The caller holds the lock.
func (keeper *Keeper) bucket(name string, limit Limit) *bucket {
	now := keeper.Hosts.Now()
	keeper.sweep(now)
	begin, keeps := keeper.Hosts.Since(name)
	domains := limit.sharingDomains(name, keeper.Domains)
	kept := keeper.buckets[name]
	if !keeps || !slices.Contains(domains, keeper.Hosts.Domain) {
		keeper.remove(name)
		return nil
	}
	part := limit.share(len(domains))
	if kept == nil || kept.at.Before(begin) {
		if kept == nil && keeper.Changed != nil {
			keeper.Changed(name, "kept")
		}
		kept = &bucket{share: part, level: part.start, at: begin}
		keeper.buckets[name] = kept
	}
	kept.advance(now)
	kept.share, kept.level, kept.askedAt = part, min(kept.level, part.capacity), now
	return kept
}

// advance adds the tokens that have accrued until now.
func (bucket *bucket) advance(now time.Time) {
	accrued := now.Sub(bucket.at).Seconds() * bucket.share.rate
	if accrued <= 0 {
		return
	}
	bucket.level = min(bucket.level+accrued, bucket.share.capacity)
	bucket.line = max(0, bucket.line-accrued)
	bucket.at = now
}

// remove removes a bucket. The caller holds the lock.
func (keeper *Keeper) remove(name string) {
	if keeper.buckets[name] == nil {
		return
	}
	delete(keeper.buckets, name)
	if keeper.Changed != nil {
		keeper.Changed(name, "left")
	}
}

// sweep removes idle buckets that are full and that a new one would equal, and those
// of limits that this host does not keep. The caller holds the lock.
func (keeper *Keeper) sweep(now time.Time) {
	if keeper.buckets == nil {
		keeper.buckets = make(map[string]*bucket)
		keeper.sweptAt = now
	}
	if now.Sub(keeper.sweptAt) < sweepInterval {
		return
	}
	keeper.sweptAt = now
	for name, bucket := range keeper.buckets {
		begin, keeps := keeper.Hosts.Since(name)
		sinceBegin := bucket.share.start + now.Sub(begin).Seconds()*bucket.share.rate
		bucket.advance(now)
		full := bucket.level >= bucket.share.capacity && sinceBegin >= bucket.share.capacity
		if !keeps || full && now.Sub(bucket.askedAt) > idleBucketTime {
			keeper.remove(name)
		}
	}
}
