// Package retry decides whether a failed call is retried and whether a slow one
// is hedged, and keeps the retry budgets that bound both.
//
// It makes no call and chooses no server. Whether a call may be repeated at all
// is decided before: a query about a stage that is not repeatable comes only if
// nothing of the earlier call was sent.
package retry

import (
	"time"

	"lovagestream/core/policy"
)

// Kind is the kind of a call.
type Kind int

// The kinds of calls. The initial call of a stage is always allowed and adds to
// the budgets.
const (
	Initial Kind = iota
	Retry
	Hedge
)

// Query is the input of a retry decision: a call about to be made.
type Query struct {
	kind     Kind
	pipeline string
	account  string
	now      time.Time
	// left is the time until the request's deadline, minDuration the least time
	// that the stage's calls usually take, or 0 if unknown.
	left        time.Duration
	minDuration time.Duration
	// attempt is the number of this call, the first being 1; maxAttempts is the
	// stage's limit.
	attempt     int
	maxAttempts int
	// budgetRatio is the preset's retry budget ratio: retries and hedges
	// allowed per initial call.
	budgetRatio float64
	// overloaded is set if the pool's servers together have no capacity left.
	overloaded bool
	// transparent is set if the call before gave no server any work, for
	// example because no connection could be made. Repeating it on another
	// server then costs no budget.
	transparent bool
}

// NewQuery returns a query about a call of a pipeline's stage, for a client
// account.
func NewQuery(kind Kind, pipeline, account string, now time.Time, left time.Duration) Query {
	return Query{kind: kind, pipeline: pipeline, account: account, now: now, left: left}
}

// WithAttempt sets the number of the call and the stage's limit.
func (qry Query) WithAttempt(attempt, maxAttempts int) Query {
	qry.attempt, qry.maxAttempts = attempt, maxAttempts
	return qry
}

// WithMinDuration sets the least time that the stage's calls usually take,
// such as a low percentile; 0 if unknown.
func (qry Query) WithMinDuration(minDuration time.Duration) Query {
	qry.minDuration = minDuration
	return qry
}

// WithBudgetRatio sets the retry budget ratio: retries and hedges allowed per
// initial call.
func (qry Query) WithBudgetRatio(ratio float64) Query {
	qry.budgetRatio = ratio
	return qry
}

// WithOverloaded sets whether all servers of the pool together are overloaded.
func (qry Query) WithOverloaded(overloaded bool) Query {
	qry.overloaded = overloaded
	return qry
}

// WithTransparent sets whether the call before gave no server any work.
func (qry Query) WithTransparent(transparent bool) Query {
	qry.transparent = transparent
	return qry
}

// Policy is a retry policy: it returns whether the call may be made.
type Policy = policy.Policy[Query, bool]

// Fixed allows calls up to the stage's limit, without a budget. It is a
// baseline.
type Fixed struct{}

var _ Policy = Fixed{}

// Name returns "fixed".
func (Fixed) Name() string { return "fixed" }

// Decide allows the initial call and retries up to the stage's limit.
func (Fixed) Decide(qry Query) bool {
	return qry.kind == Initial || qry.attempt <= qry.maxAttempts
}
