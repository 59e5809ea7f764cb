package sched

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// dispatchBackoff is how long a pool is skipped after its free servers could
// accept none of the waiting pieces. A freed result or a new piece ends it
// early.
const dispatchBackoff = 4 * time.Millisecond

// dispatch starts all calls that servers can take now, and places jobs at
// engines.
func (sch *Scheduler) dispatch(now time.Time) {
	for _, pol := range sch.pools {
		sch.dispatchPool(now, pol)
	}
	sch.placeReady(now)
}

// placeReady places the jobs that wait for an engine in rank order, so that
// each slot freed while the engines are full goes to the first in the queue.
func (sch *Scheduler) placeReady(now time.Time) {
	if len(sch.ready) == 0 {
		return
	}
	jobs := make([]*job, 0, len(sch.ready))
	for _, job := range sch.ready {
		job.rank, job.rankAt = sch.newRank(now, job), now
		jobs = append(jobs, job)
	}
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].rank.before(jobs[j].rank) })
	for _, job := range jobs {
		if now.Add(sch.minTime(job)).After(job.spec.GiveUp) {
			// The job waited so long for an engine that its caller would give
			// up before the first event.
			sch.refuseWaiting(now, job)
			continue
		}
		sch.placeJob(now, job)
	}
}

// dispatchPool assigns waiting pieces to a pool's free servers.
//
// In a burst the servers' memory is full, so they are often free but can accept
// nothing. Scanning thousands of pieces on every message would then use up the
// coordinator's processor and delay calls; nextDispatch prevents that.
func (sch *Scheduler) dispatchPool(now time.Time, pol *pool) {
	if len(pol.waiting) == 0 || now.Before(pol.nextDispatch) {
		return
	}
	free := pol.freeServers(now)
	if len(free) == 0 {
		return
	}
	jobs := sch.waitingByRank(now, pol)
	sent := false
	for len(free) > 0 {
		ser := free[0]
		free = free[1:]
		if _, may := sch.mayCall(now, ser.ent.Zone, 1); !may {
			continue
		}
		if pieces := sch.selectPieces(now, pol, ser, jobs); len(pieces) > 0 {
			sch.startCall(now, pol, ser, pieces)
			sent = true
		}
	}
	if !sent {
		pol.nextDispatch = now.Add(dispatchBackoff)
	}
}

// freeServers lists the servers that can take a call now, those with the fewest
// in-flight calls and the lowest slowdown first.
func (pol *pool) freeServers(now time.Time) []*server {
	var free []*server
	for _, ser := range pol.servers {
		if pol.canTakeCall(now, ser) {
			free = append(free, ser)
		}
	}
	sort.Slice(free, func(i, j int) bool {
		if one, two := len(free[i].inFlight), len(free[j].inFlight); one != two {
			return one < two
		}
		if one, two := free[i].expectedSlowdown(now), free[j].expectedSlowdown(now); one < two*0.8 || two < one*0.8 {
			return one < two
		}
		return free[i].ent.ID < free[j].ent.ID
	})
	return free
}

// waitingByRank returns the jobs with pieces waiting in a pool, in rank order.
func (sch *Scheduler) waitingByRank(now time.Time, pol *pool) []*job {
	jobs := make([]*job, 0, len(pol.waiting))
	for job := range pol.waiting {
		sch.rankOf(now, job)
		jobs = append(jobs, job)
	}
	slices.SortFunc(jobs, func(one, two *job) int {
		switch {
		case one.rank.before(two.rank):
			return -1
		case two.rank.before(one.rank):
			return 1
		}
		return strings.Compare(one.spec.Key.ID, two.spec.Key.ID)
	})
	return jobs
}

// selectPieces selects the pieces of one call, in rank order.
func (sch *Scheduler) selectPieces(now time.Time, pol *pool, ser *server, jobs []*job) []*piece {
	list := sch.candidates(now, pol, ser, jobs)
	size, _ := sch.mayCall(now, ser.ent.Zone, pol.svc.Batch.MaxPieces)
	if ser.rec.Ejected() {
		// The first call after an ejection is small, because it may be lost.
		size = max(1, size/4)
	}
	pck := &packer{pool: pol, server: ser, now: now, size: size, used: ser.usedBytes + ser.untrackedBytes(now), ignoreClaims: sch.ply.HoldAndWait}
	// Jobs whose pieces all fit go first: if a job is split over two calls, the
	// results of the first hold memory until the second has ended.
	pck.addAll(sch.withinParts(now, pol, list), sch.ply.SplitJobs)
	return pck.pieces
}

// packer collects the pieces of one call.
type packer struct {
	pool   *pool
	server *server
	now    time.Time
	size   int
	used   int64
	pieces []*piece
	// claimed is the claim of the jobs begun with a part of their pieces, those
	// of the call included; valid while claimedKnown is set.
	claimed      claim
	claimedKnown bool
	ignoreClaims bool
}

// addAll adds the pieces of jobs that fit, whole jobs first unless split is set.
func (pck *packer) addAll(jobs []*job, split bool) {
	for _, whole := range []bool{true, false} {
		if whole && split {
			continue
		}
		for _, job := range jobs {
			if len(pck.pieces) >= pck.size {
				return
			}
			pck.add(job, whole)
		}
	}
}

// add adds the pieces of a job that fit; if whole is set, all of them or none.
func (pck *packer) add(job *job, whole bool) {
	waiting := pck.pool.waiting[job]
	if len(pck.pieces) >= pck.size {
		return
	}
	if whole && !pck.fits(waiting) {
		return
	}
	from, used := len(pck.pieces), pck.used
	for _, pie := range waiting {
		if pie.selected {
			continue
		}
		if len(pck.pieces) >= pck.size || !pck.server.fits(pck.used+pie.stage.size, pck.pool.svc.Batch.ResultMemory) || !pck.pool.worthSending(pck.now, pck.server, pie) {
			break
		}
		pck.used += pie.stage.size
		pie.selected = true
		pck.pieces = append(pck.pieces, pie)
	}
	if !pck.mayBegin(job, from) {
		for _, pie := range pck.pieces[from:] {
			pie.selected = false
		}
		pck.pieces, pck.used = pck.pieces[:from], used
	}
}

func (pck *packer) fits(pieces []*piece) bool {
	used := pck.used
	for _, pie := range pieces {
		if pie.selected {
			return false
		}
		used += pie.stage.size
	}
	return len(pck.pieces)+len(pieces) <= pck.size && pck.server.fits(used, pck.pool.svc.Batch.ResultMemory)
}

// worthSending reports whether a piece may go to a server. A slow server gets
// no piece that would miss its target there or, if it is late already, end
// after the caller gave up.
func (pol *pool) worthSending(now time.Time, ser *server, pie *piece) bool {
	slow := ser.expectedSlowdown(now)
	if slow < 1.6 {
		return true
	}
	took := time.Duration(slow * float64(pol.svc.Batch.CallTime+pol.pieceTime(pie.stage.kind)))
	if pie.job.rank.late {
		return now.Add(2 * took).Before(pie.job.spec.GiveUp)
	}
	return now.Add(took + 200*time.Millisecond).Before(pie.job.spec.Target)
}

const (
	// timeoutFactor and timeoutMargin set a call's timeout to timeoutFactor
	// times its expected time plus timeoutMargin. Slow servers take four to
	// five times as long as usual; waiting for a call that such a server has
	// begun is better than repeating it elsewhere.
	timeoutFactor = 3
	timeoutMargin = 400 * time.Millisecond
)

func (sch *Scheduler) startCall(now time.Time, pol *pool, ser *server, pieces []*piece) {
	sch.callNumber++
	pol.calls++
	pol.sentPieces += len(pieces)
	act := &activeCall{number: sch.callNumber, pool: pol, server: ser, pieces: pieces, sent: now, startAt: now, nominalTime: pol.svc.Batch.CallTime}
	cal := Call{Number: act.number, Server: ser.ent}
	for _, pie := range pieces {
		pol.noteWait(now, pie)
		pol.dequeue(pie)
		pie.setState(stateInFlight)
		pie.selected = false
		pie.tries++
		pie.job.started = true
		ser.take(pie)
		act.nominalTime += pol.pieceTime(pie.stage.kind)
		itm := Item{ID: pie.job.spec.Key.ID, Stage: pie.stage.num, Piece: pie.num, Remaining: pie.job.spec.GiveUp.Sub(now)}
		if len(pie.stage.deps) == 0 {
			itm.Key = pie.job.spec.PieceKey
		} else {
			itm.Inputs = pie.stage.inputs()
		}
		cal.Items = append(cal.Items, itm)
	}
	if len(ser.inFlight) > 0 && ser.freeAt.After(now) {
		act.startAt = ser.freeAt
	}
	expect := time.Duration(float64(act.nominalTime) * max(1, ser.expectedSlowdown(now)))
	ser.freeAt = act.startAt.Add(expect)
	act.timeoutAt = act.startAt.Add(timeoutFactor*expect + timeoutMargin)
	for _, pie := range pieces {
		if pie.stage.expectedEnd.Before(ser.freeAt) {
			pie.stage.expectedEnd = ser.freeAt
		}
	}
	sch.noteProbe(act)
	cal.Timeout = act.timeoutAt.Sub(now)
	ser.inFlight = append(ser.inFlight, act)
	if len(ser.inFlight) == 1 {
		act.heldBytes = ser.heldBytes()
	}
	ser.rec.Started()
	sch.rates.Take(now, ser.ent.ID)
	sch.inFlight[act.number] = act
	sch.out.Call(cal)
}
