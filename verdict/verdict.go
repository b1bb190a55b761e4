// Package verdict defines the failures of requests. Each failure tells whether
// the request may have run.
package verdict

import (
	"errors"
	"fmt"
)

// Verdict tells whether a request ran at a backend server.
type Verdict int

// Verdicts. The zero value is not a verdict, so that an unset one is noticed.
// Greater values are worse: combining verdicts takes their maximum.
const (
	// NotRun means that no backend server has run the request or will run it.
	NotRun Verdict = iota + 1
	// MayHaveRun means that it is unknown whether the request ran.
	MayHaveRun
	// Ran means that a backend server ran the request.
	Ran
)

// String returns the name used in answers and logs.
func (verdict Verdict) String() string {
	switch verdict {
	case NotRun:
		return "NotRun"
	case MayHaveRun:
		return "MayHaveRun"
	case Ran:
		return "Ran"
	}
	return fmt.Sprintf("Verdict(%d)", int(verdict))
}

// Parse returns the verdict with the given name. It returns MayHaveRun for an
// unknown name, since nothing may be concluded from that.
func Parse(name string) Verdict {
	for _, verdict := range []Verdict{NotRun, Ran} {
		if verdict.String() == name {
			return verdict
		}
	}
	return MayHaveRun
}

// Code names the cause of a failure in answers, logs and messages.
type Code string

// Codes of failures.
const (
	BadRequest       Code = "BadRequest"
	UnknownService   Code = "UnknownService"
	UnknownKind      Code = "UnknownKind"
	DuplicateRequest Code = "DuplicateRequest"
	DeadlinePassed   Code = "DeadlinePassed"
	Overload         Code = "Overload"
	Shed             Code = "Shed"
	Draining         Code = "Draining"
	SnapshotMissing  Code = "SnapshotMissing"
	Unreachable      Code = "Unreachable"
	Silent           Code = "Silent"
	ConnectionLost   Code = "ConnectionLost"
	ReplyMismatch    Code = "ReplyMismatch"
	ReplyTooLarge    Code = "ReplyTooLarge"
	MemoryExhausted  Code = "MemoryExhausted"
	BackendError     Code = "BackendError"
	Cancelled        Code = "Cancelled"
	LowCoverage      Code = "LowCoverage"
	StoreUnavailable Code = "StoreUnavailable"
	NotReady         Code = "NotReady"
	Stopping         Code = "Stopping"
	Paused           Code = "Paused"
	NoReplica        Code = "NoReplica"
	Misplaced        Code = "Misplaced"
	CallerLeft       Code = "CallerLeft"
	UnknownRoute     Code = "UnknownRoute"
	UnknownKey       Code = "UnknownKey"
	AllowanceUsed    Code = "AllowanceUsed"
	AllowanceUnknown Code = "AllowanceUnknown"
	LimitReached     Code = "LimitReached"
)

// Failure is the error type of all steps that serve a request.
type Failure struct {
	Verdict Verdict
	Code    Code
	Detail  string
	// Snapshots lists the snapshots that a backend server holds. It is set with
	// SnapshotMissing.
	Snapshots []string
}

// New returns a failure whose detail is formatted as by fmt.Sprintf.
func New(verdict Verdict, code Code, format string, args ...any) *Failure {
	return &Failure{Verdict: verdict, Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (failure *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", failure.Code, failure.Verdict, failure.Detail)
}

// WithSnapshots returns a copy that lists the snapshots that a backend server
// holds.
func (failure *Failure) WithSnapshots(names []string) *Failure {
	copied := *failure
	copied.Snapshots = names
	return &copied
}

// FailureOf returns the failure that err wraps. Any other error becomes a
// failure with MayHaveRun and BackendError.
func FailureOf(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return New(MayHaveRun, BackendError, "%v", err)
}
