package sched

import "time"

const (
	// refusalTTL is how long a refused caller is remembered. Callers accept a
	// wait of up to a third of their time, which is a few seconds.
	refusalTTL = 12 * time.Second
	// maxRefusals bounds the number of remembered callers. A burst refuses some
	// hundreds of requests a second at the largest planned deployment.
	maxRefusals = 8192
)

// refusal describes a refused caller.
type refusal struct {
	at time.Time
	// until is the end of the wait that the refusal named.
	until time.Time
	// target is when the caller's answer would have been on time.
	target time.Time
}

// refuse refuses a job, returns a retry time to its caller, and remembers the
// caller.
func (sch *Scheduler) refuse(now time.Time, job *job, dec Decision) {
	dec.Key, dec.Outcome = job.spec.Key, Refused
	if dec.Reason == ReasonOverShare {
		dec.Standing = sch.standingOf(now, job)
	}
	sch.out.Notify(dec)
	if job.spec.Fingerprint == 0 || sch.ply.ForgetRefused {
		return
	}
	if len(sch.refused) >= maxRefusals {
		sch.forgetRefusals(now)
	}
	if len(sch.refused) < maxRefusals {
		sch.refused[job.spec.Fingerprint] = refusal{at: now, until: now.Add(dec.RetryAfter), target: job.spec.Target}
	}
}

func (sch *Scheduler) forgetRefusals(now time.Time) {
	for fpr, ref := range sch.refused {
		if now.Sub(ref.at) > refusalTTL {
			delete(sch.refused, fpr)
		}
	}
}

// matchReturning recognises a caller that was refused and came back. The target
// of its first attempt, usually past by now, still applies.
//
// After a burst is refused, its callers return within seconds. Treated as new,
// they would displace jobs that can still be on time, and all would become
// late.
func (sch *Scheduler) matchReturning(now time.Time, job *job) {
	ref, have := sch.refused[job.spec.Fingerprint]
	if !have || job.spec.Fingerprint == 0 {
		return
	}
	delete(sch.refused, job.spec.Fingerprint)
	if now.Sub(ref.at) <= refusalTTL {
		job.spec.Target = ref.target
		job.cameBack = true
		// Where accounts compete, whoever comes back early gets no place before
		// those who wait as long as their refusal named.
		job.returned = !sch.dividesFor(job.spec.Account) || !now.Before(ref.until)
	}
}
