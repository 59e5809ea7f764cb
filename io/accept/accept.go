// Package accept tracks the connections of callers and closes idle ones without
// losing a request.
//
// When keep-alives are disabled or a server shuts down, net/http closes connections
// as idle until their goroutine has read a request's header and reported the new
// state. A request read just before the close is run, but its answer can't be sent;
// during a shutdown it is dropped silently. On a machine short of processor time
// this race window lasts tens of milliseconds.
//
// This package closes the window: the first bytes of a request are read under the
// lock that also guards the end of a connection, a connection with unread bytes in
// its socket is not ended, and no handler starts on an ended one. A request still in
// transit when its connection ends is never run, so its caller may send it again.
package accept

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lovagestream/io/clock"
	"lovagestream/io/frame"
)

// defaultMinIdle is how long a connection must have waited for a request before
// it is closed: ten round trips of a caller. Without this wait, the next request
// of a caller that sends it at once would cross the close; with it, the request is
// served, and its response can say that the connection closes.
const defaultMinIdle = 50 * time.Millisecond

// drainInterval is how often Drain looks for idle connections: often enough to
// add no noticeable delay to a planned stop.
const drainInterval = 10 * time.Millisecond

// Limits are the timeouts of a caller's connection; 0 is none.
type Limits struct {
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the wait for the next request.
	IdleTimeout time.Duration
}

// Listener accepts callers' connections and tracks them until they are closed.
type Listener struct {
	net.Listener
	clk clock.Service
	// limits returns the limits in force. The HTTP server's own are fixed at its
	// start, while those of the configuration change.
	limits func() Limits
	// onLost is called when a connection is closed here after a request was read
	// and before its handler started. The HTTP server does not report such a
	// request, which otherwise looks as if its caller had left.
	onLost func(caller net.Addr)
	// minIdle is defaultMinIdle, except in tests.
	minIdle time.Duration

	mu sync.Mutex
	// conns holds the open connections.
	conns map[*Conn]struct{}
	// draining is set once no more connections are accepted.
	draining bool
	// most bounds the open connections; 0 means no bound. closed counts those that were
	// closed for it.
	most   int
	closed int64
	// searchedAt is when a search last found too few of them.
	searchedAt time.Time
}

// New wraps a TCP listener. onLost is called with the address of each caller
// whose request was read but not run because its connection was closed here.
func New(lis net.Listener, clk clock.Service, limits func() Limits, onLost func(caller net.Addr)) *Listener {
	return &Listener{Listener: lis, clk: clk, limits: limits, onLost: onLost, minIdle: defaultMinIdle, conns: map[*Conn]struct{}{}}
}

// SocketError is returned for a connection whose socket lacks an operation that
// this package needs.
type SocketError struct {
	Cause error
}

// Error names the cause.
func (err *SocketError) Error() string { return "caller's socket: " + err.Cause.Error() }

// Unwrap returns the cause.
func (err *SocketError) Unwrap() error { return err.Cause }

// Accept waits for the next connection. Connections that arrive after Drain has
// started are closed unread: while a load balancer keeps sending callers, there
// might never be a moment without an open connection.
func (lis *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := lis.Listener.Accept()
		if err != nil {
			return nil, err
		}
		con, err := lis.newConn(raw)
		if err != nil {
			_ = raw.Close()
			return nil, err
		}
		lis.makeRoom()
		if lis.add(con) {
			return con, nil
		}
		_ = raw.Close()
	}
}

func (lis *Listener) newConn(raw net.Conn) (*Conn, error) {
	sys, ok := raw.(syscall.Conn)
	if !ok {
		return nil, &SocketError{Cause: errors.New("not a socket")}
	}
	soc, err := sys.SyscallConn()
	if err != nil {
		return nil, &SocketError{Cause: err}
	}
	return &Conn{Conn: raw, lis: lis, soc: soc, waitingSince: lis.clk.Now()}, nil
}

func (lis *Listener) add(con *Conn) bool {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	if lis.draining || lis.most > 0 && len(lis.conns) >= lis.most {
		return false
	}
	lis.conns[con] = struct{}{}
	return true
}

func (lis *Listener) remove(con *Conn) {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	delete(lis.conns, con)
}

// snapshot returns a snapshot of the open connections.
func (lis *Listener) snapshot() []*Conn {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	out := make([]*Conn, 0, len(lis.conns))
	for con := range lis.conns {
		out = append(out, con)
	}
	return out
}

// OpenConns returns the number of open connections.
func (lis *Listener) OpenConns() int {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	return len(lis.conns)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Attach sets an HTTP server's hooks so that the listener learns the state of
// each connection, and the handler runs only on connections that were not ended.
// It must be called after the server's handler is set and before the server
// serves this listener.
func (lis *Listener) Attach(srv *http.Server) {
	han := srv.Handler
	srv.ConnState = trackState
	srv.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		con := unwrapConn(raw)
		if con == nil {
			return ctx
		}
		return frame.ConnContext(context.WithValue(ctx, connKey{}, con), con)
	}
	srv.Handler = http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		con, ok := req.Context().Value(connKey{}).(*Conn)
		if ok && !con.startHandler() {
			panic(http.ErrAbortHandler)
		}
		done := false
		defer func() {
			if ok && !done && !req.ProtoAtLeast(1, 1) {
				con.resetOnClose()
			}
		}()
		han.ServeHTTP(wri, req)
		done = true
	})
}

// unwrapConn returns the Conn below an HTTP server's connection, which may be
// TLS, or nil.
func unwrapConn(raw net.Conn) *Conn {
	if sec, ok := raw.(interface{ NetConn() net.Conn }); ok {
		raw = sec.NetConn()
	}
	con, _ := raw.(*Conn)
	return con
}

// trackState is an http.Server.ConnState hook; it notes that a connection waits
// for the next request.
func trackState(raw net.Conn, state http.ConnState) {
	if con := unwrapConn(raw); con != nil && state == http.StateIdle {
		con.finishRequest()
	}
}

// CloseIdle closes the connections that have served a request and have been idle
// for a while, and returns their number. It keeps unused connections: their
// callers have just opened them and are about to send.
func (lis *Listener) CloseIdle() int { return lis.closeWaiting(false) }

func (lis *Listener) closeWaiting(unused bool) int {
	num := 0
	for _, con := range lis.snapshot() {
		if con.closeIfWaiting(unused) {
			num++
		}
	}
	return num
}

// Drain stops accepting connections and closes each open one as soon as it has no
// request in progress, until none is left or the context is done. It returns the
// number of connections left, each with a request in progress. Responses written
// meanwhile should say that their connection closes.
func (lis *Listener) Drain(ctx context.Context) int {
	lis.stopAccepting()
	for {
		lis.closeWaiting(true)
		if left := lis.OpenConns(); left == 0 || ctx.Err() != nil {
			return left
		}
		_ = lis.clk.Sleep(ctx, drainInterval)
	}
}

func (lis *Listener) stopAccepting() {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	lis.draining = true
}
