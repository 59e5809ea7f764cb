package keys

import (
	"fmt"
	"sync/atomic"
	"time"

	"lovagestream/core/result"
)

// Claim permits one request to run under its key. It is safe for concurrent
// use. The key stays bound to the request until the run's end is reported.
type Claim struct {
	number   uint64
	deadline time.Time
	// earlierCalls says that an earlier executor made calls, so that the
	// request can't be reported as not run.
	earlierCalls bool
	lastTick     *tickTime
	// committed is set before the non-repeatable call may be sent, and never
	// cleared. Until then the key can be released.
	committed atomic.Bool
}

// Number returns the request's number.
func (clm *Claim) Number() uint64 { return clm.number }

// EarlierCalls reports whether an earlier executor made calls.
func (clm *Claim) EarlierCalls() bool { return clm.earlierCalls }

// StaleClaimError reports that a claim can't be used any more.
type StaleClaimError struct {
	gap time.Duration
}

// Gap returns how long the control thread had not run, or 0 if the request's
// deadline passed.
func (err *StaleClaimError) Gap() time.Duration { return err.gap }

// Error names the cause.
func (err *StaleClaimError) Error() string {
	if err.gap > 0 {
		return fmt.Sprintf("the control thread did not run for %s; the claim on the idempotency key is stale", err.gap)
	}
	return "the deadline passed before the call"
}

var _ error = (*StaleClaimError)(nil)

// Check returns a StaleClaimError if the claim can't be used. It must be called
// right before each call, so that a process that resumes after a pause sends
// nothing more for a caller that was told "unknown" in the meantime.
func (clm *Claim) Check(now time.Time) error {
	if !now.Before(clm.deadline) {
		return &StaleClaimError{}
	}
	if gap := clm.lastTick.age(now); gap > MaxTickAge {
		return &StaleClaimError{gap: gap}
	}
	return nil
}

// Commit records that the non-repeatable call may be sent from now on. After
// that the key can't be released.
func (clm *Claim) Commit() { clm.committed.Store(true) }

// Committed reports whether the non-repeatable call may have been sent.
func (clm *Claim) Committed() bool { return clm.committed.Load() }

// RunReport reports how the run under a claim ended.
type RunReport struct {
	number    uint64
	committed bool
	// sent says that some call may have been sent.
	sent bool
	// reportedNotRun says that the caller was told "not run".
	reportedNotRun bool
	outcome        RunOutcome
}

// Complete returns the report of a run with a complete answer.
func (clm *Claim) Complete(answer []byte) RunReport {
	return RunReport{number: clm.number, committed: true, sent: true, outcome: Answered(answer)}
}

// Refuse returns the report of a run that ended with a refusal. The key is
// released unless the non-repeatable call may have been sent.
func (clm *Claim) Refuse(rfl *result.Refusal) RunReport {
	return RunReport{
		number:         clm.number,
		committed:      clm.Committed(),
		sent:           len(rfl.Stages()) > 0,
		reportedNotRun: rfl.Outcome() == result.NotRun,
		outcome:        Failed(rfl.Reason(), rfl.Detail(), rfl.Stages()),
	}
}
