package edge

import (
	"context"
	"time"
)

// evTick is the tick of the control thread.
type evTick struct {
	// due is when it was to be applied, boot the time since boot then.
	due  time.Time
	boot time.Duration
}

// tick returns the next tick event.
func (ctl *Control) tick() evTick { return evTick{due: ctl.clk.Now(), boot: bootTime()} }

// Tick posts tick events until the context ends.
func (ctl *Control) Tick(ctx context.Context) error {
	ctl.clk.Every(ctx, tickPeriod, func(time.Time) {
		evt := ctl.tick()
		ctl.watchPause(evt)
		select {
		case ctl.events <- evt:
		default:
		}
	})
	return nil
}

// evPause says that the process was paused.
type evPause struct{ gap time.Duration }

func (evt evPause) apply(ctl *Control, now time.Time) { ctl.resume(now, evt.gap) }

// watchPause posts a pause of the process. It compares the times at which ticks were due
// and not those at which they are applied: a busy control thread is late, but not paused.
func (ctl *Control) watchPause(evt evTick) {
	gap := max(evt.boot-ctl.due.boot, evt.due.Sub(ctl.due.due))
	ctl.due = evt
	if gap > pauseThreshold {
		ctl.post(evPause{gap: gap})
	}
}

// minExcuse is the least time between two ticks that excuses the silence of members:
// shorter ones are covered by the slack of their heartbeats.
const minExcuse = 50 * time.Millisecond

// observeLateness takes the time by which a tick is late. What members sent meanwhile was
// not read either.
func (ctl *Control) observeLateness(now time.Time, evt evTick) {
	gap := now.Sub(ctl.ticked) - tickPeriod
	late := max(now.Sub(evt.due), gap, 0)
	ctl.ticked = now
	if gap > minExcuse {
		ctl.mem.ExcuseSilence(gap)
	}
	ctl.throttle.ObserveTick(now, late)
}
