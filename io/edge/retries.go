package edge

import (
	"time"

	"lovagestream/core/sched"
	"lovagestream/io/mesh"
)

const (
	// retriesPeriod is how often the coordinator sends what it counted for the retry budget
	// to its possible successors while retries are made, idleRetriesPeriod else.
	retriesPeriod     = 100 * time.Millisecond
	idleRetriesPeriod = time.Second
	// maxRetriesAge is the age up to which the counts of a lost coordinator are taken for
	// whole: the time until it is found lost, and a message that was missed.
	maxRetriesAge = 2500 * time.Millisecond
)

// retryCounts are the last counts that a coordinator sent.
type retryCounts struct {
	counts     []sched.RetryCount
	known      time.Duration
	receivedAt time.Time
	sentAt     time.Time
	checkedAt  time.Time
	// sentTotal is the number of retries when they were last sent.
	sentTotal int
}

// shareRetries sends the counts of the retry budget to the possible successors.
func (ctl *Control) shareRetries(now time.Time) {
	if ctl.coordinator != ctl.set.AdvertisedAddr || now.Sub(ctl.retries.checkedAt) < retriesPeriod {
		return
	}
	ctl.retries.checkedAt = now
	total := 0
	for _, usg := range ctl.retryBudget.Usage(now) {
		total += usg.Retries
	}
	if total == ctl.retries.sentTotal && now.Sub(ctl.retries.sentAt) < idleRetriesPeriod {
		return
	}
	ctl.retries.sentAt, ctl.retries.sentTotal = now, total
	counts, known := ctl.retryBudget.History(now)
	for _, adr := range ctl.mem.Successors(now) {
		ctl.lnk.Send(adr, mesh.Retries{Counts: counts, Known: known})
	}
}

func (ctl *Control) handleRetries(now time.Time, msg mesh.Retries) {
	ctl.retries.counts, ctl.retries.known, ctl.retries.receivedAt = msg.Counts, msg.Known, now
}

// adoptRetries lets the retry budget begin with what the coordinator before this one has
// allowed. Without its word, all of it may have been used.
func (ctl *Control) adoptRetries(now time.Time) {
	if now.Sub(ctl.retries.receivedAt) < maxRetriesAge {
		ctl.retryBudget.Inherit(ctl.retries.receivedAt, ctl.retries.counts, ctl.retries.known)
	} else {
		ctl.retryBudget.SetKnownSince(now)
	}
	ctl.retries.counts = nil
}
