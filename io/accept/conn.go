package accept

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// phase is what a connection is at.
type phase int

const (
	// waiting: nothing of the next request has been taken from the socket, but
	// for one byte that the HTTP server may have read ahead during the answer
	// before; the rest of that request still stands in the socket then.
	waiting phase = iota
	// taken: a request is being read, or its answer is due.
	taken
	// ended: the instance closed it; nothing is read any more.
	ended
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	lis *Listener
	soc syscall.RawConn

	// mu guards what follows. It is held while bytes are taken in the phase
	// waiting, and never while the socket is closed: closing waits for reads.
	mu    sync.Mutex
	phase phase
	// since is when the connection began to wait.
	since time.Time
	// used is set once a request was answered.
	used bool
	// known is set while the HTTP server knows of the request that was taken.
	known bool
	// failed is set once a read ended with an error.
	failed bool
}

// Read takes the first bytes of a request only from a connection that wasn't
// ended.
func (con *Conn) Read(buf []byte) (int, error) {
	if con.at() == taken {
		num, err := con.Conn.Read(buf)
		con.check(err)
		return num, err
	}
	num, err := con.first(buf)
	if errors.Is(err, os.ErrDeadlineExceeded) && con.stands() {
		// The limit ran out while the request stood in the socket and nobody read
		// it: a process that is short of processor would close the connection of a
		// caller who was in time.
		if err := con.SetReadDeadline(con.lis.clk.Now().Add(con.lis.limits().Head)); err != nil {
			return 0, err
		}
		num, err = con.first(buf)
	}
	con.check(err)
	return num, err
}

func (con *Conn) at() phase {
	con.mu.Lock()
	defer con.mu.Unlock()
	return con.phase
}

func (con *Conn) check(err error) {
	if err == nil {
		return
	}
	con.mu.Lock()
	defer con.mu.Unlock()
	con.failed = true
}

// first waits for the first bytes of a request.
func (con *Conn) first(buf []byte) (int, error) {
	num := 0
	var rerr error
	err := con.soc.Read(func(fd uintptr) bool {
		num, rerr = con.take(int(fd), buf)
		return !errors.Is(rerr, unix.EAGAIN)
	})
	if err == nil {
		err = rerr
	}
	if err != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: con.LocalAddr(), Addr: con.RemoteAddr(), Err: err}
	}
	if num == 0 && len(buf) > 0 {
		return 0, io.EOF
	}
	return num, nil
}

// take reads what stands in the socket, and makes the connection taken by it.
func (con *Conn) take(fd int, buf []byte) (int, error) {
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.phase == ended {
		return 0, net.ErrClosed
	}
	for {
		num, err := unix.Read(fd, buf)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case err != nil:
			return 0, err
		case num > 0:
			con.phase = taken
		}
		return num, nil
	}
}

// stands reports whether bytes stand in the socket.
func (con *Conn) stands() bool {
	have := false
	err := con.soc.Control(func(fd uintptr) {
		var one [1]byte
		num, _, rerr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		have = rerr == nil && num > 0
	})
	return err == nil && have
}

// SetReadDeadline bounds the wait for a request by the idle limit in force, and
// the reading of its head by the limit for that. The HTTP server sets a bound at
// just these moments, and takes it away when it has the head.
func (con *Conn) SetReadDeadline(at time.Time) error {
	if at.IsZero() {
		return con.Conn.SetReadDeadline(at)
	}
	lim := con.lis.limits()
	most := lim.Head
	if con.idle() {
		most = lim.Idle
	}
	if bound := con.lis.clk.Now().Add(most); most > 0 && at.After(bound) {
		at = bound
	}
	return con.Conn.SetReadDeadline(at)
}

func (con *Conn) idle() bool {
	con.mu.Lock()
	defer con.mu.Unlock()
	return con.phase == waiting && con.used
}

// announced notes that the HTTP server knows of the request.
func (con *Conn) announced() {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.known = true
}

// answered notes that a request is over and the next one may come.
func (con *Conn) answered() {
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.phase == taken {
		con.phase, con.used, con.known, con.failed = waiting, true, false, false
		con.since = con.lis.clk.Now()
	}
}

// end ends the connection if it has waited a moment and no request stands in its
// socket; one that has carried none only if unused ones are meant too.
func (con *Conn) end(unused bool) bool {
	if !con.retire(unused) {
		return false
	}
	_ = con.Close()
	return true
}

func (con *Conn) retire(unused bool) bool {
	con.mu.Lock()
	defer con.mu.Unlock()
	fresh := con.lis.clk.Now().Sub(con.since) < con.lis.settle
	if con.phase != waiting || fresh || !con.used && !unused || con.stands() {
		return false
	}
	con.phase = ended
	return true
}

// Close closes the connection, whatever is under way on it.
func (con *Conn) Close() error {
	con.lis.forget(con)
	if con.unknown() {
		con.lis.lost(con.RemoteAddr())
	}
	return con.Conn.Close()
}

// unknown reports a request that was taken and that the HTTP server doesn't know
// of yet.
func (con *Conn) unknown() bool {
	con.mu.Lock()
	defer con.mu.Unlock()
	return con.phase == taken && !con.known && !con.failed
}
