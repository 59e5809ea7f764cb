// Package probe checks whether a backend server crashed when the connection of a
// call broke, and reports a crash and the request in flight to the control thread.
//
// One broken connection is no evidence against the server, as the network between
// may have failed. A server counts as crashed only if it refuses a new connection
// right after, or closes several new ones at once, as a proxy in front of a crashed
// server does, and if others of its availability zone don't do the same: then the
// path to the zone is lost.
package probe

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core"
	"lovagestream/core/marks"
	"lovagestream/core/route"
	"lovagestream/io/clock"
)

// Limits of one probe. A crashed process refuses connections at once; several
// attempts cover one that is still exiting. attemptInterval is both the wait between
// attempts and how long a new connection is watched for being closed.
const (
	maxAttempts     = 3
	attemptInterval = 20 * time.Millisecond
	dialTimeout     = 200 * time.Millisecond
	postTimeout     = time.Second
	// maxNeighbors is the number of other servers of a zone that are checked.
	maxNeighbors = 2
)

// Dial opens a connection, like net.Dialer's DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Poster is the control thread as used by a Prober.
type Poster interface {
	Post(ctx context.Context, ev core.Event) error
	View() *core.View
}

// Prober probes for one entry instance.
type Prober struct {
	dial Dial
	pst  Poster
	clk  clock.Service
}

// New returns a prober.
func New(dial Dial, pst Poster, clk clock.Service) *Prober {
	return &Prober{dial: dial, pst: pst, clk: clk}
}

// CrashTable returns the crash evidence of all entry instances that has arrived here.
func (prb *Prober) CrashTable() *marks.Table { return prb.pst.View().Marks() }

// CheckCrash checks a server after a call's connection to it broke before the reply.
// One that leaves exits at some time, with what is still in flight. If the server
// crashed, it posts the crash to the control thread and returns it. fpr
// is the fingerprint of the request in flight, sent the time when its call began: a
// connection that was left from before an earlier crash tells nothing of the request.
// The check of a crashed server takes some twenty milliseconds.
func (prb *Prober) CheckCrash(ctx context.Context, srv *route.Server, fpr marks.Fingerprint, sent time.Time) (marks.Crash, bool) {
	if srv.Leaving() || !prb.crashed(ctx, srv.Address()) || prb.pathLost(ctx, neighbors(srv, prb.pst.View().Backends(), prb.CrashTable())) {
		return marks.Crash{}, false
	}
	pctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), postTimeout)
	defer cancel()
	crs := marks.NewCrash(srv.ID(), prb.clk.Now()).WithLastReply(srv.LastReply())
	if prb.CrashTable().CrashedBefore(crs, sent) {
		return marks.Crash{}, false
	}
	_ = prb.pst.Post(pctx, core.NewServerCrashed(crs, fpr))
	return crs, true
}

// Answered posts that a request was answered against which crashes count.
func (prb *Prober) Answered(fpr marks.Fingerprint) {
	ctx, cancel := context.WithTimeout(context.Background(), postTimeout)
	defer cancel()
	_ = prb.pst.Post(ctx, core.NewRequestAnswered(fpr))
}

// crashed reports whether the server at an address refuses a connection or closes
// every new one at once.
func (prb *Prober) crashed(ctx context.Context, address string) bool {
	for num := range maxAttempts {
		if num > 0 && prb.clk.Sleep(ctx, attemptInterval) != nil {
			return false
		}
		dctx, cancel := context.WithTimeout(ctx, dialTimeout)
		conn, err := prb.dial(dctx, "tcp", address)
		cancel()
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case errors.Is(err, syscall.ECONNRESET):
			// The connection was closed as soon as it was opened.
		case err != nil || !prb.closedByServer(conn):
			return false
		}
	}
	return true
}

// neighbors returns the addresses of other servers of a server's zone that aren't known to have
// crashed, those of other pools first: what crashes servers of one pool may not run at them.
func neighbors(srv *route.Server, all []core.ServerView, tab *marks.Table) []string {
	known := map[string]bool{}
	for _, cra := range tab.Crashed() {
		known[cra.Server()] = true
	}
	var others, same []string
	for _, one := range all {
		switch oth := one.Server(); {
		case oth.Zone() != srv.Zone() || oth.ID() == srv.ID() || known[oth.ID()]:
		case oth.Pool() != srv.Pool():
			others = append(others, oth.Address())
		default:
			same = append(same, oth.Address())
		}
	}
	list := append(others, same...)
	return list[:min(maxNeighbors, len(list))]
}

// pathLost reports whether there are servers at these addresses, and all seem to have crashed.
func (prb *Prober) pathLost(ctx context.Context, addresses []string) bool {
	for _, adr := range addresses {
		if !prb.crashed(ctx, adr) {
			return false
		}
	}
	return len(addresses) > 0
}

// closedByServer reports whether the server closes a new connection before any
// request is sent. A live server waits for a request.
func (prb *Prober) closedByServer(conn net.Conn) bool {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(prb.clk.Now().Add(attemptInterval))
	_, err := conn.Read(make([]byte, 1))
	var tmo net.Error
	if errors.As(err, &tmo) && tmo.Timeout() {
		return false
	}
	return err != nil
}
