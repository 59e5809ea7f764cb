package accept

import (
	"context"
	"runtime"
	"sync"
	"time"

	"lovagestream/core/intake"
	"lovagestream/io/clock"
)

// Throttle is an Intake that limits connections while the process is late, that is, short
// of processor time. It is safe for use by many goroutines.
type Throttle struct {
	clk clock.Service

	mu      sync.Mutex
	limiter intake.Limiter
	target  time.Duration
	// lateness is the last sample.
	lateness time.Duration
	// sampling is when the sample in progress began; zero if there is none.
	sampling time.Time
	// sampled is when the last sample was due to begin.
	sampled time.Time
	// tickLate is the lateness of the control thread's last tick, tickedAt when it was
	// applied; zero if none was.
	tickLate time.Duration
	tickedAt time.Time
}

// NewThrottle returns a throttle that limits nothing yet.
func NewThrottle(clk clock.Service) *Throttle {
	return &Throttle{clk: clk, target: intake.Target(0), sampled: clk.Now()}
}

// Wait implements Intake. A sample that takes longer than it may is lateness before
// its end.
func (thr *Throttle) Wait(now time.Time) time.Duration {
	thr.mu.Lock()
	defer thr.mu.Unlock()
	if !thr.sampling.IsZero() && now.Sub(thr.sampling) > thr.target {
		thr.limiter.SetLate(now)
	}
	return thr.limiter.Wait(now)
}

// Accepted implements Intake.
func (thr *Throttle) Accepted(now time.Time) {
	thr.mu.Lock()
	defer thr.mu.Unlock()
	thr.limiter.Accepted(now)
}

// SetShortestTarget sets the shortest time within which callers expect an answer; 0 if
// they expect none. The lateness from which connections are limited follows from it.
func (thr *Throttle) SetShortestTarget(shortest time.Duration) {
	thr.mu.Lock()
	defer thr.mu.Unlock()
	thr.target = intake.Target(shortest)
}

// ObserveTick notes a tick of the control thread and how late it was applied.
func (thr *Throttle) ObserveTick(now time.Time, late time.Duration) {
	thr.mu.Lock()
	defer thr.mu.Unlock()
	thr.tickedAt, thr.tickLate = now, late
}

// Overloaded reports whether other instances should take the duties of this one.
func (thr *Throttle) Overloaded() bool {
	thr.mu.Lock()
	defer thr.mu.Unlock()
	return thr.limiter.Overloaded()
}

// begin begins a sample.
func (thr *Throttle) begin(now time.Time) {
	thr.mu.Lock()
	defer thr.mu.Unlock()
	thr.sampling = now
}

// end ends a sample, and reports the lateness and whether the instance is late.
func (thr *Throttle) end(now time.Time) (lateness time.Duration, late bool) {
	thr.mu.Lock()
	defer thr.mu.Unlock()
	thr.lateness = max(now.Sub(thr.sampled)-samplePeriod, thr.tickLate, 0)
	if !thr.tickedAt.IsZero() {
		thr.lateness = max(thr.lateness, now.Sub(thr.tickedAt)-samplePeriod)
	}
	thr.sampled, thr.sampling = now, time.Time{}
	thr.limiter.Observe(now, thr.lateness, thr.target)
	return thr.lateness, thr.limiter.Late()
}

// State returns the last sample of the lateness, and the limit of connections a second; 0
// is none.
func (thr *Throttle) State() (lateness time.Duration, rate float64) {
	thr.mu.Lock()
	defer thr.mu.Unlock()
	return thr.lateness, thr.limiter.Rate()
}

// Limited reports whether connections are limited.
func (thr *Throttle) Limited() bool {
	thr.mu.Lock()
	defer thr.mu.Unlock()
	return thr.limiter.Limited()
}

// samplePeriod is the time between two samples of the lateness.
const samplePeriod = 20 * time.Millisecond

// Watch samples the lateness until the context ends: the time until a goroutine that is
// ready runs after the others that are. It calls onChange when the process becomes late,
// or in time again.
func (thr *Throttle) Watch(ctx context.Context, onChange func(lateness time.Duration, late bool)) {
	was := false
	thr.clk.Every(ctx, samplePeriod, func(time.Time) {
		thr.begin(thr.clk.Now())
		runtime.Gosched()
		if lateness, late := thr.end(thr.clk.Now()); late != was {
			was = late
			onChange(lateness, late)
		}
	})
}
