// Package admit decides whether a request, and later each of its stages, is
// worth starting: whether it can finish within its deadline, given recent stage
// durations and the work queued ahead of it.
//
// It keeps estimates and counts, and reads no clock. It does not enforce client
// contracts, which package limit does, and it chooses no server.
package admit

import (
	"time"

	"lovagestream/core/config"
	"lovagestream/core/policy"
	"lovagestream/core/result"
)

// Query is the input of an admission decision: a request at the entry, or one
// of its stages about to start.
type Query struct {
	pip *config.Pipeline
	// stage is the index of the stage about to start, or -1 at the entry.
	stage int
	acc   *config.Account
	now   time.Time
	// left is the time until the request's deadline.
	left time.Duration
	// headroom is the fraction of left that is kept in reserve at the entry.
	headroom float64
	sts      *Stats
}

// NewQuery returns a query for a client account's request at the entry, made at
// now with the time left until its deadline; headroom is the fraction of that
// time to keep in reserve.
func NewQuery(sts *Stats, pip *config.Pipeline, acc *config.Account, now time.Time, left time.Duration, headroom float64) Query {
	return Query{sts: sts, pip: pip, stage: -1, acc: acc, now: now, left: left, headroom: headroom}
}

// AtStage returns the query for one stage, by index.
func (qry Query) AtStage(stage int) Query {
	qry.stage = stage
	return qry
}

// Decision is the result of an admission decision.
type Decision struct {
	// refusal is empty if the request is admitted.
	refusal result.Reason
	// retryAfter is the retry delay after a refusal.
	retryAfter time.Duration
	// detail describes the figures behind a refusal; it may be empty.
	detail string
	// priority is sent to the engine's queue; lower values run first.
	priority int
}

// Refusal returns the reason for a refusal, or "" if the request is admitted.
func (dec Decision) Refusal() result.Reason { return dec.refusal }

// Detail returns a description of the figures behind a refusal; it may be
// empty.
func (dec Decision) Detail() string { return dec.detail }

// RetryAfter returns the time after which a retry can succeed.
func (dec Decision) RetryAfter() time.Duration { return dec.retryAfter }

// Priority returns the priority in the engine's queue; lower values run first.
func (dec Decision) Priority() int { return dec.priority }

// Policy is an admission policy.
type Policy = policy.Policy[Query, Decision]

// None admits every request in order of arrival. It is a baseline.
type None struct{}

var _ Policy = None{}

// Name returns "none".
func (None) Name() string { return "none" }

// Decide admits the request.
func (None) Decide(Query) Decision { return Decision{} }
