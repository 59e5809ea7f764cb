// Package admit decides whether a request, and later each of its stages, is
// worth starting: whether it can end within its deadline, given what stages
// took lately and the work that waits in front of it.
//
// It keeps estimates and counts, and reads no clock. It knows nothing of
// contracts, which package limit keeps, and chooses no server.
package admit

import (
	"time"

	"lovagestream/core/config"
	"lovagestream/core/policy"
	"lovagestream/core/result"
)

// Ask is a request at its entry, or one of its stages, about to start.
type Ask struct {
	pip *config.Pipeline
	// stage is the index of the stage about to start, or -1 at the entry.
	stage int
	acc   *config.Account
	now   time.Time
	// left is the time to the request's deadline.
	left time.Duration
	// headroom is the share of left that is kept free at the entry.
	headroom float64
	boo      *Book
}

// NewAsk returns an ask of a client account at the entry, made at now with
// some time left; headroom is the share of it to keep free.
func NewAsk(boo *Book, pip *config.Pipeline, acc *config.Account, now time.Time, left time.Duration, headroom float64) Ask {
	return Ask{boo: boo, pip: pip, stage: -1, acc: acc, now: now, left: left, headroom: headroom}
}

// AtStage returns the ask for one stage, by index.
func (ask Ask) AtStage(stage int) Ask {
	ask.stage = stage
	return ask
}

// Verdict is the answer to an ask.
type Verdict struct {
	// refusal is empty when the request goes on.
	refusal result.Reason
	// wait is when to come back after a refusal.
	wait time.Duration
	// why tells what a refusal rests on, or is empty.
	why string
	// priority goes to the engine's queue; less is sooner.
	priority int
}

// Refusal returns why the request should not go on, or "".
func (ver Verdict) Refusal() result.Reason { return ver.refusal }

// Why tells what a refusal rests on, or is empty.
func (ver Verdict) Why() string { return ver.why }

// Wait returns when coming back is worth it.
func (ver Verdict) Wait() time.Duration { return ver.wait }

// Priority returns the place in the engine's queue; less is sooner.
func (ver Verdict) Priority() int { return ver.priority }

// Policy is an admission policy.
type Policy = policy.Policy[Ask, Verdict]

// None admits everything in order of arrival. It is the baseline.
type None struct{}

var _ Policy = None{}

// Name returns "none".
func (None) Name() string { return "none" }

// Decide admits.
func (None) Decide(Ask) Verdict { return Verdict{} }
