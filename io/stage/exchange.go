package stage

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lovagestream/core/config"
	"lovagestream/core/route"
	"lovagestream/io/clock"
	"lovagestream/io/frame"
	"lovagestream/io/trace"
)

// exchange is one call in flight.
type exchange struct {
	cli *Client
	srv *route.Server
	lnk *link
	tra *http.Transport
	cal *Call
	id  string
	dog clock.Watchdog
	// connected is set once the call has a connection, after which bytes may
	// be sent. Only the calling goroutine accesses it: the transport reports
	// the connection there.
	connected bool
	// bod is the call's body; checkErr is the error of a failed send check.
	bod      *bytes.Reader
	checkErr error
	// cancel ends the exchange's own context. That context outlives the
	// caller's, so that the rest of a complete reply can still be read.
	cancel context.CancelCauseFunc
	// drained is set once Client.drain has taken over the reply's body.
	drained bool
	// unframed is set if the reply has neither a length nor chunks, so that a lost
	// connection ends it as its own end does.
	unframed bool
}

func (exc *exchange) fail(fau Fault, cause error) *Error {
	return &Error{server: exc.srv.ID(), stage: exc.cal.stg.Name(), fault: fau, cause: cause}
}

// do makes the call. It maps the transport's various errors after a silence
// timeout or the end of the request to FaultSilent and FaultCanceled.
func (exc *exchange) do(ctx context.Context, onSend func(), snk Sink) (*Reply, *Error) {
	if ctx.Err() != nil {
		return nil, exc.fail(FaultCanceled, ctx.Err())
	}
	own, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	exc.cancel = cancel
	defer func() {
		if !exc.drained {
			cancel(errDone)
		}
	}()
	stop := context.AfterFunc(ctx, func() { cancel(ctx.Err()) })
	defer stop()
	exc.dog = exc.cli.clk.StartWatchdog(exc.cal.silence, func() { cancel(errSilent) })
	defer exc.dog.Stop()
	rep, err := exc.run(own, onSend, snk)
	switch {
	case err == nil:
		return rep, nil
	case err.fault == FaultSink:
		return nil, err
	case errors.Is(context.Cause(own), errSilent):
		return nil, exc.fail(FaultSilent, errSilent)
	case ctx.Err() != nil:
		return nil, exc.fail(FaultCanceled, ctx.Err())
	}
	return nil, err
}

// afterFault retires the transport or cancels the call, as the fault requires.
func (exc *exchange) afterFault(err *Error) {
	if err.fault == FaultSilent {
		// Failing to connect within the silence timeout counts against the
		// server as much as receiving no byte.
		exc.lnk.retire(exc.tra)
	}
	// A server that replied with an error status has nothing to cancel. A call
	// that may not be repeated is not canceled: a partial side effect is worse
	// than a complete one.
	if exc.connected && err.fault != FaultStatus && exc.cal.stg.Repeatable() {
		exc.cli.ccl.send(exc.lnk, exc.id)
	}
}

func (exc *exchange) run(ctx context.Context, onSend func(), snk Sink) (*Reply, *Error) {
	req, err := exc.newRequest(ctx, onSend)
	if err != nil {
		return nil, exc.fail(FaultMalformed, err)
	}
	exc.tra = exc.lnk.transportFor(exc.cal.stg.Repeatable())
	// An http.Client would follow redirects and so make a second call.
	res, err := exc.tra.RoundTrip(req)
	if err != nil {
		switch {
		case exc.checkErr != nil:
			return nil, exc.fail(FaultNotSent, exc.checkErr)
		case !exc.connected:
			return nil, exc.fail(FaultDial, err)
		}
		return nil, exc.fail(FaultConnLost, err)
	}
	defer exc.release(res)
	exc.progress()
	if err := frame.CheckResponse(res); err != nil {
		return nil, exc.fail(FaultMalformed, err)
	}
	if got := res.Header.Get(HeaderCall); got != exc.id {
		return nil, exc.mismatch(got)
	}
	// Checked only after the ID matched: a reply of another server must not
	// mark this one as leaving.
	if res.Header.Get(HeaderState) == StateLeaving {
		exc.cli.onLeaving(exc.srv.ID())
	}
	if res.StatusCode != http.StatusOK {
		exc.drain(res)
		fai := exc.fail(FaultStatus, errors.New(res.Status))
		fai.status = res.StatusCode
		return nil, fai
	}
	return exc.read(res, snk)
}

func (exc *exchange) read(res *http.Response, snk Sink) (*Reply, *Error) {
	exc.unframed = res.ContentLength < 0 && len(res.TransferEncoding) == 0
	bod := &progressReader{rdr: res.Body, exc: exc}
	if exc.cal.stg.Kind() != config.Generate {
		return exc.readReply(bod)
	}
	typ, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	if err != nil || typ != "text/event-stream" {
		return nil, exc.fail(FaultMalformed, errors.Errorf("content type %q, want text/event-stream", typ))
	}
	rep, fai := exc.readStream(bod, snk)
	if fai == nil {
		exc.drain(res)
	}
	return rep, fai
}

// release closes the body, unless it is being drained.
func (exc *exchange) release(res *http.Response) {
	if !exc.drained {
		_ = res.Body.Close()
	}
	if exc.lnk.retired(exc.tra) {
		exc.tra.CloseIdleConnections()
	}
}

func (exc *exchange) drain(res *http.Response) {
	exc.drained = true
	exc.cli.drain(res.Body, exc.cancel)
}

// mismatch fails a call whose reply carries another call's ID. This happens when
// a server or a middlebox mixes up connections; using the reply would give one
// caller's answer to another.
func (exc *exchange) mismatch(got string) *Error {
	const longest = 128
	return exc.fail(FaultMismatch, errors.Errorf("reply carries call ID %q", got[:min(len(got), longest)]))
}

func (exc *exchange) newRequest(ctx context.Context, onSend func()) (*http.Request, error) {
	path, bod, err := exc.encodeBody()
	if err != nil {
		return nil, err
	}
	tctx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// Before this point no byte was sent; after it, an error doesn't tell
		// whether any was.
		GotConn: func(httptrace.GotConnInfo) { exc.gotConn(onSend) },
	})
	// The body must be an in-memory reader; see WithSendCheck.
	exc.bod = bytes.NewReader(bod)
	req, err := http.NewRequestWithContext(tctx, http.MethodPost, "http://"+exc.srv.Address()+path, exc.bod)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	// The transport retries requests that it takes for repeatable and whose
	// body it can read again. Without GetBody, and without a header that marks
	// the request as repeatable, a call is sent at most once.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderCall, exc.id)
	trace.Inject(ctx, req.Header)
	req.Header.Set(HeaderPriority, strconv.Itoa(exc.cal.priority))
	return req, nil
}

func (exc *exchange) encodeBody() (string, []byte, error) {
	stg := exc.cal.stg
	if stg.Kind() != config.Generate {
		path := PathCall
		if stg.Kind() == config.Service {
			path = stg.Path()
		}
		bod, err := json.Marshal(callBody{ID: exc.id, Model: stg.Model(), Inputs: exc.cal.inputs})
		return path, bod, errors.Wrap(err, "encode call")
	}
	bod, err := json.Marshal(completionBody{
		Model:      stg.Model(),
		Prompt:     Prompt(exc.cal.inputs),
		MaxTokens:  stg.MaxTokens(),
		Stream:     true,
		Priority:   exc.cal.priority,
		ResumeFrom: exc.cal.resume,
		ResumeText: exc.cal.resumeText,
	})
	return PathCompletions, bod, errors.Wrap(err, "encode completion")
}

func (exc *exchange) readReply(rdr io.Reader) (*Reply, *Error) {
	var rep callReply
	if err := exc.decode(rdr, &rep); err != nil {
		return nil, err
	}
	if rep.ID != exc.id {
		return nil, exc.mismatch(rep.ID)
	}
	if len(rep.Output) == 0 {
		return nil, exc.fail(FaultMalformed, errors.New("reply has no output"))
	}
	exc.recordLoad(rep.Load)
	return &Reply{output: rep.Output, usage: rep.Usage}, nil
}

func (exc *exchange) recordLoad(bod *loadBody) {
	if bod == nil {
		return
	}
	at := exc.cli.clk.Now().Add(-time.Duration(bod.AgeMillis) * time.Millisecond)
	exc.srv.SetReport(route.NewReport(at, bod.Running, bod.Waiting))
}

// progress records that bytes of the reply arrived. Replies to cancel calls don't
// count as progress of the server: an engine can hang and still answer those.
func (exc *exchange) progress() {
	exc.dog.Kick()
	exc.srv.Connections().Progressed()
}

// progressReader reports progress of the exchange whenever bytes arrive.
type progressReader struct {
	rdr io.Reader
	exc *exchange
}

// Read reads and resets the silence timeout if any bytes arrived.
func (prr *progressReader) Read(buf []byte) (int, error) {
	num, err := prr.rdr.Read(buf)
	if num > 0 {
		prr.exc.progress()
	}
	return num, err
}
