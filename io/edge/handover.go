package edge

import (
	"time"

	"lovagestream/core/place"
	"lovagestream/core/sched"
	"lovagestream/io/lines"
	"lovagestream/io/mesh"
)

type evSubmit struct {
	spec  sched.Spec
	reply chan sched.Decision
}

func (evt evSubmit) apply(ctl *Control, now time.Time) {
	id := evt.spec.Key.ID
	if old := ctl.pending[id]; old != nil {
		evt.reply <- sched.Decision{Key: evt.spec.Key, Outcome: sched.Dropped, Reason: "id-in-use"}
		return
	}
	ctl.attempts++
	evt.spec.Attempt = ctl.attempts
	req := &pendingRequest{spec: evt.spec, reply: evt.reply}
	ctl.pending[id] = req
	ctl.submitTo(now, req, ctl.coordinator)
}

// submitTo submits a request to a coordinator, or to this instance if the
// coordinator can't be reached.
func (ctl *Control) submitTo(now time.Time, req *pendingRequest, coordinator string) {
	req.coordinator = coordinator
	req.spec.Paused = ctl.pauses.list(now)
	if coordinator != ctl.set.AdvertisedAddr && ctl.lnk.Send(coordinator, mesh.Submit{Spec: req.spec}) {
		ctl.logSubmitted(req)
		return
	}
	req.coordinator = ctl.set.AdvertisedAddr
	ctl.logSubmitted(req)
	ctl.schedule(now, req.spec)
}

// logSubmitted logs the coordinator of a request. If the request is lost together
// with this instance before it is decided, this is the only line about it.
func (ctl *Control) logSubmitted(req *pendingRequest) {
	pieces := 0
	for _, num := range req.spec.Pieces {
		pieces += num
	}
	ctl.log.Log("request-submitted", lines.Fields{"id": req.spec.Key.ID, "coordinator": req.coordinator, "service": req.spec.Service, "pieces": pieces, "left": req.spec.Deadline.Sub(req.spec.Arrived).Milliseconds()})
}

// schedule gives a request to the scheduler of this instance, its coordinator.
func (ctl *Control) schedule(now time.Time, spc sched.Spec) {
	for num, stg := range spc.Stages {
		if num < len(spc.Pieces) {
			ctl.piecesRequested[stg.Service] += spc.Pieces[num]
		}
	}
	ctl.sched.Pause(now, spc.Key.Owner, spc.Paused)
	ctl.sched.Submit(now, spc)
}

type evWithdraw struct{ id string }

func (evt evWithdraw) apply(ctl *Control, now time.Time) {
	req := ctl.pending[evt.id]
	if req == nil {
		return
	}
	delete(ctl.pending, evt.id)
	ctl.withdraw(now, req)
}

func (ctl *Control) withdraw(now time.Time, req *pendingRequest) {
	if req.coordinator == ctl.set.AdvertisedAddr {
		ctl.sched.Cancel(now, req.spec.Key)
		return
	}
	ctl.notifyCoordinator(now, req, mesh.Withdraw{ID: req.spec.Key.ID})
}

// notifyCoordinator notifies the coordinator of a request that the results held for
// it are no longer needed. If the coordinator is gone, this instance frees them: no
// other instance knows of them, and they would occupy the memory of their server
// for seconds.
func (ctl *Control) notifyCoordinator(now time.Time, req *pendingRequest, msg mesh.Message) {
	if !ctl.lnk.Send(req.coordinator, msg) || !ctl.mem.Live(now, req.coordinator) {
		ctl.freeResults(req.spec.HeldResults)
	}
	req.spec.HeldResults = nil
}

// freeResults frees held results at the servers that hold them.
func (ctl *Control) freeResults(list []sched.HeldResults) {
	for _, hld := range list {
		for _, ent := range ctl.registry.Live() {
			if ent.ID == hld.Server {
				ctl.FreeResults(ent.Address, hld.Handles)
			}
		}
	}
}

// addHeldResults handles a report of results that a server holds for a request of
// this instance. Results of an earlier attempt are freed. If the request has
// moved to another coordinator, its pieces are computed again there; the
// reporting instance frees the results if it is live, otherwise this one does.
func (ctl *Control) addHeldResults(now time.Time, from string, hld sched.HeldResults) {
	req := ctl.pending[hld.Key.ID]
	switch {
	case req == nil || req.spec.Attempt != hld.Attempt:
		ctl.freeResults([]sched.HeldResults{hld})
	case req.coordinator == from:
		req.spec.AddResults(hld)
	case !ctl.mem.Live(now, from):
		ctl.freeResults([]sched.HeldResults{hld})
	}
}

type evBegan struct{ id string }

func (evt evBegan) apply(ctl *Control, now time.Time) {
	req := ctl.pending[evt.id]
	switch {
	case req == nil:
	case req.coordinator == ctl.set.AdvertisedAddr:
		ctl.sched.Began(now, req.spec.Key)
		req.spec.HeldResults = nil
	default:
		ctl.notifyCoordinator(now, req, mesh.Began{ID: evt.id})
	}
}

type evEnded struct {
	id      string
	outcome place.Outcome
}

func (evt evEnded) apply(ctl *Control, now time.Time) {
	req := ctl.pending[evt.id]
	if req == nil {
		return
	}
	delete(ctl.pending, evt.id)
	if req.coordinator == ctl.set.AdvertisedAddr {
		ctl.sched.Ended(now, req.spec.Key, evt.outcome)
		return
	}
	ctl.notifyCoordinator(now, req, mesh.Ended{ID: evt.id, Outcome: evt.outcome})
}

type evRetry struct {
	spec       sched.Spec
	outcome    place.Outcome
	inputsGone bool
	reply      chan sched.Decision
}

func (evt evRetry) apply(ctl *Control, now time.Time) {
	req := ctl.pending[evt.spec.Key.ID]
	if req == nil {
		evt.reply <- sched.Decision{Key: evt.spec.Key, Outcome: sched.Dropped, Reason: "not-known-any-more"}
		return
	}
	evt.spec.Attempt = req.spec.Attempt
	evt.spec.Paused = ctl.pauses.list(now)
	if !evt.inputsGone {
		evt.spec.HeldResults = req.spec.HeldResults
	}
	req.movingFrom = ""
	if evt.outcome == place.Slow {
		req.movingFrom = req.engine
	}
	req.spec, req.reply, req.placed, req.engine = evt.spec, evt.reply, false, ""
	if req.coordinator != ctl.set.AdvertisedAddr && ctl.lnk.Send(req.coordinator, mesh.Retry{Spec: evt.spec, Outcome: evt.outcome, InputsGone: evt.inputsGone}) {
		return
	}
	req.coordinator = ctl.set.AdvertisedAddr
	ctl.retry(now, evt.spec, evt.outcome, evt.inputsGone)
}

// retry continues a job with its results, or schedules it as a new one if this
// instance doesn't know it.
func (ctl *Control) retry(now time.Time, spc sched.Spec, outcome place.Outcome, inputsGone bool) {
	ctl.sched.Pause(now, spc.Key.Owner, spc.Paused)
	if !ctl.sched.Retry(now, spc, outcome, inputsGone) {
		ctl.schedule(now, spc)
	}
}

// handleDecision delivers a decision to its request. A request that has moved to
// another coordinator accepts a placement from any instance; its present
// coordinator is then asked to cancel the job.
func (ctl *Control) handleDecision(from string, dec sched.Decision) {
	now := ctl.clk.Now()
	req := ctl.pending[dec.Key.ID]
	switch {
	case dec.Outcome == sched.Moved:
		if req != nil && req.coordinator == from {
			ctl.reassign(now, req, dec.Server.Address)
		}
		return
	case req == nil || req.placed:
		if dec.Outcome == sched.Placed && (req == nil || req.coordinator != from) {
			ctl.cancelPlacement(now, from, dec)
		}
		return
	case req.coordinator != from && dec.Outcome != sched.Placed:
		return
	case req.coordinator != from:
		ctl.withdraw(now, req)
		req.coordinator = from
	}
	switch {
	case dec.Outcome == sched.Placed:
		req.placed, req.engine = true, dec.Server.ID
	case req.movingFrom != "":
		req.placed, req.engine = true, req.movingFrom
	default:
		delete(ctl.pending, dec.Key.ID)
	}
	req.movingFrom = ""
	req.reply <- dec
}

// transferJobs transfers the jobs of this instance to the coordinator that
// replaced it.
func (ctl *Control) transferJobs(now time.Time) {
	if ctl.supersededAt.IsZero() || ctl.sched.Jobs() == 0 {
		return
	}
	if num := ctl.sched.Transfer(now, ctl.supersededAt, ctl.coordinator); num > 0 {
		ctl.log.Log("jobs-transferred", lines.Fields{"count": num, "to": ctl.coordinator, "left": ctl.sched.Jobs()})
	}
}

// reassign moves a request, with the results held for it, to the coordinator that
// the previous one named. A request that already runs stays on its engine.
func (ctl *Control) reassign(now time.Time, req *pendingRequest, coordinator string) {
	if !ctl.mem.Live(now, coordinator) {
		coordinator = ctl.coordinator
	}
	if !req.placed {
		ctl.submitTo(now, req, coordinator)
		return
	}
	req.coordinator = coordinator
	if coordinator == ctl.set.AdvertisedAddr {
		ctl.sched.Adopt(now, req.spec, req.engine)
		return
	}
	ctl.lnk.Send(coordinator, mesh.Adopt{Spec: req.spec, Engine: req.engine})
}

// cancelPlacement returns a placement for which no request waits.
func (ctl *Control) cancelPlacement(now time.Time, from string, dec sched.Decision) {
	if from == ctl.set.AdvertisedAddr {
		ctl.sched.Cancel(now, dec.Key)
		return
	}
	ctl.lnk.Send(from, mesh.Withdraw{ID: dec.Key.ID})
}

// reassignOrphans moves the requests of coordinators that are gone to the present
// one. Requests that were not placed are submitted again with the results held
// for them. Running ones are reported to the new coordinator, so that it counts
// the load of their engines.
func (ctl *Control) reassignOrphans(now time.Time) {
	moved := 0
	for _, req := range ctl.pending {
		if req.coordinator == ctl.set.AdvertisedAddr || ctl.mem.Live(now, req.coordinator) {
			continue
		}
		moved++
		if !req.placed {
			ctl.submitTo(now, req, ctl.coordinator)
			continue
		}
		req.coordinator = ctl.coordinator
		if ctl.coordinator == ctl.set.AdvertisedAddr {
			ctl.sched.Adopt(now, req.spec, req.engine)
			continue
		}
		ctl.lnk.Send(ctl.coordinator, mesh.Adopt{Spec: req.spec, Engine: req.engine})
	}
	if moved > 0 {
		ctl.log.Log("requests-handed-over", lines.Fields{"count": moved, "to": ctl.coordinator})
	}
}
