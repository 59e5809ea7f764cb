package replay

import (
	"lovagestream/core/place"
)

// breakStream ends a stream after its first event and makes its caller take it up, at an
// engine of the same software version. It reports whether it did: a share of the streams
// break while such an event lasts, each once.
func (eng *engine) breakStream(req *request) bool {
	sim := eng.sim
	if req.takenUp || sim.breaks == 0 || hashFraction(sim.seed, uint64(len(req.spec.Key.ID)), uint64(sim.now.UnixNano()), 2) >= sim.breaks {
		return false
	}
	req.takenUp, req.ended = true, true
	sim.instances[req.coordinator].sch.Began(sim.now, req.spec.Key)
	sim.instances[req.coordinator].sch.Ended(sim.now, req.spec.Key, place.Failed)
	req.spec.Version, req.spec.GoesOn = eng.ent.Version, true
	sim.res.TakenUp++
	sim.after(networkDelay, func() { sim.submit(req, req.spec.Key.ID+"-on") })
	return true
}

// goesOn counts a stream that was taken up and goes on.
func (sim *simulation) goesOn(req *request) {
	if req.takenUp && !req.wentOn {
		req.wentOn = true
		sim.res.WentOn++
	}
}

// resumedShare is the share of the streams taken up that went on.
func (res *Result) resumedShare() float64 {
	if res.TakenUp == 0 {
		return 1
	}
	return float64(res.WentOn) / float64(res.TakenUp)
}
