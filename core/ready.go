package core

import "time"

const (
	// settleAnswer is how long peers may take to answer at the start or after
	// a pause. If none does, the instance serves with what the platform or
	// the boot file gave it.
	settleAnswer = 2 * time.Second
	// settleBehind is how long an instance that knows itself to be behind a
	// peer waits for that peer's document before it serves with its own.
	settleBehind = 10 * time.Second
)

// ready is the sub-state that keeps an instance from serving before it has
// heard what its peers know. An instance that starts next to a stale platform
// would otherwise serve an old revision that everyone else has left behind,
// and one that resumed from a pause would act on what held before it.
type ready struct {
	ctl *Control
	// settled is set once the peers were heard; a pause clears it.
	settled bool
	// since is when the wait began; zero before the first tick.
	since time.Time
	// from is the first heartbeat of the wait. Only a peer that has heard it
	// counts as heard: a process that wakes from a pause first reads what
	// came in during it, which says nothing of how things are now.
	from uint64
}

var _ part = (*ready)(nil)

func newReady(ctl *Control) *ready { return &ready{ctl: ctl, from: 1} }

func (rdy *ready) step(now time.Time, ev Event) []Decision {
	if rdy.since.IsZero() {
		rdy.since = now
	}
	if _, is := ev.(resumed); is {
		rdy.settled, rdy.since, rdy.from = false, now, rdy.ctl.heart.count+1
		return nil
	}
	if rdy.settled || !rdy.done(now) {
		return nil
	}
	rdy.settled = true
	rdy.ctl.dirty = true
	asked, answered := rdy.answers()
	return []Decision{Settled{asked: asked, answered: answered, waited: now.Sub(rdy.since)}}
}

func (rdy *ready) fill(vie *View) { vie.settled = rdy.settled }

// answers counts the linked peers and those that heard the wait's heartbeats.
func (rdy *ready) answers() (asked, answered int) {
	for _, id := range rdy.ctl.mem.Links() {
		asked++
		if wrd := rdy.ctl.heart.words[id]; wrd != nil && wrd.echo >= rdy.from {
			answered++
		}
	}
	return asked, answered
}

func (rdy *ready) done(now time.Time) bool {
	waited := now.Sub(rdy.since)
	if rdy.ctl.heart.ahead() {
		return waited >= settleBehind
	}
	asked, answered := rdy.answers()
	if answered < asked {
		return waited >= settleAnswer
	}
	// Without a list and without an answer nobody is known that could be
	// asked, which says nothing about who there is.
	return rdy.ctl.list.read || asked > 0 || waited >= settleAnswer
}

// Settled tells the driver that the instance has heard its peers, or waited
// for them in vain.
type Settled struct {
	asked    int
	answered int
	waited   time.Duration
}

// Asked returns how many peers were asked.
func (dec Settled) Asked() int { return dec.asked }

// Answered returns how many of them answered.
func (dec Settled) Answered() int { return dec.answered }

// Waited returns how long it took.
func (dec Settled) Waited() time.Duration { return dec.waited }

func (Settled) decision() {}

var _ Decision = Settled{}
