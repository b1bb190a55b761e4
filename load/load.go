// Package load sends open-loop traffic to entry hosts and summarizes the
// answers and their latencies.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fescuehall/answer"
	"fescuehall/verdict"
)

const (
	// maxLatencyMicros is the highest latency of a histogram; longer ones count as
	// this one.
	maxLatencyMicros = 60_000_000
	// significantDigits is the precision of the histograms.
	significantDigits = 3
	// maxInFlight limits the requests in flight of one stream; arrivals above it
	// are not sent.
	maxInFlight = 4096
)

// Stream describes open-loop traffic: requests of one kind that are sent at
// random times, whether or not earlier ones were answered.
type Stream struct {
	Service string
	Kind    string
	// Rate is the mean number of requests a second.
	Rate float64
	// Start is when the stream begins, counted from the start of the run;
	// Length is its duration.
	Start  time.Duration
	Length time.Duration
	// Key is the prefix of the requests' keys, empty for requests without a
	// key. It is needed for kinds that are not idempotent.
	Key string
	// Seed is the seed of the random arrival times.
	Seed uint64
}

// Result summarizes the answers to the requests of one stream. A whole answer
// covers all shards that were asked.
type Result struct {
	Stream Stream
	// Sent counts all arrivals, including those that Unsent counts.
	Sent int
	// Whole counts whole answers, Partial successful answers that lack shards.
	Whole   int
	Partial int
	// NotRun counts failures with the verdict NotRun, MayHaveRun all other
	// failures.
	NotRun     int
	MayHaveRun int
	// Unsent counts requests that were not sent because too many were in flight.
	Unsent int
	// Latencies are those of whole and partial answers, in microseconds.
	Latencies *hdrhistogram.Histogram
	// Refusals are the latencies of failures with the verdict NotRun.
	Refusals *hdrhistogram.Histogram
	// Codes counts failures by code.
	Codes map[string]int
	// Duration is the length of the stream.
	Duration time.Duration
}

// Goodput returns whole answers a second.
func (result *Result) Goodput() float64 {
	return float64(result.Whole) / result.Duration.Seconds()
}

// Success returns the share of requests with a whole answer.
func (result *Result) Success() float64 {
	if result.Sent == 0 {
		return 0
	}
	return float64(result.Whole) / float64(result.Sent)
}

// Quantile returns a percentile of the latencies of whole and partial answers,
// measured from the scheduled arrival of the request.
func (result *Result) Quantile(percent float64) time.Duration {
	return time.Duration(result.Latencies.ValueAtQuantile(percent)) * time.Microsecond
}

// Runner sends streams. Set the fields before Run.
type Runner struct {
	// URLs are the base URLs of entry hosts, used in round-robin order.
	URLs []string
	// Client sends the requests.
	Client *http.Client
	// Checker checks the answers, when not nil.
	Checker *Checker
	// Faults are injected while the streams run.
	Faults []Fault
	// Name is the prefix of all request IDs, to make them unique to a run.
	Name string
}

// Run sends all streams and waits for their answers. The error joins those of
// the faults that could not be injected.
func (runner *Runner) Run(ctx context.Context, streams []Stream) ([]*Result, error) {
	results := make([]*Result, len(streams))
	failures := make([]error, len(runner.Faults))
	start := time.Now()
	var group sync.WaitGroup
	for index, stream := range streams {
		group.Go(func() { results[index] = runner.runStream(ctx, stream) })
	}
	for index, fault := range runner.Faults {
		group.Go(func() { failures[index] = fault.inject(ctx, runner.Client, start) })
	}
	group.Wait()
	return results, errors.Join(failures...)
}

// collector adds up the answers to the requests of a stream.
type collector struct {
	mu     sync.Mutex
	result *Result
}

func (runner *Runner) runStream(ctx context.Context, stream Stream) *Result {
	collector := &collector{result: &Result{
		Stream:    stream,
		Latencies: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		Refusals:  hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		Codes:     make(map[string]int),
		Duration:  stream.Length,
	}}
	random := rand.New(rand.NewPCG(stream.Seed, 2))
	slots := make(chan struct{}, maxInFlight)
	var group sync.WaitGroup
	start := time.Now()
	next := stream.Start
	for index := 0; ; index++ {
		next += time.Duration(random.ExpFloat64() / stream.Rate * float64(time.Second))
		if next >= stream.Start+stream.Length || !sleepUntil(ctx, start.Add(next)) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			collector.addUnsent()
			continue
		}
		url, arrival := runner.URLs[index%len(runner.URLs)], start.Add(next)
		group.Go(func() {
			defer func() { <-slots }()
			id := fmt.Sprintf("%s-%s-%s-%d", runner.Name, stream.Service, stream.Kind, index)
			reply := runner.send(url, stream, id)
			collector.add(reply, time.Since(arrival))
			if runner.Checker != nil {
				runner.Checker.check(stream.Kind, id, reply)
			}
		})
	}
	group.Wait()
	return collector.result
}

// sleepUntil waits until a time. It reports false when the context is
// cancelled.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends one request and returns its answer. A transport error becomes an
// answer with the verdict MayHaveRun.
func (runner *Runner) send(url string, stream Stream, id string) *answer.Answer {
	request := answer.Request{RequestID: id, Service: stream.Service, Kind: stream.Kind, Text: id, Limit: 10}
	if stream.Key != "" {
		request.Key = stream.Key + id
	}
	connectionLost := &answer.Answer{Verdict: verdict.MayHaveRun.String(), Code: string(verdict.ConnectionLost)}
	body, err := json.Marshal(request)
	if err != nil {
		return connectionLost
	}
	// net/http can't rewind a MultiReader and therefore doesn't resend the request
	// by itself after a connection error.
	response, err := runner.Client.Post(url+"/v1/query", "application/json", io.MultiReader(bytes.NewReader(body)))
	if err != nil {
		return connectionLost
	}
	defer response.Body.Close()
	reply := &answer.Answer{}
	if json.NewDecoder(response.Body).Decode(reply) != nil {
		return connectionLost
	}
	return reply
}

func (collector *collector) addUnsent() {
	collector.mu.Lock()
	defer collector.mu.Unlock()
	collector.result.Sent++
	collector.result.Unsent++
}

func (collector *collector) add(reply *answer.Answer, latency time.Duration) {
	collector.mu.Lock()
	defer collector.mu.Unlock()
	result := collector.result
	result.Sent++
	micros := min(maxLatencyMicros, latency.Microseconds())
	switch {
	case reply.Code == "" && reply.ShardsCovered == reply.ShardsAsked:
		result.Whole++
		result.Latencies.RecordValue(micros)
	case reply.Code == "":
		result.Partial++
		result.Latencies.RecordValue(micros)
	case reply.Verdict == verdict.NotRun.String():
		result.NotRun++
		result.Refusals.RecordValue(micros)
	default:
		result.MayHaveRun++
	}
	if reply.Code != "" {
		result.Codes[reply.Code]++
	}
}
