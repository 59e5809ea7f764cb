package sched

import (
	"slices"
	"sort"
	"strings"
	"time"
)

const (
	// bulky is from how many bytes that cross zones for a job's stage it is
	// worth waiting for a server of the zone where they lie or will be used.
	bulky = 500_000
	// farDelay is how much later a job counts as due at a server of another
	// zone.
	farDelay = 120 * time.Millisecond
	// farWait is how long a job waits for a server of its own zone while one of
	// another stands idle. A prompt's worth of results between zones is priced
	// like an eighth of its answer; a wait of this length rarely makes an answer
	// late.
	farWait = 220 * time.Millisecond
	// fillPause is how long a pool is left alone whose free servers could take
	// nothing of what waits, unless one of its results is given up or more comes.
	fillPause = 4 * time.Millisecond
	// farSlack is what must be left of a job's time besides.
	farSlack = 150 * time.Millisecond
)

// dispatch sends what servers can take now.
func (sch *Scheduler) dispatch(now time.Time) {
	for _, pol := range sch.pools {
		sch.fillPool(now, pol)
	}
	sch.settleAll(now)
}

// settleAll looks for engines for the jobs that wait for one, in their order:
// while engines are full, each place that becomes free goes to who is first.
func (sch *Scheduler) settleAll(now time.Time) {
	if len(sch.ready) == 0 {
		return
	}
	jobs := make([]*job, 0, len(sch.ready))
	for _, job := range sch.ready {
		job.rank, job.rankAt = sch.newRank(now, job), now
		jobs = append(jobs, job)
	}
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].rank.before(jobs[j].rank) })
	for _, job := range jobs {
		if now.Add(sch.least(job)).After(job.spec.Give) {
			// It waited for a place until there is no time left to use one; its
			// caller would hear nothing of what it then ran for.
			sch.abandon(now, job)
			continue
		}
		sch.settle(now, job)
	}
}

// fillPool gives a pool's free servers what waits for them.
//
// Load pattern: in a rush the servers' memory is full, and they are free and can take
// nothing for much of the time. Going through thousands of pieces at each message
// then takes all of the coordinator's processor, and calls go out late.
func (sch *Scheduler) fillPool(now time.Time, pol *pool) {
	if len(pol.waiting) == 0 || now.Before(pol.nextFill) {
		return
	}
	free := pol.freeServers(now)
	if len(free) == 0 {
		return
	}
	jobs := sch.inOrder(now, pol)
	sent := false
	for len(free) > 0 {
		ser := free[0]
		free = free[1:]
		if _, may := sch.mayCall(now, ser.ent.Zone, 1); !may {
			continue
		}
		if pieces := sch.choose(now, pol, ser, jobs); len(pieces) > 0 {
			sch.send(now, pol, ser, pieces)
			sent = true
		}
	}
	if !sent {
		pol.nextFill = now.Add(fillPause)
	}
}

// freeServers lists servers whose turn it is, the idle and quick first.
func (pol *pool) freeServers(now time.Time) []*server {
	var free []*server
	for _, ser := range pol.servers {
		if pol.free(now, ser) {
			free = append(free, ser)
		}
	}
	sort.Slice(free, func(i, j int) bool {
		if one, two := len(free[i].inFlight), len(free[j].inFlight); one != two {
			return one < two
		}
		if one, two := free[i].slowness(now), free[j].slowness(now); one < two*0.8 || two < one*0.8 {
			return one < two
		}
		return free[i].ent.ID < free[j].ent.ID
	})
	return free
}

// inOrder returns the jobs that wait for a pool, by rank.
func (sch *Scheduler) inOrder(now time.Time, pol *pool) []*job {
	jobs := make([]*job, 0, len(pol.waiting))
	for job := range pol.waiting {
		sch.rankOf(now, job)
		jobs = append(jobs, job)
	}
	slices.SortFunc(jobs, func(one, two *job) int {
		switch {
		case one.rank.before(two.rank):
			return -1
		case two.rank.before(one.rank):
			return 1
		}
		return strings.Compare(one.spec.Key.ID, two.spec.Key.ID)
	})
	return jobs
}

// choose fills one call from what waits, by rank.
func (sch *Scheduler) choose(now time.Time, pol *pool, ser *server, jobs []*job) []*piece {
	list := sch.candidates(now, pol, ser, jobs)
	size, _ := sch.mayCall(now, ser.ent.Zone, pol.svc.Batch.Size)
	if ser.rec.Suspect() {
		// The first call after a rest carries little: it may be lost.
		size = max(1, size/4)
	}
	pck := &packer{pool: pol, server: ser, now: now, size: size, used: ser.used + ser.untrackedBytes(now)}
	// Jobs that fit whole go first: pieces of one job in two calls hold the
	// room of the first until the second has ended.
	for _, whole := range []bool{true, false} {
		if whole && sch.ply.SplitJobs {
			continue
		}
		for _, job := range list {
			if len(pck.out) >= pck.size {
				break
			}
			pck.take(job, whole)
		}
	}
	return pck.out
}

// packer fills one call.
type packer struct {
	pool   *pool
	server *server
	now    time.Time
	size   int
	used   int64
	out    []*piece
}

// take adds what fits of a job's waiting pieces, or all or nothing if whole.
func (pck *packer) take(job *job, whole bool) {
	waiting := pck.pool.waiting[job]
	if len(pck.out) >= pck.size {
		return
	}
	if whole && !pck.fits(waiting) {
		return
	}
	for _, pie := range waiting {
		if pie.picked {
			continue
		}
		if len(pck.out) >= pck.size || !pck.server.fits(pck.used+pie.stage.size, pck.pool.svc.Batch.Room) || !pck.pool.worthwhile(pck.now, pck.server, pie) {
			return
		}
		pck.used += pie.stage.size
		pie.picked = true
		pck.out = append(pck.out, pie)
	}
}

func (pck *packer) fits(pieces []*piece) bool {
	used := pck.used
	for _, pie := range pieces {
		if pie.picked {
			return false
		}
		used += pie.stage.size
	}
	return len(pck.out)+len(pieces) <= pck.size && pck.server.fits(used, pck.pool.svc.Batch.Room)
}

// worthwhile keeps pieces that are in time off a server that is so slow that
// they would not be.
func (pol *pool) worthwhile(now time.Time, ser *server, pie *piece) bool {
	slow := ser.slowness(now)
	if slow < 1.6 {
		return true
	}
	took := time.Duration(slow * float64(pol.svc.Batch.Call+pol.time(pie.stage.kind)))
	if pie.job.rank.late {
		return now.Add(2 * took).Before(pie.job.spec.Give)
	}
	return now.Add(took + 200*time.Millisecond).Before(pie.job.spec.Aim)
}

// pull is where a stage of a job is best made: where its inputs lie, or where
// the prompt is cached that its results go to. Small traffic pulls nowhere.
func (job *job) pull(stg *stage) string {
	if stg.pullKnown {
		return stg.pullZone
	}
	stg.pullZone, stg.pullKnown = job.newPull(stg), stg.open()
	return stg.pullZone
}

func (job *job) newPull(stg *stage) string {
	if len(stg.after) == 0 {
		if stg.size*int64(len(stg.pieces)) >= bulky {
			return job.zone
		}
		return ""
	}
	byZone := map[string]int64{}
	for _, aft := range stg.after {
		for _, pie := range aft.pieces {
			if pie.server != nil {
				byZone[pie.server.ent.Zone] += stg.weight(aft)
			}
		}
	}
	best, most := "", int64(bulky)
	for zon, num := range byZone {
		if num > most || num == most && zon < best {
			best, most = zon, num
		}
	}
	return best
}

// weight is what one result of a stage before moves: each piece fetches it.
func (stg *stage) weight(aft *stage) int64 { return aft.size * int64(len(stg.pieces)) }

// far reports whether a waiting job would better be made in another zone than
// a server's, and in which.
func (pol *pool) far(job *job, ser *server) (string, bool) {
	zon := job.pull(pol.waiting[job][0].stage)
	return zon, zon != "" && zon != ser.ent.Zone
}

// candidates lists the jobs that a call to a server may serve, in their order
// there: those that are better made in another zone come later, or wait for it.
func (sch *Scheduler) candidates(now time.Time, pol *pool, ser *server, jobs []*job) []*job {
	near, far := make([]*job, 0, len(jobs)), []*job{}
	zos := zones{ahead: map[string]int{}, first: map[string]time.Duration{}}
	for _, job := range jobs {
		waiting := pol.waiting[job]
		if len(waiting) == 0 || sch.transferable(job) {
			continue
		}
		zon, away := pol.far(job, ser)
		switch {
		case !away || sch.ply.AnyZone:
			near = append(near, job)
		case !sch.waitsForZone(now, pol, job, zon, &zos):
			far = append(far, job)
		}
		zos.ahead[zon] += len(waiting)
	}
	return merge(near, far)
}

// merge joins two lists in order; those of the second count as due later.
func merge(near, far []*job) []*job {
	if len(far) == 0 {
		return near
	}
	out := make([]*job, 0, len(near)+len(far))
	for len(near) > 0 && len(far) > 0 {
		rnk := far[0].rank
		rnk.due = rnk.due.Add(farDelay)
		if rnk.before(near[0].rank) {
			out, far = append(out, far[0]), far[1:]
			continue
		}
		out, near = append(out, near[0]), near[1:]
	}
	return append(append(out, near...), far...)
}

// zones are what a pool's zones have to do, while its jobs are gone through in
// their order.
type zones struct {
	// ahead counts the pieces that want a zone, of the jobs so far.
	ahead map[string]int
	// first is when a zone's first server is free, or noServers; num counts its
	// servers.
	first map[string]time.Duration
	num   map[string]int
}

// zoneFree is when the first server of a zone is free, and how many it has.
func (sch *Scheduler) zoneFree(now time.Time, pol *pool, zone string, zos *zones) (time.Duration, int) {
	if first, have := zos.first[zone]; have {
		return first, zos.num[zone]
	}
	first, num := noServers, 0
	for _, ser := range pol.servers {
		if ser.ent.Zone != zone || sch.unconfirmed(zone) || !ser.usable(now) || ser.slow > 1.5 {
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
	zos.first[zone] = first
	if zos.num == nil {
		zos.num = map[string]int{}
	}
	zos.num[zone] = num
	return first, num
}

// zoneWait is how long it takes until a server of a zone can take a job, behind
// what waits for the same zone.
func (sch *Scheduler) zoneWait(now time.Time, pol *pool, zone string, zos *zones) time.Duration {
	first, num := sch.zoneFree(now, pol, zone, zos)
	if num == 0 {
		return noServers
	}
	calls := zos.ahead[zone] / (pol.svc.Batch.Size * num)
	return first + time.Duration(calls)*pol.svc.Batch.Call*3/2
}

// waitsForZone reports whether a job is better kept for its zone.
func (sch *Scheduler) waitsForZone(now time.Time, pol *pool, job *job, zone string, zos *zones) bool {
	wait := sch.zoneWait(now, pol, zone, zos)
	if wait > farWait {
		return false
	}
	return job.rank.late || now.Add(wait+sch.least(job)+farSlack).Before(job.spec.Aim)
}

const (
	// patience is how many times its expected length a call may take, and
	// graceTime what is added: slow servers take four to five times as long and
	// are better waited for, once a call is theirs, than asked elsewhere.
	patience  = 3
	graceTime = 400 * time.Millisecond
)

func (sch *Scheduler) send(now time.Time, pol *pool, ser *server, pieces []*piece) {
	sch.number++
	pol.calls++
	pol.sent += len(pieces)
	act := &activeCall{number: sch.number, pool: pol, server: ser, pieces: pieces, sent: now, turn: now, usual: pol.svc.Batch.Call}
	cal := Call{Number: act.number, Server: ser.ent}
	for _, pie := range pieces {
		pol.noteWait(now, pie)
		pol.unwait(pie)
		pie.turn(stateInFlight)
		pie.picked = false
		pie.tries++
		pie.job.begun = true
		ser.used += pie.stage.size
		act.usual += pol.time(pie.stage.kind)
		itm := Item{ID: pie.job.spec.Key.ID, Stage: pie.stage.num, Piece: pie.num, Left: pie.job.spec.Give.Sub(now)}
		if len(pie.stage.after) == 0 {
			itm.Key = pie.job.spec.PieceKey
		} else {
			itm.Inputs = pie.stage.inputs()
		}
		cal.Items = append(cal.Items, itm)
	}
	if len(ser.inFlight) > 0 && ser.freeAt.After(now) {
		act.turn = ser.freeAt
	}
	expect := time.Duration(float64(act.usual) * max(1, ser.slowness(now)))
	ser.freeAt = act.turn.Add(expect)
	act.limit = act.turn.Add(patience*expect + graceTime)
	for _, pie := range pieces {
		if pie.stage.ends.Before(ser.freeAt) {
			pie.stage.ends = ser.freeAt
		}
	}
	sch.noteCall(act)
	cal.Limit = act.limit.Sub(now)
	ser.inFlight = append(ser.inFlight, act)
	if len(ser.inFlight) == 1 {
		act.held = ser.holds()
	}
	ser.rec.Sent()
	sch.rates.Take(now, ser.ent.ID)
	sch.inFlight[act.number] = act
	sch.out.Call(cal)
}
