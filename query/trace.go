package query

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"fescuehall/answer"
	"fescuehall/message"
)

// trace records which hosts fronted the shards of a request and which shard was
// the slowest, for the request's log line.
type trace struct {
	mu            sync.Mutex
	shardsPerHost map[string]int
	slowest       time.Duration
	slowestReply  *message.SubReply
}

func (trace *trace) add(reply *message.SubReply, latency time.Duration) {
	trace.mu.Lock()
	defer trace.mu.Unlock()
	if trace.shardsPerHost == nil {
		trace.shardsPerHost = make(map[string]int)
	}
	trace.shardsPerHost[reply.Host]++
	if latency > trace.slowest {
		trace.slowest = latency
		trace.slowestReply = reply
	}
}

// summary describes the outcome, how many shards each host fronted, and the
// slowest shard.
func (trace *trace) summary(answer *answer.Answer, latency time.Duration) string {
	trace.mu.Lock()
	defer trace.mu.Unlock()
	var line strings.Builder
	fmt.Fprintf(&line, "%s in %.1f ms", answer.Verdict, millis(latency))
	if answer.Code != "" {
		fmt.Fprintf(&line, ", %s (%s)", answer.Code, answer.Detail)
	}
	fmt.Fprintf(&line, ", snapshot %q, %d of %d shards", answer.Snapshot, answer.ShardsCovered, answer.ShardsAsked)
	if trace.slowestReply == nil {
		return line.String()
	}
	line.WriteString(", fronted by")
	for _, host := range slices.Sorted(maps.Keys(trace.shardsPerHost)) {
		fmt.Fprintf(&line, " %s:%d", host, trace.shardsPerHost[host])
	}
	queueTime := time.Duration(trace.slowestReply.QueueMicros) * time.Microsecond
	serviceTime := time.Duration(trace.slowestReply.ServiceMicros) * time.Microsecond
	fmt.Fprintf(&line, ", slowest shard %d at %s via %s: queue %.1f ms, service %.1f ms", trace.slowestReply.Shard, trace.slowestReply.Replica, trace.slowestReply.Host, millis(queueTime), millis(serviceTime))
	return line.String()
}

func millis(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
