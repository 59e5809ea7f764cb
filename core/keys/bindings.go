package keys

import (
	"container/heap"
	"time"

	"lovagestream/core/result"
)

// Bindings holds the bindings of the keys that one issuer issued. A key without a
// binding was never bound, as long as its retention has not passed.
type Bindings struct {
	self Instance
	opt  Options
	// start is the base of the expiry times of the keys.
	start time.Time
	// lastSequence is the highest sequence number issued.
	lastSequence uint64
	// bySequence drops a binding only after the retention of its key, never to
	// make room: without its binding the key would look unused.
	bySequence map[uint64]*binding
	evictions  evictionHeap
}

// binding is the issuer's state of a key that a request has asked for.
type binding struct {
	digest Digest
	holder RequestRef
	// held is true while the key is bound to holder.
	held bool
	// earlierCalls is set when a holder that had made calls releases the key,
	// and never cleared.
	earlierCalls bool
	// closed is set for a key that was refused as not run and must never be
	// bound.
	closed bool
	// reportedNotRunAt is when a caller was last told "not run"; zero if never.
	reportedNotRunAt time.Time
}

// newBindings returns the bindings of an issuer whose times count from start.
func newBindings(origin Instance, opt Options, start time.Time) *Bindings {
	return &Bindings{self: origin, opt: opt, start: start, bySequence: map[uint64]*binding{}}
}

// issue returns a new key. A key takes no memory until it is bound.
func (bnd *Bindings) issue(now time.Time, account string) Key {
	bnd.lastSequence++
	return NewKey(bnd.self, bnd.lastSequence, now.Sub(bnd.start)+bnd.opt.lifetime, account)
}

// retentionLeft returns how much longer the binding of a key is kept. If it is
// not positive, the binding may already be gone.
func (bnd *Bindings) retentionLeft(now time.Time, key Key) time.Duration {
	return key.expiry + bnd.opt.retention - now.Sub(bnd.start)
}

func (bnd *Bindings) expired(now time.Time, key Key) bool {
	return now.Sub(bnd.start) >= key.expiry
}

// bind answers a request for a key. It is idempotent: the holder gets the same
// binding again, so that a lost reply costs only a retry.
func (bnd *Bindings) bind(now time.Time, msg Bind) Message {
	bnd.evictExpired(now)
	key, ref := msg.key, msg.request
	if key.issuer != bnd.self || key.sequence == 0 || key.sequence > bnd.lastSequence || bnd.retentionLeft(now, key) <= 0 {
		return NewDenied(ref, result.Unknown, result.KeyLost)
	}
	bdg := bnd.bySequence[key.sequence]
	if bdg == nil {
		return bnd.bindFirst(now, msg)
	}
	switch {
	case bdg.held && bdg.holder == ref:
		return boundReply(now, bdg)
	case bdg.closed:
		return NewDenied(ref, result.NotRun, result.KeyRefused)
	case msg.account != key.account:
		return denyForeign(ref, bdg)
	case bdg.digest != msg.digest && (bdg.held || bdg.earlierCalls):
		// The caller may relate the reply to the request that it sent first
		// under the key, so "not run" could be wrong.
		return NewDenied(ref, result.Unknown, result.KeyInUse)
	case bdg.held:
		return NewHeldElsewhere(ref, bdg.holder)
	case bnd.expired(now, key):
		return NewDenied(ref, bdg.provableOutcome(), result.KeyRefused)
	}
	bdg.digest, bdg.holder, bdg.held = msg.digest, ref, true
	return boundReply(now, bdg)
}

// bindFirst answers a request for a key that has no binding yet.
func (bnd *Bindings) bindFirst(now time.Time, msg Bind) Message {
	key, ref := msg.key, msg.request
	switch {
	case bnd.expired(now, key):
		// "Not run" stays true: no copy of the request can bind an expired key.
		return NewDenied(ref, result.NotRun, result.KeyRefused)
	case len(bnd.bySequence) >= bnd.opt.maxBindings:
		// "Not run" is true now but wouldn't be recorded, so a copy of the
		// request could still bind the key later.
		return NewDenied(ref, result.Unknown, result.Overloaded)
	}
	bdg := &binding{digest: msg.digest, holder: ref}
	bnd.bySequence[key.sequence] = bdg
	heap.Push(&bnd.evictions, eviction{sequence: key.sequence, at: key.expiry + bnd.opt.retention})
	if msg.account != key.account {
		return denyForeign(ref, bdg)
	}
	bdg.held = true
	return boundReply(now, bdg)
}

// denyForeign refuses a key that belongs to another client account. A key that
// is refused as not run is closed, so that the refusal also holds for a copy
// that arrives under the right account, such as one sent before the account was
// renamed.
func denyForeign(ref RequestRef, bdg *binding) Message {
	out := bdg.provableOutcome()
	bdg.closed = out == result.NotRun
	return NewDenied(ref, out, result.KeyRefused)
}

// provableOutcome returns the outcome that a refusal of the key may report.
func (bdg *binding) provableOutcome() result.Outcome {
	if bdg.held || bdg.earlierCalls {
		return result.Unknown
	}
	return result.NotRun
}

// neverReportedNotRun is the time since the last refusal if there was none.
const neverReportedNotRun = 365 * 24 * time.Hour

func boundReply(now time.Time, bdg *binding) Message {
	since := neverReportedNotRun
	if !bdg.reportedNotRunAt.IsZero() {
		since = now.Sub(bdg.reportedNotRunAt)
	}
	return NewBound(bdg.holder, since, bdg.earlierCalls)
}

// release frees a key that is bound to the request that releases it. A Release
// from another request is late: the key has a new holder, and freeing it would
// allow a second run beside that one.
func (bnd *Bindings) release(now time.Time, msg Release) {
	bdg := bnd.bySequence[msg.key.sequence]
	if bdg == nil || !bdg.held || bdg.holder != msg.request {
		return
	}
	bdg.held = false
	bdg.earlierCalls = bdg.earlierCalls || !msg.noCalls
	if msg.reportedNotRun {
		bdg.reportedNotRunAt = now
	}
}

// evictExpired drops the bindings whose retention has passed.
func (bnd *Bindings) evictExpired(now time.Time) {
	for len(bnd.evictions) > 0 && now.Sub(bnd.start) >= bnd.evictions[0].at {
		delete(bnd.bySequence, heap.Pop(&bnd.evictions).(eviction).sequence)
	}
}

// eviction is the time, since the issuer's start, at which a binding is dropped.
type eviction struct {
	sequence uint64
	at       time.Duration
}

// evictionHeap is a min-heap by eviction time. It implements heap.Interface.
type evictionHeap []eviction

var _ heap.Interface = (*evictionHeap)(nil)

// Len returns the number of evictions.
func (hp evictionHeap) Len() int { return len(hp) }

// Less orders evictions by time.
func (hp evictionHeap) Less(i, j int) bool { return hp[i].at < hp[j].at }

// Swap swaps two evictions.
func (hp evictionHeap) Swap(i, j int) { hp[i], hp[j] = hp[j], hp[i] }

// Push appends an eviction.
func (hp *evictionHeap) Push(val any) { *hp = append(*hp, val.(eviction)) }

// Pop removes and returns the last element.
func (hp *evictionHeap) Pop() any {
	old := *hp
	val := old[len(old)-1]
	*hp = old[:len(old)-1]
	return val
}
