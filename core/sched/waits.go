package sched

import "time"

const (
	// waitSmoothing is the weight of the latest piece in the usual wait of its
	// class.
	waitSmoothing = 0.02
	// maxClasses bounds the classes whose waits a pool learns.
	maxClasses = 64
)

// priorityClass is what orders requests before their due times.
type priorityClass struct {
	priority int
	urgency  int
	// over is set for accounts that ask for more than their share.
	over bool
}

func classOf(spc *Spec, over bool) priorityClass {
	return priorityClass{priority: spc.Priority, urgency: spc.Urgency, over: over}
}

// queueWaits are the usual times that pieces of on-time jobs wait for their
// call.
type queueWaits map[priorityClass]time.Duration

// learn updates the usual wait of a class by that of one piece.
func (wai queueWaits) learn(cls priorityClass, wait time.Duration) {
	if _, have := wai[cls]; !have && len(wai) >= maxClasses {
		return
	}
	wai[cls] += time.Duration(waitSmoothing * float64(wait-wai[cls]))
}

// noteWait learns from a piece that is about to be sent. Late jobs get the
// capacity that others leave, so their waits say nothing about on-time jobs.
func (pol *pool) noteWait(now time.Time, pie *piece) {
	if !pie.job.rank.late {
		pol.queueWaits.learn(classOf(&pie.job.spec, pie.job.over), now.Sub(pie.waitingSince))
	}
}

// expectedFirstEvent is when a job's first event is due if its pieces wait as
// long as usual.
//
// Without the usual wait, jobs in a burst would count as on time until their
// minimum time no longer allows it. Each would then be served a little too
// late, and all would miss targets that most could have met.
func (sch *Scheduler) expectedFirstEvent(now time.Time, job *job) time.Time {
	last := job.criticalPath(func(stg *stage, begin time.Duration) time.Duration {
		if stg.remaining == stg.inFlight {
			return max(begin, stg.expectedEnd.Sub(now))
		}
		return begin + stg.unqueuedTime() + stg.queueWait(job)
	})
	if eng := sch.engines[job.spec.Service]; eng != nil {
		last += eng.FirstEventTime(0)
	}
	return now.Add(last + job.extraWait())
}

// extraWait is how much longer than usual a job is expected to wait for its
// first call.
//
// A job is served as if it were due later by its bias. Without the extra wait, a
// costly job would count as on time until it was too late, as a cheap one would
// have been, and its pieces would make others late as well.
func (job *job) extraWait() time.Duration {
	if job.started {
		return 0
	}
	usual := time.Duration(0)
	for _, stg := range job.stages {
		if stg.remaining > 0 {
			usual = max(usual, stg.queueWait(job))
		}
	}
	return min(job.bias, usual)
}

// queueWait is how long pieces of a stage are expected to wait for their call,
// if other pieces wait now.
func (stg *stage) queueWait(job *job) time.Duration {
	if len(stg.pool.waiting) == 0 {
		return 0
	}
	return stg.pool.queueWaits[classOf(&job.spec, job.over)]
}

// isLate reports whether a job counts as late.
func (sch *Scheduler) isLate(now time.Time, job *job) bool {
	if sch.ply.IgnoreQueueWait {
		return now.Add(sch.minTime(job)).After(job.spec.Target)
	}
	return sch.expectedFirstEvent(now, job).After(job.spec.Target)
}
