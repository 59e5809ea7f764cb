// Package stall makes callers' connections whose goroutine doesn't get on at a
// chosen moment, as on a machine whose processor is taken. Tests use it to bring
// about what else happens once in thousands of requests.
package stall

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// closeMost bounds how long the closing of a held connection waits.
const closeMost = time.Second

// moment is where a connection is held.
type moment int32

const (
	never moment = iota
	// atHead is right after the HTTP server has read a request's head.
	atHead
	// atWait is right after it has set the limit for the wait for a request.
	atWait
)

// Listener hands out connections of which it can hold one.
type Listener struct {
	net.Listener
	// next is the moment at which the next connection to reach it is held.
	next    atomic.Int32
	waiting atomic.Bool
	held    chan struct{}
	release chan struct{}
	closing chan struct{}
	passed  chan struct{}
}

// New wraps a TCP listener.
func New(lis net.Listener) *Listener {
	return &Listener{Listener: lis, held: make(chan struct{}), release: make(chan struct{}), closing: make(chan struct{}), passed: make(chan struct{})}
}

// HoldHead holds the next connection right after a request's head was read.
func (lis *Listener) HoldHead() { lis.next.Store(int32(atHead)) }

// HoldWait holds the next connection when it is about to wait for a request, its
// limit set.
func (lis *Listener) HoldWait() { lis.next.Store(int32(atWait)) }

// Waiting reports whether the connection that last set a limit waits for a
// request.
func (lis *Listener) Waiting() bool { return lis.waiting.Load() }

// Held is closed once a connection is held.
func (lis *Listener) Held() <-chan struct{} { return lis.held }

// Release lets the held connection go on. It must be called once.
func (lis *Listener) Release() { close(lis.release) }

// Closing is closed once somebody closes the held connection. The closing waits
// for Pass, a second at most: who closes has looked at the connection by then,
// and its request goes on meanwhile.
func (lis *Listener) Closing() <-chan struct{} { return lis.closing }

// Pass lets the closing of the held connection go on. It must be called once.
func (lis *Listener) Pass() { close(lis.passed) }

// Accept waits for the next connection.
func (lis *Listener) Accept() (net.Conn, error) {
	raw, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	con, ok := raw.(*net.TCPConn)
	if !ok {
		return nil, errors.Errorf("stall: %T is no TCP connection", raw)
	}
	return &socket{TCPConn: con, lis: lis}, nil
}

// socket is one connection.
type socket struct {
	*net.TCPConn
	lis  *Listener
	held atomic.Bool
	shut atomic.Bool
}

// SetReadDeadline shows where the HTTP server is: it sets a limit when it begins
// to wait, and takes it away when it has read a head.
func (soc *socket) SetReadDeadline(at time.Time) error {
	future := at.After(time.Now())
	soc.lis.waiting.Store(future)
	err := soc.TCPConn.SetReadDeadline(at)
	mom := never
	switch {
	case at.IsZero():
		mom = atHead
	case future:
		mom = atWait
	}
	if mom != never && soc.lis.next.CompareAndSwap(int32(mom), int32(never)) {
		soc.held.Store(true)
		close(soc.lis.held)
		<-soc.lis.release
	}
	return err
}

// Close of a held connection comes late.
func (soc *socket) Close() error {
	if soc.held.Load() && soc.shut.CompareAndSwap(false, true) {
		close(soc.lis.closing)
		select {
		case <-soc.lis.passed:
		case <-time.After(closeMost):
		}
	}
	return soc.TCPConn.Close()
}
