package stock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A word on an evacuation that was told late must not undo what came after it.
func TestEvacuationsAreOrdered(t *testing.T) {
	bok := NewBook()
	require.Equal(t, Fresh, bok.Put(start, Evacuation("z", 5, false)))
	require.Equal(t, map[string]bool{"z": true}, bok.Evacuated())
	require.Equal(t, Removed, bok.Put(start, Evacuation("z", 9, true)))
	require.Equal(t, Stale, bok.Put(start, Evacuation("z", 7, false)))
	require.Empty(t, bok.Evacuated())
	bok.Settle(start.Add(2 * graveLife))
	require.Equal(t, Stale, bok.Put(start, Evacuation("z", 7, false)), "forgotten")
}

// Evacuations must pass for servers neither in lists nor in counts.
func TestEvacuationsAreNoServers(t *testing.T) {
	bok := NewBook()
	bok.Put(start, Evacuation("z", 5, false))
	require.Zero(t, bok.Len())
	require.Empty(t, bok.Live())
	require.Empty(t, bok.Missing(map[string]bool{}, 9))
	require.NotZero(t, bok.Digest(), "peers compare them")
	require.Equal(t, []string{"z"}, bok.MissingZones(map[string]bool{}, 9))
	require.Empty(t, bok.MissingZones(map[string]bool{"z": true}, 9))
	require.Empty(t, bok.MissingZones(map[string]bool{}, 5), "read before it")
}

// Words of any order end the same, so that instances agree.
func TestEvacuationsConverge(t *testing.T) {
	one, two := NewBook(), NewBook()
	words := []Known{Evacuation("z", 5, false), Evacuation("y", 6, false), Evacuation("z", 8, true), Evacuation("z", 9, false), Evacuation("y", 10, true)}
	for idx := range words {
		one.Put(start, words[idx])
		two.Put(start.Add(time.Second), words[len(words)-1-idx])
	}
	require.Equal(t, one.Evacuated(), two.Evacuated())
	require.Equal(t, one.Digest(), two.Digest())
}

// A store gone wrong must not fill the book with zones.
func TestEvacuationsAreBounded(t *testing.T) {
	bok := NewBook()
	for num := range maxZones {
		bok.Put(start, Evacuation(string(rune('a'+num)), Revision(num+1), false))
	}
	require.Equal(t, Overfull, bok.Put(start, Evacuation("one-more", 999, false)))
}
