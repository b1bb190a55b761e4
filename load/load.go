// Package load sends open-loop traffic to entry hosts and sums up what callers
// get.
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
	maxMicros = 60_000_000
	digits    = 3
	// maxInFlight bounds the requests in flight of one stream.
	maxInFlight = 4096
)

// Stream is requests of one kind that arrive whether or not earlier ones were
// answered.
type Stream struct {
	Service string
	Kind    string
	// Rate is arrivals a second.
	Rate float64
	// Start and Length are when the stream runs.
	Start  time.Duration
	Length time.Duration
	// Key is set on requests that are not idempotent.
	Key string
	// Seed makes the arrivals repeatable.
	Seed uint64
}

// Result is what the callers of one stream got.
type Result struct {
	Stream    Stream
	Sent      int
	Good      int
	Partial   int
	NotRun    int
	MayRun    int
	Unsent    int
	Latencies *hdrhistogram.Histogram
	// Refusals are the times of answers that say NotRun.
	Refusals *hdrhistogram.Histogram
	Codes    map[string]int
	Took     time.Duration
}

// Goodput returns whole answers a second.
func (result *Result) Goodput() float64 {
	return float64(result.Good) / result.Took.Seconds()
}

// Success returns the share of requests with a whole answer.
func (result *Result) Success() float64 {
	if result.Sent == 0 {
		return 0
	}
	return float64(result.Good) / float64(result.Sent)
}

// Quantile returns a latency of whole answers, timed from the arrival.
func (result *Result) Quantile(percent float64) time.Duration {
	return time.Duration(result.Latencies.ValueAtQuantile(percent)) * time.Microsecond
}

// Runner sends streams. Set the fields before Run.
type Runner struct {
	// URLs are the base URLs of entry hosts, used in turn.
	URLs []string
	// Client sends the requests.
	Client *http.Client
	// Checker checks the answers, when not nil.
	Checker *Checker
	// Faults are injected while the streams run.
	Faults []Fault
	// Name makes the identities of requests unique to a run.
	Name string
}

// Run sends all streams and waits for their answers. The error tells of faults
// that could not be injected.
func (runner *Runner) Run(ctx context.Context, streams []Stream) ([]*Result, error) {
	results := make([]*Result, len(streams))
	failures := make([]error, len(runner.Faults))
	began := time.Now()
	var group sync.WaitGroup
	for place, stream := range streams {
		group.Go(func() { results[place] = runner.stream(ctx, stream) })
	}
	for place, fault := range runner.Faults {
		group.Go(func() { failures[place] = fault.inject(ctx, runner.Client, began) })
	}
	group.Wait()
	return results, errors.Join(failures...)
}

// tally collects the outcomes of a stream.
type tally struct {
	mu     sync.Mutex
	result *Result
}

func (runner *Runner) stream(ctx context.Context, stream Stream) *Result {
	tally := &tally{result: &Result{
		Stream:    stream,
		Latencies: hdrhistogram.New(1, maxMicros, digits),
		Refusals:  hdrhistogram.New(1, maxMicros, digits),
		Codes:     make(map[string]int),
		Took:      stream.Length,
	}}
	random := rand.New(rand.NewPCG(stream.Seed, 2))
	slots := make(chan struct{}, maxInFlight)
	var group sync.WaitGroup
	began := time.Now()
	next := stream.Start
	for place := 0; ; place++ {
		next += time.Duration(random.ExpFloat64() / stream.Rate * float64(time.Second))
		if next >= stream.Start+stream.Length || !sleepUntil(ctx, began.Add(next)) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			tally.unsent()
			continue
		}
		url, arrival := runner.URLs[place%len(runner.URLs)], began.Add(next)
		group.Go(func() {
			defer func() { <-slots }()
			id := fmt.Sprintf("%s-%s-%s-%d", runner.Name, stream.Service, stream.Kind, place)
			got := runner.ask(url, stream, id)
			tally.add(got, time.Since(arrival))
			if runner.Checker != nil {
				runner.Checker.take(stream.Kind, id, got)
			}
		})
	}
	group.Wait()
	return tally.result
}

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

// ask sends one request; a transport error counts as MayHaveRun.
func (runner *Runner) ask(url string, stream Stream, id string) *answer.Answer {
	request := answer.Request{RequestID: id, Service: stream.Service, Kind: stream.Kind, Text: id, Limit: 10}
	if stream.Key != "" {
		request.Key = stream.Key + id
	}
	lost := &answer.Answer{Verdict: verdict.MayHaveRun.String(), Code: string(verdict.ConnectionLost)}
	body, err := json.Marshal(request)
	if err != nil {
		return lost
	}
	// A reader that net/http does not know keeps it from sending twice.
	response, err := runner.Client.Post(url+"/v1/query", "application/json", io.MultiReader(bytes.NewReader(body)))
	if err != nil {
		return lost
	}
	defer response.Body.Close()
	got := &answer.Answer{}
	if json.NewDecoder(response.Body).Decode(got) != nil {
		return lost
	}
	return got
}

func (tally *tally) unsent() {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	tally.result.Sent++
	tally.result.Unsent++
}

func (tally *tally) add(got *answer.Answer, took time.Duration) {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	result := tally.result
	result.Sent++
	micros := min(maxMicros, took.Microseconds())
	switch {
	case got.Code == "" && got.ShardsCovered == got.ShardsAsked:
		result.Good++
		result.Latencies.RecordValue(micros)
	case got.Code == "":
		result.Partial++
		result.Latencies.RecordValue(micros)
	case got.Verdict == verdict.NotRun.String():
		result.NotRun++
		result.Refusals.RecordValue(micros)
	default:
		result.MayRun++
	}
	if got.Code != "" {
		result.Codes[got.Code]++
	}
}
