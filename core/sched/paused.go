package sched

import (
	"time"

	"lovagestream/core/pause"
)

// reasonPaused is the refusal reason if all servers have paused requests of the
// entry instance.
const reasonPaused = "servers-paused"

// pauseKey identifies a server and the entry instance whose requests it has
// paused. An empty owner stands for the calls that this scheduler makes itself.
type pauseKey struct{ owner, server string }

// Pause records servers that have paused requests of an entry instance. The
// instance's requests are not placed there until the pause ends.
func (sch *Scheduler) Pause(now time.Time, owner string, list []pause.Server) {
	for _, pau := range list {
		sch.pauses.Add(now, pauseKey{owner: owner, server: pau.ID}, pau.Until)
	}
}

// PauseCalls records that a server has paused the calls of this scheduler's
// instance.
func (sch *Scheduler) PauseCalls(now time.Time, pau pause.Server) {
	sch.pauses.Add(now, pauseKey{server: pau.ID}, pau.Until)
}

// ForgetPauses drops the pauses of a server that has started again.
func (sch *Scheduler) ForgetPauses(server string) {
	sch.pauses.Delete(func(key pauseKey) bool { return key.server == server })
}

// pausedFor returns a function that gives how long each server still pauses an
// entry instance's requests; nil if there are no pauses.
func (sch *Scheduler) pausedFor(now time.Time, owner string) func(server string) time.Duration {
	if sch.pauses.Len() == 0 {
		return nil
	}
	return func(server string) time.Duration {
		return sch.pauses.Remaining(now, pauseKey{owner: owner, server: server})
	}
}

// pauseWait is the time until a server of the job's service takes requests of
// the job's entry instance again.
func (sch *Scheduler) pauseWait(now time.Time, job *job) time.Duration {
	eng := sch.engines[job.spec.Service]
	if eng == nil || sch.pauses.Len() == 0 {
		return 0
	}
	return eng.PauseWait(sch.engineQuery(now, &job.spec, nil))
}

// pauseLeft is how long a server's pause of this scheduler's calls still lasts.
func (pol *pool) pauseLeft(now time.Time, ser *server) time.Duration {
	return pol.pauses.Remaining(now, pauseKey{server: ser.ent.ID})
}
