package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A pool whose free servers can take nothing must not be gone through at each message.
func TestFullPoolIsLeftAloneForAMoment(t *testing.T) {
	sch, out := newScheduler(both...)
	first := spec("a", 18, 1)
	sch.Submit(start, first)
	now := start
	for range 3 {
		now = now.Add(300 * time.Millisecond)
		for _, cal := range out.take() {
			if cal.Server.ID == "f1" {
				answer(sch, now, cal)
			}
		}
	}
	out.take()
	sch.Submit(now, spec("b", 4, 1))
	require.Empty(t, out.take(), "results of a fill the server")
	pol := sch.pools["first"]
	require.Equal(t, now.Add(fillPause), pol.nextFill)
	sch.Tick(now.Add(fillPause / 2))
	require.Equal(t, now.Add(fillPause), pol.nextFill)
	sch.Tick(now.Add(2 * fillPause))
	require.Equal(t, now.Add(3*fillPause), pol.nextFill)
	sch.Cancel(now.Add(2*fillPause), first.Key)
	got := out.take()
	require.Len(t, got, 1, "what is given up ends the pause")
	require.Equal(t, "b", got[0].Items[0].ID)
}
