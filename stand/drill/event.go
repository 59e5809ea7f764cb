package drill

import (
	"context"
	"fmt"
	"io"
	"syscall"
	"time"

	"lovagestream/core"
	"lovagestream/core/fleet"
	"lovagestream/io/clock"
)

// cost is the resources that the fleet has used since its start.
type cost struct {
	at       time.Time
	bytes    int64
	messages int64
	cpu      time.Duration
	calls    int64
}

func (fle *Fleet) currentCost() cost {
	cst := cost{at: time.Now(), bytes: fle.net.bytes.Load(), calls: fle.plt.Calls() + fle.outage.refused.Load()}
	for _, nod := range fle.nodes {
		cst.messages += nod.transport.Counts().SentMessages()
	}
	var use syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &use) == nil {
		cst.cpu = time.Duration(use.Utime.Nano() + use.Stime.Nano())
	}
	return cst
}

// row is a line of the table: duration and costs of an event.
type row struct {
	name     string
	duration time.Duration
	err      error
	before   cost
	after    cost
	nodes    int
}

const tableHead = "event                        in force after   bytes/inst/s  msgs/inst/s  cpu ms/inst/s  platform calls/s\n"

func (row row) write(out io.Writer) {
	sec := row.after.at.Sub(row.before.at).Seconds()
	per := sec * float64(row.nodes)
	took := "-"
	switch {
	case row.err != nil:
		took = "FAILED: " + row.err.Error()
	case row.duration > 0:
		took = row.duration.Round(time.Millisecond).String()
	}
	cpu := float64((row.after.cpu - row.before.cpu).Microseconds()) / 1000
	fmt.Fprintf(out, "%-28s %14s   %12.0f  %11.1f  %13.2f  %16.2f\n", row.name, took,
		float64(row.after.bytes-row.before.bytes)/per, float64(row.after.messages-row.before.messages)/per, cpu/per,
		float64(row.after.calls-row.before.calls)/sec)
}

// runEvent runs an action, which waits until its effect is in force everywhere, and
// prints a row. Costs are measured over at least minWindow. It reports whether the
// action succeeded.
func (fle *Fleet) runEvent(ctx context.Context, out io.Writer, name string, minWindow time.Duration, action func() (time.Duration, error)) bool {
	got := row{name: name, before: fle.currentCost(), nodes: len(fle.liveNodes())}
	got.duration, got.err = action()
	if rest := minWindow - time.Since(got.before.at); rest > 0 && got.err == nil {
		select {
		case <-ctx.Done():
		case <-time.After(rest):
		}
	}
	got.after = fle.currentCost()
	got.write(out)
	return got.err == nil
}

// settleTime is the wait before costs without an event are measured.
const settleTime = 5 * time.Second

// listDelay is the delay until the instance list drops a crashed instance.
const listDelay = 3 * time.Second

// minCostWindow is the least time over which the costs of an event are measured.
const minCostWindow = 3 * time.Second

// Run starts a fleet, runs all events and prints a row for each. It reports whether
// all of them succeeded.
func Run(ctx context.Context, out io.Writer, opt Options, keyFile string) (bool, error) {
	fle, err := start(ctx, opt, keyFile)
	if err != nil {
		return false, err
	}
	fmt.Fprintf(out, "instances %d, zones %d, accounts %d, document %d bytes, links secured %t, seed %d\n", opt.instances, opt.zones, opt.accounts, len(document(1, "ordinary", opt)), opt.sharedKey, opt.seed)
	fmt.Fprint(out, "bytes are TCP payload between instances, each byte counted once; CPU time is that of the whole process, with the simulated platform\n\n")
	fmt.Fprint(out, tableHead)
	good := fle.runEvents(ctx, out)
	return good, fle.stop()
}

func (fle *Fleet) runEvents(ctx context.Context, out io.Writer) bool {
	good := fle.runEvent(ctx, out, "all start at once", minCostWindow, func() (time.Duration, error) { return fle.waitFor(ctx, fle.inForce) })
	fle.runEvent(ctx, out, "links settle", 0, func() (time.Duration, error) { return 0, sleep(ctx, min(fle.opt.idleTime, settleTime)) })
	good = fle.runEvent(ctx, out, "idle, no requests", 0, func() (time.Duration, error) { return 0, sleep(ctx, fle.opt.idleTime) }) && good
	fle.addDemand()
	fle.runEvent(ctx, out, "requests begin", 0, func() (time.Duration, error) { return 0, sleep(ctx, min(fle.opt.idleTime, settleTime)) })
	good = fle.runEvent(ctx, out, "steady, with requests", 0, func() (time.Duration, error) { return 0, sleep(ctx, fle.opt.idleTime) }) && good
	good = fle.runEvent(ctx, out, "preset switch", minCostWindow, func() (time.Duration, error) {
		fle.publish("peak")
		return fle.waitFor(ctx, fle.inForce)
	}) && good
	good = fle.serverLeaves(ctx, out) && good
	good = fle.killInstance(ctx, out) && good
	good = fle.platformDown(ctx, out) && good
	if fle.opt.zones > 1 {
		good = fle.cutZone(ctx, out) && good
	}
	return good
}

func sleep(ctx context.Context, length time.Duration) error {
	return clock.System{}.Sleep(ctx, length)
}

// addDemand sets the demand at every instance on random accounts, well below their
// contracts, and on the first account, 90% of its contract over all instances.
func (fle *Fleet) addDemand() {
	for _, nod := range fle.nodes {
		for range fle.opt.activeAccounts {
			nod.setDemand(fmt.Sprintf("account-%d", 2+fle.rng.IntN(max(1, fle.opt.accounts-1))), fle.opt.rate/float64(fle.opt.activeAccounts))
		}
		nod.setDemand("account-1", 0.9*rate/float64(len(fle.nodes)))
	}
}

func (fle *Fleet) serverLeaves(ctx context.Context, out io.Writer) bool {
	return fle.runEvent(ctx, out, "server leaving", minCostWindow, func() (time.Duration, error) {
		fle.nodes[0].post(ctx, core.NewServerLeaving("backend-1"))
		return fle.waitFor(ctx, func(nod *node) bool {
			for _, srv := range nod.lop.View().Servers("services") {
				if srv.ID() == "backend-1" {
					return false
				}
			}
			return true
		})
	})
}

// killInstance kills the last instance. Its demand moves to another instance of its
// zone, or else to the first instance; the instance list drops it after listDelay.
func (fle *Fleet) killInstance(ctx context.Context, out io.Writer) bool {
	last := fle.nodes[len(fle.nodes)-1]
	successor := fle.nodes[0]
	for _, nod := range fle.nodes[:len(fle.nodes)-1] {
		if nod.zone == last.zone {
			successor = nod
		}
	}
	return fle.runEvent(ctx, out, "instance killed", minCostWindow, func() (time.Duration, error) {
		last.kill()
		fle.grp.Go(func(gctx context.Context) error {
			_ = sleep(gctx, listDelay)
			return fle.publishList()
		})
		need := 2 * 0.9 * rate / float64(len(fle.nodes))
		successor.setDemand("account-1", need)
		return fle.waitFor(ctx, func(nod *node) bool {
			for _, mem := range nod.lop.View().Members() {
				if mem.ID() == last.id && mem.Linked() && mem.State() == fleet.Live {
					return false
				}
			}
			return nod != successor || nod.share("account-1")*rate >= 0.95*need
		})
	})
}

// platformDown takes the platform down and publishes a document when it comes back.
func (fle *Fleet) platformDown(ctx context.Context, out io.Writer) bool {
	good := fle.runEvent(ctx, out, "platform down", 0, func() (time.Duration, error) {
		fle.outage.active.Store(true)
		return 0, sleep(ctx, fle.opt.outageTime)
	})
	return fle.runEvent(ctx, out, "platform back, new config", minCostWindow, func() (time.Duration, error) {
		fle.publish("maintenance")
		fle.outage.active.Store(false)
		return fle.waitFor(ctx, fle.inForce)
	}) && good
}

// cutZone partitions the first zone from the other zones, with the platform down
// for all. A document then reaches one instance, and must spread to all once the
// partition ends.
func (fle *Fleet) cutZone(ctx context.Context, out io.Writer) bool {
	zone := fle.zone(0)
	good := fle.runEvent(ctx, out, "zone cut: detected", minCostWindow, func() (time.Duration, error) {
		fle.net.setCut("127.0.1.", true)
		fle.outage.active.Store(true)
		return fle.waitFor(ctx, func(nod *node) bool {
			for _, mem := range nod.lop.View().Members() {
				crossZone := (nod.zone == zone) != (mem.Zone() == zone)
				if crossZone && mem.Linked() && mem.State() == fleet.Live {
					return false
				}
			}
			return true
		})
	})
	good = fle.runEvent(ctx, out, "zone cut: ongoing", 0, func() (time.Duration, error) { return 0, sleep(ctx, fle.opt.outageTime) }) && good
	return fle.runEvent(ctx, out, "zone rejoins, new config", minCostWindow, func() (time.Duration, error) {
		fle.publish("ordinary")
		fle.nodes[len(fle.nodes)-2].post(ctx, core.NewConfigRead(core.SourcePlatform, document(fle.revision, "ordinary", fle.opt)))
		fle.net.setCut("127.0.1.", false)
		took, err := fle.waitFor(ctx, fle.inForce)
		fle.outage.active.Store(false)
		return took, err
	}) && good
}
