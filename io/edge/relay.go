package edge

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/call"
	"lovagestream/core/pause"
	"lovagestream/core/reach"
	"lovagestream/core/stock"
	"lovagestream/io/clock"
	"lovagestream/io/conns"
	"lovagestream/io/gauge"
	"lovagestream/io/lines"
	"lovagestream/io/mesh"
)

const (
	// maxRelayTries is how many instances are asked to relay one request. After
	// maxRelayTime, or relayTimeShare of the time that the request has left, no further
	// one is asked: a silent server costs each of them a quarter of a second.
	maxRelayTries  = 4
	maxRelayTime   = 400 * time.Millisecond
	relayTimeShare = 0.25
	// maxRelayed bounds the requests that this instance relays at a time, and
	// maxRelayedBytes the bytes of their bodies.
	maxRelayed      = 256
	maxRelayedBytes = 32 << 20
	// relayBufferSize is the size of the parts in which a body is relayed, in bytes.
	relayBufferSize = 4 << 10
)

// relay sends requests through other instances, and those of others to servers.
type relay struct {
	ctl *Control
	tra *mesh.Transport
	poo *conns.Pool
	cdc StageCodec
	clk clock.Service
	gau *gauge.Metrics

	mu    sync.Mutex
	state *reach.Relays

	// inFlight and bytes are of the requests of other instances.
	inFlight atomic.Int64
	bytes    atomic.Int64
}

var (
	_ conns.Relay       = (*relay)(nil)
	_ mesh.RelayHandler = (*relay)(nil)
)

func newRelay(ctl *Control, tra *mesh.Transport, poo *conns.Pool, cdc StageCodec, clk clock.Service, gau *gauge.Metrics) *relay {
	return &relay{ctl: ctl, tra: tra, poo: poo, cdc: cdc, clk: clk, gau: gau, state: reach.NewRelays()}
}

// Available reports whether there is an instance to ask.
func (rly *relay) Available() bool { return len(*rly.ctl.relays.Load()) > 0 }

// Exchange sends a request through another instance.
func (rly *relay) Exchange(ctx context.Context, req conns.Request, id string) (*conns.RelayedResponse, error) {
	cal := mesh.RelayCall{Server: req.Server, Address: req.Address, Service: req.Service, Method: req.Method, Target: req.Target, Host: req.Host, Fields: req.Fields, Body: req.Body, ID: id, Release: req.Release}
	asked := map[string]bool{}
	// unreachable are the relays that couldn't connect to the server.
	var unreachable []string
	begun, limit := rly.clk.Now(), maxRelayTime
	if !req.Deadline.IsZero() {
		limit = min(limit, time.Duration(relayTimeShare*float64(req.Deadline.Sub(begun))))
	}
	last := error(&conns.PathError{Address: req.Address})
	for len(asked) < maxRelayTries && rly.clk.Now().Sub(begun) < limit && ctx.Err() == nil {
		can, ok := rly.choose(req, id, asked)
		if !ok {
			break
		}
		asked[can.Address] = true
		res, err := rly.tra.Relay(ctx, can.Address, cal)
		if err == nil {
			rly.gau.Count("relayed", "answered")
			// The server lives, so the others have no path to it.
			rly.rest(req.Service, unreachable...)
			body := &relayedBody{RelayedResponse: res, end: func() { rly.ended(can.Address) }}
			return &conns.RelayedResponse{Status: res.Status, Header: res.Header, Length: res.Length, Framing: res.Framing, Relay: can.Address, Body: body}, nil
		}
		var rer *mesh.RelayError
		if !errors.As(err, &rer) {
			rer = &mesh.RelayError{Relay: can.Address, Sent: true, Text: err.Error()}
		}
		rly.gau.Count("relayed", rer.Cause.String())
		rly.ended(can.Address)
		if rer.Sent {
			return nil, &conns.SendError{Sent: true, Address: req.Address, Cause: rer}
		}
		last = rer
		switch rer.Cause {
		case mesh.RelayUnreachable:
			unreachable = append(unreachable, can.Address)
		case mesh.RelayNoPath:
			rly.rest(req.Service, can.Address)
		case mesh.RelayBusy:
			rly.rest("", can.Address)
		case mesh.RelayPaused:
			last = &pause.Error{Server: req.Server, Remaining: rer.Remaining}
		}
	}
	if len(unreachable) > 0 {
		last = &conns.UnreachableError{Address: req.Address, Cause: last}
	}
	return nil, &conns.SendError{Address: req.Address, Cause: last}
}

func (rly *relay) choose(req conns.Request, id string, asked map[string]bool) (reach.Candidate, bool) {
	now := rly.clk.Now()
	rly.mu.Lock()
	defer rly.mu.Unlock()
	can, ok := rly.state.Choose(now, *rly.ctl.relays.Load(), req.Service, rly.ctl.set.Zone, req.Zone, asked, call.HashFraction(id+req.Server))
	if ok {
		rly.state.Started(can.Address)
	}
	return can, ok
}

func (rly *relay) ended(address string) {
	rly.mu.Lock()
	defer rly.mu.Unlock()
	rly.state.Ended(address)
}

func (rly *relay) rest(service string, addresses ...string) {
	rly.mu.Lock()
	defer rly.mu.Unlock()
	for _, adr := range addresses {
		rly.state.Rest(rly.clk.Now(), adr, service)
	}
}

// relayedBody is the body of a relayed response; end is called once, when it is closed.
type relayedBody struct {
	*mesh.RelayedResponse
	once sync.Once
	end  func()
}

// Close ends the request.
func (rbo *relayedBody) Close() {
	rbo.RelayedResponse.Close()
	rbo.once.Do(rbo.end)
}

// Relay sends a request of another instance to a server.
func (rly *relay) Relay(ctx context.Context, cal mesh.RelayCall, rsp mesh.RelayResponse) error {
	size := int64(len(cal.Body))
	num, bytes := rly.inFlight.Add(1), rly.bytes.Add(size)
	defer rly.bytes.Add(-size)
	defer rly.inFlight.Add(-1)
	if num > maxRelayed || bytes > maxRelayedBytes {
		return rly.refused(mesh.RelayBusy, "too many requests of other instances")
	}
	viw := rly.ctl.View()
	if viw.Table == nil || !viw.Verified || !viw.ClosingAt.IsZero() {
		return rly.refused(mesh.RelayBusy, "this instance isn't ready")
	}
	ent, ok := findServer(viw.Servers[cal.Service], cal)
	if !ok || viw.Unusable[ent.ID] && !cal.Release {
		return rly.refused(mesh.RelayUnlisted, "no server "+cal.Server+" at "+cal.Address+" may get requests")
	}
	req := conns.Request{
		Server: ent.ID, Service: cal.Service, Zone: ent.Zone, Address: ent.Address, Method: cal.Method, Target: cal.Target, Host: cal.Host, Fields: cal.Fields, Body: cal.Body,
		MaxConns: viw.Connections(cal.Service), Release: cal.Release, NewConn: cal.ID == "" && !cal.Release, Relayed: true, Check: func() error { return rly.ctl.MaySend(ent.ID) },
	}
	rep, err := rly.poo.Do(ctx, req, cal.ID, rly.cdc.DecodeResponse)
	if err != nil {
		return rly.failed(ctx, req, err)
	}
	defer rep.Close()
	if rep.ResponseHead.Status != http.StatusMisdirectedRequest {
		rly.ctl.ObserveResponse(ent, rep.ResponseHead)
	}
	if err := rsp.Head(rep.ResponseHead.Status, rep.Header, rep.Length, rep.Framing); err != nil {
		return errors.Wrap(err, "relay the head")
	}
	buf := make([]byte, relayBufferSize)
	for {
		num, err := rep.Read(buf)
		if num > 0 {
			if err := rsp.Data(buf[:num:num]); err != nil {
				return errors.Wrap(err, "relay the body")
			}
		}
		switch {
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			rly.gau.Count("relayed-for-others", "answered")
			return nil
		case err != nil:
			return rly.failed(ctx, req, &conns.SendError{Sent: true, Address: ent.Address, Cause: err})
		}
	}
}

func findServer(list []stock.Entry, cal mesh.RelayCall) (stock.Entry, bool) {
	for _, ent := range list {
		if ent.ID == cal.Server && ent.Address == cal.Address {
			return ent, true
		}
	}
	return stock.Entry{}, false
}

// refused returns the error of a request that was not sent to a server.
func (rly *relay) refused(cau mesh.RelayCause, text string) error {
	rly.gau.Count("relayed-for-others", cau.String())
	return &mesh.RelayError{Cause: cau, Text: text}
}

// failed returns the error of a request whose send failed.
func (rly *relay) failed(ctx context.Context, req conns.Request, err error) error {
	out := &mesh.RelayError{Sent: true, Text: err.Error()}
	var sen *conns.SendError
	var pau *pause.Error
	var lim *conns.ConnLimitError
	var bnd *call.BoundError
	switch {
	case errors.As(err, &bnd):
		out.Cause = mesh.RelayTooLong
	case errors.As(err, &sen) && sen.Sent:
		if conns.ServerClosed(err) && ctx.Err() == nil {
			out.Cause = mesh.RelayClosed
			if rly.poo.Ended(ctx, req.Service, req.Address) {
				out.Cause = mesh.RelayEnded
			}
		}
	case errors.As(err, &pau):
		out.Sent, out.Cause, out.Remaining = false, mesh.RelayPaused, pau.Remaining
	case errors.As(err, &lim):
		out.Sent, out.Cause = false, mesh.RelayTaken
	case errors.As(err, &sen) && rly.poo.NoPathTo(req.Service, req.Address):
		out.Sent, out.Cause = false, mesh.RelayNoPath
	case errors.As(err, &sen):
		out.Sent, out.Cause = false, mesh.RelayUnreachable
	}
	rly.gau.Count("relayed-for-others", out.Cause.String())
	return out
}

// evPaths reports that the path to the servers of a service may be lost or back.
type evPaths struct{}

func (evPaths) apply(ctl *Control, now time.Time) { ctl.updatePaths(now) }

// pathsChanged notes that a path may be lost or back. It may be called by the control thread
// itself, which must not wait for space in its own queue: the next tick looks then.
func (ctl *Control) pathsChanged() {
	select {
	case ctl.events <- evPaths{}:
	default:
		ctl.pathsStale.Store(true)
	}
}

// updatePaths logs the services to whose servers the path was lost, or is back for good.
func (ctl *Control) updatePaths(now time.Time) {
	if ctl.calls == nil || ctl.calls.poo == nil {
		return
	}
	begun, ended := ctl.losses.Update(now, ctl.calls.poo.LostServices())
	for _, name := range begun {
		ctl.log.Log("servers-unreachable", lines.Fields{"service": name, "relays": len(*ctl.relays.Load())})
	}
	for _, end := range ended {
		ctl.log.Log("servers-reachable", lines.Fields{"service": end.Service, "lasted": end.Lasted.Milliseconds()})
	}
	if lost := ctl.calls.poo.AllLost(); ctl.serversLost != lost {
		ctl.serversLost = lost
		// The next tick tells the peers.
		ctl.heartbeatAt = time.Time{}
	}
}
