package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/place"
	"lovagestream/core/rates"
	"lovagestream/core/stock"
	"lovagestream/core/table"
)

// withReports adds the reports of a request's results to its spec, as its entry
// instance does.
func withReports(spc Spec, out *effects) Spec {
	for _, hld := range out.reports {
		if hld.Key == spc.Key {
			spc.AddResults(hld)
		}
	}
	return spc
}

// A new coordinator must not repeat stage work that was done for a request
// before its predecessor was lost.
func TestNewCoordinatorReusesResults(t *testing.T) {
	sch, out := newScheduler(testServers...)
	sch.Submit(start, spec("r1", 2, 1))
	answer(sch, start, out.takeCalls()[0])
	spc := withReports(spec("r1", 2, 1), out)
	require.Len(t, spc.HeldResults, 1)
	nxt, got := newScheduler(testServers...)
	nxt.Submit(start.Add(time.Second), spc)
	cal := got.takeCalls()[0]
	require.Equal(t, "s1", cal.Server.ID)
	require.Equal(t, []string{"f1/r1-0-0", "f1/r1-0-1"}, cal.Items[0].Inputs)
	answer(nxt, start.Add(time.Second), cal)
	require.Equal(t, Placed, got.decisions["r1"].Outcome)
	require.ElementsMatch(t, []string{"f1/r1-0-0", "f1/r1-0-1"}, got.freed["f1"])
	nxt.Began(start.Add(2*time.Second), spc.Key)
	require.Len(t, got.freed["s1"], 1)
}

// A request with complete stages must not wait, or have its stages repeated,
// when the coordinator is lost.
func TestNewCoordinatorPlacesCompleteJob(t *testing.T) {
	sch, out := newScheduler(testServers...)
	sch.Submit(start, spec("r1", 2, 1))
	answer(sch, start, out.takeCalls()[0])
	answer(sch, start, out.takeCalls()[0])
	spc := withReports(spec("r1", 2, 1), out)
	require.Len(t, spc.HeldResults, 1, "the first stage's results were freed")
	nxt, got := newScheduler(testServers...)
	nxt.Submit(start, spc)
	require.Empty(t, got.takeCalls())
	require.Equal(t, []string{"s1/r1-1-0"}, got.decisions["r1"].Inputs)
}

// If the coordinator is lost, the results of a running request must be neither
// lost nor kept forever.
func TestNewCoordinatorAdoptsResultsOfRunningJob(t *testing.T) {
	sch, out := newScheduler(testServers...)
	sch.Submit(start, spec("r1", 1, 1))
	answer(sch, start, out.takeCalls()[0])
	answer(sch, start, out.takeCalls()[0])
	spc := withReports(spec("r1", 1, 1), out)
	for _, again := range []bool{false, true} {
		nxt, got := newScheduler(testServers...)
		nxt.Adopt(start, spc, "m1")
		if again {
			require.True(t, nxt.Retry(start, Spec{Key: spc.Key}, place.Full, false))
			require.Empty(t, got.takeCalls())
			require.Equal(t, "m2", got.decisions["r1"].Server.ID)
		}
		nxt.Began(start, spc.Key)
		require.Equal(t, []string{"s1/r1-1-0"}, got.freed["s1"])
	}
}

// An adopted run that ends without an answer must not wait for results that
// nobody knows.
func TestAdoptedRunWithoutResultsStartsOver(t *testing.T) {
	nxt, got := newScheduler(testServers...)
	nxt.Adopt(start, spec("r1", 1, 1), "m1")
	require.Empty(t, got.takeCalls())
	require.True(t, nxt.Retry(start, Spec{Key: Key{"me", "r1"}}, place.Full, false))
	require.Equal(t, "f1", got.takeCalls()[0].Server.ID)
}

// A late, duplicate or wrong report must not give a request a result that is
// not its own.
func TestWrongWordsCostAPieceOnly(t *testing.T) {
	good := HeldResults{Key: Key{"me", "r1"}, Stage: 0, Server: "f1", Pieces: []int{0}, Handles: []string{"h0"}, Expires: start.Add(4 * time.Second)}
	change := func(fun func(*HeldResults)) HeldResults {
		hld := good
		fun(&hld)
		return hld
	}
	for name, wrong := range map[string]HeldResults{
		"stage":          change(func(hld *HeldResults) { hld.Stage = 7 }),
		"negative stage": change(func(hld *HeldResults) { hld.Stage = -1 }),
		"piece":          change(func(hld *HeldResults) { hld.Pieces = []int{9} }),
		"no handle":      change(func(hld *HeldResults) { hld.Handles = []string{""} }),
		"fewer handles":  change(func(hld *HeldResults) { hld.Pieces = []int{0, 1} }),
		"server gone":    change(func(hld *HeldResults) { hld.Server = "f9" }),
		"other pool":     change(func(hld *HeldResults) { hld.Server = "s1" }),
		"expired":        change(func(hld *HeldResults) { hld.Expires = start }),
	} {
		nxt, got := newScheduler(testServers...)
		spc := spec("r1", 2, 1)
		spc.HeldResults = []HeldResults{wrong}
		nxt.Submit(start, spc)
		require.Len(t, got.takeCalls()[0].Items, 2, name)
	}
	nxt, got := newScheduler(testServers...)
	spc := spec("r1", 2, 1)
	spc.HeldResults = []HeldResults{good, change(func(hld *HeldResults) { hld.Pieces = []int{1} }), change(func(hld *HeldResults) { hld.Handles = []string{"other"} })}
	nxt.Submit(start, spc)
	cal := got.takeCalls()[0]
	require.Len(t, cal.Items, 1, "one handle for two pieces")
	require.Equal(t, 1, cal.Items[0].Piece)
	answer(nxt, start, cal)
	require.Equal(t, []string{"h0", "f1/r1-0-1"}, got.takeCalls()[0].Items[0].Inputs)
}

// A piece was recomputed before the coordinator was lost: the later report
// counts.
func TestLaterReportReplacesEarlier(t *testing.T) {
	spc := spec("r1", 2, 1)
	spc.AddResults(HeldResults{Server: "f1", Pieces: []int{0, 1}, Handles: []string{"a", "b"}})
	spc.AddResults(HeldResults{Server: "f2", Pieces: []int{1}, Handles: []string{"c"}})
	require.Equal(t, []HeldResults{{Server: "f1", Pieces: []int{0}, Handles: []string{"a"}}, {Server: "f2", Pieces: []int{1}, Handles: []string{"c"}}}, spc.HeldResults)
	spc.AddResults(HeldResults{Server: "f2", Pieces: []int{5}, Handles: []string{"d"}})
	require.Len(t, spc.HeldResults, 2)
}

// If transferred results are gone, their request must recompute them.
func TestTransferredResultsAreGone(t *testing.T) {
	nxt, got := newScheduler(testServers...)
	spc := spec("r1", 1, 1)
	spc.HeldResults = []HeldResults{{Stage: 0, Server: "f1", Pieces: []int{0}, Handles: []string{"h0"}, Expires: start.Add(4 * time.Second)}}
	nxt.Submit(start, spc)
	nxt.CallEnded(start, got.takeCalls()[0].Number, []Result{{Status: InputGone}}, Answered)
	require.Equal(t, "f1", got.takeCalls()[0].Server.ID)

	nxt, got = newScheduler(append(testServers, entry("second", "s2", "z"))...)
	spc = spec("r1", 1, 2)
	spc.HeldResults = []HeldResults{{Stage: 1, Server: "s2", Pieces: []int{0, 1}, Handles: []string{"h1", "h2"}, Expires: start.Add(4 * time.Second)}}
	nxt.Submit(start, spc)
	require.Equal(t, Placed, got.decisions["r1"].Outcome)
	require.True(t, nxt.Retry(start, Spec{Key: spc.Key}, place.Full, true))
	require.Equal(t, "f1", got.takeCalls()[0].Server.ID, "the input of the recomputed piece")
}

// Two coordinators with the same results must not break each other's request.
func TestTwoNewCoordinatorsShareResults(t *testing.T) {
	spc := spec("r1", 1, 1)
	spc.HeldResults = []HeldResults{{Stage: 0, Server: "f1", Pieces: []int{0}, Handles: []string{"h0"}, Expires: start.Add(4 * time.Second)}}
	one, outOne := newScheduler(testServers...)
	two, outTwo := newScheduler(testServers...)
	one.Submit(start, spc)
	two.Submit(start, spc)
	one.Cancel(start, spc.Key)
	require.Equal(t, []string{"h0"}, outOne.freed["f1"])
	two.CallEnded(start, outTwo.takeCalls()[0].Number, []Result{{Status: InputGone}}, Answered)
	answer(two, start, outTwo.takeCalls()[0])
	answer(two, start, outTwo.takeCalls()[0])
	require.Equal(t, Placed, outTwo.decisions["r1"].Outcome)
	require.Len(t, outTwo.decisions["r1"].Inputs, 1)
}

// A coordinator that resumes after a pause must not free results that its
// successor uses.
func TestWokenFormerLeavesResultsAlone(t *testing.T) {
	sch, out := newScheduler(testServers...)
	sch.Submit(start, spec("r1", 1, 1))
	answer(sch, start, out.takeCalls()[0])
	require.Len(t, out.reports, 1)
	require.Equal(t, 1, sch.Clear(start.Add(2*time.Second)))
	require.Empty(t, out.freed)
	require.Zero(t, sch.pools["first"].servers["f1"].usedBytes)
	answer(sch, start.Add(2*time.Second), out.takeCalls()[0])
	require.Equal(t, []string{"s1/r1-1-0"}, out.freed["s1"])
	require.Len(t, out.reports, 1, "it reports no further results")
}

// A transferred request that is refused must not leave its results at the
// servers.
func TestRefusedRequestFreesTransferredResults(t *testing.T) {
	out := &effects{freed: map[string][]string{}, decisions: map[string]Decision{}}
	sch := New(out, rates.NewLimiter())
	sch.Configure(start, services(), testServers)
	spc := spec("r1", 1, 1)
	spc.Retry, spc.Avoid = true, []string{"m1", "m2"}
	spc.HeldResults = []HeldResults{{Stage: 0, Server: "f1", Pieces: []int{0}, Handles: []string{"h0"}, Expires: start.Add(4 * time.Second)}}
	sch.Submit(start, spc)
	require.Equal(t, Refused, out.decisions["r1"].Outcome)
	require.Equal(t, []string{"h0"}, out.freed["f1"])
	sch.Tick(start.Add(5 * time.Second))
	require.Empty(t, out.takeCalls())
}

// A server that restarted must not count as holding its results from before.
func TestRestartedServerHoldsNoResults(t *testing.T) {
	nxt, got := newScheduler(testServers...)
	restarted := entry("first", "f1", "z")
	restarted.StartedAt = 7
	spc := spec("r1", 1, 1)
	spc.HeldResults = []HeldResults{{Stage: 0, Server: "f1", Pieces: []int{0}, Handles: []string{"h0"}, Expires: start.Add(4 * time.Second)}}
	nxt.Submit(start, spc)
	got.takeCalls()
	nxt.Configure(start, services(), []stock.Entry{restarted, testServers[1], testServers[2]})
	nxt.CallEnded(start, 1, []Result{{Status: InputGone}}, Answered)
	require.Equal(t, "f1", got.takeCalls()[0].Server.ID)
}

// A stage without pieces must not make results count as consumed.
func TestEmptyStageDoesNotConsumeResults(t *testing.T) {
	spc := Spec{Stages: []table.Stage{{Service: "first"}, {Service: "second", DependsOn: []int{0}}, {Service: "second", DependsOn: []int{1}}}, Pieces: []int{1, 1}}
	spc.AddResults(HeldResults{Stage: 0, Server: "f1", Pieces: []int{0}, Handles: []string{"a"}})
	spc.AddResults(HeldResults{Stage: 2, Server: "s1", Pieces: []int{0}, Handles: []string{"b"}})
	require.Len(t, spc.HeldResults, 1)
	require.Zero(t, spc.HeldResults[0].Stage)
}

// The memory of untracked results must not be assigned to calls before they
// expire, and must be usable after that.
func TestUntrackedResultsTakeMemoryUntilExpiry(t *testing.T) {
	sch, out := newScheduler(testServers...)
	sch.TakeOver(start)
	sch.Submit(start, spec("a", 8, 1))
	cal := out.takeCalls()[0]
	require.Len(t, cal.Items, 8)
	res := []Result{{Handle: "1"}, {Handle: "2"}, {Handle: "3"}, {Handle: "4"}, {Status: OutOfMemory}, {Status: OutOfMemory}, {Status: OutOfMemory}, {Status: OutOfMemory}}
	now := start.Add(300 * time.Millisecond)
	sch.CallEnded(now, cal.Number, res, Answered)
	require.Empty(t, out.takeCalls(), "four results of the request fill the memory that is left")
	ser := sch.pools["first"].servers["f1"]
	require.InDelta(t, 1, ser.sizeFactor, 0, "results are no larger than configured")
	small := spec("b", 1, 1)
	small.Stages[0].ResultSize = 8000
	sch.Submit(now, small)
	require.Len(t, out.takeCalls(), 1)
	sch.Tick(start.Add(4500 * time.Millisecond))
	require.Zero(t, ser.untrackedBytes(start.Add(4500*time.Millisecond)))
}

// Without a takeover, a lack of memory means that results are larger than
// configured.
func TestSizeFactorGrowsWithoutTakeover(t *testing.T) {
	sch, out := newScheduler(testServers...)
	sch.Submit(start, spec("a", 2, 1))
	sch.CallEnded(start, out.takeCalls()[0].Number, []Result{{Handle: "1"}, {Status: OutOfMemory}}, Answered)
	ser := sch.pools["first"].servers["f1"]
	require.Greater(t, ser.sizeFactor, 1.0)
	require.Zero(t, ser.untracked)
}

// Estimates must not count memory that untracked results take as free.
func TestUntrackedResultsCountInEstimates(t *testing.T) {
	sch, _ := newScheduler(testServers...)
	pol := sch.pools["first"]
	pol.ahead = backlog{work: time.Second, capacity: sch.poolBacklog(start, pol).capacity}
	whole := pol.ahead.wait()
	pol.servers["f1"].untracked, pol.servers["f1"].untrackedUntil = pol.svc.Batch.ResultMemory/2, start.Add(time.Second)
	pol.ahead.capacity = sch.poolBacklog(start, pol).capacity
	require.Equal(t, 2*whole, pol.ahead.wait())
	require.InDelta(t, 1, sch.poolBacklog(start.Add(time.Second), pol).capacity, 0, "they have expired")
}
