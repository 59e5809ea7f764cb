package field

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// span is when something was disturbed; an open one has no end yet. Checks
// with a bound in time hold only where nothing was disturbed.
type span struct {
	from, to time.Time
	// planned marks a planned stop or a server that leaves, which excuse little.
	planned bool
	// instance is nil where more than one is concerned.
	instance *instance
	name     string
}

// fault is one kind of trouble; it mends itself before it returns.
type fault struct {
	name    string
	planned bool
	run     func(brk *breaker, ctx context.Context) error
}

// faults are drawn with equal chance.
var faults = []fault{
	{"instance-killed", false, (*breaker).killInstance},
	{"instance-stopped", true, (*breaker).stopInstance},
	{"instance-paused", false, (*breaker).pauseInstance},
	{"instance-paused-long", false, (*breaker).pauseLong},
	{"instance-reloaded", true, (*breaker).reloadInstance},
	{"clock-stepped", true, (*breaker).stepClock},
	{"clock-behind-at-start", true, (*breaker).startBehind},
	{"all-killed", false, (*breaker).killAll},
	{"server-crashed", false, (*breaker).crashServer},
	{"server-reborn", false, (*breaker).rebearServer},
	{"server-left", true, (*breaker).leaveServer},
	{"server-announced", true, (*breaker).announceLeaving},
	{"server-pauses", true, (*breaker).pauseServer},
	{"server-odd", false, (*breaker).oddServer},
	{"server-limits", true, (*breaker).limitServers},
	{"server-replaced", false, (*breaker).replaceAddress},
	{"server-link", false, (*breaker).harmServer},
	{"peer-link", false, (*breaker).harmPeer},
	{"zone-cut", false, (*breaker).cutZone},
	{"zone-evacuated", true, (*breaker).evacuateZone},
	{"store-down", false, (*breaker).downStore},
	{"store-link", false, (*breaker).harmStore},
	{"store-compacted", true, (*breaker).compactStore},
	{"entries-lapsed", false, (*breaker).lapseEntries},
	{"entries-foreign", true, (*breaker).foreignEntries},
	{"configs-in-a-row", true, (*breaker).publishRow},
}

// breaker makes one fault with luck of its own.
type breaker struct {
	fld *Field
	rng *rand.Rand
}

// breakThings starts faults until the context ends, some while others stand,
// and waits for the last.
func (fld *Field) breakThings(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(fld.opt.Seed, 1))
	under := newGate()
	begun := time.Now()
	for pause(ctx, time.Duration((0.5+rng.Float64())*float64(fld.opt.Every))) {
		flt := fld.draw(rng, int(time.Since(begun)/phase)%2 == 1)
		brk := &breaker{fld: fld, rng: rand.New(rand.NewPCG(rng.Uint64(), 3))}
		fld.mu.Lock()
		fld.faults[flt.name]++
		fld.mu.Unlock()
		under.add()
		fld.grp.Go(func(ctx context.Context) error {
			defer under.done()
			if err := flt.run(brk, ctx); err != nil && ctx.Err() == nil {
				fld.problem("%s: %v", flt.name, err)
			}
			return nil
		})
	}
	under.wait()
	return nil
}

// phase is how long all faults come before a time of planned ones alone, in
// which promises with a bound in time can be checked, and the other way round.
const phase = 12 * time.Second

func (fld *Field) draw(rng *rand.Rand, planned bool) fault {
	var all, list []fault
	for _, flt := range faults {
		if len(fld.opt.Only) > 0 && !slices.Contains(fld.opt.Only, flt.name) {
			continue
		}
		all = append(all, flt)
		if flt.planned || !planned {
			list = append(list, flt)
		}
	}
	if len(list) == 0 {
		list = all
	}
	return list[rng.IntN(len(list))]
}

// checkOnly refuses names that no fault has.
func checkOnly(only []string) error {
	for _, name := range only {
		if !slices.ContainsFunc(faults, func(flt fault) bool { return flt.name == name }) {
			return errors.Errorf("no fault is called %q", name)
		}
	}
	return nil
}

// open notes that a disturbance begins; the function returned ends it.
func (fld *Field) open(name string, planned bool, ins *instance) func() {
	fld.mu.Lock()
	defer fld.mu.Unlock()
	idx := len(fld.spans)
	fld.spans = append(fld.spans, span{from: time.Now(), name: name, planned: planned, instance: ins})
	fmt.Fprintf(fld.opt.Out, "%s %s\n", time.Now().Format("15:04:05.000"), name)
	return func() {
		fld.mu.Lock()
		defer fld.mu.Unlock()
		fld.spans[idx].to = time.Now()
	}
}

// length draws how long a fault stands.
func (brk *breaker) length() time.Duration {
	return time.Second + time.Duration(brk.rng.Int64N(int64(3*time.Second)))
}

// gate counts faults under way.
type gate struct {
	tokens chan struct{}
}

// mostAtOnce is how many faults may stand at the same time.
const mostAtOnce = 4

func newGate() *gate { return &gate{tokens: make(chan struct{}, mostAtOnce)} }

func (gat *gate) add() { gat.tokens <- struct{}{} }

func (gat *gate) done() { <-gat.tokens }

func (gat *gate) wait() {
	for range mostAtOnce {
		gat.add()
	}
}
