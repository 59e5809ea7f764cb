package keys

import (
	"time"

	"lovagestream/core/result"
)

// recordState is the state of a keyed request at this instance.
type recordState int

const (
	// awaitingIssuer: the issuer was asked to bind the key.
	awaitingIssuer recordState = iota
	// awaitingOutcome: another request holds the key and its executor was asked
	// for the outcome.
	awaitingOutcome
	// running: the key is bound to this request, which runs here.
	running
	// ended: the run ended. Its outcome is kept for resends.
	ended
	// abandoned: the request gave up the key, if it ever held it. This is
	// final.
	abandoned
)

// record is one keyed request of this instance, from its arrival until it is
// evicted some time after its end.
type record struct {
	ref      RequestRef
	key      Key
	account  string
	digest   Digest
	arrived  time.Time
	deadline time.Time
	state    recordState
	// holder is the request that holds the key if the state is awaitingOutcome.
	holder RequestRef
	// lastHeard is when the issuer or executor last replied; lastSent is when a
	// message to it was last sent.
	lastHeard time.Time
	lastSent  time.Time
	claim     *Claim
	outcome   RunOutcome
	// noCalls and reportedNotRun are the contents of the Release of an
	// abandoned request.
	noCalls        bool
	reportedNotRun bool
	// finishedAt is when the request ended or was abandoned.
	finishedAt time.Time
	// waiters are requests to be sent the outcome at the end, at most
	// maxWaiters.
	waiters []RequestRef
}

func (rec *record) waiting() bool { return rec.state == awaitingIssuer || rec.state == awaitingOutcome }

// KeyedRequest is a request that arrived with an idempotency key.
type KeyedRequest struct {
	// number is unique in this incarnation.
	number   uint64
	key      Key
	account  string
	digest   Digest
	arrived  time.Time
	deadline time.Time
}

// NewKeyedRequest returns a keyed request of a client account. Arrival and
// deadline are times of this instance's clock.
func NewKeyedRequest(number uint64, key Key, account string, digest Digest, arrived, deadline time.Time) KeyedRequest {
	return KeyedRequest{number: number, key: key, account: account, digest: digest, arrived: arrived, deadline: deadline}
}

// Verdict decides a keyed request. Exactly one of its fields is set.
type Verdict struct {
	// claim permits the request to run.
	claim *Claim
	// outcome is the outcome of an earlier run under the key.
	outcome *RunOutcome
	// denial refuses the request.
	denial *Denial
}

// Claim returns the permission to run, or nil.
func (ver Verdict) Claim() *Claim { return ver.claim }

// RunOutcome returns the outcome of an earlier run under the key, or nil.
func (ver Verdict) RunOutcome() *RunOutcome { return ver.outcome }

// Denial returns the refusal, or nil.
func (ver Verdict) Denial() *Denial { return ver.denial }

// Denial refuses a keyed request.
type Denial struct {
	outcome    result.Outcome
	reason     result.Reason
	detail     string
	retryAfter time.Duration
}

// Outcome returns the outcome that is reported to the caller.
func (dny *Denial) Outcome() result.Outcome { return dny.outcome }

// Reason returns the machine-readable reason.
func (dny *Denial) Reason() result.Reason { return dny.reason }

// Detail returns a sentence for a human reader.
func (dny *Denial) Detail() string { return dny.detail }

// RetryAfter returns the delay after which to retry with the same key, or 0.
func (dny *Denial) RetryAfter() time.Duration { return dny.retryAfter }

// Deny returns a verdict that refuses a request at once.
func Deny(out result.Outcome, reason result.Reason, detail string) Verdict {
	return Verdict{denial: &Denial{outcome: out, reason: reason, detail: detail}}
}

// Output is an output for the driver to act on: either a message to send, or a
// verdict for a waiting request.
type Output struct {
	to     string
	msg    Message
	number uint64
	ver    *Verdict
}

// To returns the instance to send the message to.
func (out Output) To() string { return out.to }

// Message returns the message, or nil if this is a verdict.
func (out Output) Message() Message { return out.msg }

// Number returns the number of the request that the verdict is for.
func (out Output) Number() uint64 { return out.number }

// Verdict returns the verdict, or nil if this is a message.
func (out Output) Verdict() *Verdict { return out.ver }

// submit records a keyed request and asks the issuer to bind its key.
func (sta *State) submit(now time.Time, req KeyedRequest) {
	rec := &record{
		ref:       NewRequestRef(sta.self, req.number),
		key:       req.key,
		account:   req.account,
		digest:    req.digest,
		arrived:   sta.arrivalTime(req.arrived),
		deadline:  req.deadline,
		lastHeard: now,
		noCalls:   true,
	}
	if sta.active >= sta.opt.maxActive {
		sta.deny(req.number, result.Unknown, result.Overloaded, "too many requests with keys are in progress here", retryDelay)
		return
	}
	sta.records[req.number] = rec
	sta.waiting = append(sta.waiting, rec)
	sta.active++
	sta.sendBind(now, rec)
}

func (sta *State) sendBind(now time.Time, rec *record) {
	rec.state, rec.lastSent = awaitingIssuer, now
	sta.send(rec.key.issuer.id, NewBind(rec.key, rec.ref, rec.account, rec.digest))
}

func (sta *State) sendFetch(now time.Time, rec *record) {
	rec.state, rec.lastSent = awaitingOutcome, now
	sta.send(rec.holder.instance.id, NewFetch(rec.holder, rec.ref))
}

// ownRecord returns the record of a request of this incarnation, or nil. Nil
// proves nothing: the record may have been evicted, or the request belongs to
// an earlier incarnation.
func (sta *State) ownRecord(ref RequestRef) *record {
	if ref.instance != sta.self {
		return nil
	}
	return sta.records[ref.number]
}

// onBound starts the run. If the request was abandoned in the meantime, it
// releases the key instead, which nothing else would free.
func (sta *State) onBound(now time.Time, msg Bound) {
	rec := sta.ownRecord(msg.request)
	switch {
	case rec == nil:
	case rec.state == abandoned:
		sta.sendRelease(rec)
	case rec.waiting() && !now.Before(rec.deadline):
		sta.release(now, rec, true, false)
		sta.deny(rec.ref.number, result.Unknown, result.DeadlinePassed, "the deadline passed before the key was bound", retryDelay)
	case rec.waiting() && msg.sinceNotRun <= age(now, rec.arrived)+ageSlack:
		// A copy of this request was refused as not run after this one arrived.
		// Running it now would contradict that refusal.
		sta.release(now, rec, true, false)
		sta.deny(rec.ref.number, result.Unknown, result.KeyInUse, "a copy of this request was refused meanwhile; send it again", retryDelay)
	case rec.waiting():
		rec.state = running
		rec.claim = &Claim{number: rec.ref.number, deadline: rec.deadline, earlierCalls: msg.earlierCalls, lastTick: &sta.lastTick}
		sta.verdict(rec.ref.number, Verdict{claim: rec.claim})
	}
}

// ageSlack is added to a request's age for the time that it may have been
// buffered before this process read it.
const ageSlack = 500 * time.Millisecond

// arrivalTime returns the earliest time at which a request that was read at a
// given time may have arrived. While the process is paused, the kernel keeps
// buffering callers' bytes, so that an old request looks new after the pause.
func (sta *State) arrivalTime(read time.Time) time.Time {
	if sta.lastTick.age(read) > ageSlack {
		return sta.lastTick.get()
	}
	if read.Sub(sta.resumedAt) < backlogWindow {
		return sta.pausedAt
	}
	return read
}

// backlogWindow is how long after a pause requests may still be read that
// arrived before its end.
const backlogWindow = 2 * time.Second

// age returns the time since then, the larger of the monotonic and the wall
// clock's difference: the monotonic clock stops while a virtual machine is
// suspended, and the wall clock can be set back.
func age(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

func (sta *State) onHeldElsewhere(now time.Time, msg HeldElsewhere) {
	rec := sta.ownRecord(msg.request)
	if rec == nil || rec.state != awaitingIssuer {
		return
	}
	rec.lastHeard, rec.holder = now, msg.holder
	sta.sendFetch(now, rec)
}

func (sta *State) onDenied(now time.Time, msg Denied) {
	rec := sta.ownRecord(msg.request)
	if rec == nil || rec.state != awaitingIssuer {
		return
	}
	rec.reportedNotRun = msg.outcome == result.NotRun
	sta.abandon(now, rec)
	detail, retryAfter := denialDetail(msg)
	sta.deny(rec.ref.number, msg.outcome, msg.reason, detail, retryAfter)
}

func denialDetail(msg Denied) (string, time.Duration) {
	switch msg.reason {
	case result.KeyLost:
		return "the key's issuer no longer knows what became of it", 0
	case result.KeyInUse:
		return "the key was used for a request with another content, which may have run", 0
	case result.Overloaded:
		return "the key's issuer has no room for more requests", retryDelay
	}
	return "the key has expired or belongs to another client account; ask for a new one", 0
}

// onFetch replies with the phase of a run and, once it ended, its outcome.
func (sta *State) onFetch(msg Fetch) {
	rec := sta.ownRecord(msg.holder)
	phase := NoRecord
	var ro RunOutcome
	switch {
	case rec == nil:
	case rec.state == ended:
		phase, ro = Done, rec.outcome
	case rec.state == abandoned:
		// The issuer may still wait for the Release that frees the key.
		phase = Released
		sta.sendRelease(rec)
	default:
		phase = Running
		rec.addWaiter(msg.request)
	}
	sta.send(msg.request.instance.id, NewFetchReply(msg.request, phase, ro))
}

// maxWaiters is the maximum number of requests that are sent the outcome as
// soon as the run ends. Further ones get it by polling.
const maxWaiters = 8

func (rec *record) addWaiter(ref RequestRef) {
	for _, old := range rec.waiters {
		if old == ref {
			return
		}
	}
	if len(rec.waiters) < maxWaiters {
		rec.waiters = append(rec.waiters, ref)
	}
}

func (sta *State) onFetchReply(now time.Time, msg FetchReply) {
	rec := sta.ownRecord(msg.request)
	if rec == nil || rec.state != awaitingOutcome {
		return
	}
	rec.lastHeard = now
	switch msg.phase {
	case Running:
	case Released:
		// The key is free or about to be. The next resend asks the issuer for
		// it.
		rec.state = awaitingIssuer
		rec.lastSent = now
	case Done:
		sta.abandon(now, rec)
		ro := msg.outcome
		sta.verdict(rec.ref.number, Verdict{outcome: &ro})
	case NoRecord:
		sta.abandon(now, rec)
		sta.deny(rec.ref.number, result.Unknown, result.KeyLost, "the entry instance that ran the request no longer knows how it ended", 0)
	}
}

// release abandons a request and sends a Release, since the issuer may have
// bound the key to it.
func (sta *State) release(now time.Time, rec *record, noCalls, reportedNotRun bool) {
	rec.noCalls, rec.reportedNotRun = noCalls, reportedNotRun
	sta.abandon(now, rec)
	sta.sendRelease(rec)
	sta.pendingReleases = append(sta.pendingReleases, pendingRelease{number: rec.ref.number, sentAt: now})
}

// abandon gives up a request without a Release. If a delayed message makes the
// issuer bind the key to it later, onBound releases the key.
func (sta *State) abandon(now time.Time, rec *record) {
	rec.state = abandoned
	sta.finish(now, rec)
}

func (sta *State) sendRelease(rec *record) {
	sta.send(rec.key.issuer.id, NewRelease(rec.key, rec.ref, rec.noCalls, rec.reportedNotRun))
}

// finish moves a record from the active to the finished ones and notifies its
// waiters.
func (sta *State) finish(now time.Time, rec *record) {
	sta.active--
	rec.claim, rec.finishedAt = nil, now
	sta.storedBytes += len(rec.outcome.answer)
	sta.finished = append(sta.finished, rec.ref.number)
	phase := Done
	if rec.state == abandoned {
		phase = Released
	}
	for _, ref := range rec.waiters {
		sta.send(ref.instance.id, NewFetchReply(ref, phase, rec.outcome))
	}
	rec.waiters = nil
	sta.evictFinished(now)
}

// evictFinished evicts the oldest finished records beyond the limits of count,
// size and age. This is safe: a resend is then told "unknown".
func (sta *State) evictFinished(now time.Time) {
	for len(sta.finished) > 0 {
		rec := sta.records[sta.finished[0]]
		if len(sta.finished) <= sta.opt.maxFinished && sta.storedBytes <= sta.opt.maxStoredBytes && now.Sub(rec.finishedAt) < sta.opt.retention+sta.opt.lifetime {
			return
		}
		sta.storedBytes -= len(rec.outcome.answer)
		delete(sta.records, rec.ref.number)
		sta.finished = sta.finished[1:]
	}
}
