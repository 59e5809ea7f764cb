package main

import (
	"context"
	"net"
	"sync"
	"time"

	"lovagestream/io/group"
)

// resetAfter is how long a connection of a machine that is cut off stands before it is reset.
const resetAfter = 5 * time.Millisecond

// path is the network path to an engine: a listener that can reset the connections of single
// machines, by their address.
type path struct {
	net.Listener
	grp *group.Group

	mu    sync.Mutex
	cut   map[string]bool
	conns map[net.Conn]string
}

func newPath(lis net.Listener, grp *group.Group) *path {
	return &path{Listener: lis, grp: grp, cut: map[string]bool{}, conns: map[net.Conn]string{}}
}

// Accept resets the connections of machines that are cut off, and returns others.
func (pth *path) Accept() (net.Conn, error) {
	for {
		con, err := pth.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ip, _, _ := net.SplitHostPort(con.RemoteAddr().String())
		if pth.add(con, ip) {
			return con, nil
		}
		pth.grp.Go(func(ctx context.Context) error {
			_ = clk.Sleep(ctx, resetAfter)
			reset(con)
			return nil
		})
	}
}

func (pth *path) add(con net.Conn, ip string) bool {
	pth.mu.Lock()
	defer pth.mu.Unlock()
	if pth.cut[ip] {
		return false
	}
	pth.conns[con] = ip
	return true
}

// Cut resets the connections of a machine and all that it opens from now on, or ends that.
func (pth *path) Cut(ip string, cut bool) {
	pth.mu.Lock()
	defer pth.mu.Unlock()
	pth.cut[ip] = cut
	for con, from := range pth.conns {
		if cut && from == ip {
			reset(con)
			delete(pth.conns, con)
		}
	}
}

func reset(con net.Conn) {
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = con.Close()
}
