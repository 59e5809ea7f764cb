package accept

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"lovagestream/io/frame"
)

// connState is the state of a connection.
type connState int

const (
	// stateWaiting: no handler runs, and no bytes of the next request have been
	// read from the socket, except those that the HTTP server read ahead during
	// the previous response.
	stateWaiting connState = iota
	// stateActive: a request is being read or served.
	stateActive
	// stateEnded: the instance closed it; nothing is read and no handler starts.
	stateEnded
)

var _ frame.ScannedConn = (*Conn)(nil)

// lingerTimeout and maxLingerBytes bound the reading of input that follows an
// unreadable request. net/http allows the same time and a quarter of the bytes
// when it leaves a body unread.
const (
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	lis *Listener
	soc syscall.RawConn

	// scn scans the bytes read. Its calls don't overlap, as reads don't.
	scn frame.Scanner

	// written is set once something was written since the request was read.
	written atomic.Bool

	// mu guards the fields below. It is held while bytes are read in
	// stateWaiting, and never while the socket is closed, since closing waits
	// for reads.
	mu    sync.Mutex
	state connState
	// waitingSince is when stateWaiting began.
	waitingSince time.Time
	// headSince is when the first bytes of the last request were read.
	headSince time.Time
	// served is set once a request was answered.
	served bool
	// handling is set while a handler runs, in stateActive.
	handling bool
	// readFailed is set once a read failed.
	readFailed bool
	// extended is set once the read deadline was extended for this request.
	extended bool
}

// Read reads from the connection. The first bytes of a request are read only
// while the connection has not been ended.
func (con *Conn) Read(buf []byte) (int, error) {
	num, err := con.read(buf)
	if errors.Is(err, os.ErrDeadlineExceeded) && con.tryExtend() {
		// The deadline passed while the bytes were in the socket: a process short
		// of processor time would close the connection of a caller who was in time.
		// Only once for a request, so that a caller who sends a byte now and then
		// can't keep the connection forever.
		if err := con.setHeaderDeadline(); err != nil {
			return 0, err
		}
		num, err = con.read(buf)
	}
	con.scn.Scan(buf[:max(0, num)])
	if err != nil {
		con.markReadFailed()
	}
	return num, err
}

// FrameScanner returns the scanner for requests with two conflicting lengths.
func (con *Conn) FrameScanner() *frame.Scanner { return &con.scn }

func (con *Conn) read(buf []byte) (int, error) {
	if con.currentState() != stateWaiting {
		return con.Conn.Read(buf)
	}
	num, err := con.readFirst(buf)
	if num == 0 || err != nil {
		return num, err
	}
	// The HTTP server waits for the first four bytes under the idle timeout. This
	// puts a caller that sends fewer under the header timeout.
	return num, con.setHeaderDeadline()
}

// setHeaderDeadline starts the header timeout.
func (con *Conn) setHeaderDeadline() error {
	timeout := con.lis.limits().HeaderTimeout
	if timeout == 0 {
		return con.Conn.SetReadDeadline(time.Time{})
	}
	return con.Conn.SetReadDeadline(con.lis.clk.Now().Add(timeout))
}

// tryExtend reports whether the read deadline may be extended, and marks it as
// extended: bytes of a request are in the socket, no handler runs yet, and the
// deadline was not extended for this request before.
func (con *Conn) tryExtend() bool {
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.extended || con.handling || !con.hasUnread() {
		return false
	}
	con.extended = true
	return true
}

func (con *Conn) currentState() connState {
	con.mu.Lock()
	defer con.mu.Unlock()
	return con.state
}

func (con *Conn) markReadFailed() {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.readFailed = true
}

// readFirst waits for and reads the first bytes of a request.
func (con *Conn) readFirst(buf []byte) (int, error) {
	num := 0
	var rerr error
	err := con.soc.Read(func(fd uintptr) bool {
		num, rerr = con.readAndActivate(int(fd), buf)
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

// readAndActivate reads from the socket and, if it gets bytes, moves the
// connection to stateActive.
func (con *Conn) readAndActivate(fd int, buf []byte) (int, error) {
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.state == stateEnded {
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
			con.state, con.headSince = stateActive, con.lis.clk.Now()
		}
		return num, nil
	}
}

// hasUnread reports whether the socket has unread bytes.
func (con *Conn) hasUnread() bool {
	unread := false
	err := con.soc.Control(func(fd uintptr) {
		var buf [1]byte
		num, _, rerr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = rerr == nil && num > 0
	})
	return err == nil && unread
}

// SetReadDeadline sets the read deadline, but no later than the idle timeout
// allows while the connection waits for a request, and the header timeout while
// a header is read. The HTTP server sets a deadline at just these moments, and
// clears it once it has the header. Deadlines set by a handler are not changed.
func (con *Conn) SetReadDeadline(at time.Time) error {
	timeout := con.readTimeout()
	if latest := con.lis.clk.Now().Add(timeout); timeout > 0 && at.After(latest) {
		at = latest
	}
	return con.Conn.SetReadDeadline(at)
}

// readTimeout returns the timeout that applies in the current state, or 0.
func (con *Conn) readTimeout() time.Duration {
	con.mu.Lock()
	defer con.mu.Unlock()
	switch {
	case con.handling:
		return 0
	case con.state == stateWaiting && con.served:
		return con.lis.limits().IdleTimeout
	}
	return con.lis.limits().HeaderTimeout
}

// Write writes to the connection and notes that a response was begun.
func (con *Conn) Write(buf []byte) (int, error) {
	con.written.Store(true)
	return con.Conn.Write(buf)
}

// CloseWrite closes the writing side. The HTTP server does so after the response
// to a request that it didn't read completely. Without this method, the caller
// would see the end of the response only when the connection is closed, which the
// HTTP server delays.
func (con *Conn) CloseWrite() error {
	soc, ok := con.Conn.(interface{ CloseWrite() error })
	if !ok {
		return &SocketError{Cause: errors.New("can't close the writing side alone")}
	}
	return soc.CloseWrite()
}

// startHandler reports whether a handler may run, and notes that it does. There
// may have been no read in stateWaiting: the HTTP server may have read the
// request together with the previous one.
func (con *Conn) startHandler() bool {
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.state == stateEnded {
		return false
	}
	con.state, con.handling = stateActive, true
	return true
}

// finishRequest notes that a request has ended and the next one may follow.
func (con *Conn) finishRequest() {
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.state != stateActive {
		return
	}
	con.state, con.served, con.handling, con.readFailed, con.extended = stateWaiting, true, false, false, false
	con.waitingSince = con.lis.clk.Now()
	con.written.Store(false)
}

// idleSince returns since when the connection has waited for a request, or for the rest of its
// head, and false while a request is served.
func (con *Conn) idleSince() (time.Time, bool) {
	con.mu.Lock()
	defer con.mu.Unlock()
	switch {
	case con.state == stateWaiting:
		return con.waitingSince, true
	case con.state == stateActive && !con.handling:
		return con.headSince, true
	}
	return time.Time{}, false
}

// closeIfIdle closes the connection if it waits for a request, or for the rest of a head that
// began a while ago, and its socket has no unread bytes. It reports whether it did.
func (con *Conn) closeIfIdle() bool {
	if con.closeIfWaiting(true) {
		return true
	}
	con.mu.Lock()
	slow := con.state == stateActive && !con.handling && con.lis.clk.Now().Sub(con.headSince) > slowHead && !con.hasUnread()
	if slow {
		con.state = stateEnded
	}
	con.mu.Unlock()
	if slow {
		_ = con.Close()
	}
	return slow
}

// closeIfWaiting closes the connection if it has waited for at least minIdle and
// its socket has no unread bytes, and reports whether it did. A connection that
// has served no request is closed only if unused is set.
func (con *Conn) closeIfWaiting(unused bool) bool {
	if !con.markEnded(unused) {
		return false
	}
	_ = con.Close()
	return true
}

func (con *Conn) markEnded(unused bool) bool {
	con.mu.Lock()
	defer con.mu.Unlock()
	recent := con.lis.clk.Now().Sub(con.waitingSince) < con.lis.minIdle
	if con.state != stateWaiting || recent || !con.served && !unused || con.hasUnread() {
		return false
	}
	con.state = stateEnded
	return true
}

// resetOnClose makes Close reset the connection. An answer without a length would
// look complete at its regular end.
func (con *Conn) resetOnClose() {
	_ = con.soc.Control(func(fd uintptr) {
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
}

// Close closes the connection in any state.
func (con *Conn) Close() error {
	con.lis.remove(con)
	if con.droppedRequest() {
		con.lis.onLost(con.RemoteAddr())
	}
	if con.answeredByServer() {
		con.linger()
	}
	return con.Conn.Close()
}

// answeredByServer reports whether the HTTP server itself answered a request that
// it could not read. Its caller may still be sending.
func (con *Conn) answeredByServer() bool {
	con.mu.Lock()
	defer con.mu.Unlock()
	return con.state == stateActive && !con.handling && !con.readFailed && con.written.Load()
}

// linger closes the writing side and discards input until the caller closes its
// side or lingerTimeout passes. A connection closed with unread bytes is reset,
// which can destroy the error response; its caller would then send the same
// request again elsewhere.
func (con *Conn) linger() {
	if con.CloseWrite() != nil || con.Conn.SetReadDeadline(con.lis.clk.Now().Add(lingerTimeout)) != nil {
		return
	}
	// The result does not matter: the connection is closed next.
	_, _ = io.Copy(io.Discard, io.LimitReader(con.Conn, maxLingerBytes))
}

// droppedRequest reports whether a request was read, but no handler started and
// the HTTP server itself didn't answer.
func (con *Conn) droppedRequest() bool {
	con.mu.Lock()
	defer con.mu.Unlock()
	return con.state == stateActive && !con.handling && !con.readFailed && !con.written.Load()
}
