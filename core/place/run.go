package place

import (
	"time"
)

// Run is a request placed at an engine.
type Run struct {
	engine string
	// on is the state of the start of the engine that has the run.
	on       *engine
	tokens   int
	uncached int
	placed   time.Time
	// expected is the time to the first event that was expected when the request
	// was placed.
	expected time.Duration
	begun    bool
	// overdue is set once the engine's failure to answer in time was recorded.
	overdue bool
	// ahead is the number of prompt tokens that waited for prefill at the engine
	// when the run was placed.
	ahead  int
	reason Reason
	// begunAt is the time of the first event.
	begunAt time.Time
	// adopted runs were placed by another instance. Their first event may have
	// been long ago, so that waiting for it says nothing about the engine's speed.
	adopted bool
}

// Reason returns why the engine was chosen.
func (run *Run) Reason() Reason { return run.reason }

// Engine returns the engine's ID.
func (run *Run) Engine() string { return run.engine }

// PlacedAt returns when the request was placed.
func (run *Run) PlacedAt() time.Time { return run.placed }

// Expected returns the expected time to the first event; 0 if the engine is not
// known.
func (run *Run) Expected() time.Duration { return run.expected }

// Begun reports whether the run had its first event.
func (run *Run) Begun() bool { return run.begun }

// MoveAfter is how long a request may wait for its first event before it may
// move to another engine: twice the expected time, since estimates are off by a
// half at peak load, and the time of messages.
func MoveAfter(expected time.Duration) time.Duration { return 2*expected + moveMargin }

// moveMargin covers messages between zones and delays of busy processors.
const moveMargin = 100 * time.Millisecond

// UncachedTokens returns the number of prompt tokens that the engine was not
// expected to have cached.
func (run *Run) UncachedTokens() int { return run.uncached }

// Place records a request as sent to an engine.
func (pol *Pool) Place(now time.Time, id string, qry Query) *Run {
	run := &Run{engine: id, placed: now, tokens: qry.PromptTokens + qry.MaxOutputTokens}
	eng := pol.engines[id]
	if eng == nil {
		return run
	}
	run.on = eng
	run.uncached = pol.uncachedTokens(eng, qry)
	run.reason = pol.reason(now, eng, qry, run.uncached)
	est := pol.estimate(now)
	run.ahead = est.aheadTokens(eng, eng.factor(now))
	pol.notePlaced(now, eng, run)
	eng.unbegun = append(eng.unbegun, run)
	run.expected = pol.expectedAt(now, eng, run.uncached)
	eng.runs++
	eng.backlogTokens += run.uncached
	eng.runTokens += run.tokens
	eng.rec.Started()
	pol.rates.Take(now, id)
	for _, par := range qry.Parts {
		pol.cachePart(eng, par, now)
	}
	pol.evict(eng)
	return run
}

// Adopt records a request that another instance sent to an engine.
func (pol *Pool) Adopt(now time.Time, id string, qry Query) *Run {
	run := pol.Place(now, id, qry)
	run.adopted = true
	if run.on != nil {
		run.on.removeUnbegun(run)
	}
	return run
}

// runEngine returns the engine of a run, or nil if it is gone or has started again:
// the run says nothing of the new start.
func (pol *Pool) runEngine(run *Run) *engine {
	eng := pol.engines[run.engine]
	if eng != run.on {
		return nil
	}
	return eng
}

// Began records a run's first event.
func (pol *Pool) Began(now time.Time, run *Run) {
	if run.begun {
		return
	}
	run.begun, run.begunAt = true, now
	if pol.slots == 0 {
		pol.base += time.Duration(baseSmoothing * float64(2*now.Sub(run.placed)-pol.base))
	} else {
		pol.prefill.add(float64(run.uncached), now.Sub(run.placed))
	}
	if eng := pol.runEngine(run); eng != nil {
		eng.backlogTokens = max(0, eng.backlogTokens-run.uncached)
		eng.rec.Succeeded()
		pol.observeFirstEvent(now, eng, run)
	}
}

// silentAfter is how long a run may wait for its first event, beyond twice the
// prefill of the engine's backlog, before the engine counts as silent.
const silentAfter = 1200 * time.Millisecond

// Overdue records an engine's failure once a run has waited too long for its
// first event. It reports whether this ejected the engine.
//
// An engine may accept requests and never answer while its connections stay up.
// Its callers cancel after some seconds, which must not count as success.
func (pol *Pool) Overdue(now time.Time, run *Run) bool {
	eng := pol.runEngine(run)
	if eng == nil || run.begun || run.overdue || now.Sub(run.placed) < pol.patience(now, eng) {
		return false
	}
	run.overdue = true
	return eng.rec.Failed(now)
}

// Outcome says how a run ended at its engine.
type Outcome uint8

const (
	// Done means that the run ended normally, or that its caller ended it.
	Done Outcome = iota
	// Failed means that the run got no usable answer.
	Failed
	// Full means that the engine refused the run.
	Full
	// WrongServer means that another server answered at the engine's address.
	WrongServer
	// Slow means that the run has not begun in the expected time, and goes on
	// unless its request moves.
	Slow
)

// Ended removes a run from its engine. It reports whether this ejected the
// engine.
func (pol *Pool) Ended(now time.Time, run *Run, out Outcome) bool {
	eng := pol.runEngine(run)
	if eng == nil {
		return false
	}
	eng.runs = max(0, eng.runs-1)
	eng.runTokens = max(0, eng.runTokens-run.tokens)
	if !run.begun {
		eng.backlogTokens = max(0, eng.backlogTokens-run.uncached)
		pol.observeWait(now, eng, run)
	}
	switch out {
	case Done:
		pol.Overdue(now, run)
		if run.begun && !run.adopted {
			pol.streamTime += time.Duration(baseSmoothing * float64(now.Sub(run.begunAt)-pol.streamTime))
		}
		if run.begun {
			eng.rec.Succeeded()
		} else if !run.overdue {
			eng.rec.Abandoned()
		}
	case Failed:
		return eng.rec.Failed(now)
	case Full, WrongServer:
		if out == Full {
			pol.rates.Rejected(now, run.engine)
		}
		eng.rec.Eject(now)
		return true
	}
	return false
}

// String returns the outcome as it is named in logs.
func (out Outcome) String() string {
	switch out {
	case Done:
		return "done"
	case Failed:
		return "failed"
	case Full:
		return "full"
	case WrongServer:
		return "wrong-server"
	case Slow:
		return "slow"
	}
	return "unknown"
}
