// Package stall provides connections whose goroutine in the HTTP server can be
// held at a chosen point, as if it got no CPU time. Tests use it to reproduce
// races that otherwise occur once in thousands of requests.
package stall

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// maxCloseDelay bounds how long Close of a held connection waits.
const maxCloseDelay = time.Second

// holdPoint is the point at which a connection is held.
type holdPoint int32

const (
	holdNone holdPoint = iota
	// afterHeader is right after the HTTP server has read a request's header.
	afterHeader
	// onIdle is right after it has set the read deadline for the next request.
	onIdle
	// afterDeadline is right after it has set any read deadline.
	afterDeadline
)

// Listener accepts connections and can hold one of them.
type Listener struct {
	net.Listener
	// holdNext is the point at which the next connection to reach it is held.
	holdNext      atomic.Int32
	awaiting      atomic.Bool
	held          chan struct{}
	release       chan struct{}
	closing       chan struct{}
	closeReleased chan struct{}
}

// New wraps a TCP listener.
func New(lis net.Listener) *Listener {
	return &Listener{Listener: lis, held: make(chan struct{}), release: make(chan struct{}), closing: make(chan struct{}), closeReleased: make(chan struct{})}
}

// HoldAfterHeader holds the next connection right after a request's header was
// read.
func (lis *Listener) HoldAfterHeader() { lis.holdNext.Store(int32(afterHeader)) }

// HoldIdle holds the next connection that becomes idle, right after the read
// deadline for its next request was set.
func (lis *Listener) HoldIdle() { lis.holdNext.Store(int32(onIdle)) }

// HoldAfterDeadline holds the next connection right after any read deadline was
// set.
func (lis *Listener) HoldAfterDeadline() { lis.holdNext.Store(int32(afterDeadline)) }

// Waiting reports whether the connection whose read deadline was last set or
// cleared is waiting for a request.
func (lis *Listener) Waiting() bool { return lis.awaiting.Load() }

// Held is closed once a connection is held.
func (lis *Listener) Held() <-chan struct{} { return lis.held }

// Release releases the held connection. It must be called once.
func (lis *Listener) Release() { close(lis.release) }

// Closing is closed once Close is called on the held connection. Close waits for
// ReleaseClose, for a second at most: its caller has decided to close the
// connection, while the connection's request goes on.
func (lis *Listener) Closing() <-chan struct{} { return lis.closing }

// ReleaseClose lets Close of the held connection proceed. It must be called once.
func (lis *Listener) ReleaseClose() { close(lis.closeReleased) }

// Accept waits for the next connection.
func (lis *Listener) Accept() (net.Conn, error) {
	raw, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	con, ok := raw.(*net.TCPConn)
	if !ok {
		return nil, errors.Errorf("stall: accept: %T is not a TCP connection", raw)
	}
	return &socket{TCPConn: con, lis: lis}, nil
}

// socket is a connection of a Listener.
type socket struct {
	*net.TCPConn
	lis    *Listener
	held   atomic.Bool
	closed atomic.Bool
	// noDeadline is set while no read deadline is set.
	noDeadline atomic.Bool
}

// SetReadDeadline sets the deadline and holds the connection if it has reached
// its hold point: the HTTP server sets a read deadline when it starts to wait
// for a request, and clears it when it has read the header.
func (soc *socket) SetReadDeadline(at time.Time) error {
	err := soc.TCPConn.SetReadDeadline(at)
	pending := at.After(time.Now())
	soc.lis.awaiting.Store(pending)
	hadNone := soc.noDeadline.Swap(at.IsZero())
	switch {
	case at.IsZero():
		soc.hold(afterHeader)
	case pending && hadNone:
		soc.hold(onIdle)
	}
	if pending {
		soc.hold(afterDeadline)
	}
	return err
}

// hold blocks until Release if a connection is to be held at this point.
func (soc *socket) hold(hpt holdPoint) {
	if soc.lis.holdNext.CompareAndSwap(int32(hpt), int32(holdNone)) {
		soc.held.Store(true)
		close(soc.lis.held)
		<-soc.lis.release
	}
}

// Close closes the connection. If it is held, Close waits for ReleaseClose or
// maxCloseDelay.
func (soc *socket) Close() error {
	if soc.held.Load() && soc.closed.CompareAndSwap(false, true) {
		close(soc.lis.closing)
		select {
		case <-soc.lis.closeReleased:
		case <-time.After(maxCloseDelay):
		}
	}
	return soc.TCPConn.Close()
}
