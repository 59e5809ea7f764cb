package resume

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/stock"
)

// Starts that ended must be remembered for a while, and never more than the bound.
func TestEndsAreBounded(t *testing.T) {
	var ens Ends
	now := time.Unix(1000, 0)
	one := stock.Entry{ID: "a", StartedAt: 7, Sequence: 5}
	require.Nil(t, ens.Starts())
	require.True(t, ens.Add(now, now, one))
	require.False(t, ens.Add(now, now, one))
	require.Equal(t, map[string]bool{one.Start(): true}, ens.Starts())
	for num := range 2 * maxEnds {
		ens.Add(now, now, stock.Entry{ID: fmt.Sprint(num)})
	}
	require.Len(t, ens.Starts(), maxEnds)
	require.False(t, ens.Observe(now.Add(endTime), nil))
	require.True(t, ens.Observe(now.Add(endTime+time.Second), nil))
	require.Nil(t, ens.Starts())
}

// An instance without a path takes a sound server for ended. The server goes on writing
// entries, which must clear it.
func TestServerThatWritesEntriesHasNotEnded(t *testing.T) {
	var ens Ends
	now := time.Unix(1000, 0)
	ent := stock.Entry{ID: "a", StartedAt: 7, Sequence: 5}
	ens.Add(now, now, ent)
	ent.Sequence++
	require.False(t, ens.Observe(now, []stock.Entry{ent}), "it may have written this one before")
	again := stock.Entry{ID: "a", StartedAt: 9, Sequence: 20}
	require.False(t, ens.Observe(now, []stock.Entry{again}), "another start")
	ent.Sequence++
	require.True(t, ens.Observe(now, []stock.Entry{ent}))
	require.Nil(t, ens.Starts())
}

// An instance without a path says that a server ended, and another one reaches it. The end
// must be taken back, whichever report comes first; a later end must count.
func TestServerThatIsReachedHasNotEnded(t *testing.T) {
	var ens Ends
	now := time.Unix(1000, 0)
	ent := stock.Entry{ID: "a", StartedAt: 7}
	require.True(t, ens.Add(now, now, ent))
	require.True(t, ens.Running(now.Add(20*time.Millisecond), ent.Start()))
	require.Nil(t, ens.Starts())
	require.False(t, ens.Add(now.Add(time.Second), now.Add(10*time.Millisecond), ent), "the same end, reported late")
	require.False(t, ens.Running(now.Add(30*time.Millisecond), ent.Start()))
	require.True(t, ens.Add(now.Add(time.Second), now.Add(time.Second), ent), "a later end")
	for num := range 2 * maxEnds {
		ens.Running(now, fmt.Sprint(num))
	}
	require.Len(t, ens.running, maxEnds)
	ens.Observe(now.Add(endTime+time.Second), nil)
	require.Empty(t, ens.running)
}
