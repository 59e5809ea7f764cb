package admit

import (
	"sync"
	"time"

	"lovagestream/core/config"
)

// Ticket counts the calls of one admitted request at their pools, first as
// pending, then as running, until each is done or the request ends.
type Ticket struct {
	sts  *Stats
	pip  *config.Pipeline
	acc  *config.Account
	rank int

	mu sync.Mutex
	// phases is the phase of each stage.
	phases []phase
}

type phase int

const (
	pending phase = iota
	running
	finished
)

// Admit counts an admitted request. The caller must call Release.
func (sts *Stats) Admit(pip *config.Pipeline, acc *config.Account) *Ticket {
	tkt := &Ticket{sts: sts, pip: pip, acc: acc, rank: acc.Contract().Class().Rank(), phases: make([]phase, len(pip.Stages()))}
	for _, stg := range pip.Stages() {
		sts.poolStats(stg.Pool()).adjust(tkt.rank, 1, 0)
	}
	sts.accounts.add(acc, 1)
	return tkt
}

// Begin counts a stage as running.
func (tkt *Ticket) Begin(stage int) { tkt.advance(stage, running) }

// Done removes a completed stage from the counts.
func (tkt *Ticket) Done(now time.Time, stage int) {
	tkt.advance(stage, finished)
	tkt.sts.poolStats(tkt.pip.Stages()[stage].Pool()).done(now)
}

// Release removes the request's remaining stages from the counts. It must be
// called exactly once.
func (tkt *Ticket) Release() {
	for i := range tkt.phases {
		tkt.advance(i, finished)
	}
	tkt.sts.accounts.add(tkt.acc, -1)
}

func (tkt *Ticket) advance(stage int, to phase) {
	tkt.mu.Lock()
	defer tkt.mu.Unlock()
	current := tkt.phases[stage]
	if to <= current {
		return
	}
	tkt.phases[stage] = to
	pst := tkt.sts.poolStats(tkt.pip.Stages()[stage].Pool())
	switch {
	case current == pending && to == running:
		pst.adjust(tkt.rank, -1, 1)
	case current == pending:
		pst.adjust(tkt.rank, -1, 0)
	default:
		pst.adjust(tkt.rank, 0, -1)
	}
}

// accounts counts the requests in progress by client account. It holds only
// accounts that have any.
type accounts struct {
	mu     sync.Mutex
	byName map[string]*accountUsage
	// weight is the sum of the weights of the accounts with requests in
	// progress.
	weight float64
	total  int
}

type accountUsage struct {
	running int
	weight  float64
}

func newAccounts() *accounts { return &accounts{byName: map[string]*accountUsage{}} }

// weightOf returns an account's weight in the fair share under overload.
func weightOf(acc *config.Account) float64 { return max(acc.Contract().Rate(), 1e-3) }

func (acs *accounts) add(acc *config.Account, num int) {
	acs.mu.Lock()
	defer acs.mu.Unlock()
	got := acs.byName[acc.Name()]
	if got == nil {
		got = &accountUsage{weight: weightOf(acc)}
		acs.byName[acc.Name()] = got
		acs.weight += got.weight
	}
	got.running += num
	acs.total += num
	if got.running <= 0 {
		delete(acs.byName, acc.Name())
		acs.weight -= got.weight
	}
}

// fairShareRatio returns the ratio of an account's requests in progress to its
// fair share; 1 is fair.
func (acs *accounts) fairShareRatio(acc *config.Account) float64 {
	acs.mu.Lock()
	defer acs.mu.Unlock()
	got := acs.byName[acc.Name()]
	if got == nil || len(acs.byName) < 2 {
		return 1
	}
	fair := float64(acs.total) * got.weight / acs.weight
	return float64(got.running) / max(fair, 1)
}
