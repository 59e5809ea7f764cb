// Package peer carries messages between entry instances. Each link is one
// bidirectional gRPC stream, opened when there is something to send and closed
// when idle.
//
// The package encodes and decodes messages; the control state decides what is
// sent and to whom. Delivery is best effort: a message that can't be queued on
// a link is dropped and counted.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"

	"lovagestream/core"
	"lovagestream/io/clock"
	"lovagestream/io/group"
	"lovagestream/io/logs"
	"lovagestream/io/origin"
	"lovagestream/io/peer/wire"
)

const (
	// headerInstance carries the identity of each end of a stream.
	headerInstance = "lovage-instance"
	// maxCompressing bounds the messages being compressed at a time. The
	// receiver asks again for one that was dropped.
	maxCompressing = 16
	// maxLinks bounds the links of one transport, whichever end opened them.
	maxLinks = 1024
	// idleTimeout is how long a link without traffic stays open. Heartbeats
	// are far more frequent, so links that carry them stay open.
	idleTimeout = 30 * time.Second
	// silenceTimeout is how long a link that was written to may receive
	// nothing. It is then closed, and the next message opens another.
	silenceTimeout = 3 * time.Second
	sweepInterval  = time.Second
	// pingInterval is the interval of keepalive pings. A connection that
	// leaves one unanswered for pingTimeout is closed, and the next message
	// opens another.
	pingInterval = 10 * time.Second
	pingTimeout  = 3 * time.Second
	dialTimeout  = 2 * time.Second
	// windowSize is the flow control window of a link in bytes. A fixed size
	// turns off gRPC's bandwidth probes, which together with window updates
	// would double the bytes of small messages.
	windowSize = 1 << 20
	// flushAttempts and flushInterval bound how long Stop waits for queued
	// messages to be sent.
	flushAttempts = 20
	flushInterval = 10 * time.Millisecond
	// redialBackoff is the wait before a peer is dialed again after a
	// failure.
	redialBackoff = 500 * time.Millisecond
)

// Poster delivers events to the control state.
type Poster interface {
	Post(ctx context.Context, ev core.Event) error
}

// Transport holds the links of one entry instance, both those that it dials and
// those that it accepts.
type Transport struct {
	self string
	lis  net.Listener
	src  origin.SourceAddr
	sec  Security
	pst  Poster
	clk  clock.Service
	log  *logs.Logger
	cnt  Counts
	srv  *grpc.Server
	grp  *group.Group
	stop context.CancelFunc

	mu sync.Mutex
	// compressing counts the messages being compressed, at most
	// maxCompressing.
	compressing int
	// closed is set by Stop; no goroutine is started after that.
	closed bool
	// links holds the open links by peer identity. Two instances that dial
	// each other at the same time have two links; either can be used.
	links map[string][]*link
	// dials holds pending and failed dials by peer identity, or by "@" and the
	// address if the peer is unknown.
	dials map[string]*dial
}

var _ transport.Server = (*Transport)(nil)

// New returns a transport that serves links on lis once Start is called.
func New(self string, lis net.Listener, src origin.SourceAddr, sec Security, pst Poster, clk clock.Service, log *logs.Logger) *Transport {
	trp := &Transport{self: self, lis: lis, src: src, sec: sec, pst: pst, clk: clk, log: log, links: map[string][]*link{}, dials: map[string]*dial{}}
	ctx, cancel := context.WithCancel(context.Background())
	trp.stop = cancel
	trp.grp = group.New(ctx)
	trp.srv = grpc.NewServer(
		grpc.Creds(sec.server()),
		grpc.MaxRecvMsgSize(MaxMessageSize),
		grpc.MaxSendMsgSize(MaxMessageSize),
		grpc.MaxConcurrentStreams(8),
		grpc.InitialWindowSize(windowSize),
		grpc.InitialConnWindowSize(windowSize),
		grpc.ConnectionTimeout(dialTimeout),
		grpc.WaitForHandlers(true),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingInterval / 2, PermitWithoutStream: true}),
	)
	wire.RegisterPeerServer(trp.srv, &service{trp: trp})
	return trp
}

// Counts returns the transport's traffic counters.
func (trp *Transport) Counts() *Counts { return &trp.cnt }

// Links returns the number of open links.
func (trp *Transport) Links() int {
	trp.mu.Lock()
	defer trp.mu.Unlock()
	num := 0
	for _, lnks := range trp.links {
		num += len(lnks)
	}
	return num
}

// Start serves links until Stop.
func (trp *Transport) Start(context.Context) error {
	trp.grp.Go(func(ctx context.Context) error {
		trp.clk.Every(ctx, sweepInterval, trp.sweep)
		return nil
	})
	trp.grp.Go(func(ctx context.Context) error {
		trp.sec.Watch(ctx, trp.clk, trp.log, trp.recheckLinks)
		return nil
	})
	err := trp.srv.Serve(trp.lis)
	if errors.Is(err, grpc.ErrServerStopped) {
		// Stop was called before Serve, which is not an error.
		return nil
	}
	return errors.Wrap(err, "peer links")
}

// Stop waits briefly for queued messages to be sent, then closes every link.
func (trp *Transport) Stop(ctx context.Context) error {
	trp.mu.Lock()
	trp.closed = true
	trp.mu.Unlock()
	trp.flush(ctx)
	trp.stop()
	trp.srv.Stop()
	return trp.grp.Wait()
}

// flush waits a short time for queued messages to be sent, such as the notice
// that this instance is leaving.
func (trp *Transport) flush(ctx context.Context) {
	for range flushAttempts {
		if !trp.hasQueued() {
			return
		}
		_ = trp.clk.Sleep(ctx, flushInterval)
	}
}

// hasQueued reports whether a message is queued on an open link.
func (trp *Transport) hasQueued() bool {
	trp.mu.Lock()
	defer trp.mu.Unlock()
	for _, lnks := range trp.links {
		for _, lnk := range lnks {
			if lnk.que.length() > 0 {
				return true
			}
		}
	}
	return false
}

// Send queues a message on a link to its receiver, opening one if necessary.
// It never blocks; a message that can't be queued is dropped and counted.
func (trp *Transport) Send(dec core.Send) {
	switch dec.Message().(type) {
	case core.ConfigPatch, core.FullList:
		trp.sendCompressed(dec)
	default:
		trp.enqueue(dec)
	}
}

// sendCompressed compresses and queues a message in a goroutine. On the control
// thread, compression would block it for milliseconds for each of many
// instances that start at the same time.
func (trp *Transport) sendCompressed(dec core.Send) {
	trp.mu.Lock()
	defer trp.mu.Unlock()
	if trp.closed || trp.compressing >= maxCompressing {
		trp.cnt.dropped.Add(1)
		return
	}
	trp.compressing++
	trp.grp.Go(func(context.Context) error {
		trp.enqueue(dec)
		trp.mu.Lock()
		defer trp.mu.Unlock()
		trp.compressing--
		return nil
	})
}

// enqueue encodes a message and queues it on a link.
func (trp *Transport) enqueue(dec core.Send) {
	env, err := Encode(dec.Stamp(), dec.Message())
	if err != nil {
		trp.log.Warn("Dropped a message that can't be encoded.", logs.Fields{"error": err})
		trp.cnt.dropped.Add(1)
		return
	}
	if que := trp.queueFor(dec.To(), dec.Address()); que != nil {
		que.push(env)
		return
	}
	trp.cnt.dropped.Add(1)
}

// serve registers an open link and runs it until it ends. The key is that of
// its entry in dials, empty if the peer dialed.
func (trp *Transport) serve(ctx context.Context, lnk *link, key string, stm stream) error {
	ctx, lnk.cancel = context.WithCancel(ctx)
	defer lnk.cancel()
	lnk.markReceived(trp.clk.Now())
	trp.mu.Lock()
	if trp.closed {
		trp.mu.Unlock()
		return errors.New("peer link: stopping")
	}
	trp.links[lnk.peer] = append(trp.links[lnk.peer], lnk)
	delete(trp.dials, key)
	trp.mu.Unlock()
	defer trp.linkEnded(lnk)
	return lnk.run(ctx, trp, stm)
}

// linkEnded removes a link and reports to the control state a peer that has no
// link left: broken connections are the first sign of a crashed process.
func (trp *Transport) linkEnded(lnk *link) {
	lnk.end()
	if trp.removeLink(lnk) && !lnk.idle(trp.clk.Now()) {
		_ = trp.pst.Post(trp.grp.Context(), core.NewLinkFailed(lnk.peer))
	}
}

// removeLink removes a link and reports whether it was its peer's last.
func (trp *Transport) removeLink(lnk *link) bool {
	trp.cnt.dropped.Add(int64(lnk.que.length()))
	trp.mu.Lock()
	defer trp.mu.Unlock()
	kept := trp.links[lnk.peer][:0:0]
	for _, oth := range trp.links[lnk.peer] {
		if oth != lnk {
			kept = append(kept, oth)
		}
	}
	trp.links[lnk.peer] = kept
	if len(kept) == 0 {
		delete(trp.links, lnk.peer)
	}
	return len(kept) == 0
}

// sweep closes links that are silent or idle. It also deletes failed dials
// whose backoff is over, so that both maps stay bounded.
func (trp *Transport) sweep(now time.Time) {
	trp.mu.Lock()
	defer trp.mu.Unlock()
	for _, lnks := range trp.links {
		for _, lnk := range lnks {
			if lnk.silent(now) || lnk.idle(now) {
				lnk.cancel()
			}
		}
	}
	for key, dia := range trp.dials {
		if !dia.retryAt.IsZero() && now.After(dia.retryAt) {
			delete(trp.dials, key)
		}
	}
}

// recheckLinks closes links whose peer the current keys no longer authenticate,
// so that removing a key closes the links that were opened with it.
func (trp *Transport) recheckLinks() {
	trp.mu.Lock()
	defer trp.mu.Unlock()
	for _, lnks := range trp.links {
		for _, lnk := range lnks {
			if err := lnk.verify(); err != nil {
				trp.cnt.refused.Add(1)
				trp.log.Warn("Closed a link: the current keys do not authenticate the peer.", logs.Fields{"peer": lnk.peer, "error": err})
				lnk.cancel()
			}
		}
	}
}

// deliver decodes an envelope and passes it to the control state. An envelope
// that violates the protocol closes its link.
func (trp *Transport) deliver(ctx context.Context, from string, env *wire.Envelope) error {
	stm, msg, err := Decode(env)
	if err != nil {
		trp.cnt.refused.Add(1)
		trp.log.Warn("Refused a message; closing the link.", logs.Fields{"peer": from, "error": err})
		return err
	}
	return trp.pst.Post(ctx, core.NewMessageReceived(from, stm, msg))
}

// service implements the gRPC service for the links that peers open.
type service struct {
	wire.UnimplementedPeerServer
	trp *Transport
}

// Link serves one stream opened by a peer.
func (svc *service) Link(stm grpc.BidiStreamingServer[wire.Envelope, wire.Envelope]) error {
	trp := svc.trp
	mtd, _ := metadata.FromIncomingContext(stm.Context())
	peer, err := trp.sec.identify(stm.Context(), mtd)
	if err != nil {
		trp.cnt.refused.Add(1)
		return err
	}
	if trp.Links() >= maxLinks {
		trp.cnt.refused.Add(1)
		return errors.New("too many links")
	}
	if err := stm.SendHeader(metadata.Pairs(headerInstance, trp.self)); err != nil {
		return err
	}
	verify := func() error { _, perr := trp.sec.identify(stm.Context(), mtd); return perr }
	return trp.serve(stm.Context(), &link{peer: peer, que: newQueue(trp.countDrops), verify: verify}, "", stm)
}
