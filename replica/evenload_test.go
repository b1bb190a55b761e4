package replica_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fescuehall/replica"
)

// ownAverage is the choice by this host's average, its own requests and the queue as last
// reported, whatever their age.
func ownAverage(random *rand.Rand, candidates []replica.Candidate) int {
	scores := make([]time.Duration, len(candidates))
	for i, candidate := range candidates {
		average := candidate.Parts.Own >> min(max(candidate.Parts.OwnAge, 0)/(2*time.Second), 62)
		scores[i] = (average+1)*time.Duration(1+candidate.Outstanding+int(candidate.Parts.Waiting)) + candidate.Distance
		if candidate.Suspected {
			scores[i] += 80 * time.Millisecond
		}
	}
	best := random.IntN(len(scores))
	for i := range scores {
		if scores[i] < scores[best] {
			best = i
		}
	}
	return best
}

func play(hosts int, tells bool, choose func(*rand.Rand, []replica.Candidate) int) *modelResult {
	model := &model{hosts: hosts, rate: 60, remotePenalty: 30 * time.Millisecond, tells: tells, choose: choose}
	return model.run()
}

// Answers queries of 90 shards of which some servers pause, change their speed or are
// slow for seconds. The choice evens out the load at least as well as own averages for
// many hosts with old knowledge, better for few hosts that have several queries at a time,
// and better still when servers tell how slow they are.
func TestPickEvensOutTheLoad(t *testing.T) {
	own, picker, told := play(6, false, ownAverage), play(6, false, nil), play(6, true, nil)
	t.Logf("6 hosts, uneven time and shed requests: own averages %v, %d, picker %v, %d, with slowness %v, %d", own.uneven, own.shed, picker.uneven, picker.shed, told.uneven, told.shed)
	qt.Check(t, float64(picker.uneven) < 0.92*float64(own.uneven), qt.IsTrue)
	qt.Check(t, picker.shed < own.shed, qt.IsTrue)
	qt.Check(t, told.uneven < picker.uneven, qt.IsTrue)
	own, picker = play(130, false, ownAverage), play(130, false, nil)
	t.Logf("130 hosts: own averages %v, %d, picker %v, %d", own.uneven, own.shed, picker.uneven, picker.shed)
	qt.Check(t, float64(picker.uneven) < 1.02*float64(own.uneven), qt.IsTrue)
}
