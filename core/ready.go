package core

import "time"

const (
	// answerTimeout is how long peers may take to answer at the start or after
	// a pause. If none does, the instance serves with what it got from the
	// platform or the boot file.
	answerTimeout = 2 * time.Second
	// catchUpTimeout is how long an instance that knows it is behind a peer
	// waits for that peer's document before it serves with its own.
	catchUpTimeout = 10 * time.Second
)

// readiness is the component that keeps an instance from serving before it has
// synchronized with its peers. Otherwise an instance that starts while the
// platform serves a stale replica would use a revision that all others have
// replaced, and one that resumed from a pause would act on its state from
// before the pause.
type readiness struct {
	ctl *Control
	// synced is set once the peers have answered; a pause clears it.
	synced bool
	// waitingSince is when the wait began; zero before the first tick.
	waitingSince time.Time
	// firstSeq is the sequence number of the wait's first heartbeat. Only peers
	// that acknowledge it count as answered: a process that resumes first reads
	// messages that arrived during the pause, which say nothing about the
	// current state.
	firstSeq uint64
}

var _ component = (*readiness)(nil)

func newReadiness(ctl *Control) *readiness { return &readiness{ctl: ctl, firstSeq: 1} }

func (rdy *readiness) step(now time.Time, ev Event) []Decision {
	if rdy.waitingSince.IsZero() {
		rdy.waitingSince = now
	}
	if _, is := ev.(resumed); is {
		rdy.synced, rdy.waitingSince, rdy.firstSeq = false, now, rdy.ctl.heartbeats.seq+1
		return nil
	}
	if rdy.synced || !rdy.done(now) {
		return nil
	}
	rdy.synced = true
	rdy.ctl.dirty = true
	asked, answered := rdy.answers()
	return []Decision{PeerSyncEnded{asked: asked, answered: answered, waited: now.Sub(rdy.waitingSince)}}
}

func (rdy *readiness) fill(vie *View) { vie.synced = rdy.synced }

// answers returns the numbers of linked peers and of those that acknowledged
// the wait's heartbeats.
func (rdy *readiness) answers() (asked, answered int) {
	for _, id := range rdy.ctl.members.Links() {
		asked++
		if per := rdy.ctl.heartbeats.peers[id]; per != nil && per.ack >= rdy.firstSeq {
			answered++
		}
	}
	return asked, answered
}

func (rdy *readiness) done(now time.Time) bool {
	waited := now.Sub(rdy.waitingSince)
	if rdy.ctl.heartbeats.peerAhead() {
		return waited >= catchUpTimeout
	}
	asked, answered := rdy.answers()
	if answered < asked {
		return waited >= answerTimeout
	}
	// Without a list and without an answer no peer is known, which does not
	// mean that there is none.
	return rdy.ctl.list.hasList || asked > 0 || waited >= answerTimeout
}

// PeerSyncEnded reports to the driver that the instance has synchronized with
// its peers, or that the wait for them timed out.
type PeerSyncEnded struct {
	asked    int
	answered int
	waited   time.Duration
}

// Asked returns how many peers were asked.
func (dec PeerSyncEnded) Asked() int { return dec.asked }

// Answered returns how many of them answered.
func (dec PeerSyncEnded) Answered() int { return dec.answered }

// Waited returns how long the wait took.
func (dec PeerSyncEnded) Waited() time.Duration { return dec.waited }

func (PeerSyncEnded) decision() {}

var _ Decision = PeerSyncEnded{}
