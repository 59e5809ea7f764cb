package runner

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/config"
	"lovagestream/core/pace"
	"lovagestream/core/retry"
	"lovagestream/core/route"
	"lovagestream/io/stage"
)

// The causes for canceling a call's context.
var (
	errMigrate     = errors.New("the call is too slow")
	errHedgeLost   = errors.New("the other call completed first")
	errStaleChoice = errors.New("the choice of the server is out of date")
)

// maxChoiceAge is the time after which the choice of a server is checked again
// before the call is sent. It is exceeded if the process was paused.
const maxChoiceAge = 250 * time.Millisecond

// stageCall is one call of a stage, with the watcher's state of it.
type stageCall struct {
	att    *attempts
	kind   retry.Kind
	num    int
	srv    *route.Server
	routed route.Attempt
	call   *stage.Call
	// began is when the server was chosen.
	began  time.Time
	resume int
	cancel context.CancelCauseFunc
	// tokens is the number of tokens that this call received; first and last
	// are the times of the first and the last one, in Unix nanoseconds.
	tokens atomic.Int64
	first  atomic.Int64
	last   atomic.Int64
	// held is guarded by the relay's lock.
	held []heldToken

	// The following fields belong to the watcher.

	// startTokens is the number of tokens at the start of the current interval,
	// inInterval whether the call was in flight then.
	startTokens int64
	inInterval  bool
	slowChecks  int
	// decided is set once the call was migrated or a hedge was requested.
	decided bool
}

// outcome is how a call ended.
type outcome struct {
	stc  *stageCall
	rep  *stage.Reply
	err  error
	took time.Duration
	// cause is why the call's context ended, if it did.
	cause error
}

// run makes the call.
func (stc *stageCall) run(ctx context.Context) outcome {
	rnr, req := stc.att.rn.rnr, stc.att.rn.req
	rnr.wat.add(stc)
	defer rnr.wat.remove(stc)
	if err := req.checkGuard(rnr.clk.Now()); err != nil {
		return outcome{stc: stc, err: err}
	}
	rep, err := rnr.cli.Do(ctx, stc.srv, stc.call, func() { req.recordSend(stc.att.stg) }, stc.sink)
	return outcome{stc: stc, rep: rep, err: err, took: rnr.clk.Now().Sub(stc.began), cause: context.Cause(ctx)}
}

// ready is called right before the first byte may be sent. A server that began to
// leave since it was chosen gets no call. After a pause of the process or a slow
// dial, the call is sent only if its deadline has not passed and the server is still
// in the view.
func (stc *stageCall) ready() error {
	rnr := stc.att.rn.rnr
	now := rnr.clk.Now()
	if stc.srv.Leaving() {
		return errStaleChoice
	}
	if now.Sub(stc.began) <= maxChoiceAge {
		return nil
	}
	if !now.Before(stc.att.rn.req.deadline) || !slices.Contains(rnr.vws.View().Servers(stc.srv.Pool()), stc.srv) {
		return errStaleChoice
	}
	return nil
}

func (stc *stageCall) sink(offset int, text string) error {
	now := stc.att.rn.rnr.clk.Now().UnixNano()
	if stc.tokens.Add(1) == 1 {
		stc.first.Store(now)
	}
	stc.last.Store(now)
	return stc.att.rel.receive(stc, offset, text)
}

// apply carries out the pace policy's decision. A call is migrated only if the
// retry policy allows the call that resumes it.
func (stc *stageCall) apply(now time.Time, act pace.Action) {
	att := stc.att
	switch act {
	case pace.Migrate:
		if att.allow(now, retry.Retry, stc.num+1, false, false) {
			stc.cancel(errMigrate)
			stc.decided = true
		}
	case pace.Hedge:
		select {
		case att.hedgeSignal <- struct{}{}:
		default:
		}
		stc.decided = true
	case pace.Continue:
	}
}

// report reports the outcome of a call to the routing statistics.
func (stc *stageCall) report(now time.Time, res outcome) {
	var fai *stage.Error
	switch {
	case res.err == nil && stc.att.stg.Kind() != config.Generate:
		stc.routed.Completed(now)
		stc.recordWork(res.rep.Usage())
	case res.err == nil:
		stc.routed.StreamCompleted(now, stc.tokenTime())
		stc.recordWork(res.rep.Usage())
	case errors.As(res.err, &fai) && serverAtFault(fai, stc.srv):
		stc.routed.Failed(now)
	default:
		// Without this, a server so slow that none of its calls completes would
		// never be noticed.
		stc.routed.ObserveTokenTime(now, stc.tokenTime())
	}
}

// recordWork records the work of a completed call that resumed no other.
func (stc *stageCall) recordWork(use stage.Usage) {
	units := route.WorkUnits(0, 0)
	if stc.att.stg.Kind() == config.Generate {
		units = route.WorkUnits(use.CompletionTokens, use.PromptTokens-use.CachedTokens)
	}
	if stc.resume == 0 {
		stc.att.rn.rnr.sts.ObserveWork(stc.att.rn.req.pip.Name(), stc.att.stg, units)
	}
}

// minTokenSteps is the number of tokens after the first one that are needed to
// measure the time per token.
const minTokenSteps = 3

// tokenTime returns the time per token, or 0 if too few tokens were received.
func (stc *stageCall) tokenTime() time.Duration {
	steps := stc.tokens.Load() - 1
	if steps < minTokenSteps {
		return 0
	}
	return time.Duration((stc.last.Load() - stc.first.Load()) / steps)
}

// serverAtFault reports whether a failure is attributed to the server. One
// silent connection is not while other connections to the server work.
func serverAtFault(fai *stage.Error, srv *route.Server) bool {
	switch fai.Fault() {
	case stage.FaultDial, stage.FaultConnLost, stage.FaultMalformed, stage.FaultMismatch, stage.FaultTooLarge, stage.FaultStatus:
		return true
	case stage.FaultSilent:
		return srv.Connections().ServerSuspected()
	case stage.FaultCanceled, stage.FaultSink, stage.FaultNotSent:
	}
	return false
}
