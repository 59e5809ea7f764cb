package sched

import (
	"time"
)

// CallStatus says how a complete call ended; PieceStatus describes its pieces.
type CallStatus uint8

const (
	// Answered means that the answer has a result for each piece.
	Answered CallStatus = iota
	// Full means that the server refused the call without starting it.
	Full
	// WrongServer means that another server answered at the address.
	WrongServer
	// NoReply means that the call was cut off, timed out or got an unusable
	// answer.
	NoReply
	// NoPath means that this instance has no path to the server, which says nothing
	// about it.
	NoPath
)

// String returns the status as it is named in metrics.
func (sta CallStatus) String() string {
	switch sta {
	case Answered:
		return "answered"
	case Full:
		return "full"
	case WrongServer:
		return "wrong-server"
	case NoPath:
		return "no-path"
	}
	return "unanswered"
}

const (
	// outOfMemoryBackoff is how long a server gets no calls after it had no
	// memory for any piece of a call, unless one of its known results is freed
	// earlier. It is the length of an empty call. Untracked results fill the
	// memory then; they expire one by one within seconds.
	outOfMemoryBackoff = 150 * time.Millisecond
	// fullBackoff is how long a server gets no calls after it refused one as
	// full: about half the length of a call, since calls of another instance
	// occupy it.
	fullBackoff = 80 * time.Millisecond
	// noPathBackoff is how long a server gets no calls while there is no path to it:
	// about the time in which trial connections tell that it is back.
	noPathBackoff = 200 * time.Millisecond
	// sizeFactorStep multiplies a server's size factor when it had no memory
	// for a piece, sizeFactorDecay when a call ended, and maxSizeFactor bounds
	// it. Configured result sizes are approximate.
	sizeFactorStep  = 1.06
	sizeFactorDecay = 0.995
	maxSizeFactor   = 1.6
)

// CallEnded handles the end of the call with this Call.Number, if it is in flight.
// An Answered call needs one result per piece, in order; a wrong count counts as
// NoReply, except in observeOutcome. With any other status results may be nil.
func (sch *Scheduler) CallEnded(now time.Time, number uint64, results []Result, status CallStatus) {
	act := sch.inFlight[number]
	if act == nil {
		return
	}
	delete(sch.inFlight, number)
	ser := act.server
	ser.removeCall(now, act)
	if status != NoPath && status != NoReply {
		ser.noPathAt = time.Time{}
		act.pool.outage.answered()
	}
	sch.observeOutcome(now, ser.ent.Zone, status)
	if status == Answered && len(results) != len(act.pieces) {
		status = NoReply
	}
	switch status {
	case Answered:
		ser.rec.Succeeded()
		act.pool.observeCall(now, act)
		if !sch.inferUntracked(now, act, results) {
			ser.updateSizeFactor(now, results, sch.ply.RetryFull)
		}
		sch.applyResults(now, act, results)
	case Full:
		ser.fullUntil = now.Add(fullBackoff)
		sch.rates.Rejected(now, ser.ent.ID)
		ser.rec.Succeeded()
		sch.requeue(now, act)
	case WrongServer:
		ser.rec.Eject(now)
		sch.requeue(now, act)
	case NoPath:
		ser.fullUntil = now.Add(noPathBackoff)
		ser.noPathAt = now
		ser.rec.Abandoned()
		for _, pie := range act.pieces {
			pie.tries--
		}
		sch.observeOutage(now, act.pool)
		sch.requeue(now, act)
	case NoReply:
		ser.rec.Failed(now)
		sch.observeOutage(now, act.pool)
		sch.requeue(now, act)
	}
	if len(ser.inFlight) > 0 {
		ser.inFlight[0].heldBytes = ser.heldBytes()
	}
	sch.dropExhausted(now, act)
	sch.dispatch(now)
}

// removeCall removes a call from its server.
func (ser *server) removeCall(now time.Time, act *activeCall) {
	for idx, oth := range ser.inFlight {
		if oth == act {
			ser.inFlight = append(ser.inFlight[:idx], ser.inFlight[idx+1:]...)
			break
		}
	}
	if len(ser.inFlight) == 0 {
		ser.freeAt = now
		return
	}
	// The server starts the next call now.
	nxt := ser.inFlight[0]
	nxt.startAt = now
	ser.freeAt = now.Add(time.Duration(float64(nxt.nominalTime) * max(1, ser.slowdown)))
}

// applyResults records the results of a call. Results for jobs that have ended
// are freed at once.
func (sch *Scheduler) applyResults(now time.Time, act *activeCall, results []Result) {
	jobs := map[*job]bool{}
	var order []*job
	var unused []string
	for idx, pie := range act.pieces {
		res := results[idx]
		act.server.drop(pie)
		switch {
		case res.Status == Completed && (pie.job.ended || pie.state != stateInFlight):
			unused = append(unused, res.Handle)
		case res.Status == Completed:
			sch.pieceDone(now, act, pie, res.Handle)
		case !pie.job.ended:
			sch.pieceFailed(now, act, pie, res.Status)
		}
		if !jobs[pie.job] {
			jobs[pie.job] = true
			order = append(order, pie.job)
		}
	}
	if len(unused) > 0 {
		sch.out.FreeResults(act.server.ent.Address, unused)
	}
	sch.reportResults(act)
	for _, job := range order {
		if !job.ended {
			sch.enqueue(now, job)
			sch.advance(job)
		}
	}
}

// pieceDone records a result at the server that holds it.
func (sch *Scheduler) pieceDone(now time.Time, act *activeCall, pie *piece, handle string) {
	act.server.addResult(pie, handle, now.Add(act.pool.svc.Batch.ResultLifetime-expiryMargin))
}

// expiryMargin is how long before its expiry a result counts as expired, since
// its consumer must still fetch it.
const expiryMargin = 300 * time.Millisecond

func (sch *Scheduler) pieceFailed(now time.Time, act *activeCall, pie *piece, status PieceStatus) {
	if pie.state != stateInFlight {
		return
	}
	pie.setState(stateWaiting)
	if status == OutOfMemory {
		act.pool.outOfMemory++
	}
	if status == OutOfMemory && !sch.ply.RetryFull {
		// A lack of memory is not the piece's fault, so it does not count as a
		// try.
		pie.tries--
	}
	if status == InputGone {
		// The server doesn't say which input is missing, so all inputs are
		// recomputed.
		pie.setState(stateBlocked)
		for _, dep := range pie.stage.deps {
			for _, inp := range dep.pieces {
				sch.recompute(now, inp)
			}
		}
		return
	}
	if pie.stage.inputsReady() {
		act.pool.enqueue(now, pie)
	} else {
		pie.setState(stateBlocked)
	}
}

// updateSizeFactor adjusts a server's size factor after a call.
//
// In a burst every server's memory is nearly full. A piece that finds no memory
// costs only its share of the call, so a server that lacked memory for some
// pieces gets no backoff: the pool needs its capacity.
//
// If no piece of the call found memory, untracked results fill it. Such a call
// ends at once; repeating it immediately would use up the coordinator's
// processor and the tries of its pieces.
func (ser *server) updateSizeFactor(now time.Time, results []Result, retryFull bool) {
	without := 0
	for _, res := range results {
		if res.Status == OutOfMemory {
			without++
		}
	}
	ser.sizeFactor = max(1, ser.sizeFactor*sizeFactorDecay)
	if without > 0 {
		ser.sizeFactor = min(maxSizeFactor, ser.sizeFactor*sizeFactorStep)
	}
	if without == len(results) && !retryFull {
		ser.outOfMemoryUntil = now.Add(outOfMemoryBackoff)
	}
}

// fits reports whether results of used bytes in total fit into room bytes of
// memory.
func (ser *server) fits(used, room int64) bool { return float64(used)*ser.sizeFactor <= float64(room) }

// dropExhausted ends the jobs that have a piece which failed too often.
func (sch *Scheduler) dropExhausted(now time.Time, act *activeCall) {
	for _, pie := range act.pieces {
		if pie.tries >= maxTries && pie.state != stateDone && !pie.job.ended {
			sch.endJob(now, pie.job)
			sch.out.Notify(Decision{Key: pie.job.spec.Key, Outcome: Refused, Reason: "pieces-fail", RetryAfter: minRetryAfter})
		}
	}
}
