// Package proxy is a TCP proxy for fault injection: its links delay, throttle,
// cut or drop traffic. It does not parse the protocols that it carries, so a
// fault can occur at any byte.
//
// A rule applies to connections by their source address, so a link can be cut
// for one availability zone and work for another.
package proxy

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"lovagestream/io/clock"
	"lovagestream/io/group"
)

// Mode is the kind of fault that a rule injects.
type Mode string

// The modes of a rule.
const (
	// Cut resets open connections and refuses new ones.
	Cut Mode = "cut"
	// Silence keeps the open connections but drops all their bytes, as when a
	// middlebox has lost their state. New connections are not affected.
	Silence Mode = "silence"
	// Blackhole is like Silence, but affects new connections too.
	Blackhole Mode = "hole"
	// OneWay drops the bytes sent to the connecting side.
	OneWay Mode = "one-way"
	// Delay waits before forwarding the bytes of each read, in both directions.
	Delay Mode = "delay"
	// Throttle forwards at most 1 KiB in each wait.
	Throttle Mode = "throttle"
	// Duplicate sends the bytes to the connecting side twice.
	Duplicate Mode = "duplicate"
)

// Rule is one fault on a link.
type Rule struct {
	// Source is a prefix of the connecting side's IP address; empty matches all.
	Source string `json:"source"`
	Mode   Mode   `json:"mode"`
	// Wait is the time that Delay and Throttle wait, in milliseconds.
	Wait int `json:"wait-ms"`
	// AfterBytes is the number of bytes in each direction before the rule applies.
	AfterBytes int64 `json:"after-bytes"`
}

func (rul Rule) applies(source string) bool { return strings.HasPrefix(source, rul.Source) }

// Link forwards connections to one target.
type Link struct {
	lis net.Listener
	grp *group.Group

	mu sync.Mutex
	// target is empty until the target's address is known; connections are reset
	// until then.
	target string
	rules  []Rule
	conns  map[*conn]bool
}

// conn is one connection through a link.
type conn struct {
	source   string
	in, out  net.Conn
	silenced bool
}

// NewLink returns a link that listens on a free loopback port.
func NewLink(ctx context.Context, target string) (*Link, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy: listen")
	}
	lnk := &Link{target: target, lis: lis, grp: group.New(ctx), conns: map[*conn]bool{}}
	lnk.grp.Go(lnk.accept)
	lnk.grp.Go(func(gctx context.Context) error {
		<-gctx.Done()
		_ = lis.Close()
		lnk.resetConns("")
		return nil
	})
	return lnk, nil
}

// SetTarget sets the target address of new connections.
func (lnk *Link) SetTarget(target string) {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	lnk.target = target
}

// Address returns the address on which the link listens.
func (lnk *Link) Address() string { return lnk.lis.Addr().String() }

// Close closes the link and its connections.
func (lnk *Link) Close() error {
	lnk.grp.Stop()
	return lnk.grp.Wait()
}

// SetRules replaces the rules. Cut resets the matching open connections at once;
// Silence affects only the matching connections that are open now.
func (lnk *Link) SetRules(rules []Rule) {
	lnk.mu.Lock()
	lnk.rules = rules
	for con := range lnk.conns {
		for _, rul := range rules {
			if rul.Mode == Silence && rul.applies(con.source) {
				con.silenced = true
			}
		}
	}
	lnk.mu.Unlock()
	for _, rul := range rules {
		if rul.Mode == Cut && rul.AfterBytes == 0 {
			lnk.resetConns(rul.Source)
		}
	}
}

// resetConns resets the connections whose source has a prefix.
func (lnk *Link) resetConns(prefix string) {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	for con := range lnk.conns {
		if strings.HasPrefix(con.source, prefix) {
			con.reset()
		}
	}
}

// reset closes both sides with RST instead of FIN.
func (con *conn) reset() {
	for _, end := range []net.Conn{con.in, con.out} {
		if tcp, ok := end.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = end.Close()
	}
}

func (lnk *Link) accept(ctx context.Context) error {
	for {
		in, err := lnk.lis.Accept()
		if err != nil {
			return nil
		}
		source, _, _ := net.SplitHostPort(in.RemoteAddr().String())
		if lnk.refuses(source) {
			con := &conn{in: in, out: in}
			con.reset()
			continue
		}
		lnk.grp.Go(func(context.Context) error {
			lnk.forward(ctx, source, in)
			return nil
		})
	}
}

func (lnk *Link) refuses(source string) bool {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	for _, rul := range lnk.rules {
		if rul.Mode == Cut && rul.AfterBytes == 0 && rul.applies(source) {
			return true
		}
	}
	return false
}

func (lnk *Link) forward(ctx context.Context, source string, in net.Conn) {
	lnk.mu.Lock()
	target := lnk.target
	lnk.mu.Unlock()
	out, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
	if err != nil {
		(&conn{in: in, out: in}).reset()
		return
	}
	con := &conn{source: source, in: in, out: out}
	lnk.mu.Lock()
	lnk.conns[con] = true
	lnk.mu.Unlock()
	grp := group.New(ctx)
	grp.Go(func(context.Context) error { lnk.relay(ctx, con, out, in, false); return nil })
	grp.Go(func(context.Context) error { lnk.relay(ctx, con, in, out, true); return nil })
	_ = grp.Wait()
	lnk.mu.Lock()
	delete(lnk.conns, con)
	lnk.mu.Unlock()
}

// relay copies one direction under the rules; toClient is the direction to the
// connecting side. At EOF it closes only its own direction, as TCP does.
func (lnk *Link) relay(ctx context.Context, con *conn, dst, src net.Conn, toClient bool) {
	const chunk = 1024
	buf := make([]byte, 32*chunk)
	var passed int64
	for {
		size := len(buf)
		if lnk.delay(con, passed, Throttle) > 0 {
			size = chunk
		}
		num, err := src.Read(buf[:size])
		if num > 0 && !lnk.write(ctx, con, dst, buf[:num], passed, toClient) {
			con.reset()
			return
		}
		passed += int64(num)
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) || wasReset(src) {
			con.reset()
			return
		}
		if tcp, ok := dst.(*net.TCPConn); ok && !lnk.drops(con, passed, toClient) {
			_ = tcp.CloseWrite()
		}
		return
	}
}

// wasReset reports whether a connection that has ended was reset. A socket reports that once, so the
// other direction may have got the error.
func wasReset(con net.Conn) bool {
	const closed = 7 // TCP_CLOSE
	tcp, ok := con.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	_ = raw.Control(func(fd uintptr) {
		inf, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && inf.State == closed
	})
	return reset
}

// write forwards bytes under the rules; it returns false if the connection must
// be reset.
func (lnk *Link) write(ctx context.Context, con *conn, dst net.Conn, buf []byte, passed int64, toClient bool) bool {
	for _, mode := range []Mode{Delay, Throttle} {
		if !sleep(ctx, lnk.delay(con, passed, mode)) {
			return false
		}
	}
	if lnk.match(con, passed+int64(len(buf)), Cut) != nil {
		return false
	}
	if lnk.drops(con, passed, toClient) {
		return true
	}
	if _, err := dst.Write(buf); err != nil {
		return false
	}
	if toClient && lnk.match(con, passed, Duplicate) != nil {
		_, err := dst.Write(buf)
		return err == nil
	}
	return true
}

func (lnk *Link) drops(con *conn, passed int64, toClient bool) bool {
	lnk.mu.Lock()
	silenced := con.silenced
	lnk.mu.Unlock()
	if silenced || lnk.match(con, passed, Blackhole) != nil {
		return true
	}
	return toClient && lnk.match(con, passed, OneWay) != nil
}

func (lnk *Link) match(con *conn, passed int64, mode Mode) *Rule {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	for i := range lnk.rules {
		rul := &lnk.rules[i]
		if rul.Mode == mode && rul.applies(con.source) && passed >= rul.AfterBytes {
			return rul
		}
	}
	return nil
}

func (lnk *Link) delay(con *conn, passed int64, mode Mode) time.Duration {
	rul := lnk.match(con, passed, mode)
	if rul == nil {
		return 0
	}
	return time.Duration(rul.Wait) * time.Millisecond
}

func sleep(ctx context.Context, wait time.Duration) bool {
	return wait == 0 || clock.System{}.Sleep(ctx, wait) == nil
}
