// Package front is the HTTP interface for callers: it checks and admits
// requests, has package runner run them, and writes the answers as JSON or as
// server-sent events.
package front

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"lovagestream/core/limit"
	"lovagestream/core/result"
	"lovagestream/io/claim"
	"lovagestream/io/clock"
	"lovagestream/io/frame"
	"lovagestream/io/group"
	"lovagestream/io/logs"
	"lovagestream/io/meter"
	"lovagestream/io/runner"
	"lovagestream/io/trace"
)

// Headers of the HTTP interface for callers.
const (
	// HeaderRequestID is the request ID, chosen by the caller or generated here.
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline is how long the caller waits, such as "2500ms".
	HeaderDeadline = "Lovage-Deadline"
	// HeaderOutcome is the request's outcome; a stream has it in its last event.
	HeaderOutcome = "Lovage-Outcome"
	// HeaderIdempotencyKey is required by pipelines with a stage that must not be
	// repeated.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// PathPipelines is the path at which callers run pipelines.
const PathPipelines = "/v1/pipelines/{pipeline}"

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Options limits what callers may send and occupy. Sizes are in bytes.
type Options struct {
	instance       string
	maxBodyBytes   int64
	maxHeaderBytes int64
	maxRequests    int64
	maxStreams     int64
	// writeTimeout bounds one write to a caller.
	writeTimeout time.Duration
}

// The default limits.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxRequests    = 8192
	defaultMaxStreams     = 4096
	defaultWriteTimeout   = 5 * time.Second
)

// NewOptions returns the options of an entry instance with default limits, but
// for that of a request body.
func NewOptions(instance string, maxBodyBytes int64) Options {
	return Options{
		instance:       instance,
		maxBodyBytes:   maxBodyBytes,
		maxHeaderBytes: defaultMaxHeaderBytes,
		maxRequests:    defaultMaxRequests,
		maxStreams:     defaultMaxStreams,
		writeTimeout:   defaultWriteTimeout,
	}
}

// WithMaxHeaderBytes limits a request's headers, in bytes.
func (opt Options) WithMaxHeaderBytes(size int64) Options {
	opt.maxHeaderBytes = size
	return opt
}

// WithMaxConcurrent limits the requests in progress, and the streams among them.
func (opt Options) WithMaxConcurrent(requests, streams int) Options {
	opt.maxRequests, opt.maxStreams = int64(requests), int64(streams)
	return opt
}

// WithWriteTimeout bounds one write to a caller.
func (opt Options) WithWriteTimeout(timeout time.Duration) Options {
	opt.writeTimeout = timeout
	return opt
}

// Server serves callers.
type Server struct {
	opt Options
	vws runner.Views
	rnr *runner.Runner
	clm *claim.Service
	lim *limit.Limiter
	clk clock.Service
	log *logs.Logger
	seq atomic.Uint64
	acs accounts
	ifl inFlight
	// mtr and trc are nil without metrics or traces.
	mtr *meter.Meter
	trc *trace.Tracer
	// mu guards stopping and the start of requests, so that none starts after
	// Drain began to wait.
	mu       sync.Mutex
	stopping bool
	running  sync.WaitGroup
}

// New returns a server. Its routes are served by Handler.
func New(opt Options, vws runner.Views, rnr *runner.Runner, clm *claim.Service, lim *limit.Limiter, clk clock.Service, log *logs.Logger) *Server {
	return &Server{opt: opt, vws: vws, rnr: rnr, clm: clm, lim: lim, clk: clk, log: log}
}

// Handler returns the callers' routes.
func (srv *Server) Handler() http.Handler {
	rtr := mux.NewRouter()
	rtr.HandleFunc(PathPipelines, srv.serve).Methods(http.MethodPost)
	rtr.HandleFunc(PathKeys, srv.issueKeys).Methods(http.MethodPost)
	rtr.NotFoundHandler = srv.refusalHandler(result.NoPath, "path: want "+PathPipelines+" or "+PathKeys)
	rtr.MethodNotAllowedHandler = srv.refusalHandler(result.WrongMethod, "method: want POST")
	return http.HandlerFunc(func(wri http.ResponseWriter, hrq *http.Request) {
		if frame.MustClose(hrq) {
			wri.Header().Set("Connection", "close")
		}
		if err := frame.Check(hrq); err != nil {
			wri.Header().Set("Connection", "close")
			srv.refusalHandler(result.BadRequest, err.Error()).ServeHTTP(wri, hrq)
			return
		}
		rtr.ServeHTTP(wri, hrq)
	})
}

// EndAdmission makes the server refuse all further requests.
func (srv *Server) EndAdmission() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.stopping = true
}

// Drain stops admission at once and waits until all requests in progress have
// ended or the context is done.
func (srv *Server) Drain(ctx context.Context) error {
	srv.EndAdmission()
	idle := make(chan struct{})
	grp := group.New(context.WithoutCancel(ctx))
	grp.Go(func(context.Context) error {
		srv.running.Wait()
		close(idle)
		return nil
	})
	select {
	case <-idle:
		return grp.Wait()
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "requests still in progress")
	}
}

// beginRequest counts a request for Drain, unless the instance is stopping.
func (srv *Server) beginRequest() bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.stopping {
		return false
	}
	srv.running.Add(1)
	return true
}

func (srv *Server) serve(wri http.ResponseWriter, hrq *http.Request) {
	rec, hrq := srv.startRecorder(wri, hrq)
	id, rfl := srv.requestID(hrq)
	defer srv.finishRecorder(rec, id)
	srv.setReadDeadline(wri, rec.arrived)
	if rfl != nil {
		writeProblem(rec, id, srv.unknownIfKeyed(hrq, rfl))
		return
	}
	if !srv.beginRequest() {
		// Makes load balancers and clients with kept connections reconnect
		// elsewhere.
		rec.Header().Set("Connection", "close")
		writeProblem(rec, id, srv.unknownIfKeyed(hrq, refuse(result.Stopping, time.Second, "this entry instance is stopping")))
		return
	}
	defer srv.running.Done()
	req, rfl := srv.readRequest(id, wri, hrq)
	if rfl != nil {
		writeProblem(rec, id, srv.unknownIfKeyed(hrq, rfl))
		return
	}
	rec.req = req
	srv.admit(rec, hrq, req)
}

// setReadDeadline bounds the reading of a body whose request may be refused.
func (srv *Server) setReadDeadline(wri http.ResponseWriter, now time.Time) {
	frame.SetReadDeadline(wri, now.Add(srv.opt.writeTimeout))
}

// admit admits a request and serves it.
func (srv *Server) admit(rec *recorder, hrq *http.Request, req *runner.Request) {
	id := req.ID()
	stream := wantsStream(hrq)
	if rfl := srv.ifl.acquire(srv.opt, stream); rfl != nil {
		writeProblem(rec, id, srv.unknownIfKeyed(hrq, rfl))
		return
	}
	defer srv.ifl.release(stream)
	if !req.Pipeline().Repeatable() {
		srv.serveKeyed(rec, hrq, req, rec.arrived)
		return
	}
	per, rfl := srv.acquirePermit(req)
	if rfl != nil {
		writeProblem(rec, id, rfl)
		return
	}
	defer func() {
		per.SetTokens(req.Tokens())
		per.Release()
	}()
	if stream {
		srv.serveStream(rec, hrq, req)
		return
	}
	srv.serveJSON(rec, hrq, req)
}

// refusalHandler refuses every request with the same reason.
func (srv *Server) refusalHandler(reason result.Reason, detail string) http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, hrq *http.Request) {
		srv.setReadDeadline(wri, srv.clk.Now())
		id, rfl := srv.requestID(hrq)
		if rfl == nil {
			rfl = refuse(reason, 0, detail)
		}
		if reason == result.WrongMethod {
			wri.Header().Set("Allow", http.MethodPost)
		}
		writeProblem(wri, id, rfl)
	})
}

// refuse returns the refusal of a request for which no call was sent.
func refuse(reason result.Reason, wait time.Duration, detail string) *result.Refusal {
	var trk result.SendTracker
	return trk.Refuse(reason, wait, nil, detail)
}

// acquirePermit admits a request within the preset and the client account's
// contract. Nothing has run for a request that it refuses.
func (srv *Server) acquirePermit(req *runner.Request) (*limit.Permit, *result.Refusal) {
	acc, pre := req.Account(), req.Document().Preset()
	if acc.Contract().Class().Rank() > pre.Admit().Rank() {
		return nil, refuse(result.Overloaded, time.Minute, fmt.Sprintf("preset %s admits class %s and above", pre.Name(), pre.Admit()))
	}
	dec := srv.lim.Admit(srv.clk.Now(), acc, req.Pipeline().MaxTokens())
	if dec.Permit() == nil {
		return nil, refuse(result.OverContract, dec.RetryAfter(), "the client account is over its contract")
	}
	return dec.Permit(), nil
}
