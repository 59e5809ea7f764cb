package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// newWeight is the weight of a new result against the old ones.
	newWeight = 0.2
	// forget is the age at which half of what sets a server apart from its
	// peers is forgotten, so that a slow one is tried again.
	forget = 20 * time.Second
)

// speed is the time that a server takes for one unit of work, with the load
// taken out, as a fading mean of this instance's own results.
type speed struct {
	// perUnit holds the float's bits, in seconds; 0 until the first result.
	perUnit atomic.Uint64
	results atomic.Int64
	// took is the fading mean of whole calls, as perUnit is.
	took atomic.Uint64
	// at is when the last result came, in nanoseconds.
	at atomic.Int64
}

func (spd *speed) learn(now time.Time, perUnit, took float64) {
	weight := max(newWeight, 1/float64(spd.results.Add(1)))
	blend(&spd.perUnit, perUnit, weight)
	blend(&spd.took, took, weight)
	spd.at.Store(now.UnixNano())
}

// blend moves the mean in some bits towards a sample.
func blend(bits *atomic.Uint64, sample, weight float64) {
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

// usual returns the mean time of a call in seconds, or 0.
func (spd *speed) usual() float64 { return math.Float64frombits(spd.took.Load()) }

// read returns the time for a unit, or 0 where nothing is known.
func (spd *speed) read() float64 { return math.Float64frombits(spd.perUnit.Load()) }

const (
	// priorResults is how many results it takes to half believe that a server is
	// unlike its peers.
	priorResults = 4
	// Within these bounds a server counts as much like its peers, and little
	// of the difference is taken: single results vary that much by what else
	// is in the batch, and following them would swing the load to and fro.
	likeLow    = 0.6
	likeHigh   = 1.7
	likeWeight = 0.2
)

// against returns the time for a unit, drawn to the peers' where results are
// few or old.
func (spd *speed) against(now time.Time, peers float64) float64 {
	own := spd.read()
	if own == 0 || peers == 0 {
		return peers
	}
	num := float64(spd.results.Load())
	age := max(0, time.Duration(now.UnixNano()-spd.at.Load()))
	belief := num / (num + priorResults) * math.Exp2(-age.Seconds()/forget.Seconds())
	ratio := 1 + (own/peers-1)*belief
	if ratio > likeLow && ratio < likeHigh {
		ratio = 1 + (ratio-1)*likeWeight
	}
	return peers * ratio
}

const (
	firstExclusion = 500 * time.Millisecond
	lastExclusion  = 8 * time.Second
)

// health keeps a server out for a short while after failures that are its
// own. The first call after the while is a probe: it goes out alone, because
// the one who sends it starts the next while.
type health struct {
	// fails counts failures since the last whole result.
	fails atomic.Int64
	// until is when the next probe may go, in nanoseconds; 0 when well.
	until atomic.Int64
}

func (hea *health) failed(now time.Time) {
	num := hea.fails.Add(1)
	wait := min(firstExclusion<<min(num-1, 8), lastExclusion)
	hea.until.Store(now.Add(wait).UnixNano())
}

func (hea *health) well() {
	if hea.fails.Load() != 0 {
		hea.fails.Store(0)
		hea.until.Store(0)
	}
}

// excluded reports whether no call should go now.
func (hea *health) excluded(now time.Time) bool {
	until := hea.until.Load()
	return until != 0 && now.UnixNano() < until
}

// probe claims the probe of a server whose exclusion has passed; it reports
// false when another call has it. It is true for servers that are well.
func (hea *health) probe(now time.Time) bool {
	until := hea.until.Load()
	if until == 0 {
		return true
	}
	if now.UnixNano() < until {
		return false
	}
	wait := min(firstExclusion<<min(hea.fails.Load(), 8), lastExclusion)
	return hea.until.CompareAndSwap(until, now.Add(wait).UnixNano())
}

// prefixSlots bounds the prefixes remembered for a server.
const prefixSlots = 64

// prefixes remembers which prompt prefixes went to a server last. It stands in
// for the server's own cache, whose events come late and with gaps; a prefix
// that was pushed out over there costs one prefill more than foreseen.
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
