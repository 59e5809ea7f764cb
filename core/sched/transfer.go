package sched

import (
	"time"

	"lovagestream/core/stock"
)

// Transfer ends the jobs that were submitted before a time, and notifies their
// entry instances that another instance is the coordinator now. Jobs with
// in-flight calls are transferred by a later Transfer, once these have ended.
// It returns the number of jobs transferred.
//
// Coordinators change when all instances restart at once, each its own
// coordinator until it sees the others, or when one is stopped in a burst. If
// it kept its jobs, it would send almost empty calls beside its successor,
// which doesn't know what fills the servers' memory. Jobs submitted later are
// kept: their sender sees another membership and would send them back.
func (sch *Scheduler) Transfer(now, before time.Time, to string) int {
	num := 0
	sch.transferBefore = before
	for _, job := range sch.jobs {
		if !sch.transferable(job) || job.hasInFlight() {
			continue
		}
		sch.dropJob(now, job)
		sch.out.Notify(Decision{Key: job.spec.Key, Outcome: Moved, Reason: "scheduler-moved", Server: stock.Entry{Address: to}})
		num++
	}
	return num
}

// transferable reports whether a job is to be transferred. Such a job gets no
// further calls; otherwise, while full servers refuse its calls, it would
// always be in flight again before it could be transferred.
func (sch *Scheduler) transferable(job *job) bool { return job.submittedAt.Before(sch.transferBefore) }

// hasInFlight reports whether pieces of a job are in flight.
func (job *job) hasInFlight() bool {
	for _, stg := range job.stages {
		if stg.inFlight > 0 {
			return true
		}
	}
	return false
}

// dropJob ends a job whose results another instance uses now, so they are not
// freed.
func (sch *Scheduler) dropJob(now time.Time, job *job) {
	for _, stg := range job.stages {
		for _, pie := range stg.pieces {
			if pie.server != nil {
				pie.server.dropResult(pie)
			}
		}
	}
	sch.endJob(now, job)
}
