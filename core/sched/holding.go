package sched

import "time"

// An account that sends many requests with large results could fill a pool's
// memory, so that requests of others can't begin, however soon they are due. If
// memory is short, an account begins jobs beyond its equal part only in what the
// waiting jobs within their parts leave. The division by account decides whose
// pieces go first; this bounds how long what was sent then stays in the way.
//
// Load pattern: one client account floods stages whose results wait long for
// their siblings.

// holding is the memory of a pool that results and pieces in flight take, by
// client account. Accounts that hold nothing have no entry.
type holding map[string]int64

func (hol holding) add(account string, bytes int64) {
	hol[account] += bytes
	if hol[account] == 0 {
		delete(hol, account)
	}
}

// take counts a piece or result in the server's memory.
func (ser *server) take(pie *piece) {
	ser.usedBytes += pie.stage.size
	pie.stage.pool.holding.add(pie.job.spec.Account, pie.stage.size)
}

// drop removes a piece or result from the server's memory.
func (ser *server) drop(pie *piece) {
	ser.usedBytes -= pie.stage.size
	pie.stage.pool.holding.add(pie.job.spec.Account, -pie.stage.size)
}

// withinParts returns the jobs without those that may not begin in a pool, since
// they are beyond their accounts' parts of its memory, and it doesn't take them
// besides all others that are no later.
func (sch *Scheduler) withinParts(now time.Time, pol *pool, jobs []*job) []*job {
	if sch.ply.UnboundedHolding || !pol.hasCompetition(jobs) {
		return jobs
	}
	capacity, free, wanted := int64(0), int64(0), int64(0)
	for _, ser := range pol.servers {
		room := ser.capacity(now, pol)
		capacity += room
		free += room - ser.usedBytes
	}
	sizes := make([]int64, len(jobs))
	for idx, job := range jobs {
		sizes[idx] = job.unsent(pol)
		wanted += sizes[idx]
	}
	if wanted <= free {
		return jobs
	}
	held := make(map[string]*int64, len(pol.holding))
	for account, bytes := range pol.holding {
		held[account] = &bytes
	}
	own := make([]*int64, len(jobs))
	for idx, job := range jobs {
		own[idx] = held[job.spec.Account]
		if own[idx] == nil {
			own[idx] = new(int64)
			held[job.spec.Account] = own[idx]
		}
	}
	most := capacity / int64(len(held))
	beyond := make([]bool, len(jobs))
	// onTime and all are the sizes of what jobs within their parts want.
	onTime, all := int64(0), int64(0)
	for idx, job := range jobs {
		if *own[idx] > 0 && *own[idx]+sizes[idx] > most && !job.hasBegun(pol) {
			beyond[idx] = true
			continue
		}
		*own[idx] += sizes[idx]
		all += sizes[idx]
		if !job.rank.late {
			onTime += sizes[idx]
		}
	}
	kept := make([]*job, 0, len(jobs))
	for idx, job := range jobs {
		others := onTime
		if job.rank.late {
			others = all
		}
		switch {
		case !beyond[idx]:
		case others+sizes[idx] > free:
			continue
		default:
			free -= sizes[idx]
		}
		kept = append(kept, job)
	}
	return kept
}

// hasCompetition reports whether two accounts or more wait for or hold a pool's
// memory.
func (pol *pool) hasCompetition(jobs []*job) bool {
	if len(jobs) == 0 || len(pol.holding) > 1 {
		return len(jobs) > 0
	}
	first := jobs[0].spec.Account
	for account := range pol.holding {
		if account != first {
			return true
		}
	}
	for _, job := range jobs {
		if job.spec.Account != first {
			return true
		}
	}
	return false
}
