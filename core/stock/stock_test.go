package stock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func word(id string, revision Revision, sequence int64, leaving bool) Known {
	return Known{Revision: revision, Entry: Entry{ID: id, Service: "s", Address: "a", Sequence: sequence, Leaving: leaving}}
}

// A report from before a server left, written late, must not bring it back.
func TestLateReportBringsNobodyBack(t *testing.T) {
	bok := NewBook()
	require.Equal(t, Fresh, bok.Put(start, word("i", 5, 3, false)))
	require.Equal(t, Fresh, bok.Put(start, word("i", 6, 4, true)))
	require.Equal(t, Stale, bok.Put(start, word("i", 7, 2, false)))
	require.True(t, bok.Live()[0].Leaving)
	require.Equal(t, Removed, bok.Put(start, Known{Revision: 8, Gone: true, Entry: Entry{ID: "i"}}))
	require.Equal(t, Stale, bok.Put(start, word("i", 7, 9, false)), "older than the removal")
	require.Equal(t, Stale, bok.Put(start, word("i", 9, 3, false)), "written late")
	require.Empty(t, bok.Live())
	require.Equal(t, Fresh, bok.Put(start, word("i", 10, 10, false)))
}

// A server starts again under its ID: its sequence begins again, and it knows
// nothing of before.
func TestRebornServerIsNew(t *testing.T) {
	bok := NewBook()
	one, two := word("i", 5, 30, false), word("i", 6, 1, false)
	one.Entry.Born, two.Entry.Born = 100, 200
	require.Equal(t, Fresh, bok.Put(start, one))
	require.Equal(t, Reborn, bok.Put(start, two))
	one.Revision = 7
	require.Equal(t, Stale, bok.Put(start, one), "of the start before")
}

// Entries that lapsed in an outage must not count as gone until they had time to come back.
func TestHeldRemovals(t *testing.T) {
	bok := NewBook()
	bok.Put(start, word("i", 5, 1, false))
	bok.Put(start, word("j", 5, 1, false))
	require.Equal(t, []string{"i", "j"}, bok.Missing(map[string]bool{}, 8))
	bok.Hold("i", 8, start.Add(2*time.Second))
	bok.Hold("j", 8, start.Add(2*time.Second))
	require.Empty(t, bok.Settle(start.Add(time.Second)))
	require.Len(t, bok.Live(), 2)
	bok.Put(start, word("i", 9, 2, false))
	gone := bok.Settle(start.Add(3 * time.Second))
	require.Len(t, gone, 1)
	require.Equal(t, "j", gone[0].Entry.ID)
	require.Len(t, bok.Live(), 1)
}

// Graves are forgotten in time, and the book is bounded.
func TestBounds(t *testing.T) {
	bok := NewBook()
	bok.Put(start, word("i", 5, 1, false))
	bok.Put(start, Known{Revision: 6, Gone: true, Entry: Entry{ID: "i"}})
	require.Equal(t, 1, bok.Len())
	bok.Settle(start.Add(graveLife + time.Second))
	require.Zero(t, bok.Len())
}
