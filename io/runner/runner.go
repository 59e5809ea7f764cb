// Package runner runs an admitted request through the stages of its pipeline. A
// stage runs as soon as its inputs are available, each call goes to a server
// that the routing policy chose, and a failed or slow repeatable call is
// retried on another server within the deadline and the retry budget.
//
// The package is independent of the callers' protocol, and its Policies make
// the decisions. The outcome that a refused caller gets follows from the request's
// SendTracker alone.
package runner

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core"
	"lovagestream/core/admit"
	"lovagestream/core/config"
	"lovagestream/core/result"
	"lovagestream/io/clock"
	"lovagestream/io/stage"
)

// defaultRetryAfter is the retry delay after a condition that is usually
// temporary: no available server, or a failed stage.
const defaultRetryAfter = time.Second

// Views returns the latest snapshot of the control state.
type Views interface {
	View() *core.View
}

// Runner runs requests.
type Runner struct {
	vws  Views
	cli  *stage.Client
	clk  clock.Service
	pols Policies
	sts  *admit.Stats
	wat  *watcher
	zone string
	// seed and count seed each random source. count is also the source of
	// nonces.
	seed  uint64
	count atomic.Uint64
	// prunedRevision is the configuration revision that sts was last pruned to.
	prunedRevision uint64
	// prb is nil if requests that crash servers are not detected.
	prb Prober
}

// New returns a runner for an entry instance in a zone. Watch must run
// concurrently.
func New(vws Views, cli *stage.Client, clk clock.Service, pols Policies, zone string, seed uint64) *Runner {
	rnr := &Runner{vws: vws, cli: cli, clk: clk, pols: pols, sts: admit.NewStats(), zone: zone, seed: seed}
	rnr.wat = newWatcher(rnr)
	return rnr
}

// prune drops the measurements of stages that are no longer configured.
func (rnr *Runner) prune(doc *config.Document) {
	if doc.Revision() != rnr.prunedRevision {
		rnr.sts.Prune(doc)
		rnr.prunedRevision = doc.Revision()
	}
}

// Run runs a request to its end. Exactly one of the results is nil.
func (rnr *Runner) Run(ctx context.Context, req *Request) (*Answer, *result.Refusal) {
	now := rnr.clk.Now()
	if !req.deadline.After(now) {
		return nil, req.sendTracker.Refuse(result.DeadlinePassed, 0, nil, "the deadline passed before the first stage")
	}
	if rnr.crashesServers(now, req) {
		return nil, req.sendTracker.Refuse(result.RequestCrashes, 0, nil, crashDetail)
	}
	if dec := rnr.pols.adm.Decide(rnr.admitQuery(now, req)); dec.Refusal() != "" {
		return nil, req.sendTracker.Refuse(dec.Refusal(), dec.RetryAfter(), nil, detail("the request could not end within its deadline now", dec.Detail()))
	}
	dctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	run := newRun(rnr, req)
	defer run.tkt.Release()
	err := run.runStages(dctx)
	req.costs = run.costs
	if err == nil {
		rnr.reportAnswered(req)
		return run.answer(), nil
	}
	return nil, rnr.refusal(ctx, dctx, req, err)
}

// detail joins a message and the figures behind it.
func detail(text, why string) string {
	if why == "" {
		return text
	}
	return text + ": " + why
}

func (rnr *Runner) admitQuery(now time.Time, req *Request) admit.Query {
	return admit.NewQuery(rnr.sts, req.pip, req.acc, now, req.deadline.Sub(now), req.doc.Preset().Headroom())
}

// refusal converts the first failure to the caller's refusal.
func (rnr *Runner) refusal(ctx, dctx context.Context, req *Request, err error) *result.Refusal {
	var nse *noServerError
	var inf *infeasibleError
	switch {
	case ctx.Err() != nil:
		return req.sendTracker.Refuse(result.CallerLeft, 0, err, "the caller left")
	case dctx.Err() != nil, errors.Is(err, context.DeadlineExceeded):
		return req.sendTracker.Refuse(result.DeadlinePassed, 0, err, "the deadline passed")
	case rnr.crashesServers(rnr.clk.Now(), req):
		return req.sendTracker.Refuse(result.RequestCrashes, 0, err, crashDetail)
	case errors.As(err, &nse):
		return req.sendTracker.Refuse(result.NoServer, defaultRetryAfter, err, nse.Error())
	case errors.As(err, &inf):
		return req.sendTracker.Refuse(inf.reason, max(inf.wait, defaultRetryAfter), err, inf.Error())
	}
	return req.sendTracker.Refuse(result.StageFailed, defaultRetryAfter, err, "a stage failed on every attempt")
}

const crashDetail = "the request was in flight at too many backend servers that died"

// noServerError is the error that no server of a pool is available.
type noServerError struct {
	pool string
}

// Error names the pool.
func (nse *noServerError) Error() string {
	return fmt.Sprintf("no backend server of pool %s takes calls", nse.pool)
}

// infeasibleError is the error that a stage was not started because the request
// can no longer complete within its deadline.
type infeasibleError struct {
	stage  string
	reason result.Reason
	wait   time.Duration
}

// Error names the stage.
func (inf *infeasibleError) Error() string {
	return fmt.Sprintf("too little time was left for stage %s", inf.stage)
}
