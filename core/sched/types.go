package sched

import (
	"time"

	"lovagestream/core/call"
	"lovagestream/core/fair"
	"lovagestream/core/pause"
	"lovagestream/core/place"
	"lovagestream/core/stock"
	"lovagestream/core/table"
)

// Key identifies a job: one attempt of a caller at one entry instance.
type Key struct {
	Owner string
	ID    string
}

// Spec is a request as its entry instance submits it. Its fields are exported
// for the message decoder.
type Spec struct {
	Key Key
	// Zone is the zone of the entry instance.
	Zone    string
	Service string
	Stages  []table.Stage
	Pieces  []int
	// PieceKey is the input of the first stages.
	PieceKey        string
	Parts           []call.PromptPart
	PromptTokens    int
	MaxOutputTokens int
	// Priority is that of the client account, if it has one. Urgency is that of
	// the route and orders requests of equal priority. 0 goes first.
	Priority int
	Urgency  int
	Account  string
	// Arrived is when the caller's attempt began, Target the time until which
	// the first event is on time, GiveUp when the caller gives up without a
	// first event, and Deadline when the request must be over.
	Arrived  time.Time
	Target   time.Time
	GiveUp   time.Time
	Deadline time.Time
	// Fingerprint is a fingerprint of the request, which identifies a refused
	// caller that returns; 0 if unknown.
	Fingerprint uint64
	// Attempt distinguishes attempts of one owner with the same ID; 0 for
	// owners that keep no results.
	Attempt uint64
	// HeldResults are the results that servers hold for this request, if
	// another instance had it before.
	HeldResults []HeldResults
	// Avoid are the engines that tried this request before. Retry marks a
	// retry, which was admitted before.
	Avoid []string
	Retry bool
	// Version is the version of the software that the engine must have; empty for any.
	Version string
	// GoesOn is set if the request takes up a stream that is known to have begun. It
	// was admitted before.
	GoesOn bool
	// Paused are the servers that have paused requests of the entry instance.
	Paused []pause.Server
}

// Item is one piece in a call.
type Item struct {
	ID        string
	Stage     int
	Piece     int
	Remaining time.Duration
	// Key is set for stages without dependencies, Inputs for the others.
	Key    string
	Inputs []string
}

// Call is a call to a backend server.
type Call struct {
	Number uint64
	Server stock.Entry
	Items  []Item
	// Timeout is the call's timeout.
	Timeout time.Duration
}

// PieceStatus says how one piece of a call ended.
type PieceStatus uint8

const (
	// Completed means that the piece has a result.
	Completed PieceStatus = iota
	// Late means that no time was left when the piece was due to run.
	Late
	// InputGone means that an input is missing.
	InputGone
	// OutOfMemory means that the server had no memory for the result.
	OutOfMemory
	// OtherError covers all other failures.
	OtherError
)

// Result is the result of one piece.
type Result struct {
	Handle string
	Status PieceStatus
}

// Outcome is the state of a job, as reported to its entry instance.
type Outcome uint8

const (
	// Refused jobs will not run, and were sent to no engine. Their results are
	// freed.
	Refused Outcome = iota + 1
	// Dropped jobs can't continue, for a reason other than load.
	Dropped
	// Placed jobs go to the named engine.
	Placed
	// Moved jobs continue at another instance, named by the server's address.
	Moved
)

// String returns the outcome as it is named in logs.
func (out Outcome) String() string {
	switch out {
	case Refused:
		return "refused"
	case Dropped:
		return "dropped"
	case Placed:
		return "placed"
	case Moved:
		return "moved"
	}
	return "unknown"
}

// Decision is sent to a job's entry instance.
type Decision struct {
	Key     Key
	Outcome Outcome
	Reason  string
	// RetryAfter is when a refused caller may retry.
	RetryAfter time.Duration
	// Estimate is the estimated time to the first event: at the engine for a
	// placement, and for a refusal the time that exceeded the bound Allowed.
	Estimate time.Duration
	Allowed  time.Duration
	// Standing is the account's standing at the resource that it waits longest
	// for, if its share was the reason; its Resource is "" otherwise.
	Standing fair.Standing
	Server   stock.Entry
	Inputs   []string
}

// Effects carries out the scheduler's decisions. Its methods must not block.
type Effects interface {
	// Call starts a call; its end is reported through CallEnded.
	Call(Call)
	// CancelCall cancels a call that timed out; its end is not reported.
	CancelCall(number uint64)
	// FreeResults frees results at the server that holds them.
	FreeResults(address string, handles []string)
	// Notify sends a decision to the job's entry instance.
	Notify(Decision)
	// Ejected reports that the end of a run, as its owner reported it, ejected an
	// engine.
	Ejected(engine, owner string, how place.Outcome)
	// ReportResults reports held results to the job's entry instance.
	ReportResults(HeldResults)
}
