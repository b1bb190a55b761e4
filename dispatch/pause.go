package dispatch

import (
	"slices"
	"time"

	"fescuehall/roster"
)

// withoutPaused returns the replicas that have not asked to get no requests now.
func (run *run) withoutPaused(replicas []roster.Replica) []roster.Replica {
	picker := run.dispatcher.Picker
	if !picker.AnyPaused() {
		return replicas
	}
	now := picker.Now()
	isPaused := func(replica roster.Replica) bool { return now.Before(picker.PausedUntil(replica.ID)) }
	if !slices.ContainsFunc(replicas, isPaused) {
		return replicas
	}
	return slices.DeleteFunc(slices.Clone(replicas), isPaused)
}

// awaitPause has a part without attempts wait for the first replica whose pause
// ends. It returns false when none does before the deadline.
func (run *run) awaitPause(part *part) bool {
	if len(part.attempts) > 0 {
		return false
	}
	now, limit := run.dispatcher.Picker.Now(), run.request.Deadline.Add(-deadlineMargin)
	for _, replica := range run.replicas(part.service) {
		until := run.dispatcher.Picker.PausedUntil(replica.ID)
		if until.Before(now) {
			until = now
		}
		if until.Before(limit) && (part.resumeAt.IsZero() || until.Before(part.resumeAt)) {
			part.resumeAt = until
		}
	}
	return !part.resumeAt.IsZero()
}

// resumeParts sends the first attempt of the parts that wait for the end of a pause.
func (run *run) resumeParts(now time.Time) {
	for index, part := range run.parts {
		if part.ended() || part.resumeAt.IsZero() || now.Before(part.resumeAt) {
			continue
		}
		part.resumeAt = time.Time{}
		run.startPart(index)
	}
}

// startPart sends the first attempt of a part, or has it wait for the end of a pause.
// Without a replica, the part ends.
func (run *run) startPart(index int) {
	if part := run.parts[index]; !run.startAttempt(index, false) && !run.awaitPause(part) {
		run.endUnanswered(part)
	}
}
