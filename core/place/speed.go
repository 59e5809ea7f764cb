package place

import (
	"math"
	"slices"
	"time"

	"lovagestream/core/speed"
	"lovagestream/core/stock"
)

// Load pattern: engines of one service differ in speed, and each is slower for a
// part of the time. Treated alike, slow engines read long prompts, their first
// events are late, and so are the events of all that stream there meanwhile.

// bySpeed reports whether choices follow the engines' speeds: they do once the
// lasting speeds are known to differ.
func (pol *Pool) bySpeed() bool { return !pol.ignoreSpeed && pol.slots > 0 && pol.speeds.Uneven() }

// IgnoreSpeed makes the pool treat all engines as equally fast.
func (pol *Pool) IgnoreSpeed() { pol.ignoreSpeed = true }

// SetGapTarget sets the longest pause between events that counts as on time.
func (pol *Pool) SetGapTarget(gap time.Duration) { pol.gapTarget = gap }

// Speeds returns the engines' speeds.
func (pol *Pool) Speeds(now time.Time) []speed.State { return pol.speeds.States(now) }

// Tracker returns the tracker of the engines' speeds.
func (pol *Pool) Tracker() *speed.Tracker { return pol.speeds }

// factor is the expected ratio of time to nominal time at an engine.
func (eng *engine) factor(now time.Time) float64 { return eng.speed.Factor(now) }

// homeScore weights the hash of a prompt and an engine, so that each engine gets
// the highest score for a share of the prompts that grows with its speed.
// Scores that can't exceed the least one that counts may be higher than they are.
func (eng *engine) homeScore(hash float64, bounded bool, least float64) float64 {
	weight := eng.speed.Lasting()
	if most := (hash - 1) * weight; bounded && most <= least {
		return most
	}
	return math.Log(max(hash, math.SmallestNonzeroFloat64)) * weight
}

// estimate holds what the estimates for all engines share at one time. Times are
// in nanoseconds.
type estimate struct {
	now time.Time
	// fixed is the time to the first event without reading, perToken the time
	// to read a token at an engine of usual speed.
	fixed    float64
	perToken float64
	// meanWork is the mean of the engines' recent work, streams the time that a
	// stream usually lasts relative to recentMemory.
	meanWork float64
	streams  float64
}

func (pol *Pool) estimate(now time.Time) estimate {
	return estimate{
		now: now, fixed: float64(pol.nominal.fixedTime()), perToken: float64(time.Millisecond) / pol.nominal.rate(),
		meanWork: pol.recent.work * pol.recent.left(now) / float64(max(1, len(pol.engines))), streams: float64(pol.streamTime) / float64(recentMemory),
	}
}

// expectedAt is the expected time to the first event of a request that an engine
// gets now.
func (pol *Pool) expectedAt(now time.Time, eng *engine, uncached int) time.Duration {
	if !pol.bySpeed() {
		return pol.FirstEventTime(eng.backlogTokens + uncached)
	}
	est := pol.estimate(now)
	factor := est.waitingFactor(eng)
	return time.Duration(est.fixed + factor*est.perToken*float64(est.aheadTokens(eng, factor)+uncached))
}

// aheadTokens is the number of prompt tokens that are still to be read at an
// engine. Of the oldest prompt, a part has been read.
func (est *estimate) aheadTokens(eng *engine, factor float64) int {
	if len(eng.unbegun) == 0 {
		return 0
	}
	old := eng.unbegun[0]
	read := int(float64(est.now.Sub(old.placed)) / (est.perToken * factor))
	return max(0, eng.backlogTokens-min(old.uncached, max(0, read)))
}

// waitingFactor is an engine's factor, or a higher one if its oldest run without
// a first event has waited longer than that explains.
func (est *estimate) waitingFactor(eng *engine) float64 {
	factor := eng.factor(est.now)
	if len(eng.unbegun) == 0 {
		return factor
	}
	old := eng.unbegun[0]
	return max(factor, (float64(est.now.Sub(old.placed))-est.fixed)/max(est.fixed, est.perToken*float64(old.ahead+old.uncached)))
}

// costBySpeed is the cost of an engine if the engines' speeds differ: the
// expected time to the first event, the prefill that delays others and displaces
// cached parts, and the risks that the request or those that stream there become
// late. A request that is on time anywhere stays where its prompt is cached.
func (pol *Pool) costBySpeed(est *estimate, eng *engine, qry Query, away, cached bool) time.Duration {
	factor := est.waitingFactor(eng)
	uncached := pol.uncachedTokens(eng, qry)
	read := factor * est.perToken
	tokens := est.aheadTokens(eng, factor) + uncached
	first := est.fixed + read*float64(tokens)
	cost := first + (read+est.perToken)*float64(uncached) + factor*float64(eng.runs)*float64(runCost)
	left := eng.recent.left(est.now)
	cost += est.balanceCost(eng.recent.work * left)
	if away {
		extra := 0.0
		if len(qry.Parts) >= 2 && !cached {
			extra = read * float64(uncached-qry.Parts[len(qry.Parts)-1].Tokens)
		}
		cost += max(float64(minAwayCost), extra)
	}
	if qry.Target > 0 {
		late := 0.0
		if qry.Left > 0 {
			late = lateRisk(first, float64(qry.Left))
		}
		late += stallWeight * eng.recent.stalls * left * est.streams
		if streams := eng.runs - len(eng.unbegun); streams > 0 && pol.gapTarget > 0 {
			late += lateRisk(read*float64(tokens), float64(pol.gapTarget)) * float64(streams)
		}
		cost += late * float64(qry.Target)
	}
	return time.Duration(cost) + pol.fixedCost(eng, qry)
}

// recentMemory is how long the requests that an engine got count for the stalls
// and the work that more of them bring.
const recentMemory = 4 * time.Second

// stallWeight is the weight of stalls that earlier prompts brought, against
// those that the request itself would bring: some of the engine's prompts are
// over, and moving a request away from its cached parts brings a stall elsewhere.
const stallWeight = 0.3

// recent is what an engine got lately; it decays.
type recent struct {
	// stalls is the number of times that the engine's streams were expected to
	// pause for too long, work the time that it was expected to work.
	stalls float64
	work   float64
	at     time.Time
}

// left is the share that is left of the sums.
func (rec *recent) left(now time.Time) float64 {
	if rec.work == 0 {
		return 0
	}
	return math.Exp(-float64(now.Sub(rec.at)) / float64(recentMemory))
}

func (rec *recent) add(now time.Time, work, stalls float64) {
	left := rec.left(now)
	rec.work, rec.stalls, rec.at = rec.work*left+work, rec.stalls*left+stalls, now
}

// notePlaced counts the work of a run, and the stall of the engine's streams that
// its prefill is expected to cause.
func (pol *Pool) notePlaced(now time.Time, eng *engine, run *Run) {
	if pol.slots == 0 {
		return
	}
	est := pol.estimate(now)
	read := eng.factor(now) * est.perToken
	work, stalls := est.fixed+read*float64(run.uncached), 0.0
	if pol.gapTarget > 0 {
		stalls = lateRisk(read*float64(run.ahead+run.uncached), float64(pol.gapTarget))
	}
	eng.recent.add(now, work, stalls)
	pol.recent.add(now, work, stalls)
}

// balanceCost is the cost of an engine's recent work relative to the mean: two
// fixed times if it worked as long as the mean, eight if twice as long.
// It keeps the fastest engines from taking all requests that would be on time
// anywhere. Some requests more or less make no difference.
func (est *estimate) balanceCost(work float64) float64 {
	few := fewRequests * est.fixed
	ratio := (work + few) / (est.meanWork + few)
	return 2 * ratio * ratio * est.fixed
}

// fewRequests is the number of requests that make no imbalance.
const fewRequests = 4

// lateRisk is the probability that something which is expected to take a time
// takes longer than allowed: a log-logistic distribution, whose times deviate
// by about half.
func lateRisk(expected, allowed float64) float64 {
	ratio := expected / allowed
	ratio *= ratio
	ratio *= ratio
	return ratio / (1 + ratio)
}

// patience is how long a run may wait for its first event before its engine
// counts as silent.
func (pol *Pool) patience(now time.Time, eng *engine) time.Duration {
	wait := silentAfter + 2*pol.prefill.prefillTime(eng.backlogTokens)
	if pol.bySpeed() {
		return time.Duration(eng.factor(now) * float64(silentAfter+2*pol.nominal.prefillTime(eng.backlogTokens)))
	}
	return wait
}

// observeFirstEvent learns from a run's first event, and removes it from those
// without one. What was read meanwhile for runs placed later counts as the
// run's own work, as prompts delay the first tokens of others.
func (pol *Pool) observeFirstEvent(now time.Time, eng *engine, run *Run) {
	idx := slices.Index(eng.unbegun, run)
	if idx < 0 {
		return
	}
	later := eng.unbegun[idx+1:]
	took := now.Sub(run.placed)
	lasting := eng.speed.Lasting()
	rate := pol.nominal.rate()
	tokens := run.ahead + run.uncached
	for _, oth := range later {
		tokens += min(oth.uncached, int(float64(now.Sub(oth.placed))/float64(time.Millisecond)*rate/lasting))
	}
	eng.unbegun = slices.Delete(eng.unbegun, idx, idx+1)
	if pol.slots == 0 {
		return
	}
	if pol.nominal.ready() {
		fixed, read := pol.nominal.fixedTime(), pol.nominal.prefillTime(tokens)
		share := float64(read) / float64(fixed+read)
		pol.speeds.ObserveWork(now, run.engine, read, max(took-fixed, read/leastRead), share*share)
	}
	pol.nominal.add(float64(tokens)*lasting, took)
}

// leastRead bounds how much faster than usual a prompt can have been read: the
// fixed time varies.
const leastRead = 8

func (eng *engine) removeUnbegun(run *Run) {
	if idx := slices.Index(eng.unbegun, run); idx >= 0 {
		eng.unbegun = slices.Delete(eng.unbegun, idx, idx+1)
	}
}

// Reason says why an engine was chosen.
type Reason string

const (
	// ReasonCached means that the engine caches most of the shared parts.
	ReasonCached Reason = "cached"
	// ReasonHome means that it is the home engine of the shared parts.
	ReasonHome Reason = "home"
	// ReasonFaster means that it is faster than the home engine, or than usual
	// for a prompt without one.
	ReasonFaster Reason = "faster"
	// ReasonSpill means that the others were busier.
	ReasonSpill Reason = "spill"
)

// reason returns the reason for a choice that was just made.
func (pol *Pool) reason(now time.Time, eng *engine, qry Query, uncached int) Reason {
	bySpeed := pol.bySpeed()
	home := pol.homeEngine(qry, bySpeed)
	usual := 1.0
	if home != nil {
		if cached := qry.PromptTokens - uncached; cached > sharedTokens(qry)*3/4 {
			return ReasonCached
		}
		if home == eng {
			return ReasonHome
		}
		usual = home.factor(now)
	}
	if bySpeed && eng.factor(now) < usual {
		return ReasonFaster
	}
	return ReasonSpill
}

// sharedTokens is the number of tokens in all parts but the last.
func sharedTokens(qry Query) int {
	if len(qry.Parts) < 2 {
		return 0
	}
	return qry.PromptTokens - qry.Parts[len(qry.Parts)-1].Tokens
}

// ObserveLoad records an engine's report of its load.
func (pol *Pool) ObserveLoad(now time.Time, ent stock.Entry, load speed.Load) {
	if eng := pol.engines[ent.ID]; eng != nil && eng.ent.StartedAt == ent.StartedAt {
		pol.speeds.ObserveLoad(now, ent.ID, load)
	}
}

// observeWait learns from a run that ends or moves without a first event.
func (pol *Pool) observeWait(now time.Time, eng *engine, run *Run) {
	if pol.slots > 0 && !run.adopted && pol.nominal.ready() {
		fixed := pol.nominal.fixedTime()
		pol.speeds.ObserveWait(now, run.engine, max(fixed, pol.nominal.prefillTime(run.ahead+run.uncached)), now.Sub(run.placed)-fixed)
	}
	eng.removeUnbegun(run)
}
