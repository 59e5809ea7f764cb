package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// worker serves connections one after the other, each for a time.
type worker struct {
	lim     Limiter
	work    time.Duration
	busyTo  time.Time
	now     time.Time
	arrived float64
	refused int
	served  int
	// longest is the longest wait of an accepted connection.
	longest time.Duration
}

// run lets connections arrive at a rate a second, in steps of 5 ms.
func (wrk *worker) run(rate float64, span time.Duration) {
	const step = 5 * time.Millisecond
	wrk.refused, wrk.served, wrk.longest = 0, 0, 0
	for end := wrk.now.Add(span); wrk.now.Before(end); wrk.now = wrk.now.Add(step) {
		late := max(0, wrk.busyTo.Sub(wrk.now))
		wrk.lim.Observe(wrk.now, late, 100*time.Millisecond)
		for wrk.arrived += rate * step.Seconds(); wrk.arrived >= 1; wrk.arrived-- {
			if wrk.lim.Wait(wrk.now) > 0 {
				wrk.refused++
				continue
			}
			wrk.lim.Accepted(wrk.now)
			wrk.served++
			if wrk.busyTo.Before(wrk.now) {
				wrk.busyTo = wrk.now
			}
			wrk.busyTo = wrk.busyTo.Add(wrk.work)
			wrk.longest = max(wrk.longest, wrk.busyTo.Sub(wrk.now))
		}
	}
}

// Connections beyond the capacity must not wait inside, and none may be refused below it.
func TestConnectionsBeyondCapacityAreRefused(t *testing.T) {
	wrk := &worker{now: start, work: 40 * time.Millisecond}
	wrk.run(20, 10*time.Second)
	require.Zero(t, wrk.refused)
	require.False(t, wrk.lim.Limited())
	wrk.run(250, 2*time.Second)
	wrk.run(250, 10*time.Second)
	require.Less(t, wrk.longest, 500*time.Millisecond)
	require.Greater(t, wrk.served, 10*25*6/10, "of 25 a second")
	wrk.run(15, 5*time.Second)
	wrk.run(15, 10*time.Second)
	require.Zero(t, wrk.refused)
	require.False(t, wrk.lim.Limited(), "the limit ends once nobody is refused")
}

// An instance whose capacity falls must find the new one.
func TestCapacityThatFallsIsFound(t *testing.T) {
	wrk := &worker{now: start, work: 10 * time.Millisecond}
	wrk.run(80, 5*time.Second)
	require.Zero(t, wrk.refused)
	wrk.work = 50 * time.Millisecond
	wrk.run(80, 5*time.Second)
	wrk.run(80, 10*time.Second)
	require.Less(t, wrk.longest, 700*time.Millisecond)
	require.Greater(t, wrk.served, 10*20/2, "of 20 a second")
}

// A single delay, such as a pause of the process, must refuse nobody.
func TestSingleDelayRefusesNobody(t *testing.T) {
	var lim Limiter
	now := start
	for num := range 200 {
		late := time.Duration(0)
		if num == 100 {
			late = 3 * time.Second
		}
		now = now.Add(20*time.Millisecond + late)
		lim.Observe(now, late, 100*time.Millisecond)
		require.Zero(t, lim.Wait(now))
		lim.Accepted(now)
	}
}

// Even while late, an instance must accept a connection now and then.
func TestLateInstanceAcceptsSome(t *testing.T) {
	var lim Limiter
	accepted := 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(20 * time.Millisecond) {
		lim.Observe(now, time.Second, 100*time.Millisecond)
		if lim.Wait(now) == 0 {
			lim.Accepted(now)
			accepted++
		}
	}
	require.InDelta(t, 15, accepted, 7)
	require.True(t, lim.Late())
}

// The lateness that is in time must follow from what callers expect.
func TestTargetFollowsCallers(t *testing.T) {
	require.Equal(t, 50*time.Millisecond, Target(150*time.Millisecond))
	require.Equal(t, 40*time.Millisecond, Target(60*time.Millisecond))
	require.Equal(t, 100*time.Millisecond, Target(2*time.Second))
	require.Equal(t, 100*time.Millisecond, Target(0))
}
