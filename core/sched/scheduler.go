// Package sched schedules the stages of requests for the entry instances that
// submit them. It admits a request for all its stages or refuses it at once,
// batches stage work into calls to backend servers, tracks the memory of these
// servers, and chooses the model engine once the stage results are complete.
//
// A call to a stage server costs almost the same whether it carries one piece
// or a full batch, a server processes one call at a time, and peak demand is
// close to the capacity at full batches. Entry instances that made their own
// calls would send small ones, find servers full, and waste half of the
// results. So one instance, the coordinator, makes the calls for all. It is
// determined by the membership alone, and its state may be lost with it,
// because pieces can be recomputed.
//
// The package reads no clock and does no input or output. A Scheduler must be
// used by a single goroutine.
package sched

import (
	"time"

	"lovagestream/core/pause"
	"lovagestream/core/place"
	"lovagestream/core/rates"
	"lovagestream/core/speed"
	"lovagestream/core/stock"
	"lovagestream/core/table"
)

// Policy switches single decisions off, so that their effect can be measured
// against a baseline. The zero value is the production policy.
type Policy struct {
	// HoldAndWait sends pieces as memory allows, without reservations for those
	// that their jobs send later.
	HoldAndWait bool
	// UnboundedHolding lets any account fill the memory of a pool.
	UnboundedHolding bool
	// SplitJobs fills calls by rank alone, even if that splits jobs over calls.
	SplitJobs bool
	// IgnoreCost orders jobs of equal rank by due time alone, without the bias
	// for their cost.
	IgnoreCost bool
	// KeepInfeasible keeps jobs until their callers leave.
	KeepInfeasible bool
	// AnyZone sends pieces to any free server, whatever its zone.
	AnyZone bool
	// FullCapacity estimates late jobs with a pool's full capacity.
	FullCapacity bool
	// ForgetRefused treats returning callers as new.
	ForgetRefused bool
	// IgnoreQueueWait counts jobs as on time as long as their minimum time
	// allows, whatever they wait in queues.
	IgnoreQueueWait bool
	// RetryFull calls a server without memory again at once, and counts that as
	// a try of the pieces.
	RetryFull bool
	// QueueResumed admits and orders streams that are taken up like new ones.
	QueueResumed bool
	// AdmitAll refuses no job on arrival.
	AdmitAll bool
	// NoResultReports reports no results to the entry instances.
	NoResultReports bool
	// ExpireAtOnce assumes that untracked results found at a cold start expire
	// all at once.
	ExpireAtOnce bool
	// IgnoreUntracked attributes all lack of memory after a takeover to larger
	// results.
	IgnoreUntracked bool
	// IgnoreSpeed places requests as if all engines were equally fast.
	IgnoreSpeed bool
	// IgnoreAccounts serves jobs whatever their accounts use.
	IgnoreAccounts bool
}

// Scheduler holds the state of all jobs in progress.
type Scheduler struct {
	out  Effects
	ply  Policy
	jobs map[Key]*job
	// jobList holds the same jobs as jobs, for estimates that look at each one:
	// iterating over the map takes twice the time.
	jobList  []*job
	pools    map[string]*pool
	engines  map[string]*place.Pool
	inFlight map[uint64]*activeCall
	// ready are jobs with complete stages that have no engine yet.
	ready map[Key]*job
	// rates are the rate limits that servers set. If there are any, queued
	// counts the jobs ahead of the one being estimated, by service.
	rates  *rates.Limiter
	queued map[string]int
	// pauses are the servers that have paused requests, by entry instance.
	pauses     *pause.Set[pauseKey]
	callNumber uint64
	// meanSizes are the mean sizes of requests, by kind.
	meanSizes map[sizeKey]float64
	// refused are the refused callers, by fingerprint.
	refused map[uint64]refusal
	// suspectedZones are the zones whose entry instances are all silent.
	suspectedZones map[string]*suspicion
	// coldStart is set if tookOverAt was at the start of this process.
	coldStart bool
	// transferBefore is the time before which submitted jobs go to another
	// instance; zero for none.
	transferBefore time.Time
	// tookOverAt is when this instance became the coordinator.
	tookOverAt time.Time
	// shedAt is when infeasible jobs were last shed.
	shedAt time.Time
	// divide is set while resources are divided between accounts.
	divide bool
	// accounts counts the jobs in progress of each account.
	accounts map[string]int
	// divisions are the divisions of the model services; each pool has its own.
	divisions map[string]*division
}

// New returns an empty scheduler that observes the rate limits in lim.
func New(out Effects, lim *rates.Limiter) *Scheduler {
	return &Scheduler{
		divide: true, accounts: map[string]int{}, divisions: map[string]*division{}, rates: lim, queued: map[string]int{}, pauses: pause.NewSet[pauseKey](),
		out: out, jobs: map[Key]*job{}, pools: map[string]*pool{}, engines: map[string]*place.Pool{},
		inFlight: map[uint64]*activeCall{}, ready: map[Key]*job{}, meanSizes: map[sizeKey]float64{}, refused: map[uint64]refusal{}, suspectedZones: map[string]*suspicion{},
	}
}

// WithPolicy sets the policy. It must be called before the first job.
func (sch *Scheduler) WithPolicy(ply Policy) *Scheduler {
	sch.ply = ply
	return sch
}

// Jobs returns the number of jobs in progress.
func (sch *Scheduler) Jobs() int { return len(sch.jobs) }

// Unplaced returns the number of jobs with complete stages that wait for an
// engine.
func (sch *Scheduler) Unplaced() int { return len(sch.ready) }

// Configure sets the services and their live servers.
func (sch *Scheduler) Configure(now time.Time, tab *table.Table, live []stock.Entry) {
	byService := map[string][]stock.Entry{}
	for _, ent := range live {
		byService[ent.Service] = append(byService[ent.Service], ent)
	}
	tab.EachService(func(svc *table.Service) {
		switch {
		case svc.Batch != nil:
			sch.poolOf(svc).configure(svc, byService[svc.Name], func(ser *server) { sch.serverLost(now, ser) })
		default:
			eng := sch.engines[svc.Name]
			if eng == nil {
				eng = sch.newEngine(svc)
				sch.engines[svc.Name] = eng
			}
			eng.SetServers(byService[svc.Name])
			eng.SetGapTarget(tab.EventGapTarget(svc.Name))
		}
	})
	sch.Tick(now)
}

// newEngine returns the pool that places a service's requests. Plain servers
// are placed here only while one of them sets a rate limit.
func (sch *Scheduler) newEngine(svc *table.Service) *place.Pool {
	if svc.Model == nil {
		return place.NewPlain(sch.rates)
	}
	pol := place.New(svc.Model.Slots, svc.Model.CacheTokens, sch.rates)
	if sch.ply.IgnoreSpeed {
		pol.IgnoreSpeed()
	}
	return pol
}

func (sch *Scheduler) poolOf(svc *table.Service) *pool {
	pol := sch.pools[svc.Name]
	if pol == nil {
		pol = newPool(svc, sch.rates, sch.pauses)
		sch.pools[svc.Name] = pol
	}
	return pol
}

// Submit admits a job or refuses it. A job whose key is already known is
// ignored, except for a retry, which replaces the known job.
func (sch *Scheduler) Submit(now time.Time, spc Spec) {
	if old := sch.jobs[spc.Key]; old != nil {
		if !spc.Retry {
			return
		}
		sch.endJob(now, old)
	}
	job, reason := sch.build(now, spc)
	if job == nil {
		sch.out.Notify(Decision{Key: spc.Key, Outcome: Refused, Reason: reason, RetryAfter: unknownServiceWait})
		return
	}
	job.submittedAt = now
	sch.matchReturning(now, job)
	sch.restore(now, job)
	if !sch.ply.IgnoreCost {
		job.bias = sch.bias(job)
	}
	sch.noteDemand(now, job)
	ok, wait, why := sch.admit(now, job)
	if !ok {
		sch.freeJob(job)
		job.ended = true
		sch.refuse(now, job, Decision{Reason: why, RetryAfter: wait, Estimate: job.expected, Allowed: job.allowed})
		return
	}
	sch.add(job)
	sch.noteUse(now, job)
	sch.enqueue(now, job)
	sch.advance(job)
	sch.dispatch(now)
}

// unknownServiceWait is the retry time returned to callers of an unknown
// service; changes of the platform's list arrive within a second.
const unknownServiceWait = time.Second

// Cancel removes a job whose caller left, or that ended elsewhere.
func (sch *Scheduler) Cancel(now time.Time, key Key) {
	if job := sch.jobs[key]; job != nil {
		sch.endJob(now, job)
		sch.dispatch(now)
	}
}

// CancelOwner removes all jobs of an entry instance that is gone, and returns
// their number.
func (sch *Scheduler) CancelOwner(now time.Time, owner string) int {
	num := 0
	for key, job := range sch.jobs {
		if key.Owner == owner {
			sch.endJob(now, job)
			num++
		}
	}
	sch.dispatch(now)
	return num
}

// Clear removes all jobs after a pause of the process, when other instances
// have taken them over, and returns their number. It frees no results: the
// entry instances have submitted their requests elsewhere with the reported
// results, and the new coordinator would find its inputs gone.
func (sch *Scheduler) Clear(now time.Time) int {
	num := len(sch.jobs)
	for _, job := range sch.jobs {
		sch.dropJob(now, job)
	}
	return num
}

// Began handles the first event of a job's answer. The engine has fetched the
// inputs by then, so they are freed.
func (sch *Scheduler) Began(now time.Time, key Key) {
	job := sch.jobs[key]
	if job == nil || job.run == nil {
		return
	}
	sch.engines[job.spec.Service].Began(now, job.run)
	sch.freeJob(job)
	sch.dispatch(now)
}

// Speeds returns the speeds of the engines of the services whose engines differ,
// by service.
func (sch *Scheduler) Speeds(now time.Time) map[string][]speed.State {
	out := map[string][]speed.State{}
	for name, eng := range sch.engines {
		if eng.Tracker().Uneven() {
			out[name] = eng.Speeds(now)
		}
	}
	return out
}

// SpeedRecords returns what is known of the lasting speeds of engines, by service, for
// other instances.
func (sch *Scheduler) SpeedRecords() map[string][]speed.Record {
	out := map[string][]speed.Record{}
	for name, eng := range sch.engines {
		if list := eng.Tracker().Records(); len(list) > 0 {
			out[name] = list
		}
	}
	return out
}

// MergeSpeeds takes over records of another instance, of engines of which this one
// knows less.
func (sch *Scheduler) MergeSpeeds(records map[string][]speed.Record) {
	for name, list := range records {
		if eng := sch.engines[name]; eng != nil {
			eng.Tracker().Merge(list)
		}
	}
}

// Ended handles the end of a job's run. A job that continues elsewhere is
// submitted again by its entry instance.
func (sch *Scheduler) Ended(now time.Time, key Key, out place.Outcome) {
	job := sch.jobs[key]
	if job == nil {
		return
	}
	if job.run != nil {
		sch.endRun(now, job, out)
	}
	sch.endJob(now, job)
	sch.dispatch(now)
}

// endRun ends the run of a job at its engine.
func (sch *Scheduler) endRun(now time.Time, job *job, out place.Outcome) {
	if sch.engines[job.spec.Service].Ended(now, job.run, out) {
		sch.out.Ejected(job.run.Engine(), job.spec.Key.Owner, out)
	}
	job.run = nil
}

// Retry handles a run that ended without an answer, and looks for another
// engine. Results that are still there are reused, so a refusal by an engine
// costs no stage work. It returns false for an unknown job. A Slow run goes on
// unless its job moves; see move.
//
// Of the request as its entry instance knows it now, it uses the software version that
// the stream has since its first event.
func (sch *Scheduler) Retry(now time.Time, spc Spec, out place.Outcome, inputsGone bool) bool {
	key := spc.Key
	if out == place.Slow {
		sch.move(now, key)
		return true
	}
	job := sch.jobs[key]
	if job == nil || job.run == nil || len(job.stages) != len(job.spec.Stages) {
		return false
	}
	job.spec.Avoid = append(job.spec.Avoid, job.run.Engine())
	sch.endRun(now, job, out)
	job.spec.Version = spc.Version
	if reason := sch.lacksVersion(job); reason != "" {
		sch.endJob(now, job)
		sch.out.Notify(Decision{Key: key, Outcome: Refused, Reason: reason, RetryAfter: unknownServiceWait})
		return true
	}
	if wait := sch.pauseWait(now, job); wait > job.spec.GiveUp.Sub(now) {
		sch.endJob(now, job)
		sch.out.Notify(Decision{Key: key, Outcome: Refused, Reason: reasonPaused, RetryAfter: max(minRetryAfter, wait)})
		return true
	}
	for _, stg := range job.stages {
		for _, pie := range stg.pieces {
			if stg.final && pie.state == stateDone && (pie.server == nil || inputsGone) {
				sch.recompute(now, pie)
			}
		}
	}
	sch.enqueue(now, job)
	sch.advance(job)
	sch.dispatch(now)
	return true
}

// Adopt adds a job that another instance placed at an engine before this one
// took over.
func (sch *Scheduler) Adopt(now time.Time, spc Spec, engine string) {
	eng := sch.engines[spc.Service]
	if eng == nil || sch.jobs[spc.Key] != nil {
		return
	}
	job, _ := sch.build(now, spc)
	if job == nil {
		job = jobWithoutStages(spc)
	}
	sch.restore(now, job)
	job.submittedAt = now
	job.started = true
	job.run = eng.Adopt(now, engine, sch.engineQuery(now, &spc, nil))
	sch.add(job)
}

// jobWithoutStages returns a job whose stages can't be resolved any more.
func jobWithoutStages(spc Spec) *job {
	spc.HeldResults = nil
	return &job{spec: spc}
}

func (sch *Scheduler) add(job *job) {
	job.index = len(sch.jobList)
	sch.jobList = append(sch.jobList, job)
	sch.jobs[job.spec.Key] = job
	sch.accounts[job.spec.Account]++
}

// remove takes a job off the list and moves the last one to its index.
func (sch *Scheduler) remove(job *job) {
	if sch.jobs[job.spec.Key] != job {
		return
	}
	end := len(sch.jobList) - 1
	sch.jobList[job.index] = sch.jobList[end]
	sch.jobList[job.index].index = job.index
	sch.jobList[end] = nil
	sch.jobList = sch.jobList[:end]
	delete(sch.jobs, job.spec.Key)
	if sch.accounts[job.spec.Account]--; sch.accounts[job.spec.Account] == 0 {
		delete(sch.accounts, job.spec.Account)
	}
}

// endJob removes a job and frees its results.
func (sch *Scheduler) endJob(now time.Time, job *job) {
	job.dropCharges()
	if job.run != nil {
		sch.engines[job.spec.Service].Ended(now, job.run, place.Done)
		job.run = nil
	}
	sch.freeJob(job)
	for _, stg := range job.stages {
		delete(stg.pool.waiting, job)
		delete(stg.pool.begun, job)
	}
	job.ended = true
	delete(sch.ready, job.spec.Key)
	sch.remove(job)
}

// Tick handles the passage of time: it cancels calls that timed out, drops
// expired results, sheds infeasible jobs and starts the calls that are due.
func (sch *Scheduler) Tick(now time.Time) {
	for _, act := range sch.inFlight {
		if now.After(act.timeoutAt) {
			sch.out.CancelCall(act.number)
			sch.CallEnded(now, act.number, nil, NoReply)
		}
	}
	for _, pol := range sch.pools {
		pol.expire(now, func(pie *piece) { sch.recompute(now, pie) })
	}
	for _, job := range sch.jobs {
		if job.run != nil {
			sch.engines[job.spec.Service].Overdue(now, job.run)
		}
	}
	if now.Sub(sch.shedAt) >= shedPeriod {
		sch.shedAt = now
		sch.updateShares(now)
		if !sch.ply.KeepInfeasible {
			sch.shed(now)
		}
		sch.recoverMemory(now)
	}
	sch.dispatch(now)
}
