package edge

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"lovagestream/core/table"
	"lovagestream/io/clock"
)

// callers is the listener for callers. Its connections keep to the published
// limits of the moment: the HTTP server's own times are fixed when it starts.
// Without them a caller that stays idle holds a descriptor and its buffers for
// as long as the fixed time, and thousands of such callers hold thousands.
type callers struct {
	net.Listener
	clk    clock.Service
	limits func() table.Limits
}

// Accept wraps a connection.
func (lis *callers) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: con, lis: lis}, nil
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	lis *callers
	// idle is set between requests.
	idle atomic.Bool
}

// SetReadDeadline bounds the wait for a request by the published idle limit,
// and the reading of its head by the limit for that. The HTTP server sets a
// bound at just these two moments, and takes it away when the first bytes of
// a request are there.
func (con *callerConn) SetReadDeadline(at time.Time) error {
	if at.IsZero() {
		con.idle.Store(false)
		return con.Conn.SetReadDeadline(at)
	}
	lim := con.lis.limits()
	most := lim.Head
	if con.idle.Load() {
		most = lim.Idle
	}
	if bound := con.lis.clk.Now().Add(most); most > 0 && at.After(bound) {
		at = bound
	}
	return con.Conn.SetReadDeadline(at)
}

// noteIdle is the HTTP server's word that a connection waits for a request.
func noteIdle(raw net.Conn, state http.ConnState) {
	if con, ok := raw.(*callerConn); ok && state == http.StateIdle {
		con.idle.Store(true)
	}
}
