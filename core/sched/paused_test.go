package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/pause"
	"lovagestream/core/place"
	"lovagestream/core/stock"
)

// A stage server that has paused calls must get none until the pause is over;
// the other servers get the pieces.
func TestPausedServerGetsNoCalls(t *testing.T) {
	sch, out := newScheduler(append(testServers, entry("first", "f2", "z"))...)
	sch.PauseCalls(start, pause.Server{ID: "f1", Until: start.Add(time.Second)})
	sch.Submit(start, spec("r1", 2, 1))
	sch.Submit(start, spec("r2", 2, 1))
	for _, cal := range out.takeCalls() {
		require.Equal(t, "f2", cal.Server.ID)
	}
	sch.PauseCalls(start, pause.Server{ID: "f2", Until: start.Add(500 * time.Millisecond)})
	sch.Submit(start, spec("r3", 2, 1))
	sch.Tick(start.Add(400 * time.Millisecond))
	require.Empty(t, out.takeCalls())
	sch.Tick(start.Add(600 * time.Millisecond))
	for _, cal := range out.takeCalls() {
		require.Equal(t, "f2", cal.Server.ID)
	}
	sch.Tick(start.Add(1100 * time.Millisecond))
	require.Equal(t, "f1", out.takeCalls()[0].Server.ID)
}

// Requests of an instance must not be placed at an engine that has paused them;
// those of other instances may be.
func TestPauseAppliesToOneInstance(t *testing.T) {
	sch, out := newScheduler(entry("model", "m1", "z"))
	sch.Pause(start, "me", []pause.Server{{ID: "m1", Until: start.Add(time.Second)}})
	mine, other := spec("mine"), spec("other")
	mine.Stages, other.Stages = nil, nil
	other.Key.Owner = "other"
	sch.Submit(start, mine)
	sch.Submit(start, other)
	require.Equal(t, Placed, out.decisions["other"].Outcome)
	require.Empty(t, out.decisions["mine"].Key.ID, "it waits, since there is time left")
	sch.Tick(start.Add(1100 * time.Millisecond))
	require.Equal(t, Placed, out.decisions["mine"].Outcome)
}

// If all engines of a service pause an instance for longer than its callers
// wait, the callers must be refused at once, with the time until the engines
// take requests again as the retry time.
func TestPausedServiceRefusesAtOnce(t *testing.T) {
	sch, out := newScheduler(testServers...)
	wait := 20 * time.Second
	sch.Pause(start, "me", []pause.Server{{ID: "m1", Until: start.Add(wait)}, {ID: "m2", Until: start.Add(2 * wait)}})
	sch.Submit(start, spec("r1", 1, 1))
	require.Equal(t, reasonPaused, out.decisions["r1"].Reason)
	require.Equal(t, wait, out.decisions["r1"].RetryAfter)
	require.Empty(t, out.takeCalls(), "wasted stage work")

	sch, out = newScheduler(testServers...)
	sch.Submit(start, spec("r2", 1, 1))
	require.Len(t, out.takeCalls(), 1)
	sch.Pause(start, "me", []pause.Server{{ID: "m1", Until: start.Add(wait)}, {ID: "m2", Until: start.Add(wait)}})
	now := start.Add(shedPeriod)
	sch.Tick(now)
	require.Equal(t, reasonPaused, out.decisions["r2"].Reason, "refused after its admission")
	require.Equal(t, wait-shedPeriod, out.decisions["r2"].RetryAfter)
}

// A request waited for a pause that its server prolongs when it comes. It must be refused
// at once, while its caller has time for a retry.
func TestRetryIntoALongPauseIsRefusedAtOnce(t *testing.T) {
	sch, out := newScheduler(entry("model", "m1", "z"), entry("model", "m2", "z"))
	spc := spec("r1")
	spc.Stages = nil
	sch.Submit(start, spc)
	require.Equal(t, Placed, out.decisions["r1"].Outcome)
	delete(out.decisions, "r1")
	wait := 20 * time.Second
	sch.Pause(start, "me", []pause.Server{{ID: "m1", Until: start.Add(wait)}, {ID: "m2", Until: start.Add(wait)}})
	sch.Retry(start, Spec{Key: spc.Key}, place.Full, false)
	require.Equal(t, reasonPaused, out.decisions["r1"].Reason)
	require.Equal(t, wait, out.decisions["r1"].RetryAfter)
}

// A pool whose servers have all paused calls must not admit jobs that can't
// wait until the pauses end.
func TestPausedPoolRefusesAtOnce(t *testing.T) {
	sch, out := newScheduler([]stock.Entry{entry("first", "f1", "z"), entry("second", "s1", "z"), entry("model", "m1", "z")}...)
	sch.PauseCalls(start, pause.Server{ID: "f1", Until: start.Add(20 * time.Second)})
	sch.Submit(start, spec("r1", 1, 1))
	require.Equal(t, Refused, out.decisions["r1"].Outcome)
	require.Positive(t, out.decisions["r1"].RetryAfter)
}

// A request that every engine of a service has refused can't be placed any
// more; its caller must be refused before its deadline.
func TestRequestRefusedEverywhereIsRefusedAtOnce(t *testing.T) {
	sch, out := newScheduler(entry("model", "m1", "z"), entry("model", "m2", "z"))
	one := spec("r1")
	one.Stages = nil
	sch.Submit(start, one)
	for range 2 {
		require.Equal(t, Placed, out.decisions["r1"].Outcome)
		delete(out.decisions, "r1")
		require.True(t, sch.Retry(start, Spec{Key: one.Key}, place.Full, false))
	}
	sch.Tick(start.Add(shedPeriod))
	require.Equal(t, Refused, out.decisions["r1"].Outcome)
	require.Equal(t, reasonNoOther, out.decisions["r1"].Reason)
	require.Positive(t, out.decisions["r1"].RetryAfter)
}
