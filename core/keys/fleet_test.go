package keys

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lovagestream/core/result"
)

// A family registers once. The answer is late, so the counter sends the same
// request again, to another entry instance, while links lose, double, delay
// and reorder what the instances say, zones are cut off, and instances are
// paused or restarted. Whatever happens, the charge leaves once at most, and
// whoever was told "not run" is told the truth about every copy.
func TestFleetKeyHasOneExecutor(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fle := newFleet(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"send":    fle.sendRequest,
			"work":    fle.work,
			"deliver": fle.deliver,
			"settle":  fle.settle,
			"issue":   fle.issue,
			"lose":    fle.lose,
			"double":  fle.double,
			"pass":    fle.pass,
			"pause":   fle.pause,
			"cut":     fle.cut,
			"restart": fle.restart,
			"":        fle.check,
		})
	})
}

const (
	nodes   = 3
	maxKeys = 4
	// runs of the driver reach past the end of a key's life.
	testLife = 4 * time.Second
)

type node struct {
	par    *Part
	paused bool
	// inbox holds what callers sent during a pause.
	inbox []*mailed
	// number of the last ask; it begins again with each start.
	number uint64
}

// run is a request with a claim, under way at a node.
type run struct {
	at   int
	par  *Part
	clm  *Claim
	sent bool
}

type letter struct {
	from, to int
	msg      Message
}

// history is what an observer outside of the fleet knows about one key.
type history struct {
	key     Key
	crossed int
	// calls counts calls that left under the key, of any kind.
	calls int
	// refused is when a caller was last told "not run".
	refused time.Time
	// asks holds when each copy of the request arrived.
	asks map[Ask]time.Time
}

type fleet struct {
	now    time.Time
	nodes  []*node
	mail   []letter
	cuts   map[[2]int]bool
	hists  []*history
	runs   []*run
	starts uint64
	bound  int
	fault  string
}

func newFleet(rt *rapid.T) *fleet {
	fle := &fleet{now: time.Unix(1000, 0), cuts: map[[2]int]bool{}, bound: rapid.IntRange(1, 4).Draw(rt, "bound")}
	for i := range nodes {
		fle.nodes = append(fle.nodes, &node{par: fle.start(i)})
	}
	fle.issue(rt)
	return fle
}

// issue hands out one more key.
func (fle *fleet) issue(rt *rapid.T) {
	_, nod := fle.pick(rt)
	if len(fle.hists) == maxKeys {
		rt.Skip("enough keys")
	}
	key := nod.par.Issue(fle.now, "family", 1)[0]
	fle.hists = append(fle.hists, &history{key: key, asks: map[Ask]time.Time{}})
}

func name(i int) string { return fmt.Sprintf("entry-%d", i) }

func (fle *fleet) start(i int) *Part {
	fle.starts++
	opt := DefaultOptions().WithTimes(testLife, testLife).WithBounds(fle.bound, 8, 4, 1<<10, 1<<10)
	return New(NewOrigin(name(i), fle.starts), opt, fle.now)
}

func (fle *fleet) pick(rt *rapid.T) (int, *node) {
	i := rapid.IntRange(0, nodes-1).Draw(rt, "node")
	if fle.nodes[i].paused {
		rt.Skip("paused")
	}
	return i, fle.nodes[i]
}

// sendRequest is a caller that sends the request, or sends it again.
func (fle *fleet) sendRequest(rt *rapid.T) {
	i := rapid.IntRange(0, nodes-1).Draw(rt, "node")
	his := rapid.SampledFrom(fle.hists).Draw(rt, "key")
	account := rapid.SampledFrom([]string{"family", "family", "family", "stranger"}).Draw(rt, "account")
	wait := time.Duration(rapid.IntRange(1, 60).Draw(rt, "wait")) * 100 * time.Millisecond
	mld := &mailed{his: his, account: account, at: fle.now, wait: wait}
	if nod := fle.nodes[i]; nod.paused {
		nod.inbox = append(nod.inbox, mld)
		return
	}
	fle.want(i, mld)
}

// mailed is a request as the caller sent it.
type mailed struct {
	his     *history
	account string
	at      time.Time
	wait    time.Duration
}

// want is a node that reads a request.
func (fle *fleet) want(i int, mld *mailed) {
	nod := fle.nodes[i]
	nod.number++
	mld.his.asks[NewAsk(nod.par.Self(), nod.number)] = mld.at
	wtd := NewWanted(nod.number, mld.his.key, mld.account, Digest{1}, fle.now, fle.now.Add(mld.wait))
	fle.take(i, nod.par.Want(fle.now, wtd))
}

// take carries out what a node decided.
func (fle *fleet) take(i int, outs []Out) {
	for _, out := range outs {
		if out.msg == nil {
			fle.verdict(i, out)
			continue
		}
		for j := range fle.nodes {
			if name(j) == out.to {
				fle.mail = append(fle.mail, letter{from: i, to: j, msg: out.msg})
			}
		}
	}
}

func (fle *fleet) verdict(i int, out Out) {
	par := fle.nodes[i].par
	if clm := out.ver.claim; clm != nil {
		fle.runs = append(fle.runs, &run{at: i, par: par, clm: clm})
		return
	}
	if dny := out.ver.denial; dny != nil && dny.outcome == result.NotRun {
		fle.notRun(NewAsk(par.Self(), out.number))
	}
}

func (fle *fleet) history(ask Ask) *history {
	for _, his := range fle.hists {
		if _, found := his.asks[ask]; found {
			return his
		}
	}
	return nil
}

func (fle *fleet) notRun(ask Ask) {
	his := fle.history(ask)
	his.refused = fle.now
	if his.calls > 0 {
		fle.fault = "not run was told after a call had left"
	}
}

// work takes a run one step on. A run of a restarted node is gone.
func (fle *fleet) work(rt *rapid.T) {
	if len(fle.runs) == 0 {
		rt.Skip("no run")
	}
	idx := rapid.IntRange(0, len(fle.runs)-1).Draw(rt, "run")
	run := fle.runs[idx]
	if fle.nodes[run.at].paused {
		rt.Skip("paused")
	}
	step := rapid.SampledFrom([]string{"call", "cross", "answer", "refuse"}).Draw(rt, "step")
	if run.par != fle.nodes[run.at].par {
		fle.runs = append(fle.runs[:idx], fle.runs[idx+1:]...)
		return
	}
	if (step == "call" || step == "cross") && run.clm.Check(fle.now) == nil {
		fle.call(run, step == "cross")
		return
	}
	fle.runs = append(fle.runs[:idx], fle.runs[idx+1:]...)
	fle.take(run.at, run.par.End(fle.now, fle.finish(run, step)))
}

func (fle *fleet) call(run *run, cross bool) {
	his := fle.history(NewAsk(run.par.Self(), run.clm.Number()))
	if his.asks[NewAsk(run.par.Self(), run.clm.Number())].Before(his.refused) {
		fle.fault = "a copy from before the refusal was run after it"
	}
	his.calls++
	run.sent = true
	if cross && !run.clm.Crossed() {
		run.clm.Cross()
		his.crossed++
	}
}

func (fle *fleet) finish(run *run, step string) Finish {
	if step == "answer" && run.clm.Crossed() {
		return run.clm.Complete([]byte("answer"))
	}
	var prf result.Proof
	if run.sent || run.clm.Dirty() {
		prf.Sending("stage")
	}
	rfl := prf.Refuse(result.StageFailed, 0, nil, "")
	if rfl.Outcome() == result.NotRun {
		fle.notRun(NewAsk(run.par.Self(), run.clm.Number()))
	}
	return run.clm.Refuse(rfl)
}

func (fle *fleet) letter(rt *rapid.T) int {
	if len(fle.mail) == 0 {
		rt.Skip("no mail")
	}
	return rapid.IntRange(0, len(fle.mail)-1).Draw(rt, "letter")
}

// deliver hands any message over, the oldest or not.
func (fle *fleet) deliver(rt *rapid.T) {
	idx := fle.letter(rt)
	let := fle.mail[idx]
	if fle.nodes[let.to].paused || fle.cuts[[2]int{let.from, let.to}] {
		rt.Skip("not reachable")
	}
	fle.mail = append(fle.mail[:idx], fle.mail[idx+1:]...)
	fle.take(let.to, fle.nodes[let.to].par.Hear(fle.now, name(let.from), let.msg))
}

// settle is a fleet in good order for a moment: all mail arrives in order.
func (fle *fleet) settle(*rapid.T) {
	for left := len(fle.mail) + 8; left > 0 && len(fle.mail) > 0; left-- {
		let := fle.mail[0]
		fle.mail = fle.mail[1:]
		if !fle.nodes[let.to].paused && !fle.cuts[[2]int{let.from, let.to}] {
			fle.take(let.to, fle.nodes[let.to].par.Hear(fle.now, name(let.from), let.msg))
		}
	}
}

func (fle *fleet) lose(rt *rapid.T) {
	idx := fle.letter(rt)
	fle.mail = append(fle.mail[:idx], fle.mail[idx+1:]...)
}

func (fle *fleet) double(rt *rapid.T) {
	fle.mail = append(fle.mail, fle.mail[fle.letter(rt)])
}

// pass lets time go by; paused nodes do not notice.
func (fle *fleet) pass(rt *rapid.T) {
	const tick = 100 * time.Millisecond
	wait := time.Duration(rapid.SampledFrom([]int{1, 10, 100, 300, 1200, 5000}).Draw(rt, "millis")) * time.Millisecond
	for end := fle.now.Add(wait); fle.now.Before(end); {
		fle.now = fle.now.Add(min(tick, end.Sub(fle.now)))
		for i, nod := range fle.nodes {
			if !nod.paused {
				fle.take(i, nod.par.Tick(fle.now))
			}
		}
	}
}

func (fle *fleet) pause(rt *rapid.T) {
	i := rapid.IntRange(0, nodes-1).Draw(rt, "node")
	nod := fle.nodes[i]
	nod.paused = !nod.paused
	inbox := nod.inbox
	nod.inbox = nil
	for _, mld := range inbox {
		fle.want(i, mld)
	}
}

func (fle *fleet) cut(rt *rapid.T) {
	pair := [2]int{rapid.IntRange(0, nodes-1).Draw(rt, "from"), rapid.IntRange(0, nodes-1).Draw(rt, "to")}
	fle.cuts[pair] = !fle.cuts[pair]
}

func (fle *fleet) restart(rt *rapid.T) {
	i, nod := fle.pick(rt)
	nod.par, nod.number = fle.start(i), 0
}

func (fle *fleet) check(rt *rapid.T) {
	require.Empty(rt, fle.fault)
	for _, his := range fle.hists {
		require.LessOrEqual(rt, his.crossed, 1, "key %v crossed twice", his.key)
	}
}
