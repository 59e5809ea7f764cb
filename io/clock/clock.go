// Package clock provides the time and timers. It is the only package that reads
// the machine's clock: other packages use a Service instead of package time, so
// that tests can control the time and a pause of the process can be detected in
// one place.
package clock

import (
	"context"
	"time"
)

// Service provides the time and timers.
type Service interface {
	// Now returns the current time with a monotonic clock reading.
	Now() time.Time
	// Every calls fun about once per period until the context ends. It blocks
	// until then.
	Every(ctx context.Context, period time.Duration, fun func(now time.Time))
	// StartWatchdog starts a watchdog that calls fun once if it is not kicked for a
	// period.
	StartWatchdog(period time.Duration, fun func()) Watchdog
	// Sleep waits for a duration. It returns the context's error if the context
	// ends first.
	Sleep(ctx context.Context, wait time.Duration) error
}

// System is the machine's clock.
type System struct{}

var _ Service = System{}

// Now returns the machine's current time.
func (System) Now() time.Time { return time.Now() }

// Every calls fun about once per period until the context ends. It blocks until
// then, and drops ticks if fun is slow.
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

// Sleep waits for a duration. It returns the context's error if the context ends
// first.
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

// Watchdog is a timer that fires once if it is not kicked for its period.
type Watchdog interface {
	// Kick restarts the period.
	Kick()
	// Stop stops the watchdog.
	Stop()
}

// StartWatchdog starts a watchdog.
func (System) StartWatchdog(period time.Duration, fun func()) Watchdog {
	return &systemWatchdog{tmr: time.AfterFunc(period, fun), period: period}
}

type systemWatchdog struct {
	tmr    *time.Timer
	period time.Duration
}

var _ Watchdog = (*systemWatchdog)(nil)

// Kick restarts the period.
func (dog *systemWatchdog) Kick() { dog.tmr.Reset(dog.period) }

// Stop stops the watchdog.
func (dog *systemWatchdog) Stop() { dog.tmr.Stop() }
