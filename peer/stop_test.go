package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/dispatch"
	"fescuehall/exchange"
	"fescuehall/link"
	"fescuehall/logbook"
	"fescuehall/peer"
	"fescuehall/replica"
	"fescuehall/roster"
	"fescuehall/route"
	"fescuehall/shard"
	"fescuehall/shutdown"
	"fescuehall/suspect"
	"fescuehall/verdict"
)

// distantConn is one end of a connection whose bytes take some time. As in a socket,
// what has not been read when it is closed is lost.
type distantConn struct {
	net.Conn
	latency time.Duration
	closed  atomic.Bool
}

// Read implements net.Conn.
func (conn *distantConn) Read(buf []byte) (int, error) {
	count, err := conn.Conn.Read(buf)
	time.Sleep(conn.latency)
	if conn.closed.Load() {
		return 0, net.ErrClosed
	}
	return count, err
}

// Close implements net.Conn.
func (conn *distantConn) Close() error {
	conn.closed.Store(true)
	return conn.Conn.Close()
}

// stoppableHost is a host that gathers shards, by itself or for a peer. It accepts
// connections until its process ends.
type stoppableHost struct {
	peer.Wire
	stop        *shutdown.Stop
	closing     atomic.Bool
	server      *link.Server
	delegator   *peer.Delegator
	connections chan net.Conn
	latency     time.Duration
	closed      chan struct{}
	once        sync.Once

	mu     sync.Mutex
	opened []net.Conn
}

// Accept implements net.Listener.
func (host *stoppableHost) Accept() (net.Conn, error) {
	select {
	case conn := <-host.connections:
		return conn, nil
	case <-host.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (host *stoppableHost) Close() error {
	host.once.Do(func() { close(host.closed) })
	return nil
}

// Addr implements net.Listener.
func (host *stoppableHost) Addr() net.Addr { return &net.TCPAddr{} }

func (host *stoppableHost) dial(string, string, time.Duration) (net.Conn, error) {
	nearPipe, farPipe := net.Pipe()
	near, far := &distantConn{Conn: nearPipe, latency: host.latency}, &distantConn{Conn: farPipe, latency: host.latency}
	select {
	case host.connections <- far:
	case <-host.closed:
		return nil, errors.New("connection refused")
	}
	host.mu.Lock()
	defer host.mu.Unlock()
	host.opened = append(host.opened, far)
	return near, nil
}

// kill ends the host's process.
func (host *stoppableHost) kill() {
	host.Close()
	host.mu.Lock()
	defer host.mu.Unlock()
	for _, conn := range host.opened {
		conn.Close()
	}
}

// stopWithin stops the host as its grace period allows.
func (host *stoppableHost) stopWithin(grace time.Duration) error {
	host.stop.Begin(shutdown.NewSchedule(time.Now(), grace))
	time.Sleep(min(2500*time.Millisecond, grace/2))
	host.closing.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-host.stop.Exit()
		cancel()
	}()
	defer host.kill()
	return host.server.Shutdown(ctx)
}

// stopCase is a gathered request whose host has a peer gather some of the shards,
// while one of them stops or both do.
type stopCase struct {
	// peerGrace and askerGrace are the grace periods of the hosts that stop at
	// peerStops and askerStops, 0 for a host that doesn't stop.
	peerGrace, askerGrace time.Duration
	peerStops, askerStops time.Duration
	// peerKilled is when the peer's process is killed, 0 if it isn't.
	peerKilled time.Duration
	// sentAt is when the request is sent.
	sentAt time.Duration
	// work is how long the replicas take, at the asking host and at the peer.
	work, peerWork time.Duration
	// bundled is the number of the five shards that the peer is asked for.
	bundled int
	// replicas is the number of replicas of each shard.
	replicas int
	minShare float64
	target   time.Duration
	// latency is how long bytes are on the way between the hosts.
	latency time.Duration
}

// stopOutcome is what became of the request.
type stopOutcome struct {
	answer *dispatch.Answer
	// answeredAt is when the answer was sent, stoppedAt when the peer's process ended.
	answeredAt, stoppedAt time.Duration
	stopErr               error
	// runs holds the IDs of the replicas that ran an attempt, by shard.
	runs map[string]map[string]bool
}

// newHost returns a host whose replicas take the given time.
func (test stopCase) newHost(work time.Duration, ran func(roster.Replica)) *stoppableHost {
	host := &stoppableHost{stop: shutdown.New(), latency: test.latency, connections: make(chan net.Conn), closed: make(chan struct{})}
	dispatcher := &dispatch.Dispatcher{
		Stop: host.stop,
		Send: func(ctx context.Context, attempt *dispatch.Attempt) *dispatch.Reply {
			if !host.stop.Admits(0) {
				return &dispatch.Reply{Failure: verdict.New(verdict.NotRun, verdict.Stopping, "this host stops")}
			}
			ran(attempt.Replica)
			select {
			case <-time.After(work):
				return &dispatch.Reply{Response: &exchange.Response{Body: make([]byte, 16)}, Receipt: attempt.Replica.Service}
			case <-ctx.Done():
				return &dispatch.Reply{Failure: verdict.New(verdict.MayHaveRun, verdict.Cancelled, "test")}
			}
		},
		Replicas: func(service string) []roster.Replica {
			var list []roster.Replica
			for number := range test.replicas {
				list = append(list, roster.Replica{ID: fmt.Sprint(service, "-", number), Service: service})
			}
			return list
		},
		ReportMisplaced: func(string) {},
		Hosts:           func() int { return 2 },
		Picker:          replica.New(),
		Suspects:        &suspect.Tracker{Now: time.Now},
		Random:          func() float64 { return 0.5 },
		Event:           func(string, logbook.Fields) {},
	}
	dispatcher.SetRetryBudget(0.2, 100)
	host.delegator = newDelegator([]shard.Host{{Name: "peer", Address: "peer"}})
	host.delegator.Dispatcher = dispatcher
	host.delegator.Call = host.RequestGather
	host.delegator.Refuses = func() *verdict.Failure {
		if host.closing.Load() {
			return verdict.New(verdict.NotRun, verdict.Stopping, "host stops")
		}
		return nil
	}
	host.HandleGather = host.delegator.Serve
	host.Event = func(string, logbook.Fields) {}
	host.server = &link.Server{Handle: host.Handle}
	return host
}

func (test stopCase) run(t *testing.T) *stopOutcome {
	outcome := &stopOutcome{runs: make(map[string]map[string]bool)}
	var mu sync.Mutex
	ran := func(replica roster.Replica) {
		mu.Lock()
		defer mu.Unlock()
		if outcome.runs[replica.Service] == nil {
			outcome.runs[replica.Service] = make(map[string]bool)
		}
		outcome.runs[replica.Service][replica.ID] = true
	}
	asker, other := test.newHost(test.work, ran), test.newHost(test.peerWork, ran)
	asker.Dial = other.dial
	dispatcher := asker.delegator.Dispatcher
	dispatcher.Plan = func(request *dispatch.Request) []dispatch.Bundle {
		return []dispatch.Bundle{{Peer: "peer", Shards: request.Route.Shards[:test.bundled], Remote: true}}
	}
	dispatcher.Delegate = asker.delegator.Delegate
	dispatcher.HeardFrom = func(_ string, since time.Time) bool { return asker.HeardFrom(shard.Host{Address: "peer"}, since) }
	go other.server.Run(other)
	qt.Check(t, asker.Probe(t.Context(), shard.Host{Address: "peer"}), qt.IsNil)
	began := time.Now()
	var group sync.WaitGroup
	if test.peerGrace > 0 {
		group.Go(func() {
			time.Sleep(test.peerStops)
			outcome.stopErr = other.stopWithin(test.peerGrace)
			outcome.stoppedAt = time.Since(began)
		})
	}
	if test.peerKilled > 0 {
		time.AfterFunc(test.peerKilled, other.kill)
	}
	if test.askerGrace > 0 {
		time.AfterFunc(test.askerStops, func() { asker.stop.Begin(shutdown.NewSchedule(time.Now(), test.askerGrace)) })
	}
	time.Sleep(test.sentAt)
	now := time.Now()
	outcome.answer = dispatcher.Serve(t.Context(), &dispatch.Request{
		ID:       "r",
		Route:    &route.Route{Name: "gather", Idempotent: true, Shards: shards(5), MinShardShare: test.minShare, LatencyTarget: test.target, Timeout: stopDeadline, MaxAttempts: maxAttempts, TopK: 10},
		Received: now,
		Deadline: now.Add(stopDeadline),
		Content:  &exchange.Request{Method: "GET", Target: "/x"},
	})
	outcome.answeredAt = time.Since(began)
	group.Wait()
	time.Sleep(stopDeadline)
	other.kill()
	time.Sleep(time.Minute)
	mu.Lock()
	defer mu.Unlock()
	return outcome
}

const (
	stopDeadline = 9 * time.Second
	maxAttempts  = 2
	hangs        = time.Minute
)

// servable reports whether the asking host can get all shards, from the peer or, when
// that stops, from their replicas. It does not know which replicas the peer has tried,
// and must not ask more than maxAttempts of them.
func (test stopCase) servable() bool {
	return test.askerGrace == 0 && test.work < hangs && (test.peerWork < hangs && test.peerKilled == 0 || test.replicas <= maxAttempts)
}

// String returns the name of the case.
func (test stopCase) String() string {
	return fmt.Sprintf("peer stops at %v within %v, killed at %v, asker at %v within %v, sent at %v, work %v and %v at the peer, %d bundled, %d replicas, share %v, target %v",
		test.peerStops, test.peerGrace, test.peerKilled, test.askerStops, test.askerGrace, test.sentAt, test.work, test.peerWork, test.bundled, test.replicas, test.minShare, test.target)
}

// check checks what holds for each request, however the hosts stop.
func (test stopCase) check(t *testing.T, outcome *stopOutcome) {
	latest := test.sentAt + stopDeadline
	if test.askerGrace > 0 {
		schedule := shutdown.NewSchedule(time.Time{}, test.askerGrace)
		latest = min(latest, max(test.sentAt, test.askerStops+schedule.LastAnswer.Sub(time.Time{})))
	}
	qt.Check(t, outcome.answeredAt <= latest, qt.IsTrue, qt.Commentf("answered at %v", outcome.answeredAt))
	if test.peerGrace > 0 && test.peerKilled == 0 {
		schedule := shutdown.NewSchedule(time.Time{}, test.peerGrace)
		qt.Check(t, outcome.stopErr, qt.IsNil)
		qt.Check(t, outcome.stoppedAt <= test.peerStops+schedule.Exit.Sub(time.Time{}), qt.IsTrue, qt.Commentf("ended at %v", outcome.stoppedAt))
	}
	for _, replicas := range outcome.runs {
		qt.Check(t, len(replicas) <= maxAttempts, qt.IsTrue, qt.Commentf("ran on %v", replicas))
	}
	answer := outcome.answer
	if test.servable() {
		qt.Check(t, answer.Failure == nil, qt.IsTrue, qt.Commentf("%v", answer.Failure))
	}
	if answer.Failure != nil {
		if answer.Failure.Verdict == verdict.NotRun {
			qt.Check(t, outcome.runs, qt.HasLen, 0)
		}
		return
	}
	qt.Check(t, len(answer.Receipts)+answer.Missing, qt.Equals, 5)
	qt.Check(t, answer.Records, qt.HasLen, 16*len(answer.Receipts))
	for _, receipt := range answer.Receipts {
		qt.Check(t, strings.Count(strings.Join(answer.Receipts, " "), receipt), qt.Equals, 1)
	}
}

// A gathered request is answered in time, once for each shard and without a false
// promise, whichever of the host and the peer that gathers a bundle stops or is killed.
func TestStopsOfAskingHostAndPeer(t *testing.T) {
	stops := []stopCase{
		{peerGrace: 6 * time.Second},
		{peerGrace: 2 * time.Second},
		{askerGrace: 6 * time.Second},
		{peerGrace: 6 * time.Second, askerGrace: 6 * time.Second, askerStops: 400 * time.Millisecond},
		{peerGrace: 6 * time.Second, peerStops: 400 * time.Millisecond, askerGrace: 6 * time.Second},
		{peerGrace: 6 * time.Second, askerGrace: 6 * time.Second},
		{peerGrace: 2 * time.Second, peerStops: 3500 * time.Millisecond, askerGrace: 6 * time.Second},
		{peerGrace: 6 * time.Second, askerGrace: 2 * time.Second, askerStops: 3500 * time.Millisecond},
		{peerGrace: 6 * time.Second, peerKilled: 1 * time.Second},
		{peerGrace: 6 * time.Second, peerKilled: 4 * time.Second},
		{peerGrace: 6 * time.Second, peerKilled: 4 * time.Second, askerGrace: 6 * time.Second, askerStops: 400 * time.Millisecond},
	}
	for _, test := range stops {
		for _, work := range [][2]time.Duration{{5 * time.Millisecond, 5 * time.Millisecond}, {700 * time.Millisecond, 700 * time.Millisecond}, {5 * time.Millisecond, hangs}, {hangs, 5 * time.Millisecond}} {
			for number := range 8 {
				test.work, test.peerWork = work[0], work[1]
				test.replicas = 2 + number%2
				test.minShare = float64(number / 2 % 2)
				test.target = time.Duration(number/4) * 100 * time.Millisecond
				for step := range 11 {
					test.sentAt = time.Duration(step) * 600 * time.Millisecond
					test.bundled = 3 + 2*(step%2)
					t.Run(test.String(), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { test.check(t, test.run(t)) })
					})
				}
			}
		}
	}
}

// Guards against an answer that lacks the shards of a bundle which crossed the stop of
// its peer on the network.
func TestBundleThatCrossesAStopIsGathered(t *testing.T) {
	for _, minShare := range []float64{0, 1} {
		for sentAt := 2470 * time.Millisecond; sentAt <= 2530*time.Millisecond; sentAt += time.Millisecond {
			test := stopCase{peerGrace: 6 * time.Second, sentAt: sentAt, work: 5 * time.Millisecond, peerWork: 5 * time.Millisecond, bundled: 3, replicas: 3, minShare: minShare, target: 100 * time.Millisecond, latency: 5 * time.Millisecond}
			t.Run(test.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					outcome := test.run(t)
					test.check(t, outcome)
					qt.Check(t, outcome.answer.Receipts, qt.HasLen, 5)
				})
			})
		}
	}
}
