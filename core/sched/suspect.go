package sched

import "time"

const (
	// suspectFactor and suspectMargin set the timeout of calls to a suspected
	// zone: suspectFactor times the nominal time plus suspectMargin. A
	// reachable server answers in its usual time.
	suspectFactor = 1.3
	suspectMargin = 100 * time.Millisecond
	// suspectBackoff is how long a suspected zone gets no calls after one
	// failed; partitions last seconds.
	suspectBackoff = time.Second
	// probePieces is the size of a probe call to a suspected zone, in pieces.
	probePieces = 2
)

// suspicion is the state of a zone whose entry instances are all silent.
type suspicion struct {
	// reachable is set once a server of the zone has answered, so that only the
	// instances are lost.
	reachable bool
	// probing is set while a probe call is in flight.
	probing bool
	// backoffUntil is the time until which the zone gets no calls.
	backoffUntil time.Time
}

// SuspectZones sets the zones whose entry instances are all silent.
//
// If a zone is partitioned, each call there takes over a second to fail, each
// server is detected separately, and requests with pieces there become late.
// The silence of all entry instances of the zone shows the partition in 0.85 s,
// for all servers at once. A small probe call shows whether only the instances
// were lost.
func (sch *Scheduler) SuspectZones(now time.Time, zones map[string]bool) {
	for zon := range sch.suspectedZones {
		if !zones[zon] {
			delete(sch.suspectedZones, zon)
		}
	}
	for zon := range zones {
		if sch.suspectedZones[zon] == nil {
			sch.suspectedZones[zon] = &suspicion{}
			sch.shortenTimeouts(now, zon)
		}
	}
	for _, eng := range sch.engines {
		eng.SuspectZones(sch.unreachable)
	}
}

// unreachable reports whether a zone is suspected and no server of it has
// answered since.
func (sch *Scheduler) unreachable(zone string) bool {
	sus := sch.suspectedZones[zone]
	return sus != nil && !sus.reachable
}

// shortenTimeouts reduces the timeouts of in-flight calls to a zone.
func (sch *Scheduler) shortenTimeouts(now time.Time, zone string) {
	for _, act := range sch.inFlight {
		if act.server.ent.Zone != zone {
			continue
		}
		bound := act.startAt.Add(time.Duration(suspectFactor*float64(act.nominalTime)) + suspectMargin)
		if bound.Before(now) {
			bound = now
		}
		if bound.Before(act.timeoutAt) {
			act.timeoutAt = bound
		}
	}
}

// mayCall returns how many of size pieces a call to a zone may carry, and
// whether a call may be sent.
func (sch *Scheduler) mayCall(now time.Time, zone string, size int) (int, bool) {
	sus := sch.suspectedZones[zone]
	if sus == nil || sus.reachable {
		return size, true
	}
	if sus.probing || now.Before(sus.backoffUntil) {
		return 0, false
	}
	return min(size, probePieces), true
}

// noteProbe marks a call to a suspected zone as a probe and reduces its
// timeout.
func (sch *Scheduler) noteProbe(act *activeCall) {
	sus := sch.suspectedZones[act.server.ent.Zone]
	if sus == nil || sus.reachable {
		return
	}
	sus.probing = true
	act.timeoutAt = act.startAt.Add(time.Duration(suspectFactor*float64(act.nominalTime)) + suspectMargin)
}

// observeOutcome records how a call to a zone ended.
func (sch *Scheduler) observeOutcome(now time.Time, zone string, status CallStatus) {
	sus := sch.suspectedZones[zone]
	if sus == nil {
		return
	}
	sus.probing = false
	if status == NoReply || status == NoPath {
		sus.backoffUntil = now.Add(suspectBackoff)
		sus.reachable = false
		return
	}
	sus.reachable = true
}
