package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/place"
	"lovagestream/core/rates"
	"lovagestream/core/stock"
	"lovagestream/core/table"
)

var start = time.Unix(1000, 0)

// effects records the scheduler's decisions.
type effects struct {
	calls     []Call
	cuts      []uint64
	freed     map[string][]string
	decisions map[string]Decision
	reports   []HeldResults
}

func (out *effects) Call(cal Call)            { out.calls = append(out.calls, cal) }
func (out *effects) CancelCall(number uint64) { out.cuts = append(out.cuts, number) }
func (out *effects) FreeResults(adr string, handles []string) {
	out.freed[adr] = append(out.freed[adr], handles...)
}
func (out *effects) Ejected(string, string, place.Outcome) {}

func (out *effects) ReportResults(hld HeldResults) { out.reports = append(out.reports, hld) }
func (out *effects) Notify(dec Decision)           { out.decisions[dec.Key.ID] = dec }

// takeCalls returns the calls since the last takeCalls.
func (out *effects) takeCalls() []Call {
	got := out.calls
	out.calls = nil
	return got
}

func newScheduler(servers ...stock.Entry) (*Scheduler, *effects) {
	out := &effects{freed: map[string][]string{}, decisions: map[string]Decision{}}
	sch := New(out, rates.NewLimiter())
	sch.Configure(start, services(), servers)
	return sch, out
}

func services() *table.Table {
	bat := table.Batch{ConcurrentCalls: 1, QueuedCalls: 2, MaxPieces: 8, CallTime: 150 * time.Millisecond, PieceTime: 16 * time.Millisecond, ResultMemory: 56_000_000, ResultLifetime: 4 * time.Second}
	second := bat
	return table.New(1, nil, []*table.Service{
		{Name: "first", Batch: &bat}, {Name: "second", Batch: &second}, {Name: "model", Model: &table.Model{Slots: 64, CacheTokens: 600_000}},
	}, nil, table.Limits{})
}

func entry(service, id, zone string) stock.Entry {
	return stock.Entry{ID: id, Address: id, Service: service, Zone: zone}
}

var testServers = []stock.Entry{entry("first", "f1", "z"), entry("second", "s1", "z"), entry("model", "m1", "z"), entry("model", "m2", "z")}

func spec(id string, pieces ...int) Spec {
	return Spec{
		Key: Key{Owner: "me", ID: id}, Service: "model", PieceKey: "k-" + id, Pieces: pieces, PromptTokens: 1000, MaxOutputTokens: 50, Fingerprint: uint64(len(id))*1000 + uint64(id[0]),
		Stages:  []table.Stage{{Service: "first", ResultSize: 3_000_000}, {Service: "second", DependsOn: []int{0}, ResultSize: 6000}},
		Arrived: start, Target: start.Add(1500 * time.Millisecond), GiveUp: start.Add(6 * time.Second), Deadline: start.Add(12 * time.Second),
	}
}

// answer ends a call with a result for each piece.
func answer(sch *Scheduler, now time.Time, cal Call) {
	var res []Result
	for _, itm := range cal.Items {
		res = append(res, Result{Handle: fmt.Sprintf("%s/%s-%d-%d", cal.Server.ID, itm.ID, itm.Stage, itm.Piece)})
	}
	sch.CallEnded(now, cal.Number, res, Answered)
}

// Pieces must not be sent before their inputs are there, and results must be
// freed once they are consumed.
func TestWholePath(t *testing.T) {
	sch, out := newScheduler(testServers...)
	sch.Submit(start, spec("r1", 2, 1))
	cal := out.takeCalls()[0]
	require.Equal(t, "f1", cal.Server.ID)
	require.Equal(t, []Item{{ID: "r1", Piece: 0, Key: "k-r1", Remaining: 6 * time.Second}, {ID: "r1", Piece: 1, Key: "k-r1", Remaining: 6 * time.Second}}, cal.Items)
	now := start.Add(200 * time.Millisecond)
	answer(sch, now, cal)
	cal = out.takeCalls()[0]
	require.Equal(t, []string{"f1/r1-0-0", "f1/r1-0-1"}, cal.Items[0].Inputs)
	answer(sch, now.Add(200*time.Millisecond), cal)
	require.Len(t, out.freed["f1"], 2, "consumed by the second stage")
	dec := out.decisions["r1"]
	require.Equal(t, Placed, dec.Outcome)
	require.Equal(t, []string{"s1/r1-1-0"}, dec.Inputs)
	require.Empty(t, out.freed["s1"])
	sch.Began(now.Add(time.Second), Key{"me", "r1"})
	require.Len(t, out.freed["s1"], 1)
	sch.Ended(now.Add(2*time.Second), Key{"me", "r1"}, place.Done)
	require.Zero(t, sch.Jobs())
}

// A request that its engine refuses must keep its results.
func TestRetryKeepsResults(t *testing.T) {
	sch, out := newScheduler(testServers...)
	sch.Submit(start, spec("r1", 1, 1))
	answer(sch, start, out.takeCalls()[0])
	answer(sch, start, out.takeCalls()[0])
	first := out.decisions["r1"].Server.ID
	require.True(t, sch.Retry(start, Spec{Key: Key{"me", "r1"}}, place.Full, false))
	require.Empty(t, out.takeCalls())
	require.Equal(t, Placed, out.decisions["r1"].Outcome)
	require.NotEqual(t, first, out.decisions["r1"].Server.ID)
	require.True(t, sch.Retry(start, Spec{Key: Key{"me", "r1"}}, place.Done, true), "an input is missing")
	require.Len(t, out.takeCalls(), 1)
	require.False(t, sch.Retry(start, Spec{Key: Key{"me", "other"}}, place.Full, false))
}

// While the coordinator has no path to a stage server, its calls must neither eject the
// server nor use up the tries of their pieces.
func TestLostPathIsNoFailureOfStageServers(t *testing.T) {
	sch, out := newScheduler(testServers...)
	sch.Submit(start, spec("r1", 1, 0))
	now := start
	for range 3 * maxTries {
		calls := out.takeCalls()
		require.Len(t, calls, 1)
		sch.CallEnded(now, calls[0].Number, nil, NoPath)
		now = now.Add(noPathBackoff)
		sch.Tick(now)
	}
	answer(sch, now, out.takeCalls()[0])
	require.Equal(t, Placed, out.decisions["r1"].Outcome)
}

// A server crashes with results and an in-flight call; results that are still
// needed must be recomputed.
func TestLostResultsAreRecomputed(t *testing.T) {
	sch, out := newScheduler(append(testServers, entry("first", "f2", "z"))...)
	sch.Submit(start, spec("r1", 1, 1))
	cal := out.takeCalls()[0]
	sch.CallEnded(start.Add(time.Second), cal.Number, nil, NoReply)
	again := out.takeCalls()[0]
	answer(sch, start.Add(time.Second), again)
	require.Equal(t, "s1", out.takeCalls()[0].Server.ID)
	restarted := entry("first", again.Server.ID, "z")
	restarted.StartedAt = 7
	sch.Configure(start.Add(1100*time.Millisecond), services(), []stock.Entry{entry("second", "s1", "z"), entry("model", "m1", "z"), restarted})
	require.Len(t, out.takeCalls(), 1, "the restarted server lost the input")
}

// Pieces must not be sent to a server without memory for them.
func TestMemoryLimit(t *testing.T) {
	sch, out := newScheduler(testServers...)
	var sizes []int
	for num := range 4 {
		sch.Submit(start, spec(fmt.Sprintf("%c", 'a'+num), 8, 1))
		for _, cal := range out.takeCalls() {
			if cal.Server.ID != "f1" {
				continue
			}
			// The second stage gets no answer, so the results of the first are
			// kept.
			sizes = append(sizes, len(cal.Items))
			answer(sch, start, cal)
		}
	}
	for _, cal := range out.takeCalls() {
		require.NotEqual(t, "f1", cal.Server.ID)
	}
	require.Equal(t, []int{8, 8, 2}, sizes, "eighteen fit")
}

// A single piece without memory must not cause a backoff of its server.
func TestOutOfMemoryPieceCausesNoBackoff(t *testing.T) {
	sch, out := newScheduler(testServers...)
	sch.Submit(start, spec("a", 8, 1))
	cal := out.takeCalls()[0]
	sch.Submit(start, spec("b", 2, 1))
	require.Empty(t, out.takeCalls(), "one call at a time")
	var res []Result
	for idx := range cal.Items {
		res = append(res, Result{Handle: fmt.Sprintf("f1/%d", idx)})
	}
	res[7] = Result{Status: OutOfMemory}
	sch.CallEnded(start, cal.Number, res, Answered)
	got := out.takeCalls()
	require.Len(t, got, 1)
	require.Len(t, got[0].Items, 3, "the piece without memory and the two others")
	require.Greater(t, sch.pools["first"].servers["f1"].sizeFactor, 1.0)
}

// Results for a caller that left must be freed at their servers.
func TestCancelFreesResults(t *testing.T) {
	sch, out := newScheduler(testServers...)
	sch.Submit(start, spec("r1", 3))
	cal := out.takeCalls()[0]
	sch.Submit(start, spec("r2", 3))
	sch.Cancel(start, Key{"me", "r1"})
	sch.Cancel(start, Key{"me", "r2"})
	answer(sch, start, cal)
	require.Len(t, out.freed["f1"], 3)
	require.Empty(t, out.takeCalls())
	require.Zero(t, sch.Jobs())
}

// A refusal must come on arrival, before any piece of the request is sent.
func TestRefusalOnArrival(t *testing.T) {
	sch, out := newScheduler(testServers...)
	refused := ""
	for num := range 200 {
		id := fmt.Sprintf("%c", 'A'+num)
		sch.Submit(start, spec(id, 8, 1))
		if dec, have := out.decisions[id]; have && dec.Outcome == Refused {
			refused = id
			require.Equal(t, "queue-too-long", dec.Reason)
			require.Greater(t, dec.RetryAfter, minRetryAfter-1)
			require.LessOrEqual(t, dec.RetryAfter, 4*time.Second)
			require.Greater(t, dec.Estimate, dec.Allowed)
			break
		}
	}
	require.NotEmpty(t, refused)
	for _, cal := range out.calls {
		for _, itm := range cal.Items {
			require.NotEqual(t, refused, itm.ID)
		}
	}
	back := spec(refused, 1, 1)
	back.Key.ID = "back"
	back.Target = start.Add(time.Hour)
	job, _ := sch.build(start, back)
	sch.matchReturning(start.Add(time.Second), job)
	require.True(t, job.returned)
	require.Equal(t, start.Add(1500*time.Millisecond), job.spec.Target)
}

// The servers of an unreachable zone must not each be detected by a call that
// runs into its full timeout.
func TestSilentZoneIsFoundOutOnce(t *testing.T) {
	sch, out := newScheduler(entry("first", "f1", "y"), entry("first", "f2", "y"), entry("second", "s1", "z"), entry("model", "m1", "z"))
	sch.Submit(start, spec("a", 8))
	cal := out.takeCalls()[0]
	require.Equal(t, 8, len(cal.Items))
	now := start.Add(850 * time.Millisecond)
	sch.SuspectZones(now, map[string]bool{"y": true})
	sch.Tick(now.Add(time.Millisecond))
	require.Equal(t, []uint64{cal.Number}, out.cuts)
	require.Empty(t, out.takeCalls(), "backoff after the failed call")
	now = now.Add(suspectBackoff + 2*time.Millisecond)
	sch.Tick(now)
	probe := out.takeCalls()
	require.Len(t, probe, 1)
	require.Len(t, probe[0].Items, probePieces)
	require.Less(t, probe[0].Timeout, time.Second)
	answer(sch, now, probe[0])
	num := 0
	for _, cal := range out.takeCalls() {
		num += len(cal.Items)
	}
	require.Equal(t, 6, num, "the remaining pieces at once")
	sch.SuspectZones(now, nil)
	require.Empty(t, sch.suspectedZones)
}

// A freed slot must go to the job that is due first, not to the one that comes
// first.
func TestFreeSlotsGoInRankOrder(t *testing.T) {
	out := &effects{freed: map[string][]string{}, decisions: map[string]Decision{}}
	sch := New(out, rates.NewLimiter())
	tab := table.New(1, nil, []*table.Service{{Name: "model", Model: &table.Model{Slots: 1, CacheTokens: 600_000}}}, nil, table.Limits{})
	sch.Configure(start, tab, []stock.Entry{entry("model", "m1", "z")})
	for num := range 12 {
		spc := spec(fmt.Sprintf("r%02d", num))
		spc.Stages = nil
		spc.Target = start.Add(time.Duration(2000-10*num) * time.Millisecond)
		sch.Submit(start, spc)
	}
	require.Equal(t, Placed, out.decisions["r00"].Outcome)
	last := "r00"
	for num := 11; num > 0; num-- {
		sch.Ended(start, Key{"me", last}, place.Done)
		last = fmt.Sprintf("r%02d", num)
		require.Equal(t, Placed, out.decisions[last].Outcome, last)
	}
}

// BenchmarkSubmit measures one admission while a thousand pieces wait for fifty
// servers.
func BenchmarkSubmit(b *testing.B) {
	servers := []stock.Entry{entry("second", "s1", "z")}
	for num := range 50 {
		servers = append(servers, entry("first", fmt.Sprintf("f%d", num), "z"))
	}
	for num := range 90 {
		servers = append(servers, entry("model", fmt.Sprintf("m%d", num), "z"))
	}
	sch, out := newScheduler(servers...)
	for num := range 350 {
		spc := spec(fmt.Sprintf("r%d", num), 4, 1)
		sch.Submit(start, spc)
	}
	out.takeCalls()
	b.ReportAllocs()
	num := 0
	for b.Loop() {
		num++
		spc := spec("x", 2, 1)
		sch.Submit(start, spc)
		sch.Cancel(start, spc.Key)
		out.calls = out.calls[:0]
	}
}

// A server without memory must not be called again at once, and its jobs must
// not be dropped for that.
func TestOutOfMemoryServerBacksOff(t *testing.T) {
	sch, out := newScheduler(testServers...)
	sch.Submit(start, spec("a", 8, 1))
	now := start
	full := func(cal Call) {
		res := make([]Result, len(cal.Items))
		for idx := range res {
			res[idx].Status = OutOfMemory
		}
		sch.CallEnded(now, cal.Number, res, Answered)
	}
	for range 2 * maxTries {
		got := out.takeCalls()
		require.Len(t, got, 1)
		full(got[0])
		require.Empty(t, out.takeCalls(), "no call at once")
		now = now.Add(outOfMemoryBackoff + time.Millisecond)
		sch.Tick(now)
		if len(out.decisions) > 0 {
			break
		}
	}
	require.NotEqual(t, "pieces-fail", out.decisions["a"].Reason, "a lack of memory is not the pieces' fault")
}

// A server that has memory again must not stay in backoff.
func TestFreedMemoryEndsBackoff(t *testing.T) {
	sch, out := newScheduler(testServers...)
	sch.Submit(start, spec("a", 4, 1))
	first := out.takeCalls()[0]
	sch.Submit(start, spec("b", 4, 1))
	answer(sch, start, first)
	for _, cal := range out.takeCalls() {
		if cal.Server.ID == "f1" {
			sch.CallEnded(start, cal.Number, []Result{{Status: OutOfMemory}, {Status: OutOfMemory}, {Status: OutOfMemory}, {Status: OutOfMemory}}, Answered)
		}
	}
	require.Empty(t, out.takeCalls())
	sch.Cancel(start, Key{"me", "a"})
	got := out.takeCalls()
	require.Len(t, got, 1)
	require.Equal(t, "b", got[0].Items[0].ID)
}

// A short burst must not shed a queue that can be served after it.
func TestShortBurstKeepsQueue(t *testing.T) {
	sch, out := newScheduler(append(testServers, entry("first", "f2", "z"), entry("first", "f3", "z"))...)
	for num := range 30 {
		sch.Submit(start, spec(fmt.Sprintf("%c", 'A'+num), 2, 1))
	}
	require.Empty(t, out.decisions)
	now := start.Add(200 * time.Millisecond)
	for _, cal := range out.takeCalls() {
		answer(sch, now, cal)
	}
	now = start.Add(1250 * time.Millisecond)
	sch.pools["first"].addInflow(now, 60*time.Second)
	sch.Tick(now)
	require.True(t, sch.jobs[Key{"me", "Z"}].rank.late)
	require.Empty(t, out.decisions)
}
