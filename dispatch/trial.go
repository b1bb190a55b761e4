package dispatch

import (
	"slices"
	"time"

	"fescuehall/quarantine"
	"fescuehall/verdict"
)

// shareTime is how long the answer to a request waits until other hosts know what it has
// shown about its content, since its caller sends it again to one of them.
const shareTime = 20 * time.Millisecond

// contentID returns the ID of the request's content.
func (request *Request) contentID() quarantine.ID {
	content := request.Content
	return quarantine.Identify(request.Workspace.NameOrEmpty(), content.Host, content.Method, content.Target, string(content.Body))
}

// admitContent returns how the request is to be treated, by what is known about its
// content, and the delay after which a held one may be sent again. A request from a peer
// was admitted there.
func (run *run) admitContent() (quarantine.State, time.Duration) {
	contents := run.dispatcher.Contents
	if contents == nil || run.request.fromPeer() || contents.Empty() {
		return quarantine.Clear, 0
	}
	return contents.Admit(run.request.contentID())
}

// startTrial sends the first attempt of one part, of a shard that has further replicas
// if possible. The other parts follow once it is answered.
func (run *run) startTrial() bool {
	first := int(run.dispatcher.Random() * float64(len(run.parts)))
	chosen := -1
	for step := range run.parts {
		index := (first + step) % len(run.parts)
		if run.parts[index].ended() {
			continue
		}
		replicas := len(run.candidates(run.parts[index]))
		if replicas > 0 && chosen < 0 || replicas > 1 {
			chosen = index
		}
		if replicas > 1 {
			break
		}
	}
	if chosen < 0 || !run.startAttempt(chosen, false) {
		return false
	}
	part := run.parts[chosen]
	part.hedgeAt = time.Time{}
	run.dispatcher.budget(part.service).RecordFirst(1)
	run.trial = part
	run.holdsParts = true
	return true
}

// isLost reports whether the connection to a replica was lost that had the request.
func isLost(failure *verdict.Failure) bool {
	return failure != nil && failure.Code == verdict.ConnectionLost && failure.Verdict == verdict.MayHaveRun
}

// losesReplicas reports whether so many replicas were lost under the request that it is
// sent to no others.
func (run *run) losesReplicas() bool {
	return run.dispatcher.Contents != nil && run.lost >= quarantine.MaxLost
}

// endsReplicas reports whether a failed attempt of a part is not to be repeated, since
// replicas may end because of the request.
func (run *run) endsReplicas(part *part, failure *verdict.Failure) bool {
	return run.losesReplicas() || part == run.trial && isLost(failure)
}

// recordLost records an attempt whose replica was lost, whether or not the request has
// been answered meanwhile.
func (run *run) recordLost(sentAttempt *sentAttempt) {
	contents := run.dispatcher.Contents
	if contents == nil || !isLost(sentAttempt.reply.Failure) {
		return
	}
	if contents.RecordLost(run.request.contentID(), sentAttempt.replica.ID) {
		sentAttempt.shared = run.share(quarantine.Suspect)
	}
}

// checkTrial handles the end of an attempt of a part that other parts wait for.
func (run *run) checkTrial(part *part, failure *verdict.Failure) {
	if run.holdsParts && part == run.trial && part.ended() {
		run.endTrial(failure)
	}
}

// endTrial handles the end of the trial. The other parts are sent if a replica has
// answered it. If none was reached, another part becomes the trial.
func (run *run) endTrial(failure *verdict.Failure) {
	run.holdsParts = false
	answered := failure == nil || failure.Verdict == verdict.Ran
	if answered || isLost(failure) {
		if state, changed := run.dispatcher.Contents.RecordTrial(run.request.contentID(), isLost(failure)); changed {
			run.shared = append(run.shared, run.share(state))
		}
	}
	switch {
	case answered:
		run.start()
		return
	case !isLost(failure) && run.startTrial():
		return
	}
	for _, part := range run.parts {
		if !part.ended() {
			run.endUnanswered(part)
		}
	}
}

// share tells the other hosts of the state of the request's content. The channel is
// closed when they know.
func (run *run) share(state quarantine.State) chan struct{} {
	done := make(chan struct{})
	share, id := run.dispatcher.Contents.Share, run.request.contentID()
	go func() {
		defer close(done)
		if share != nil {
			share(id, state)
		}
	}()
	return done
}

// awaitShared waits until other hosts know what the request has shown, for shareTime at
// most.
func (run *run) awaitShared() {
	if len(run.shared) == 0 {
		return
	}
	timeout := time.After(shareTime)
	for _, done := range run.shared {
		select {
		case <-done:
		case <-timeout:
			return
		}
	}
}

// withoutTrials returns the shards of a bundle that have had no attempt as a trial.
func (run *run) withoutTrials(shards []string) []string {
	if run.trial == nil {
		return shards
	}
	return slices.DeleteFunc(slices.Clone(shards), func(shard string) bool {
		return slices.ContainsFunc(run.parts, func(part *part) bool { return part.service == shard && len(part.attempts) > 0 })
	})
}
