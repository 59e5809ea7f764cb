package keys

import (
	"sync/atomic"
	"time"

	"lovagestream/core/result"
)

// Times and limits of the protocol between issuers and executors.
const (
	// resendInterval is the interval at which an unanswered message is resent.
	resendInterval = 200 * time.Millisecond
	// replyTimeout is how long an issuer or executor may be silent before the
	// caller is told "unknown".
	replyTimeout = time.Second
	// retryDelay is when a caller that was told "unknown" for lack of a reply
	// should retry with the same key.
	retryDelay = time.Second
	// maxReleaseSends is how often a Release is resent, since each may be lost.
	maxReleaseSends = 4
	// MaxTickAge is the maximum age of the last tick at which a claim can be used.
	// Beyond it the process was paused and its state may be stale.
	MaxTickAge = 2 * time.Second
	// MaxBatch is the maximum number of keys issued in one batch.
	MaxBatch = 256
)

// Options are the lifetimes and limits of the state that an instance keeps for
// idempotency keys.
type Options struct {
	lifetime       time.Duration
	retention      time.Duration
	maxBindings    int
	maxActive      int
	maxFinished    int
	maxStoredBytes int
	maxAnswerBytes int
}

// DefaultOptions returns options for the load of an entry instance in the
// two-year plan.
func DefaultOptions() Options {
	return Options{
		lifetime:       10 * time.Minute,
		retention:      10 * time.Minute,
		maxBindings:    100_000,
		maxActive:      10_000,
		maxFinished:    50_000,
		maxStoredBytes: 16 << 20,
		maxAnswerBytes: 256 << 10,
	}
}

// WithTimes sets how long a key can be bound, and how long after that its
// binding and the answer are kept.
func (opt Options) WithTimes(lifetime, retention time.Duration) Options {
	opt.lifetime, opt.retention = lifetime, retention
	return opt
}

// WithLimits sets the maximum number of bindings as an issuer, of active and of
// finished requests as an executor, and the maximum size in bytes of all stored
// answers and of a single one.
func (opt Options) WithLimits(bindings, active, finished, stored, answer int) Options {
	opt.maxBindings, opt.maxActive, opt.maxFinished, opt.maxStoredBytes, opt.maxAnswerBytes = bindings, active, finished, stored, answer
	return opt
}

// State is the idempotency-key state of one entry instance: the bindings of the
// keys that it issued and the records of the keyed requests that it received.
// Only the control thread may use it.
type State struct {
	self     Instance
	opt      Options
	bindings *Bindings
	// records holds the requests of this incarnation, by number, until they are
	// evicted.
	records map[uint64]*record
	// waiting lists the records that wait for the issuer or an executor, in the
	// order of arrival. Records that no longer wait are removed at the next tick.
	waiting []*record
	// active counts records that are neither ended nor abandoned.
	active int
	// finished lists the numbers of the other records in the order of their end.
	finished []uint64
	// storedBytes is the size of all answers in records.
	storedBytes     int
	pendingReleases []pendingRelease
	lastTick        tickTime
	// resumedAt is when the last pause of the process ended and pausedAt when
	// it began; zero if there was none.
	resumedAt time.Time
	pausedAt  time.Time
	outs      []Output
}

// pendingRelease is a Release to be resent.
type pendingRelease struct {
	number uint64
	sentAt time.Time
	sends  int
}

// tickTime is the time of the last tick. Claims read it concurrently.
type tickTime struct {
	start      time.Time
	sinceStart atomic.Int64
}

func (tck *tickTime) set(now time.Time) { tck.sinceStart.Store(int64(now.Sub(tck.start))) }

func (tck *tickTime) get() time.Time { return tck.start.Add(time.Duration(tck.sinceStart.Load())) }

func (tck *tickTime) age(now time.Time) time.Duration {
	return now.Sub(tck.start) - time.Duration(tck.sinceStart.Load())
}

// New returns the state of an instance that starts now.
func New(self Instance, opt Options, now time.Time) *State {
	return &State{self: self, opt: opt, bindings: newBindings(self, opt, now), records: map[uint64]*record{}, lastTick: tickTime{start: now}}
}

// Self returns the identity of this instance.
func (sta *State) Self() Instance { return sta.self }

// Counts returns the number of bindings, of active and of finished requests
// that are kept, and the size of the stored answers in bytes.
func (sta *State) Counts() (bindings, active, finished, bytes int) {
	return len(sta.bindings.bySequence), sta.active, len(sta.finished), sta.storedBytes
}

// Issue returns a batch of new keys for a client account, at most MaxBatch.
func (sta *State) Issue(now time.Time, account string, num int) []Key {
	batch := make([]Key, min(num, MaxBatch))
	for i := range batch {
		batch[i] = sta.bindings.issue(now, account)
	}
	return batch
}

// Submit starts the handling of a keyed request. Its verdict is in this output or
// a later one.
func (sta *State) Submit(now time.Time, req KeyedRequest) []Output {
	sta.submit(now, req)
	return sta.deliverLocal(now)
}

// Cancel cancels the wait of a request, such as when its caller left. The
// verdict is then a denial, unless a claim was already returned, whose end must
// be reported as usual.
func (sta *State) Cancel(now time.Time, number uint64) []Output {
	if rec := sta.records[number]; rec != nil && rec.waiting() {
		sta.release(now, rec, true, false)
		sta.deny(number, result.Unknown, result.CallerLeft, "the caller left", 0)
	}
	return sta.deliverLocal(now)
}

// End processes the report of a run under a claim. It must be called exactly
// once for each claim.
func (sta *State) End(now time.Time, rep RunReport) []Output {
	rec := sta.records[rep.number]
	if rec == nil || rec.state != running {
		return nil
	}
	if !rep.committed {
		sta.release(now, rec, !rep.sent, rep.reportedNotRun)
		return sta.deliverLocal(now)
	}
	rec.state, rec.outcome = ended, rep.outcome
	if len(rep.outcome.answer) > sta.opt.maxAnswerBytes {
		rec.outcome = Failed(result.KeyLost, "the request was answered, but its answer is too large to be kept for a resend", nil)
	}
	sta.finish(now, rec)
	return sta.deliverLocal(now)
}

// Receive processes a message of another instance.
func (sta *State) Receive(now time.Time, from string, msg Message) []Output {
	sta.receive(now, from, msg)
	return sta.deliverLocal(now)
}

func (sta *State) receive(now time.Time, from string, msg Message) {
	switch got := msg.(type) {
	case Bind:
		// An instance may send messages only for its own requests.
		if got.request.instance.id == from {
			sta.send(from, sta.bindings.bind(now, got))
		}
	case Release:
		if got.request.instance.id == from {
			sta.bindings.release(now, got)
		}
	case Bound:
		sta.onBound(now, got)
	case HeldElsewhere:
		sta.onHeldElsewhere(now, got)
	case Denied:
		sta.onDenied(now, got)
	case Fetch:
		sta.onFetch(got)
	case FetchReply:
		sta.onFetchReply(now, got)
	}
}

// Tick resends unanswered messages, expires requests that waited too long and
// evicts old state.
func (sta *State) Tick(now time.Time) []Output {
	if sta.lastTick.age(now) > ageSlack {
		sta.pausedAt, sta.resumedAt = sta.lastTick.get(), now
	}
	sta.lastTick.set(now)
	sta.bindings.evictExpired(now)
	sta.evictFinished(now)
	rest := sta.waiting[:0]
	for _, rec := range sta.waiting {
		if rec.waiting() {
			sta.resendOrExpire(now, rec)
		}
		if rec.waiting() {
			rest = append(rest, rec)
		}
	}
	clear(sta.waiting[len(rest):])
	sta.waiting = rest
	sta.resendReleases(now)
	return sta.deliverLocal(now)
}

func (sta *State) resendOrExpire(now time.Time, rec *record) {
	switch {
	case !now.Before(rec.deadline):
		sta.release(now, rec, true, false)
		sta.deny(rec.ref.number, result.Unknown, result.DeadlinePassed, "the deadline passed while waiting for the first run under the key", retryDelay)
	case now.Sub(rec.lastHeard) >= replyTimeout:
		sta.release(now, rec, true, false)
		sta.deny(rec.ref.number, result.Unknown, result.KeyLost, "the entry instance that knows what became of the key does not answer", retryDelay)
	case now.Sub(rec.lastSent) < resendInterval:
	case rec.state == awaitingIssuer:
		sta.sendBind(now, rec)
	default:
		sta.sendFetch(now, rec)
	}
}

func (sta *State) resendReleases(now time.Time) {
	rest := sta.pendingReleases[:0]
	for _, pnd := range sta.pendingReleases {
		rec := sta.records[pnd.number]
		if rec == nil {
			continue
		}
		if now.Sub(pnd.sentAt) >= resendInterval {
			sta.sendRelease(rec)
			pnd.sentAt = now
			pnd.sends++
		}
		if pnd.sends < maxReleaseSends {
			rest = append(rest, pnd)
		}
	}
	sta.pendingReleases = rest
}

func (sta *State) send(to string, msg Message) { sta.outs = append(sta.outs, Output{to: to, msg: msg}) }

func (sta *State) verdict(number uint64, ver Verdict) {
	sta.outs = append(sta.outs, Output{number: number, ver: &ver})
}

func (sta *State) deny(number uint64, out result.Outcome, reason result.Reason, detail string, retryAfter time.Duration) {
	sta.verdict(number, Verdict{denial: &Denial{outcome: out, reason: reason, detail: detail, retryAfter: retryAfter}})
}

// deliverLocal processes the messages of this instance to itself and returns
// the remaining output.
func (sta *State) deliverLocal(now time.Time) []Output {
	var outs []Output
	for len(sta.outs) > 0 {
		batch := sta.outs
		sta.outs = nil
		for _, out := range batch {
			if out.msg != nil && out.to == sta.self.id {
				sta.receive(now, out.to, out.msg)
				continue
			}
			outs = append(outs, out)
		}
	}
	return outs
}
