// Package pace watches the progress of calls under way and says which are so
// slow that their work should go on elsewhere.
//
// It judges and measures; cutting a call, resuming it on another server or
// running it a second time is package runner's part. It reads no clock.
package pace

import (
	"time"

	"lovagestream/core/policy"
)

// Action is what to do about a call under way.
type Action int

// The actions.
const (
	// Keep lets the call go on.
	Keep Action = iota
	// Cut ends the call and resumes behind its last token on another server.
	Cut
	// Double runs the call a second time; the first whole reply wins.
	Double
)

// Ask is one call under way at one beat of the watch.
type Ask struct {
	// elapsed is the time since the call was made.
	elapsed time.Duration
	// interval is the time that increment covers.
	interval time.Duration
	// tokens is how many came in all, increment how many in the interval.
	tokens    int
	increment int
	// most bounds the tokens of the answer.
	most int
	// left is the time to the deadline.
	left time.Duration
	// high is the 95th percentile of the stage's duration, or 0.
	high time.Duration
	// slow counts the beats before this one that were slow on end.
	slow int
	// full says that new calls would have to wait at the pool's servers.
	full  bool
	peers *Peers
	// usual is the time for a token on the pool's servers with a full batch, from
	// streams that ended; 0 where none has.
	usual time.Duration
}

// NewAsk returns the ask of a call at a beat: how long it has run, the time to
// its deadline, and its peers' progress in the same interval.
func NewAsk(elapsed, left, interval time.Duration, peers *Peers) Ask {
	return Ask{elapsed: elapsed, left: left, interval: interval, peers: peers}
}

// WithTokens sets the tokens in all, in the interval, and at most.
func (ask Ask) WithTokens(tokens, increment, most int) Ask {
	ask.tokens, ask.increment, ask.most = tokens, increment, most
	return ask
}

// WithHigh sets the 95th percentile of the stage's duration.
func (ask Ask) WithHigh(high time.Duration) Ask {
	ask.high = high
	return ask
}

// WithSlow sets how many beats on end were slow before this one.
func (ask Ask) WithSlow(slow int) Ask {
	ask.slow = slow
	return ask
}

// WithFull says that new calls would have to wait at the pool's servers.
func (ask Ask) WithFull(full bool) Ask {
	ask.full = full
	return ask
}

// WithUsual sets the time for a token that ended streams of the pool showed, at a full
// batch.
func (ask Ask) WithUsual(usual time.Duration) Ask {
	ask.usual = usual
	return ask
}

// Verdict is the answer to an ask.
type Verdict struct {
	act Action
	// slow is the count to carry to the next beat.
	slow int
}

// Action returns what to do.
func (ver Verdict) Action() Action { return ver.act }

// Slow returns how many beats on end were slow, with this one.
func (ver Verdict) Slow() int { return ver.slow }

// Policy is a policy about slow calls.
type Policy = policy.Policy[Ask, Verdict]

// Off never acts. It is a baseline.
type Off struct{}

var _ Policy = Off{}

// Name returns "off".
func (Off) Name() string { return "off" }

// Decide keeps the call.
func (Off) Decide(Ask) Verdict { return Verdict{} }

// Timeout cuts a call after a fixed time. It is a baseline.
type Timeout struct {
	limit time.Duration
}

var _ Policy = Timeout{}

// NewTimeout returns a policy that cuts after a limit.
func NewTimeout(limit time.Duration) Timeout { return Timeout{limit: limit} }

// Name returns "timeout".
func (Timeout) Name() string { return "timeout" }

// Decide cuts after the limit.
func (tmo Timeout) Decide(ask Ask) Verdict {
	if ask.elapsed > tmo.limit {
		return Verdict{act: Cut}
	}
	return Verdict{}
}

// Percentile runs a call twice once it took longer than 95 in 100 of its
// stage. It is the usual way of hedging, and a baseline.
type Percentile struct{}

var _ Policy = Percentile{}

// Name returns "percentile".
func (Percentile) Name() string { return "percentile" }

// Decide doubles past the 95th percentile.
func (Percentile) Decide(ask Ask) Verdict {
	if ask.high > 0 && ask.elapsed > ask.high {
		return Verdict{act: Double}
	}
	return Verdict{}
}
