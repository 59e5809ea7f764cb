package sched

import "time"

// PoolState describes the load of one pool, for metrics.
type PoolState struct {
	Service string
	// Servers is the number of usable servers, Busy the number of servers with
	// a call in flight.
	Servers int
	Busy    int
	// Waiting is the number of queued pieces, OnTime those of them whose jobs
	// are not late.
	Waiting int
	OnTime  int
	// Calls and Pieces were sent since the last report. MemoryShare is the
	// share of the servers' memory in use.
	Calls       int
	Pieces      int
	MemoryShare float64
	// OutOfMemory counts the pieces since the last report for which a server
	// had no memory.
	OutOfMemory int
	Slowdown    float64
}

// PoolStates returns the state of each pool and resets the counts.
func (sch *Scheduler) PoolStates(now time.Time) []PoolState {
	var out []PoolState
	for name, pol := range sch.pools {
		sta := PoolState{Service: name, Calls: pol.calls, Pieces: pol.sentPieces, OutOfMemory: pol.outOfMemory}
		pol.calls, pol.sentPieces, pol.outOfMemory = 0, 0, 0
		for _, ser := range pol.servers {
			if ser.usable(now) {
				sta.Servers++
			}
			if len(ser.inFlight) > 0 {
				sta.Busy++
			}
			sta.MemoryShare += float64(ser.usedBytes) / float64(pol.svc.Batch.ResultMemory) / float64(len(pol.servers))
			sta.Slowdown = max(sta.Slowdown, ser.slowdown)
		}
		for job, list := range pol.waiting {
			sta.Waiting += len(list)
			if !sch.rankOf(now, job).late {
				sta.OnTime += len(list)
			}
		}
		out = append(out, sta)
	}
	return out
}
