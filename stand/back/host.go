package back

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lovagestream/io/group"
)

// Host serves a Server on a TCP port and injects network faults: it can crash
// and restart the server, isolate it, or drop all bytes on open connections.
type Host struct {
	srv *Server
	// addr stays the same across restarts.
	addr string
	grp  *group.Group

	mu  sync.Mutex
	hsv *http.Server
	// conns holds every open connection.
	conns map[*hostConn]bool
	// isolated drops the bytes of new connections too.
	isolated bool
	// outOfFiles is set for good once an accept failed with EMFILE.
	outOfFiles atomic.Bool
}

// Listen starts serving on an address; with port 0 the kernel chooses one.
func Listen(srv *Server, address string) (*Host, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	hst := &Host{srv: srv, addr: lis.Addr().String(), grp: group.New(context.Background()), conns: map[*hostConn]bool{}}
	hst.serve(lis)
	return hst, nil
}

// Address returns the listen address as host:port.
func (hst *Host) Address() string { return hst.addr }

// Server returns the simulated server.
func (hst *Host) Server() *Server { return hst.srv }

// Restart listens again on the same address after Kill.
func (hst *Host) Restart() error {
	hst.mu.Lock()
	defer hst.mu.Unlock()
	if hst.hsv != nil {
		return nil
	}
	lis, err := net.Listen("tcp", hst.addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	hst.serve(lis)
	return nil
}

func (hst *Host) serve(lis net.Listener) {
	hsv := &http.Server{Handler: hst.srv.Handler(), ReadHeaderTimeout: time.Minute}
	hst.hsv = hsv
	hst.grp.Go(func(context.Context) error {
		_ = hsv.Serve(&hostListener{Listener: lis, hst: hst})
		return nil
	})
}

// Kill closes the listener and all connections and drops the engine's state,
// as a crash of the process would.
func (hst *Host) Kill() {
	hst.mu.Lock()
	hsv := hst.hsv
	hst.hsv = nil
	hst.mu.Unlock()
	if hsv != nil {
		_ = hsv.Close()
	}
	hst.srv.Reset()
}

// BlackholeOpen drops all bytes on the connections open now, for good and in both
// directions, without an error at either end. New connections work.
func (hst *Host) BlackholeOpen() {
	hst.mu.Lock()
	defer hst.mu.Unlock()
	for con := range hst.conns {
		con.blackholed.Store(true)
	}
}

// Isolate drops all bytes on open connections, and on new ones until Heal, as in
// a network partition.
func (hst *Host) Isolate() {
	hst.BlackholeOpen()
	hst.mu.Lock()
	defer hst.mu.Unlock()
	hst.isolated = true
}

// Heal ends the isolation: new connections work again.
func (hst *Host) Heal() {
	hst.mu.Lock()
	defer hst.mu.Unlock()
	hst.isolated = false
}

// OutOfFiles reports whether an accept failed because the process had too many
// open files. The measurements of such a run are invalid.
func (hst *Host) OutOfFiles() bool { return hst.outOfFiles.Load() }

// Close stops the host and its server and waits for both.
func (hst *Host) Close() error {
	hst.Kill()
	if err := hst.grp.Wait(); err != nil {
		return err
	}
	return hst.srv.Close()
}

func (hst *Host) addConn(con *hostConn) {
	hst.mu.Lock()
	defer hst.mu.Unlock()
	con.blackholed.Store(hst.isolated)
	hst.conns[con] = true
}

func (hst *Host) removeConn(con *hostConn) {
	hst.mu.Lock()
	defer hst.mu.Unlock()
	delete(hst.conns, con)
}

// hostListener registers each accepted connection with its Host.
type hostListener struct {
	net.Listener
	hst *Host
}

var _ net.Listener = (*hostListener)(nil)

// Accept wraps and registers the connection.
func (lis *hostListener) Accept() (net.Conn, error) {
	got, err := lis.Listener.Accept()
	if errors.Is(err, syscall.EMFILE) {
		lis.hst.outOfFiles.Store(true)
	}
	if err != nil {
		return nil, err
	}
	con := &hostConn{Conn: got, hst: lis.hst}
	lis.hst.addConn(con)
	return con, nil
}

// hostConn is a connection that can drop all bytes.
type hostConn struct {
	net.Conn
	hst        *Host
	blackholed atomic.Bool
}

var _ net.Conn = (*hostConn)(nil)

// Read discards the bytes received on a blackholed connection.
func (con *hostConn) Read(buf []byte) (int, error) {
	for {
		num, err := con.Conn.Read(buf)
		if err != nil || !con.blackholed.Load() {
			return num, err
		}
	}
}

// Write discards the bytes sent on a blackholed connection.
func (con *hostConn) Write(buf []byte) (int, error) {
	if con.blackholed.Load() {
		return len(buf), nil
	}
	return con.Conn.Write(buf)
}

// Close unregisters and closes the connection.
func (con *hostConn) Close() error {
	con.hst.removeConn(con)
	return con.Conn.Close()
}
