package rates

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A server that is cold bears coldRate requests a second, half as much again and 5
// more; it crashes above that.
const (
	coldRate = 5.8
	coldMost = 1.5*coldRate + 5
)

// Parts of a fleet that can't see each other must together stay under what a cold
// server bears.
func TestPartsOfAFleetSpareColdServers(t *testing.T) {
	rapid.Check(t, func(rpd *rapid.T) {
		parts := rapid.SliceOfN(rapid.IntRange(1, 60), 1, 8).Draw(rpd, "parts")
		cutAt := time.Duration(rapid.IntRange(0, 2000).Draw(rpd, "cut at")) * time.Millisecond
		all := 0
		for _, num := range parts {
			all += num
		}
		var books []*Book
		for range parts {
			bok := NewBook()
			bok.SetPart(start, all, all)
			bok.SetCold(start, WarmUp{Server: "s", Rate: coldRate, Until: start.Add(4 * time.Second)})
			books = append(books, bok)
		}
		var sent []time.Time
		for past := time.Duration(0); past < 3*time.Second; past += 10 * time.Millisecond {
			now := start.Add(past)
			for idx, bok := range books {
				if past >= cutAt {
					bok.SetPart(now, parts[idx], all)
				}
				// Before the cut one instance sends for all.
				if (past >= cutAt || idx == 0) && bok.May(now, "s") {
					bok.Take(now, "s")
					sent = append(sent, now)
				}
			}
		}
		for idx, at := range sent {
			num := 0
			for _, oth := range sent[idx:] {
				if oth.Sub(at) < time.Second {
					num++
				}
			}
			require.LessOrEqual(rpd, float64(num), coldMost)
		}
	})
}

// All instances have just started and see nobody; each alone must not spend the
// whole rate.
func TestUnsettledInstancesHoldBack(t *testing.T) {
	sent := 0
	for range 80 {
		bok := NewBook()
		bok.SetUnsettled(start, true)
		bok.SetCold(start, WarmUp{Server: "s", Rate: coldRate, Until: start.Add(4 * time.Second)})
		for past := time.Duration(0); past < 800*time.Millisecond; past += 10 * time.Millisecond {
			if now := start.Add(past); bok.May(now, "s") {
				bok.Take(now, "s")
				sent++
			}
		}
	}
	require.Zero(t, sent)
}

// A bound ends with its time; one that began later lasts as long as its own.
func TestColdServersGetWarm(t *testing.T) {
	bok := NewBook()
	require.True(t, bok.SetCold(start, WarmUp{Server: "s", Rate: 1, Until: start.Add(time.Second)}))
	require.False(t, bok.SetCold(start, WarmUp{Server: "s", Rate: 1, Until: start.Add(3 * time.Second)}), "bound already")
	require.False(t, bok.SetCold(start, WarmUp{Server: "t", Until: start.Add(time.Second)}), "bears anything")
	require.True(t, bok.Bounded())
	require.False(t, bok.May(start, "s"))
	require.InDelta(t, time.Second, bok.Until(start, "s"), float64(time.Millisecond))
	own, bounded := bok.Own(start, "s")
	require.True(t, bounded)
	require.InDelta(t, 1, own, 0.001)
	require.Empty(t, bok.SettleColds(start.Add(2*time.Second)))
	require.Equal(t, []string{"s"}, bok.SettleColds(start.Add(3*time.Second)))
	require.True(t, bok.May(start.Add(3*time.Second), "s"))
	require.False(t, bok.Bounded())
}
