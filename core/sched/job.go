package sched

import (
	"time"

	"lovagestream/core/call"
	"lovagestream/core/place"
)

type pieceState uint8

const (
	// stateBlocked pieces wait for the stages that their stage depends on.
	stateBlocked pieceState = iota
	stateWaiting
	stateInFlight
	stateDone
)

// piece is one unit of work of one stage.
type piece struct {
	job   *job
	stage *stage
	num   int
	state pieceState
	// server holds the piece's result, and handle identifies it there. Both are
	// set while the state is stateDone and the result has not been freed.
	server *server
	handle string
	// expires is when the server drops the result by itself.
	expires time.Time
	tries   int
	// waitingSince is when the piece was queued for a call.
	waitingSince time.Time
	// selected marks pieces of the call that is being filled.
	selected bool
}

// setState changes a piece's state and keeps its stage's in-flight count.
func (pie *piece) setState(state pieceState) {
	if state == stateInFlight || pie.state >= stateInFlight && state != stateDone {
		pie.stage.pool.begun[pie.job] = struct{}{}
	}
	if pie.state == stateInFlight {
		pie.stage.inFlight--
	}
	if state == stateInFlight {
		pie.stage.inFlight++
	}
	pie.updateCharge(state)
	pie.state = state
}

// stage is one stage of one job.
type stage struct {
	num    int
	pool   *pool
	deps   []*stage
	size   int64
	pieces []*piece
	// remaining counts the pieces that are not done, inFlight those that are
	// part of a call.
	remaining int
	inFlight  int
	// preferredZone is valid while preferredZoneKnown is set. It is cached once
	// all inputs are there, since they don't move after that.
	preferredZone      string
	preferredZoneKnown bool
	// expectedEnd is when the latest call with pieces of the stage should end.
	expectedEnd time.Time
	// final stages have no dependent stage; the engine gets their results.
	final bool
	// kind is the key of the learnt piece time.
	kind pieceKind
	// charge is the work of the stage that waits for a call.
	charge charge
}

// job is one request in progress.
type job struct {
	spec   Spec
	stages []*stage
	// submittedAt is when this scheduler got the job.
	submittedAt time.Time
	// started is set once a piece of the job has been sent.
	started bool
	// ended is set when the job has been removed. Results of its in-flight
	// calls are freed as they arrive.
	ended bool
	// expected and allowed are the estimate and the bound behind the latest
	// decision on the job.
	expected time.Duration
	allowed  time.Duration
	// limited is set if the servers' rate limits, rather than the stages,
	// decided the estimate, paused if their pauses did, and unreachable if it is given
	// up since no server of a stage can be reached.
	limited     bool
	paused      bool
	unreachable bool
	// returned is set for callers that were refused before.
	returned bool
	// cameBack is set for callers that came back, also before their retry time.
	cameBack bool
	// recomputed counts the pieces that had to be recomputed.
	recomputed int
	// run is set while an engine runs the job.
	run *place.Run
	// zone is where the job's prompt is cached, or "".
	zone string
	// rank orders jobs, and bias is added to the job's due time; see rank.go.
	rank   rank
	rankAt time.Time
	bias   time.Duration
	// engineCharge is the work that waits for an engine. uncharged jobs are
	// charged to no account.
	engineCharge charge
	uncharged    bool
	// over is set while the account asks for more than its share of a resource
	// that the job needs.
	over bool
	// index is the job's index in the scheduler's jobList.
	index int
}

// maxTries limits the tries of one piece, and maxRecomputed the pieces of a job
// that may be lost with servers before the job is refused.
const (
	maxTries      = 6
	maxRecomputed = 40
)

// build resolves a spec against the pools. If the job can't run, it returns nil
// and a reason.
func (sch *Scheduler) build(now time.Time, spc Spec) (*job, string) {
	eng := sch.engines[spc.Service]
	if eng == nil {
		return nil, "service-unknown"
	}
	job := &job{spec: spc, stages: make([]*stage, 0, len(spc.Stages))}
	stages := make([]stage, len(spc.Stages))
	for num, ts := range spc.Stages {
		pol := sch.pools[ts.Service]
		if pol == nil {
			return nil, "stage-service-unknown"
		}
		stg := &stages[num]
		*stg = stage{num: num, pool: pol, size: ts.ResultSize, final: true, kind: pieceKind{size: ts.ResultSize, deps: len(ts.DependsOn)}}
		for _, dep := range ts.DependsOn {
			if dep < 0 || dep >= num {
				return nil, "stage-order-unknown"
			}
			stg.deps = append(stg.deps, job.stages[dep])
			job.stages[dep].final = false
		}
		job.stages = append(job.stages, stg)
	}
	if !call.ValidPieceCounts(spc.Pieces) {
		return nil, "too-many-pieces"
	}
	job.createPieces(spc.Pieces)
	job.zone = eng.CachedZone(now, sch.engineQuery(now, &spc, nil))
	return job, ""
}

// createPieces creates the pieces of all stages.
func (job *job) createPieces(counts []int) {
	all := 0
	for _, num := range counts[:min(len(counts), len(job.stages))] {
		all += num
	}
	pieces := make([]piece, all)
	list := make([]*piece, all)
	for _, stg := range job.stages[:min(len(counts), len(job.stages))] {
		num := counts[stg.num]
		stg.pieces, list = list[:num:num], list[num:]
		for idx := range stg.pieces {
			pieces[idx] = piece{job: job, stage: stg, num: idx}
			stg.pieces[idx] = &pieces[idx]
		}
		pieces = pieces[num:]
		stg.remaining = num
	}
}

// avoid returns the engines that tried the request before; nil if there are
// none.
func (spc *Spec) avoid() map[string]bool {
	if len(spc.Avoid) == 0 {
		return nil
	}
	out := make(map[string]bool, len(spc.Avoid))
	for _, id := range spc.Avoid {
		out[id] = true
	}
	return out
}

func (sch *Scheduler) engineQuery(now time.Time, spc *Spec, inputs map[string]int64) place.Query {
	return place.Query{Parts: spc.Parts, PromptTokens: spc.PromptTokens, MaxOutputTokens: spc.MaxOutputTokens, Inputs: inputs, Avoid: spc.avoid(), Version: spc.Version, Paused: sch.pausedFor(now, spc.Key.Owner), Left: spc.Target.Sub(now), Target: spc.Target.Sub(spc.Arrived)}
}

// inputsReady reports whether all stages that a stage depends on are complete.
func (stg *stage) inputsReady() bool {
	for _, dep := range stg.deps {
		if dep.remaining > 0 {
			return false
		}
	}
	return true
}

// inputs lists the handles of all results that the stage depends on. It is empty and not nil
// if it depends on stages without pieces only.
func (stg *stage) inputs() []string {
	out := []string{}
	for _, dep := range stg.deps {
		for _, pie := range dep.pieces {
			out = append(out, pie.handle)
		}
	}
	return out
}

// enqueue queues the pieces whose inputs are available.
func (sch *Scheduler) enqueue(now time.Time, job *job) {
	for _, stg := range job.stages {
		if stg.remaining == 0 || !stg.inputsReady() {
			continue
		}
		for _, pie := range stg.pieces {
			if pie.state == stateBlocked {
				pie.setState(stateWaiting)
				stg.pool.enqueue(now, pie)
			}
		}
	}
}

// advance frees results that are no longer needed, and queues the job for an
// engine once its final stages are complete.
func (sch *Scheduler) advance(job *job) {
	if job.ended || job.run != nil {
		return
	}
	complete := true
	for _, stg := range job.stages {
		if stg.remaining > 0 {
			complete = false
		}
	}
	for _, stg := range job.stages {
		if stg.remaining == 0 && !stg.final && sch.consumed(job, stg) {
			sch.freePieces(stg.pieces)
		}
	}
	if complete {
		// Jobs are not placed here but in rank order: otherwise a freed slot
		// would go to whichever job completes next, ahead of all that wait.
		sch.setReady(job)
	}
}

// consumed reports whether all stages that depend on a stage are complete.
func (sch *Scheduler) consumed(job *job, stg *stage) bool {
	for _, oth := range job.stages {
		for _, dep := range oth.deps {
			if dep == stg && oth.remaining > 0 {
				return false
			}
		}
	}
	return true
}

// freeJob frees all results of a job.
func (sch *Scheduler) freeJob(job *job) {
	for _, stg := range job.stages {
		sch.freePieces(stg.pieces)
	}
}

func (sch *Scheduler) freePieces(pieces []*piece) {
	byServer := map[*server][]string{}
	for _, pie := range pieces {
		if pie.server == nil {
			continue
		}
		byServer[pie.server] = append(byServer[pie.server], pie.handle)
		pie.server.dropResult(pie)
	}
	for ser, handles := range byServer {
		if !ser.gone {
			sch.out.FreeResults(ser.ent.Address, handles)
		}
	}
}

// placeJob places a job with complete stages if an engine can take it.
func (sch *Scheduler) placeJob(now time.Time, job *job) bool {
	inputs := map[string]int64{}
	var handles []string
	for _, stg := range job.stages {
		if !stg.final {
			continue
		}
		for _, pie := range stg.pieces {
			handles = append(handles, pie.handle)
			if pie.server != nil {
				inputs[pie.server.ent.Zone] += stg.size
			}
		}
	}
	eng := sch.engines[job.spec.Service]
	query := sch.engineQuery(now, &job.spec, inputs)
	ent, ok := eng.Choose(now, query)
	if !ok {
		return false
	}
	job.run = eng.Place(now, ent.ID, query)
	delete(sch.ready, job.spec.Key)
	job.engineCharge.begin(job)
	sch.out.Notify(Decision{Key: job.spec.Key, Outcome: Placed, Reason: string(job.run.Reason()), Server: ent, Inputs: handles, Estimate: job.run.Expected()})
	return true
}

// recompute queues a piece again whose result is lost, if the result is still
// needed.
func (sch *Scheduler) recompute(now time.Time, pie *piece) {
	job := pie.job
	if pie.server != nil {
		pie.server.dropResult(pie)
	}
	if job.ended || job.run != nil || pie.state != stateDone || sch.consumed(job, pie.stage) && !pie.stage.final {
		return
	}
	pie.setState(stateBlocked)
	pie.stage.remaining++
	job.recomputed++
	delete(sch.ready, job.spec.Key)
	job.engineCharge.drop(job, job.engineCharge.num)
	for _, dep := range pie.stage.deps {
		for _, inp := range dep.pieces {
			if inp.state == stateDone && inp.server == nil {
				sch.recompute(now, inp)
			}
		}
	}
	for _, stg := range job.stages {
		stg.preferredZoneKnown = false
	}
	if job.recomputed > maxRecomputed {
		sch.endJob(now, job)
		sch.out.Notify(Decision{Key: job.spec.Key, Outcome: Refused, Reason: "results-lost", RetryAfter: minRetryAfter})
		return
	}
	for _, stg := range job.stages {
		sch.blockStage(stg)
	}
	sch.enqueue(now, job)
}

// blockStage removes the pieces of a stage from the queue if inputs are
// missing.
func (sch *Scheduler) blockStage(stg *stage) {
	if stg.inputsReady() {
		return
	}
	for _, pie := range stg.pieces {
		if pie.state == stateWaiting {
			pie.setState(stateBlocked)
			stg.pool.dequeue(pie)
		}
	}
}
