// Package clock is the timer service: the one place that reads the machine's
// clock. Parts subscribe to it instead of starting timers of their own, so
// that a test can drive them by hand and a pause of the process shows in one
// place.
package clock

import (
	"context"
	"time"
)

// Service tells the time and wakes subscribers.
type Service interface {
	// Now returns the time, with the monotonic reading.
	Now() time.Time
	// Every calls fun about every period until the context ends.
	Every(ctx context.Context, period time.Duration, fun func(now time.Time))
	// Watch calls fun once if the watchdog is not kicked for a period.
	Watch(period time.Duration, fun func()) Watchdog
	// Sleep waits for a length of time, or less if the context ends first.
	Sleep(ctx context.Context, wait time.Duration) error
}

// System is the machine's clock.
type System struct{}

var _ Service = System{}

// Now returns the machine's time.
func (System) Now() time.Time { return time.Now() }

// Every blocks the calling goroutine. A slow fun skips beats.
func (System) Every(ctx context.Context, period time.Duration, fun func(now time.Time)) {
	tic := time.NewTicker(period)
	defer tic.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tic.C:
			fun(time.Now())
		}
	}
}

// Sleep returns the context's error when that ends first.
func (System) Sleep(ctx context.Context, wait time.Duration) error {
	tmr := time.NewTimer(wait)
	defer tmr.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tmr.C:
		return nil
	}
}

// Watchdog is a watch that fires once when it was not kicked for its period.
type Watchdog interface {
	// Kick says that there was progress.
	Kick()
	// Stop ends the watch.
	Stop()
}

// Watch starts a watchdog.
func (System) Watch(period time.Duration, fun func()) Watchdog {
	return &systemWatchdog{tmr: time.AfterFunc(period, fun), period: period}
}

type systemWatchdog struct {
	tmr    *time.Timer
	period time.Duration
}

var _ Watchdog = (*systemWatchdog)(nil)

// Kick starts the period again.
func (dog *systemWatchdog) Kick() { dog.tmr.Reset(dog.period) }

// Stop ends the watch.
func (dog *systemWatchdog) Stop() { dog.tmr.Stop() }
