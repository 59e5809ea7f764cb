package field

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// disturbance is the time span of a fault; to is zero while it lasts. Guarantees
// with a time bound are checked only outside of unplanned disturbances.
type disturbance struct {
	from, to time.Time
	// planned marks disturbances such as planned stops and leaving servers, which
	// relax few checks.
	planned bool
	// instance is nil if more than one instance is affected.
	instance *instance
	name     string
}

// fault is one kind of fault; run injects it and ends it before it returns.
type fault struct {
	name    string
	planned bool
	run     func(brk *injector, ctx context.Context) error
}

// faults are drawn with equal probability.
var faults = []fault{
	{"instance-killed", false, (*injector).killInstance},
	{"instance-stopped", true, (*injector).stopInstance},
	{"instance-paused", false, (*injector).pauseInstance},
	{"instance-paused-long", false, (*injector).pauseLong},
	{"instance-reloaded", true, (*injector).reloadInstance},
	{"clock-stepped", true, (*injector).stepClock},
	{"clock-behind-at-start", true, (*injector).restartClockBehind},
	{"all-killed", false, (*injector).killAll},
	{"server-crashed", false, (*injector).crashServer},
	{"server-reborn", false, (*injector).restartServer},
	{"server-started-again", false, (*injector).startServerAgain},
	{"all-released", false, (*injector).releaseAll},
	{"server-left", true, (*injector).leaveServer},
	{"server-announced", true, (*injector).announceLeaving},
	{"server-pauses", true, (*injector).pauseServer},
	{"server-odd", false, (*injector).misbehaveServer},
	{"server-limits", true, (*injector).limitServers},
	{"server-replaced", false, (*injector).reuseAddress},
	{"path-cut", false, (*injector).cutPath},
	{"server-brittle", false, (*injector).makeBrittle},
	{"server-link", false, (*injector).breakServerLink},
	{"peer-link", false, (*injector).breakPeerLink},
	{"zone-cut", false, (*injector).cutZone},
	{"zone-evacuated", true, (*injector).evacuateZone},
	{"store-down", false, (*injector).takeStoreDown},
	{"store-link", false, (*injector).breakStoreLink},
	{"store-compacted", true, (*injector).compactStore},
	{"entries-lapsed", false, (*injector).expireEntries},
	{"entries-foreign", true, (*injector).putInvalidEntries},
	{"configs-in-a-row", true, (*injector).publishSeries},
	{"account-floods", true, (*injector).floodByAccount},
	{"server-states-load", true, (*injector).stateLoad},
	{"requests-crash-servers", false, (*injector).crashByRequests},
	{"connections-to-one", true, (*injector).favorInstance},
}

// injector injects one fault with its own random source.
type injector struct {
	cluster *Cluster
	rng     *rand.Rand
}

// injectFaults starts faults until the context ends, some while others are in
// progress, and waits for the last to end.
func (clu *Cluster) injectFaults(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(clu.opt.Seed, 1))
	lim := newFaultLimiter()
	start := time.Now()
	for sleep(ctx, time.Duration((0.5+rng.Float64())*float64(clu.opt.FaultInterval))) {
		flt := clu.drawFault(rng, int(time.Since(start)/phaseLength)%2 == 1)
		inj := &injector{cluster: clu, rng: rand.New(rand.NewPCG(rng.Uint64(), 3))}
		clu.mu.Lock()
		clu.faults[flt.name]++
		clu.mu.Unlock()
		lim.acquire()
		clu.grp.Go(func(ctx context.Context) error {
			defer lim.release()
			if err := flt.run(inj, ctx); err != nil && ctx.Err() == nil {
				clu.addProblem("%s: %v", flt.name, err)
			}
			return nil
		})
	}
	lim.wait()
	return nil
}

// phaseLength is the duration of the phases that alternate between all faults and
// planned ones only. In the latter, guarantees with a time bound can be checked.
const phaseLength = 12 * time.Second

func (clu *Cluster) drawFault(rng *rand.Rand, planned bool) fault {
	var all, list []fault
	for _, flt := range faults {
		if len(clu.opt.FaultKinds) > 0 && !slices.Contains(clu.opt.FaultKinds, flt.name) {
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

// checkOnly returns an error for a name that no fault has.
func checkOnly(only []string) error {
	for _, name := range only {
		if !slices.ContainsFunc(faults, func(flt fault) bool { return flt.name == name }) {
			return errors.Errorf("unknown fault kind %q", name)
		}
	}
	return nil
}

// beginDisturbance records the start of a disturbance; the returned function ends it.
func (clu *Cluster) beginDisturbance(name string, planned bool, ins *instance) func() {
	clu.mu.Lock()
	defer clu.mu.Unlock()
	idx := len(clu.disturbances)
	clu.disturbances = append(clu.disturbances, disturbance{from: time.Now(), name: name, planned: planned, instance: ins})
	fmt.Fprintf(clu.opt.Out, "%s %s\n", time.Now().Format("15:04:05.000"), name)
	return func() {
		clu.mu.Lock()
		defer clu.mu.Unlock()
		clu.disturbances[idx].to = time.Now()
	}
}

// drawDuration returns a random duration of a fault, from 1 to 4 seconds.
func (inj *injector) drawDuration() time.Duration {
	return time.Second + time.Duration(inj.rng.Int64N(int64(3*time.Second)))
}

// faultLimiter bounds the number of concurrent faults.
type faultLimiter struct {
	tokens chan struct{}
}

// maxConcurrentFaults is the largest number of faults in progress at once.
const maxConcurrentFaults = 4

func newFaultLimiter() *faultLimiter {
	return &faultLimiter{tokens: make(chan struct{}, maxConcurrentFaults)}
}

func (lim *faultLimiter) acquire() { lim.tokens <- struct{}{} }

func (lim *faultLimiter) release() { <-lim.tokens }

func (lim *faultLimiter) wait() {
	for range maxConcurrentFaults {
		lim.acquire()
	}
}
