package field

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"lovagestream/platform/fakes"
	"lovagestream/stand/skew"
)

// takeInstance reserves a random instance that no other fault has, or returns nil.
func (inj *injector) takeInstance() *instance {
	return inj.takeInstanceWhere(func(*instance) bool { return true })
}

// takeInstanceWhere does the same among the instances that fit.
func (inj *injector) takeInstanceWhere(fits func(ins *instance) bool) *instance {
	inj.cluster.mu.Lock()
	defer inj.cluster.mu.Unlock()
	var free []*instance
	for _, ins := range inj.cluster.instances {
		if !ins.busy && fits(ins) {
			free = append(free, ins)
		}
	}
	if len(free) == 0 {
		return nil
	}
	ins := free[inj.rng.IntN(len(free))]
	ins.busy = true
	return ins
}

func (inj *injector) releaseInstance(ins *instance) {
	inj.cluster.mu.Lock()
	defer inj.cluster.mu.Unlock()
	ins.busy = false
}

// saveLog adds the log of an ended process to its instance.
func (clu *Cluster) saveLog(ins *instance) {
	clu.mu.Lock()
	defer clu.mu.Unlock()
	ins.logs += ins.prc.Log()
}

// injectIntoInstance runs a fault on a random instance.
func (inj *injector) injectIntoInstance(name string, planned bool, run func(ins *instance) error) error {
	return inj.injectInto(inj.takeInstance(), name, planned, run)
}

// injectInto runs a fault on a reserved instance and releases it; nil is skipped.
func (inj *injector) injectInto(ins *instance, name string, planned bool, run func(ins *instance) error) error {
	if ins == nil {
		return nil
	}
	defer inj.releaseInstance(ins)
	end := inj.cluster.beginDisturbance(name+" "+ins.boot.Name, planned, ins)
	defer end()
	if !ins.prc.Running() {
		return errors.Errorf("%s exited unexpectedly:\n%s", ins.boot.Name, ins.prc.Log())
	}
	return run(ins)
}

func (inj *injector) killInstance(ctx context.Context) error {
	return inj.injectIntoInstance("instance-killed", false, func(ins *instance) error {
		ins.prc.Kill()
		inj.cluster.saveLog(ins)
		sleep(ctx, inj.drawDuration()/2)
		return inj.cluster.startProcess(ins)
	})
}

// stopInstance does a planned stop. The process must exit by itself, in time.
func (inj *injector) stopInstance(ctx context.Context) error {
	return inj.injectIntoInstance("instance-stopped", true, func(ins *instance) error { return inj.restart(ctx, ins) })
}

// restart waits until the instance is ready, at most for readyTimeout, before it
// stops it. A signal in the milliseconds before the program handles signals ends
// the process with the signal's exit code; no callers are connected yet then.
func (inj *injector) restart(ctx context.Context, ins *instance) error {
	for end := time.Now().Add(readyTimeout); !inj.cluster.ready(ctx, ins) && time.Now().Before(end); {
		sleep(ctx, checkInterval/10)
	}
	start := time.Now()
	ins.prc.Terminate()
	code, err := ins.prc.Wait()
	took := time.Since(start)
	inj.cluster.saveLog(ins)
	switch {
	case err != nil:
		return err
	case code != 0 || took > gracePeriod+time.Second:
		return errors.Errorf("%s exited with code %d, %s after the stop signal", ins.boot.Name, code, took)
	}
	inj.cluster.mu.Lock()
	inj.cluster.stops++
	inj.cluster.mu.Unlock()
	sleep(ctx, inj.drawDuration()/4)
	return inj.cluster.startProcess(ins)
}

// pauseLong pauses an instance until the others take it for gone.
func (inj *injector) pauseLong(ctx context.Context) error {
	return inj.injectIntoInstance("instance-paused-long", false, func(ins *instance) error {
		ins.prc.Pause()
		sleep(ctx, longPause)
		ins.prc.Resume()
		return nil
	})
}

const (
	// readyTimeout bounds the wait for an instance to become ready before it is
	// stopped.
	readyTimeout = 3 * time.Second
	// longPause exceeds every timeout of a silent member, link or lease.
	longPause = 7 * time.Second
	// maxSkew is the largest clock offset in either direction.
	maxSkew = 10 * time.Second
)

// drawSkew returns a random clock offset.
func (inj *injector) drawSkew() time.Duration {
	return time.Duration(inj.rng.Int64N(int64(2*maxSkew))) - maxSkew
}

// pathFile is the file that cuts the path to the backend servers of an instance that
// has a skew file.
func (ins *instance) pathFile() string { return ins.skewFile + ".path" }

// pathCuts are the ways in which the path to the backend servers is lost.
var pathCuts = []fakes.Cut{fakes.SilentCut, fakes.ResetCut, fakes.RefusedCut}

// cutPath cuts an instance off from all backend servers, while callers, the store and
// the other instances reach it.
func (inj *injector) cutPath(ctx context.Context) error {
	cut := pathCuts[inj.rng.IntN(len(pathCuts))]
	return inj.injectInto(inj.takeInstanceWhere(hasSkewFile), "path-cut "+string(cut), false, func(ins *instance) error {
		if err := os.WriteFile(ins.pathFile(), []byte(cut), 0o600); err != nil {
			return errors.Wrap(err, "cut the path")
		}
		sleep(ctx, 2*inj.drawDuration())
		return errors.Wrap(os.WriteFile(ins.pathFile(), nil, 0o600), "restore the path")
	})
}

func hasSkewFile(ins *instance) bool { return ins.skewFile != "" }

// stepClock steps an instance's time of day back and forth. Nothing may depend
// on the time of day, so the fault counts as planned and no check is relaxed.
func (inj *injector) stepClock(ctx context.Context) error {
	return inj.injectInto(inj.takeInstanceWhere(hasSkewFile), "clock-stepped", true, func(ins *instance) error {
		for range 3 {
			if err := skew.WriteOffset(ins.skewFile, inj.drawSkew()); err != nil {
				return err
			}
			sleep(ctx, inj.drawDuration()/2)
		}
		return skew.WriteOffset(ins.skewFile, 0)
	})
}

// restartClockBehind does a planned stop and starts the instance with a time of
// day before its last start. The clock is corrected a while later.
func (inj *injector) restartClockBehind(ctx context.Context) error {
	return inj.injectInto(inj.takeInstanceWhere(hasSkewFile), "clock-behind-at-start", true, func(ins *instance) error {
		if err := skew.WriteOffset(ins.skewFile, -time.Hour); err != nil {
			return err
		}
		if err := inj.restart(ctx, ins); err != nil {
			return err
		}
		sleep(ctx, inj.drawDuration())
		return skew.WriteOffset(ins.skewFile, 0)
	})
}

func (inj *injector) pauseInstance(ctx context.Context) error {
	return inj.injectIntoInstance("instance-paused", false, func(ins *instance) error {
		ins.prc.Pause()
		sleep(ctx, inj.drawDuration())
		ins.prc.Resume()
		return nil
	})
}

func (inj *injector) reloadInstance(context.Context) error {
	return inj.injectIntoInstance("instance-reloaded", true, func(ins *instance) error {
		ins.prc.Reload()
		return nil
	})
}

// killAll kills all instances that no other fault has, at the same time.
func (inj *injector) killAll(ctx context.Context) error {
	var reserved []*instance
	for ins := inj.takeInstance(); ins != nil; ins = inj.takeInstance() {
		reserved = append(reserved, ins)
	}
	end := inj.cluster.beginDisturbance("all-killed", false, nil)
	defer end()
	for _, ins := range reserved {
		ins.prc.Kill()
		inj.cluster.saveLog(ins)
	}
	sleep(ctx, time.Second)
	for _, ins := range reserved {
		if err := inj.cluster.startProcess(ins); err != nil {
			return err
		}
		inj.releaseInstance(ins)
	}
	return nil
}
