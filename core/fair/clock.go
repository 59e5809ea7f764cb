// Package fair divides a resource among client accounts by weighted max-min
// fairness. It follows the fluid model of generalized processor sharing: all
// accounts with a backlog are served at the same time, each in proportion to
// its weight.
//
// Load pattern: one account sends many times its usual while all others send
// theirs. Without a division its requests fill the queue, and callers of every
// account are refused alike.
//
// The package reads no clock and does no input or output.
package fair

import (
	"container/heap"
	"time"
)

// Clock is the virtual clock of one resource. It knows the work that waits for
// the resource and advances with the work that the resource begins, whoever it
// is for. So the backlog of the model and that of the resource are equal in
// sum, also while the resource is slower than its capacity says, and differ
// only in the accounts' parts. An account without a backlog has no state: it
// has neither a debt nor a claim from earlier use. A Clock is not safe for
// concurrent use.
type Clock[K comparable] struct {
	// capacity is the work per second that the resource can do, in servers. It
	// only converts work to waits.
	capacity float64
	// virtual is the work, in seconds per unit of weight, that the model has
	// served each backlogged account.
	virtual float64
	// accounts are the backlogged accounts. Each has a finish above virtual.
	accounts map[K]*account[K]
	// byFinish holds the same accounts, the one that finishes first on top.
	byFinish finishHeap[K]
	// weight is the sum of the weights of the backlogged accounts.
	weight float64
	// weights are the weights that differ from 1.
	weights map[K]float64
	// real is the work, in seconds, that really waits, by account. Its sum is
	// that of the model's backlogs.
	real map[K]float64
}

// account is the backlog of one account.
type account[K comparable] struct {
	key    K
	weight float64
	// levels are the virtual times at which the model has served all work of an
	// urgency and of those before it; they never decrease along the slice.
	levels [maxUrgency + 1]float64
	// index is the position in byFinish.
	index int
}

// finish is when the model has served all of the account's work.
func (acc *account[K]) finish() float64 { return acc.levels[maxUrgency] }

const (
	// maxUrgency is the highest urgency with a level of its own; 0 goes first.
	maxUrgency = 9
	// maxWait bounds the waits of a resource that has almost no capacity.
	maxWait = time.Minute
	// epsilon is the backlog, in seconds, that counts as none: the rounding
	// errors of some thousand additions.
	epsilon = 1e-9
)

// NewClock returns a clock of a resource without capacity.
func NewClock[K comparable]() *Clock[K] {
	return &Clock[K]{accounts: map[K]*account[K]{}, weights: map[K]float64{}, real: map[K]float64{}}
}

// SetCapacity sets the work per second that the resource can do.
func (clk *Clock[K]) SetCapacity(capacity float64) { clk.capacity = max(0, capacity) }

// Capacity returns the work per second that the resource can do.
func (clk *Clock[K]) Capacity() float64 { return clk.capacity }

// SetWeight sets an account's weight, which must be positive. It applies from
// the account's next backlog; the default is 1.
func (clk *Clock[K]) SetWeight(key K, weight float64) {
	if weight == 1 {
		delete(clk.weights, key)
		return
	}
	clk.weights[key] = weight
}

// Charge adds work to an account's backlog. Work of a lower urgency number is
// served first within the account.
func (clk *Clock[K]) Charge(key K, urgency int, work time.Duration) {
	if work <= 0 {
		return
	}
	acc := clk.accounts[key]
	if acc == nil {
		acc = clk.newAccount(key)
	}
	for idx := levelOf(urgency); idx < len(acc.levels); idx++ {
		acc.levels[idx] = max(clk.virtual, acc.levels[idx]) + work.Seconds()/acc.weight
	}
	heap.Fix(&clk.byFinish, acc.index)
	clk.addReal(key, work.Seconds())
}

// Serve records that the resource has begun work of an account.
func (clk *Clock[K]) Serve(key K, work time.Duration) {
	clk.addReal(key, -work.Seconds())
	clk.advance(work.Seconds())
}

// GiveBack removes work from an account's backlog that won't be done. If the
// model has served it already, the account's other work counts as served
// instead, or else that of the others.
func (clk *Clock[K]) GiveBack(key K, urgency int, work time.Duration) {
	clk.addReal(key, -work.Seconds())
	acc := clk.accounts[key]
	if acc == nil {
		clk.advance(work.Seconds())
		return
	}
	size := work.Seconds() / acc.weight
	rest := max(0, size-(acc.finish()-clk.virtual)) * acc.weight
	for idx := levelOf(urgency); idx < len(acc.levels); idx++ {
		acc.levels[idx] = max(clk.virtual, acc.levels[idx]-size)
	}
	for idx := maxUrgency - 1; idx >= 0; idx-- {
		acc.levels[idx] = min(acc.levels[idx], acc.levels[idx+1])
	}
	if acc.finish() <= clk.virtual+epsilon {
		clk.remove(acc)
	} else {
		heap.Fix(&clk.byFinish, acc.index)
	}
	clk.advance(rest)
}

// advance serves the backlogged accounts with work in seconds.
func (clk *Clock[K]) advance(left float64) {
	for left > 0 && len(clk.byFinish) > 0 {
		first := clk.byFinish[0]
		need := (first.finish() - clk.virtual) * clk.weight
		if need > left+epsilon {
			clk.virtual += left / clk.weight
			return
		}
		left -= need
		clk.virtual = first.finish()
		clk.remove(first)
	}
}

// Wait is how long the model takes to end further work of an account, behind
// its backlog of an urgency and before it, if no account gets other work.
func (clk *Clock[K]) Wait(key K, urgency int, work time.Duration) time.Duration {
	level, weight := clk.virtual, clk.weightOf(key)
	own := clk.accounts[key]
	if own != nil {
		level, weight = max(level, own.levels[levelOf(urgency)]), own.weight
	}
	level += work.Seconds() / weight
	ahead := weight * (level - clk.virtual)
	for _, acc := range clk.byFinish {
		if acc != own {
			ahead += acc.weight * (min(acc.finish(), level) - clk.virtual)
		}
	}
	return clk.timeFor(ahead)
}

// Backlog is the work of an account of an urgency and those before it that the
// model has not served.
func (clk *Clock[K]) Backlog(key K, urgency int) time.Duration {
	acc := clk.accounts[key]
	if acc == nil {
		return 0
	}
	return seconds(max(0, acc.levels[levelOf(urgency)]-clk.virtual) * acc.weight)
}

// Lead is how much more work of an account the resource has begun than the
// model; negative if it has begun less. The leads of all accounts sum up to 0.
func (clk *Clock[K]) Lead(key K) time.Duration {
	lead := -clk.real[key]
	if acc := clk.accounts[key]; acc != nil {
		lead += (acc.finish() - clk.virtual) * acc.weight
	}
	return seconds(lead)
}

// Waiting returns the number of accounts whose work waits.
func (clk *Clock[K]) Waiting() int { return len(clk.real) }

func (clk *Clock[K]) weightOf(key K) float64 {
	if weight, have := clk.weights[key]; have {
		return weight
	}
	return 1
}

// addReal changes the work of an account that waits.
func (clk *Clock[K]) addReal(key K, work float64) {
	if sum := clk.real[key] + work; sum > epsilon {
		clk.real[key] = sum
		return
	}
	delete(clk.real, key)
	if len(clk.real) == 0 {
		// Nothing waits: what the model has left are rounding errors.
		clear(clk.accounts)
		clk.byFinish, clk.virtual, clk.weight = nil, 0, 0
	}
}

// timeFor is the time that the resource takes for work in seconds.
func (clk *Clock[K]) timeFor(work float64) time.Duration {
	if work >= maxWait.Seconds()*clk.capacity {
		return maxWait
	}
	return seconds(max(0, work) / clk.capacity)
}

func (clk *Clock[K]) newAccount(key K) *account[K] {
	acc := &account[K]{key: key, weight: clk.weightOf(key)}
	for idx := range acc.levels {
		acc.levels[idx] = clk.virtual
	}
	clk.accounts[key] = acc
	clk.weight += acc.weight
	heap.Push(&clk.byFinish, acc)
	return acc
}

func (clk *Clock[K]) remove(acc *account[K]) {
	heap.Remove(&clk.byFinish, acc.index)
	delete(clk.accounts, acc.key)
	clk.weight -= acc.weight
}

func levelOf(urgency int) int { return min(max(0, urgency), maxUrgency) }

func seconds(num float64) time.Duration { return time.Duration(num * float64(time.Second)) }

// finishHeap orders accounts by finish.
type finishHeap[K comparable] []*account[K]

// Len implements heap.Interface.
func (fin finishHeap[K]) Len() int { return len(fin) }

// Less implements heap.Interface.
func (fin finishHeap[K]) Less(i, j int) bool { return fin[i].finish() < fin[j].finish() }

// Swap implements heap.Interface.
func (fin finishHeap[K]) Swap(i, j int) {
	fin[i], fin[j] = fin[j], fin[i]
	fin[i].index, fin[j].index = i, j
}

// Push implements heap.Interface.
func (fin *finishHeap[K]) Push(got any) {
	acc := got.(*account[K])
	acc.index = len(*fin)
	*fin = append(*fin, acc)
}

// Pop implements heap.Interface.
func (fin *finishHeap[K]) Pop() any {
	old := *fin
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*fin = old[:len(old)-1]
	return last
}
