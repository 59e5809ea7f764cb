package soak

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/pkg/errors"

	"lovagestream/stand/proxy"
	"lovagestream/stand/world"
)

// fault is one kind of fault; run injects it and ends it before it returns.
type fault struct {
	name string
	run  func(sok *soak, ctx context.Context) error
}

// faults are drawn with equal probability.
var faults = []fault{
	{"entry-killed", (*soak).killEntry},
	{"entry-replaced", (*soak).replaceEntry},
	{"entry-paused", (*soak).pauseEntry},
	{"server-killed", (*soak).killServer},
	{"server-replaced", (*soak).replaceServer},
	{"server-paused", (*soak).pauseServer},
	{"server-slow", (*soak).slowServer},
	{"zone-cut", (*soak).cutZone},
	{"connections-silent", (*soak).silenceConnections},
	{"link-slow", (*soak).slowLink},
	{"platform-down", (*soak).platformDown},
	{"platform-stale", (*soak).platformStale},
	{"preset-switch", (*soak).switchPreset},
}

// injectFaults injects one fault after the other until the context ends.
func (sok *soak) injectFaults(ctx context.Context) error {
	for sleep(ctx, sok.opt.faultInterval) {
		flt := faults[sok.rng.IntN(len(faults))]
		fmt.Fprintf(sok.opt.out, "fault %s\n", flt.name)
		sok.faults[flt.name]++
		if err := flt.run(sok, context.WithoutCancel(ctx)); err != nil {
			return errors.Wrap(err, flt.name)
		}
	}
	return nil
}

// endFaults ends all faults of the platform and the network.
func (sok *soak) endFaults() error {
	if err := sok.wor.SetPlatformMode("up", 0); err != nil {
		return err
	}
	return sok.wor.Heal()
}

func sortedNames[T any](byName map[string]T) []string {
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// takeEntry returns the name, zone and process of a random entry instance. Unless
// keep is set, callers no longer use it.
func (sok *soak) takeEntry(keep bool) (string, string, *world.Instance, error) {
	sok.mu.Lock()
	names := sortedNames(sok.entries)
	name := names[sok.rng.IntN(len(names))]
	zone := sok.entries[name]
	if !keep {
		delete(sok.entries, name)
	}
	sok.mu.Unlock()
	mac, err := sok.wor.Instance(name)
	return name, zone, mac, err
}

func (sok *soak) killEntry(context.Context) error {
	name, zone, mac, err := sok.takeEntry(false)
	if err != nil {
		return err
	}
	mac.Process().Kill()
	if err := sok.wor.Unlist(name); err != nil {
		return err
	}
	return sok.addEntry(zone)
}

// replaceEntry does a planned stop of an instance and starts another one. The
// process must exit by itself with code 0; the audit finds requests it breaks off.
func (sok *soak) replaceEntry(context.Context) error {
	name, zone, mac, err := sok.takeEntry(false)
	if err != nil {
		return err
	}
	mac.Process().Terminate()
	if err := sok.addEntry(zone); err != nil {
		return err
	}
	code, err := mac.Process().Wait()
	if err != nil {
		return err
	}
	if code != 0 {
		return errors.Errorf("%s exited with code %d after a planned stop", name, code)
	}
	return sok.wor.Unlist(name)
}

func (sok *soak) pauseEntry(ctx context.Context) error {
	_, _, mac, err := sok.takeEntry(true)
	if err != nil {
		return err
	}
	sok.pauseInstance(ctx, mac)
	return nil
}

// pauseInstance pauses an instance's process for a random duration.
func (sok *soak) pauseInstance(ctx context.Context, mac *world.Instance) {
	mac.Process().Pause()
	sleep(ctx, sok.drawDuration())
	mac.Process().Resume()
}

// drawDuration returns a random duration of a fault, from 1 to 3 seconds.
func (sok *soak) drawDuration() time.Duration {
	return time.Second + time.Duration(sok.rng.IntN(2000))*time.Millisecond
}

func (sok *soak) takeServer(keep bool) (string, placement, *world.Instance, error) {
	sok.mu.Lock()
	names := sortedNames(sok.servers)
	name := names[sok.rng.IntN(len(names))]
	plc := sok.servers[name]
	if !keep {
		delete(sok.servers, name)
	}
	sok.mu.Unlock()
	mac, err := sok.wor.Instance(name)
	return name, plc, mac, err
}

func (sok *soak) killServer(ctx context.Context) error {
	name, plc, mac, err := sok.takeServer(false)
	if err != nil {
		return err
	}
	mac.Process().Kill()
	// The instance list still has the server for some time after the crash.
	sleep(ctx, sok.drawDuration())
	if err := sok.wor.Unlist(name); err != nil {
		return err
	}
	return sok.addServer(plc)
}

// replaceServer marks a server as leaving and starts another one. From
// leavingBound after that the leaving server must get no new call.
func (sok *soak) replaceServer(ctx context.Context) error {
	name, plc, mac, err := sok.takeServer(false)
	if err != nil {
		return err
	}
	if err := sok.addServer(plc); err != nil {
		return err
	}
	if err := sok.wor.MarkLeaving(name); err != nil {
		return err
	}
	const leavingBound = 3 * time.Second
	sleep(ctx, leavingBound)
	if err := sok.wor.MarkJournal(name); err != nil {
		return err
	}
	sleep(ctx, sok.drawDuration())
	late, err := sok.wor.CallsSinceMark(name)
	if err != nil {
		return err
	}
	if len(late) > 0 {
		return errors.Errorf("%s got calls more than %s after it was marked as leaving, by entry instance: %v", name, leavingBound, late)
	}
	mac.Process().Kill()
	return sok.wor.Unlist(name)
}

func (sok *soak) pauseServer(ctx context.Context) error {
	_, _, mac, err := sok.takeServer(true)
	if err != nil {
		return err
	}
	sok.pauseInstance(ctx, mac)
	return nil
}

func (sok *soak) slowServer(ctx context.Context) error {
	name, _, _, err := sok.takeServer(true)
	if err != nil {
		return err
	}
	if err := sok.wor.SetSwitches(name, `{"speed":0.1}`); err != nil {
		return err
	}
	sleep(ctx, sok.drawDuration())
	return sok.wor.SetSwitches(name, `{}`)
}

func (sok *soak) cutZone(ctx context.Context) error {
	zone := zones[sok.rng.IntN(len(zones))]
	if err := sok.wor.IsolateZone(zone, sok.rng.IntN(2) == 0); err != nil {
		return err
	}
	sleep(ctx, sok.drawDuration())
	return sok.wor.Heal()
}

func (sok *soak) silenceConnections(ctx context.Context) error {
	return sok.linkFault(ctx, proxy.Rule{Mode: proxy.Silence})
}

func (sok *soak) slowLink(ctx context.Context) error {
	const wait = 20
	return sok.linkFault(ctx, proxy.Rule{Mode: proxy.Delay, Wait: wait})
}

func (sok *soak) linkFault(ctx context.Context, rul proxy.Rule) error {
	name, _, _, err := sok.takeServer(true)
	if err != nil {
		return err
	}
	if err := sok.wor.SetFaults(name, "", rul); err != nil {
		return err
	}
	sleep(ctx, sok.drawDuration())
	return sok.wor.SetFaults(name, "")
}

func (sok *soak) platformDown(ctx context.Context) error {
	if err := sok.wor.SetPlatformMode("down", 0); err != nil {
		return err
	}
	sleep(ctx, sok.drawDuration())
	return sok.wor.SetPlatformMode("up", 0)
}

// platformStale publishes a document and then makes the platform serve the one
// before it. No instance may go back to that.
func (sok *soak) platformStale(ctx context.Context) error {
	if err := sok.switchPreset(ctx); err != nil {
		return err
	}
	if err := sok.wor.SetPlatformMode("stale", 1); err != nil {
		return err
	}
	sleep(ctx, sok.drawDuration())
	return sok.wor.SetPlatformMode("up", 0)
}

func (sok *soak) switchPreset(ctx context.Context) error {
	presets := sok.wor.Config().Presets()
	if err := sok.wor.PublishChange("active-preset", presets[sok.rng.IntN(len(presets))].Name()); err != nil {
		return err
	}
	sleep(ctx, sok.drawDuration())
	return nil
}
