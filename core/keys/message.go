package keys

import (
	"time"

	"lovagestream/core/result"
)

// Message is a message between issuers and executors at different instances.
// Messages may be lost, delayed, duplicated or reordered.
type Message interface{ message() }

// RequestRef identifies one keyed request at one entry instance. An instance never
// reuses a number within an incarnation.
type RequestRef struct {
	instance Instance
	number   uint64
}

// NewRequestRef returns a reference to a request.
func NewRequestRef(instance Instance, number uint64) RequestRef {
	return RequestRef{instance: instance, number: number}
}

// Instance returns the instance that received the request.
func (ref RequestRef) Instance() Instance { return ref.instance }

// Number returns the request's number at its instance.
func (ref RequestRef) Number() uint64 { return ref.number }

// Digest is a hash of a request's pipeline and content.
type Digest [16]byte

// Bind asks the issuer to bind a key to a request. It is resent until a reply
// arrives.
type Bind struct {
	key     Key
	request RequestRef
	// account is the client account that sent the request.
	account string
	digest  Digest
}

// NewBind returns the message.
func NewBind(key Key, ref RequestRef, account string, digest Digest) Bind {
	return Bind{key: key, request: ref, account: account, digest: digest}
}

// Key returns the key to bind.
func (msg Bind) Key() Key { return msg.key }

// Request returns the request to bind the key to.
func (msg Bind) Request() RequestRef { return msg.request }

// Account returns the client account that sent the request.
func (msg Bind) Account() string { return msg.account }

// Digest returns the hash of the request's pipeline and content.
func (msg Bind) Digest() Digest { return msg.digest }

func (Bind) message() {}

// Bound confirms that the key is bound to a request, and to no other.
type Bound struct {
	request RequestRef
	// sinceNotRun is the time since a caller was last told "not run" under the
	// key; neverReportedNotRun if none was. The request does not run if a copy of
	// it may have got that answer after it arrived, see State.onBound.
	sinceNotRun time.Duration
	// earlierCalls says that an earlier executor made calls, all of them
	// repeatable.
	earlierCalls bool
}

// NewBound returns the message.
func NewBound(ref RequestRef, sinceNotRun time.Duration, earlierCalls bool) Bound {
	return Bound{request: ref, sinceNotRun: sinceNotRun, earlierCalls: earlierCalls}
}

// Request returns the request that may run.
func (msg Bound) Request() RequestRef { return msg.request }

// SinceNotRun returns the time since a caller was last told "not run".
func (msg Bound) SinceNotRun() time.Duration { return msg.sinceNotRun }

// EarlierCalls reports whether an earlier executor made calls.
func (msg Bound) EarlierCalls() bool { return msg.earlierCalls }

func (Bound) message() {}

// HeldElsewhere says that the key is bound to another request.
type HeldElsewhere struct {
	request RequestRef
	holder  RequestRef
}

// NewHeldElsewhere returns the message.
func NewHeldElsewhere(ref, holder RequestRef) HeldElsewhere {
	return HeldElsewhere{request: ref, holder: holder}
}

// Request returns the request that asked for the key.
func (msg HeldElsewhere) Request() RequestRef { return msg.request }

// Holder returns the request that the key is bound to.
func (msg HeldElsewhere) Holder() RequestRef { return msg.holder }

func (HeldElsewhere) message() {}

// Denied says that the key will not be bound to a request.
type Denied struct {
	request RequestRef
	outcome result.Outcome
	reason  result.Reason
}

// NewDenied returns the message.
func NewDenied(ref RequestRef, outcome result.Outcome, reason result.Reason) Denied {
	return Denied{request: ref, outcome: outcome, reason: reason}
}

// Request returns the request that asked for the key.
func (msg Denied) Request() RequestRef { return msg.request }

// Outcome returns the proven outcome of the request, NotRun or Unknown.
func (msg Denied) Outcome() result.Outcome { return msg.outcome }

// Reason returns the machine-readable reason.
func (msg Denied) Reason() result.Reason { return msg.reason }

func (Denied) message() {}

// Release gives a key back to its issuer: the request has not made its
// non-repeatable call and never will.
type Release struct {
	key     Key
	request RequestRef
	// noCalls says that the request made no call at all.
	noCalls bool
	// reportedNotRun says that the caller was told "not run".
	reportedNotRun bool
}

// NewRelease returns the message.
func NewRelease(key Key, ref RequestRef, noCalls, reportedNotRun bool) Release {
	return Release{key: key, request: ref, noCalls: noCalls, reportedNotRun: reportedNotRun}
}

// Key returns the key that is released.
func (msg Release) Key() Key { return msg.key }

// Request returns the request that releases the key.
func (msg Release) Request() RequestRef { return msg.request }

// NoCalls reports whether the request made no call at all.
func (msg Release) NoCalls() bool { return msg.noCalls }

// ReportedNotRun reports whether the caller was told "not run".
func (msg Release) ReportedNotRun() bool { return msg.reportedNotRun }

func (Release) message() {}

// Fetch asks the executor for the outcome of its run. It is resent until the
// run has ended.
type Fetch struct {
	holder  RequestRef
	request RequestRef
}

// NewFetch returns the message.
func NewFetch(holder, ref RequestRef) Fetch { return Fetch{holder: holder, request: ref} }

// Holder returns the request whose run is meant.
func (msg Fetch) Holder() RequestRef { return msg.holder }

// Request returns the request that waits for the outcome.
func (msg Fetch) Request() RequestRef { return msg.request }

func (Fetch) message() {}

// Phase is the progress of a run. Its values are sent to other instances.
type Phase int

// The phases that an executor reports.
const (
	// Running: the run is in progress.
	Running Phase = iota
	// Done: the run ended; its outcome is included.
	Done
	// Released: the request released the key.
	Released
	// NoRecord: this instance has no record of the run.
	NoRecord
)

// FetchReply is the reply to a Fetch.
type FetchReply struct {
	request RequestRef
	phase   Phase
	outcome RunOutcome
}

// NewFetchReply returns the message.
func NewFetchReply(ref RequestRef, phase Phase, ro RunOutcome) FetchReply {
	return FetchReply{request: ref, phase: phase, outcome: ro}
}

// Request returns the request that sent the Fetch.
func (msg FetchReply) Request() RequestRef { return msg.request }

// Phase returns the progress of the run.
func (msg FetchReply) Phase() Phase { return msg.phase }

// RunOutcome returns the outcome of the run if the phase is Done.
func (msg FetchReply) RunOutcome() RunOutcome { return msg.outcome }

func (FetchReply) message() {}

// RunOutcome is the outcome of a run, kept for resends of the request.
type RunOutcome struct {
	// answer is the complete answer, or nil.
	answer []byte
	// outcome is never NotRun: a run that ended as not run releases its key.
	outcome result.Outcome
	reason  result.Reason
	detail  string
	stages  []string
}

// Answered returns the outcome of a run with a complete answer.
func Answered(answer []byte) RunOutcome {
	return RunOutcome{answer: answer, outcome: result.Complete}
}

// Failed returns the outcome of a run without a complete answer.
func Failed(reason result.Reason, detail string, stages []string) RunOutcome {
	return RunOutcome{outcome: result.Unknown, reason: reason, detail: detail, stages: stages}
}

// Answer returns the complete answer, or nil.
func (ro RunOutcome) Answer() []byte { return ro.answer }

// Outcome returns Complete or Unknown.
func (ro RunOutcome) Outcome() result.Outcome { return ro.outcome }

// Reason returns why there is no complete answer.
func (ro RunOutcome) Reason() result.Reason { return ro.reason }

// Detail returns a sentence for a human reader.
func (ro RunOutcome) Detail() string { return ro.detail }

// Stages returns the stages that may have run.
func (ro RunOutcome) Stages() []string { return ro.stages }

var (
	_ Message = Bind{}
	_ Message = Bound{}
	_ Message = HeldElsewhere{}
	_ Message = Denied{}
	_ Message = Release{}
	_ Message = Fetch{}
	_ Message = FetchReply{}
)
