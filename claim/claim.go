// Package claim claims the IDs of requests in the store. Only the entry host
// whose claim succeeded may run the request, so that it runs at most once,
// whichever hosts the caller sent it to.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"fescuehall/store"
	"fescuehall/verdict"
)

// Lifetime is how long the store keeps a claim.
const Lifetime = 24 * time.Hour

const (
	keyPrefix     = "Claim/"
	maxAttempts   = 3
	recordTimeout = time.Second
)

// States of a claim.
const (
	// stateClaimed means that the request may have run.
	stateClaimed = "Claimed"
	// stateReleased means that the request has not run and may be claimed again.
	stateReleased = "Released"
	// stateRan means that the request ran.
	stateRan = "Ran"
)

// record is a claim as the store holds it.
type record struct {
	State string
	Host  string
	Nonce string
}

// Claimer claims request IDs in the store. Set the fields before use.
type Claimer struct {
	// Host is this host's name.
	Host string
	// Nonce returns a string that is unique to a claim.
	Nonce func() string
	// Get reads a key, see store.Client.Get.
	Get func(ctx context.Context, key string) (store.Value, error)
	// Put writes a key, see store.Client.Put.
	Put func(ctx context.Context, key string, content []byte, expected uint64, ttl time.Duration) (uint64, error)
}

// Claim makes this host the only one that may run the request. The returned
// function records in the claim whether the request ran. The error is a
// *verdict.Failure.
func (claimer *Claimer) Claim(ctx context.Context, requestID string) (func(verdict.Verdict), error) {
	record := record{State: stateClaimed, Host: claimer.Host, Nonce: claimer.Nonce()}
	expected := uint64(0)
	var lastErr error
	for range maxAttempts {
		revision, err := claimer.write(ctx, requestID, record, expected)
		if err == nil {
			return claimer.verdictRecorder(requestID, record, revision), nil
		}
		if errors.Is(err, store.ErrUnavailable) {
			return nil, verdict.New(verdict.NotRun, verdict.StoreUnavailable, "claim of request %q: %v", requestID, err)
		}
		stored, value, readErr := claimer.read(ctx, requestID)
		switch {
		case readErr != nil && !errors.Is(readErr, store.ErrNotFound):
			return nil, verdict.New(verdict.NotRun, verdict.StoreUnavailable, "claim of request %q: %v", requestID, readErr)
		case readErr == nil && stored == record:
			// The write took effect although it failed, as when its reply was lost.
			return claimer.verdictRecorder(requestID, record, value.Revision), nil
		case readErr == nil && stored.State != stateReleased:
			return nil, duplicateFailure(requestID, stored)
		}
		lastErr = err
		expected = value.Revision
	}
	return nil, verdict.New(verdict.NotRun, verdict.StoreUnavailable, "claim of request %q: %v", requestID, lastErr)
}

// duplicateFailure returns the failure of a request that another claim holds.
func duplicateFailure(requestID string, stored record) *verdict.Failure {
	if stored.State == stateRan {
		return verdict.New(verdict.Ran, verdict.DuplicateRequest, "request %q already ran through host %s", requestID, stored.Host)
	}
	return verdict.New(verdict.MayHaveRun, verdict.DuplicateRequest, "request %q is already claimed by host %s", requestID, stored.Host)
}

func (claimer *Claimer) write(ctx context.Context, requestID string, record record, expected uint64) (uint64, error) {
	content, err := json.Marshal(record)
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
	var stored record
	err = json.Unmarshal(value.Content, &stored)
	return stored, value, err
}

// verdictRecorder returns the function that records the verdict in the claim.
// If that fails, the request stays claimed, and later requests with its ID get
// MayHaveRun.
func (claimer *Claimer) verdictRecorder(requestID string, record record, revision uint64) func(verdict.Verdict) {
	return func(outcome verdict.Verdict) {
		updated := record
		switch outcome {
		case verdict.NotRun:
			updated.State = stateReleased
		case verdict.Ran:
			updated.State = stateRan
		default:
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		claimer.write(ctx, requestID, updated, revision)
	}
}
