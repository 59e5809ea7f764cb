package field

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

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
