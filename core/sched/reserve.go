package sched

import (
	"slices"
	"time"
)

// A job that has begun in a pool holds memory there until its last piece is
// done. If jobs begin as memory allows, each may wait for memory that others
// hold. So a job begins with a part of its pieces only if the pool's memory
// takes all results of all jobs that have begun so. A job that sends all its
// pieces needs no more memory and may begin at any time.
// docs/design/result-memory.md has the argument.
//
// Load pattern: a burst of requests with more pieces than a call takes, whose
// results fill the servers' memory.

// unsent returns the size of a job's results in a pool whose pieces are not
// sent.
func (job *job) unsent(pol *pool) int64 {
	sum := int64(0)
	for _, stg := range job.stages {
		if stg.pool == pol {
			sum += int64(stg.remaining-stg.inFlight) * stg.size
		}
	}
	return sum
}

// hasBegun reports whether pieces of a job were sent to a pool.
func (job *job) hasBegun(pol *pool) bool {
	for _, stg := range job.stages {
		if stg.pool == pol && stg.remaining-stg.inFlight < len(stg.pieces) {
			return true
		}
	}
	return false
}

// claim is the memory for results of jobs, made and unmade.
type claim struct {
	bytes int64
	// largest is the size of the largest result.
	largest int64
}

func (cla *claim) add(job *job, pol *pool) {
	for _, stg := range job.stages {
		if stg.pool != pol || len(stg.pieces) == 0 || stg.remaining == 0 && stg.pieces[0].server == nil {
			continue
		}
		cla.bytes += int64(len(stg.pieces)) * stg.size
		cla.largest = max(cla.largest, stg.size)
	}
}

// claimed returns the claim of the jobs that have sent a part of their pieces
// to a pool, and forgets those that have sent all.
func (pol *pool) claimed() claim {
	var cla claim
	for job := range pol.begun {
		if job.ended || job.unsent(pol) == 0 || !job.hasBegun(pol) {
			delete(pol.begun, job)
			continue
		}
		cla.add(job, pol)
	}
	return cla
}

// fits reports whether a pool's memory takes a claim. Each server takes whole
// results; without that, results may fit in sum but into no server.
func (pol *pool) fits(now time.Time, cla claim) bool {
	sum := int64(0)
	for _, ser := range pol.servers {
		if free := ser.capacity(now, pol); free > 0 && cla.largest > 0 {
			sum += free - free%cla.largest
		}
	}
	return cla.bytes <= sum
}

// capacity is the memory that a server has for known results.
func (ser *server) capacity(now time.Time, pol *pool) int64 {
	if ser.gone || ser.ent.Leaving || !ser.rec.Available(now) {
		return 0
	}
	return max(0, int64(float64(pol.svc.Batch.ResultMemory)/ser.sizeFactor)-ser.untrackedBytes(now))
}

// fitsEmpty reports whether a stage's results and those that it depends on fit
// into the listed servers of its pool while nothing else does.
func (stg *stage) fitsEmpty() bool {
	bytes := int64(len(stg.pieces)) * stg.size
	for _, dep := range stg.deps {
		if dep.pool == stg.pool {
			bytes += int64(len(dep.pieces)) * dep.size
		}
	}
	for _, ser := range stg.pool.servers {
		if !ser.gone && !ser.ent.Leaving {
			bytes -= stg.pool.svc.Batch.ResultMemory
		}
	}
	return bytes <= 0
}

// mayBegin reports whether the pieces of a job from an index on may be sent. If
// no other job has begun with a part of its pieces, any may.
func (pck *packer) mayBegin(job *job, from int) bool {
	taken := int64(0)
	for _, pie := range pck.pieces[from:] {
		taken += pie.stage.size
	}
	if pck.ignoreClaims || taken == 0 || taken == job.unsent(pck.pool) || job.hasBegun(pck.pool) {
		return true
	}
	if !pck.claimedKnown {
		pck.claimed, pck.claimedKnown = pck.pool.claimed(), true
	}
	want := pck.claimed
	want.add(job, pck.pool)
	if pck.claimed.bytes > 0 && !pck.pool.fits(pck.now, want) {
		return false
	}
	pck.claimed = want
	return true
}

// recoverMemory lets one job give its results back if begun jobs wait for each
// other's memory, as after the loss of a server, or where jobs enter pools in
// different orders.
func (sch *Scheduler) recoverMemory(now time.Time) {
	if sch.ply.HoldAndWait || !sch.isOverClaimed(now) {
		return
	}
	free := map[*pool]int64{}
	for _, pol := range sch.pools {
		for _, ser := range pol.servers {
			free[pol] += ser.capacity(now, pol) - ser.usedBytes
		}
	}
	var stuck []*job
	for _, job := range sch.jobList {
		if job.started {
			stuck = append(stuck, job)
		}
	}
	for num := -1; num != len(stuck); {
		num = len(stuck)
		stuck = slices.DeleteFunc(stuck, func(job *job) bool { return job.finishes(free) })
	}
	var last *job
	for _, job := range stuck {
		if job.run == nil && !job.hasInFlight() && job.holdsResults() && (last == nil || sch.rankOf(now, last).before(sch.rankOf(now, job))) {
			last = job
		}
	}
	if last != nil {
		sch.giveBack(now, last)
	}
}

// isOverClaimed reports whether a pool's memory doesn't take the claim of all
// jobs that have begun there with a part of their pieces.
func (sch *Scheduler) isOverClaimed(now time.Time) bool {
	for _, pol := range sch.pools {
		if cla := pol.claimed(); !pol.fits(now, cla) {
			return true
		}
	}
	return false
}

// finishes reports whether a job's unsent results fit into the free memory, and
// if so adds the memory that it holds.
func (job *job) finishes(free map[*pool]int64) bool {
	for _, stg := range job.stages {
		if bytes := job.unsent(stg.pool); bytes > 0 && bytes > free[stg.pool] {
			return false
		}
	}
	for _, stg := range job.stages {
		free[stg.pool] += int64(stg.inFlight) * stg.size
		for _, pie := range stg.pieces {
			if pie.server != nil {
				free[stg.pool] += stg.size
			}
		}
	}
	return true
}

func (job *job) holdsResults() bool {
	for _, stg := range job.stages {
		for _, pie := range stg.pieces {
			if pie.server != nil {
				return true
			}
		}
	}
	return false
}

// giveBack frees a job's results and restarts it.
func (sch *Scheduler) giveBack(now time.Time, job *job) {
	sch.freeJob(job)
	delete(sch.ready, job.spec.Key)
	job.engineCharge.drop(job, job.engineCharge.num)
	job.started = false
	for _, stg := range job.stages {
		stg.preferredZoneKnown = false
		for _, pie := range stg.pieces {
			if pie.state == stateDone {
				pie.setState(stateBlocked)
				stg.remaining++
			}
		}
	}
	for _, stg := range job.stages {
		sch.blockStage(stg)
	}
	sch.enqueue(now, job)
}
