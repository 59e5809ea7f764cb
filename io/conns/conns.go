// Package conns keeps connections to backend servers and makes one exchange at
// a time on each. It is used in place of http.Transport, which sends a request
// again by itself when a kept connection turns out closed: whether a request
// may be sent again is not the connection's to decide.
package conns

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"lovagestream/io/clock"
	"lovagestream/io/group"
)

const (
	// dialTime bounds a new connection: two round trips between zones, and one
	// lost opening packet is sent again after a second.
	dialTime = 1200 * time.Millisecond
	// probeIdle, probeEvery and probeCount find a connection whose other end is
	// gone without a word within three seconds, while it waits for an answer.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 2
	// unacked is how long sent bytes may go without an acknowledgement.
	unacked = 3 * time.Second
	// idleUnsaid is how long a connection is kept whose server doesn't say how
	// long it keeps it: servers say whole seconds, so silence means less.
	idleUnsaid = 400 * time.Millisecond
	// idleMargin is taken off what a server says, for the way there.
	idleMargin = 700 * time.Millisecond
	// idleMost bounds what is kept for rare use.
	idleMost = 20 * time.Second
	// readBuffer and writeBuffer of a connection, in bytes; a head and a usual
	// body fit.
	readBuffer = 4 << 10
)

// SentError tells what is known of a request that got no answer.
type SentError struct {
	// Sent is false only where no byte of the request left.
	Sent bool
	// Address is the backend server's.
	Address string
	Cause   error
}

// Error names the address and the cause.
func (err *SentError) Error() string {
	word := "not sent to "
	if err.Sent {
		word = "sent to "
	}
	return word + err.Address + ": " + err.Cause.Error()
}

// Unwrap returns the cause.
func (err *SentError) Unwrap() error { return err.Cause }

// Pool keeps the connections of one instance.
type Pool struct {
	clk clock.Service
	grp *group.Group
	dlr net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
	// open counts connections by address, those being opened and kept ones
	// included.
	open map[string]int
	// made counts connections opened.
	made int64
}

// NewPool returns a pool whose connections begin at an own address, or at any
// if it is nil.
func NewPool(clk clock.Service, grp *group.Group, own *net.TCPAddr) *Pool {
	poo := &Pool{clk: clk, grp: grp, idle: map[string][]*conn{}, open: map[string]int{}}
	poo.dlr = Dialer(own)
	return poo
}

// Dialer returns the dialer of all connections of an instance: each has its
// own bound against a partition that swallows packets.
func Dialer(own *net.TCPAddr) net.Dialer {
	dlr := net.Dialer{
		Timeout:         dialTime,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var serr error
			err := raw.Control(func(fd uintptr) {
				serr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked/time.Millisecond))
			})
			if err != nil {
				return err
			}
			return serr
		},
	}
	if own != nil {
		dlr.LocalAddr = own
	}
	return dlr
}

// conn is one connection. Between exchanges it belongs to the pool.
type conn struct {
	net.Conn
	address string
	rdr     *bufio.Reader
	// until is when it must not be used any more.
	until time.Time
	used  bool
}

// take returns a kept connection that is still good, or nil.
func (poo *Pool) take(address string) *conn {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	now := poo.clk.Now()
	list := poo.idle[address]
	for len(list) > 0 {
		con := list[len(list)-1]
		list = list[:len(list)-1]
		poo.idle[address] = list
		if now.Before(con.until) && con.quiet() {
			return con
		}
		poo.drop(con)
	}
	delete(poo.idle, address)
	return nil
}

// quiet reports whether a connection stands open and brought nothing: bytes
// that nobody asked for belong to no request, and an end shows as readable.
func (con *conn) quiet() bool {
	if con.rdr.Buffered() > 0 {
		return false
	}
	sys, ok := con.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, rerr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// TakenError is a send that would need more connections to a server than this
// instance's part. The server resets what comes beyond all instances' parts, so
// that others would lose requests to a sound server.
type TakenError struct {
	Address string
	// Most is the part.
	Most int
}

// Error names the server and the part.
func (err *TakenError) Error() string {
	return "all " + strconv.Itoa(err.Most) + " connections to " + err.Address + " are taken"
}

// get returns a kept connection or opens one.
func (poo *Pool) get(ctx context.Context, snd Send) (*conn, error) {
	if !snd.Fresh {
		if con := poo.take(snd.Address); con != nil {
			return con, nil
		}
	}
	if err := poo.claim(snd); err != nil {
		return nil, err
	}
	raw, err := poo.dlr.DialContext(ctx, "tcp", snd.Address)
	if err != nil {
		poo.mu.Lock()
		defer poo.mu.Unlock()
		poo.unclaim(snd.Address)
		return nil, err
	}
	return &conn{Conn: raw, address: snd.Address, rdr: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// claim counts a connection that is about to be opened.
func (poo *Pool) claim(snd Send) error {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	if snd.Most > 0 && poo.open[snd.Address] >= snd.Most {
		return &TakenError{Address: snd.Address, Most: snd.Most}
	}
	poo.open[snd.Address]++
	poo.made++
	return nil
}

// unclaim forgets a connection; the caller holds the lock.
func (poo *Pool) unclaim(address string) {
	poo.open[address]--
	if poo.open[address] <= 0 {
		delete(poo.open, address)
	}
}

// keep gives a connection back for so long as its server keeps it.
func (poo *Pool) keep(con *conn, said time.Duration) {
	life := idleUnsaid
	if said > 0 {
		life = min(idleMost, max(said/2, said-idleMargin))
	}
	poo.mu.Lock()
	defer poo.mu.Unlock()
	con.used = true
	con.until = poo.clk.Now().Add(life)
	_ = con.SetDeadline(time.Time{})
	poo.idle[con.address] = append(poo.idle[con.address], con)
}

// drop closes a connection; the caller holds the lock.
func (poo *Pool) drop(con *conn) {
	_ = con.Close()
	poo.unclaim(con.address)
}

func (poo *Pool) discard(con *conn) {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	poo.drop(con)
}

// Sweep closes connections that were kept too long.
func (poo *Pool) Sweep() {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	now := poo.clk.Now()
	for adr, list := range poo.idle {
		kept := list[:0]
		for _, con := range list {
			if now.Before(con.until) {
				kept = append(kept, con)
				continue
			}
			poo.drop(con)
		}
		if len(kept) == 0 {
			delete(poo.idle, adr)
			continue
		}
		poo.idle[adr] = kept
	}
}

// Made counts all connections that were opened.
func (poo *Pool) Made() int64 {
	poo.mu.Lock()
	defer poo.mu.Unlock()
	return poo.made
}
