package conns

import (
	"context"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/call"
	"lovagestream/core/reach"
	"lovagestream/io/clock"
	"lovagestream/io/frame"
)

const (
	// shortDialTimeout bounds opening a connection if another instance can be asked
	// instead. It covers two round trips between regions.
	shortDialTimeout = 250 * time.Millisecond
	// hungAfter is how long a response may keep a request waiting, while no server sends
	// anything, before a trial connection tells whether the path is lost.
	hungAfter = 300 * time.Millisecond
)

// PathError is the error of a request to a server that this instance has no path to.
// It says nothing about the server.
type PathError struct{ Address string }

// Error names the address.
func (err *PathError) Error() string {
	return "no path to " + err.Address + " or other servers of its service"
}

// RelayedBody is the body of a relayed response. Reading returns io.EOF only at its end.
type RelayedBody interface {
	io.Reader
	// Close ends the request.
	Close()
}

// RelayedResponse is the response to a relayed request.
type RelayedResponse struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// Framing is how the server marks the end of the body, if the relay says it.
	Framing call.Framing
	// Relay is the address of the instance that relays.
	Relay string
	Body  RelayedBody
}

// Relay sends requests to backend servers through other entry instances.
type Relay interface {
	// Available reports whether there is an instance to ask.
	Available() bool
	// Exchange sends a request. Its error is a *SendError; if that is not Sent and its
	// cause is *UnreachableError, no instance that was asked reaches the server.
	Exchange(ctx context.Context, req Request, id string) (*RelayedResponse, error)
}

// UnreachableError is the error of a server that other instances don't reach either.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (err *UnreachableError) Error() string {
	return err.Address + " can't be reached by other instances: " + err.Cause.Error()
}

// Unwrap returns the cause.
func (err *UnreachableError) Unwrap() error { return err.Cause }

// paths is the state of the paths to the servers, and the requests that wait for a
// response.
type paths struct {
	mu      sync.Mutex
	state   *reach.Paths
	relay   Relay
	changed func()
	// waiting are the requests to give up if the path is lost.
	waiting map[*responseWatch]bool
	// endChecks are the checks in progress whether a server has ended, by its address,
	// with the functions to call.
	endChecks map[string][]func(ended bool)
}

func newPaths() *paths {
	return &paths{state: reach.NewPaths(), changed: func() {}, waiting: map[*responseWatch]bool{}, endChecks: map[string][]func(bool){}}
}

// RelayWith sets the relay, and a function that is called when the path to the servers
// of a service is lost or back. It must be called before the pool is used.
func (poo *Pool) RelayWith(rly Relay, changed func()) {
	poo.paths.relay, poo.paths.changed = rly, changed
}

// server names a request's server.
func (req *Request) server() reach.Server {
	return reach.Server{Service: req.Service, Address: req.Address}
}

// AllLost reports whether this instance has no path to any server.
func (poo *Pool) AllLost() bool {
	poo.paths.mu.Lock()
	defer poo.paths.mu.Unlock()
	return poo.paths.state.AllLost(poo.clk.Now())
}

// LostServices returns the services to whose servers this instance has no path.
func (poo *Pool) LostServices() []string {
	poo.paths.mu.Lock()
	defer poo.paths.mu.Unlock()
	return poo.paths.state.LostServices()
}

// lost reports whether there is no path to the servers of a service.
func (pas *paths) lost(now time.Time, service string) bool {
	pas.mu.Lock()
	defer pas.mu.Unlock()
	return pas.state.Lost(now, service)
}

// relayAvailable reports whether another instance can be asked.
func (pas *paths) relayAvailable() bool { return pas.relay != nil && pas.relay.Available() }

func (pas *paths) way(now time.Time, ser reach.Server) reach.Way {
	pas.mu.Lock()
	defer pas.mu.Unlock()
	return pas.state.Way(now, ser)
}

// heard records that a server sent something.
func (pas *paths) heard(now time.Time, ser reach.Server) {
	pas.mu.Lock()
	defer pas.mu.Unlock()
	pas.state.Heard(now, ser)
}

// update changes the state and calls changed if fun reports that a service's path was
// lost or is back.
func (pas *paths) update(fun func(sta *reach.Paths) bool) {
	pas.mu.Lock()
	changed := fun(pas.state)
	pas.mu.Unlock()
	if changed {
		pas.changed()
	}
}

// connectFailed records a connection that didn't open. It returns the servers to try
// next.
func (pas *paths) connectFailed(now time.Time, ser reach.Server) []reach.Server {
	pas.mu.Lock()
	lost := pas.state.ConnectFailed(now, ser)
	suspects := pas.state.Suspects(now, ser)
	var given []*responseWatch
	if lost {
		all := pas.state.AllLost(now)
		for wat := range pas.waiting {
			if (all || wat.req.Service == ser.Service) && now.Sub(wat.begun) > hungAfter && pas.state.Silent(wat.begun) {
				given = append(given, wat)
			}
		}
	}
	pas.mu.Unlock()
	for _, wat := range given {
		wat.abort(pas)
	}
	if lost {
		pas.changed()
	}
	return suspects
}

// noteConnect records the end of an attempt to connect.
func (poo *Pool) noteConnect(ser reach.Server, err error) {
	now := poo.clk.Now()
	if err == nil {
		poo.paths.update(func(sta *reach.Paths) bool { return sta.Connected(now, ser) })
		return
	}
	for _, oth := range poo.paths.connectFailed(now, ser) {
		poo.try(oth)
	}
}

// try opens a connection to a server in the background, to learn whether there is a
// path. The connection is kept for the next request.
func (poo *Pool) try(ser reach.Server) {
	poo.grp.Go(func(ctx context.Context) error {
		con, err := poo.openConn(ctx, Request{Service: ser.Service, Address: ser.Address}, shortDialTimeout)
		if err == nil {
			poo.putIdle(con, 0)
		}
		return nil
	})
}

// CheckPath opens a trial connection to a server that closed a connection with a request
// on it, unless one was opened shortly before. Some time later, NoPathTo tells whether
// this instance's path was the cause.
func (poo *Pool) CheckPath(service, address string) {
	ser := reach.Server{Service: service, Address: address}
	poo.paths.mu.Lock()
	due := poo.paths.state.Check(poo.clk.Now(), ser)
	poo.paths.mu.Unlock()
	if due {
		poo.try(ser)
	}
}

const (
	// endChecks is how many connections are tried to a server that may have ended, and
	// endCheckInterval how long each is watched for being closed: by a process that is
	// about to end, or by a proxy in front of one that has.
	endChecks        = 3
	endCheckInterval = 20 * time.Millisecond
)

// Ended reports whether the server at an address refuses new connections, or closes each at
// once, after it has closed one. It takes a few milliseconds if they are refused. Servers reset
// connections beyond their number; one that has ended has no other connection open.
func (poo *Pool) Ended(ctx context.Context, service, address string) bool {
	for range endChecks {
		con, err := poo.openConn(ctx, Request{Service: service, Address: address}, shortDialTimeout)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		if poo.clk.Sleep(ctx, endCheckInterval) != nil {
			poo.discard(con)
			return false
		}
		if con.usable() {
			poo.putIdle(con, 0)
			return false
		}
		poo.discard(con)
	}
	return !poo.connected(address)
}

// Reach calls fun, in the background, if a new connection to the server at an address stays
// open, or another one is still open then.
func (poo *Pool) Reach(service, address string, fun func()) {
	poo.grp.Go(func(ctx context.Context) error {
		con, err := poo.openConn(ctx, Request{Service: service, Address: address}, shortDialTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil
		}
		_ = poo.clk.Sleep(ctx, endCheckInterval)
		stays := err == nil && con.usable()
		switch {
		case stays:
			poo.putIdle(con, 0)
		case err == nil:
			poo.discard(con)
		}
		if stays || poo.connected(address) {
			fun()
		}
		return nil
	})
}

// CheckEnded calls fun with what Ended returns, in the background. All connections of a server
// that ends are closed at the same time, so those who ask during a check share its result.
func (poo *Pool) CheckEnded(service, address string, fun func(ended bool)) {
	pas := poo.paths
	pas.mu.Lock()
	defer pas.mu.Unlock()
	waiting, running := pas.endChecks[address]
	pas.endChecks[address] = append(waiting, fun)
	if running {
		return
	}
	poo.grp.Go(func(ctx context.Context) error {
		ended := poo.Ended(ctx, service, address)
		pas.mu.Lock()
		list := pas.endChecks[address]
		delete(pas.endChecks, address)
		pas.mu.Unlock()
		for _, fun := range list {
			fun(ended)
		}
		return nil
	})
}

// NoPathTo reports whether this instance can't connect to a server for want of a path:
// others reach the server, or none of its service's servers can be reached.
func (poo *Pool) NoPathTo(service, address string) bool {
	poo.paths.mu.Lock()
	defer poo.paths.mu.Unlock()
	now, sta := poo.clk.Now(), poo.paths.state
	return sta.Lost(now, service) || sta.ReachedByOthers(now, reach.Server{Service: service, Address: address})
}

// ServiceUnreachable reports whether the servers of a service are likely out of reach for all
// instances, as nothing was heard from any since a time.
func (poo *Pool) ServiceUnreachable(service string, since time.Time) bool {
	poo.paths.mu.Lock()
	defer poo.paths.mu.Unlock()
	return poo.paths.state.ServiceUnreachable(service, since)
}

// ServerStarted records that another server has started at an address.
func (poo *Pool) ServerStarted(service, address string) {
	poo.paths.update(func(sta *reach.Paths) bool { return sta.Started(reach.Server{Service: service, Address: address}) })
	poo.CloseIdle(address)
}

// tryLost opens trial connections to servers to which the path is lost, and drops
// what is known of servers that are not used any more.
func (poo *Pool) tryLost() {
	now := poo.clk.Now()
	poo.paths.mu.Lock()
	list := poo.paths.state.Trials(now)
	poo.paths.state.Sweep(now)
	poo.paths.mu.Unlock()
	for _, ser := range list {
		poo.try(ser)
	}
}

// mayRelay reports whether a request for which no connection was had may be relayed.
func (poo *Pool) mayRelay(ctx context.Context, req Request, err error) bool {
	var lim *ConnLimitError
	var unr *UnreachableError
	if req.Relayed || ctx.Err() != nil || errors.As(err, &lim) && !req.RelayIfTaken || errors.As(err, &unr) {
		return false
	}
	return poo.paths.relayAvailable()
}

// relay sends a request through another instance, after err.
func (poo *Pool) relay(ctx context.Context, req Request, id string, head HeadDecoder, err error) (*Reply, error) {
	if req.Check != nil {
		if err := req.Check(); err != nil {
			return nil, &SendError{Address: req.Address, Cause: err}
		}
	}
	res, rerr := poo.paths.relay.Exchange(ctx, req, id)
	now, ser := poo.clk.Now(), req.server()
	var unr *UnreachableError
	var lim *ConnLimitError
	var sen *SendError
	if errors.As(err, &lim) && errors.As(rerr, &sen) && !sen.Sent {
		// The path to the server is not the reason.
		return nil, &SendError{Address: req.Address, Cause: err}
	}
	if errors.As(rerr, &unr) {
		poo.paths.update(func(sta *reach.Paths) bool { return sta.Unreachable(now, ser) })
		return nil, &SendError{Address: req.Address, Cause: &UnreachableError{Address: req.Address, Cause: err}}
	}
	if rerr != nil {
		return nil, rerr
	}
	// Relays of earlier builds pass on what net/http takes.
	if err := frame.CheckResponse(&http.Response{ProtoMajor: 1, StatusCode: res.Status, Header: res.Header}); err != nil {
		res.Body.Close()
		return nil, &SendError{Sent: true, Address: req.Address, Cause: err}
	}
	if lim == nil {
		poo.paths.update(func(sta *reach.Paths) bool {
			sta.Relayed(now, ser)
			return false
		})
	}
	rep := &Reply{poo: poo, server: ser, Header: res.Header, Length: res.Length, Framing: res.Framing, Relay: res.Relay, remote: res.Body, ResponseHead: head(res.Status, res.Header)}
	rep.scanEvents()
	return rep, nil
}

// responseWatch watches a request that waits for its response.
type responseWatch struct {
	poo     *Pool
	req     Request
	con     *conn
	begun   time.Time
	dog     clock.Watchdog
	aborted bool
}

// watchResponse starts a watch of a request that is sent on a connection.
func (poo *Pool) watchResponse(req Request, con *conn) *responseWatch {
	wat := &responseWatch{poo: poo, req: req, con: con, begun: poo.clk.Now()}
	wat.dog = poo.clk.StartWatchdog(hungAfter, wat.suspect)
	if req.Abort {
		poo.paths.mu.Lock()
		defer poo.paths.mu.Unlock()
		poo.paths.waiting[wat] = true
	}
	return wat
}

// suspect tries the path if no server has sent anything since the request. If the path
// is lost already, it gives the request up.
func (wat *responseWatch) suspect() {
	pas := wat.poo.paths
	now := wat.poo.clk.Now()
	pas.mu.Lock()
	silent, lost := pas.state.Silent(wat.begun), pas.state.Lost(now, wat.req.Service)
	try := silent && !lost && pas.state.BeginTrial(now, wat.req.server())
	pas.mu.Unlock()
	switch {
	case silent && lost:
		wat.abort(pas)
	case try:
		wat.poo.try(wat.req.server())
	}
}

// abort closes the connection if the request still waits.
func (wat *responseWatch) abort(pas *paths) {
	pas.mu.Lock()
	defer pas.mu.Unlock()
	if pas.waiting[wat] {
		wat.aborted = true
		_ = wat.con.Close()
	}
}

// end ends the watch with the error of the response. It reports whether the request was
// given up because the path is lost.
func (wat *responseWatch) end(err error) bool {
	wat.dog.Stop()
	pas := wat.poo.paths
	if err == nil {
		pas.heard(wat.poo.clk.Now(), wat.req.server())
	}
	pas.mu.Lock()
	defer pas.mu.Unlock()
	delete(pas.waiting, wat)
	return wat.aborted && err != nil
}
