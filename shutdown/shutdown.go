// Package shutdown decides what a stopping host does with the requests that it has
// not answered:
//
//	request                   until LastSend  until LastAnswer        then
//	not sent to a server      sent            refused as not run      refused as not run
//	sent, awaiting its reply  awaited         awaited                 answered as it stands
//
// A gathered request is answered as it stands with the shards that have replied, if
// they are enough. Any other one gets a failure that says that it may have run. So
// each request has an answer before the process ends.
package shutdown

import (
	"sync"
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
	// Exit is when the process ends at the latest. In a process that was delayed, the
	// time from LastAnswer to Exit begins when LastAnswer takes effect.
	Exit time.Time
}

const (
	// replyTime is reserved for the replies to the last requests that are sent.
	replyTime = time.Second
	// acceptTime is reserved for sending the requests of the last connections.
	acceptTime = 500 * time.Millisecond
	// answerTime is reserved for writing the last answers and the exit of the
	// process, exitTime for its exit alone.
	answerTime = 700 * time.Millisecond
	exitTime   = 250 * time.Millisecond
	// A short grace period is divided in the same proportions.
	acceptDivisor = 12
	replyDivisor  = 6
	answerDivisor = 8
	exitDivisor   = 24
)

// NewSchedule returns the schedule of a stop that begins now and has to end within
// the grace period, after which the process is killed.
func NewSchedule(now time.Time, grace time.Duration) Schedule {
	lastAnswer := now.Add(grace - min(answerTime, grace/answerDivisor))
	lastSend := lastAnswer.Add(-min(replyTime, grace/replyDivisor))
	return Schedule{
		LastAccept: lastSend.Add(-min(acceptTime, grace/acceptDivisor)),
		LastSend:   lastSend,
		LastAnswer: lastAnswer,
		Exit:       now.Add(grace - min(exitTime, grace/exitDivisor)),
	}
}

// Stop tells the parts of a host how far its stop has got. A nil Stop is that of a
// host that never stops. It is safe for concurrent use.
type Stop struct {
	sendingEnded   chan struct{}
	answeringEnded chan struct{}
	exit           chan struct{}

	mu       sync.Mutex
	begun    bool
	schedule Schedule
}

// New returns the Stop of a host that runs.
func New() *Stop {
	return &Stop{sendingEnded: make(chan struct{}), answeringEnded: make(chan struct{}), exit: make(chan struct{})}
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
	time.AfterFunc(time.Until(schedule.LastAnswer), func() {
		close(stop.answeringEnded)
		time.AfterFunc(schedule.Exit.Sub(schedule.LastAnswer), func() { close(stop.exit) })
	})
}

// SendingEnded returns a channel that is closed at LastSend.
func (stop *Stop) SendingEnded() <-chan struct{} {
	if stop == nil {
		return nil
	}
	return stop.sendingEnded
}

// AnsweringEnded returns a channel that is closed at LastAnswer.
func (stop *Stop) AnsweringEnded() <-chan struct{} {
	if stop == nil {
		return nil
	}
	return stop.answeringEnded
}

// Exit returns a channel that is closed when the process has to end.
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
