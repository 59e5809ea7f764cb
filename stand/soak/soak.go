// Package soak is a fault-injection test of nine entry instances in three
// availability zones. They run as real processes under random faults while callers
// send requests; at the end, the results are audited.
//
// The seed determines the faults and the requests, but not their relative timing,
// since the processes run in real time.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/result"
	"lovagestream/io/clock"
	"lovagestream/io/group"
	"lovagestream/stand/audit"
	"lovagestream/stand/world"
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

const (
	entriesPerZone = 3
	// retryDelay is how long a caller waits before a retry.
	retryDelay = 300 * time.Millisecond
	// maxRetries is the largest number of retries of a request.
	maxRetries = 2
)

// Options configure a soak test.
type Options struct {
	seed     uint64
	duration time.Duration
	// rate is in requests per second.
	rate float64
	// faultInterval is the pause between faults.
	faultInterval time.Duration
	out           io.Writer
}

// NewOptions returns options for a soak test. The rate is in requests per second,
// faultInterval is the pause between faults, and progress is written to out.
func NewOptions(seed uint64, duration time.Duration, rate float64, faultInterval time.Duration, out io.Writer) Options {
	return Options{seed: seed, duration: duration, rate: rate, faultInterval: faultInterval, out: out}
}

// soak is one run of the test.
type soak struct {
	opt Options
	wor *world.Deployment
	// rng draws faults and is used only by the goroutine that injects them.
	rng *rand.Rand
	// instancesMade counts the instances started, for their names.
	instancesMade int

	mu sync.Mutex
	// entries maps the names of the entry instances that callers use to their
	// zones.
	entries map[string]string
	// servers maps the names of the running backend servers to their pools and zones.
	servers map[string]placement
	// faults counts the injected faults by kind.
	faults map[string]int
}

type placement struct {
	pool string
	zone string
}

// Run runs a soak test in dir with the programs in bin and returns the audit.
func Run(ctx context.Context, dir, bin string, opt Options) (audit.Report, error) {
	wor, err := world.New(dir, bin)
	if err != nil {
		return audit.Report{}, err
	}
	defer wor.Close()
	sok := &soak{
		opt:     opt,
		wor:     wor,
		rng:     rand.New(rand.NewPCG(opt.seed, 1)),
		entries: map[string]string{},
		servers: map[string]placement{},
		faults:  map[string]int{},
	}
	if err := sok.deploy(); err != nil {
		return audit.Report{}, errors.Wrapf(err, "deploy\n%s", wor.Logs())
	}
	if err := sok.run(ctx); err != nil {
		return audit.Report{}, errors.Wrap(err, "soak")
	}
	fmt.Fprintf(opt.out, "faults: %v\n", sok.faults)
	return wor.Audit()
}

func (sok *soak) deploy() error {
	for _, poo := range sok.wor.Config().Pools() {
		for _, zone := range zones {
			if err := sok.addServer(placement{pool: poo.Name(), zone: zone}); err != nil {
				return err
			}
		}
	}
	for num := range entriesPerZone * len(zones) {
		if err := sok.addEntry(zones[num%len(zones)]); err != nil {
			return err
		}
	}
	return nil
}

func (sok *soak) nextName(kind string) string {
	sok.instancesMade++
	return fmt.Sprintf("%s-%d", kind, sok.instancesMade)
}

func (sok *soak) addServer(plc placement) error {
	name := sok.nextName(plc.pool)
	if err := sok.wor.StartBackend(name, plc.pool, plc.zone); err != nil {
		return err
	}
	sok.mu.Lock()
	defer sok.mu.Unlock()
	sok.servers[name] = plc
	return nil
}

// addEntry starts an entry instance and lets callers use it once it is ready.
func (sok *soak) addEntry(zone string) error {
	name := sok.nextName("entry")
	var seeds []string
	for other := range sok.entriesCopy() {
		seeds = append(seeds, other)
	}
	if err := sok.wor.StartEntry(name, zone, seeds...); err != nil {
		return err
	}
	if err := sok.wor.WaitReady(name); err != nil {
		return err
	}
	sok.mu.Lock()
	defer sok.mu.Unlock()
	sok.entries[name] = zone
	return nil
}

func (sok *soak) entriesCopy() map[string]string {
	sok.mu.Lock()
	defer sok.mu.Unlock()
	entries := map[string]string{}
	for name, zone := range sok.entries {
		entries[name] = zone
	}
	return entries
}

// run sends requests and injects faults at the same time until the duration is
// over. It then ends all faults and waits for the callers.
func (sok *soak) run(ctx context.Context) error {
	rctx, cancel := context.WithTimeout(ctx, sok.opt.duration)
	defer cancel()
	callers := group.New(context.WithoutCancel(ctx))
	grp := group.New(context.WithoutCancel(ctx))
	grp.Go(func(context.Context) error { return sok.startCallers(rctx, callers) })
	grp.Go(func(context.Context) error { return sok.injectFaults(rctx) })
	if err := grp.Wait(); err != nil {
		return err
	}
	if err := sok.endFaults(); err != nil {
		return err
	}
	return callers.Wait()
}

// sleep waits and reports whether the context is still active.
func sleep(ctx context.Context, wait time.Duration) bool {
	return clock.System{}.Sleep(ctx, wait) == nil
}

// caller sends one request and its retries.
type caller struct {
	sok      *soak
	id       string
	pipeline string
	stream   bool
	rng      *rand.Rand
}

// startCallers starts callers as a Poisson process at the configured rate until the
// context ends.
func (sok *soak) startCallers(ctx context.Context, callers *group.Group) error {
	rng := rand.New(rand.NewPCG(sok.opt.seed, 2))
	for num := 1; ; num++ {
		wait := time.Duration(rng.ExpFloat64() / sok.opt.rate * float64(time.Second))
		if !sleep(ctx, wait) {
			return nil
		}
		cal := &caller{sok: sok, id: fmt.Sprintf("req-%d", num), pipeline: "term-plan", stream: rng.IntN(2) == 0, rng: rand.New(rand.NewPCG(sok.opt.seed, uint64(num)+100))}
		if rng.IntN(3) == 0 {
			cal.pipeline = "sign-up"
		}
		callers.Go(cal.run)
	}
}

// pickEntry returns a random entry instance, as a load balancer would, or "".
func (cal *caller) pickEntry() string {
	entries := cal.sok.entriesCopy()
	names := sortedNames(entries)
	if len(names) == 0 {
		return ""
	}
	return names[cal.rng.IntN(len(names))]
}

// run sends the request and retries it at a random instance until the answer is
// complete, as the users' callers do. A caller that can't get an idempotency key
// sends nothing.
func (cal *caller) run(ctx context.Context) error {
	key := ""
	if cal.pipeline == "sign-up" {
		var err error
		if key, err = cal.sok.wor.IssueKey(cal.pickEntry(), "branch"); err != nil {
			return nil
		}
	}
	for num := range maxRetries + 1 {
		id := fmt.Sprintf("%s.%d", cal.id, num)
		entry := cal.pickEntry()
		if entry == "" {
			return nil
		}
		req := world.NewCallerRequest(id, entry, cal.pipeline).WithSubject("subj-" + cal.id).WithKey(key).WithStream(cal.stream)
		callers := group.New(ctx)
		if err := cal.sok.wor.Send(callers, req); err != nil {
			return err
		}
		res, err := cal.sok.wor.Answer(id)
		if err != nil {
			return err
		}
		if res.Outcome() == result.Complete || !sleep(ctx, retryDelay) {
			return nil
		}
	}
	return nil
}
