package retry

import (
	"sync"
	"time"
)

const (
	// burst is the capacity and the initial content of a budget, in calls:
	// enough to move the calls of one lost server.
	burst = 10
	// idleTimeout is the time after its last use at which a budget is dropped;
	// sweepInterval is the interval between the searches for idle budgets.
	idleTimeout   = 60 * time.Second
	sweepInterval = 10 * time.Second
)

// budget is the token bucket of one pipeline or one client account.
type budget struct {
	// tokens is in calls, from 0 to burst.
	tokens   float64
	lastUsed time.Time
}

type key struct {
	kind byte
	name string
}

// Budget allows a retry or a hedge while both its pipeline and its client
// account have budget left and the time left is at least the stage's minimum
// duration. Each initial call adds the preset's ratio to both budgets.
// When everything fails, all entry instances together thus add only that ratio
// of calls, not a multiple, to servers that are already in trouble.
type Budget struct {
	mu        sync.Mutex
	budgets   map[key]*budget
	lastSweep time.Time
}

var _ Policy = (*Budget)(nil)

// NewBudget returns a policy whose budgets start full.
func NewBudget() *Budget { return &Budget{budgets: map[key]*budget{}} }

// Name returns "budget".
func (*Budget) Name() string { return "budget" }

// Decide always allows initial calls, and retries and hedges within the
// budgets.
func (bud *Budget) Decide(qry Query) bool {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.sweep(qry.now)
	pip := bud.get(key{'p', qry.pipeline}, qry.now)
	acc := bud.get(key{'a', qry.account}, qry.now)
	if qry.kind == Initial {
		pip.tokens = min(burst, pip.tokens+qry.budgetRatio)
		acc.tokens = min(burst, acc.tokens+qry.budgetRatio)
		return true
	}
	if qry.overloaded || qry.attempt > qry.maxAttempts || qry.left < qry.minDuration {
		return false
	}
	if qry.transparent {
		return true
	}
	if pip.tokens < 1 || acc.tokens < 1 {
		return false
	}
	pip.tokens--
	acc.tokens--
	return true
}

func (bud *Budget) get(key key, now time.Time) *budget {
	got := bud.budgets[key]
	if got == nil {
		got = &budget{tokens: burst}
		bud.budgets[key] = got
	}
	got.lastUsed = now
	return got
}

// sweep drops idle budgets, so that memory follows the pipelines and accounts
// in use.
func (bud *Budget) sweep(now time.Time) {
	if now.Sub(bud.lastSweep) < sweepInterval {
		return
	}
	bud.lastSweep = now
	for key, got := range bud.budgets {
		if now.Sub(got.lastUsed) > idleTimeout {
			delete(bud.budgets, key)
		}
	}
}

// Len returns the number of budgets held.
func (bud *Budget) Len() int {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	return len(bud.budgets)
}
