// Package conns is a pool of HTTP/1.1 connections to backend servers, with one
// request at a time on each. It replaces http.Transport, which on its own
// retries a request when an idle connection turns out to be closed; here only
// the caller of the pool may decide whether a request is sent again.
package conns

import (
	"bufio"
	"context"
	"maps"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"lovagestream/core/call"
	"lovagestream/io/clock"
	"lovagestream/io/group"
)

const (
	// dialTimeout bounds opening a connection. It covers two round trips
	// between zones and one lost SYN packet, which is sent again after a
	// second.
	dialTimeout = 1200 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect within three
	// seconds that the other end of a connection has vanished while a response
	// is awaited.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unackedTimeout is how long sent bytes may stay unacknowledged
	// (TCP_USER_TIMEOUT).
	unackedTimeout = 3 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept if its server
	// states no idle timeout. Servers state whole seconds, so the timeout is
	// less than one second then.
	defaultIdleTimeout = 400 * time.Millisecond
	// idleMargin is subtracted from a server's idle timeout, for the time that
	// a request takes to reach the server.
	idleMargin = 700 * time.Millisecond
	// maxIdleTimeout bounds how long a rarely used connection is kept.
	maxIdleTimeout = 20 * time.Second
	// readBufferSize is the size of a connection's read buffer, in bytes. The
	// head and a typical body fit.
	readBufferSize = 4 << 10
)

// SendError is the error of a request that got no response.
type SendError struct {
	// Sent is false only if no byte of the request was sent.
	Sent bool
	// Address is the backend server's address.
	Address string
	Cause   error
}

// Error names the address and the cause.
func (err *SendError) Error() string {
	word := "not sent to "
	if err.Sent {
		word = "sent to "
	}
	return word + err.Address + ": " + err.Cause.Error()
}

// Unwrap returns the cause.
func (err *SendError) Unwrap() error { return err.Cause }

// Pool holds the connections of one entry instance. It is safe for concurrent
// use.
type Pool struct {
	clk clock.Service
	grp *group.Group
	// dial opens a connection; dialTimeout bounds it.
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	paths *paths
	mem   *Memory

	mu   sync.Mutex
	idle map[string][]*conn
	// open is the number of connections by address, including idle ones and
	// those being opened.
	open map[string]int
	// conns are the open connections by address, in use or not.
	conns map[string]map[*conn]bool
	// opened counts connections opened, connects the attempts by their result, overBound the
	// responses beyond a bound by the part that the bound is on.
	opened    int64
	connects  map[string]int64
	overBound map[string]int64
}

// NewPool returns a pool whose connections have the local address localAddr, or
// any if it is nil.
func NewPool(clk clock.Service, grp *group.Group, localAddr *net.TCPAddr) *Pool {
	poo := &Pool{clk: clk, grp: grp, idle: map[string][]*conn{}, open: map[string]int{}, conns: map[string]map[*conn]bool{}, connects: map[string]int64{}, overBound: map[string]int64{}, paths: newPaths(), mem: NewMemory(maxBuffered)}
	dlr := Dialer(localAddr)
	poo.dial = dlr.DialContext
	return poo
}

// DialWith replaces the function that opens connections. It must be called before
// the pool is used.
func (poo *Pool) DialWith(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	poo.dial = dial
}

// Dialer returns the dialer for all connections of an entry instance.
// Keep-alive probes and a timeout for unacknowledged bytes detect a network
// partition that drops packets.
func Dialer(localAddr *net.TCPAddr) net.Dialer {
	dlr := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var serr error
			err := raw.Control(func(fd uintptr) {
				serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
			})
			if err != nil {
				return err
			}
			return serr
		},
	}
	if localAddr != nil {
		dlr.LocalAddr = localAddr
	}
	return dlr
}

// conn is one connection. Between requests it belongs to the pool.
type conn struct {
	net.Conn
	address string
	// rdr buffers what soc reads.
	rdr *bufio.Reader
	soc socketReader
	// expires is the time from which the connection must not be reused.
	expires time.Time
	used    bool
	// uncounted is set if the pool's number of open connections doesn't include it.
	uncounted bool
}

// takeIdle returns an idle connection that is still usable, or nil.
func (poo *Pool) takeIdle(address string) *conn {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	now := poo.clk.Now()
	list := poo.idle[address]
	for len(list) > 0 {
		con := list[len(list)-1]
		list = list[:len(list)-1]
		poo.idle[address] = list
		if now.Before(con.expires) && con.usable() {
			return con
		}
		poo.closeLocked(con)
	}
	delete(poo.idle, address)
	return nil
}

// usable reports whether a connection is open and nothing can be read from it:
// unsolicited bytes belong to no request, and a closed connection is readable.
func (con *conn) usable() bool {
	return con.rdr.Buffered() == 0 && con.quiet()
}

// quiet reports whether a connection is open and nothing is to be read from it. It may be called
// while another goroutine reads.
func (con *conn) quiet() bool {
	sys, ok := con.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(rerr, unix.EAGAIN)
	})
	return err == nil && quiet
}

// connected reports whether a connection to an address is open.
func (poo *Pool) connected(address string) bool {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	for con := range poo.conns[address] {
		if con.quiet() {
			return true
		}
	}
	return false
}

// ConnLimitError is the error of a request that would need more connections to
// a server than this instance may hold. A server resets connections beyond its
// limit for all entry instances, so exceeding the share would fail requests of
// other instances to a healthy server.
type ConnLimitError struct {
	Address string
	// Limit is the number of connections that this instance may hold.
	Limit int
}

// Error names the server and the limit.
func (err *ConnLimitError) Error() string {
	return "all " + strconv.Itoa(err.Limit) + " connections to " + err.Address + " are taken"
}

// get returns an idle connection or opens one. It fails at once if there is a relay
// and no path to the server, or if no server can be reached at all.
func (poo *Pool) get(ctx context.Context, req Request) (*conn, error) {
	way := poo.paths.way(poo.clk.Now(), req.server())
	if way.Kept && !req.NewConn {
		if con := poo.takeIdle(req.Address); con != nil {
			return con, nil
		}
	}
	if way.Trial && !req.Relayed {
		poo.try(req.server())
	}
	relay := !req.Relayed && poo.paths.relayAvailable()
	switch {
	case req.Relayed && way.Trial:
		// The word of a relay must not rest on an old failure.
		return poo.openConn(ctx, req, shortDialTimeout)
	case way.Relay && (relay || req.Relayed || poo.paths.lost(poo.clk.Now(), req.Service)):
		return nil, &PathError{Address: req.Address}
	case way.Unreachable:
		return nil, &UnreachableError{Address: req.Address, Cause: errors.New("no connection shortly before")}
	case relay || req.Relayed:
		return poo.openConn(ctx, req, shortDialTimeout)
	}
	return poo.openConn(ctx, req, dialTimeout)
}

// openConn opens a connection within a time.
func (poo *Pool) openConn(ctx context.Context, req Request, timeout time.Duration) (*conn, error) {
	if err := poo.reserve(req); err != nil {
		return nil, err
	}
	raw, err := poo.connect(ctx, req.Address, timeout)
	if ctx.Err() == nil {
		poo.noteConnect(req.server(), err)
	}
	poo.mu.Lock()
	defer poo.mu.Unlock()
	poo.connects[connectResult(ctx, err)]++
	if err != nil {
		poo.release(req.Address, req.Uncounted)
		return nil, err
	}
	con := &conn{Conn: raw, address: req.Address, uncounted: req.Uncounted, soc: socketReader{con: raw, clk: poo.clk}}
	con.rdr = bufio.NewReaderSize(&con.soc, readBufferSize)
	if poo.conns[req.Address] == nil {
		poo.conns[req.Address] = map[*conn]bool{}
	}
	poo.conns[req.Address][con] = true
	return con, nil
}

// DialTimeoutError is the error of a connection that didn't open in time.
type DialTimeoutError struct {
	Address string
	Timeout time.Duration
}

// Error names the address and the time.
func (err *DialTimeoutError) Error() string {
	return "dial " + err.Address + ": no connection within " + err.Timeout.String()
}

// connect opens a connection within a time.
func (poo *Pool) connect(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dog := poo.clk.StartWatchdog(timeout, cancel)
	defer dog.Stop()
	con, err := poo.dial(dctx, "tcp", address)
	if err != nil && dctx.Err() != nil && ctx.Err() == nil {
		return nil, &DialTimeoutError{Address: address, Timeout: timeout}
	}
	return con, err
}

// connectResult names the result of an attempt to open a connection.
func connectResult(ctx context.Context, err error) string {
	var tmo *DialTimeoutError
	switch {
	case err == nil:
		return "connected"
	case ctx.Err() != nil:
		return "canceled"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.As(err, &tmo):
		return "timed-out"
	}
	return "failed"
}

// reserve counts a connection that is about to be opened, or fails at the
// limit.
func (poo *Pool) reserve(req Request) error {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	if req.MaxConns > 0 && poo.open[req.Address] >= req.MaxConns {
		return &ConnLimitError{Address: req.Address, Limit: req.MaxConns}
	}
	poo.opened++
	if !req.Uncounted {
		poo.open[req.Address]++
	}
	return nil
}

// release removes a connection from the count. The caller holds the lock.
func (poo *Pool) release(address string, uncounted bool) {
	if uncounted {
		return
	}
	poo.open[address]--
	if poo.open[address] <= 0 {
		delete(poo.open, address)
	}
}

// putIdle returns a connection to the pool. It expires before the server closes
// it; idleTimeout is the server's idle timeout, 0 if unknown.
func (poo *Pool) putIdle(con *conn, idleTimeout time.Duration) {
	ttl := defaultIdleTimeout
	if idleTimeout > 0 {
		ttl = min(maxIdleTimeout, max(idleTimeout/2, idleTimeout-idleMargin))
	}
	poo.mu.Lock()
	defer poo.mu.Unlock()
	con.used = true
	con.expires = poo.clk.Now().Add(ttl)
	_ = con.SetDeadline(time.Time{})
	poo.idle[con.address] = append(poo.idle[con.address], con)
}

// closeLocked closes a connection. The caller holds the lock.
func (poo *Pool) closeLocked(con *conn) {
	_ = con.Close()
	poo.release(con.address, con.uncounted)
	if delete(poo.conns[con.address], con); len(poo.conns[con.address]) == 0 {
		delete(poo.conns, con.address)
	}
}

func (poo *Pool) discard(con *conn) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	poo.closeLocked(con)
}

// Sweep closes idle connections that have expired, and tries lost paths again.
func (poo *Pool) Sweep() {
	poo.tryLost()
	poo.mu.Lock()
	defer poo.mu.Unlock()
	now := poo.clk.Now()
	for adr, list := range poo.idle {
		kept := list[:0]
		for _, con := range list {
			if now.Before(con.expires) {
				kept = append(kept, con)
				continue
			}
			poo.closeLocked(con)
		}
		if len(kept) == 0 {
			delete(poo.idle, adr)
			continue
		}
		poo.idle[adr] = kept
	}
}

// CloseIdle closes the idle connections to an address: another process has started
// there, and the end of the old one's connections may not have arrived.
func (poo *Pool) CloseIdle(address string) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	for _, con := range poo.idle[address] {
		poo.closeLocked(con)
	}
	delete(poo.idle, address)
}

// Opened returns the total number of connections that were opened, including
// failed dials.
func (poo *Pool) Opened() int64 {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	return poo.opened
}

// Connects returns the number of attempts to open a connection by their result.
func (poo *Pool) Connects() map[string]int64 {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	return maps.Clone(poo.connects)
}

// OverBound returns the number of responses beyond a bound by the part that the bound is on.
func (poo *Pool) OverBound() map[string]int64 {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	return maps.Clone(poo.overBound)
}

// CountBound counts the error of a response if it is a *call.BoundError, and returns it.
func (poo *Pool) CountBound(err error) error {
	if err == nil {
		return nil
	}
	var bnd *call.BoundError
	if errors.As(err, &bnd) {
		poo.mu.Lock()
		defer poo.mu.Unlock()
		poo.overBound[bnd.Part]++
	}
	return err
}
