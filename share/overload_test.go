package share_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/rank"
	"fescuehall/share"
)

const (
	modelWorkspaces = 72
	modelSkew       = 1.2
	// modelRate is the usual number of requests a second of all workspaces.
	modelRate     = 200
	modelSlots    = 10
	modelTarget   = 300 * time.Millisecond
	modelDeadline = 3 * time.Second
	modelLength   = 30 * time.Second
	hotFactor     = 7.5
	modelSeed     = 2
)

// model is a service with a throttle, a queue and a number of slots, and the callers
// of its workspaces. It has its own clock.
type model struct {
	now      time.Time
	events   events
	throttle *rank.Throttle
	queue    share.Queue[int]
	pending  map[*waiter]*pending
	free     int
	service  time.Duration
	// fair is false for the former throttle and queue, which know no workspaces.
	fair bool
	// sent, served and inTime count the requests of each workspace.
	sent, served, inTime [modelWorkspaces]float64
}

// pending is a request that was admitted.
type pending struct {
	number   int
	waiter   *waiter
	recorded bool
}

type event struct {
	at  time.Time
	run func()
}

type events []event

func (events events) Len() int           { return len(events) }
func (events events) Less(a, b int) bool { return events[a].at.Before(events[b].at) }
func (events events) Swap(a, b int)      { events[a], events[b] = events[b], events[a] }
func (events *events) Push(added any)    { *events = append(*events, added.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

func (model *model) after(delay time.Duration, run func()) {
	heap.Push(&model.events, event{model.now.Add(delay), run})
}

// runModel runs the model with room for a number of times the usual load. The
// workspace with the number hot, if there is one, sends hotFactor times its usual.
func runModel(fair bool, room float64, hot int, seed uint64) *model {
	model := &model{now: time.Unix(1000, 0), pending: make(map[*waiter]*pending), free: modelSlots, fair: fair}
	model.service = time.Duration(modelSlots / (room * modelRate) * float64(time.Second))
	model.throttle = &rank.Throttle{Now: func() time.Time { return model.now }, Random: rand.New(rand.NewPCG(seed, 1)).Float64}
	total := 0.0
	for number := range modelWorkspaces {
		total += math.Pow(float64(number+1), -modelSkew)
	}
	end := model.now.Add(modelLength)
	for number := range modelWorkspaces {
		rate := modelRate * math.Pow(float64(number+1), -modelSkew) / total
		if number == hot {
			rate *= hotFactor
		}
		random := rand.New(rand.NewPCG(seed, uint64(number+2)))
		var arrive func()
		arrive = func() {
			model.arrive(number)
			model.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), arrive)
		}
		model.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	for model.now.Before(end) {
		next := heap.Pop(&model.events).(event)
		model.now = next.at
		next.run()
	}
	return model
}

func (model *model) arrive(number int) {
	model.sent[number]++
	workspace := ""
	if model.fair {
		workspace = fmt.Sprint("w", number)
	}
	if admitted, _ := model.throttle.Admit(0, workspace); !admitted {
		return
	}
	request := &pending{number: number, waiter: &waiter{Workspace: workspace, Due: model.now.Add(modelTarget)}}
	model.pending[request.waiter] = request
	model.queue.Add(request.waiter)
	model.after(modelTarget, func() { model.record(request, false) })
	model.after(modelDeadline, func() {
		if model.queue.Remove(request.waiter) {
			delete(model.pending, request.waiter)
		}
	})
	model.grant()
}

// record reports the outcome of a request to the throttle, once.
func (model *model) record(request *pending, inTime bool) {
	if request.recorded {
		return
	}
	request.recorded = true
	model.throttle.RecordResult(0, inTime)
	if inTime {
		model.inTime[request.number]++
	}
}

// grant starts requests in free slots.
func (model *model) grant() {
	for model.free > 0 {
		next := model.queue.Pop(model.now.Add(model.service))
		if next == nil {
			return
		}
		model.free--
		request := model.pending[next]
		delete(model.pending, next)
		model.after(model.service, func() {
			model.free++
			model.served[request.number]++
			model.record(request, true)
			model.grant()
		})
	}
}

// evenLoad is the share of the room that can be used while all arrive by chance.
const evenLoad = 0.9

// within returns the workspaces but one that send no more than the fair share, which is
// the room for each that uses up all that can be used, if those who send less get all
// that they send.
func within(sent [modelWorkspaces]float64, room float64, without int) []int {
	level := 0.0
	for used := 0.0; used < evenLoad*room*modelRate*modelLength.Seconds() && level < slices.Max(sent[:]); level++ {
		used = 0
		for _, count := range sent {
			used += min(count, level)
		}
	}
	var numbers []int
	for number, count := range sent {
		if number != without && count <= level {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

func sum(counts [modelWorkspaces]float64, numbers []int) float64 {
	total := 0.0
	for _, number := range numbers {
		total += counts[number]
	}
	return total
}

// Load: 72 workspaces of unlike size (skew 1.2), with room for 1.25 times, 1.0 times and
// 0.8 times the usual; one of them, the largest, a middling or a small one, sends 7.5
// times its usual for half a minute. The others that send no more than the fair share get
// what they got before, and no workspace starves.
func TestHotWorkspaceLeavesOthersTheirs(t *testing.T) {
	all := make([]int, modelWorkspaces)
	for number := range all {
		all[number] = number
	}
	for _, room := range []float64{1.25, 1, 0.8} {
		usual := runModel(true, room, -1, modelSeed)
		for _, hot := range []int{0, 5, 40} {
			t.Run(fmt.Sprint("room ", room, " hot ", hot), func(t *testing.T) {
				fair := runModel(true, room, hot, modelSeed)
				others := within(fair.sent, room, hot)
				served, inTime := sum(fair.served, others)/sum(usual.served, others), sum(fair.inTime, others)/sum(usual.inTime, others)
				average, least := sum(fair.served, all)/sum(fair.sent, all), 1.0
				t.Logf("%d others: %.3f served, %.3f in time", len(others), served, inTime)
				qt.Check(t, len(others) >= modelWorkspaces-4, qt.IsTrue)
				qt.Check(t, served >= 0.95 && inTime >= 0.95, qt.IsTrue)
				for number, sent := range fair.sent {
					least = min(least, fair.served[number]/sent)
				}
				t.Logf("%.3f of all served, %.3f of the workspace served least", average, least)
				qt.Check(t, least >= average/4, qt.IsTrue)
			})
		}
	}
}

// Without shares, the same load takes from the others more than half of what they got:
// so the load of the test above is one that they answer.
func TestFormerThrottleAndQueue(t *testing.T) {
	usual, former := runModel(false, 1, -1, modelSeed), runModel(false, 1, 0, modelSeed)
	others := within(former.sent, 1, 0)
	qt.Assert(t, sum(former.inTime, others) < sum(usual.inTime, others)/2, qt.IsTrue)
}
