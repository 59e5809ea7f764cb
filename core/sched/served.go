package sched

// reasonNoServer tells requests that no listed server could serve.
const reasonNoServer = "no-server"

// servable reports whether each service that a job still needs has a server that
// stays, whatever its load and health.
//
// Load pattern: zones are evacuated until a service has no server left. What
// waits for one can't be served, and its caller must not learn that at its
// deadline.
func (sch *Scheduler) servable(job *job) bool {
	if !sch.engines[job.spec.Service].Staffed() {
		return false
	}
	for _, stg := range job.stages {
		if stg.left > 0 && !stg.pool.staffed() {
			return false
		}
	}
	return true
}

// staffed reports whether a pool has a server that stays.
func (pol *pool) staffed() bool {
	for _, ser := range pol.servers {
		if !ser.gone && !ser.ent.Leaving {
			return true
		}
	}
	return false
}
