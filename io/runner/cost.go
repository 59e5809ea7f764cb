package runner

import (
	"time"

	"lovagestream/io/stage"
)

// Cost is the cost of one stage of one request. The work of calls whose tokens
// or reply are part of the caller's answer is useful, the rest is wasted.
type Cost struct {
	stage string
	// calls is the number of calls that may have reached a server: the sum of
	// initial calls, retries and hedges.
	calls   int
	retries int
	hedges  int
	// migrations is the number of calls that were canceled as too slow and
	// resumed on another server. Their tokens are part of the answer.
	migrations int
	// wasted is the number of calls whose work was not used, without the
	// migrated ones.
	wasted int
	// busy is the total time of all calls, wastedBusy that of the wasted ones.
	busy       time.Duration
	wastedBusy time.Duration
	usage      stage.Usage
	// wastedTokens is the number of tokens received and not used.
	wastedTokens int
}

// Stage returns the stage's name.
func (cst Cost) Stage() string { return cst.stage }

// Calls returns the number of calls made.
func (cst Cost) Calls() int { return cst.calls }

// Retries returns the number of calls made after a failure or a migration.
func (cst Cost) Retries() int { return cst.retries }

// Hedges returns the number of calls made to hedge a slow one.
func (cst Cost) Hedges() int { return cst.hedges }

// Migrations returns the number of calls that were canceled as too slow and
// resumed on another server.
func (cst Cost) Migrations() int { return cst.migrations }

// Wasted returns the number of calls whose work was not used.
func (cst Cost) Wasted() int { return cst.wasted }

// Busy returns the time that backend servers spent, over all calls.
func (cst Cost) Busy() time.Duration { return cst.busy }

// WastedBusy returns the part of Busy that was not used.
func (cst Cost) WastedBusy() time.Duration { return cst.wastedBusy }

// Usage returns the token usage of the call that completed the stage.
func (cst Cost) Usage() stage.Usage { return cst.usage }

// WastedTokens returns the number of tokens that were received and not used.
func (cst Cost) WastedTokens() int { return cst.wastedTokens }
