package fair

import (
	"math"
	"slices"
	"time"
)

const (
	// flowWindow is the time over which demand and use are smoothed: a burst
	// shows within its first second.
	flowWindow = 1500 * time.Millisecond
	// minFlow is the demand, in servers, below which an account is forgotten.
	minFlow = 1e-3
	// overFactor is the ratio of demand to share from which an account asks for
	// too much. Demands vary by this much within the window.
	overFactor = 1.3
	// maxFlows bounds the accounts whose demand is known at a time.
	maxFlows = 4096
)

// Flows measures the demand and the use of accounts at one resource, and finds
// the share of those that ask for too much.
type Flows[K comparable] struct {
	flows map[K]*flow
	// level is the largest demand that is met in full if all get what they ask
	// for up to it; infinite while every demand is met.
	level float64
	// unused is the part of the capacity that nobody uses.
	unused float64
}

// flow is the smoothed demand and use of one account, in servers.
type flow struct {
	demand, use float64
	at          time.Time
	// over is set while the account asks for more than its share.
	over bool
}

// NewFlows returns the flows of a resource that nobody has used.
func NewFlows[K comparable]() *Flows[K] {
	return &Flows[K]{flows: map[K]*flow{}, level: math.Inf(1)}
}

// Ask records work that an account asks for.
func (flo *Flows[K]) Ask(now time.Time, key K, work time.Duration) {
	if got := flo.at(now, key); got != nil {
		got.demand += float64(work) / float64(flowWindow)
	}
}

// Admit records work that an account may use.
func (flo *Flows[K]) Admit(now time.Time, key K, work time.Duration) {
	if got := flo.at(now, key); got != nil {
		got.use += float64(work) / float64(flowWindow)
	}
}

// at returns an account's flow at a time; nil if there are too many.
func (flo *Flows[K]) at(now time.Time, key K) *flow {
	got := flo.flows[key]
	if got == nil {
		if len(flo.flows) >= maxFlows {
			return nil
		}
		got = &flow{at: now}
		flo.flows[key] = got
	}
	got.decay(now)
	return got
}

func (got *flow) decay(now time.Time) {
	if gap := now.Sub(got.at); gap > 0 {
		part := math.Exp(-float64(gap) / float64(flowWindow))
		got.demand, got.use, got.at = got.demand*part, got.use*part, now
	}
}

// Divide computes the accounts' shares of a capacity, in servers, and forgets
// idle accounts.
func (flo *Flows[K]) Divide(now time.Time, capacity float64) {
	demands := make([]float64, 0, len(flo.flows))
	flo.unused = capacity
	for key, got := range flo.flows {
		got.decay(now)
		if got.demand < minFlow {
			delete(flo.flows, key)
			continue
		}
		demands = append(demands, got.demand)
		flo.unused -= got.use
	}
	flo.level = waterLevel(demands, capacity)
	for _, got := range flo.flows {
		got.over = got.demand > overFactor*flo.shareOf(got)
	}
}

// waterLevel is the level at which demands, each cut to it, sum up to a
// capacity; infinite if they don't reach it.
func waterLevel(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	left := capacity
	for idx, demand := range demands {
		if level := left / float64(len(demands)-idx); demand > level {
			return level
		}
		left -= demand
	}
	return math.Inf(1)
}

// Share is what an account may use, in servers, by the last Divide: as much as
// the others that ask for more, or all that the others leave, because another
// resource limits them.
func (flo *Flows[K]) Share(key K) float64 {
	got := flo.flows[key]
	if got == nil {
		return flo.level
	}
	return flo.shareOf(got)
}

func (flo *Flows[K]) shareOf(got *flow) float64 { return max(flo.level, flo.unused+got.use) }

// Over reports whether an account asked for more than its share at the last
// Divide.
func (flo *Flows[K]) Over(key K) bool {
	got := flo.flows[key]
	return got != nil && got.over
}

// Rates returns an account's demand and use, in servers.
func (flo *Flows[K]) Rates(now time.Time, key K) (demand, use float64) {
	got := flo.flows[key]
	if got == nil {
		return 0, 0
	}
	got.decay(now)
	return got.demand, got.use
}

// EachOver calls a function for each account over its share.
func (flo *Flows[K]) EachOver(fun func(key K)) {
	for key, got := range flo.flows {
		if got.over {
			fun(key)
		}
	}
}
