package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lovagestream/core/config"
	"lovagestream/core/retry"
	"lovagestream/core/route"
	"lovagestream/io/group"
	"lovagestream/io/stage"
)

// maxDials bounds the calls of one stage whose dial failed. They cost the
// servers nothing and don't count as attempts.
const maxDials = 3

// attempts holds the calls made for one stage of one request. Its fields belong
// to the stage's goroutine unless stated otherwise.
type attempts struct {
	rn           *run
	stg          *config.Stage
	inputs       []stage.Input
	promptTokens int
	priority     int
	rel          *relay
	cost         Cost
	tried        []*route.Server
	// lost are the calls that ended with their connection, whose servers are not
	// checked yet.
	lost        []*stageCall
	failedDials int
	// hedgeSignal receives a value from the watcher when the call should be
	// hedged.
	hedgeSignal chan struct{}
}

func newAttempts(rn *run, stg *config.Stage, snk stage.Sink, priority int) *attempts {
	att := &attempts{rn: rn, stg: stg, inputs: rn.inputs(stg), priority: priority, hedgeSignal: make(chan struct{}, 1)}
	att.cost.stage = stg.Name()
	att.rel = &relay{snk: snk, count: func() { rn.req.tokens.Add(1) }}
	if stg.Kind() == config.Generate {
		for _, inp := range att.inputs {
			att.promptTokens += len(inp.Data) / bytesPerToken
		}
	}
	return att
}

// bytesPerToken is the usual length of a token in a prompt, in bytes.
const bytesPerToken = 4

// run makes calls until one completes or no further call is allowed.
func (att *attempts) run(ctx context.Context) (*stage.Reply, error) {
	att.allow(att.rn.rnr.clk.Now(), retry.Initial, 1, false, false)
	kind := retry.Initial
	for num := 1; ; num++ {
		rep, err := att.race(ctx, num, kind)
		if err == nil {
			return rep, nil
		}
		if !att.retryAllowed(ctx, err, num) {
			return nil, err
		}
		kind = retry.Retry
	}
}

// retryAllowed reports whether another attempt is allowed after a failure. A
// stage that is not repeatable is retried only if the failure proves that its
// call was not sent.
func (att *attempts) retryAllowed(ctx context.Context, err error, num int) bool {
	att.probeLost(ctx)
	if ctx.Err() != nil || att.rn.rnr.crashesServers(att.rn.rnr.clk.Now(), att.rn.req) {
		return false
	}
	if errors.Is(err, errStaleChoice) || errors.Is(err, errMigrate) {
		// Nothing was sent, or the watcher has already asked the retry policy
		// for the next call.
		return true
	}
	var fai *stage.Error
	if !errors.As(err, &fai) || fai.Fault() == stage.FaultSink {
		return false
	}
	now := att.rn.rnr.clk.Now()
	if fai.Fault() == stage.FaultDial {
		att.failedDials++
		return att.failedDials < maxDials && att.allow(now, retry.Retry, num+1, false, true)
	}
	refused := fai.Fault() == stage.FaultStatus && att.rn.rnr.sts.Saturated(now, att.stg.Pool())
	return att.stg.Repeatable() && att.allow(now, retry.Retry, num+1, refused, false)
}

// allow asks the retry policy. It may be called from the watcher's goroutine.
func (att *attempts) allow(now time.Time, kind retry.Kind, num int, overload, transparent bool) bool {
	rnr, req := att.rn.rnr, att.rn.req
	maxAttempts := att.stg.Attempts()
	if transparent {
		maxAttempts += maxDials
	}
	qry := retry.NewQuery(kind, req.pip.Name(), req.acc.Name(), now, req.deadline.Sub(now)).
		WithAttempt(num, maxAttempts).
		WithMinDuration(rnr.sts.Estimate(now, req.pip.Name(), att.stg.Name()).P5()).
		WithBudgetRatio(req.doc.Preset().ExtraWork()).
		WithOverloaded(overload).
		WithTransparent(transparent)
	return rnr.pols.ret.Decide(qry)
}

// race makes one call, and hedges it with a second one when the watcher asks
// for it. The first complete reply wins. The other call is canceled, and its
// end is awaited so that its cost is counted.
func (att *attempts) race(ctx context.Context, num int, kind retry.Kind) (*stage.Reply, error) {
	rac := &race{att: att, ctx: ctx, results: make(chan outcome, 2)}
	if att.mayHedge() {
		rac.grp = group.New(ctx)
		defer func() { _ = rac.grp.Wait() }()
	}
	select {
	case <-att.hedgeSignal:
		// The signal was for an earlier call.
	default:
	}
	if err := rac.start(num, kind); err != nil {
		return nil, err
	}
	for rac.running > 0 {
		select {
		case res := <-rac.results:
			rac.callEnded(res)
		case <-att.hedgeSignal:
			rac.hedge(num)
		}
	}
	return rac.rep, rac.err
}

// race is one call, or two hedged ones, in flight.
type race struct {
	att *attempts
	ctx context.Context
	// grp is nil if the call can't be hedged.
	grp     *group.Group
	results chan outcome
	calls   []*stageCall
	running int
	rep     *stage.Reply
	err     error
}

func (rac *race) start(num int, kind retry.Kind) error {
	stc, err := rac.att.newStageCall(rac.ctx, num, kind)
	if err != nil {
		return err
	}
	rac.calls = append(rac.calls, stc)
	if len(rac.calls) == 1 {
		rac.att.rel.setWriter(stc)
	}
	rac.running++
	cctx, cancel := context.WithCancelCause(rac.ctx)
	stc.cancel = cancel
	run := func(context.Context) error {
		defer cancel(nil)
		rac.results <- stc.run(cctx)
		return nil
	}
	if rac.grp != nil {
		rac.grp.Go(run)
		return nil
	}
	// The call can't be hedged, and the channel of results has room, so the
	// call can run in this goroutine. Another one would cost a wake-up for each
	// stage and a stack for each stream.
	return run(cctx)
}

func (rac *race) hedge(num int) {
	att := rac.att
	now := att.rn.rnr.clk.Now()
	if len(rac.calls) > 1 || rac.rep != nil || !att.mayHedge() || !att.allow(now, retry.Hedge, num, false, false) {
		return
	}
	att.rel.holdTokens()
	if rac.start(num, retry.Hedge) != nil {
		// There is no second server, so the first call keeps writing.
		_ = att.rel.releaseSurvivor(rac.calls[0])
	}
}

// mayHedge reports whether calls of the stage may be hedged at all.
func (att *attempts) mayHedge() bool {
	return att.stg.Repeatable() && att.rn.req.doc.Preset().Hedge()
}

func (rac *race) callEnded(res outcome) {
	att := rac.att
	rac.running--
	now := att.rn.rnr.clk.Now()
	res.stc.report(now, res)
	won := res.err == nil && rac.rep == nil
	att.addCost(res, won)
	var fai *stage.Error
	if errors.As(res.err, &fai) && fai.Fault() == stage.FaultConnLost {
		att.lost = append(att.lost, res.stc)
	}
	switch {
	case won:
		if rac.err = att.rel.release(res.stc); rac.err == nil {
			rac.rep = res.rep
			rac.stopOthers(res.stc)
		}
	case rac.rep != nil:
	case errors.Is(res.cause, errMigrate):
		rac.err = errMigrate
	default:
		rac.err = res.err
	}
	if rac.rep == nil && rac.running == 1 {
		rac.continueOther(res.stc)
	}
}

func (rac *race) stopOthers(winner *stageCall) {
	for _, stc := range rac.calls {
		if stc != winner {
			stc.cancel(errHedgeLost)
		}
	}
}

// continueOther makes the remaining call the writer after the other one failed.
func (rac *race) continueOther(failed *stageCall) {
	for _, stc := range rac.calls {
		if stc != failed {
			_ = rac.att.rel.releaseSurvivor(stc)
		}
	}
}

// addCost adds an ended call to the stage's cost.
func (att *attempts) addCost(res outcome, won bool) {
	var fai *stage.Error
	if errors.Is(res.err, errStaleChoice) || errors.As(res.err, &fai) && fai.Fault() == stage.FaultDial {
		return
	}
	cst := &att.cost
	cst.calls++
	cst.busy += res.took
	switch res.stc.kind {
	case retry.Retry:
		cst.retries++
	case retry.Hedge:
		cst.hedges++
	case retry.Initial:
	}
	switch {
	case won:
		cst.usage = res.rep.Usage()
	case errors.Is(res.cause, errMigrate):
		cst.migrations++
	default:
		cst.wasted++
		cst.wastedBusy += res.took
		cst.wastedTokens += len(res.stc.held)
	}
}

// newStageCall chooses a server for a call and prepares the call.
func (att *attempts) newStageCall(ctx context.Context, num int, kind retry.Kind) (*stageCall, error) {
	rnr, req := att.rn.rnr, att.rn.req
	suspect := rnr.isSuspect(req)
	if suspect && kind == retry.Hedge {
		return nil, errCrashesServers
	}
	if suspect {
		if err := rnr.clk.Sleep(ctx, suspectDelay); err != nil {
			return nil, err
		}
	}
	vie, err := rnr.currentView(ctx)
	if err != nil {
		return nil, err
	}
	now := rnr.clk.Now()
	if !now.Before(req.deadline) {
		return nil, context.DeadlineExceeded
	}
	if rnr.crashesServers(now, req) {
		// The evidence may have come while earlier stages ran.
		return nil, errCrashesServers
	}
	nonce := rnr.count.Add(1)
	resume, text := att.rel.sent()
	servers := vie.Servers(att.stg.Pool())
	qry := route.NewQuery(servers, now, req.deadline.Sub(now), rnr.zone, rand.New(rand.NewPCG(rnr.seed, nonce))).
		WithWork(att.stg.MaxTokens()-resume, att.prefix()).
		WithPrompt(att.promptTokens).
		WithEntryInstances(vie.Entries()).
		WithAvoid(append(rnr.crashed(now, servers), att.tried...))
	srv := att.chooseServer(qry, suspect, kind)
	if srv == nil {
		return nil, &noServerError{pool: att.stg.Pool()}
	}
	att.tried = append(att.tried, srv)
	cal := stage.NewCall(req.id, att.stg, num, nonce, req.doc.Pool(att.stg.Pool()).SilenceTimeout()).
		WithInputs(att.inputs).
		WithPriority(att.priority).
		WithResume(resume, text)
	stc := &stageCall{att: att, kind: kind, num: num, srv: srv, routed: route.NewAttempt(qry, srv), call: cal, began: now, resume: resume}
	cal.WithSendCheck(stc.ready)
	return stc, nil
}

// chooseServer chooses the server of a call; nil if there is none.
func (att *attempts) chooseServer(qry route.Query, suspect bool, kind retry.Kind) *route.Server {
	rnr := att.rn.rnr
	if suspect {
		if srv := rnr.isolate(att.rn.req, qry.Eligible()); srv != nil {
			return srv
		}
	}
	srv := rnr.pols.rou.Decide(qry)
	if srv == nil && kind != retry.Hedge {
		// All servers were tried already, or no other is left: trying one again
		// is better than failing.
		srv = rnr.pols.rou.Decide(qry.WithAvoid(nil))
	}
	return srv
}

// prefixBytes is the length of the prompt prefix by which servers with a warm
// cache are found.
const prefixBytes = 512

// prefix returns the hash of the prompt's prefix, or 0 for a call without a
// prompt that could be cached.
func (att *attempts) prefix() uint64 {
	if att.stg.Kind() != config.Generate || len(att.inputs) == 0 {
		return 0
	}
	raw := att.inputs[0].Data
	return xxhash.Sum64(raw[:min(len(raw), prefixBytes)])
}
