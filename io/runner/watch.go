package runner

import (
	"context"
	"sync"
	"time"

	"lovagestream/core/config"
	"lovagestream/core/pace"
	"lovagestream/core/route"
)

const (
	// checkInterval is how often the calls in flight are checked.
	checkInterval = 25 * time.Millisecond
	// An interval over which streams are compared ends when half of them have
	// received minIntervalTokens, or after maxInterval.
	minIntervalTokens = 6
	maxInterval       = 500 * time.Millisecond
)

// watcher monitors the progress of the calls in flight.
type watcher struct {
	rnr *Runner
	mu  sync.Mutex
	// calls holds the calls in flight of each pool.
	calls map[string]map[*stageCall]bool
	// intervalStart is when the current interval of each pool's streams began.
	intervalStart map[string]time.Time
	// tokenTimes is the time per token of each pool, from completed streams.
	tokenTimes map[string]time.Duration
}

func newWatcher(rnr *Runner) *watcher {
	return &watcher{rnr: rnr, calls: map[string]map[*stageCall]bool{}, intervalStart: map[string]time.Time{}, tokenTimes: map[string]time.Duration{}}
}

func (wat *watcher) add(stc *stageCall) {
	wat.mu.Lock()
	defer wat.mu.Unlock()
	pool := stc.att.stg.Pool()
	if wat.calls[pool] == nil {
		wat.calls[pool] = map[*stageCall]bool{}
	}
	wat.calls[pool][stc] = true
}

func (wat *watcher) remove(stc *stageCall) {
	wat.mu.Lock()
	defer wat.mu.Unlock()
	pool := stc.att.stg.Pool()
	delete(wat.calls[pool], stc)
	if len(wat.calls[pool]) == 0 {
		delete(wat.calls, pool)
		delete(wat.intervalStart, pool)
	}
}

// Watch monitors the calls in flight until the context ends. It returns nil.
func (rnr *Runner) Watch(ctx context.Context) error {
	rnr.clk.Every(ctx, checkInterval, rnr.wat.check)
	return nil
}

func (wat *watcher) check(now time.Time) {
	wat.observeLoad(now)
	wat.mu.Lock()
	defer wat.mu.Unlock()
	for pool, calls := range wat.calls {
		wat.checkPool(now, pool, calls)
	}
}

// observeLoad sums up the load of each pool, for admission and for the
// comparison of its streams.
func (wat *watcher) observeLoad(now time.Time) {
	vie := wat.rnr.vws.View()
	if vie.Config() == nil {
		return
	}
	tokenTimes := map[string]time.Duration{}
	for _, poo := range vie.Config().Pools() {
		load := route.NewPoolLoad(vie.Servers(poo.Name()), now, vie.Entries())
		wat.rnr.sts.ObserveLoad(now, poo.Name(), load)
		tokenTimes[poo.Name()] = load.TimePerToken()
	}
	wat.mu.Lock()
	wat.tokenTimes = tokenTimes
	wat.mu.Unlock()
	wat.rnr.prune(vie.Config())
}

func (wat *watcher) checkPool(now time.Time, pool string, calls map[*stageCall]bool) {
	begun, found := wat.intervalStart[pool]
	if !found {
		wat.startInterval(now, pool, calls)
		return
	}
	interval := now.Sub(begun)
	prs := pace.NewPeers()
	for stc := range calls {
		if num := stc.tokens.Load(); stc.inInterval && num > 0 {
			prs.Add(int(num - stc.startTokens))
		}
	}
	prs.Sort()
	if prs.Median() < minIntervalTokens && interval < maxInterval {
		return
	}
	for stc := range calls {
		if stc.inInterval && !stc.decided {
			wat.checkCall(now, stc, interval, prs)
		}
	}
	wat.startInterval(now, pool, calls)
}

// startInterval starts a new interval of a pool's streams.
func (wat *watcher) startInterval(now time.Time, pool string, calls map[*stageCall]bool) {
	wat.intervalStart[pool] = now
	for stc := range calls {
		stc.startTokens, stc.inInterval = stc.tokens.Load(), true
	}
}

func (wat *watcher) checkCall(now time.Time, stc *stageCall, interval time.Duration, prs *pace.Peers) {
	att := stc.att
	if !att.stg.Repeatable() {
		return
	}
	req := att.rn.req
	pol := wat.rnr.pols.hed
	if att.stg.Kind() == config.Generate {
		pol = wat.rnr.pols.slo
	}
	p95 := wat.rnr.sts.Estimate(now, req.pip.Name(), att.stg.Name()).P95()
	num := stc.tokens.Load()
	sta := pace.NewCallState(now.Sub(stc.began), req.deadline.Sub(now), interval, prs).
		WithTokens(int(num), int(num-stc.startTokens), att.stg.MaxTokens()-stc.resume).
		WithP95(p95).
		WithPoolFull(wat.rnr.sts.Saturated(now, att.stg.Pool())).
		WithTokenTime(wat.tokenTimes[att.stg.Pool()]).
		WithSlowChecks(stc.slowChecks)
	dec := pol.Decide(sta)
	stc.slowChecks = dec.SlowChecks()
	stc.apply(now, dec.Action())
}
