package sched

import "time"

// TakeOver makes this instance the coordinator, after another one.
func (sch *Scheduler) TakeOver(now time.Time) {
	sch.tookOverAt, sch.coldStart = now, false
	sch.transferBefore = time.Time{}
}

// ColdStart makes this instance the coordinator right after the process
// started. Earlier instances, of which none is left, may have made calls until
// some time ago.
func (sch *Scheduler) ColdStart(now time.Time) {
	sch.TakeOver(now)
	sch.coldStart = true
}

// mayHoldUntracked reports whether untracked results may still take memory of a
// pool's servers: results of the calls that were in flight when the previous
// coordinator was lost.
func (sch *Scheduler) mayHoldUntracked(now time.Time, pol *pool) bool {
	return !sch.tookOverAt.IsZero() && now.Before(sch.untrackedExpiry(pol))
}

// untrackedExpiry is when the last untracked result has expired.
func (sch *Scheduler) untrackedExpiry(pol *pool) time.Time {
	bat := pol.svc.Batch
	return sch.tookOverAt.Add(bat.ResultLifetime + bat.CallTime + time.Duration(bat.MaxPieces)*bat.PieceTime)
}

// inferUntracked attributes a server's lack of memory to untracked results, and
// reports whether they explain the pieces that failed.
//
// If the coordinator crashes in a burst, servers still complete its in-flight
// calls, which take up to half of their memory, and nobody learns of the
// results. If that lack of memory were attributed to results larger than
// configured, the next coordinator would use less of every server's memory long
// after the untracked results expired. If it were ignored, every call would
// come back with failed pieces.
func (sch *Scheduler) inferUntracked(now time.Time, act *activeCall, results []Result) bool {
	if sch.ply.IgnoreUntracked || !sch.mayHoldUntracked(now, act.pool) {
		return false
	}
	// The server checked its memory when it started the call. Results freed
	// since then still took memory, and must not be counted as untracked.
	known, smallest := act.heldBytes, int64(0)
	for idx, res := range results {
		size := act.pieces[idx].stage.size
		if res.Status == Completed {
			known += size
		}
		if res.Status == OutOfMemory && (smallest == 0 || size < smallest) {
			smallest = size
		}
	}
	if smallest == 0 {
		return false
	}
	if known == act.heldBytes {
		// The estimate decreases gradually, so it would allow one more result a
		// moment later; the backoff prevents an immediate call.
		act.server.outOfMemoryUntil = now.Add(outOfMemoryBackoff)
	}
	// The free memory was less than the smallest result that failed.
	act.server.untracked = max(0, act.pool.svc.Batch.ResultMemory-known-smallest+1)
	act.server.untrackedAt, act.server.untrackedUntil, act.server.fading = now, sch.untrackedExpiry(act.pool), sch.coldStart && !sch.ply.ExpireAtOnce
	return true
}

// untrackedBytes estimates the memory that untracked results take now.
//
// Results of the in-flight calls of a lost coordinator expire together. If all
// instances were lost some time ago, the results were made one after the other
// and expire gradually; counting all of them until the last expiry left half of
// every server's memory unused for two seconds of a restart.
func (ser *server) untrackedBytes(now time.Time) int64 {
	switch {
	case !now.Before(ser.untrackedUntil):
		return 0
	case !ser.fading:
		return ser.untracked
	}
	return int64(float64(ser.untracked) * float64(ser.untrackedUntil.Sub(now)) / float64(ser.untrackedUntil.Sub(ser.untrackedAt)))
}

// freeMemoryShare is the share of a server's memory that untracked results
// leave free.
//
// After the loss of a coordinator, untracked results take half of all memory
// for seconds. Estimates that ignore them admit twice as much as fits, and all
// requests become late.
func (ser *server) freeMemoryShare(now time.Time, room int64) float64 {
	return max(minSpareShare, 1-float64(ser.untrackedBytes(now))/float64(room))
}
