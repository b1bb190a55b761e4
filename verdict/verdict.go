// Package verdict says of every failure whether the request may have run.
package verdict

import (
	"errors"
	"fmt"
)

// Verdict says whether a request ran at a backend server.
type Verdict int

// Verdicts. The zero value is not a verdict, so that a forgotten one shows.
const (
	// NotRun means that no backend server has run the request or will.
	NotRun Verdict = iota + 1
	// MayHaveRun means that it can't be told whether the request ran.
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

// Parse returns the verdict with the given name, or MayHaveRun for a name it
// does not know: nothing may be concluded from an unknown verdict.
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
	ConnectionLost   Code = "ConnectionLost"
	ReplyMismatch    Code = "ReplyMismatch"
	BackendError     Code = "BackendError"
	Cancelled        Code = "Cancelled"
	LowCoverage      Code = "LowCoverage"
	StoreUnavailable Code = "StoreUnavailable"
	NotReady         Code = "NotReady"
	Stopping         Code = "Stopping"
	NoReplica        Code = "NoReplica"
	Misplaced        Code = "Misplaced"
	CallerLeft       Code = "CallerLeft"
	UnknownRoute     Code = "UnknownRoute"
)

// Failure is the error type of every step of a request.
type Failure struct {
	Verdict Verdict
	Code    Code
	Detail  string
	// Snapshots lists what a backend server has, with SnapshotMissing.
	Snapshots []string
}

// New returns a failure with a formatted detail.
func New(verdict Verdict, code Code, format string, args ...any) *Failure {
	return &Failure{Verdict: verdict, Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (failure *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", failure.Code, failure.Verdict, failure.Detail)
}

// WithSnapshots returns a copy that lists the snapshots a server has.
func (failure *Failure) WithSnapshots(names []string) *Failure {
	copied := *failure
	copied.Snapshots = names
	return &copied
}

// Of returns the failure in err. An error of another type becomes MayHaveRun.
func Of(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return New(MayHaveRun, BackendError, "%v", err)
}
