package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/place"
)

// placedJob returns a scheduler with a job placed at an engine.
func placedJob(t *testing.T) (*Scheduler, *effects, string) {
	t.Helper()
	sch, out := newScheduler(testServers...)
	sch.Submit(start, spec("r1", 1, 1))
	answer(sch, start, out.takeCalls()[0])
	answer(sch, start, out.takeCalls()[0])
	dec := out.decisions["r1"]
	require.Equal(t, Placed, dec.Outcome)
	require.Positive(t, dec.Estimate)
	return sch, out, dec.Server.ID
}

// A request that a slow engine has not begun must not wait there while another
// engine is idle.
func TestUnbegunRequestMoves(t *testing.T) {
	sch, out, first := placedJob(t)
	now := start.Add(place.MoveAfter(out.decisions["r1"].Estimate))
	require.True(t, sch.Retry(now, Spec{Key: Key{"me", "r1"}}, place.Slow, false))
	dec := out.decisions["r1"]
	require.Equal(t, Placed, dec.Outcome)
	require.NotEqual(t, first, dec.Server.ID)
	require.Len(t, dec.Inputs, 1)
	require.Empty(t, out.freed["s1"], "the second engine fetches the results")
	sch.Began(now, Key{"me", "r1"})
	require.Len(t, out.freed["s1"], 1)
	sch.Ended(now, Key{"me", "r1"}, place.Done)
	require.Zero(t, sch.Jobs())
}

// A request that can't be served sooner elsewhere must stay where it is: its
// send goes on, so dropping the job would lose its results and its engine.
func TestRequestStays(t *testing.T) {
	key := Key{"me", "r1"}
	for name, prepare := range map[string]func(*Scheduler){
		"begun": func(sch *Scheduler) { sch.Began(start, key) },
		"no other engine": func(sch *Scheduler) {
			sch.Configure(start, services(), testServers[:3])
			sch.jobs[key].spec.Avoid = []string{"m1"}
		},
	} {
		sch, out, first := placedJob(t)
		prepare(sch)
		run := sch.jobs[key].run
		require.True(t, sch.Retry(start.Add(time.Second), Spec{Key: key}, place.Slow, false), name)
		require.Equal(t, Refused, out.decisions["r1"].Outcome, name)
		require.Equal(t, reasonStays, out.decisions["r1"].Reason, name)
		require.Same(t, run, sch.jobs[key].run, name)
		require.Equal(t, first, run.Engine(), name)
	}
	sch, out := newScheduler(testServers...)
	require.True(t, sch.Retry(start, Spec{Key: Key{"me", "unknown"}}, place.Slow, false))
	require.Equal(t, reasonStays, out.decisions["unknown"].Reason)
}
