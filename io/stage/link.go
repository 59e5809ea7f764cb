package stage

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/route"
	"lovagestream/io/origin"
)

const (
	dialTimeout     = time.Second
	maxIdleConns    = 64
	connIdleTimeout = 30 * time.Second
	maxHeaderBytes  = 16 << 10
	// writeBuffer fits the headers of a call, readBuffer about ten tokens.
	// Every open stream has one of each. Bodies bypass the write buffer.
	writeBuffer = 1 << 10
	readBuffer  = 2 << 10
	// Links of servers that got no call for linkIdleTimeout are removed, so
	// that the number of links follows the servers in use.
	linkIdleTimeout = 2 * time.Minute
	// sweepThreshold is the number of links from which adding one removes idle
	// links first.
	sweepThreshold = 256
)

// link holds the connections to one backend server.
type link struct {
	srv *route.Server
	// open opens a connection from this instance's own address.
	open func(ctx context.Context, network, address string) (net.Conn, error)
	// pooled is the transport that reuses connections. It is replaced after
	// one of its connections went silent, see retire.
	pooled atomic.Pointer[http.Transport]
	// singleUse opens a connection for each call. It serves calls that may not
	// be repeated: if one were sent on a reused connection that had died or gone
	// silent unnoticed, its outcome would stay unknown.
	singleUse *http.Transport
	// lastUsed is when the last call began, in nanoseconds since 1970.
	lastUsed atomic.Int64
}

func newLink(srv *route.Server, ori origin.SourceAddr) *link {
	lnk := &link{srv: srv, open: ori.DialFunc(dialTimeout)}
	lnk.pooled.Store(lnk.newTransport())
	lnk.singleUse = lnk.newTransport()
	lnk.singleUse.DisableKeepAlives = true
	return lnk
}

func (lnk *link) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            lnk.dial,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        connIdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		WriteBufferSize:        writeBuffer,
		ReadBufferSize:         readBuffer,
		DisableCompression:     true,
	}
}

func (lnk *link) dial(ctx context.Context, network, address string) (net.Conn, error) {
	con, err := lnk.open(ctx, network, address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	lnk.srv.Connections().Opened()
	return &countedConn{Conn: con, lks: lnk.srv.Connections()}, nil
}

// transportFor returns the transport for a call, depending on whether the call may be
// repeated.
func (lnk *link) transportFor(repeatable bool) *http.Transport {
	if !repeatable {
		return lnk.singleUse
	}
	return lnk.pooled.Load()
}

// retire replaces a transport after one of its connections went silent.
//
// A middlebox can silently drop many connections at once, often all of the same
// age. Each call on one of them would have to wait for the silence timeout, so
// later calls use a new transport with new connections. The old transport's idle
// connections are closed now. Its busy ones are closed when their calls end, since
// after CloseIdleConnections a transport keeps none that become idle later.
// Another silent connection of a transport that is already replaced has no effect
// on the new one.
func (lnk *link) retire(old *http.Transport) {
	lnk.srv.Connections().MarkSilent()
	if lnk.pooled.CompareAndSwap(old, lnk.newTransport()) {
		old.CloseIdleConnections()
	}
}

// retired reports whether a transport is no longer used for new calls.
func (lnk *link) retired(tra *http.Transport) bool {
	return tra != lnk.singleUse && tra != lnk.pooled.Load()
}

func (lnk *link) close() {
	lnk.pooled.Load().CloseIdleConnections()
	lnk.singleUse.CloseIdleConnections()
}

// countedConn is a connection that updates the server's connection count once
// when it is closed.
type countedConn struct {
	net.Conn
	lks  *route.Connections
	once sync.Once
}

// Close closes the connection.
func (con *countedConn) Close() error {
	con.once.Do(con.lks.Closed)
	return con.Conn.Close()
}

// links holds a client's links by server.
type links struct {
	mu sync.RWMutex
	// bySrv has a link for each recently called server.
	bySrv map[*route.Server]*link
	ori   origin.SourceAddr
}

// get returns the link of a server and creates it on the first call.
func (lks *links) get(srv *route.Server, now time.Time) *link {
	lks.mu.RLock()
	lnk := lks.bySrv[srv]
	lks.mu.RUnlock()
	if lnk == nil {
		lnk = lks.add(srv, now)
	}
	lnk.lastUsed.Store(now.UnixNano())
	return lnk
}

func (lks *links) add(srv *route.Server, now time.Time) *link {
	lks.mu.Lock()
	defer lks.mu.Unlock()
	if lnk := lks.bySrv[srv]; lnk != nil {
		return lnk
	}
	if len(lks.bySrv) >= sweepThreshold {
		lks.sweep(now)
	}
	lnk := newLink(srv, lks.ori)
	lks.bySrv[srv] = lnk
	return lnk
}

// sweep removes the links of servers without recent calls. A call still in
// flight on one keeps its transport and ends as usual.
func (lks *links) sweep(now time.Time) {
	for srv, lnk := range lks.bySrv {
		if now.Sub(time.Unix(0, lnk.lastUsed.Load())) > linkIdleTimeout {
			lnk.close()
			delete(lks.bySrv, srv)
		}
	}
}

func (lks *links) close() {
	lks.mu.Lock()
	defer lks.mu.Unlock()
	for _, lnk := range lks.bySrv {
		lnk.close()
	}
}
