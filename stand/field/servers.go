package field

import (
	"context"
	"sort"
	"time"
)

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
