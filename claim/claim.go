// Package claim secures the identity of a request that must run at most once:
// one entry host alone may run it, whichever hosts the caller sent it to.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"fescuehall/store"
	"fescuehall/verdict"
)

// Lifetime is how long an identity is remembered.
const Lifetime = 24 * time.Hour

const (
	keyPrefix  = "Claim/"
	maxRounds  = 3
	settleTime = time.Second
)

// States of a claim.
const (
	claimed  = "Claimed"
	released = "Released"
	ran      = "Ran"
)

// record is what the store keeps of a claim.
type record struct {
	State string
	Host  string
	Nonce string
}

// Claimer claims identities in the platform's store. Set the fields before
// use.
type Claimer struct {
	// Host is this host's name.
	Host string
	// Nonce returns a string that no other claim has.
	Nonce func() string
	// Get reads a key, see store.Client.Get.
	Get func(ctx context.Context, key string) (store.Value, error)
	// Put writes a key, see store.Client.Put.
	Put func(ctx context.Context, key string, content []byte, expected uint64, ttl time.Duration) (uint64, error)
}

// Claim makes this host the only one that may run the request. The returned
// function records what became of it. The error is a *verdict.Failure.
func (claimer *Claimer) Claim(ctx context.Context, requestID string) (func(verdict.Verdict), error) {
	mine := record{State: claimed, Host: claimer.Host, Nonce: claimer.Nonce()}
	expected := uint64(0)
	var lastErr error
	for range maxRounds {
		revision, err := claimer.write(ctx, requestID, mine, expected)
		if err == nil {
			return claimer.settler(requestID, mine, revision), nil
		}
		if errors.Is(err, store.ErrUnavailable) {
			return nil, verdict.New(verdict.NotRun, verdict.StoreUnavailable, "claim of %q: %v", requestID, err)
		}
		known, value, readErr := claimer.read(ctx, requestID)
		switch {
		case readErr != nil && !errors.Is(readErr, store.ErrNotFound):
			return nil, verdict.New(verdict.NotRun, verdict.StoreUnavailable, "claim of %q: %v", requestID, readErr)
		case readErr == nil && known == mine:
			return claimer.settler(requestID, mine, value.Revision), nil
		case readErr == nil && known.State != released:
			return nil, taken(requestID, known)
		}
		lastErr = err
		expected = value.Revision
	}
	return nil, verdict.New(verdict.NotRun, verdict.StoreUnavailable, "claim of %q: %v", requestID, lastErr)
}

// taken says what is known of a request that another claim holds.
func taken(requestID string, known record) *verdict.Failure {
	if known.State == ran {
		return verdict.New(verdict.Ran, verdict.DuplicateRequest, "request %q ran before through host %s", requestID, known.Host)
	}
	return verdict.New(verdict.MayHaveRun, verdict.DuplicateRequest, "request %q was claimed by host %s", requestID, known.Host)
}

func (claimer *Claimer) write(ctx context.Context, requestID string, value record, expected uint64) (uint64, error) {
	content, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	return claimer.Put(ctx, keyPrefix+requestID, content, expected, Lifetime)
}

func (claimer *Claimer) read(ctx context.Context, requestID string) (record, store.Value, error) {
	value, err := claimer.Get(ctx, keyPrefix+requestID)
	if err != nil {
		return record{}, store.Value{}, err
	}
	var known record
	err = json.Unmarshal(value.Content, &known)
	return known, value, err
}

// settler returns the function that records the verdict. A claim whose verdict
// can't be recorded stays claimed, which later askers hear as MayHaveRun.
func (claimer *Claimer) settler(requestID string, mine record, revision uint64) func(verdict.Verdict) {
	return func(outcome verdict.Verdict) {
		settled := mine
		switch outcome {
		case verdict.NotRun:
			settled.State = released
		case verdict.Ran:
			settled.State = ran
		default:
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		claimer.write(ctx, requestID, settled, revision)
	}
}
