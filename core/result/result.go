// Package result defines the outcome of a request that is reported to the
// caller: complete, not run, or unknown. It tracks the calls that were sent, on
// which "not run" depends.
//
// It is independent of the protocol: the HTTP layer maps a Refusal to a status
// and a body.
package result

import (
	"fmt"
	"sync"
	"time"
)

// Outcome is the machine-readable outcome of a request.
type Outcome string

// The outcomes.
const (
	// Complete: the caller got the complete answer.
	Complete Outcome = "complete"
	// NotRun: no attempt executed any part of the request.
	NotRun Outcome = "not-run"
	// Unknown: some part of the request ran or may have run.
	Unknown Outcome = "unknown"
)

// Reason says why a request was refused or abandoned. The values are stable, so
// that clients can branch on them.
type Reason string

// The reasons.
const (
	BadRequest      Reason = "bad-request"
	BodyTooLarge    Reason = "body-too-large"
	HeadersTooLarge Reason = "headers-too-large"
	NotAcceptable   Reason = "not-acceptable"
	NotJSON         Reason = "unsupported-media-type"
	NoPath          Reason = "no-such-path"
	WrongMethod     Reason = "method-not-allowed"
	Unauthorized    Reason = "unauthorized"
	NoPipeline      Reason = "no-such-pipeline"
	OverContract    Reason = "over-contract"
	Overloaded      Reason = "overloaded"
	DeadlineTooSoon Reason = "deadline-too-soon"
	DeadlinePassed  Reason = "deadline-passed"
	NoServer        Reason = "no-backend-server"
	NotReady        Reason = "not-ready"
	Stopping        Reason = "stopping"
	KeyRequired     Reason = "idempotency-key-required"
	KeyRefused      Reason = "idempotency-key-refused"
	KeyInUse        Reason = "idempotency-key-in-use"
	KeyLost         Reason = "idempotency-key-lost"
	RequestCrashes  Reason = "request-crashes-servers"
	StageFailed     Reason = "stage-failed"
	CallerLeft      Reason = "caller-left"
	Internal        Reason = "internal"
)

// Refusal is the result of a request without a complete answer. It is an error.
type Refusal struct {
	outcome Outcome
	reason  Reason
	detail  string
	// stages names the stages whose calls may have run, in the order of their
	// first call. It is empty if the outcome is NotRun, or if another entry
	// instance handled the request.
	stages []string
	// retryAfter is 0 if a retry is of no use.
	retryAfter time.Duration
	cause      error
}

// Outcome returns NotRun or Unknown.
func (rfl *Refusal) Outcome() Outcome { return rfl.outcome }

// Reason returns the machine-readable reason.
func (rfl *Refusal) Reason() Reason { return rfl.reason }

// Detail returns a sentence for a human reader.
func (rfl *Refusal) Detail() string { return rfl.detail }

// Stages returns the stages that may have run.
func (rfl *Refusal) Stages() []string { return rfl.stages }

// RetryAfter returns the delay after which to retry, or 0 if a retry is of no
// use.
func (rfl *Refusal) RetryAfter() time.Duration { return rfl.retryAfter }

// WithUnknownOutcome returns the same refusal with the outcome Unknown. It is
// used for a request with an idempotency key, which may have run before at
// another entry instance.
func (rfl *Refusal) WithUnknownOutcome() *Refusal {
	cpy := *rfl
	cpy.outcome = Unknown
	return &cpy
}

// Unwrap returns the cause, or nil.
func (rfl *Refusal) Unwrap() error { return rfl.cause }

// Error returns outcome, reason and detail.
func (rfl *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", rfl.outcome, rfl.reason, rfl.detail)
}

var _ error = (*Refusal)(nil)

// SendTracker records which calls of a request were sent, over all attempts. It
// decides alone whether the outcome of a refusal is NotRun. The zero value is a
// request of which nothing was sent. It is safe for concurrent use.
//
// RecordSend must be called before the first byte of a call is passed to the
// transport. After that no refusal is NotRun, whatever the transport reports,
// because its errors don't show whether the server received the bytes.
type SendTracker struct {
	mu sync.Mutex
	// stages holds each stage once, in the order of its first call.
	stages []string
}

// RecordSend records that a call of a stage is about to be sent.
func (trk *SendTracker) RecordSend(stage string) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	for _, stg := range trk.stages {
		if stg == stage {
			return
		}
	}
	trk.stages = append(trk.stages, stage)
}

// Sent reports whether any call may have been sent.
func (trk *SendTracker) Sent() bool {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	return len(trk.stages) > 0
}

// Refuse returns a refusal of the request. Its outcome is NotRun if no call was
// sent, and Unknown otherwise.
func (trk *SendTracker) Refuse(reason Reason, retryAfter time.Duration, cause error, detail string) *Refusal {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	rfl := &Refusal{outcome: NotRun, reason: reason, detail: detail, retryAfter: retryAfter, cause: cause}
	if len(trk.stages) > 0 {
		rfl.outcome = Unknown
		rfl.stages = append([]string(nil), trk.stages...)
	}
	return rfl
}

// UnknownRefusal returns a refusal with the outcome Unknown, for a request
// whose outcome can't be determined any more, such as when the executor of its
// idempotency key is gone.
func UnknownRefusal(reason Reason, detail string) *Refusal {
	return &Refusal{outcome: Unknown, reason: reason, detail: detail}
}

// RelayedRefusal returns a refusal with an outcome that was determined
// elsewhere: by another run of the same request, or by the issuer of its
// idempotency key.
func RelayedRefusal(out Outcome, reason Reason, retryAfter time.Duration, detail string, stages []string) *Refusal {
	return &Refusal{outcome: out, reason: reason, retryAfter: retryAfter, detail: detail, stages: stages}
}
