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

// trace collects where a request's parts went, for its log line.
type trace struct {
	mu      sync.Mutex
	hosts   map[string]int
	slowest time.Duration
	at      *message.SubReply
}

func (trace *trace) add(reply *message.SubReply, took time.Duration) {
	trace.mu.Lock()
	defer trace.mu.Unlock()
	if trace.hosts == nil {
		trace.hosts = make(map[string]int)
	}
	trace.hosts[reply.Host]++
	if took > trace.slowest {
		trace.slowest = took
		trace.at = reply
	}
}

// summary tells the outcome, which hosts fronted how many shards, and the
// slowest shard.
func (trace *trace) summary(answer *answer.Answer, took time.Duration) string {
	trace.mu.Lock()
	defer trace.mu.Unlock()
	var line strings.Builder
	fmt.Fprintf(&line, "%s in %.1f ms", answer.Verdict, millis(took))
	if answer.Code != "" {
		fmt.Fprintf(&line, ", %s (%s)", answer.Code, answer.Detail)
	}
	fmt.Fprintf(&line, ", snapshot %q, %d of %d shards", answer.Snapshot, answer.ShardsCovered, answer.ShardsAsked)
	if trace.at == nil {
		return line.String()
	}
	line.WriteString(", fronted by")
	for _, host := range slices.Sorted(maps.Keys(trace.hosts)) {
		fmt.Fprintf(&line, " %s:%d", host, trace.hosts[host])
	}
	queued := time.Duration(trace.at.QueueMicros) * time.Microsecond
	served := time.Duration(trace.at.ServiceMicros) * time.Microsecond
	fmt.Fprintf(&line, ", slowest shard %d at %s via %s: queue %.1f ms, service %.1f ms", trace.at.Shard, trace.at.Replica, trace.at.Host, millis(queued), millis(served))
	return line.String()
}

func millis(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
