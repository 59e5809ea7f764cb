package replay

import (
	"fmt"
	"slices"
	"time"

	"lovagestream/core/sched"
	"lovagestream/core/stock"
)

// maxQueuedCalls is the most calls that may wait at a server.
const maxQueuedCalls = 2

// server is a simulated stage server, which runs one call at a time.
type server struct {
	sim      *simulation
	ent      stock.Entry
	pol      Pool
	slowdown float64
	down     bool
	// busy is set while a call runs; queue holds the calls that wait.
	busy    bool
	queue   []*receivedCall
	used    int64
	results map[string]int64
	handles int
	// incarnation distinguishes calls from before and after a crash.
	incarnation int
}

type receivedCall struct {
	ins *instance
	cal sched.Call
}

func newServer(sim *simulation, ent stock.Entry, pol Pool) *server {
	return &server{sim: sim, ent: ent, pol: pol, slowdown: 1, results: map[string]int64{}}
}

// Call sends a call to its server.
func (ins *instance) Call(cal sched.Call) {
	ser := ins.sim.servers[cal.Server.ID]
	ins.sim.after(networkDelay, func() { ser.enqueue(&receivedCall{ins: ins, cal: cal}) })
}

// CancelCall does nothing: a server finishes the call that it runs.
func (*instance) CancelCall(uint64) {}

// FreeResults releases results at their server.
func (ins *instance) FreeResults(address string, handles []string) {
	ser := ins.sim.servers[address]
	ins.sim.after(networkDelay, func() {
		for _, han := range handles {
			ser.release(han)
		}
	})
}

func (ser *server) release(handle string) {
	ser.used -= ser.results[handle]
	delete(ser.results, handle)
}

func (ser *server) crash() {
	ser.down = true
	ser.incarnation++
	ser.busy = false
	ser.queue = nil
	ser.used = 0
	ser.results = map[string]int64{}
}

// dropCalls removes the queued calls of a lost instance. Its running call goes
// on, but nobody receives the reply.
func (ser *server) dropCalls(ins *instance) {
	ser.queue = slices.DeleteFunc(ser.queue, func(got *receivedCall) bool { return got.ins == ins })
}

func (ser *server) enqueue(got *receivedCall) {
	switch {
	case ser.down:
	case !ser.busy:
		ser.execute(got)
	case len(ser.queue) < maxQueuedCalls:
		ser.queue = append(ser.queue, got)
	default:
		ser.reply(got, nil, sched.Full)
	}
}

func (ser *server) reply(got *receivedCall, results []sched.Result, how sched.CallStatus) {
	ser.sim.after(networkDelay, func() {
		if !got.ins.lost {
			got.ins.sch.CallEnded(ser.sim.now, got.cal.Number, results, how)
		}
	})
}

func (ser *server) execute(got *receivedCall) {
	ser.busy = true
	took := time.Duration(0)
	results := make([]sched.Result, len(got.cal.Items))
	var sizes []int64
	for idx, itm := range got.cal.Items {
		req := ser.sim.requestOf(itm.ID)
		stg := req.kind.Stages[itm.Stage]
		results[idx] = ser.makeResult(itm, stg)
		if results[idx].Status == sched.Completed {
			took += time.Duration(stg.Work * float64(ser.pol.PieceTime))
		}
		sizes = append(sizes, stg.ResultSize)
	}
	// A call that produces no result ends at once.
	if took > 0 {
		took += ser.pol.CallTime.d()
	} else {
		ser.sim.res.EmptyCalls++
	}
	took = time.Duration(float64(took) * ser.slowdown)
	life := ser.incarnation
	ser.sim.after(took, func() {
		if ser.incarnation == life {
			ser.finish(got, results, sizes, took)
		}
	})
}

// makeResult reserves memory for a result when its call starts to run.
func (ser *server) makeResult(itm sched.Item, stg Stage) sched.Result {
	for _, han := range itm.Inputs {
		if !ser.sim.fetchInput(han, ser, stg) {
			return sched.Result{Status: sched.InputGone}
		}
	}
	if ser.used+stg.ResultSize > ser.pol.ResultMemory {
		return sched.Result{Status: sched.OutOfMemory}
	}
	ser.handles++
	han := fmt.Sprintf("%s/%d", ser.ent.ID, ser.handles)
	ser.used += stg.ResultSize
	ser.results[han] = stg.ResultSize
	return sched.Result{Handle: han}
}

func (ser *server) finish(got *receivedCall, results []sched.Result, _ []int64, took time.Duration) {
	for idx, itm := range got.cal.Items {
		req := ser.sim.requestOf(itm.ID)
		if req.ended {
			ser.sim.res.Wasted += took.Seconds() / float64(len(got.cal.Items))
		}
		if han := results[idx].Handle; han != "" {
			ser.sim.after(ser.pol.ResultLifetime.d(), func() { ser.release(han) })
		}
	}
	ser.reply(got, results, sched.Answered)
	ser.busy = false
	if len(ser.queue) > 0 {
		nxt := ser.queue[0]
		ser.queue = ser.queue[1:]
		ser.execute(nxt)
	}
}

// requestOf returns the request that an attempt belongs to.
func (sim *simulation) requestOf(id string) *request {
	return sim.byKey[sched.Key{Owner: "me", ID: id}]
}

// fetchInput reports whether a result exists, and counts its bytes if it is sent
// to another zone.
func (sim *simulation) fetchInput(handle string, to *server, _ Stage) bool {
	for _, ser := range sim.servers {
		num, have := ser.results[handle]
		if !have {
			continue
		}
		if ser.ent.Zone != to.ent.Zone {
			sim.crossZone += num
		}
		return true
	}
	return false
}
