package edge

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/pkg/errors"

	"lovagestream/io/accept"
	"lovagestream/io/clock"
	"lovagestream/io/conns"
	"lovagestream/io/entry"
	"lovagestream/io/follow"
	"lovagestream/io/gauge"
	"lovagestream/io/group"
	"lovagestream/io/lines"
	"lovagestream/io/mesh"
	"lovagestream/io/trace"
)

// Codec translates between the platform's formats and the core's types.
type Codec interface {
	entry.Codec
	StageCodec
	Decoder
}

// Dependencies are what a Node is built from.
type Dependencies struct {
	Dialect Codec
	// NewSource returns a client of the store that connects with dial.
	NewSource func(dial func(context.Context, string, string) (net.Conn, error)) follow.Source
	// Reload reads the settings file again.
	Reload func() (Settings, error)
	// DialServer opens connections to backend servers; nil dials TCP.
	DialServer func(ctx context.Context, network, address string) (net.Conn, error)
	Log        *lines.Writer
	Clock      clock.Service
	// Tracer is nil if tracing is off.
	Tracer *trace.Tracer
}

const (
	// deregistrationDelay is how long callers still arrive after a planned stop
	// has begun: the platform probes readiness once a second and takes an
	// instance out of rotation after two failed probes.
	deregistrationDelay = 2200 * time.Millisecond
	// quietPeriod is how long there must have been no request in flight for the
	// process to end before its grace time is over.
	quietPeriod = 700 * time.Millisecond
	// graceMargin is the part of the grace time that is reserved for closing:
	// callerCloseTimeout for requests whose goroutine was not scheduled yet, and
	// serverStopTimeout for the listeners.
	graceMargin        = 900 * time.Millisecond
	callerCloseTimeout = 500 * time.Millisecond
	// lastAnswersTime is the part of callerCloseTimeout for the answers to requests
	// that no server has answered.
	lastAnswersTime   = 200 * time.Millisecond
	serverStopTimeout = 300 * time.Millisecond
	// defaultGrace applies where the settings give no grace time.
	defaultGrace = 8 * time.Second
	// idleTimeout bounds how long a caller's connection may be idle, unless the
	// configuration sets a shorter limit.
	idleTimeout = 60 * time.Second
	// headerTimeout bounds the time to read a request's header, unless the
	// configuration sets a shorter limit.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's header until a configuration sets the
	// limit.
	maxHeaderBytes = 64 << 10
	// sweepInterval is how often idle connections to backend servers are closed.
	sweepInterval = time.Second
	// drainPollInterval is how often a planned stop checks whether it is done.
	drainPollInterval = 100 * time.Millisecond
)

// Node is one entry instance.
type Node struct {
	set       Settings
	dep       Dependencies
	ctl       *Control
	srv       *entry.Server
	transport *mesh.Transport
	poo       *conns.Pool
	rdr       *follow.Reader
	gau       *gauge.Metrics
	grp       *group.Group
	app       *kratos.App
	// drained is set once the drain of a planned stop has ended.
	drained atomic.Bool
	// callerConns tracks the open connections of callers.
	callerConns *accept.Listener

	callerLis net.Listener
	// gate is below callerLis.
	gate     *accept.Gate
	readyLis net.Listener
	peerLis  net.Listener
	rly      *relay
	// metricsLis is nil if no metrics are served.
	metricsLis net.Listener
}

// New opens the listeners and builds the node.
func New(ctx context.Context, set Settings, dep Dependencies) (*Node, error) {
	nod := &Node{set: set, dep: dep, grp: group.New(ctx), gau: gauge.New()}
	var err error
	if nod.readyLis, err = net.Listen("tcp", set.ReadyAddr); err != nil {
		return nil, errors.Wrap(err, "listen for readiness probes")
	}
	if nod.peerLis, err = net.Listen("tcp", set.PeerAddr); err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	if set.MetricsAddr != "" {
		if nod.metricsLis, err = net.Listen("tcp", set.MetricsAddr); err != nil {
			return nil, errors.Wrap(err, "listen for metrics")
		}
	}
	own := &net.TCPAddr{IP: net.ParseIP(set.IP)}
	if own.IP == nil {
		own = nil
	}
	dlr := conns.Dialer(own)
	nod.poo = conns.NewPool(dep.Clock, nod.grp, own)
	if dep.DialServer != nil {
		nod.poo.DialWith(dep.DialServer)
	}
	born := dep.Clock.Now().UnixMilli()
	nod.ctl = NewControl(set, dep.Clock, dep.Dialect, dep.Log, born)
	if nod.gate, err = accept.Listen(set.CallerAddr, dep.Clock, nod.ctl.throttle, nod.logListenError); err != nil {
		return nil, err
	}
	nod.callerLis = nod.gate
	nod.transport = mesh.New(nod.ctl.mem.Self(), nod.ctl, dep.Clock, dlr.DialContext, nod.grp)
	nod.ctl.lnk = nod.transport
	nod.ctl.calls = newStageCaller(dep.Dialect, nod.poo, dep.Clock, nod.grp, dep.Log, nod.gau, nod.ctl)
	nod.rdr = follow.New(dep.NewSource(dlr.DialContext), nod.ctl, dep.Clock, dep.Log, nod.ctl.Duty, uint64(born))
	nod.ctl.rereadStore = nod.rdr.Restart
	nod.srv = entry.New(set.AdvertisedAddr, set.Zone, nod.ctl, dep.Dialect, nod.poo, dep.Clock, dep.Log, nod.gau).WithTracer(dep.Tracer)
	nod.ctl.reach = nod.poo.Reach
	nod.ctl.observe = conns.NewObserver(nod.poo, func(start string) { nod.ctl.post(evServerEnded{start: start}) }).Observe
	nod.ctl.causesFound = nod.srv.CancelRefused
	nod.ctl.accounts.usage = nod.srv.Usage
	nod.rly = newRelay(nod.ctl, nod.transport, nod.poo, dep.Dialect, dep.Clock, nod.gau)
	nod.poo.RelayWith(nod.rly, nod.ctl.pathsChanged)
	nod.transport.SetRelayHandler(nod.rly)
	nod.registerGauges()
	nod.buildServers()
	return nod, nil
}

// buildServers builds the HTTP servers of the listeners. The callers' server has
// no router, which would clean or redirect paths: paths are forwarded as
// received.
func (nod *Node) buildServers() {
	nod.callerConns = accept.New(nod.callerLis, nod.dep.Clock, nod.connLimits, nod.logClosedConn)
	nod.callerConns.LimitConns(accept.MaxConns())
	callers := khttp.NewServer(khttp.Listener(nod.callerConns), khttp.Timeout(0), endpoint(nod.set.CallerAddr))
	callers.Handler = nod.srv
	callers.IdleTimeout = idleTimeout
	callers.ReadHeaderTimeout = headerTimeout
	callers.MaxHeaderBytes = maxHeaderBytes
	// "OPTIONS *" is a request like any other; net/http would answer it itself.
	callers.DisableGeneralOptionsHandler = true
	nod.callerConns.Attach(callers.Server)
	ready := khttp.NewServer(khttp.Listener(nod.readyLis), khttp.Timeout(0), endpoint(nod.set.ReadyAddr))
	ready.Handler = http.HandlerFunc(nod.serveReadiness)
	servers := []transport.Server{callers, ready}
	if nod.metricsLis != nil {
		metrics := khttp.NewServer(khttp.Listener(nod.metricsLis), khttp.Timeout(0), endpoint(nod.set.MetricsAddr))
		metrics.Handler = nod.operators()
		servers = append(servers, metrics)
	}
	nod.app = kratos.New(
		kratos.Name("lovagestream"), kratos.ID(nod.set.Name),
		kratos.Server(servers...),
		kratos.Signal(syscall.SIGTERM, os.Interrupt),
		kratos.BeforeStop(nod.drain),
		kratos.StopTimeout(serverStopTimeout),
	)
}

// connLimits returns the connection limits of the current configuration.
func (nod *Node) connLimits() accept.Limits {
	if tab := nod.ctl.View().Table; tab != nil {
		return accept.Limits{HeaderTimeout: tab.Limits().HeaderTimeout, IdleTimeout: tab.Limits().IdleTimeout}
	}
	return accept.Limits{}
}

// logClosedConn logs a connection that was closed here while a request was on it.
func (nod *Node) logClosedConn(caller net.Addr) {
	nod.dep.Log.Log("closed-under-request", lines.Fields{"caller": caller.String()})
}

// logListenError logs that the listener for callers could not be opened again.
func (nod *Node) logListenError(err error) {
	nod.dep.Log.Log("listen-failed", lines.Fields{"error": err.Error()})
}

// watchLateness refuses callers' connections while the process is short of processor time.
func (nod *Node) watchLateness(ctx context.Context) error {
	nod.ctl.throttle.Watch(ctx, func(lateness time.Duration, late bool) {
		_, rate := nod.ctl.throttle.State()
		event := "instance-in-time"
		if late {
			event = "instance-late"
			nod.gate.Refuse()
		}
		nod.dep.Log.Log(event, lines.Fields{"lateness": lateness.Milliseconds(), "connections-per-second": rate})
	})
	return nil
}

// endpoint sets the server's address. Without it kratos looks for one among the
// machine's network interfaces, which small machines don't list.
func endpoint(address string) khttp.ServerOption {
	return khttp.Endpoint(&url.URL{Scheme: "http", Host: address})
}

func (nod *Node) serveReadiness(wri http.ResponseWriter, _ *http.Request) {
	if !nod.ctl.Ready() {
		wri.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Run serves until a signal stops it.
func (nod *Node) Run() error {
	nod.dep.Log.Log("start", lines.Fields{"name": nod.set.Name, "zone": nod.set.Zone, "callers": nod.set.CallerAddr, "peers": nod.set.PeerAddr, "told": nod.set.AdvertisedAddr, "store": nod.set.StoreAddr})
	// The log writer outlives everything else, so that the last lines are
	// written.
	wctx, stop := context.WithCancel(context.Background())
	out := group.New(wctx)
	out.Go(nod.dep.Log.Run)
	nod.grp.Go(nod.ctl.Run)
	nod.grp.Go(nod.ctl.Tick)
	nod.grp.Go(nod.watchLateness)
	nod.grp.Go(nod.rdr.FollowConfig)
	nod.grp.Go(nod.rdr.FollowServers)
	nod.grp.Go(func(ctx context.Context) error { return nod.transport.Serve(ctx, nod.peerLis) })
	nod.grp.Go(nod.watchSettings)
	nod.grp.Go(func(ctx context.Context) error {
		nod.dep.Clock.Every(ctx, sweepInterval, func(time.Time) { nod.poo.Sweep() })
		return nil
	})
	err := nod.stopResult(nod.app.Run())
	nod.grp.Stop()
	nod.flushTraces()
	nod.dep.Log.Log("stop", lines.Fields{"name": nod.set.Name})
	stop()
	_ = out.Wait()
	return errors.Wrap(err, "run the entry instance")
}

// stopResult maps the error of the stopped servers. A planned stop that has
// drained succeeds even if connections without a request are left: callers open
// some ahead of need, and the HTTP server waits for them as it does for busy ones.
func (nod *Node) stopResult(err error) error {
	if errors.Is(err, context.DeadlineExceeded) && nod.drained.Load() && nod.active() == 0 {
		nod.dep.Log.Log("idle-connections-left", lines.Fields{"name": nod.set.Name})
		return nil
	}
	return err
}

// traceFlushTimeout bounds the export of the last spans: little of the grace time
// is left by then, and stopping in time matters more than spans.
const traceFlushTimeout = 200 * time.Millisecond

// flushTraces exports the remaining spans. If the collector is down they are
// lost, which has no other effect.
func (nod *Node) flushTraces() {
	if nod.dep.Tracer == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dog := nod.dep.Clock.StartWatchdog(traceFlushTimeout, cancel)
	defer dog.Stop()
	if err := nod.dep.Tracer.Close(ctx); err != nil {
		nod.dep.Log.Log("spans-lost", lines.Fields{"error": err.Error()})
	}
}

// active returns the number of requests in flight, of callers and of other instances.
func (nod *Node) active() int64 { return nod.srv.Active() + nod.rly.inFlight.Load() }

// Stop starts a planned stop, as a signal does.
func (nod *Node) Stop() error { return nod.app.Stop() }

// Ready reports whether the instance accepts callers.
func (nod *Node) Ready() bool { return nod.ctl.Ready() }

// LiveMembers returns the number of live entry instances, this one included.
func (nod *Node) LiveMembers() int { return nod.ctl.View().Live }

// drain fails the readiness probe, continues serving, and returns when no request
// is in flight or the grace time is nearly over.
func (nod *Node) drain(context.Context) error {
	start := nod.dep.Clock.Now()
	nod.dep.Log.Log("stopping", lines.Fields{"name": nod.set.Name, "active": nod.active()})
	nod.ctl.post(evStop{})
	grace := nod.set.Grace
	if grace == 0 {
		grace = defaultGrace
	}
	drainLimit := grace - graceMargin
	// With a short grace time, half of it is left to announce to callers that
	// connections close.
	closeAfter := min(deregistrationDelay, drainLimit/2)
	// A request that waits still has half of the remaining time to run in, or is left to
	// another instance while its caller has time for that.
	waitUntil := (closeAfter + drainLimit) / 2
	closing, refused := false, false
	lastActive := start
	for {
		_ = nod.dep.Clock.Sleep(context.Background(), drainPollInterval)
		now := nod.dep.Clock.Now()
		elapsed := now.Sub(start)
		if nod.active() > 0 {
			lastActive = now
		}
		if !closing && elapsed > closeAfter {
			closing = true
			nod.ctl.post(evStop{closing: true, closingAt: start.Add(drainLimit)})
			nod.dep.Log.Log("closing", lines.Fields{"connections": nod.callerConns.OpenConns(), "active": nod.active()})
		}
		if !refused && elapsed > waitUntil {
			refused = true
			nod.srv.RefuseWaiting()
		}
		if closing {
			// Closes idle connections now, so that no request of their callers
			// crosses the end of the process. It is repeated because an answer
			// that was started before closing began couldn't announce that its
			// connection closes.
			nod.callerConns.CloseIdle()
		}
		if elapsed > drainLimit || closing && now.Sub(lastActive) > quietPeriod && elapsed > closeAfter+quietPeriod {
			nod.closeCallers(max(drainLimit-elapsed, 0) + callerCloseTimeout)
			nod.drained.Store(true)
			nod.dep.Log.Log("drained", lines.Fields{"took": nod.dep.Clock.Now().Sub(start).Milliseconds(), "active": nod.active()})
			return nil
		}
	}
}

// closeCallers closes each caller connection once no request is on it, and all of
// them after a timeout. When the HTTP server shuts down it drops requests that it
// has read but not started without an answer, so it must find none.
func (nod *Node) closeCallers(timeout time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dog := nod.dep.Clock.StartWatchdog(timeout, cancel)
	defer dog.Stop()
	last := nod.dep.Clock.StartWatchdog(timeout-lastAnswersTime, func() {
		if num := nod.srv.EndUnanswered(); num > 0 {
			nod.dep.Log.Log("requests-ended", lines.Fields{"requests": num})
		}
	})
	defer last.Stop()
	if num := nod.callerConns.Drain(ctx); num > 0 {
		nod.dep.Log.Log("caller-connections-cut", lines.Fields{"connections": num, "active": nod.active()})
	}
}

// settingsPollInterval is how often the settings file is read again without a
// signal, since it may change without one.
const settingsPollInterval = 5 * time.Second

// watchSettings reloads the settings at SIGHUP and periodically.
func (nod *Node) watchSettings(ctx context.Context) error {
	sigs := make(chan os.Signal, 1)
	signal.Notify(sigs, syscall.SIGHUP)
	defer signal.Stop(sigs)
	nod.grp.Go(func(ctx context.Context) error {
		nod.dep.Clock.Every(ctx, settingsPollInterval, func(time.Time) { nod.reloadSettings(false) })
		return nil
	})
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sigs:
			nod.reloadSettings(true)
		}
	}
}

func (nod *Node) reloadSettings(bySignal bool) {
	set, err := nod.dep.Reload()
	if err != nil {
		nod.dep.Log.Log("settings-unreadable", lines.Fields{"error": err.Error()})
		return
	}
	nod.ctl.post(evSettings{set: set, bySignal: bySignal})
}
