package sched

import (
	"math"
	"time"

	"lovagestream/core/health"
	"lovagestream/core/pause"
	"lovagestream/core/rates"
	"lovagestream/core/speed"
	"lovagestream/core/stock"
	"lovagestream/core/table"
)

// pieceKind groups pieces that take the same time.
type pieceKind struct {
	size int64
	deps int
}

// pool is one service that runs the pieces of a stage.
type pool struct {
	svc     *table.Service
	servers map[string]*server
	// rates are the rate limits that servers set.
	rates *rates.Limiter
	// pauses are the scheduler's pauses, shared by its pools.
	pauses *pause.Set[pauseKey]
	// nextDispatch is the end of the backoff after the pool's servers could
	// accept nothing.
	nextDispatch time.Time
	// queueWaits are the usual waits of pieces for their call.
	queueWaits queueWaits
	// waiting are the queued pieces, by job.
	waiting map[*job][]*piece
	// begun are jobs of which pieces were sent, at least all that have unsent
	// ones as well.
	begun map[*job]struct{}
	// holding is the memory in use by client account.
	holding holding
	// pieceTimes are the learnt times of one piece.
	pieceTimes map[pieceKind]time.Duration
	// batchFill is the usual number of pieces in a call.
	batchFill float64
	// inFlightBacklog is the work in flight, set by measurePools; ahead is the
	// work ahead of a job, set by sumAhead.
	inFlightBacklog backlog
	ahead           backlog
	// own is the work of a job's account to be done before the job, set by
	// ownEstimate.
	own time.Duration
	// calls, sentPieces and outOfMemory count, since the last PoolState, the
	// calls, their pieces, and the pieces that found no memory.
	calls       int
	sentPieces  int
	outOfMemory int
	// inflow is the work per second of admitted jobs that were expected to be
	// on time, smoothed; inflowAt is when it was last updated.
	inflow   float64
	inflowAt time.Time
	// division divides the pool between client accounts.
	division *division
	// outage is the time in which none of the servers answered.
	outage outage
}

// server is one backend server of a pool.
type server struct {
	ent stock.Entry
	rec health.Record
	// gone servers hold no results any more.
	gone bool
	// inFlight are the server's calls, oldest first.
	inFlight []*activeCall
	// freeAt is when the last of them should have ended.
	freeAt time.Time
	// usedBytes is the memory that results and in-flight calls take.
	usedBytes int64
	// untracked is the memory, in bytes, that untracked results took at
	// untrackedAt. The last of them expires at untrackedUntil; if fading is
	// set, the others expire evenly before that.
	untracked      int64
	fading         bool
	untrackedAt    time.Time
	untrackedUntil time.Time
	// sizeFactor is the ratio of real to configured result sizes; at least 1.
	sizeFactor float64
	// results are the pieces whose results the server holds.
	results map[*piece]bool
	// slowdown is the ratio of measured to expected call time.
	slowdown float64
	// slowdownAt is when slowdown was last updated.
	slowdownAt time.Time
	// load is the server's last report, received at loadAt.
	load   speed.Load
	loadAt time.Time
	// fullUntil is the end of the backoff after the server reported that it is
	// full, outOfMemoryUntil after it had no memory for any piece of a call.
	fullUntil        time.Time
	outOfMemoryUntil time.Time
	// noPathAt is when a call last found no path to the server; zero after an answer.
	noPathAt time.Time
}

// activeCall is one in-flight call.
type activeCall struct {
	number uint64
	pool   *pool
	server *server
	pieces []*piece
	sent   time.Time
	// heldBytes is the memory of the server's known results when the call
	// started.
	heldBytes int64
	// startAt is when the server should have started the call.
	startAt time.Time
	// nominalTime is how long the call should take on a server of usual speed.
	nominalTime time.Duration
	timeoutAt   time.Time
}

func newPool(svc *table.Service, lim *rates.Limiter, pau *pause.Set[pauseKey]) *pool {
	return &pool{svc: svc, rates: lim, pauses: pau, queueWaits: queueWaits{}, servers: map[string]*server{}, waiting: map[*job][]*piece{}, begun: map[*job]struct{}{}, holding: holding{}, pieceTimes: map[pieceKind]time.Duration{}, batchFill: float64(svc.Batch.MaxPieces) / 2, division: newDivision(svc.Name)}
}

// configure sets the live servers. It calls lost for each server that was
// replaced or restarted, and so lost its results.
func (pol *pool) configure(svc *table.Service, list []stock.Entry, lost func(*server)) {
	pol.svc = svc
	seen := map[string]bool{}
	for _, ent := range list {
		seen[ent.ID] = true
		ser := pol.servers[ent.ID]
		if ser != nil && (ser.ent.StartedAt != ent.StartedAt || ser.ent.Address != ent.Address) {
			ser.gone = true
			delete(pol.servers, ent.ID)
			lost(ser)
			ser = nil
		}
		if ser == nil {
			ser = &server{results: map[*piece]bool{}, slowdown: 1, sizeFactor: 1}
			pol.servers[ent.ID] = ser
		}
		ser.ent = ent
	}
	for id, ser := range pol.servers {
		if seen[id] {
			continue
		}
		// A server keeps running for a while after its entry was removed: its
		// in-flight calls and results stay usable until they fail.
		ser.ent.Leaving = true
		if len(ser.inFlight) == 0 && len(ser.results) == 0 {
			ser.gone = true
			delete(pol.servers, id)
		}
	}
}

func (pol *pool) enqueue(now time.Time, pie *piece) {
	pie.waitingSince = now
	pol.nextDispatch = time.Time{}
	pol.waiting[pie.job] = append(pol.waiting[pie.job], pie)
}

func (pol *pool) dequeue(pie *piece) {
	list := pol.waiting[pie.job]
	kept := list[:0]
	for _, oth := range list {
		if oth != pie {
			kept = append(kept, oth)
		}
	}
	if len(kept) == 0 {
		delete(pol.waiting, pie.job)
		return
	}
	pol.waiting[pie.job] = kept
}

// pieceTime is the usual time of one piece.
func (pol *pool) pieceTime(knd pieceKind) time.Duration {
	if got, ok := pol.pieceTimes[knd]; ok {
		return got
	}
	return pol.svc.Batch.PieceTime
}

const (
	// learningRate is the weight of one full call in the learnt times.
	learningRate = 0.15
	// minLearnFill is the smallest share of a full call from which piece times
	// are learnt. In smaller calls, message and scheduling delays outweigh the
	// pieces.
	minLearnFill = 0.25
	// maxLearnRatio is the ratio of measured to expected time above which a
	// call says something about its server rather than its pieces. No call is
	// faster than its pieces, so fast calls always count.
	maxLearnRatio = 1.6
	// minObservedRatio and maxObservedRatio bound the influence of one call.
	minObservedRatio = 0.2
	maxObservedRatio = 3
)

// observeCall updates the learnt times from a call that has ended.
//
// Small calls, as at low load, are ignored: times learnt from them were three
// times too long, so that in the next burst full calls looked too fast to learn
// from, queues looked twice as long as they were, and most on-time jobs counted
// as late.
//
// A call is compared with the present piece times, not with those when it was
// sent. If servers are late for a common reason, their calls end together, and
// their corrections would multiply: piece times grew thirtyfold, every job was
// refused, and no further call could correct them.
func (pol *pool) observeCall(now time.Time, act *activeCall) {
	took := now.Sub(act.startAt)
	ratio := float64(took) / float64(act.nominalTime)
	ser := act.server
	ser.slowdown += 0.5 * (ratio - ser.slowdown)
	ser.slowdown = max(0.5, ser.slowdown)
	ser.slowdownAt = now
	pol.batchFill += learningRate * (float64(len(act.pieces)) - pol.batchFill)
	fill := float64(len(act.pieces)) / float64(pol.svc.Batch.MaxPieces)
	work := time.Duration(0)
	for _, pie := range act.pieces {
		work += pol.pieceTime(pie.stage.kind)
	}
	if ratio > maxLearnRatio || fill < minLearnFill || work <= 0 {
		return
	}
	observed := took - pol.svc.Batch.CallTime - messageDelay
	scale := 1 + learningRate*fill*(max(minObservedRatio, min(maxObservedRatio, float64(observed)/float64(work)))-1)
	done := map[pieceKind]bool{}
	for _, pie := range act.pieces {
		knd := pie.stage.kind
		if !done[knd] {
			done[knd] = true
			pol.pieceTimes[knd] = time.Duration(float64(pol.pieceTime(knd)) * scale)
		}
	}
}

// slowdownHalfLife is the time in which half of an idle server's slowdown is
// forgotten, so that the server is tried again within a second or two.
const slowdownHalfLife = 1500 * time.Millisecond

// expectedSlowdown is the slowdown to expect of the next call.
func (ser *server) expectedSlowdown(now time.Time) float64 {
	reported := ser.reportedSlowdown(now)
	if ser.slowdown <= 1.3 || len(ser.inFlight) > 0 {
		return max(reported, ser.slowdown)
	}
	halves := float64(now.Sub(ser.slowdownAt)) / float64(slowdownHalfLife)
	return max(reported, 1+(ser.slowdown-1)/(1+halves*halves))
}

// heldBytes is the memory, in bytes, of known results at the server, without
// those of in-flight calls.
func (ser *server) heldBytes() int64 {
	sum := ser.usedBytes
	for _, act := range ser.inFlight {
		for _, pie := range act.pieces {
			sum -= pie.stage.size
		}
	}
	return sum
}

// dropResult removes a result from the server's memory count.
func (ser *server) dropResult(pie *piece) {
	if ser.results[pie] {
		delete(ser.results, pie)
		ser.drop(pie)
		ser.outOfMemoryUntil = time.Time{}
		pie.stage.pool.nextDispatch = time.Time{}
	}
	pie.server = nil
}

// usable reports whether a server may get calls.
func (ser *server) usable(now time.Time) bool {
	return !ser.gone && !ser.ent.Leaving && ser.rec.Available(now) && !now.Before(ser.fullUntil) && !now.Before(ser.outOfMemoryUntil)
}

// limitedShare is the share of its time that a server is busy at its rate limit
// with full calls, which it gets while work is queued; 1 without a limit.
func (pol *pool) limitedShare(now time.Time, ser *server) float64 {
	own, limited := pol.rates.OwnRate(now, ser.ent.ID)
	if !limited {
		return 1
	}
	bat := pol.svc.Batch
	length := bat.CallTime + time.Duration(bat.MaxPieces)*bat.PieceTime
	return min(1, own*length.Seconds())
}

// sendAhead is how long before a call's expected end the next one is sent, so
// that it already waits at the server then. It covers a message between zones
// and back and the scheduling delay of a busy processor.
const sendAhead = 25 * time.Millisecond

// canTakeCall reports whether a server should get its next call now.
func (pol *pool) canTakeCall(now time.Time, ser *server) bool {
	if !ser.usable(now) || pol.pauseLeft(now, ser) > 0 || !pol.rates.Allowed(now, ser.ent.ID) || !pol.rates.MayReject(now, ser.ent.ID, len(ser.inFlight)) {
		return false
	}
	num := len(ser.inFlight)
	switch {
	case num < pol.svc.Batch.ConcurrentCalls:
		return true
	case num < pol.svc.Batch.ConcurrentCalls+min(1, pol.svc.Batch.QueuedCalls):
		return ser.slowdown < 1.5 && now.Add(sendAhead).After(ser.freeAt) && now.Before(ser.freeAt.Add(sendAhead))
	}
	return false
}

// expire drops results that their servers have dropped.
func (pol *pool) expire(now time.Time, lost func(*piece)) {
	for _, ser := range pol.servers {
		for pie := range ser.results {
			if now.After(pie.expires) {
				lost(pie)
			}
		}
	}
}

// serverLost recomputes the results of a server that is gone, and requeues the
// pieces of its calls.
func (sch *Scheduler) serverLost(now time.Time, ser *server) {
	for _, act := range ser.inFlight {
		sch.out.CancelCall(act.number)
		delete(sch.inFlight, act.number)
		sch.requeue(now, act)
	}
	ser.inFlight = nil
	for pie := range ser.results {
		sch.recompute(now, pie)
	}
}

// requeue queues the pieces of a call again.
func (sch *Scheduler) requeue(now time.Time, act *activeCall) {
	for _, pie := range act.pieces {
		act.server.drop(pie)
		if pie.job.ended || pie.state != stateInFlight {
			continue
		}
		pie.setState(stateWaiting)
		if !pie.stage.inputsReady() {
			pie.setState(stateBlocked)
			continue
		}
		act.pool.enqueue(now, pie)
	}
}

// inflowWindow is the time over which inflow is smoothed: long enough to cover
// several calls, short enough to show a burst within its first second.
const inflowWindow = 1500 * time.Millisecond

// addInflow decays the inflow to the present time and adds work.
func (pol *pool) addInflow(now time.Time, work time.Duration) {
	if gap := now.Sub(pol.inflowAt); gap > 0 {
		pol.inflow *= math.Exp(-float64(gap) / float64(inflowWindow))
		pol.inflowAt = now
	}
	pol.inflow += float64(work) / float64(inflowWindow)
}

// spareShare is the share of a capacity, in servers, that jobs which are on
// time leave free.
func (pol *pool) spareShare(now time.Time, capacity float64) float64 {
	pol.addInflow(now, 0)
	if capacity <= 0 {
		return minSpareShare
	}
	return max(minSpareShare, 1-pol.inflow/capacity)
}

// minSpareShare keeps estimates finite while a burst takes all capacity.
const minSpareShare = 0.05
