// Package stage makes single calls of a stage to a backend server and checks
// that the reply belongs to the call. Package runner chooses servers and
// retries.
package stage

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"

	"lovagestream/core/route"
	"lovagestream/io/clock"
	"lovagestream/io/group"
	"lovagestream/io/origin"
	"lovagestream/io/trace"
)

// Limits on replies of backend servers. WithMaxAnswer sets the limit on a
// complete answer.
const (
	defaultMaxAnswer = 4 << 20
	maxEventBytes    = 64 << 10
	maxTokenBytes    = 4 << 10
	// A stream may have streamBaseBytes, and streamTokenBytes for each token
	// asked for. Without this limit, events without tokens could keep the
	// stream open forever.
	streamBaseBytes  = 64 << 10
	streamTokenBytes = 8 << 10
	// Limits on reading the rest of a body after the end of the reply, which
	// lets the connection be reused.
	drainBytes   = 4 << 10
	drainTimeout = 250 * time.Millisecond
)

// Client calls backend servers. It is safe for concurrent use.
type Client struct {
	clk clock.Service
	lks links
	// onLeaving is called with the ID of a server whose reply says that it is
	// leaving.
	onLeaving func(server string)
	maxAnswer int64
	// faultCounts holds the number of failed calls by fault.
	faultCounts map[Fault]*atomic.Int64
	ccl         canceller
	// draining is the number of replies whose rest is being read right now.
	draining atomic.Int64

	// mu guards closed and the start of background work, so that none starts
	// once Close is waiting.
	mu     sync.Mutex
	closed bool
	grp    *group.Group
}

// NewClient returns a client whose connections come from the address of ori.
// onLeaving is called with a server's ID from the goroutines that make calls.
func NewClient(clk clock.Service, ori origin.SourceAddr, onLeaving func(server string)) *Client {
	cli := &Client{
		clk:         clk,
		lks:         links{bySrv: map[*route.Server]*link{}, ori: ori},
		onLeaving:   onLeaving,
		maxAnswer:   defaultMaxAnswer,
		faultCounts: map[Fault]*atomic.Int64{},
		grp:         group.New(context.Background()),
	}
	cli.ccl = newCanceller(cli)
	for _, fau := range faults {
		cli.faultCounts[fau] = &atomic.Int64{}
	}
	return cli
}

// WithMaxAnswer sets the longest answer of a stage, in bytes of text or JSON. It
// must be called before the first call.
func (cli *Client) WithMaxAnswer(most int64) *Client {
	cli.maxAnswer = most
	return cli
}

// Mismatches returns how many replies were dropped because they carried another
// call's ID.
func (cli *Client) Mismatches() int64 { return cli.FaultCount(FaultMismatch) }

// FaultCount returns how many calls failed with a fault.
func (cli *Client) FaultCount(fau Fault) int64 { return cli.faultCounts[fau].Load() }

// Cancels returns how many cancel calls were sent, and how many were dropped
// because too many were in flight.
func (cli *Client) Cancels() (sent, dropped int64) {
	return cli.ccl.sent.Load(), cli.ccl.dropped.Load()
}

// Draining returns how many complete replies have not released their connection
// yet.
func (cli *Client) Draining() int64 { return cli.draining.Load() }

// Close stops the background work and closes idle connections.
func (cli *Client) Close() {
	cli.mu.Lock()
	cli.closed = true
	cli.mu.Unlock()
	cli.grp.Stop()
	_ = cli.grp.Wait()
	cli.lks.close()
}

// background runs fun in the background. After Close, it runs nothing and
// returns false.
func (cli *Client) background(fun func(ctx context.Context)) bool {
	cli.mu.Lock()
	defer cli.mu.Unlock()
	if cli.closed {
		return false
	}
	cli.grp.Go(func(ctx context.Context) error { fun(ctx); return nil })
	return true
}

// Do makes the call. It calls onSend at most once, right before the first byte
// may be sent; if it fails with FaultDial or FaultNotSent, onSend was not called.
// Only generate stages use the sink, which may be nil. Errors are of type *Error.
func (cli *Client) Do(ctx context.Context, srv *route.Server, cal *Call, onSend func(), snk Sink) (*Reply, error) {
	now := cli.clk.Now()
	srv.Begin(now)
	defer func() { srv.End(cli.clk.Now()) }()
	exc := &exchange{cli: cli, srv: srv, cal: cal, id: cal.ID(), lnk: cli.lks.get(srv, now)}
	sctx, spn := trace.Start(ctx, "attempt", attribute.String("server", srv.ID()), attribute.Int("attempt", cal.attempt), attribute.Int("resume", cal.resume))
	rep, err := exc.do(sctx, onSend, snk)
	if err == nil {
		spn.End(nil)
		return rep, nil
	}
	spn.SetAttributes(attribute.String("fault", string(err.fault)))
	spn.End(err)
	cli.faultCounts[err.fault].Add(1)
	exc.afterFault(err)
	return nil, err
}

var (
	errSilent = errors.New("no byte received within the silence timeout")
	errDone   = errors.New("call ended")
)

// drain reads the rest of a reply in the background, limited in bytes and time,
// so that its connection can be reused. Closing the body before its end would
// cost each streamed call a new connection.
func (cli *Client) drain(bod io.ReadCloser, cancel context.CancelCauseFunc) {
	cli.draining.Add(1)
	done := func() {
		_ = bod.Close()
		cancel(errDone)
		cli.draining.Add(-1)
	}
	started := cli.background(func(context.Context) {
		dog := cli.clk.StartWatchdog(drainTimeout, func() { cancel(errSilent) })
		defer dog.Stop()
		defer done()
		_, _ = io.CopyN(io.Discard, bod, drainBytes)
	})
	if !started {
		done()
	}
}
