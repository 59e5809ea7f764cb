// Package pace watches the progress of in-flight calls and decides which are so
// slow that their work should continue on another server.
//
// It only decides; package runner cancels, resumes and hedges calls. It reads
// no clock.
package pace

import (
	"time"

	"lovagestream/core/policy"
)

// Action is what to do about an in-flight call.
type Action int

// The possible actions.
const (
	// Continue leaves the call as it is.
	Continue Action = iota
	// Migrate cancels the call and resumes after its last token on another
	// server.
	Migrate
	// Hedge sends the call a second time; the first complete reply wins.
	Hedge
)

// CallState is the state of one in-flight call at one check.
type CallState struct {
	// elapsed is the time since the call was sent.
	elapsed time.Duration
	// interval is the time that increment covers.
	interval time.Duration
	// tokens is the number of tokens received so far, increment the number in
	// the interval.
	tokens    int
	increment int
	// maxTokens is the longest answer, in tokens.
	maxTokens int
	// remaining is the time until the deadline.
	remaining time.Duration
	// p95 is the 95th percentile of the stage's duration; 0 if unknown.
	p95 time.Duration
	// slowChecks is the number of consecutive slow checks before this one.
	slowChecks int
	// poolFull is set if new calls would queue at the pool's servers.
	poolFull bool
	peers    *Peers
	// tokenTime is the time per token of the pool's servers at a full batch,
	// from completed streams; 0 if unknown.
	tokenTime time.Duration
}

// NewCallState returns the state of a call that was sent elapsed ago and has
// remaining time until its deadline. peers holds its peers' progress in the
// same interval.
func NewCallState(elapsed, remaining, interval time.Duration, peers *Peers) CallState {
	return CallState{elapsed: elapsed, remaining: remaining, interval: interval, peers: peers}
}

// WithTokens sets the tokens received so far, the tokens in the interval, and
// the most tokens of the answer.
func (sta CallState) WithTokens(tokens, increment, maxTokens int) CallState {
	sta.tokens, sta.increment, sta.maxTokens = tokens, increment, maxTokens
	return sta
}

// WithP95 sets the 95th percentile of the stage's duration.
func (sta CallState) WithP95(p95 time.Duration) CallState {
	sta.p95 = p95
	return sta
}

// WithSlowChecks sets the number of consecutive slow checks before this one.
func (sta CallState) WithSlowChecks(slowChecks int) CallState {
	sta.slowChecks = slowChecks
	return sta
}

// WithPoolFull sets whether new calls would queue at the pool's servers.
func (sta CallState) WithPoolFull(poolFull bool) CallState {
	sta.poolFull = poolFull
	return sta
}

// WithTokenTime sets the pool's time per token at a full batch, from completed
// streams.
func (sta CallState) WithTokenTime(tokenTime time.Duration) CallState {
	sta.tokenTime = tokenTime
	return sta
}

// Decision is the answer of a policy.
type Decision struct {
	action Action
	// slowChecks is the count to pass to the next check.
	slowChecks int
}

// Action returns what to do.
func (dec Decision) Action() Action { return dec.action }

// SlowChecks returns the number of consecutive slow checks, including this one.
func (dec Decision) SlowChecks() int { return dec.slowChecks }

// Policy decides what to do about slow calls.
type Policy = policy.Policy[CallState, Decision]

// Off never acts. It is a baseline.
type Off struct{}

var _ Policy = Off{}

// Name returns "off".
func (Off) Name() string { return "off" }

// Decide returns Continue.
func (Off) Decide(CallState) Decision { return Decision{} }

// Timeout migrates a call after a fixed time. It is a baseline.
type Timeout struct {
	limit time.Duration
}

var _ Policy = Timeout{}

// NewTimeout returns a policy that migrates calls after limit.
func NewTimeout(limit time.Duration) Timeout { return Timeout{limit: limit} }

// Name returns "timeout".
func (Timeout) Name() string { return "timeout" }

// Decide returns Migrate after the limit.
func (tmo Timeout) Decide(sta CallState) Decision {
	if sta.elapsed > tmo.limit {
		return Decision{action: Migrate}
	}
	return Decision{}
}

// Percentile hedges a call that took longer than 95 in 100 calls of its stage.
// It is the usual way of hedging, and a baseline.
type Percentile struct{}

var _ Policy = Percentile{}

// Name returns "percentile".
func (Percentile) Name() string { return "percentile" }

// Decide returns Hedge after the 95th percentile.
func (Percentile) Decide(sta CallState) Decision {
	if sta.p95 > 0 && sta.elapsed > sta.p95 {
		return Decision{action: Hedge}
	}
	return Decision{}
}
