package sched

import (
	"time"

	"lovagestream/core/call"
)

// rank orders waiting jobs. Jobs that can still meet their target go first: a
// late answer has only a fraction of the value, and serving late jobs first
// makes all others late as well. Next come started jobs, since their results
// hold memory; then the jobs within their account's share; then the account's
// priority, then the route's urgency, then the due time.
type rank struct {
	late    bool
	started bool
	// lead is how far the account is ahead of its share.
	lead lead
	// returned is set for callers that came back after a refusal. Among late
	// jobs they have waited longest, and they won't come back a second time.
	returned bool
	priority int
	urgency  int
	due      time.Time
}

func (rnk rank) before(oth rank) bool {
	switch {
	case rnk.late != oth.late:
		return !rnk.late
	case rnk.started != oth.started:
		return rnk.started
	case rnk.lead != oth.lead && (min(rnk.lead, oth.lead) == overdue || max(rnk.lead, oth.lead) == farAhead):
		return rnk.lead < oth.lead
	case rnk.late && rnk.returned != oth.returned:
		return rnk.returned
	case rnk.priority != oth.priority:
		return rnk.priority < oth.priority
	case rnk.urgency != oth.urgency:
		return rnk.urgency < oth.urgency
	case rnk.lead != oth.lead:
		return rnk.lead < oth.lead
	}
	return rnk.due.Before(oth.due)
}

// rankTTL is how long a cached rank is used. An estimate for one job looks at
// all others, and ranks change slowly.
const rankTTL = 20 * time.Millisecond

// rankOf returns a job's rank, which may be up to rankTTL old.
func (sch *Scheduler) rankOf(now time.Time, job *job) rank {
	if job.rankAt.IsZero() || now.Sub(job.rankAt) > rankTTL || job.rank.started != job.started {
		job.rank, job.rankAt = sch.newRank(now, job), now
	}
	return job.rank
}

// newRank computes a job's rank.
func (sch *Scheduler) newRank(now time.Time, job *job) rank {
	job.over = sch.asksTooMuch(job)
	rnk := rank{started: job.started, lead: sch.leadOf(now, job), returned: job.returned, priority: job.spec.Priority, urgency: job.spec.Urgency, due: job.spec.Target.Add(job.bias)}
	if sch.isLate(now, job) {
		rnk.late = true
		rnk.due = job.spec.GiveUp
	}
	return rnk
}

// maxStages is how many stages an estimate looks at; configured pipelines have
// up to six.
const maxStages = 16

// criticalPath is the time until the last stage of the job ends, if each stage
// begins when those it depends on have ended. step returns the end of a stage
// that begins at a given time.
func (job *job) criticalPath(step func(stg *stage, begin time.Duration) time.Duration) time.Duration {
	var ends [maxStages]time.Duration
	var last time.Duration
	for idx, stg := range job.stages[:min(maxStages, len(job.stages))] {
		for _, dep := range stg.deps {
			ends[idx] = max(ends[idx], ends[dep.num])
		}
		if stg.remaining > 0 {
			ends[idx] = step(stg, ends[idx])
		}
		last = max(last, ends[idx])
	}
	return last
}

// minTime is the shortest time in which a job could have its first event: its
// critical path without queueing, plus the prefill of its prompt.
func (sch *Scheduler) minTime(job *job) time.Duration {
	last := job.criticalPath(func(stg *stage, begin time.Duration) time.Duration { return begin + stg.unqueuedTime() })
	eng := sch.engines[job.spec.Service]
	if eng == nil {
		return last
	}
	return last + eng.FirstEventTime(0)
}

// unqueuedTime is how long a stage takes with calls of the usual size and no
// queueing.
func (stg *stage) unqueuedTime() time.Duration {
	num := min(float64(stg.pool.svc.Batch.MaxPieces), max(stg.pool.batchFill, float64(stg.remaining)))
	return stg.pool.svc.Batch.CallTime + time.Duration(num*float64(stg.pool.pieceTime(stg.kind)))
}

// messageDelay is what each stage adds to the time of its calls: messages in
// both directions, and scheduling delays of busy processors.
const messageDelay = 12 * time.Millisecond

// backlog is the work ahead of a job in one pool.
type backlog struct {
	work time.Duration
	// capacity is the pool's capacity, in servers of usual speed.
	capacity float64
	// firstFree is the time until the first server is free.
	firstFree time.Duration
	// callRate is the calls a second that the rate limits allow, if every
	// server of the pool has one; otherwise 0.
	callRate float64
	// pauseLeft is the time until the first paused server takes calls again; 0
	// if none is paused.
	pauseLeft time.Duration
	// outageLeft is the time until a server is expected to be reached again; 0 if one
	// can be reached.
	outageLeft time.Duration
}

func (bkl backlog) wait() time.Duration {
	if bkl.capacity < minCapacity {
		return max(noServerWait, bkl.pauseLeft, bkl.outageLeft)
	}
	wait := max(bkl.firstFree, time.Duration(float64(bkl.work)/bkl.capacity))
	if bkl.callRate > 0 {
		// Calls are spaced out: a job that just misses one waits for the next.
		wait += time.Duration(float64(time.Second) / bkl.callRate)
	}
	return wait
}

// minCapacity is the capacity, in servers, below which no wait is computed: a
// few calls a minute.
const minCapacity = 0.005

// noServerWait is the assumed wait for a pool without a usable server.
const noServerWait = 1500 * time.Millisecond

// sumAhead sets each pool's ahead to the work to be done there before a job of
// the given rank. Jobs of equal rank count as ahead.
func (sch *Scheduler) sumAhead(now time.Time, rnk rank) {
	for _, pol := range sch.pools {
		pol.ahead = pol.inFlightBacklog
		if rnk.late && !sch.ply.FullCapacity {
			// While a late job waits, new jobs arrive that go before it.
			pol.ahead.capacity *= pol.spareShare(now, pol.ahead.capacity)
		}
	}
	clear(sch.queued)
	for _, oth := range sch.jobList {
		if oth.run != nil || rnk.before(sch.rankOf(now, oth)) {
			continue
		}
		sch.countQueued(oth)
		for _, stg := range oth.stages {
			if stg.remaining > 0 {
				stg.pool.ahead.work += stg.work()
			}
		}
	}
}

// countQueued counts a job among those that will need a server of its service.
func (sch *Scheduler) countQueued(job *job) {
	if sch.rates.Bounded() {
		sch.queued[job.spec.Service]++
	}
}

// limitWait is how long a job waits for the rate limits of its service's
// servers, behind the queued jobs.
func (sch *Scheduler) limitWait(now time.Time, job *job) time.Duration {
	eng := sch.engines[job.spec.Service]
	if eng == nil || !sch.rates.Bounded() {
		return 0
	}
	return eng.LimitWait(now, sch.queued[job.spec.Service])
}

// work is the time of a stage's pieces that are not in flight, as part of full
// calls.
func (stg *stage) work() time.Duration {
	return time.Duration(stg.remaining-stg.inFlight) * stg.each()
}

// poolBacklog returns the work in flight at a pool's servers, and their
// capacity.
func (sch *Scheduler) poolBacklog(now time.Time, pol *pool) backlog {
	bkl := backlog{firstFree: noServerWait}
	callRate, unlimited := 0.0, false
	for _, ser := range pol.servers {
		if ser.gone || ser.ent.Leaving || !ser.rec.Available(now) || ser.noPath(now) || sch.unreachable(ser.ent.Zone) {
			continue
		}
		if left := pol.pauseLeft(now, ser); left > 0 {
			if bkl.pauseLeft == 0 || left < bkl.pauseLeft {
				bkl.pauseLeft = left
			}
			continue
		}
		left := max(0, ser.freeAt.Sub(now))
		if len(ser.inFlight) == 0 {
			left = 0
		}
		if own, limited := pol.rates.OwnRate(now, ser.ent.ID); limited {
			callRate += own
		} else {
			unlimited = true
		}
		bkl.work += left
		bkl.firstFree = min(bkl.firstFree, max(left, pol.rates.Delay(now, ser.ent.ID)))
		bkl.capacity += pol.limitedShare(now, ser) * ser.freeMemoryShare(now, pol.svc.Batch.ResultMemory) / max(1, ser.expectedSlowdown(now))
	}
	if !unlimited {
		bkl.callRate = callRate
	}
	if bkl.capacity < minCapacity {
		bkl.outageLeft = pol.outage.remaining(now)
	}
	return bkl
}

// measurePools updates the in-flight backlog of all pools for the estimates
// that follow, and returns the time from a job's last stage result to its first
// event.
func (sch *Scheduler) measurePools(now time.Time, job *job) time.Duration {
	for _, pol := range sch.pools {
		pol.inFlightBacklog = sch.poolBacklog(now, pol)
	}
	engineTime, ok := sch.engines[job.spec.Service].Estimate(now, sch.engineQuery(now, &job.spec, nil))
	if !ok {
		return noServerWait
	}
	return engineTime
}

// estimate is the time until a job's first event, behind the work ahead of its
// rank. It uses the results of measurePools for the same moment.
func (sch *Scheduler) estimate(now time.Time, job *job, rnk rank, engineTime time.Duration) time.Duration {
	sch.sumAhead(now, rnk)
	last := job.criticalPath(func(stg *stage, begin time.Duration) time.Duration {
		return max(begin, stg.pool.ahead.wait()) + stg.unqueuedTime() + stg.extraCallTime() + messageDelay
	})
	limited, paused := sch.limitWait(now, job), sch.pauseWait(now, job)
	job.limited = limited > last && limited >= paused
	job.paused = paused > last && paused > limited
	return max(last, limited, paused) + engineTime + messageDelay
}

// extraCallTime is the time of further calls, if the stage has more pieces than
// all servers take at once.
func (stg *stage) extraCallTime() time.Duration {
	atOnce := max(1, len(stg.pool.servers)) * stg.pool.svc.Batch.MaxPieces
	return time.Duration((stg.remaining-1)/atOnce) * stg.unqueuedTime()
}

const (
	// maxLateShare is the share of the time until the caller gives up that a
	// late answer may be expected to take. Estimates are off by a third at peak
	// load, and an answer that comes after its caller left is wasted work.
	maxLateShare = 0.7
	// minRetryAfter is the shortest wait returned to a refused caller: an
	// earlier attempt would find the same queue.
	minRetryAfter = 250 * time.Millisecond
	// MaxRetryAfterShare is the longest such wait, as a share of the caller's
	// remaining time: callers accept waits of up to a third.
	MaxRetryAfterShare = 0.32
)

// admit decides whether to run a job through all its stages. If it refuses, it
// returns the wait until a retry and the reason.
func (sch *Scheduler) admit(now time.Time, job *job) (bool, time.Duration, string) {
	if !sch.servable(job) {
		return false, unknownServiceWait, sch.unservable(job)
	}
	if sch.exhausted(job) {
		return false, minRetryAfter, reasonNoOther
	}
	if job.spec.Retry {
		job.started = true
		return true, 0, ""
	}
	if job.spec.GoesOn && !sch.ply.QueueResumed {
		// Its stream was admitted when it began, and its caller has a part of it.
		job.started = true
	}
	if sch.ply.AdmitAll || job.started {
		// A started job was admitted by the previous coordinator.
		return true, 0, ""
	}
	engineTime := sch.measurePools(now, job)
	job.rank.lead = sch.leadOf(now, job)
	job.over = sch.asksTooMuch(job)
	rnk := rank{lead: job.rank.lead, priority: job.spec.Priority, urgency: job.spec.Urgency, due: job.spec.Target.Add(job.bias)}
	allowed := time.Duration(float64(job.spec.GiveUp.Sub(now)) * maxLateShare)
	onTimeEstimate := sch.estimate(now, job, rnk, engineTime)
	switch {
	case job.over:
		onTimeEstimate = max(onTimeEstimate, sch.ownEstimate(job, engineTime))
	case sch.dividesFor(job.spec.Account):
		// The share is served even if others would come first by rank.
		onTimeEstimate = min(onTimeEstimate, sch.shareEstimate(job, engineTime))
	}
	if !now.Add(onTimeEstimate).After(job.spec.Target) && onTimeEstimate <= allowed {
		for _, stg := range job.stages {
			stg.pool.addInflow(now, stg.work())
		}
		return true, 0, ""
	}
	lateEstimate := sch.estimate(now, job, lateRank(job), engineTime)
	job.expected, job.allowed = lateEstimate, allowed
	if lateEstimate <= allowed {
		return true, 0, ""
	}
	switch {
	case job.outageWait() > 0:
		return false, retryAfter(now, job, lateEstimate), reasonNoReach
	case job.paused:
		return false, sch.pauseWait(now, job), reasonPaused
	case job.limited:
		return false, retryAfter(now, job, lateEstimate), reasonLimited
	case job.over:
		return false, retryAfter(now, job, sch.shareEstimate(job, engineTime)), ReasonOverShare
	}
	return false, retryAfter(now, job, lateEstimate), "queue-too-long"
}

// reasonLimited is the refusal reason if the servers' rate limits leave no room
// for a request.
const reasonLimited = "servers-limited"

// lateRank is the rank of a job that can no longer meet its target.
func lateRank(job *job) rank {
	return rank{late: true, lead: job.rank.lead, returned: job.returned, priority: job.spec.Priority, urgency: job.spec.Urgency, due: job.spec.GiveUp}
}

// retryAfter is when a similar job would be admitted, derived from the estimate
// for this one as a late job. The wait is spread over up to twice its length,
// so that callers refused together don't return together.
func retryAfter(now time.Time, job *job, lateEstimate time.Duration) time.Duration {
	latencyTarget := job.spec.Target.Sub(job.spec.Arrived)
	wait := max(minRetryAfter, lateEstimate-latencyTarget)
	wait += time.Duration(float64(wait) * call.HashFraction(job.spec.Key.ID))
	return max(minRetryAfter, min(wait, time.Duration(float64(job.spec.Deadline.Sub(now))*MaxRetryAfterShare)))
}

const (
	// biasFactor weights a job's cost against its due time.
	biasFactor = 3.0
	// minValue and maxValue bound the value derived from a request's size.
	minValue = 0.3
	maxValue = 4.0
	// sizeSmoothing is the weight of the latest request in the mean size of its
	// kind.
	sizeSmoothing = 0.03
	// outputTokenWeight is the weight of a generated token relative to a prompt
	// token.
	outputTokenWeight = 10
)

// sizeKey identifies requests of one kind.
type sizeKey struct {
	service string
	urgency int
	stages  int
}

// bias delays the due time of jobs that cost much work for their value. If some
// requests of a burst have ten pieces and most have two, serving the small ones
// first lets more of them meet their target.
func (sch *Scheduler) bias(job *job) time.Duration {
	spc := &job.spec
	size := float64(spc.PromptTokens + outputTokenWeight*spc.MaxOutputTokens)
	key := sizeKey{service: spc.Service, urgency: spc.Urgency, stages: len(spc.Stages)}
	mean, have := sch.meanSizes[key]
	if !have {
		mean = size
	}
	sch.meanSizes[key] = mean + sizeSmoothing*(size-mean)
	value := minValue
	if mean > 0 {
		value = min(maxValue, minValue+(1-minValue)*size/mean)
	}
	var work time.Duration
	for _, stg := range job.stages {
		if len(stg.pool.servers) > 0 {
			work += stg.work() / time.Duration(len(stg.pool.servers))
		}
	}
	return time.Duration(biasFactor * float64(work) / value)
}
