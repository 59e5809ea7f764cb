package sched

import "time"

const (
	// suspectFactor and suspectGrace bound a call to a suspected zone: a server that
	// can be reached answers in its usual time.
	suspectFactor = 1.3
	suspectGrace  = 100 * time.Millisecond
	// suspectRest is how long a suspected zone gets nothing after a call to it
	// failed; partitions last seconds.
	suspectRest = time.Second
	// suspectPieces is what a call carries that finds out.
	suspectPieces = 2
)

// suspicion is what is known of a zone whose entry instances all went silent.
type suspicion struct {
	// confirmed is set once a server there has answered: only the instances are
	// gone.
	confirmed bool
	// under is set while a call that finds out is under way.
	under bool
	// until is how long the zone gets nothing.
	until time.Time
}

// Suspect takes the zones in that went silent.
//
// Load pattern: a zone is cut off under traffic, and packets to it are dropped
// without a word. Each call there takes over a second to fail, each server is
// found out by itself, and requests whose pieces went there are late. The
// silence of all entry instances of the zone shows it in 0.85 s, for all
// servers at once. Where only the instances were lost, one small call tells.
func (sch *Scheduler) Suspect(now time.Time, zones map[string]bool) {
	for zon := range sch.suspicions {
		if !zones[zon] {
			delete(sch.suspicions, zon)
		}
	}
	for zon := range zones {
		if sch.suspicions[zon] == nil {
			sch.suspicions[zon] = &suspicion{}
			sch.shortenTimeouts(now, zon)
		}
	}
	for _, eng := range sch.engines {
		eng.Suspect(sch.unconfirmed)
	}
}

// unconfirmed reports whether a zone is suspected and nothing there has answered.
func (sch *Scheduler) unconfirmed(zone string) bool {
	sus := sch.suspicions[zone]
	return sus != nil && !sus.confirmed
}

// shortenTimeouts bounds the calls that are under way to a zone.
func (sch *Scheduler) shortenTimeouts(now time.Time, zone string) {
	for _, act := range sch.inFlight {
		if act.server.ent.Zone != zone {
			continue
		}
		bound := act.turn.Add(time.Duration(suspectFactor*float64(act.usual)) + suspectGrace)
		if bound.Before(now) {
			bound = now
		}
		if bound.Before(act.limit) {
			act.limit = bound
		}
	}
}

// mayCall reports whether a zone may get a call, and how many pieces.
func (sch *Scheduler) mayCall(now time.Time, zone string, size int) (int, bool) {
	sus := sch.suspicions[zone]
	if sus == nil || sus.confirmed {
		return size, true
	}
	if sus.under || now.Before(sus.until) {
		return 0, false
	}
	return min(size, suspectPieces), true
}

// noteCall notes a call to a zone, and bounds it if it finds out.
func (sch *Scheduler) noteCall(act *activeCall) {
	sus := sch.suspicions[act.server.ent.Zone]
	if sus == nil || sus.confirmed {
		return
	}
	sus.under = true
	act.limit = act.turn.Add(time.Duration(suspectFactor*float64(act.usual)) + suspectGrace)
}

// observeOutcome notes how a call to a zone ended.
func (sch *Scheduler) observeOutcome(now time.Time, zone string, how CallStatus) {
	sus := sch.suspicions[zone]
	if sus == nil {
		return
	}
	sus.under = false
	if how == NoReply {
		sus.until = now.Add(suspectRest)
		sus.confirmed = false
		return
	}
	sus.confirmed = true
}
