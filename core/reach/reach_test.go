package reach

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// TestScripts runs the scripts in testdata. A line is "at MS OPERATION SERVICE/ADDRESS",
// where a script's failure is a line whose result differs from that after "->".
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			fil, err := os.Open(name)
			require.NoError(t, err)
			defer func() { _ = fil.Close() }()
			pas := NewPaths()
			scn := bufio.NewScanner(fil)
			for num := 1; scn.Scan(); num++ {
				line, want, _ := strings.Cut(scn.Text(), " -> ")
				words := strings.Fields(line)
				if len(words) == 0 || words[0] == "#" {
					continue
				}
				wait, err := strconv.Atoi(words[0])
				require.NoError(t, err)
				var ser Server
				if len(words) > 2 {
					ser.Service, ser.Address, _ = strings.Cut(words[2], "/")
				}
				got := run(pas, start.Add(time.Duration(wait)*time.Millisecond), words[1], ser)
				require.Equal(t, strings.TrimSpace(want), got, "%s:%d: %s", name, num, scn.Text())
			}
		})
	}
}

// run runs one operation and returns its result; "" if it has none.
func run(pas *Paths, now time.Time, operation string, ser Server) string {
	switch operation {
	case "check":
		return fmt.Sprint(pas.Check(now, ser))
	case "heard":
		pas.Heard(now, ser)
	case "connected":
		if pas.Connected(now, ser) {
			return "back"
		}
	case "started":
		pas.Started(ser)
	case "failed":
		if pas.ConnectFailed(now, ser) {
			return "lost"
		}
	case "unreachable":
		if pas.Unreachable(now, ser) {
			return "back"
		}
	case "relayed":
		pas.Relayed(now, ser)
	case "suspects":
		return fmt.Sprint(pas.Suspects(now, ser))
	case "all-lost":
		return fmt.Sprint(pas.AllLost(now))
	case "trials":
		return fmt.Sprint(pas.Trials(now))
	case "lost":
		return strings.Join(pas.LostServices(), " ")
	case "service-unreachable":
		// The address is the time since which no server may have been heard.
		since, err := strconv.Atoi(ser.Address)
		if err != nil {
			return err.Error()
		}
		return fmt.Sprint(pas.ServiceUnreachable(ser.Service, start.Add(time.Duration(since)*time.Millisecond)))
	case "by-others":
		return fmt.Sprint(pas.ReachedByOthers(now, ser))
	case "way":
		return pas.Way(now, ser).String()
	default:
		panic("unknown operation " + operation)
	}
	return ""
}

// The state must stay bounded, however many servers come and go.
func TestPathsAreBounded(t *testing.T) {
	pas := NewPaths()
	for num := range 2 * maxPaths {
		pas.ConnectFailed(start, Server{Service: fmt.Sprint(num), Address: "a"})
	}
	require.LessOrEqual(t, len(pas.paths), maxPaths)
	require.LessOrEqual(t, len(pas.groups), maxPaths)
	pas.Sweep(start.Add(2 * pathTTL))
	require.Empty(t, pas.paths)
	require.Empty(t, pas.groups)
	rls := NewRelays()
	for num := range 2 * maxRests {
		rls.Rest(start, fmt.Sprint(num), "s")
	}
	require.Len(t, rls.rests, maxRests)
}

// Requests of a cut zone must not all go to the one relay that is nearest.
func TestBusyRelaysAreSpared(t *testing.T) {
	list := []Candidate{{Address: "near", Zone: "z", Linked: true}, {Address: "far", Zone: "y", Linked: true}, {Address: "unknown", Zone: "x"}}
	rls := NewRelays()
	counts := map[string]int{}
	for range 30 {
		can, ok := rls.Choose(start, list, "s", "z", "z", nil, 0.4)
		require.True(t, ok)
		rls.Started(can.Address)
		counts[can.Address]++
	}
	require.Greater(t, counts["near"], counts["far"])
	require.Greater(t, counts["far"], counts["unknown"])
	require.Positive(t, counts["unknown"])
	for adr, num := range counts {
		for range num {
			rls.Ended(adr)
		}
	}
	require.Empty(t, rls.inFlight)
}

// A relay that doesn't reach a service must be asked about others all the same, and
// again after a while.
func TestRelayRestsForOneService(t *testing.T) {
	list := []Candidate{{Address: "a", Zone: "z", Linked: true}}
	rls := NewRelays()
	rls.Rest(start, "a", "s")
	_, ok := rls.Choose(start, list, "s", "z", "z", nil, 0)
	require.False(t, ok)
	_, ok = rls.Choose(start, list, "t", "z", "z", nil, 0)
	require.True(t, ok)
	_, ok = rls.Choose(start.Add(restTime), list, "s", "z", "z", nil, 0)
	require.True(t, ok)
	rls.Rest(start, "a", "")
	_, ok = rls.Choose(start, list, "t", "z", "z", nil, 0)
	require.False(t, ok)
}
