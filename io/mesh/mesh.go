// Package mesh connects entry instances with each other. A link is a bidirectional
// gRPC stream that carries messages both ways; a pair of instances normally has one.
// The caller decides which peers to link to and handles received messages in a Sink.
package mesh

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"lovagestream/core/member"
	"lovagestream/io/clock"
	"lovagestream/io/group"
	"lovagestream/io/mesh/wire"
)

const (
	// queueLength is the maximum number of messages queued on one link, about two
	// seconds of messages at peak load. A link whose queue is full is closed.
	queueLength = 4096
	// droppableLinkBytes is the number of bytes queued on one link above which
	// droppable messages are dropped: a fifth of a second at 10 Mbit/s. An empty
	// queue takes a droppable message of any size.
	droppableLinkBytes = 256 << 10
	// droppableTotalBytes is the same limit for all links together: a few of the
	// 184 megabytes of a small instance.
	droppableTotalBytes = 4 << 20
	// maxLinkBytes is the maximum number of bytes of any kind queued on one link,
	// some 2,000 requests. A message beyond it that isn't droppable closes the link;
	// each end then treats the other as lost.
	maxLinkBytes = 1 << 20
	// dialTimeout limits the opening of a link up to the peer's first message. It
	// allows for links between zones and for load.
	dialTimeout = 1500 * time.Millisecond
	// connectTimeout limits the TCP connect, in which only the kernels take part. The
	// first SYN to a machine that is still starting is lost, and TCP retransmits it
	// only after a second: when all machines restart, links that wait for the
	// retransmission open a second after the machines are up.
	connectTimeout = 150 * time.Millisecond
	// maxMessageSize, in bytes, covers the largest configuration that the platform
	// stores.
	maxMessageSize = 4 << 20
	// streamWindow is the flow-control window of a stream, in bytes. It holds a complete
	// configuration of 350 routes, and 84 links take little memory.
	streamWindow = 128 << 10
	// connBuffer is the size of the read and of the write buffer of a connection, in
	// bytes; messages are small.
	connBuffer = 4 << 10
)

// Sink handles link events and received messages. Its methods are called by the
// goroutines of the links and may block them for a moment.
type Sink interface {
	// Linked reports a new link and the peer at its other end.
	Linked(member.Member)
	// Unlinked reports that the last link to an instance ended, or that a dial
	// failed.
	Unlinked(address string, cause error)
	// Received handles a message from a peer.
	Received(from string, msg Message)
}

// Transport manages the links of one instance. It is safe for use by many goroutines.
type Transport struct {
	self member.Member
	snk  Sink
	clk  clock.Service
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	grp  *group.Group

	mu sync.Mutex
	// links are grouped by peer address, the newest last; messages are sent on the
	// newest.
	links   map[string][]*link
	dialing map[string]bool
	// relayConns are the connections to relays by address; relays handles the requests
	// of other instances.
	relayConns map[string]*grpc.ClientConn
	relays     RelayHandler
	// queued is the number of bytes queued on all links; dropped counts the
	// droppable messages that were dropped.
	queued  atomic.Int64
	dropped atomic.Int64
}

// New returns a transport without links. dial opens TCP connections; grp runs the
// goroutines of the links.
func New(self member.Member, snk Sink, clk clock.Service, dial func(context.Context, string, string) (net.Conn, error), grp *group.Group) *Transport {
	return &Transport{self: self, snk: snk, clk: clk, dial: dial, grp: grp, links: map[string][]*link{}, dialing: map[string]bool{}, relayConns: map[string]*grpc.ClientConn{}}
}

// Serve accepts links on a listener until the context ends.
func (tra *Transport) Serve(ctx context.Context, lis net.Listener) error {
	srv := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageSize), grpc.InitialWindowSize(streamWindow), grpc.InitialConnWindowSize(streamWindow),
		grpc.ReadBufferSize(connBuffer), grpc.WriteBufferSize(connBuffer),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: relayPingTime, Timeout: relayPingTimeout}))
	wire.RegisterMeshServer(srv, &service{transport: tra})
	stop := context.AfterFunc(ctx, srv.Stop)
	defer stop()
	defer tra.closeRelayConns()
	err := srv.Serve(lis)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve peer links")
}

type service struct {
	wire.UnimplementedMeshServer
	transport *Transport
}

// Link runs a link that a peer opened.
func (svc *service) Link(stm wire.Mesh_LinkServer) error {
	ctx, cancel := context.WithCancel(stm.Context())
	defer cancel()
	return svc.transport.runLink(ctx, cancel, stm)
}

// Dial starts to open a link to an address, unless a dial to it is in progress.
func (tra *Transport) Dial(address string) {
	tra.mu.Lock()
	defer tra.mu.Unlock()
	if tra.dialing[address] {
		return
	}
	tra.dialing[address] = true
	tra.grp.Go(func(ctx context.Context) error {
		err := tra.openLink(ctx, address)
		tra.mu.Lock()
		delete(tra.dialing, address)
		noLink := len(tra.links[address]) == 0
		tra.mu.Unlock()
		if noLink {
			tra.snk.Unlinked(address, err)
		}
		return nil
	})
}

func (tra *Transport) openLink(ctx context.Context, address string) error {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)),
		grpc.WithNoProxy(),
		grpc.WithInitialWindowSize(streamWindow), grpc.WithInitialConnWindowSize(streamWindow),
		grpc.WithReadBufferSize(connBuffer), grpc.WithWriteBufferSize(connBuffer),
		grpc.WithContextDialer(tra.dialConn),
	)
	if err != nil {
		return errors.Wrap(err, "open peer link: new client")
	}
	defer func() { _ = conn.Close() }()
	lctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dog := tra.clk.StartWatchdog(dialTimeout, cancel)
	stm, err := wire.NewMeshClient(conn).Link(lctx)
	if err != nil {
		dog.Stop()
		return errors.Wrap(err, "open peer link")
	}
	return tra.runLink(lctx, func() { dog.Stop(); cancel() }, &dialedStream{stream: stm, dog: dog})
}

// dialConn opens a TCP connection within connectTimeout.
func (tra *Transport) dialConn(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dog := tra.clk.StartWatchdog(connectTimeout, cancel)
	defer dog.Stop()
	return tra.dial(ctx, "tcp", address)
}

// dialedStream stops the watchdog of a dial when the first message arrives.
type dialedStream struct {
	stream
	dog clock.Watchdog
}

func (dst *dialedStream) Recv() (*wire.Envelope, error) {
	env, err := dst.stream.Recv()
	dst.dog.Stop()
	return env, err
}

// stream is the client or server end of a gRPC stream.
type stream interface {
	Send(*wire.Envelope) error
	Recv() (*wire.Envelope, error)
}

// queuedMessage is a message in the send queue of a link, with its size in bytes.
type queuedMessage struct {
	msg  Message
	size int64
}

// link is one open stream to a peer with its send queue.
type link struct {
	peer   member.Member
	out    chan queuedMessage
	cancel context.CancelFunc
	// queued is the number of bytes in the send queue.
	queued atomic.Int64

	mu    sync.Mutex
	cause error
}

func (lnk *link) setCause(err error) {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	lnk.cause = err
}

func (lnk *link) endCause() error {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	return lnk.cause
}

// runLink exchanges Hello messages with the peer, then sends and receives messages
// until either direction fails or the context ends.
func (tra *Transport) runLink(ctx context.Context, cancel context.CancelFunc, stm stream) error {
	defer cancel()
	if err := stm.Send(&wire.Envelope{Body: &wire.Envelope_Hello{Hello: &wire.Hello{Self: fromMember(tra.self)}}}); err != nil {
		return errors.Wrap(err, "peer link: greeting")
	}
	env, err := stm.Recv()
	if err != nil {
		return errors.Wrap(err, "peer link: greeting")
	}
	if env.GetHello() == nil || env.GetHello().GetSelf().GetAddress() == "" {
		return errors.New("peer link: the first message is no greeting")
	}
	lnk := &link{peer: toMember(env.GetHello().GetSelf()), out: make(chan queuedMessage, queueLength), cancel: cancel}
	if lnk.peer.Address == tra.self.Address {
		return errors.New("peer link: to myself")
	}
	tra.addLink(lnk)
	tra.snk.Linked(lnk.peer)
	tra.grp.Go(func(context.Context) error {
		defer cancel()
		lnk.setCause(tra.readLoop(lnk, stm))
		return nil
	})
	// writeLoop returns when the context ends, whichever side canceled it. Returning
	// from runLink closes the stream, which also ends readLoop.
	lnk.writeLoop(ctx, tra, stm)
	cancel()
	if tra.removeLink(lnk) {
		tra.snk.Unlinked(lnk.peer.Address, lnk.endCause())
	}
	return errors.New("peer link: ended")
}

func (tra *Transport) readLoop(lnk *link, stm stream) error {
	for {
		env, err := stm.Recv()
		if err != nil {
			return errors.Wrap(err, "peer link: receive")
		}
		if msg := decode(tra.clk.Now(), tra.self.Address, lnk.peer.Address, env); msg != nil {
			tra.snk.Received(lnk.peer.Address, msg)
		}
	}
}

func (lnk *link) writeLoop(ctx context.Context, tra *Transport, stm stream) {
	for {
		select {
		case <-ctx.Done():
			return
		case qms := <-lnk.out:
			err := stm.Send(qms.msg.encode(tra.clk.Now()))
			lnk.addQueued(tra, -qms.size)
			if err != nil {
				return
			}
		}
	}
}

func (tra *Transport) addLink(lnk *link) {
	tra.mu.Lock()
	defer tra.mu.Unlock()
	tra.links[lnk.peer.Address] = append(tra.links[lnk.peer.Address], lnk)
}

// removeLink removes a link and reports whether it was the last to its peer. Other
// links to the peer, as there are after both ends dialed at once, are closed too:
// messages in flight on the link are lost, and both ends notice only when the last
// link ends. Otherwise a request handed over on the lost link would wait for its
// decision until its deadline.
func (tra *Transport) removeLink(lnk *link) bool {
	tra.mu.Lock()
	defer tra.mu.Unlock()
	// Nothing is sent on the link any more, so its queue is discarded.
	tra.queued.Add(-lnk.queued.Swap(0))
	list := tra.links[lnk.peer.Address]
	for idx, oth := range list {
		if oth == lnk {
			list = append(list[:idx], list[idx+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(tra.links, lnk.peer.Address)
		return true
	}
	tra.links[lnk.peer.Address] = list
	for _, oth := range list {
		oth.cancel()
	}
	return false
}

// addQueued adds size bytes, negative for a removal, to the queued bytes of the
// link and of all links.
func (lnk *link) addQueued(tra *Transport, size int64) {
	lnk.queued.Add(size)
	tra.queued.Add(size)
}

// QueuedBytes returns the number of bytes queued on all links.
func (tra *Transport) QueuedBytes() int64 { return tra.queued.Load() }

// DroppedMessages returns the number of droppable messages that were dropped.
func (tra *Transport) DroppedMessages() int64 { return tra.dropped.Load() }

// Send queues a message for a peer and reports whether it was queued. It isn't if
// there is no link to the peer or the link's queue is above its limits; a droppable
// message is then dropped, and for any other message the link is closed.
//
// The limits are in bytes as well as in messages: peers may receive more slowly
// than messages arrive, on many links at once, and 4,096 lists on each of 300 links
// made an instance run out of memory.
func (tra *Transport) Send(address string, msg Message) bool {
	size := int64(Size(tra.clk.Now(), msg))
	tra.mu.Lock()
	defer tra.mu.Unlock()
	list := tra.links[address]
	if len(list) == 0 {
		return false
	}
	lnk := list[len(list)-1]
	queued := lnk.queued.Load()
	droppable := isDroppable(msg)
	if droppable && queued > 0 && (queued+size > droppableLinkBytes || tra.queued.Load()+size > droppableTotalBytes) {
		tra.dropped.Add(1)
		return false
	}
	if !droppable && queued+size > maxLinkBytes {
		lnk.cancel()
		return false
	}
	lnk.addQueued(tra, size)
	select {
	case lnk.out <- queuedMessage{msg: msg, size: size}:
		return true
	default:
		lnk.addQueued(tra, -size)
		lnk.cancel()
		return false
	}
}

// isDroppable reports whether a message can be lost without harm: heartbeats
// are repeated, and the versions and digests in them make peers ask again for the
// rest. Reports and notices on client accounts are repeated too, and age.
func isDroppable(msg Message) bool {
	switch msg.(type) {
	case Heartbeat, HeartbeatRepeat, Members, AskMembers, Config, AskConfig, Servers, AskServers, Usages, Standings:
		return true
	}
	return false
}

// Disconnect closes all links to a peer.
func (tra *Transport) Disconnect(address string) {
	tra.mu.Lock()
	defer tra.mu.Unlock()
	for _, lnk := range tra.links[address] {
		lnk.cancel()
	}
}
