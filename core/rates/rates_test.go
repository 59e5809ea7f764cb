package rates

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// window is the span over which a server counts its requests. In it, a server
// tolerates 1.5 times its rate (burstFactor) plus 5 requests (burstExtra).
const (
	window      = 4 * time.Second
	burstFactor = 1.5
	burstExtra  = 5
	// minUsed is the fraction of a rate that must be used while requests wait.
	minUsed = 0.85
)

// send takes all tokens that a limiter allows over a span, every 5 ms, and
// returns when it took each.
func send(lim *Limiter, server string, from time.Time, length time.Duration) []time.Time {
	var out []time.Time
	for at := from; at.Before(from.Add(length)); at = at.Add(5 * time.Millisecond) {
		for lim.Allowed(at, server) {
			lim.Take(at, server)
			out = append(out, at)
		}
	}
	return out
}

// maxInWindow returns the largest number of sends in any window.
func maxInWindow(sent []time.Time) int {
	top := 0
	for idx, at := range sent {
		num := 0
		for _, oth := range sent[idx:] {
			if oth.Sub(at) < window {
				num++
			}
		}
		top = max(top, num)
	}
	return top
}

// An overloaded server reports a rate. It crashes if it gets much more, and
// callers are refused needlessly if it gets much less.
func TestRateIsKeptAndUsed(t *testing.T) {
	for _, rate := range []float64{0, 0.01, 0.3, 1, 7, 20, 350} {
		lim := NewLimiter()
		require.Equal(t, Began, lim.Observe(start, Report{Server: "s", Rate: rate}))
		sent := send(lim, "s", start, 20*time.Second)
		require.LessOrEqual(t, float64(maxInWindow(sent)), burstFactor*rate*window.Seconds()+burstExtra, "rate %v", rate)
		require.GreaterOrEqual(t, float64(len(sent)), minUsed*rate*20, "rate %v", rate)
		require.GreaterOrEqual(t, len(sent), 8, "a probe that shows whether the limit still holds, rate %v", rate)
	}
}

// A zone is cut off and both sides make calls. Each side uses its part of the
// rate, and together they stay within what the server tolerates.
func TestSidesOfAPartitionShareTheRate(t *testing.T) {
	var sent []time.Time
	for _, live := range []int{2, 6} {
		lim := NewLimiter()
		lim.SetMembers(start, live, 8)
		lim.Observe(start, Report{Server: "s", Rate: 20})
		sent = append(sent, send(lim, "s", start, 8*time.Second)...)
	}
	num := 0
	for _, at := range sent {
		if at.Sub(start) < window {
			num++
		}
	}
	require.LessOrEqual(t, float64(num), burstFactor*20*window.Seconds()+burstExtra)
	require.GreaterOrEqual(t, float64(len(sent)), minUsed*20*8)
}

// A server's rate falls to a tenth under load. Tokens saved up under the old
// rate must not be spent under the new one.
func TestLowerRateAppliesAtOnce(t *testing.T) {
	lim := NewLimiter()
	lim.Observe(start, Report{Server: "s", Rate: 100})
	later := start.Add(time.Second)
	require.Equal(t, Changed, lim.Observe(later, Report{Server: "s", Rate: 10}))
	require.LessOrEqual(t, float64(maxInWindow(send(lim, "s", later, 8*time.Second))), burstFactor*10*window.Seconds()+burstExtra)
}

// Answers overtake each other: one begun before the limit arrives after one
// that names it. Taking it for the limit's end would overload the server.
func TestLateAnswerEndsNothing(t *testing.T) {
	lim := NewLimiter()
	lim.Observe(start, Report{Server: "s", Rate: 2})
	require.Equal(t, Unchanged, lim.Observe(start.Add(100*time.Millisecond), Report{Server: "s", Ended: true}))
	require.Equal(t, Unchanged, lim.Observe(start.Add(200*time.Millisecond), Report{Server: "s", Rate: 50}))
	got, have := lim.Limit("s")
	require.True(t, have)
	require.InDelta(t, 2, got.Rate, 0)
	require.Empty(t, lim.ApplyPending(start.Add(400*time.Millisecond)))
	require.Len(t, lim.ApplyPending(start.Add(600*time.Millisecond)), 1)
	got, _ = lim.Limit("s")
	require.InDelta(t, 50, got.Rate, 0)
	require.Equal(t, Ended, lim.Observe(start.Add(1600*time.Millisecond), Report{Server: "s", Ended: true}))
	require.True(t, lim.Allowed(start.Add(1600*time.Millisecond), "s"))
	require.Equal(t, Unchanged, lim.Observe(start.Add(1700*time.Millisecond), Report{Server: "s", Ended: true}))
}

// A report of the limit's end that arrives within raiseDelay of the last limit
// must not be lost.
func TestEndReportedEarlyTakesEffect(t *testing.T) {
	lim := NewLimiter()
	lim.Observe(start, Report{Server: "s", Rate: 2})
	lim.Observe(start.Add(time.Second), Report{Server: "s", Rate: 2})
	require.Equal(t, Unchanged, lim.Observe(start.Add(1200*time.Millisecond), Report{Server: "s", Ended: true}))
	require.Equal(t, []Report{{Server: "s", Ended: true}}, lim.ApplyPending(start.Add(1600*time.Millisecond)))
	require.Zero(t, lim.Len())
}

// The servers' names come from outside, so the number of limits must be
// bounded.
func TestLimiterIsBounded(t *testing.T) {
	lim := NewLimiter()
	for num := range maxServers + 10 {
		lim.Observe(start, Report{Server: string(rune(num)) + "s", Rate: 1})
	}
	require.LessOrEqual(t, lim.Len(), maxServers)
	lim.Forget(func(string) bool { return true })
	require.Zero(t, lim.Len())
}

// A server names a rate in some answers only. The limit must not end between two of them,
// each time with all requests that wait for it.
func TestLimitNamedNowAndThenHolds(t *testing.T) {
	for _, values := range [][]float64{{2, -1, 8}, {8, -1}, {-1, -1, 3}, {5, -1, -1, -1}} {
		lim := NewLimiter()
		highest, answers, waiting := 0.0, 0, 10.0
		for _, val := range values {
			highest = max(highest, val)
		}
		var sent []time.Time
		for at := start; at.Before(start.Add(30 * time.Second)); at = at.Add(5 * time.Millisecond) {
			waiting = min(20, waiting+40*0.005)
			num := 0
			for ; waiting >= 1 && lim.Allowed(at, "s"); waiting-- {
				lim.Take(at, "s")
				num++
				// The first seconds show the server what its answers do.
				if at.Sub(start) > 6*time.Second {
					sent = append(sent, at)
				}
			}
			for range num {
				val := values[answers%len(values)]
				answers++
				lim.Observe(at.Add(2*time.Millisecond), Report{Server: "s", Rate: max(0, val), Ended: val < 0})
			}
			lim.ApplyPending(at.Add(2 * time.Millisecond))
		}
		require.LessOrEqual(t, float64(maxInWindow(sent)), burstFactor*highest*window.Seconds()+burstExtra, "%v", values)
		require.NotEmpty(t, sent)
	}
}

// A limit that returned must end for good once the server doesn't name it any more.
func TestReturnedLimitEnds(t *testing.T) {
	lim, at := NewLimiter(), start
	for range 10 {
		require.Equal(t, Began, lim.Observe(at, Report{Server: "s", Rate: 2}))
		at = at.Add(maxRaiseDelay)
		require.Equal(t, Ended, lim.Observe(at, Report{Server: "s", Ended: true}))
		at = at.Add(time.Second)
	}
	at = at.Add(returnWindow)
	lim.Observe(at, Report{Server: "s", Rate: 2})
	require.Equal(t, Ended, lim.Observe(at.Add(raiseDelay), Report{Server: "s", Ended: true}), "its delay is the usual one")
}
