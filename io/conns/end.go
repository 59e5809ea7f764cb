package conns

import (
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// endTimeout bounds how long a server may take to receive the rest of a request after it
	// has ended its response with the connection. A lost packet is sent again within it.
	endTimeout = time.Second
	// ackInterval is the time between two looks at whether the request has been received.
	ackInterval = 5 * time.Millisecond
	// tcpClosed is the state of a connection that was reset or given up (TCP_CLOSE).
	tcpClosed = 7
)

// confirmEnd returns an error if a body that only the end of its connection ends isn't complete:
// the connection was reset, or the server ended it without having received the request. A socket
// reports a reset once. The reader gets io.EOF if the writer of the request, or a look at whether
// the connection is open, had it first.
func (rep *Reply) confirmEnd() error {
	dog := rep.poo.clk.StartWatchdog(endTimeout, rep.abort)
	defer dog.Stop()
	<-rep.wrote
	if rep.writeErr != nil {
		return errors.Wrap(rep.writeErr, "the response ended before the request was written")
	}
	for {
		inf, err := rep.con.tcpInfo()
		switch {
		case err != nil:
			return errors.Wrap(err, "the response ended before the request was received")
		case inf == nil:
			return nil
		case inf.State == tcpClosed:
			return errors.Wrap(syscall.ECONNRESET, "read the body")
		case inf.Unacked == 0 && inf.Notsent_bytes == 0:
			return nil
		}
		if err := rep.poo.clk.Sleep(rep.poo.grp.Context(), ackInterval); err != nil {
			return errors.Wrap(io.ErrUnexpectedEOF, err.Error())
		}
	}
}

// tcpInfo returns what the system knows of the connection; nil if it doesn't say. The error is
// that of a connection that this side has closed.
func (con *conn) tcpInfo() (*unix.TCPInfo, error) {
	sys, ok := con.Conn.(syscall.Conn)
	if !ok {
		return nil, nil
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "socket")
	}
	var inf *unix.TCPInfo
	err = raw.Control(func(fd uintptr) {
		if got, gerr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); gerr == nil {
			inf = got
		}
	})
	return inf, errors.Wrap(err, "socket")
}
