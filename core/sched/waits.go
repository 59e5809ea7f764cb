package sched

import "time"

const (
	// waitWeight of the latest piece in the usual wait of its class.
	waitWeight = 0.02
	// maxClasses bounds the classes that a pool learns waits of.
	maxClasses = 64
)

// class is what orders requests before their due times do.
type class struct {
	priority int
	urgency  int
}

func classOf(spc *Spec) class { return class{priority: spc.Priority, urgency: spc.Urgency} }

// waits are the usual times that pieces of jobs in time wait for their call.
type waits map[class]time.Duration

// learn notes how long a piece has waited.
func (wai waits) learn(cls class, wait time.Duration) {
	if _, have := wai[cls]; !have && len(wai) >= maxClasses {
		return
	}
	wai[cls] += time.Duration(waitWeight * float64(wait-wai[cls]))
}

// noteWait learns from a piece that is about to be sent. Late jobs wait for what
// others leave, which says nothing of those in time.
func (pol *pool) noteWait(now time.Time, pie *piece) {
	if !pie.job.rank.late {
		pol.waits.learn(classOf(&pie.job.spec), now.Sub(pie.since))
	}
}

// likely is when a job's first event is due if its pieces wait as usual.
//
// Load pattern: a burst is ordered by due time. With jobs taken for in time until
// nothing could save them, each has its turn a little too late: all miss their aims
// where most could have met them.
func (sch *Scheduler) likely(now time.Time, job *job) time.Time {
	last := job.path(func(stg *stage, begin time.Duration) time.Duration {
		if stg.left == stg.inFlight {
			return max(begin, stg.ends.Sub(now))
		}
		return begin + stg.alone() + stg.wait(job)
	})
	if eng := sch.engines[job.spec.Service]; eng != nil {
		last += eng.Reading(0)
	}
	return now.Add(last)
}

// wait is how long pieces of a stage will wait for their call, where others do.
func (stg *stage) wait(job *job) time.Duration {
	if len(stg.pool.waiting) == 0 {
		return 0
	}
	return stg.pool.waits[classOf(&job.spec)]
}

// lateNow reports whether a job counts as late.
func (sch *Scheduler) lateNow(now time.Time, job *job) bool {
	if sch.ply.LateAtLast {
		return now.Add(sch.least(job)).After(job.spec.Aim)
	}
	return sch.likely(now, job).After(job.spec.Aim)
}
