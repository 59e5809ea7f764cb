package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"lovagestream/io/logs"
	"lovagestream/io/peer/wire"
)

// stream is the client or server end of a gRPC stream.
type stream interface {
	Send(*wire.Envelope) error
	Recv() (*wire.Envelope, error)
	Context() context.Context
}

// link is one open stream to a peer.
type link struct {
	// peer is the authenticated identity of the other end.
	peer string
	que  *queue
	// lastRead is when a message was last received, in Unix nanoseconds.
	lastRead atomic.Int64
	// unansweredSince is when the first message since lastRead was sent, in
	// Unix nanoseconds; 0 if none was sent.
	unansweredSince atomic.Int64
	// verify returns an error if the current keys no longer authenticate the
	// peer.
	verify func() error
	// cancel ends the stream.
	cancel context.CancelFunc
	// delivery is held while a received message is delivered.
	delivery sync.Mutex
}

// run sends queued envelopes and delivers received ones until either fails. It
// returns as soon as sending ends, which closes the stream and thereby ends the
// receiving goroutine.
func (lnk *link) run(ctx context.Context, trp *Transport, stm stream) error {
	trp.grp.Go(func(context.Context) error {
		defer lnk.cancel()
		err := lnk.receive(ctx, trp, stm)
		trp.log.Debug("Stopped receiving from a peer.", logs.Fields{"peer": lnk.peer, "error": err})
		return nil
	})
	for {
		env, err := lnk.que.pop(ctx)
		if err != nil {
			return errors.Wrap(err, "peer link")
		}
		if err := stm.Send(env); err != nil {
			return errors.Wrap(err, "peer link")
		}
		lnk.unansweredSince.CompareAndSwap(0, trp.clk.Now().UnixNano())
		trp.cnt.sent(proto.Size(env))
	}
}

func (lnk *link) receive(ctx context.Context, trp *Transport, stm stream) error {
	for ctx.Err() == nil {
		env, err := stm.Recv()
		if err != nil {
			return errors.Wrap(err, "peer link")
		}
		lnk.markReceived(trp.clk.Now())
		trp.cnt.received(proto.Size(env))
		if err := lnk.deliver(ctx, trp, env); err != nil {
			return err
		}
	}
	return nil
}

// deliver delivers a message unless the link has been canceled.
func (lnk *link) deliver(ctx context.Context, trp *Transport, env *wire.Envelope) error {
	lnk.delivery.Lock()
	defer lnk.delivery.Unlock()
	if err := ctx.Err(); err != nil {
		return errors.Wrap(err, "peer link")
	}
	return trp.deliver(ctx, lnk.peer, env)
}

// end cancels the link and waits for the delivery in progress. No message is
// delivered after it returns.
func (lnk *link) end() {
	lnk.cancel()
	lnk.delivery.Lock()
	defer lnk.delivery.Unlock()
}

func (lnk *link) markReceived(now time.Time) {
	lnk.lastRead.Store(now.UnixNano())
	lnk.unansweredSince.Store(0)
}

// silent reports whether nothing was received for silenceTimeout after a
// message was sent. When a middlebox drops the state of a connection, writes
// still succeed and no reset arrives. Every message between instances is
// answered, so a working link is never silent.
func (lnk *link) silent(now time.Time) bool {
	since := lnk.unansweredSince.Load()
	return since != 0 && now.UnixNano()-since > int64(silenceTimeout)
}

// idle reports whether the link had no traffic for idleTimeout.
func (lnk *link) idle(now time.Time) bool {
	return lnk.unansweredSince.Load() == 0 && now.UnixNano()-lnk.lastRead.Load() > int64(idleTimeout)
}
