package sched

import "time"

const (
	// noPathTime is for how long a server without a path counts as out of reach. After
	// it, the next job tries it again.
	noPathTime = time.Second
	// outageGap is the time after which a failure is no longer part of the outage
	// before. It is longer than any server stays ejected.
	outageGap = 6 * time.Second
	// minRetryShare is the share of a request's time that is left to its caller for a
	// retry, if the request waits for an outage to end.
	minRetryShare = 0.35
	// reasonNoReach is the refusal reason if no server of a stage can be reached.
	reasonNoReach = "stage-unreachable"
)

// outage is a time in which a pool had no server that could be reached.
//
// Load pattern: the servers of a stage are lost to all instances for seconds. Requests
// that wait for them all the same come back late, or not at all. How long it lasts is
// unknown; the estimate is that the time to come is as long as the time so far.
type outage struct {
	// since is when it began, zero if there is none; failedAt is its last failure.
	since    time.Time
	failedAt time.Time
}

// failed records a call without an answer in a pool that has no other server.
func (otg *outage) failed(now time.Time) {
	if otg.since.IsZero() || now.Sub(otg.failedAt) > outageGap {
		otg.since = now
	}
	otg.failedAt = now
}

// answered ends the outage.
func (otg *outage) answered() { *otg = outage{} }

// remaining is the expected time until it ends.
func (otg *outage) remaining(now time.Time) time.Duration {
	if otg.since.IsZero() {
		return 0
	}
	return now.Sub(otg.since)
}

// noPath reports whether there is no path to a server, as far as known.
func (ser *server) noPath(now time.Time) bool {
	return !ser.noPathAt.IsZero() && now.Sub(ser.noPathAt) < noPathTime
}

// observeOutage records a call that ended without an answer.
func (sch *Scheduler) observeOutage(now time.Time, pol *pool) {
	if bkl := sch.poolBacklog(now, pol); bkl.capacity < minCapacity && bkl.pauseLeft == 0 {
		pol.outage.failed(now)
	}
}

// outageWait is the longest expected outage of the pools that a job still needs.
func (job *job) outageWait() time.Duration {
	wait := time.Duration(0)
	for _, stg := range job.stages {
		if stg.remaining > 0 {
			wait = max(wait, stg.pool.ahead.outageLeft)
		}
	}
	return wait
}
