// Package entry is the reverse proxy for callers: it checks a request against
// the published configuration, forwards it unchanged to a backend server and
// relays the response unchanged. An incomplete response always looks incomplete
// to the caller.
package entry

import (
	"context"
	"io"
	"maps"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"

	"lovagestream/core/call"
	"lovagestream/core/fair"
	"lovagestream/core/marks"
	"lovagestream/core/resume"
	"lovagestream/core/sched"
	"lovagestream/core/stock"
	"lovagestream/core/table"
	"lovagestream/io/clock"
	"lovagestream/io/conns"
	"lovagestream/io/frame"
	"lovagestream/io/gauge"
	"lovagestream/io/lines"
	"lovagestream/io/trace"
)

// Codec translates between the wire format and the types of package call.
type Codec interface {
	// DecodeRequest decodes the head of a caller's request.
	DecodeRequest(req *http.Request) (*call.Request, error)
	// ForwardFields returns the header fields of the request to a backend
	// server.
	ForwardFields(req *call.Request, ext call.ForwardMetadata) []call.Field
	// DecodeResponse decodes the head of a backend server's response.
	DecodeResponse(status int, hdr http.Header) call.ResponseHead
	// ResponseFields returns the header fields of a backend server's response
	// that are sent to the caller.
	ResponseFields(hdr http.Header) []call.Field
}

const (
	// notReadyRetryAfter is the retry delay before the first configuration is
	// known, which is within a second of the start.
	notReadyRetryAfter = 500 * time.Millisecond
	// minRemaining is the least time until the deadline with which a request is
	// sent to a server.
	minRemaining = 20 * time.Millisecond
	// defaultTimeout is the timeout of requests for which neither the route nor
	// the caller sets one.
	defaultTimeout = 30 * time.Second
	// minGiveUp, giveUpTargets and giveUpGaps say when callers give up a silent
	// stream, as published: after two seconds, four times the latency target or
	// eight times the event gap target, whichever is longest.
	minGiveUp     = 2 * time.Second
	giveUpTargets = 4
	giveUpGaps    = 8
	// defaultMaxBody and defaultMaxHeader are the size limits of requests, in
	// bytes, before a configuration is known.
	defaultMaxBody   = 4 << 20
	defaultMaxHeader = 64 << 10
)

// Server is the HTTP handler of the callers' listener.
type Server struct {
	ctl  Control
	cdc  Codec
	poo  *conns.Pool
	clk  clock.Service
	log  *lines.Writer
	gau  *gauge.Metrics
	zone string
	name string
	pln  *plainState
	ret  retries
	trc  *trace.Tracer
	// active is the number of active requests.
	active  atomic.Int64
	waiting waitingSends
	stop    plannedStop
	// bodies is the memory of all requests' bodies.
	bodies *conns.Memory
	// counts are the requests by client account.
	countsMu sync.Mutex
	counts   map[string]*AccountCount
}

// New returns the server of the named entry instance in a zone.
func New(name, zone string, ctl Control, cdc Codec, poo *conns.Pool, clk clock.Service, log *lines.Writer, gau *gauge.Metrics) *Server {
	return &Server{ctl: ctl, cdc: cdc, poo: poo, clk: clk, log: log, gau: gau, zone: zone, name: name, pln: newPlainState(), ret: retries{started: clk.Now()}, waiting: waitingSends{sends: map[*mover]marks.Request{}}, stop: newPlannedStop(), counts: map[string]*AccountCount{}, bodies: conns.NewMemory(maxBodies)}
}

// WithTracer sets the tracer that makes spans of requests. It must be called
// before the server serves.
func (srv *Server) WithTracer(trc *trace.Tracer) *Server {
	srv.trc = trc
	return srv
}

// Active returns the number of active requests.
func (srv *Server) Active() int64 { return srv.active.Load() }

// activeRequest is the state of one request of a caller.
type activeRequest struct {
	srv *Server
	wri http.ResponseWriter
	req *call.Request
	viw *View
	rou *table.Route
	acc *table.Account
	// service is the one chosen by the route's traffic shares.
	service  string
	priority int
	arrived  time.Time
	// target is the time until which an answer counts as on time, giveUp the
	// time when the caller gives up a silent stream, and deadline the time by
	// which the answer must be complete.
	target   time.Time
	giveUp   time.Time
	deadline time.Time
	// received is the request's body.
	received receivedBody
	fpr      marks.Fingerprint
	// prints are the request's fingerprints, nil until they are needed. cause is the one for
	// which it is refused, causePart the part of its prompt if it is that.
	prints    marks.Request
	cause     marks.Fingerprint
	causePart string
	// standing is that of the client account, if its share was the reason of a
	// refusal.
	standing fair.Standing
	// attempts counts the sends after which a server may have run the request.
	// lastServer is the server of the last send, empty before the first.
	attempts   int
	lastServer string
	// reached is set once a send has reached a server, which may have rejected it. reserved
	// is set if a further one is reserved.
	reached  bool
	reserved bool
	// relayedBy is the instance that relayed the last response; empty if none did.
	relayedBy string
	// framing is that of the last response.
	framing call.Framing
	// stream is the record of the caller's stream once its first event was passed on, or
	// from the start if it takes one up. goesOn is set if an instance had that record.
	stream resume.Record
	goesOn bool
	// passed is the answer of a plain service's server if it is passed on as it comes, nil if
	// it is buffered.
	passed *stream
	// uncertain is set if the server of the first event started again meanwhile, so that
	// its software isn't known.
	uncertain bool
	// answered is set once a server's response head was copied to the answer. answering is
	// the same for other goroutines.
	answered  bool
	answering atomic.Bool
	// stopped is set if the instance ends before the request has an answer.
	stopped atomic.Bool
	// spn is the request's span; status and reason are the outcome.
	spn    trace.Span
	status int
	reason string
}

// endSpan ends the request's span with the outcome.
func (arq *activeRequest) endSpan() {
	arq.spn.SetAttributes(attribute.String("id", arq.req.ID), attribute.Int("status", arq.status), attribute.String("reason", arq.reason), attribute.String("service", arq.service))
	var err error
	if arq.status >= http.StatusInternalServerError {
		err = errors.New(arq.reason)
	}
	arq.spn.End(err)
}

// ServeHTTP serves one request.
func (srv *Server) ServeHTTP(wri http.ResponseWriter, htr *http.Request) {
	srv.active.Add(1)
	defer srv.active.Add(-1)
	arq := &activeRequest{srv: srv, wri: wri, req: &call.Request{}, viw: srv.ctl.View(), arrived: srv.clk.Now()}
	if !arq.viw.ClosingAt.IsZero() || arq.viw.CloseConnections || frame.MustClose(htr) {
		wri.Header().Set("Connection", "close")
	}
	ctx := htr.Context()
	if srv.trc != nil {
		ctx, arq.spn = srv.trc.StartServerSpan(ctx, htr.Header, "request")
		defer arq.endSpan()
	}
	defer arq.received.release()
	if !arq.prepare(htr) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dog := srv.clk.StartWatchdog(arq.deadline.Sub(arq.arrived), cancel)
	defer dog.Stop()
	defer srv.stop.watch(arq, cancel)()
	arq.countRequest()
	defer arq.releaseRetry()
	if arq.takesUp() && !arq.findStream(ctx) {
		return
	}
	if svc := arq.viw.Table.Service(arq.service); svc != nil && svc.Model != nil {
		arq.serveGenerate(ctx)
		return
	}
	arq.servePlain(ctx)
}

// prepare reads and checks a request. It reports whether the request may be
// sent to a server; otherwise the caller has been answered.
func (arq *activeRequest) prepare(htr *http.Request) bool {
	lim := table.Limits{MaxHeaderBytes: defaultMaxHeader, MaxBodyBytes: defaultMaxBody}
	if arq.viw.Table != nil {
		lim = arq.viw.Table.Limits()
	}
	req, fault := arq.srv.cdc.DecodeRequest(htr)
	if fault == nil {
		arq.req = req
	}
	if err := frame.Check(htr); err != nil {
		arq.closeAfterResponse()
		return arq.deny(http.StatusBadRequest, "malformed", err)
	}
	early := expectsContinue(htr)
	if early && !arq.checkHead(htr, lim, fault) {
		frame.SetReadDeadline(arq.wri, arq.srv.clk.Now().Add(drainTimeout))
		return false
	}
	body, ok := arq.readBody(htr, lim, fault)
	if !ok || !early && !arq.checkHead(htr, lim, fault) {
		return false
	}
	arq.req.Body = body
	return arq.applyRoute()
}

// expectsContinue reports whether a caller waits for "100 Continue" before it
// sends the body. A request that can be refused by its head must be refused
// before that.
func expectsContinue(htr *http.Request) bool {
	return strings.EqualFold(htr.Header.Get("Expect"), "100-continue")
}

// checkHead checks a request's head; fault is the error from decoding it.
func (arq *activeRequest) checkHead(htr *http.Request, lim table.Limits, fault error) bool {
	switch {
	case fault != nil:
		return arq.deny(http.StatusBadRequest, "malformed", fault)
	case arq.viw.Table == nil:
		return arq.refuse("no-configuration-yet", notReadyRetryAfter)
	case !arq.viw.Verified:
		return arq.refuse("unverified-after-pause", notReadyRetryAfter)
	case lim.MaxHeaderBytes > 0 && headerSize(htr.Header) > lim.MaxHeaderBytes:
		return arq.deny(http.StatusRequestHeaderFieldsTooLarge, "head-too-large", nil)
	}
	return arq.lookUp()
}

func headerSize(hdr http.Header) int {
	num := 0
	for name, vals := range hdr {
		for _, val := range vals {
			num += len(name) + len(val) + 4
		}
	}
	return num
}

// lookUp finds the route and the client account.
func (arq *activeRequest) lookUp() bool {
	tab := arq.viw.Table
	arq.rou = tab.Match(arq.req.Host, arq.req.Path)
	if arq.rou == nil {
		return arq.deny(http.StatusNotFound, "no-route", nil)
	}
	acc, ok := tab.Account(arq.rou, arq.req.Credential)
	if !ok {
		return arq.deny(http.StatusUnauthorized, "unknown-credential", nil)
	}
	arq.acc = acc
	return true
}

// applyRoute sets the priority, the service and the deadlines from the route
// and the client account, and refuses a request that must not run here.
func (arq *activeRequest) applyRoute() bool {
	acc := arq.acc
	arq.priority = arq.rou.Priority
	account := ""
	if acc != nil {
		account = acc.Name
		if acc.HasPriority {
			arq.priority = acc.Priority
		}
	}
	// A stream that is taken up stays at the service of its first attempt.
	first := arq.streamID()
	if first == "" {
		first = arq.req.ID
	}
	arq.service = arq.rou.PickService(call.HashFraction(first))
	arq.setDeadlines()
	arq.fpr = marks.NewFingerprint(account, arq.req.Target, arq.req.Body)
	if arq.checkMarks() != nil {
		return arq.refuse(reasonCrashes, marks.RetryAfter)
	}
	if num := len(arq.viw.Marks.Crashes(arq.fpr)); num >= marks.CrashLimit {
		arq.srv.log.Log("crashes-acquitted", lines.Fields{"id": arq.req.ID, "print": uint64(arq.fpr), "crashes": num})
	}
	if arq.mayOutlastStop() {
		return arq.refuse(reasonStopping, stoppingRetryAfter)
	}
	return true
}

func (arq *activeRequest) setDeadlines() {
	wait := defaultTimeout
	if arq.rou.Timeout > 0 {
		wait = arq.rou.Timeout
	}
	if arq.req.Timeout > 0 {
		wait = min(wait, arq.req.Timeout)
	}
	arq.deadline = arq.arrived.Add(wait)
	arq.target = arq.arrived.Add(arq.rou.LatencyTarget)
	if arq.rou.LatencyTarget == 0 {
		arq.target = arq.deadline
	}
	arq.giveUp = arq.deadline
	if arq.rou.Kind == call.Stream {
		gap := max(minGiveUp, giveUpTargets*arq.rou.LatencyTarget, giveUpGaps*arq.rou.EventGapTarget)
		arq.giveUp = arq.arrived.Add(min(wait, gap))
	}
}

// deny answers a request that is malformed or that the configuration doesn't
// allow. It returns false.
func (arq *activeRequest) deny(status int, reason string, err error) bool {
	arq.finish(status, reason, err)
	arq.write(status, reason, nil)
	return false
}

// refuse answers that the request has not run and will not run, with a
// Retry-After field. It returns false.
func (arq *activeRequest) refuse(reason string, after time.Duration) bool {
	arq.finish(http.StatusServiceUnavailable, reason, nil)
	secs := strconv.FormatFloat(math.Ceil(after.Seconds()*1000)/1000, 'f', -1, 64)
	arq.write(http.StatusServiceUnavailable, reason, map[string]string{"Retry-After": secs})
	return false
}

// fail answers a request that may have run.
func (arq *activeRequest) fail(status int, reason string, err error) {
	arq.finish(status, reason, err)
	arq.write(status, reason, nil)
}

// write sends a response: the status, the headers in extra (which may be nil),
// and the reason with a newline as text/plain body.
func (arq *activeRequest) write(status int, reason string, extra map[string]string) {
	hdr := arq.wri.Header()
	for name, val := range extra {
		hdr.Set(name, val)
	}
	hdr.Set("Content-Type", "text/plain; charset=utf-8")
	body := reason + "\n"
	hdr.Set("Content-Length", strconv.Itoa(len(body)))
	arq.wri.WriteHeader(status)
	_, _ = io.WriteString(arq.wri, body)
}

// finish records the outcome of the request, counts it and logs it.
func (arq *activeRequest) finish(status int, reason string, err error) {
	fie := lines.Fields{"id": arq.req.ID, "status": status, "reason": reason, "took": arq.srv.clk.Now().Sub(arq.arrived).Milliseconds()}
	if err != nil {
		fie["error"] = err.Error()
	}
	if arq.viw.Table != nil {
		fie["version"] = arq.viw.Table.Version()
	}
	if arq.rou != nil {
		fie["route"] = arq.rou.Name
		fie["service"] = arq.service
		fie["sent"] = arq.attempts
		if arq.lastServer != "" {
			fie["server"] = arq.lastServer
		}
		if arq.answered {
			fie["framing"] = arq.framing.String()
		}
		if arq.relayedBy != "" {
			fie["relay"] = arq.relayedBy
		}
		fie["priority"] = arq.priority
		fie["urgency"] = arq.rou.Priority
	}
	if arq.req.LastEventID != "" {
		fie["resumes"], fie["after"] = arq.req.Resumes, arq.req.LastEventID
	}
	if arq.acc != nil {
		fie["account"] = arq.acc.Name
	}
	if status >= http.StatusBadRequest && arq.fpr != 0 {
		// Other attempts of the caller have other IDs but the same fingerprint.
		fie["print"] = uint64(arq.fpr)
	}
	if arq.cause != 0 {
		fie["cause"], fie["part"] = uint64(arq.cause), arq.causePart
	}
	if arq.standing.Resource != "" && status == http.StatusServiceUnavailable {
		maps.Copy(fie, StandingFields(arq.standing))
	}
	arq.status, arq.reason = status, reason
	arq.count(status, reason)
	arq.srv.log.Log(endEvent(status), fie)
}

// count adds the outcome to the metrics. Only the part of the reason before the
// first comma is counted; a second reason may follow it.
func (arq *activeRequest) count(status int, reason string) {
	first, _, _ := strings.Cut(reason, ",")
	arq.srv.gau.Count("requests", strconv.Itoa(status)+" "+first)
	if arq.acc != nil {
		arq.srv.countAccount(arq.acc.Name, reason, status == http.StatusServiceUnavailable)
	}
	if arq.rou != nil && status < http.StatusBadRequest {
		arq.srv.gau.ObserveDuration("served", arq.rou.Kind.String()+" "+arq.service, arq.srv.clk.Now().Sub(arq.arrived))
	}
}

// forwardMetadata returns what is added to the request for a server.
func (arq *activeRequest) forwardMetadata(server string) call.ForwardMetadata {
	ext := call.ForwardMetadata{Server: server, Account: arq.account(), Remaining: arq.deadline.Sub(arq.srv.clk.Now())}
	if !arq.viw.Table.RequiresCredentials() {
		ext.Credential = arq.req.Credential
	}
	return ext
}

// sendTo sends the request to one server and returns its response.
func (arq *activeRequest) sendTo(ctx context.Context, ent stock.Entry, ext call.ForwardMetadata) (rep *conns.Reply, err error) {
	_, spn := trace.Start(ctx, "send", attribute.String("server", ent.ID))
	defer func() { spn.End(err) }()
	arq.lastServer = ent.ID
	reached, noted := arq.reached, false
	check := func() error {
		if err := arq.maySend(ent); err != nil {
			return err
		}
		noted = true
		arq.noteSend()
		return nil
	}
	fwd := conns.Request{
		Server: ent.ID, Service: arq.service, Zone: ent.Zone, Address: ent.Address, Method: arq.req.Method, Target: arq.req.Target, Host: arq.req.Host,
		Fields: arq.srv.cdc.ForwardFields(arq.req, ext), Body: arq.req.Body,
		MaxConns: arq.srv.ctl.View().Connections(arq.service), Check: check,
		Abort: !arq.rou.AtMostOnce(), Deadline: arq.deadline, RelayIfTaken: true,
	}
	sent := arq.srv.clk.Now()
	rep, err = arq.srv.poo.Do(ctx, fwd, arq.req.ID, arq.srv.cdc.DecodeResponse)
	if _, unsent := notSent(err); unsent && noted {
		arq.noteUnsent(reached)
	}
	if err == nil {
		arq.relayedBy, arq.framing = rep.Relay, rep.Framing
		arq.srv.gau.Count("responses", rep.Framing.String())
	}
	if err == nil && rep.ResponseHead.Status != http.StatusMisdirectedRequest {
		arq.srv.ctl.ObserveResponse(ent, rep.ResponseHead)
		if arq.srv.ctl.View().Marks.EndedBefore(ent.Start(), sent) {
			arq.srv.ctl.ServerAnswered(ent.Start(), sent)
		}
	}
	return rep, err
}

// maySend is the last check before a send. The request may have waited since it arrived.
func (arq *activeRequest) maySend(ent stock.Entry) error {
	if err := arq.checkMarks(); err != nil {
		return err
	}
	return arq.srv.ctl.MaySend(ent.ID)
}

// spec returns the description of the request for the coordinator.
func (arq *activeRequest) spec() sched.Spec {
	spc := sched.Spec{
		Key: sched.Key{Owner: arq.srv.name, ID: arq.req.ID}, Zone: arq.srv.zone, Service: arq.service, Stages: arq.rou.Stages,
		Pieces: arq.req.Pieces, PieceKey: arq.req.PieceKey, Parts: arq.req.Parts, PromptTokens: arq.req.PromptTokens, MaxOutputTokens: arq.req.MaxOutputTokens,
		Priority: arq.priority, Urgency: arq.rou.Priority, Fingerprint: uint64(arq.fpr), Arrived: arq.arrived, Target: arq.target, GiveUp: arq.giveUp, Deadline: arq.deadline,
	}
	spc.Account, spc.Version, spc.GoesOn = arq.account(), arq.stream.Version, arq.goesOn
	return spc
}

// account returns the name of the client account, empty without one.
func (arq *activeRequest) account() string {
	if arq.acc == nil {
		return ""
	}
	return arq.acc.Name
}

// copyHead copies the header fields of a server's response to the answer.
func (arq *activeRequest) copyHead(rep *conns.Reply) {
	hdr := arq.wri.Header()
	for _, fie := range arq.srv.cdc.ResponseFields(rep.Header) {
		hdr.Add(fie.Name, fie.Value)
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, have := rep.Header[name]; !have {
			hdr[name] = nil
		}
	}
	arq.answered = true
	arq.answering.Store(true)
}

// endEvent returns the log event of a request's end. Failures and successes
// have different events because each event has its own log budget: a flood of
// one doesn't suppress the other.
func endEvent(status int) string {
	switch {
	case status == http.StatusServiceUnavailable:
		return "request-refused"
	case status >= http.StatusBadRequest:
		return "request-failed"
	}
	return "request-served"
}
