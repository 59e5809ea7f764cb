// Package meter aggregates request metrics: outcomes, durations, and the cost by
// pipeline, stage and client account. Each entry instance has its own Meter, which
// is read through expvar; the package has no global state and keeps no data of
// individual requests.
package meter

import (
	"expvar"
	"sync"
	"time"

	"lovagestream/core/result"
	"lovagestream/io/runner"
)

// Limits of the number of keys. The names come from the published configurations,
// and a process sees many of these over time; beyond the limits, cost and durations
// are added to Other, so that memory stays bounded and the sums stay right.
const (
	maxCosts     = 16384
	maxDurations = 512
)

// Other is the key for all names beyond the limits.
const Other = "other"

// Meter aggregates the metrics of an entry instance. It is safe for concurrent use.
type Meter struct {
	mu sync.Mutex
	// requests counts requests by outcome and reason. Both are constants of package
	// result, so the number of keys is bounded.
	requests         map[requestKey]int64
	costs            map[costKey]*cost
	requestDurations histograms
	stageDurations   histograms
}

type requestKey struct {
	outcome result.Outcome
	reason  result.Reason
}

type costKey struct {
	pipeline string
	stage    string
	account  string
}

// cost is the sum of the cost of calls.
type cost struct {
	calls, retries, hedges, migrations, wasted                 int64
	busy, wastedBusy                                           time.Duration
	promptTokens, completionTokens, cachedTokens, wastedTokens int64
}

// New returns an empty meter.
func New() *Meter {
	return &Meter{requests: map[requestKey]int64{}, costs: map[costKey]*cost{}, requestDurations: histograms{}, stageDurations: histograms{}}
}

// RequestRefused counts a request that ended before its pipeline and account were
// validated. They must not become keys, since a caller could make up any number of
// names.
func (mtr *Meter) RequestRefused(out result.Outcome, reason result.Reason) {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	mtr.requests[requestKey{outcome: out, reason: reason}]++
}

// RequestEnded records a request of a configured pipeline and account: its outcome, the
// cost of its stages and, if it is complete, its duration.
func (mtr *Meter) RequestEnded(req *runner.Request, out result.Outcome, reason result.Reason, took time.Duration) {
	mtr.mu.Lock()
	defer mtr.mu.Unlock()
	mtr.requests[requestKey{outcome: out, reason: reason}]++
	pip := req.Pipeline().Name()
	if out == result.Complete {
		mtr.requestDurations.record(pip, took)
	}
	for _, cst := range req.Costs() {
		if cst.Calls() == 0 {
			continue
		}
		mtr.costOf(costKey{pipeline: pip, stage: cst.Stage(), account: req.Account().Name()}).add(cst)
		mtr.stageDurations.record(pip+"/"+cst.Stage(), cst.Busy())
	}
}

func (mtr *Meter) costOf(key costKey) *cost {
	got := mtr.costs[key]
	if got == nil && len(mtr.costs) >= maxCosts {
		key = costKey{pipeline: Other, stage: Other, account: Other}
		got = mtr.costs[key]
	}
	if got == nil {
		got = &cost{}
		mtr.costs[key] = got
	}
	return got
}

func (cst *cost) add(one runner.Cost) {
	cst.calls += int64(one.Calls())
	cst.retries += int64(one.Retries())
	cst.hedges += int64(one.Hedges())
	cst.migrations += int64(one.Migrations())
	cst.wasted += int64(one.Wasted())
	cst.busy += one.Busy()
	cst.wastedBusy += one.WastedBusy()
	cst.promptTokens += int64(one.Usage().PromptTokens)
	cst.completionTokens += int64(one.Usage().CompletionTokens)
	cst.cachedTokens += int64(one.Usage().CachedTokens)
	cst.wastedTokens += int64(one.WastedTokens())
}

// Publish adds the meter's metrics to the expvar map of an instance.
func (mtr *Meter) Publish(own *expvar.Map) {
	own.Set("requests", expvar.Func(func() any { return mtr.readRequests() }))
	own.Set("request-duration", expvar.Func(func() any { return mtr.readDurations(mtr.requestDurations) }))
	own.Set("stage-duration", expvar.Func(func() any { return mtr.readDurations(mtr.stageDurations) }))
	own.Set("cost", expvar.Func(func() any { return mtr.Costs() }))
}
