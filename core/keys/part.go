package keys

import (
	"sync/atomic"
	"time"

	"lovagestream/core/result"
)

// Times of the exchange between desks and books.
const (
	// repeatEvery is how often an unanswered question is repeated.
	repeatEvery = 200 * time.Millisecond
	// patience is how long an issuer or executor may say nothing before the
	// caller is told "unknown".
	patience = time.Second
	// comeBack is when a caller that was told "unknown" for want of an answer
	// should send again with the same key.
	comeBack = time.Second
	// releases is how often a Release is said; each may be lost.
	releases = 4
	// MaxGap is how old the last tick may be for a claim to be used. More
	// means that the process was paused and acts on what it knew before.
	MaxGap = 2 * time.Second
	// MaxBatch is the most keys issued in one batch.
	MaxBatch = 256
)

// Options bound what a part keeps.
type Options struct {
	lifetime  time.Duration
	retention time.Duration
	maxBound  int
	maxLive   int
	maxPast   int
	maxBytes  int
	maxAnswer int
}

// DefaultOptions are sized for an entry instance of the two-year plan.
func DefaultOptions() Options {
	return Options{
		lifetime:  10 * time.Minute,
		retention: 10 * time.Minute,
		maxBound:  100_000,
		maxLive:   10_000,
		maxPast:   50_000,
		maxBytes:  16 << 20,
		maxAnswer: 256 << 10,
	}
}

// WithTimes sets how long a key can be bound and how long after that its
// binding and the answer are remembered.
func (opt Options) WithTimes(lifetime, retention time.Duration) Options {
	opt.lifetime, opt.retention = lifetime, retention
	return opt
}

// WithBounds sets the most bound keys of the issuer, the most asks in progress
// and past asks of an executor, and the bytes of all kept answers and of one.
func (opt Options) WithBounds(bound, live, past, all, one int) Options {
	opt.maxBound, opt.maxLive, opt.maxPast, opt.maxBytes, opt.maxAnswer = bound, live, past, all, one
	return opt
}

// Part is the keys' part of one entry instance's control state: the Book of
// the keys that it issued and the records of the asks that it holds. It belongs
// to the control thread.
type Part struct {
	self Origin
	opt  Options
	book *Book
	// records holds every ask of this incarnation that is not forgotten.
	records map[uint64]*record
	// waiting lists the records that wait, and some that no longer do, in the
	// order of their numbers' first use.
	waiting []*record
	// live counts records that are neither ended nor dropped.
	live int
	// past lists the others in the order of their end.
	past []uint64
	// bytes is the size of the answers in records.
	bytes   int
	repeats []repeat
	pulse   pulse
	// wokeAt is when the last pause ended and asleep when it began; zero if
	// there was none.
	wokeAt time.Time
	asleep time.Time
	outs   []Out
}

// repeat is a Release to be said again.
type repeat struct {
	number uint64
	at     time.Time
	said   int
}

// pulse is the time of the last tick, shared with claims.
type pulse struct {
	start time.Time
	last  atomic.Int64
}

func (pul *pulse) beat(now time.Time) { pul.last.Store(int64(now.Sub(pul.start))) }

func (pul *pulse) at() time.Time { return pul.start.Add(time.Duration(pul.last.Load())) }

func (pul *pulse) gap(now time.Time) time.Duration {
	return now.Sub(pul.start) - time.Duration(pul.last.Load())
}

// New returns the part of an instance that starts now.
func New(self Origin, opt Options, now time.Time) *Part {
	return &Part{self: self, opt: opt, book: newBook(self, opt, now), records: map[uint64]*record{}, pulse: pulse{start: now}}
}

// Self returns the origin of this part.
func (par *Part) Self() Origin { return par.self }

// Counts returns the bound or remembered keys of the issuer, the asks in
// progress, the past asks remembered, and the bytes of kept answers.
func (par *Part) Counts() (bound, live, past, bytes int) {
	return len(par.book.entries), par.live, len(par.past), par.bytes
}

// Issue makes a batch of keys for a client account, at most MaxBatch.
func (par *Part) Issue(now time.Time, account string, num int) []Key {
	batch := make([]Key, min(num, MaxBatch))
	for i := range batch {
		batch[i] = par.book.issue(now, account)
	}
	return batch
}

// Want begins an ask; a verdict follows at once or later.
func (par *Part) Want(now time.Time, wtd Wanted) []Out {
	par.want(now, wtd)
	return par.settle(now)
}

// Leave says that the request under a number waits no more, such as when its
// caller left. The verdict is then a denial, unless a claim is on its way,
// which must be answered with End as always.
func (par *Part) Leave(now time.Time, number uint64) []Out {
	if rec := par.records[number]; rec != nil && rec.waits() {
		par.drop(now, rec, true, false)
		par.deny(number, result.Unknown, result.CallerLeft, "the caller left", 0)
	}
	return par.settle(now)
}

// End says how the run under a claim ended. It must come once for each claim.
func (par *Part) End(now time.Time, fin Finish) []Out {
	rec := par.records[fin.number]
	if rec == nil || rec.stance != running {
		return nil
	}
	if !fin.crossed {
		par.drop(now, rec, !fin.sent, fin.told)
		return par.settle(now)
	}
	rec.stance, rec.end = ended, fin.end
	if len(fin.end.answer) > par.opt.maxAnswer {
		rec.end = Failed(result.KeyLost, "the request was answered, but its answer is too large to be kept for a resend", nil)
	}
	par.finish(now, rec)
	return par.settle(now)
}

// Hear takes a message of another instance.
func (par *Part) Hear(now time.Time, from string, msg Message) []Out {
	par.hear(now, from, msg)
	return par.settle(now)
}

func (par *Part) hear(now time.Time, from string, msg Message) {
	switch got := msg.(type) {
	case Redeem:
		// Only its holder speaks for an ask.
		if got.ask.at.instance == from {
			par.send(from, par.book.redeem(now, got))
		}
	case Release:
		if got.ask.at.instance == from {
			par.book.release(now, got)
		}
	case Bound:
		par.heardBound(now, got)
	case Elsewhere:
		par.heardElsewhere(now, got)
	case Denied:
		par.heardDenied(now, got)
	case Fetch:
		par.heardFetch(got)
	case Told:
		par.heardTold(now, got)
	}
}

// Tick repeats what was not answered and gives up what was silent too long.
func (par *Part) Tick(now time.Time) []Out {
	if par.pulse.gap(now) > ageSlack {
		par.asleep, par.wokeAt = par.pulse.at(), now
	}
	par.pulse.beat(now)
	par.book.forget(now)
	par.trim(now)
	rest := par.waiting[:0]
	for _, rec := range par.waiting {
		if rec.waits() {
			par.remind(now, rec)
		}
		if rec.waits() {
			rest = append(rest, rec)
		}
	}
	clear(par.waiting[len(rest):])
	par.waiting = rest
	par.repeatReleases(now)
	return par.settle(now)
}

func (par *Part) remind(now time.Time, rec *record) {
	switch {
	case !now.Before(rec.until):
		par.drop(now, rec, true, false)
		par.deny(rec.ask.number, result.Unknown, result.DeadlinePassed, "the deadline passed while waiting for the first run under the key", comeBack)
	case now.Sub(rec.heard) >= patience:
		par.drop(now, rec, true, false)
		par.deny(rec.ask.number, result.Unknown, result.KeyLost, "the entry instance that knows what became of the key does not answer", comeBack)
	case now.Sub(rec.sent) < repeatEvery:
	case rec.stance == asking:
		par.redeemNow(now, rec)
	default:
		par.fetchNow(now, rec)
	}
}

func (par *Part) repeatReleases(now time.Time) {
	rest := par.repeats[:0]
	for _, rep := range par.repeats {
		rec := par.records[rep.number]
		if rec == nil {
			continue
		}
		if now.Sub(rep.at) >= repeatEvery {
			par.sendRelease(rec)
			rep.at = now
			rep.said++
		}
		if rep.said < releases {
			rest = append(rest, rep)
		}
	}
	par.repeats = rest
}

func (par *Part) send(to string, msg Message) { par.outs = append(par.outs, Out{to: to, msg: msg}) }

func (par *Part) verdict(number uint64, ver Verdict) {
	par.outs = append(par.outs, Out{number: number, ver: &ver})
}

func (par *Part) deny(number uint64, out result.Outcome, reason result.Reason, detail string, wait time.Duration) {
	par.verdict(number, Verdict{denial: &Denial{outcome: out, reason: reason, detail: detail, wait: wait}})
}

// settle hears what this instance says to itself and returns the rest.
func (par *Part) settle(now time.Time) []Out {
	var outs []Out
	for len(par.outs) > 0 {
		batch := par.outs
		par.outs = nil
		for _, out := range batch {
			if out.msg != nil && out.to == par.self.instance {
				par.hear(now, out.to, out.msg)
				continue
			}
			outs = append(outs, out)
		}
	}
	return outs
}
