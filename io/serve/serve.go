// Package serve builds an entry instance from its components and runs its life
// cycle (start, serve, drain, stop) on Kratos.
package serve

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/pkg/errors"

	"lovagestream/core"
	"lovagestream/core/keys"
	"lovagestream/core/limit"
	"lovagestream/io/accept"
	"lovagestream/io/admin"
	"lovagestream/io/claim"
	"lovagestream/io/clock"
	"lovagestream/io/front"
	"lovagestream/io/group"
	"lovagestream/io/logs"
	"lovagestream/io/loop"
	"lovagestream/io/meter"
	"lovagestream/io/order"
	"lovagestream/io/origin"
	"lovagestream/io/peer"
	"lovagestream/io/probe"
	"lovagestream/io/runner"
	"lovagestream/io/setup"
	"lovagestream/io/stage"
	"lovagestream/io/trace"
	"lovagestream/io/watch"
)

// probeTimeout bounds one check whether a backend server is gone.
const probeTimeout = 200 * time.Millisecond

// tickInterval is the interval between the control state's Tick events.
const tickInterval = 100 * time.Millisecond

// Node is one entry instance.
type Node struct {
	set       *setup.Settings
	pols      runner.Policies
	log       *logs.Logger
	clk       clock.Service
	lop       *loop.Loop
	cli       *stage.Client
	rnr       *runner.Runner
	frt       *front.Server
	mtr       *meter.Meter
	trc       *trace.Tracer
	rdr       *watch.Reader
	callers   net.Listener
	operators net.Listener
	// callerConns and operatorConns wrap the listeners above and track their
	// connections.
	callerConns   *accept.Listener
	operatorConns *accept.Listener
	peers         net.Listener
	trn           *peer.Transport
	clm           *claim.Service
	snd           *order.Sender
	// bootFile is the content of the boot file; nil if the settings name none.
	bootFile []byte
	lmt      *limit.Limiter
	adm      *admin.Server
	// tls is the configuration of the operators' listener; nil for plain HTTP.
	tls *tls.Config
	han *handler
	app *kratos.App
	grp *group.Group
}

// Option configures a Node.
type Option func(*Node)

// WithPolicies replaces the default policies, for example by the baselines of a
// benchmark. The value must not be shared with another node.
func WithPolicies(pols runner.Policies) Option {
	return func(nod *Node) { nod.pols = pols }
}

// New opens the listeners and builds the components; nothing runs before Run.
// All random choices of the instance derive from the seed. It returns an error
// if a file that the settings name can't be read or a listener can't be opened.
func New(set *setup.Settings, roo *logs.Root, seed uint64, opts ...Option) (*Node, error) {
	nod := &Node{set: set, log: roo.For("serve"), clk: clock.System{}, pols: runner.NewPolicies(), mtr: meter.New()}
	for _, opt := range opts {
		opt(nod)
	}
	if err := nod.readBootFile(); err != nil {
		return nil, err
	}
	if err := nod.listen(); err != nil {
		return nil, err
	}
	src := origin.New(set.SourceAddress())
	self := core.NewInstance(set.Instance(), core.Entry, nod.PeerAddr(), set.Zone(), "", core.Live)
	opt := core.NewOptions(self, seed).WithIncarnation(uint64(nod.clk.Now().UnixNano())).WithSeeds(set.Peers().Seeds())
	ring, made, err := claim.LoadKeyring(set.Keys().SecretsFile(), set.Keys().SecretsEnv())
	if err != nil {
		return nil, err
	}
	if made {
		nod.log.Warn("No secrets for idempotency keys are set: generated one that only this instance can verify.", nil)
	}
	opt = opt.WithKeys(keys.DefaultOptions().WithTimes(set.Keys().Lifetime(), set.Keys().Retention()))
	nod.lmt = limit.NewLimiter()
	han := &handler{log: roo.For("control"), lmt: nod.lmt}
	nod.han = han
	nod.lop = loop.New(core.New(opt), nod.clk, han)
	sec, err := nod.security()
	if err != nil {
		return nil, err
	}
	nod.trn = peer.New(set.Instance(), nod.peers, src, sec, nod.lop, nod.clk, roo.For("peer"))
	han.trn = nod.trn
	nod.clm = claim.New(nod.lop, set.Keys().Lifetime(), ring)
	han.clm = nod.clm
	nod.snd = order.New(nod.lop, src, nod.clk, roo.For("order"))
	han.snd = nod.snd
	nod.cli = stage.NewClient(nod.clk, src, nod.serverLeaving).WithMaxAnswer(set.MaxReplySize())
	nod.rnr = runner.New(nod.lop, nod.cli, nod.clk, nod.pols, set.Zone(), seed).
		WithProber(probe.New(src.DialFunc(probeTimeout), nod.lop, nod.clk))
	nod.frt = front.New(frontOptions(set), nod.lop, nod.rnr, nod.clm, nod.lmt, nod.clk, roo.For("front"))
	nod.rdr = watch.NewReader(set.PlatformURL(), src, nod.lop, nod.clk, roo.For("watch"), seed)
	token, err := set.Operator().Token()
	if err != nil {
		return nil, err
	}
	if opr := set.Operator(); opr.Certificate() != "" {
		if nod.tls, err = admin.ServerTLS(opr.Certificate(), opr.PrivateKey()); err != nil {
			return nil, err
		}
	} else {
		nod.log.Warn("The operators' listener serves plain HTTP; this is allowed on loopback only.", nil)
	}
	nod.adm = admin.New(set.Instance(), set.Zone(), token, nod.lop, nod.lmt, nod.mtr, nod.clk)
	if nod.trc, err = trace.New(set.Traces(), set.Instance()); err != nil {
		return nil, err
	}
	nod.frt.WithTelemetry(nod.mtr, nod.trc)
	nod.build()
	return nod, nil
}

func (nod *Node) listen() error {
	var err error
	if nod.callers, err = net.Listen("tcp", nod.set.CallerAddr()); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if nod.operators, err = net.Listen("tcp", nod.set.OperatorAddr()); err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	if nod.peers, err = net.Listen("tcp", nod.set.Peers().Address()); err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	return nil
}

func (nod *Node) build() {
	nod.callerConns = accept.New(nod.callers, nod.clk, nod.callerLimits, nod.logAborted)
	nod.callerConns.LimitConns(accept.MaxConns())
	callers := khttp.NewServer(khttp.Listener(nod.callerConns), khttp.Timeout(0))
	setLimits(callers.Server, nod.set.CallerLimits())
	// The callers' handler replaces the router of Kratos, which would answer
	// requests that have no path, such as CONNECT, with a redirect.
	callers.Handler = nod.frt.Handler()
	nod.callerConns.Attach(callers.Server)
	nod.operatorConns = accept.New(nod.operators, nod.clk, func() accept.Limits { return accept.Limits{} }, nod.logAborted)
	operators := khttp.NewServer(nod.operatorOptions()...)
	operators.HandleFunc("/healthz", func(wri http.ResponseWriter, _ *http.Request) { wri.WriteHeader(http.StatusOK) })
	operators.HandleFunc("/readyz", nod.readyz)
	operators.Handle("/debug/vars", nod.adm.RequireToken(expvar.Handler()))
	operators.Handle(admin.PathStatus, nod.adm.RequireToken(nod.adm))
	operators.Handle(admin.PathConfig, nod.adm.RequireToken(http.HandlerFunc(nod.adm.Config)))
	nod.operatorConns.Attach(operators.Server)
	nod.app = kratos.New(
		kratos.Name("lovagestream"),
		kratos.ID(nod.set.Instance()),
		kratos.Server(callers, operators, nod.trn),
		kratos.Signal(os.Interrupt, syscall.SIGTERM),
		kratos.BeforeStop(nod.drain),
		kratos.StopTimeout(nod.set.GracePeriod()+time.Second),
	)
}

func (nod *Node) operatorOptions() []khttp.ServerOption {
	opts := []khttp.ServerOption{khttp.Listener(nod.operatorConns), khttp.Timeout(0)}
	if nod.tls != nil {
		opts = append(opts, khttp.TLSConfig(nod.tls))
	}
	return opts
}

// CallerAddr returns the listen address for callers, as host and port.
func (nod *Node) CallerAddr() string { return nod.callers.Addr().String() }

// OperatorAddr returns the listen address for operators, as host and port.
func (nod *Node) OperatorAddr() string { return nod.operators.Addr().String() }

// PeerAddr returns the address that other entry instances connect to, as host and
// port: the advertised one if set, else the listen address.
func (nod *Node) PeerAddr() string {
	if adr := nod.set.Peers().AdvertisedAddr(); adr != "" {
		return adr
	}
	return nod.peers.Addr().String()
}

// Run serves until Stop is called or the process receives SIGINT or SIGTERM. It
// returns the first error of the servers or background goroutines.
func (nod *Node) Run(ctx context.Context) error {
	nod.publishMetrics()
	defer metrics.Delete(nod.set.Instance())
	nod.grp = group.New(ctx)
	nod.grp.Go(func(gctx context.Context) error { return nod.lop.Run(gctx, tickInterval) })
	nod.grp.Go(nod.postBootFile)
	nod.grp.Go(nod.snd.Run)
	nod.grp.Go(nod.reportDemand)
	nod.grp.Go(func(gctx context.Context) error {
		return nod.clm.WatchSecrets(gctx, nod.set.Keys().SecretsFile(), nod.clk, nod.log)
	})
	nod.grp.Go(nod.rnr.Watch)
	nod.grp.Go(nod.rdr.PollConfig)
	nod.grp.Go(nod.rdr.PollInstances)
	nod.log.Info("Serving.", logs.Fields{"callers": nod.CallerAddr(), "operators": nod.OperatorAddr(), "peers": nod.peers.Addr().String(), "advertised": nod.PeerAddr(), "zone": nod.set.Zone()})
	err := nod.app.Run()
	nod.grp.Stop()
	nod.cli.Close()
	nod.clm.Close()
	nod.closeTraces()
	if gerr := nod.grp.Wait(); err == nil {
		err = gerr
	}
	return err
}

// Stop begins a planned stop; Run returns when it is complete.
func (nod *Node) Stop() error { return nod.app.Stop() }

// drain ends admission and waits until the requests in progress are complete, at
// most for the grace time.
func (nod *Node) drain(ctx context.Context) error {
	nod.log.Info("Stopping.", nil)
	dctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), nod.set.GracePeriod())
	defer cancel()
	// Admission ends before readiness changes: once others can see that the
	// instance is stopping, no new request may be admitted that delays the stop.
	nod.frt.EndAdmission()
	if err := nod.lop.Post(dctx, core.NewStop()); err != nil {
		return err
	}
	err := nod.frt.Drain(dctx)
	if err != nil {
		nod.log.Warn("Aborted requests in progress at the end of the grace time.", logs.Fields{"error": err})
	}
	nod.closeListeners(dctx)
	return err
}

// closeTimeout is granted beyond the grace time to requests that were read but
// whose goroutine was not scheduled yet, and again to operators' connections. Both
// together must fit into the second that kratos.StopTimeout has beyond the grace
// time.
const closeTimeout = 500 * time.Millisecond

// closeListeners closes the connections of callers and then those of operators,
// each when no request is in progress on it. The HTTP server silently drops
// requests that it has read but not begun to handle when it shuts down, so none
// may be left by then. Requests that arrive meanwhile are rejected.
func (nod *Node) closeListeners(ctx context.Context) {
	for _, lis := range []*accept.Listener{nod.callerConns, nod.operatorConns} {
		lctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		dog := nod.clk.StartWatchdog(nod.remaining(ctx)+closeTimeout, cancel)
		if num := lis.Drain(lctx); num > 0 {
			nod.log.Warn("Connections were still open at the end of the grace time.", logs.Fields{"connections": num, "listener": lis.Addr().String()})
		}
		dog.Stop()
		cancel()
	}
}

// remaining returns the time until the context's deadline, or 0 without one.
func (nod *Node) remaining(ctx context.Context) time.Duration {
	end, have := ctx.Deadline()
	if !have {
		return 0
	}
	return max(0, end.Sub(nod.clk.Now()))
}

// callerLimits returns the timeouts of callers' connections.
func (nod *Node) callerLimits() accept.Limits {
	lim := nod.set.CallerLimits()
	return accept.Limits{HeaderTimeout: lim.HeaderTimeout(), IdleTimeout: lim.IdleTimeout()}
}

// logAborted logs that this instance closed a connection with a request in progress.
func (nod *Node) logAborted(caller net.Addr) {
	nod.log.Warn("Closed a connection with a request in progress.", logs.Fields{"caller": caller.String()})
}

func (nod *Node) serverLeaving(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = nod.lop.Post(ctx, core.NewServerLeaving(id))
}

func (nod *Node) readyz(wri http.ResponseWriter, _ *http.Request) {
	if !nod.lop.View().Ready() {
		wri.WriteHeader(http.StatusServiceUnavailable)
	}
}
