package route

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// historySamples is the number of samples kept; sampleInterval is the least
	// time between two samples, so that the history covers at least the product
	// of both.
	historySamples = 64
	sampleInterval = 16 * time.Millisecond
)

// history records the recent number of calls in flight, so that a load report
// about a past moment can be corrected by what has changed since.
type history struct {
	mu sync.Mutex
	// head counts the samples taken; the newest is at head-1, modulo
	// historySamples.
	head atomic.Int64
	// ring holds each sample with its time in milliseconds in the upper bits
	// and the calls in the lower callBits, so that it can be read without the
	// lock.
	ring [historySamples]atomic.Uint64
}

// callBits leaves 44 bits for the time in milliseconds, enough for about 500
// years after 1970.
const callBits = 20

func pack(now time.Time, calls int64) uint64 {
	return uint64(now.UnixMilli())<<callBits | uint64(max(0, calls))&(1<<callBits-1)
}

func unpack(mark uint64) (ms, calls int64) {
	return int64(mark >> callBits), int64(mark & (1<<callBits - 1))
}

// add records the number of calls in flight from now on.
func (his *history) add(now time.Time, calls int64) {
	his.mu.Lock()
	defer his.mu.Unlock()
	head := his.head.Load()
	if head > 0 {
		idx := (head - 1) % historySamples
		ms, _ := unpack(his.ring[idx].Load())
		if now.UnixMilli()-ms < sampleInterval.Milliseconds() {
			his.ring[idx].Store(uint64(ms)<<callBits | uint64(max(0, calls)))
			return
		}
	}
	his.ring[head%historySamples].Store(pack(now, calls))
	his.head.Store(head + 1)
}

// at returns the number of calls in flight at a time, or at the oldest sample.
func (his *history) at(then time.Time) int64 {
	head := his.head.Load()
	want := then.UnixMilli()
	calls := int64(0)
	for i := head - 1; i >= max(0, head-historySamples+1); i-- {
		ms, got := unpack(his.ring[i%historySamples].Load())
		if ms <= want {
			return got
		}
		calls = got
	}
	if head < historySamples {
		return 0
	}
	return calls
}
