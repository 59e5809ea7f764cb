package sched

import (
	"sort"
	"time"
)

const (
	// shedPeriod is how often infeasible jobs are shed, and so the longest time
	// that a job known to be infeasible is kept.
	shedPeriod = 100 * time.Millisecond
	// shedMargin is how far an estimate may exceed the time until the caller
	// gives up before a waiting job is shed. Estimates are too high while calls
	// are fuller than usual.
	shedMargin = 1.25
)

// shed refuses the jobs that would be served after their callers gave up. It
// goes once through all waiting jobs in the order in which they will be served.
// Callers learn of the refusal at once and can come back.
//
// A burst fills the queue with late jobs. New on-time jobs overtake them, so
// some late jobs can't be served any more, which is not known when they are
// admitted.
//
// The estimate uses the pools' full capacity. The share that on-time jobs leave
// free changes within a second: estimates based on it refused hundreds of jobs
// at once after 0.7 s and left servers idle a moment later.
func (sch *Scheduler) shed(now time.Time) {
	sch.pauses.Sweep(now)
	jobs := make([]*job, 0, len(sch.jobList))
	for _, job := range sch.jobList {
		if job.run == nil && !job.ended {
			job.rank = sch.rankOf(now, job)
			jobs = append(jobs, job)
		}
	}
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].rank.before(jobs[j].rank) })
	for _, pol := range sch.pools {
		pol.ahead = sch.poolBacklog(now, pol)
	}
	clear(sch.queued)
	var lost []*job
	for _, job := range jobs {
		if sch.infeasible(now, job) {
			lost = append(lost, job)
			continue
		}
		sch.countQueued(job)
		for _, stg := range job.stages {
			if stg.remaining > 0 {
				stg.pool.ahead.work += stg.work()
			}
		}
	}
	for _, job := range lost {
		sch.refuseWaiting(now, job)
	}
}

// infeasible reports whether a job can't have its first event before its caller
// gives up, behind the jobs ahead of it.
func (sch *Scheduler) infeasible(now time.Time, job *job) bool {
	left := job.spec.GiveUp.Sub(now)
	minTime := sch.minTime(job)
	job.expected = minTime
	if minTime > left || !sch.servable(job) || sch.exhausted(job) {
		return true
	}
	if wait := sch.limitWait(now, job); wait > left {
		// Jobs that wait for rate-limited servers hold memory meanwhile, so
		// started ones are shed as well.
		job.limited = true
		job.expected = wait
		return true
	}
	if wait := sch.pauseWait(now, job); wait > left {
		job.paused = true
		job.expected = wait
		return true
	}
	if wait := job.outageWait(); wait > left && float64(left) < minRetryShare*float64(job.spec.GiveUp.Sub(job.spec.Arrived)) {
		job.unreachable = true
		job.expected = wait
		return true
	}
	if !job.rank.late || job.started {
		return false
	}
	wait := time.Duration(0)
	for _, stg := range job.stages {
		if stg.remaining == 0 {
			continue
		}
		wait = max(wait, stg.pool.ahead.wait())
	}
	job.expected = wait + minTime
	return float64(wait+minTime) > shedMargin*float64(left)
}

func (sch *Scheduler) refuseWaiting(now time.Time, job *job) {
	engineTime := sch.measurePools(now, job)
	after := retryAfter(now, job, sch.estimate(now, job, lateRank(job), engineTime))
	reason := "no-time-left"
	dec := Decision{Estimate: job.expected, Allowed: job.spec.GiveUp.Sub(now)}
	switch {
	case !sch.servable(job):
		after, reason = unknownServiceWait, sch.unservable(job)
	case sch.exhausted(job):
		reason = reasonNoOther
	case job.unreachable:
		reason = reasonNoReach
	case job.limited:
		reason = reasonLimited
	case job.paused:
		after, reason = max(minRetryAfter, sch.pauseWait(now, job)), reasonPaused
	case job.over:
		after, reason = retryAfter(now, job, sch.shareEstimate(job, engineTime)), ReasonOverShare
	}
	dec.Reason, dec.RetryAfter = reason, after
	sch.endJob(now, job)
	sch.refuse(now, job, dec)
}
