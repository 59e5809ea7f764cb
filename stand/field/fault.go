package field

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/pkg/errors"

	"lovagestream/stand/proxy"
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
	{"instance-reloaded", true, (*breaker).reloadInstance},
	{"all-killed", false, (*breaker).killAll},
	{"server-crashed", false, (*breaker).crashServer},
	{"server-reborn", false, (*breaker).rebearServer},
	{"server-left", true, (*breaker).leaveServer},
	{"server-odd", false, (*breaker).oddServer},
	{"server-replaced", false, (*breaker).replaceAddress},
	{"server-link", false, (*breaker).harmServer},
	{"peer-link", false, (*breaker).harmPeer},
	{"zone-cut", false, (*breaker).cutZone},
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
		flt := draw(rng, int(time.Since(begun)/phase)%2 == 1)
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

func draw(rng *rand.Rand, planned bool) fault {
	for {
		flt := faults[rng.IntN(len(faults))]
		if flt.planned || !planned {
			return flt
		}
	}
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

// take draws an instance that no fault holds, or nil.
func (brk *breaker) take() *instance {
	brk.fld.mu.Lock()
	defer brk.fld.mu.Unlock()
	var free []*instance
	for _, ins := range brk.fld.instances {
		if !ins.busy {
			free = append(free, ins)
		}
	}
	if len(free) == 0 {
		return nil
	}
	ins := free[brk.rng.IntN(len(free))]
	ins.busy = true
	return ins
}

func (brk *breaker) give(ins *instance) {
	brk.fld.mu.Lock()
	defer brk.fld.mu.Unlock()
	ins.busy = false
}

// kept moves the lines of an ended process to its instance.
func (fld *Field) kept(ins *instance) {
	fld.mu.Lock()
	defer fld.mu.Unlock()
	ins.logs += ins.prc.Log()
}

// onInstance runs a fault on one instance.
func (brk *breaker) onInstance(name string, planned bool, run func(ins *instance) error) error {
	ins := brk.take()
	if ins == nil {
		return nil
	}
	defer brk.give(ins)
	end := brk.fld.open(name+" "+ins.boot.Name, planned, ins)
	defer end()
	if !ins.prc.Running() {
		return errors.Errorf("%s ended by itself:\n%s", ins.boot.Name, ins.prc.Log())
	}
	return run(ins)
}

func (brk *breaker) killInstance(ctx context.Context) error {
	return brk.onInstance("instance-killed", false, func(ins *instance) error {
		ins.prc.Kill()
		brk.fld.kept(ins)
		pause(ctx, brk.length()/2)
		return brk.fld.begin(ins)
	})
}

// stopInstance stops an instance as planned. It must end by itself, in time.
func (brk *breaker) stopInstance(ctx context.Context) error {
	return brk.onInstance("instance-stopped", true, func(ins *instance) error {
		begun := time.Now()
		ins.prc.Terminate()
		code, err := ins.prc.Wait()
		took := time.Since(begun)
		brk.fld.kept(ins)
		switch {
		case err != nil:
			return err
		case code != 0 || took > grace+time.Second:
			return errors.Errorf("%s ended with code %d after %s", ins.boot.Name, code, took)
		}
		pause(ctx, brk.length()/4)
		return brk.fld.begin(ins)
	})
}

func (brk *breaker) pauseInstance(ctx context.Context) error {
	return brk.onInstance("instance-paused", false, func(ins *instance) error {
		ins.prc.Pause()
		pause(ctx, brk.length())
		ins.prc.Wake()
		return nil
	})
}

func (brk *breaker) reloadInstance(context.Context) error {
	return brk.onInstance("instance-reloaded", true, func(ins *instance) error {
		ins.prc.Reload()
		return nil
	})
}

// killAll kills all instances that no other fault holds at the same moment.
func (brk *breaker) killAll(ctx context.Context) error {
	var held []*instance
	for ins := brk.take(); ins != nil; ins = brk.take() {
		held = append(held, ins)
	}
	end := brk.fld.open("all-killed", false, nil)
	defer end()
	for _, ins := range held {
		ins.prc.Kill()
		brk.fld.kept(ins)
	}
	pause(ctx, time.Second)
	for _, ins := range held {
		if err := brk.fld.begin(ins); err != nil {
			return err
		}
		brk.give(ins)
	}
	return nil
}

// takeServer draws a server that no fault holds, of a pool with another one.
func (brk *breaker) takeServer() *server {
	fld := brk.fld
	fld.mu.Lock()
	defer fld.mu.Unlock()
	ids := make([]string, 0, len(fld.servers))
	free := map[string]int{}
	for id, ser := range fld.servers {
		if !ser.busy && ser.left.IsZero() {
			ids = append(ids, id)
			free[ser.service]++
		}
	}
	sort.Strings(ids)
	for range ids {
		ser := fld.servers[ids[brk.rng.IntN(len(ids))]]
		if free[ser.service] > 1 {
			ser.busy = true
			return ser
		}
	}
	return nil
}

// onServer runs a fault on one server.
func (brk *breaker) onServer(name string, planned bool, run func(ser *server) error) error {
	ser := brk.takeServer()
	if ser == nil {
		return nil
	}
	end := brk.fld.open(name+" "+ser.fake.ID, planned, nil)
	defer end()
	err := run(ser)
	brk.fld.mu.Lock()
	defer brk.fld.mu.Unlock()
	ser.busy = false
	return err
}

// gone marks when the store took a server's leaving or removal.
func (fld *Field) gone(ser *server) {
	fld.mu.Lock()
	defer fld.mu.Unlock()
	if ser.left.IsZero() {
		ser.left = time.Now()
	}
}

// remove takes a server's entry away.
func (fld *Field) remove(ser *server) {
	fld.sto.Delete("servers/" + ser.fake.ID)
	fld.gone(ser)
}

// crashServer ends a server; the store learns of it late.
func (brk *breaker) crashServer(ctx context.Context) error {
	return brk.onServer("server-crashed", false, func(ser *server) error {
		ser.fake.Close()
		pause(ctx, brk.length())
		brk.fld.remove(ser)
		return brk.fld.addServer(ser.service, ser.kind, ser.zone)
	})
}

// rebearServer lets a server start again under its ID, knowing nothing.
func (brk *breaker) rebearServer(ctx context.Context) error {
	return brk.onServer("server-reborn", false, func(ser *server) error {
		ser.fake.Forget()
		pause(ctx, brk.length()/4)
		ser.fake.Tell(ser.link.Address(), time.Now())
		brk.fld.list(ser, "ready")
		return nil
	})
}

// leaveServer lets a server leave as planned: it says so, works on for a
// while, and goes.
func (brk *breaker) leaveServer(ctx context.Context) error {
	return brk.onServer("server-left", true, func(ser *server) error {
		if err := brk.fld.addServer(ser.service, ser.kind, ser.zone); err != nil {
			return err
		}
		brk.fld.list(ser, "draining")
		brk.fld.gone(ser)
		pause(ctx, drainBound+timeout)
		brk.fld.remove(ser)
		pause(ctx, time.Second)
		ser.fake.Close()
		return nil
	})
}

// odd ways to answer.
var odd = []string{"shed", "error", "busy", "cut", "garble", "foreign", "short", "hang", "slow", "break"}

func (brk *breaker) oddServer(ctx context.Context) error {
	mode := odd[brk.rng.IntN(len(odd))]
	return brk.onServer("server-odd "+mode, false, func(ser *server) error {
		ser.fake.Turn(mode)
		pause(ctx, brk.length())
		ser.fake.Turn("sound")
		return nil
	})
}

// replaceAddress lets another service's server have the address of one that is
// gone, before the store says so.
func (brk *breaker) replaceAddress(ctx context.Context) error {
	return brk.onServer("server-replaced", false, func(ser *server) error {
		oth := brk.takeServer()
		if oth == nil {
			return nil
		}
		ser.link.Aim(oth.fake.Address())
		ser.fake.Close()
		pause(ctx, brk.length())
		brk.fld.remove(ser)
		brk.fld.mu.Lock()
		oth.busy = false
		brk.fld.mu.Unlock()
		return brk.fld.addServer(ser.service, ser.kind, ser.zone)
	})
}

// harms are what a proxy does to a link.
var harms = []proxy.Rule{
	{Mode: proxy.Cut}, {Mode: proxy.Silence}, {Mode: proxy.Hole}, {Mode: proxy.OneWay}, {Mode: proxy.Delay, Wait: 60}, {Mode: proxy.Throttle, Wait: 30},
	{Mode: proxy.Cut, After: 300},
}

// harm breaks links for a while, for all or for one zone's instances.
func (brk *breaker) harm(ctx context.Context, name string, links ...*proxy.Link) error {
	rul := harms[brk.rng.IntN(len(harms))]
	if brk.rng.IntN(2) == 0 {
		rul.Source = brk.fld.source(brk.rng.IntN(len(zones)))
	}
	end := brk.fld.open(fmt.Sprintf("%s %s %s", name, rul.Mode, rul.Source), false, nil)
	defer end()
	for _, lnk := range links {
		lnk.Set([]proxy.Rule{rul})
	}
	pause(ctx, brk.length())
	for _, lnk := range links {
		lnk.Set(nil)
	}
	return nil
}

// source is the beginning of the addresses of a zone's instances.
func (fld *Field) source(zone int) string {
	return fmt.Sprintf("127.%d.%d.", 100+fld.opt.Seed%100, zone+1)
}

func (brk *breaker) harmServer(ctx context.Context) error {
	return brk.onServer("server-link", false, func(ser *server) error {
		return brk.harm(ctx, "server-link "+ser.fake.ID, ser.link)
	})
}

func (brk *breaker) harmPeer(ctx context.Context) error {
	ins := brk.take()
	if ins == nil {
		return nil
	}
	defer brk.give(ins)
	return brk.harm(ctx, "peer-link "+ins.boot.Name, ins.link)
}

func (brk *breaker) harmStore(ctx context.Context) error {
	return brk.harm(ctx, "store-link", brk.fld.storeLink)
}

// cutZone cuts one zone's instances off from the other zones' instances and
// from the store. Faults on single links of the time end with it.
func (brk *breaker) cutZone(ctx context.Context) error {
	zone := brk.rng.IntN(len(zones))
	links := []*proxy.Link{brk.fld.storeLink}
	for _, ins := range brk.fld.instances {
		if ins.zone != zone {
			links = append(links, ins.link)
		}
	}
	modes := []proxy.Mode{proxy.Cut, proxy.Hole}
	rul := proxy.Rule{Mode: modes[brk.rng.IntN(len(modes))], Source: brk.fld.source(zone)}
	end := brk.fld.open(fmt.Sprintf("zone-cut %s %s", rul.Mode, zones[zone]), false, nil)
	defer end()
	for _, lnk := range links {
		lnk.Set([]proxy.Rule{rul})
	}
	pause(ctx, brk.length())
	for _, lnk := range links {
		lnk.Set(nil)
	}
	return nil
}

func (brk *breaker) downStore(ctx context.Context) error {
	silent := brk.rng.IntN(2) == 0
	end := brk.fld.open("store-down", false, nil)
	defer end()
	brk.fld.sto.SetDown(!silent, silent)
	pause(ctx, brk.length())
	brk.fld.sto.SetDown(false, false)
	return nil
}

func (brk *breaker) compactStore(context.Context) error {
	defer brk.fld.open("store-compacted", true, nil)()
	brk.fld.sto.Compact()
	return nil
}

// lapseEntries lets the entries of live servers lapse in an outage; they come
// back soon after it.
func (brk *breaker) lapseEntries(ctx context.Context) error {
	end := brk.fld.open("entries-lapsed", false, nil)
	defer end()
	sto := brk.fld.sto
	sto.SetDown(true, false)
	brk.fld.mu.Lock()
	var lapsed []*server
	for _, ser := range brk.fld.servers {
		if !ser.busy && ser.left.IsZero() && brk.rng.IntN(2) == 0 {
			ser.busy = true
			lapsed = append(lapsed, ser)
		}
	}
	brk.fld.mu.Unlock()
	for _, ser := range lapsed {
		sto.Lapse("servers/" + ser.fake.ID)
	}
	pause(ctx, brk.length())
	sto.SetDown(false, false)
	pause(ctx, time.Second)
	for _, ser := range lapsed {
		brk.fld.list(ser, "ready")
		brk.fld.mu.Lock()
		ser.busy = false
		brk.fld.mu.Unlock()
	}
	return nil
}

func (brk *breaker) foreignEntries(ctx context.Context) error {
	defer brk.fld.open("entries-foreign", true, nil)()
	keys := []string{"servers/odd-1", "servers/odd-2", "servers/odd/3", "others/x"}
	texts := []string{"{", `{"service":5}`, `{"service":"model","address":"nowhere"}`, "\x00\xff"}
	for idx, key := range keys {
		brk.fld.sto.Put(key, []byte(texts[idx]))
	}
	pause(ctx, brk.length())
	for _, key := range keys {
		brk.fld.sto.Delete(key)
	}
	return nil
}

func (brk *breaker) publishRow(ctx context.Context) error {
	defer brk.fld.open("configs-in-a-row", true, nil)()
	for range 1 + brk.rng.IntN(4) {
		brk.fld.publish()
		pause(ctx, 300*time.Millisecond)
	}
	return nil
}

// gate counts faults under way.
type gate struct {
	tokens chan struct{}
}

// mostAtOnce is how many faults may stand at the same time.
const mostAtOnce = 4

func newGate() *gate { return &gate{tokens: make(chan struct{}, mostAtOnce)} }

func (gat *gate) add()  { gat.tokens <- struct{}{} }
func (gat *gate) done() { <-gat.tokens }

func (gat *gate) wait() {
	for range mostAtOnce {
		gat.add()
	}
}
