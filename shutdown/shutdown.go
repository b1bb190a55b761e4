// Package shutdown decides what a stopping host does with the requests that it has
// not answered:
//
//	request                   until LastSend  until LastAnswer        then
//	not sent to a server      sent            refused as not run      refused as not run
//	sent, awaiting its reply  awaited         awaited                 answered as it stands
//
// A gathered request is answered as it stands with the shards that have replied, if
// they are enough. Any other one gets a failure that says that it may have run. So
// each request has an answer before the process ends. How long the answers take to
// write depends on their number and sizes, the links and the processor. So the answers
// begin before LastAnswer when many are left, and the process goes on while they
// advance, until shortly before it is killed.
package shutdown

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Schedule holds the times of a graceful stop.
type Schedule struct {
	// LastAccept is when new connections of callers are no longer accepted, even if
	// callers still open some.
	LastAccept time.Time
	// LastSend is when the last requests are sent to backend servers.
	LastSend time.Time
	// LastAnswer is when requests that still await a reply are answered without it.
	LastAnswer time.Time
	// FirstAnswer is when they are answered at the earliest, if there are many.
	FirstAnswer time.Time
	// Exit is when the process ends if the answers that are left don't advance.
	Exit time.Time
	// LastExit is when the process ends although answers advance. In a process that
	// was delayed, the times from LastAnswer to Exit and LastExit begin when
	// LastAnswer takes effect.
	LastExit time.Time
	// stallTime is how long after an advance answers count as advancing.
	stallTime time.Duration
}

const (
	// replyTime is reserved for the replies to the last requests that are sent.
	replyTime = time.Second
	// acceptTime is reserved for sending the requests of the last connections.
	acceptTime = 500 * time.Millisecond
	// answerTime is reserved for writing the last answers and the exit of the
	// process, exitTime for its exit alone. While answers advance, only lastExitTime
	// is reserved for the exit.
	answerTime   = 700 * time.Millisecond
	exitTime     = 250 * time.Millisecond
	lastExitTime = 100 * time.Millisecond
	// answerCost is what an answer takes on a slow processor.
	answerCost = time.Millisecond
	// stallTime allows for slow callers: the kernel accepts more of an answer only
	// when a third of its buffer is free.
	stallTime = 500 * time.Millisecond
	// A short grace period is divided in the same proportions.
	acceptDivisor   = 12
	replyDivisor    = 6
	firstDivisor    = 6
	answerDivisor   = 8
	exitDivisor     = 24
	lastExitDivisor = 60
	stallDivisor    = 12
)

// NewSchedule returns the schedule of a stop that begins now and has to end within
// the grace period, after which the process is killed.
func NewSchedule(now time.Time, grace time.Duration) Schedule {
	lastAnswer := now.Add(grace - min(answerTime, grace/answerDivisor))
	lastSend := lastAnswer.Add(-min(replyTime, grace/replyDivisor))
	return Schedule{
		LastAccept:  lastSend.Add(-min(acceptTime, grace/acceptDivisor)),
		LastSend:    lastSend,
		FirstAnswer: now.Add(grace - grace/firstDivisor),
		LastAnswer:  lastAnswer,
		Exit:        now.Add(grace - min(exitTime, grace/exitDivisor)),
		LastExit:    now.Add(grace - min(lastExitTime, grace/lastExitDivisor)),
		stallTime:   min(stallTime, grace/stallDivisor),
	}
}

// Stop tells the parts of a host how far its stop has got. A nil Stop is that of a
// host that never stops. It is safe for concurrent use.
type Stop struct {
	sendingEnded chan struct{}
	exit         chan struct{}
	// answering ends at LastAnswer, or sooner.
	answering       context.Context
	cancelAnswering context.CancelFunc

	// awaiting is the number of requests that await replies.
	awaiting atomic.Int64

	mu       sync.Mutex
	begun    bool
	schedule Schedule
	// advancedAt is when an answer last advanced.
	advancedAt time.Time
}

// New returns the Stop of a host that runs.
func New() *Stop {
	stop := &Stop{sendingEnded: make(chan struct{}), exit: make(chan struct{})}
	stop.answering, stop.cancelAnswering = context.WithCancel(context.Background())
	return stop
}

// Begin begins the stop. Only the first call has an effect.
func (stop *Stop) Begin(schedule Schedule) {
	stop.mu.Lock()
	defer stop.mu.Unlock()
	if stop.begun {
		return
	}
	stop.begun, stop.schedule = true, schedule
	time.AfterFunc(time.Until(schedule.LastSend), func() { close(stop.sendingEnded) })
	time.AfterFunc(time.Until(schedule.FirstAnswer), stop.endAnswering)
}

// endAnswering ends answering at LastAnswer, or sooner by the time that the answers to
// the requests that await replies take.
func (stop *Stop) endAnswering() {
	schedule := stop.schedule
	cost := time.Duration(stop.awaiting.Load()) * answerCost
	if wait := time.Until(schedule.LastAnswer) - cost; wait > 0 {
		time.AfterFunc(wait, stop.endAnswering)
		return
	}
	stop.cancelAnswering()
	delay := max(0, time.Since(schedule.LastAnswer))
	lastExit := schedule.LastExit.Add(delay)
	time.AfterFunc(time.Until(schedule.Exit)+delay, func() { stop.endUnlessAdvancing(lastExit) })
}

// endUnlessAdvancing closes exit when no answer has advanced for stallTime, or at
// lastExit.
func (stop *Stop) endUnlessAdvancing(lastExit time.Time) {
	stop.mu.Lock()
	defer stop.mu.Unlock()
	next := stop.advancedAt.Add(stop.schedule.stallTime)
	if next.After(lastExit) {
		next = lastExit
	}
	if wait := time.Until(next); wait > 0 {
		time.AfterFunc(wait, func() { stop.endUnlessAdvancing(lastExit) })
		return
	}
	close(stop.exit)
}

// Await counts a request as awaiting replies until done is called.
func (stop *Stop) Await() (done func()) {
	if stop == nil {
		return func() {}
	}
	stop.awaiting.Add(1)
	return func() { stop.awaiting.Add(-1) }
}

// Advance records that a part of an answer was written.
func (stop *Stop) Advance() {
	if stop == nil {
		return
	}
	stop.mu.Lock()
	defer stop.mu.Unlock()
	stop.advancedAt = time.Now()
}

// SendingEnded returns a channel that is closed at LastSend.
func (stop *Stop) SendingEnded() <-chan struct{} {
	if stop == nil {
		return nil
	}
	return stop.sendingEnded
}

// AnsweringEnded returns a channel that is closed at LastAnswer, or sooner, but not
// before FirstAnswer, if many requests await replies.
func (stop *Stop) AnsweringEnded() <-chan struct{} {
	if stop == nil {
		return nil
	}
	return stop.answering.Done()
}

// ErrStopping is the cause of a context that ends because the host stops.
var ErrStopping = errors.New("the host stops")

// UntilAnsweringEnded returns a context that ends with ctx, or with the cause
// ErrStopping when answering ends. The caller has to call cancel.
func (stop *Stop) UntilAnsweringEnded(ctx context.Context) (_ context.Context, cancel context.CancelFunc) {
	if stop == nil {
		return context.WithCancel(ctx)
	}
	ctx, cancelCause := context.WithCancelCause(ctx)
	forget := context.AfterFunc(stop.answering, func() { cancelCause(ErrStopping) })
	return ctx, func() {
		forget()
		cancelCause(nil)
	}
}

// Exit returns a channel that is closed when the process has to end: at Exit, or
// while answers advance, later, but not after LastExit.
func (stop *Stop) Exit() <-chan struct{} {
	return stop.exit
}

// Admits reports whether a request may be sent to a server whose reply is expected
// after the given time: before LastSend, and only if the reply is expected before
// LastAnswer.
func (stop *Stop) Admits(replyTime time.Duration) bool {
	if stop == nil {
		return true
	}
	stop.mu.Lock()
	defer stop.mu.Unlock()
	now := time.Now()
	return !stop.begun || now.Before(stop.schedule.LastSend) && now.Add(replyTime).Before(stop.schedule.LastAnswer)
}
