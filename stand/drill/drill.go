// Package drill is a benchmark of the coordination among entry instances. It runs
// the control planes of many instances in one process, over real connections on
// loopback, triggers one event after the other, and prints how long each takes to
// be in force everywhere and what it costs.
//
// Only the control plane runs: control loop, links and the reader of the platform.
// No request is served; the callers' demand is random.
package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core"
	"lovagestream/io/group"
	"lovagestream/io/watch"
	"lovagestream/stand/plat"
)

// Options configure a run.
type Options struct {
	instances int
	zones     int
	accounts  int
	// activeAccounts is the number of draws of accounts with demand at each instance.
	activeAccounts int
	// rate is the demand at each instance in requests per second.
	rate float64
	seed uint64
	// idleTime is how long the costs without an event are measured; outageTime is
	// how long outages of the platform and of a zone last.
	idleTime   time.Duration
	outageTime time.Duration
	// sharedKey authenticates the links with a shared key.
	sharedKey bool
}

// NewOptions returns options for a number of instances, spread over a number of
// zones, and a number of client accounts.
func NewOptions(instances, zones, accounts int, seed uint64) Options {
	return Options{instances: instances, zones: zones, accounts: accounts, activeAccounts: 16, rate: 16, seed: seed, idleTime: 10 * time.Second, outageTime: 20 * time.Second}
}

// WithDurations sets how long costs without an event are measured and how long outages
// last.
func (opt Options) WithDurations(idleTime, outageTime time.Duration) Options {
	opt.idleTime, opt.outageTime = idleTime, outageTime
	return opt
}

// WithDemand sets how many accounts have demand at each instance, and their demand
// together in requests per second.
func (opt Options) WithDemand(activeAccounts int, rate float64) Options {
	opt.activeAccounts, opt.rate = activeAccounts, rate
	return opt
}

// WithSharedKey authenticates the links with a shared key.
func (opt Options) WithSharedKey(sharedKey bool) Options {
	opt.sharedKey = sharedKey
	return opt
}

// Fleet is the instances of a run and their platform.
type Fleet struct {
	opt    Options
	grp    *group.Group
	plt    *plat.Platform
	outage *outage
	nodes  []*node
	rng    *rand.Rand
	// revision is the last published revision of the configuration.
	revision uint64
	servers  []watch.InstanceBody
	// net is the network between the zones.
	net *network
	// keyFile is the file of the shared key; empty without one.
	keyFile string
}

// outage is a handler that aborts all connections to the platform while active.
type outage struct {
	han    http.Handler
	active atomic.Bool
	// refused counts the aborted calls.
	refused atomic.Int64
}

// start starts the platform and then all instances at once.
func start(ctx context.Context, opt Options, keyFile string) (*Fleet, error) {
	fle := &Fleet{
		opt: opt, grp: group.New(ctx), plt: plat.New(), net: &network{cut: map[string]bool{}},
		rng: rand.New(rand.NewPCG(opt.seed, 0)), keyFile: keyFile,
	}
	url, err := fle.startPlatform()
	if err != nil {
		return nil, err
	}
	for i := range opt.instances {
		nod, err := fle.newNode(i, url)
		if err != nil {
			return nil, err
		}
		fle.nodes = append(fle.nodes, nod)
	}
	for i := range 3 * opt.instances {
		id := fmt.Sprintf("backend-%d", i+1)
		fle.servers = append(fle.servers, watch.InstanceBody{
			ID: id, Role: string(core.Backend), Address: fmt.Sprintf("127.0.0.1:%d", 20000+i),
			Zone: fle.zone(i), Pool: "services", State: string(core.Live),
		})
	}
	fle.publish("ordinary")
	if err := fle.publishList(); err != nil {
		return nil, err
	}
	for _, nod := range fle.nodes {
		nod.run(ctx)
	}
	return fle, nil
}

func (fle *Fleet) startPlatform() (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "platform")
	}
	fle.outage = &outage{han: fle.plt.Handler()}
	srv := &http.Server{Handler: fle.outage.handler(), ReadHeaderTimeout: time.Minute}
	fle.grp.Go(func(context.Context) error { _ = srv.Serve(lis); return nil })
	fle.grp.Go(func(gctx context.Context) error { <-gctx.Done(); return srv.Close() })
	return "http://" + lis.Addr().String(), nil
}

// stop stops every instance without notice to the others, then the platform.
func (fle *Fleet) stop() error {
	for _, nod := range fle.nodes {
		nod.kill()
	}
	fle.grp.Stop()
	return fle.grp.Wait()
}

func (fle *Fleet) zone(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%fle.opt.zones) }

// liveNodes returns the running instances.
func (fle *Fleet) liveNodes() []*node {
	var got []*node
	for _, nod := range fle.nodes {
		if !nod.dead {
			got = append(got, nod)
		}
	}
	return got
}

// publish publishes a document with the given active preset under the next revision.
func (fle *Fleet) publish(preset string) {
	fle.revision++
	fle.plt.PublishConfig(document(fle.revision, preset, fle.opt))
}

func (fle *Fleet) publishList() error {
	rows := append([]watch.InstanceBody(nil), fle.servers...)
	for _, nod := range fle.liveNodes() {
		rows = append(rows, watch.InstanceBody{ID: nod.id, Role: string(core.Entry), Address: nod.address(), Zone: nod.zone, State: string(core.Live)})
	}
	return fle.plt.PublishList(rows)
}

// waitFor waits until a condition holds at every running instance, and returns how
// long that took. It returns an error after two minutes.
func (fle *Fleet) waitFor(ctx context.Context, holds func(nod *node) bool) (time.Duration, error) {
	const timeout = 2 * time.Minute
	begin := time.Now()
	for time.Since(begin) < timeout && ctx.Err() == nil {
		all := true
		for _, nod := range fle.liveNodes() {
			all = all && holds(nod)
		}
		if all {
			return time.Since(begin), nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return 0, errors.Errorf("wait for all instances: not in force everywhere after %s", time.Since(begin).Round(time.Second))
}

// inForce reports whether an instance is ready with the last published revision.
func (fle *Fleet) inForce(nod *node) bool {
	vie := nod.lop.View()
	return vie.Ready() && vie.Config().Revision() == fle.revision
}
