package mesh

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"

	"lovagestream/core/call"
	"lovagestream/io/mesh/wire"
)

const (
	// relayIdleTimeout is how long an unused connection to a relay stays open.
	relayIdleTimeout = 20 * time.Second
	// relayPingTime and relayPingTimeout detect within three seconds that the other end
	// of a connection has vanished, so that a server doesn't work for a caller whose
	// instance is gone. gRPC sets TCP_USER_TIMEOUT to relayPingTimeout.
	relayPingTime    = time.Second
	relayPingTimeout = 2 * time.Second
	// relayOverhead is the part of maxMessageSize, in bytes, for all but the body.
	relayOverhead = 256 << 10
	// maxRelayConns bounds the connections to relays.
	maxRelayConns = 64
)

// RelayCall is a request to a backend server that another instance sends.
type RelayCall struct {
	// Server, Address and Service name the server.
	Server  string
	Address string
	Service string
	Method  string
	Target  string
	Host    string
	Fields  []call.Field
	Body    []byte
	// ID is the request ID that the response must name; empty if it names none.
	ID string
	// Release is set if the request is no new work, so that a leaving server may get it.
	Release bool
}

// RelayCause says why a relayed request failed.
type RelayCause uint8

const (
	// RelayFailed covers all causes without one of their own.
	RelayFailed RelayCause = iota
	// RelayUnreachable means that the relay couldn't connect to the server.
	RelayUnreachable
	// RelayNoPath means that the relay has no path to a server that others reach.
	RelayNoPath
	// RelayBusy means that the relay has no capacity for the request.
	RelayBusy
	// RelayPaused means that the server accepts no requests of the relay now.
	RelayPaused
	// RelayUnlisted means that the relay doesn't know the server as one to send to.
	RelayUnlisted
	// RelayClosed means that the server closed the connection.
	RelayClosed
	// RelayEnded means that the server closed the connection and refuses new ones.
	RelayEnded
	// RelayTaken means that all connections that the relay may hold to the server are in use.
	RelayTaken
	// RelayTooLong means that the response exceeded a bound on its size or time.
	RelayTooLong
)

// String returns the cause as it is named in logs.
func (cau RelayCause) String() string {
	switch cau {
	case RelayUnreachable:
		return "unreachable"
	case RelayNoPath:
		return "no-path"
	case RelayBusy:
		return "busy"
	case RelayPaused:
		return "paused"
	case RelayUnlisted:
		return "unlisted"
	case RelayClosed:
		return "closed"
	case RelayEnded:
		return "ended"
	case RelayTaken:
		return "connections-taken"
	case RelayTooLong:
		return "too-long"
	}
	return "failed"
}

// RelayError is the error of a relayed request.
type RelayError struct {
	// Relay is the relay's address.
	Relay string
	// Sent is false only if no byte of the request was sent to the server.
	Sent  bool
	Cause RelayCause
	Text  string
	// Remaining is how long the server accepts no requests of the relay.
	Remaining time.Duration
}

// Error names the relay and the cause.
func (err *RelayError) Error() string {
	return "relay " + err.Relay + ": " + err.Cause.String() + ": " + err.Text
}

// Unwrap returns io.ErrUnexpectedEOF if the server closed the connection, a
// *call.EndedError if it has ended, and a *call.BoundError if its response exceeded a bound.
func (err *RelayError) Unwrap() error {
	switch err.Cause {
	case RelayClosed:
		return io.ErrUnexpectedEOF
	case RelayEnded:
		return &call.EndedError{}
	case RelayTooLong:
		return &call.BoundError{Part: "relayed response"}
	}
	return nil
}

// RelayResponse sends the parts of a response back to the instance that asked.
type RelayResponse interface {
	Head(status int, hdr http.Header, length int64, framing call.Framing) error
	Data(buf []byte) error
}

// RelayHandler sends requests to backend servers for other instances.
type RelayHandler interface {
	// Relay sends a request and passes the response on. Its error is a *RelayError.
	Relay(ctx context.Context, cal RelayCall, rsp RelayResponse) error
}

// SetRelayHandler sets the handler of other instances' requests. It must be called
// before the transport serves; without one, all are refused.
func (tra *Transport) SetRelayHandler(han RelayHandler) { tra.relays = han }

// Relay serves a request of another instance.
func (svc *service) Relay(req *wire.RelayRequest, stm wire.Mesh_RelayServer) error {
	cal := RelayCall{
		Server: req.GetServer(), Address: req.GetAddress(), Service: req.GetService(), Method: req.GetMethod(), Target: string(req.GetTarget()), Host: string(req.GetHost()),
		Body: req.GetBody(), ID: req.GetId(), Release: req.GetRelease(), Fields: toFields(req.GetFields()),
	}
	err := error(&RelayError{Cause: RelayBusy, Text: "this instance relays nothing"})
	if svc.transport.relays != nil {
		err = svc.transport.relays.Relay(stm.Context(), cal, relayWriter{stm: stm})
	}
	var rer *RelayError
	if !errors.As(err, &rer) {
		return err
	}
	return stm.Send(&wire.RelayPart{Part: &wire.RelayPart_Failure{Failure: &wire.RelayFailure{Sent: rer.Sent, Cause: uint32(rer.Cause), Text: strings.ToValidUTF8(rer.Text, "?"), Left: rer.Remaining.Microseconds()}}})
}

func toFields(list []*wire.Field) []call.Field {
	out := make([]call.Field, 0, len(list))
	for _, fie := range list {
		out = append(out, call.Field{Name: fie.GetName(), Value: string(fie.GetValue())})
	}
	return out
}

// relayWriter is the RelayResponse of a gRPC stream.
type relayWriter struct{ stm wire.Mesh_RelayServer }

func (rwr relayWriter) Head(status int, hdr http.Header, length int64, framing call.Framing) error {
	head := &wire.RelayHead{Status: int32(status), Length: length, Framing: uint32(framing)} //nolint:gosec // A status has three digits.
	for name, vals := range hdr {
		for _, val := range vals {
			head.Fields = append(head.Fields, &wire.Field{Name: name, Value: []byte(val)})
		}
	}
	return rwr.stm.Send(&wire.RelayPart{Part: &wire.RelayPart_Head{Head: head}})
}

func (rwr relayWriter) Data(buf []byte) error {
	return rwr.stm.Send(&wire.RelayPart{Part: &wire.RelayPart_Data{Data: buf}})
}

// RelayedResponse is a response that comes through a relay. Reading returns io.EOF
// only at the end of a complete body.
type RelayedResponse struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// Framing is how the server marks the end of the body, if the relay says it.
	Framing call.Framing

	relay   string
	stm     wire.Mesh_RelayClient
	cancel  context.CancelFunc
	pending []byte
}

// Relay sends a request through the instance at an address. Its error is a *RelayError.
func (tra *Transport) Relay(ctx context.Context, address string, cal RelayCall) (*RelayedResponse, error) {
	if len(cal.Body) > maxMessageSize-relayOverhead {
		return nil, &RelayError{Relay: address, Cause: RelayBusy, Text: "the request is too large to relay"}
	}
	con, err := tra.relayConn(ctx, address)
	if err != nil {
		return nil, &RelayError{Relay: address, Cause: RelayBusy, Text: err.Error()}
	}
	req := &wire.RelayRequest{Server: cal.Server, Address: cal.Address, Service: cal.Service, Method: cal.Method, Target: []byte(cal.Target), Host: []byte(cal.Host), Body: cal.Body, Id: cal.ID, Release: cal.Release}
	for _, fie := range cal.Fields {
		req.Fields = append(req.Fields, &wire.Field{Name: fie.Name, Value: []byte(fie.Value)})
	}
	sctx, cancel := context.WithCancel(ctx)
	res := &RelayedResponse{relay: address, cancel: cancel}
	if res.stm, err = wire.NewMeshClient(con).Relay(sctx, req); err == nil {
		err = res.readHead()
	}
	if err != nil {
		cancel()
		return nil, res.fault(err)
	}
	return res, nil
}

// relayConn returns an open connection to a relay.
func (tra *Transport) relayConn(ctx context.Context, address string) (*grpc.ClientConn, error) {
	tra.mu.Lock()
	con := tra.relayConns[address]
	if con == nil && len(tra.relayConns) < maxRelayConns {
		var err error
		if con, err = tra.newRelayConn(address); err != nil {
			tra.mu.Unlock()
			return nil, err
		}
		tra.relayConns[address] = con
	}
	tra.mu.Unlock()
	if con == nil {
		return nil, errors.New("too many connections to relays")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dog := tra.clk.StartWatchdog(2*connectTimeout, cancel)
	defer dog.Stop()
	for {
		sta := con.GetState()
		switch sta {
		case connectivity.Ready:
			return con, nil
		case connectivity.Idle:
			con.Connect()
		case connectivity.TransientFailure, connectivity.Shutdown:
			tra.dropRelayConn(address, con)
			return nil, errors.New("connect: " + sta.String())
		}
		if !con.WaitForStateChange(ctx, sta) {
			return nil, errors.Wrap(ctx.Err(), "connect")
		}
	}
}

func (tra *Transport) newRelayConn(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(), grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)), grpc.WithIdleTimeout(relayIdleTimeout),
		grpc.WithInitialWindowSize(streamWindow), grpc.WithInitialConnWindowSize(streamWindow),
		grpc.WithReadBufferSize(connBuffer), grpc.WithWriteBufferSize(connBuffer),
		grpc.WithContextDialer(tra.dialConn),
	)
}

// dropRelayConn closes a connection that failed, so that the next request opens
// another.
func (tra *Transport) dropRelayConn(address string, con *grpc.ClientConn) {
	tra.mu.Lock()
	defer tra.mu.Unlock()
	if tra.relayConns[address] == con {
		delete(tra.relayConns, address)
		_ = con.Close()
	}
}

// closeRelayConns closes all connections to relays.
func (tra *Transport) closeRelayConns() {
	tra.mu.Lock()
	defer tra.mu.Unlock()
	for adr, con := range tra.relayConns {
		_ = con.Close()
		delete(tra.relayConns, adr)
	}
}

// fault returns the *RelayError of a request. Where the relay didn't say that it has
// sent nothing, it may have.
func (res *RelayedResponse) fault(err error) error {
	var rer *RelayError
	if errors.As(err, &rer) {
		rer.Relay = res.relay
		return rer
	}
	return &RelayError{Relay: res.relay, Sent: true, Text: err.Error()}
}

func (res *RelayedResponse) readHead() error {
	part, err := res.stm.Recv()
	if err != nil {
		return err
	}
	head := part.GetHead()
	switch {
	case part.GetFailure() != nil:
		return toRelayError(part.GetFailure())
	case head == nil:
		return errors.New("the response begins without a head")
	}
	res.Status, res.Length, res.Header = int(head.GetStatus()), head.GetLength(), http.Header{}
	res.Framing = call.Framing(min(head.GetFraming(), uint32(call.CloseFraming)))
	for _, fie := range head.GetFields() {
		res.Header.Add(fie.GetName(), string(fie.GetValue()))
	}
	return nil
}

func toRelayError(fai *wire.RelayFailure) *RelayError {
	return &RelayError{Sent: fai.GetSent(), Cause: RelayCause(min(fai.GetCause(), uint32(RelayTooLong))), Text: fai.GetText(), Remaining: time.Duration(fai.GetLeft()) * time.Microsecond}
}

// Read reads the body.
func (res *RelayedResponse) Read(buf []byte) (int, error) {
	for len(res.pending) == 0 {
		part, err := res.stm.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return 0, io.EOF
		case err != nil:
			return 0, res.fault(err)
		case part.GetFailure() != nil:
			return 0, res.fault(toRelayError(part.GetFailure()))
		}
		res.pending = part.GetData()
	}
	num := copy(buf, res.pending)
	res.pending = res.pending[num:]
	return num, nil
}

// Close ends the request; the relay closes its connection to the server if the body is
// not complete.
func (res *RelayedResponse) Close() { res.cancel() }
