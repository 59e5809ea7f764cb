package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lovagestream/core/place"
	"lovagestream/core/rates"
	"lovagestream/core/stock"
	"lovagestream/core/table"
)

// memoryWorld runs random jobs of three accounts on a scheduler with small
// servers. Results don't expire, so only the scheduler frees memory.
type memoryWorld struct {
	t       *testing.T
	rnd     *rand.Rand
	sch     *Scheduler
	out     *effects
	now     time.Time
	servers []stock.Entry
	calls   []Call
	// faulty adds failed calls, lost servers and callers that leave.
	faulty bool
	handle int
}

func newMemoryWorld(t *testing.T, seed uint64, ply Policy, faulty bool) *memoryWorld {
	out := &effects{freed: map[string][]string{}, decisions: map[string]Decision{}}
	wld := &memoryWorld{t: t, rnd: rand.New(rand.NewPCG(seed, 3)), out: out, now: start, faulty: faulty}
	wld.sch = New(out, rates.NewLimiter()).WithPolicy(ply)
	for num := range 3 {
		wld.servers = append(wld.servers, entry("first", fmt.Sprintf("f%d", num), "z"), entry("second", fmt.Sprintf("s%d", num), "z"))
	}
	wld.servers = append(wld.servers, entry("model", "m", "z"))
	wld.configure()
	return wld
}

func (wld *memoryWorld) configure() {
	bat := table.Batch{ConcurrentCalls: 1, QueuedCalls: 2, MaxPieces: 4, CallTime: 20 * time.Millisecond, PieceTime: 2 * time.Millisecond, ResultMemory: 100, ResultLifetime: time.Hour}
	second := bat
	wld.sch.Configure(wld.now, table.New(1, nil, []*table.Service{{Name: "first", Batch: &bat}, {Name: "second", Batch: &second}, {Name: "model", Model: &table.Model{Slots: 4, CacheTokens: 1000}}}, nil, table.Limits{}), wld.servers)
}

// submit adds a job with one to three stages; some enter the pools in the other
// order, if the world is faulty.
func (wld *memoryWorld) submit(num int) {
	spc := Spec{Key: Key{Owner: fmt.Sprint("owner", num%4), ID: fmt.Sprint("r", num)}, Service: "model", Account: fmt.Sprint("account", num%3), Arrived: wld.now, Target: wld.now.Add(time.Second), GiveUp: wld.now.Add(20 * time.Second), Deadline: wld.now.Add(20 * time.Second)}
	names := []string{"first", "second", "second"}
	if wld.faulty && num%5 == 0 {
		names = []string{"second", "first", "first"}
	}
	for stg := range 1 + wld.rnd.IntN(3) {
		row := table.Stage{Service: names[stg], ResultSize: 7 + 12*wld.rnd.Int64N(2)}
		if stg > 0 {
			row.DependsOn = []int{stg - 1}
		}
		spc.Stages, spc.Pieces = append(spc.Stages, row), append(spc.Pieces, 1+wld.rnd.IntN(6))
	}
	wld.sch.Submit(wld.now, spc)
}

// step lets 10 ms pass: one call ends, and engines answer.
func (wld *memoryWorld) step() {
	wld.now = wld.now.Add(10 * time.Millisecond)
	wld.calls = append(wld.calls, wld.out.takeCalls()...)
	if len(wld.calls) > 0 {
		idx := wld.rnd.IntN(len(wld.calls))
		cal := wld.calls[idx]
		wld.calls = append(wld.calls[:idx], wld.calls[idx+1:]...)
		wld.end(cal)
	}
	for id, dec := range wld.out.decisions {
		if dec.Outcome == Placed {
			delete(wld.out.decisions, id)
			wld.sch.Began(wld.now, dec.Key)
			wld.sch.Ended(wld.now, dec.Key, place.Done)
		}
	}
	if wld.faulty && wld.rnd.IntN(40) == 0 {
		wld.fail()
	}
	wld.sch.Tick(wld.now)
	for _, pol := range wld.sch.pools {
		for _, ser := range pol.servers {
			require.LessOrEqual(wld.t, ser.usedBytes, pol.svc.Batch.ResultMemory)
			require.GreaterOrEqual(wld.t, ser.usedBytes, int64(0))
		}
	}
}

func (wld *memoryWorld) end(cal Call) {
	res := make([]Result, len(cal.Items))
	for idx := range res {
		wld.handle++
		res[idx] = Result{Handle: fmt.Sprint(wld.handle)}
		if wld.faulty && wld.rnd.IntN(30) == 0 {
			res[idx] = Result{Status: []PieceStatus{Late, InputGone, OutOfMemory, OtherError}[wld.rnd.IntN(4)]}
		}
	}
	sta := Answered
	if wld.faulty && wld.rnd.IntN(30) == 0 {
		sta = []CallStatus{Full, WrongServer, NoReply}[wld.rnd.IntN(3)]
	}
	wld.sch.CallEnded(wld.now, cal.Number, res, sta)
}

// fail restarts a server, or lets a caller or an entry instance leave.
func (wld *memoryWorld) fail() {
	switch num := wld.rnd.IntN(100); {
	case num < 40:
		wld.servers[num%6].StartedAt++
		wld.configure()
	case num < 98:
		for key, job := range wld.sch.jobs {
			wld.sch.Cancel(wld.now, key)
			require.False(wld.t, job.holdsResults())
			for _, pol := range wld.sch.pools {
				require.NotContains(wld.t, pol.begun, job)
			}
			return
		}
	default:
		wld.sch.CancelOwner(wld.now, fmt.Sprint("owner", num%4))
	}
}

// run submits jobs at once and returns the number that are left after some time.
func (wld *memoryWorld) run(jobs int, most time.Duration) int {
	for num := range jobs {
		wld.submit(num)
	}
	for end := wld.now.Add(most); wld.now.Before(end) && wld.sch.Jobs() > 0; {
		wld.step()
	}
	return wld.sch.Jobs()
}

// Jobs that wait for each other's memory must not stand until results expire.
func TestBegunJobsFinish(t *testing.T) {
	stalled := 0
	for seed := range uint64(20) {
		wld := newMemoryWorld(t, seed, Policy{AdmitAll: true, KeepInfeasible: true}, false)
		require.Zero(t, wld.run(60, 15*time.Second), "seed %d", seed)
		stalled += min(1, newMemoryWorld(t, seed, Policy{AdmitAll: true, KeepInfeasible: true, HoldAndWait: true, UnboundedHolding: true}, false).run(60, 15*time.Second))
	}
	require.Greater(t, stalled, 3, "the load must need reservations")
}

// Failures must leave neither reservations nor memory behind, and every job must
// be decided before its caller gives up.
func TestMemoryIsReleasedAfterFailures(t *testing.T) {
	for seed := range uint64(60) {
		wld := newMemoryWorld(t, seed, Policy{AdmitAll: true}, true)
		require.Zero(t, wld.run(60, 20*time.Second), "seed %d", seed)
		for len(wld.sch.inFlight) > 0 {
			wld.step()
		}
		for name, pol := range wld.sch.pools {
			for _, ser := range pol.servers {
				require.Zero(t, ser.usedBytes, "seed %d, %s", seed, ser.ent.ID)
				require.Empty(t, ser.results)
			}
			require.Empty(t, pol.holding, "seed %d, %s", seed, name)
			require.Empty(t, pol.begun, "seed %d, %s", seed, name)
			require.Zero(t, pol.claimed())
		}
	}
}

// A job whose results no empty pool could hold must be refused at once.
func TestTooLargeJobIsRefused(t *testing.T) {
	sch, out := newScheduler(testServers...)
	sch.Submit(start, spec("fits", 18, 1))
	sch.Submit(start, spec("large", 19, 1))
	require.Equal(t, Refused, out.decisions["large"].Outcome)
	require.Equal(t, reasonNoServer, out.decisions["large"].Reason)
	require.Equal(t, 1, sch.Jobs())
}
