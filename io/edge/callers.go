package edge

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"lovagestream/core/table"
	"lovagestream/io/clock"
	"lovagestream/io/lines"
)

// callers is the listener for callers. Its connections keep to the published
// limits of the moment: the HTTP server's own times are fixed when it starts.
// Without them a caller that stays idle holds a descriptor and its buffers for
// as long as the fixed time, and thousands of such callers hold thousands.
type callers struct {
	net.Listener
	clk    clock.Service
	jou    *lines.Writer
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
	// read is set once bytes of a request were read that the HTTP server doesn't
	// know of yet.
	read atomic.Bool
	// failed is set once a read ended with an error.
	failed atomic.Bool
}

// Read notes that a request has begun.
func (con *callerConn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	if num > 0 {
		con.read.Store(true)
	}
	if err != nil {
		con.failed.Store(true)
	}
	return num, err
}

// Close tells when a connection ends here under a request: its caller would
// look like one that left.
func (con *callerConn) Close() error {
	if con.read.Load() && !con.failed.Load() {
		con.lis.jou.Note("closed-under-request", lines.Fields{"caller": con.RemoteAddr().String()})
	}
	return con.Conn.Close()
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

// noteState is the HTTP server's word on a connection: that it waits for a
// request, or has one.
func noteState(raw net.Conn, state http.ConnState) {
	con, ok := raw.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		con.idle.Store(true)
		con.read.Store(false)
		con.failed.Store(false)
	case http.StateActive:
		con.read.Store(false)
	}
}
