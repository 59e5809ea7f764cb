package peer

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"

	"lovagestream/core"
	"lovagestream/io/logs"
	"lovagestream/io/peer/wire"
)

// dial is a link that is being opened, or whose opening failed.
type dial struct {
	que *queue
	// retryAt is when a failed dial may be retried; zero while it is in
	// progress.
	retryAt time.Time
}

// queueFor returns the queue of an open link to a peer, or of one that it starts
// to open. It returns nil if no link can be opened now.
func (trp *Transport) queueFor(peer, address string) *queue {
	trp.mu.Lock()
	defer trp.mu.Unlock()
	if lnks := trp.links[peer]; peer != "" && len(lnks) > 0 {
		return lnks[0].que
	}
	key := peer
	if key == "" {
		key = "@" + address
	}
	dia := trp.dials[key]
	switch {
	case dia != nil && (dia.retryAt.IsZero() || trp.clk.Now().Before(dia.retryAt)):
		if dia.retryAt.IsZero() {
			return dia.que
		}
		return nil
	case trp.closed || address == "" || len(trp.dials)+len(trp.links) >= maxLinks:
		return nil
	}
	dia = &dial{que: newQueue(trp.countDrops)}
	trp.dials[key] = dia
	trp.grp.Go(func(ctx context.Context) error {
		err := trp.connect(ctx, peer, address, key, dia)
		trp.log.Debug("Link ended.", logs.Fields{"peer": peer, "address": address, "error": err})
		return nil
	})
	return dia.que
}

func (trp *Transport) countDrops(num int) { trp.cnt.dropped.Add(int64(num)) }

// dialSource opens a TCP connection from the instance's source address.
func (trp *Transport) dialSource(ctx context.Context, address string) (net.Conn, error) {
	return trp.src.DialFunc(dialTimeout)(ctx, "tcp", address)
}

// connect opens a stream and runs the link until it ends.
func (trp *Transport) connect(ctx context.Context, peer, address, key string, dia *dial) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(trp.sec.client()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageSize), grpc.MaxCallSendMsgSize(MaxMessageSize)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithNoProxy(),
		grpc.WithInitialWindowSize(windowSize),
		grpc.WithInitialConnWindowSize(windowSize),
		grpc.WithContextDialer(trp.dialSource),
	)
	if err != nil {
		trp.dialFailed(peer, dia)
		return errors.Wrap(err, "peer link")
	}
	defer func() { _ = conn.Close() }()
	stm, got, err := trp.openStream(ctx, conn, cancel)
	if err == nil && peer != "" && got != peer {
		// Another instance has taken over the address. The queued messages must
		// not reach it.
		err = errors.Errorf("peer link: instance at %s is %s, not %s", address, got, peer)
	}
	if err != nil {
		trp.dialFailed(peer, dia)
		return err
	}
	verify := func() error {
		_, perr := trp.sec.identify(stm.Context(), metadata.Pairs(headerInstance, got))
		return perr
	}
	return trp.serve(ctx, &link{peer: got, que: dia.que, verify: verify}, key, stm)
}

// openStream opens a stream and returns the identity of the instance that
// accepted it.
func (trp *Transport) openStream(ctx context.Context, conn *grpc.ClientConn, cancel context.CancelFunc) (stream, string, error) {
	dog := trp.clk.StartWatchdog(dialTimeout, cancel)
	defer dog.Stop()
	octx := metadata.AppendToOutgoingContext(ctx, headerInstance, trp.self)
	stm, err := wire.NewPeerClient(conn).Link(octx)
	if err != nil {
		return nil, "", errors.Wrap(err, "peer link")
	}
	hdr, err := stm.Header()
	if err != nil {
		return nil, "", errors.Wrap(err, "peer link")
	}
	got, err := trp.sec.identify(stm.Context(), hdr)
	return stm, got, err
}

// dialFailed reports the failure to the control state, drops the queued messages
// and starts the backoff.
func (trp *Transport) dialFailed(peer string, dia *dial) {
	if peer != "" {
		_ = trp.pst.Post(trp.grp.Context(), core.NewLinkFailed(peer))
	}
	trp.cnt.dropped.Add(int64(dia.que.length()))
	trp.mu.Lock()
	defer trp.mu.Unlock()
	dia.retryAt = trp.clk.Now().Add(redialBackoff)
}
