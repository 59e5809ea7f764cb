package rates

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Rejections of a brittle server must stay below the number that it survives, also with
// calls under way.
func TestBrittleServerIsSparedAfterRejections(t *testing.T) {
	lim := NewLimiter()
	require.True(t, lim.MayReject(start, "s", 100), "not brittle")
	require.True(t, lim.ObserveBrittle(start, "s", 6))
	require.False(t, lim.ObserveBrittle(start, "s", 6))
	now, sent := start, 0
	for ; now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
		if lim.MayReject(now, "s", 0) {
			lim.Rejected(now, "s")
			sent++
		}
	}
	require.Equal(t, 3, sent)
	require.True(t, lim.MayReject(now.Add(time.Second), "s", 5))
	lim.Rejected(now, "s")
	require.False(t, lim.MayReject(now, "s", 2))
}

// An answer from before the statement must not end it, and one without it later must.
func TestBrittleEnds(t *testing.T) {
	lim := NewLimiter()
	require.False(t, lim.ObserveBrittle(start, "s", 0))
	require.True(t, lim.ObserveBrittle(start, "s", 6))
	require.False(t, lim.ObserveBrittle(start.Add(100*time.Millisecond), "s", 0))
	require.True(t, lim.ObserveBrittle(start.Add(brittleEndDelay), "s", 0))
	require.Nil(t, lim.BrittleServers())
	lim.ObserveBrittle(start, "s", 6)
	require.False(t, lim.ExpireBrittle(start.Add(brittleTTL-1)))
	require.True(t, lim.ExpireBrittle(start.Add(brittleTTL)))
}

// Each side of a partition fills its part of the slots only, and the state is bounded.
func TestBrittleSlotsAreSharedAndServersBounded(t *testing.T) {
	lim := NewLimiter()
	lim.SetMembers(start, 2, 8)
	require.Equal(t, 8, lim.BrittleSlots("s", 8))
	lim.ObserveBrittle(start, "s", 6)
	require.Equal(t, 2, lim.BrittleSlots("s", 8))
	for num := range maxServers + 10 {
		lim.ObserveBrittle(start, fmt.Sprint(num), 1)
	}
	require.Len(t, lim.brittle, maxServers)
	lim.Forget(func(string) bool { return true })
	require.Empty(t, lim.brittle)
}
