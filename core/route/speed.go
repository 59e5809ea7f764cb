package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// sampleWeight is the weight of a new result in the moving averages.
	sampleWeight = 0.2
	// differenceHalfLife is the half-life of the difference between a server's
	// speed and its peers', so that a slow server is tried again.
	differenceHalfLife = 20 * time.Second
)

// speed is a server's time per unit of work, corrected for its load, as an
// exponential moving average of this instance's own results.
type speed struct {
	// timePerUnit holds the bits of a float64, in seconds; 0 until the first
	// result.
	timePerUnit atomic.Uint64
	results     atomic.Int64
	// duration is the moving average of the duration of complete calls, encoded
	// like timePerUnit.
	duration atomic.Uint64
	// lastResult is the time of the last result, in Unix nanoseconds.
	lastResult atomic.Int64
}

func (spd *speed) observe(now time.Time, timePerUnit, duration float64) {
	weight := max(sampleWeight, 1/float64(spd.results.Add(1)))
	updateMean(&spd.timePerUnit, timePerUnit, weight)
	updateMean(&spd.duration, duration, weight)
	spd.lastResult.Store(now.UnixNano())
}

// updateMean updates the moving average stored in bits with a sample.
func updateMean(bits *atomic.Uint64, sample, weight float64) {
	for {
		old := bits.Load()
		mean := sample
		if old != 0 {
			mean = math.Float64frombits(old)*(1-weight) + sample*weight
		}
		if bits.CompareAndSwap(old, math.Float64bits(mean)) {
			return
		}
	}
}

// meanDuration returns the mean duration of a call in seconds, or 0 if unknown.
func (spd *speed) meanDuration() float64 { return math.Float64frombits(spd.duration.Load()) }

// meanTimePerUnit returns the time per unit of work in seconds, or 0 if
// unknown.
func (spd *speed) meanTimePerUnit() float64 { return math.Float64frombits(spd.timePerUnit.Load()) }

const (
	// priorResults is the number of results at which the server's own speed and
	// its peers' have equal weight.
	priorResults = 4
	// Between these ratios a server counts as about as fast as its peers, and
	// only a small part of the difference is applied: single results vary that
	// much with what else is in the batch, and following them would make the
	// load oscillate.
	similarLow    = 0.6
	similarHigh   = 1.7
	similarWeight = 0.2
)

// estimate returns the time per unit of work, shrunk towards the peers' median
// when the server's own results are few or old.
func (spd *speed) estimate(now time.Time, median float64) float64 {
	mean := spd.meanTimePerUnit()
	if mean == 0 || median == 0 {
		return median
	}
	num := float64(spd.results.Load())
	age := max(0, time.Duration(now.UnixNano()-spd.lastResult.Load()))
	confidence := num / (num + priorResults) * math.Exp2(-age.Seconds()/differenceHalfLife.Seconds())
	ratio := 1 + (mean/median-1)*confidence
	if ratio > similarLow && ratio < similarHigh {
		ratio = 1 + (ratio-1)*similarWeight
	}
	return median * ratio
}

const (
	minExclusion = 500 * time.Millisecond
	maxExclusion = 8 * time.Second
)

// breaker is a circuit breaker: it excludes a server for a short time after
// failures of its own. When the time has passed, one call goes out as a probe;
// taking the probe starts the next exclusion, so that no second call follows
// it.
type breaker struct {
	// failures counts the failures since the last complete reply.
	failures atomic.Int64
	// until is the time of the next probe, in Unix nanoseconds; 0 while the
	// server is healthy.
	until atomic.Int64
}

func (brk *breaker) failed(now time.Time) {
	num := brk.failures.Add(1)
	wait := min(minExclusion<<min(num-1, 8), maxExclusion)
	brk.until.Store(now.Add(wait).UnixNano())
}

func (brk *breaker) reset() {
	if brk.failures.Load() != 0 {
		brk.failures.Store(0)
		brk.until.Store(0)
	}
}

// excluded reports whether the server must not be called now.
func (brk *breaker) excluded(now time.Time) bool {
	until := brk.until.Load()
	return until != 0 && now.UnixNano() < until
}

// probe claims the probe of a server whose exclusion has passed. It reports
// false if another call has claimed it, and true for a healthy server.
func (brk *breaker) probe(now time.Time) bool {
	until := brk.until.Load()
	if until == 0 {
		return true
	}
	if now.UnixNano() < until {
		return false
	}
	wait := min(minExclusion<<min(brk.failures.Load(), 8), maxExclusion)
	return brk.until.CompareAndSwap(until, now.Add(wait).UnixNano())
}

// prefixSlots is the number of prefixes kept for each server.
const prefixSlots = 64

// prefixes records the prompt prefixes most recently sent to a server. It
// approximates the server's own prefix cache, whose events arrive late and with
// gaps; a prefix evicted there costs one prefill more than forecast.
type prefixes struct {
	slots [prefixSlots]atomic.Uint64
}

func (pfx *prefixes) add(prefix uint64) {
	if prefix != 0 {
		pfx.slots[prefix%prefixSlots].Store(prefix)
	}
}

func (pfx *prefixes) has(prefix uint64) bool {
	return prefix != 0 && pfx.slots[prefix%prefixSlots].Load() == prefix
}
