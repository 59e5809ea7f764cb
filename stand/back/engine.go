package back

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"lovagestream/io/group"
)

// maxStepLag is the longest delay behind schedule that steps make up for.
// Timers fire up to a millisecond late, a third of a step; without catching up
// the mean speed would be too low.
const maxStepLag = 20 * time.Millisecond

// sequence is one completion in progress.
type sequence struct {
	call     string
	priority int
	// order is the order of arrival; it breaks ties of priority.
	order  uint64
	blocks []uint64
	// promptTokens counts the tokens to process before the first new token:
	// those of the prompt and of the text to resume after.
	promptTokens int
	maxTokens    int

	// The fields below are guarded by engine.mu.

	// prefillLeft is the number of prompt tokens still to compute.
	prefillLeft int
	// nextOffset is the offset of the next token to generate.
	nextOffset int
	started    bool
	done       bool
	work       Work
	// changed has capacity 1 and receives a signal after each change.
	changed chan struct{}
}

func (seq *sequence) signal() {
	select {
	case seq.changed <- struct{}{}:
	default:
	}
}

// queue orders waiting sequences by priority, then by arrival.
type queue []*sequence

var _ heap.Interface = (*queue)(nil)

// Len returns the number of waiting sequences.
func (que queue) Len() int { return len(que) }

// Less orders by priority, then by arrival.
func (que queue) Less(i, j int) bool {
	if que[i].priority != que[j].priority {
		return que[i].priority < que[j].priority
	}
	return que[i].order < que[j].order
}

// Swap swaps two sequences.
func (que queue) Swap(i, j int) { que[i], que[j] = que[j], que[i] }

// Push appends a sequence.
func (que *queue) Push(val any) { *que = append(*que, val.(*sequence)) }

// Pop removes the last sequence.
func (que *queue) Pop() any {
	old := *que
	seq := old[len(old)-1]
	old[len(old)-1] = nil
	*que = old[:len(old)-1]
	return seq
}

// engine simulates continuous batching: one goroutine runs step after step for
// all sequences in the batch, and exits when none is left.
type engine struct {
	mod Model
	swi *switches
	grp *group.Group

	mu      sync.Mutex
	waiting queue
	batch   []*sequence
	byCall  map[string]*sequence
	cache   *cache
	hist    history
	// stepping is true while the goroutine runs; there is at most one.
	stepping bool
	order    uint64
}

func newEngine(mod Model, swi *switches) *engine {
	return &engine{
		mod:    mod,
		swi:    swi,
		grp:    group.New(context.Background()),
		byCall: map[string]*sequence{},
		cache:  newCache(mod.cacheBlocks, mod.eventLossInterval),
	}
}

// submit enqueues a sequence and reports false if the queue is full.
func (eng *engine) submit(seq *sequence) bool {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if len(eng.waiting) >= eng.mod.maxQueue {
		return false
	}
	eng.order++
	seq.order = eng.order
	seq.changed = make(chan struct{}, 1)
	heap.Push(&eng.waiting, seq)
	eng.byCall[seq.call] = seq
	eng.recordLoad(time.Now())
	if !eng.stepping {
		eng.stepping = true
		eng.grp.Go(eng.run)
	}
	return true
}

// run runs steps until the batch and the queue are empty.
func (eng *engine) run(ctx context.Context) error {
	tmr := time.NewTimer(0)
	defer tmr.Stop()
	<-tmr.C
	next := time.Now()
	for {
		if err := eng.swi.waitUnfrozen(ctx); err != nil {
			return nil
		}
		length, more := eng.planStep()
		if !more {
			return nil
		}
		if now := time.Now(); next.Before(now.Add(-maxStepLag)) {
			next = now
		}
		next = next.Add(length)
		if left := time.Until(next); left > 0 {
			tmr.Reset(left)
			<-tmr.C
		}
		eng.finishStep()
	}
}

// planStep fills the batch from the queue and assigns each sequence its part of
// the next step. It returns the step's duration, or false if there is no work.
func (eng *engine) planStep() (time.Duration, bool) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	eng.removeDone()
	for len(eng.batch) < eng.mod.maxBatch && len(eng.waiting) > 0 {
		seq := heap.Pop(&eng.waiting).(*sequence)
		if seq.done {
			continue
		}
		eng.start(seq)
	}
	if len(eng.batch) == 0 {
		eng.stepping = false
		return 0, false
	}
	return eng.divideStep(), true
}

// start adds a sequence to the batch and looks its prompt up in the cache.
func (eng *engine) start(seq *sequence) {
	hit := min(eng.cache.match(seq.blocks)*blockBytes/bytesPerToken, seq.promptTokens)
	seq.started = true
	seq.prefillLeft = seq.promptTokens - hit
	seq.work.cachedTokens = hit
	eng.batch = append(eng.batch, seq)
	eng.recordLoad(time.Now())
	seq.signal()
}

// divideStep divides one step among the batch: up to prefillChunk prompt tokens,
// in batch order, and one token for each sequence past its prefill. A sequence
// is charged for stepBase as in a full batch, so that its cost doesn't depend
// on the number of sequences that run with it.
func (eng *engine) divideStep() time.Duration {
	speed := eng.swi.speed()
	base := eng.mod.stepBase / time.Duration(eng.mod.maxBatch)
	budget := eng.mod.prefillChunk
	total := eng.mod.stepBase
	for _, seq := range eng.batch {
		own := eng.mod.perSequence
		if num := min(seq.prefillLeft, budget); num > 0 {
			budget -= num
			seq.prefillLeft -= num
			seq.work.prefillTokens += num
			own += time.Duration(num) * eng.mod.perPrefill
		}
		total += own
		seq.work.busyTime += time.Duration(float64(base+own) / speed)
	}
	return time.Duration(float64(total) / speed)
}

// finishStep ends a step: it adds one token to each sequence past its prefill.
func (eng *engine) finishStep() {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	endless := eng.swi.get().Endless
	now := time.Now()
	for _, seq := range eng.batch {
		if seq.done || seq.prefillLeft > 0 {
			continue
		}
		if seq.work.generatedTokens == 0 {
			eng.cache.store(now, seq.blocks)
		}
		if seq.nextOffset < seq.maxTokens || endless {
			seq.nextOffset++
			seq.work.generatedTokens++
		}
		if seq.nextOffset >= seq.maxTokens && !endless {
			seq.done = true
		}
		seq.signal()
	}
}

// removeDone removes finished and cancelled sequences from the batch.
func (eng *engine) removeDone() {
	kept := eng.batch[:0]
	for _, seq := range eng.batch {
		if seq.done {
			delete(eng.byCall, seq.call)
			continue
		}
		kept = append(kept, seq)
	}
	if len(kept) == len(eng.batch) {
		return
	}
	clear(eng.batch[len(kept):])
	eng.batch = kept
	eng.recordLoad(time.Now())
}

// progress is a snapshot of a sequence for its stream.
type progress struct {
	nextOffset int
	done       bool
	work       Work
}

func (eng *engine) progress(seq *sequence) progress {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	return progress{nextOffset: seq.nextOffset, done: seq.done, work: seq.work}
}

// remove ends a sequence. A waiting one leaves the queue at once, a running one
// leaves the batch at the end of the step.
func (eng *engine) remove(seq *sequence) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	seq.done = true
	delete(eng.byCall, seq.call)
	seq.signal()
	if !seq.started {
		eng.unqueue(seq)
	}
}

func (eng *engine) unqueue(seq *sequence) {
	for i, got := range eng.waiting {
		if got == seq {
			heap.Remove(&eng.waiting, i)
			eng.recordLoad(time.Now())
			return
		}
	}
}

// cancel cancels a call by its ID and reports whether it was found.
func (eng *engine) cancel(call string) bool {
	eng.mu.Lock()
	seq := eng.byCall[call]
	eng.mu.Unlock()
	if seq == nil {
		return false
	}
	eng.remove(seq)
	return true
}

// reset drops every sequence and the cache.
func (eng *engine) reset() {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	for _, seq := range eng.byCall {
		seq.done = true
		seq.signal()
	}
	clear(eng.byCall)
	eng.waiting = nil
	eng.cache = newCache(eng.mod.cacheBlocks, eng.mod.eventLossInterval)
	eng.recordLoad(time.Now())
}
