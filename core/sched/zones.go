package sched

import "time"

const (
	// minTransferBytes is the least amount of data between zones for which a
	// job's stage waits for a server of the zone where the data is or will be
	// used.
	minTransferBytes = 500_000
	// crossZoneDelay is added to a job's due time at a server of another zone.
	crossZoneDelay = 120 * time.Millisecond
	// maxZoneWait is how long a job waits for a server of its own zone while
	// one of another zone is idle. Moving the results of one prompt between
	// zones is priced at about an eighth of its answer, and a wait of this
	// length rarely makes an answer late.
	maxZoneWait = 220 * time.Millisecond
	// zoneWaitSlack is the time that a job which waits for its zone must have
	// left besides.
	zoneWaitSlack = 150 * time.Millisecond
)

// candidates lists the jobs that a call to a server may serve, in order. Jobs
// that prefer another zone come later, or wait for that zone.
func (sch *Scheduler) candidates(now time.Time, pol *pool, ser *server, jobs []*job) []*job {
	near, far := make([]*job, 0, len(jobs)), []*job{}
	zld := newZoneLoad()
	for _, job := range jobs {
		waiting := pol.waiting[job]
		if len(waiting) == 0 || sch.transferable(job) {
			continue
		}
		zon, away := pol.otherZone(job, ser)
		switch {
		case !away || sch.ply.AnyZone:
			near = append(near, job)
		case !sch.waitsForZone(now, pol, job, zon, zld):
			far = append(far, job)
		}
		zld.ahead[zon] += len(waiting)
	}
	return mergeByRank(near, far)
}

// mergeByRank merges two lists in rank order; the due times of the second are
// delayed by crossZoneDelay.
func mergeByRank(near, far []*job) []*job {
	if len(far) == 0 {
		return near
	}
	out := make([]*job, 0, len(near)+len(far))
	for len(near) > 0 && len(far) > 0 {
		rnk := far[0].rank
		rnk.due = rnk.due.Add(crossZoneDelay)
		if rnk.before(near[0].rank) {
			out, far = append(out, far[0]), far[1:]
			continue
		}
		out, near = append(out, near[0]), near[1:]
	}
	return append(append(out, near...), far...)
}

// zoneLoad holds the load of a pool's zones during one pass over its jobs in
// rank order.
type zoneLoad struct {
	// ahead counts the pieces that prefer a zone, for the jobs so far.
	ahead map[string]int
	// firstFree is the time until a zone's first server is free, or
	// noServerWait; servers counts its servers.
	firstFree map[string]time.Duration
	servers   map[string]int
}

func newZoneLoad() *zoneLoad {
	return &zoneLoad{ahead: map[string]int{}, firstFree: map[string]time.Duration{}, servers: map[string]int{}}
}

// zoneFree returns the time until the first server of a zone is free, and the
// number of its servers.
func (sch *Scheduler) zoneFree(now time.Time, pol *pool, zone string, zld *zoneLoad) (time.Duration, int) {
	if first, have := zld.firstFree[zone]; have {
		return first, zld.servers[zone]
	}
	first, num := noServerWait, 0
	for _, ser := range pol.servers {
		if ser.ent.Zone != zone || sch.unreachable(zone) || !ser.usable(now) || ser.slowdown > 1.5 {
			continue
		}
		num++
		left := max(0, ser.freeAt.Sub(now))
		if len(ser.inFlight) == 0 {
			left = 0
		}
		if num == 1 || left < first {
			first = left
		}
	}
	zld.firstFree[zone] = first
	zld.servers[zone] = num
	return first, num
}

// zoneWait is the time until a server of a zone can take a job, behind the jobs
// that wait for the same zone.
func (sch *Scheduler) zoneWait(now time.Time, pol *pool, zone string, zld *zoneLoad) time.Duration {
	first, num := sch.zoneFree(now, pol, zone, zld)
	if num == 0 {
		return noServerWait
	}
	calls := zld.ahead[zone] / (pol.svc.Batch.MaxPieces * num)
	return first + time.Duration(calls)*pol.svc.Batch.CallTime*3/2
}

// waitsForZone reports whether a job should wait for its preferred zone.
func (sch *Scheduler) waitsForZone(now time.Time, pol *pool, job *job, zone string, zld *zoneLoad) bool {
	wait := sch.zoneWait(now, pol, zone, zld)
	if wait > maxZoneWait {
		return false
	}
	return job.rank.late || now.Add(wait+sch.minTime(job)+zoneWaitSlack).Before(job.spec.Target)
}

// preferredZone is the best zone for a stage of a job: the one that holds its
// inputs, or the one whose engine caches the prompt that its results belong to.
// It is "" if little data would move.
func (job *job) preferredZone(stg *stage) string {
	if stg.preferredZoneKnown {
		return stg.preferredZone
	}
	stg.preferredZone, stg.preferredZoneKnown = job.findPreferredZone(stg), stg.inputsReady()
	return stg.preferredZone
}

func (job *job) findPreferredZone(stg *stage) string {
	if len(stg.deps) == 0 {
		if stg.size*int64(len(stg.pieces)) >= minTransferBytes {
			return job.zone
		}
		return ""
	}
	byZone := map[string]int64{}
	for _, dep := range stg.deps {
		for _, pie := range dep.pieces {
			if pie.server != nil {
				byZone[pie.server.ent.Zone] += stg.transferBytes(dep)
			}
		}
	}
	best, most := "", int64(minTransferBytes)
	for zon, num := range byZone {
		if num > most || num == most && zon < best {
			best, most = zon, num
		}
	}
	return best
}

// transferBytes is the data moved for one result of a dependency, which each
// piece fetches.
func (stg *stage) transferBytes(dep *stage) int64 { return dep.size * int64(len(stg.pieces)) }

// otherZone returns the preferred zone of a waiting job, and whether it differs
// from the server's.
func (pol *pool) otherZone(job *job, ser *server) (string, bool) {
	zon := job.preferredZone(pol.waiting[job][0].stage)
	return zon, zon != "" && zon != ser.ent.Zone
}
