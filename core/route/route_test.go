package route

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func pool(num int) []*Server {
	srvs := make([]*Server, num)
	for i := range srvs {
		srvs[i] = NewServer(fmt.Sprintf("engine-%d", i), "", fmt.Sprintf("zone-%d", i%3), "engines")
	}
	sort.Slice(srvs, func(i, j int) bool { return srvs[i].Hash() < srvs[j].Hash() })
	return srvs
}

func source(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

func policies() []Policy {
	return []Policy{Random{}, NewRoundRobin(), LeastInflight{}, TwoChoices{}, NewFinish()}
}

// No policy may choose a leaving or avoided server, or none while one is open.
func TestChoices(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		num := rapid.IntRange(1, 30).Draw(rt, "servers")
		seed := rapid.Uint64().Draw(rt, "seed")
		which := rapid.IntRange(0, len(policies())-1).Draw(rt, "policy")
		ops := rapid.SliceOfN(rapid.IntRange(0, 6), 1, 80).Draw(rt, "ops")
		require.Equal(rt, trace(rt, num, seed, which, ops), trace(rt, num, seed, which, ops))
	})
}

// trace runs a sequence of events and returns the servers chosen.
func trace(rt *rapid.T, num int, seed uint64, which int, ops []int) []string {
	pol, srvs, rng := policies()[which], pool(num), source(seed)
	var chosen []string
	var open []*Server
	now := start
	for _, op := range ops {
		now = now.Add(50 * time.Millisecond)
		one := srvs[rng.IntN(num)]
		switch op {
		case 0:
			one.MarkLeaving()
		case 1:
			one.SetReport(NewReport(now.Add(-time.Second), rng.IntN(9), rng.IntN(20)))
		case 2:
			NewAttempt(NewAsk(nil, now, 0, "", rng), one).Failed(now)
		case 3:
			if len(open) > 0 {
				open[0].End(now)
				open = open[1:]
			}
		default:
			ask := NewAsk(srvs, now, time.Second, "zone-1", rng).WithWork(10, uint64(op)).WithPrompt(300).WithEntries(8).WithAvoid(open[max(0, len(open)-1):])
			srv := pol.Decide(ask)
			if srv == nil {
				for _, srv := range srvs {
					require.False(rt, ask.open(srv), "%s found no server, yet %s is open", pol.Name(), srv.ID())
				}
				continue
			}
			require.False(rt, srv.Leaving(), "%s chose %s, which is leaving", pol.Name(), srv.ID())
			require.NotContains(rt, ask.avoid, srv, "%s chose %s again", pol.Name(), srv.ID())
			chosen = append(chosen, srv.ID())
			srv.Begin(now)
			open = append(open, srv)
		}
		for _, srv := range srvs {
			require.GreaterOrEqual(rt, srv.Inflight(), int64(0))
			require.GreaterOrEqual(rt, srv.Load(now, 8), float64(srv.Inflight()))
		}
	}
	return chosen
}

// shares counts the choices of a policy over a number of asks at one moment.
func shares(pol Policy, asks int, ask func(i int) Ask) map[*Server]int {
	got := map[*Server]int{}
	for i := range asks {
		srv := pol.Decide(ask(i))
		srv.Begin(start)
		got[srv]++
	}
	return got
}

// A slow engine must not be fed because its queue looks short.
func TestSlowServerLosesItsShare(t *testing.T) {
	srvs := pool(12)
	slow := srvs[3]
	for _, srv := range srvs {
		took := 400 * time.Millisecond
		if srv == slow {
			took *= 5
		}
		att := NewAttempt(NewAsk(srvs, start, 0, "", nil), srv)
		for range 3 {
			att.Stream(start.Add(took), took/20)
		}
	}
	rng := source(1)
	got := shares(NewFinish(), 120, func(int) Ask {
		return NewAsk(srvs, start.Add(time.Second), time.Second, "zone-0", rng).WithWork(20, 0)
	})
	require.LessOrEqual(t, got[slow], 3)
	// It is forgiven with time, so that it is found when it is well again.
	got = shares(NewFinish(), 120, func(int) Ask {
		return NewAsk(srvs, start.Add(10*time.Minute), time.Second, "zone-0", rng).WithWork(20, 0)
	})
	require.GreaterOrEqual(t, got[slow], 5)
}

// A shared prompt must not be read everywhere, nor overload the engine that has it.
func TestPrefixStaysUntilItsServerIsFull(t *testing.T) {
	srvs := pool(12)
	fin, rng := NewFinish(), source(2)
	ask := func(int) Ask {
		return NewAsk(srvs, start, time.Second, "zone-0", rng).WithWork(20, 99).WithPrompt(3000)
	}
	fin.Decide(ask(0))
	got := shares(fin, 4, ask)
	require.Len(t, got, 1)
	got = shares(fin, 200, ask)
	for srv, num := range got {
		require.Less(t, num, 80, srv.ID())
	}
}

// Instances that read one stale report must not all send to the same engine.
func TestStaleReportDrawsNoHerd(t *testing.T) {
	const instances, asks = 8, 10
	together := map[string]int{}
	for inst := range instances {
		srvs := pool(12)
		for i, srv := range srvs {
			srv.SetReport(NewReport(start.Add(-time.Second), 8, 4))
			if i == 5 {
				srv.SetReport(NewReport(start.Add(-time.Second), 0, 0))
			}
		}
		rng := source(uint64(inst))
		for srv, num := range shares(NewFinish(), asks, func(int) Ask {
			return NewAsk(srvs, start, time.Second, "zone-0", rng).WithWork(20, 0).WithEntries(instances)
		}) {
			together[srv.ID()] += num
		}
	}
	for id, num := range together {
		require.LessOrEqual(t, num, 3*instances*asks/12+4, id)
	}
}

// A server that refuses connections gets none for a while, then one probe,
// and its share back after a whole result. When all fail, calls still go out.
func TestFailuresExclude(t *testing.T) {
	srvs := pool(2)
	fin, rng := NewFinish(), source(3)
	ask := func(now time.Time) Ask { return NewAsk(srvs, now, time.Second, "", rng) }
	att := NewAttempt(ask(start), srvs[0])
	att.Failed(start)
	for range 20 {
		require.Equal(t, srvs[1], fin.Decide(ask(start.Add(firstExclusion/2))))
	}
	probes := 0
	for range 50 {
		if fin.Decide(ask(start.Add(firstExclusion))) == srvs[0] {
			probes++
		}
	}
	require.Equal(t, 1, probes)
	NewAttempt(ask(start), srvs[1]).Failed(start.Add(firstExclusion))
	require.NotNil(t, fin.Decide(ask(start.Add(firstExclusion))))
}

func BenchmarkDecide900(b *testing.B) {
	for _, pol := range policies() {
		b.Run(pol.Name(), func(b *testing.B) {
			srvs, rng := pool(900), source(1)
			for _, srv := range srvs {
				srv.SetReport(NewReport(start.Add(-time.Second), rng.IntN(8), rng.IntN(3)))
				NewAttempt(NewAsk(srvs, start, 0, "", rng), srv).Stream(start.Add(time.Second), 20*time.Millisecond)
				for i := range marks {
					srv.Begin(start.Add(time.Duration(i) * markGap))
				}
			}
			now := start.Add(2 * time.Second)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				pol.Decide(NewAsk(srvs, now, time.Second, "zone-1", rng).WithWork(48, uint64(i%500)).WithPrompt(500).WithEntries(400))
			}
		})
	}
}

func BenchmarkStatePerServer(b *testing.B) {
	const num = 900
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		srvs := pool(num)
		for _, srv := range srvs {
			srv.SetReport(NewReport(start, 1, 1))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/num, "bytes/server")
		runtime.KeepAlive(srvs)
	}
}

// A report speaks of a second ago. Calls of our own that began and ended since
// have to be set against it, or every server looks as it did then.
func TestLoadCorrectsReportByOwnCalls(t *testing.T) {
	srv := pool(1)[0]
	srv.SetReport(NewReport(start.Add(500*time.Millisecond), 6, 2))
	for i := range 4 {
		srv.Begin(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	require.EqualValues(t, 8, srv.Load(start.Add(time.Second), 1))
	srv.Begin(start.Add(600 * time.Millisecond))
	require.EqualValues(t, 9, srv.Load(start.Add(time.Second), 1))
	for range 4 {
		srv.End(start.Add(700 * time.Millisecond))
	}
	require.EqualValues(t, 5, srv.Load(start.Add(time.Second), 1))
	require.EqualValues(t, 2, srv.Load(start.Add(time.Second), 3))
}

// A server with nothing running isn't full, whatever it reports as waiting: taken for
// one that runs a single call at once, it turns its pool's callers away.
func TestIdleReportsShowNoSize(t *testing.T) {
	srv := pool(1)[0]
	for num := range 2 * surely {
		srv.SetReport(NewReport(start.Add(time.Duration(num)*time.Millisecond), 0, 1))
	}
	require.EqualValues(t, defaultSlots, srv.size())
	for num := range surely {
		srv.SetReport(NewReport(start.Add(time.Second+time.Duration(num)*time.Millisecond), 1, 1))
	}
	require.EqualValues(t, defaultSlots, srv.size(), "the first of them shows more running than before")
	srv.SetReport(NewReport(start.Add(2*time.Second), 1, 1))
	require.EqualValues(t, 1, srv.size(), "a server of one slot")
}
