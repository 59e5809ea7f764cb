package front

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"lovagestream/core/result"
	"lovagestream/io/meter"
	"lovagestream/io/runner"
	"lovagestream/io/trace"
)

// recorder records one request's outcome for metrics and traces. It wraps the
// response writer, so that whichever function writes the response can report
// the outcome.
type recorder struct {
	http.ResponseWriter
	spn     trace.Span
	arrived time.Time
	// req is nil until the request was read and checked.
	req     *runner.Request
	outcome result.Outcome
	reason  result.Reason
}

// Unwrap lets http.ResponseController reach the connection.
func (rec *recorder) Unwrap() http.ResponseWriter { return rec.ResponseWriter }

// recordOutcome records how a request ended, if its writer is a recorder.
func recordOutcome(wri http.ResponseWriter, out result.Outcome, reason result.Reason) {
	if rec, is := wri.(*recorder); is {
		rec.outcome, rec.reason = out, reason
	}
}

// WithTelemetry sets the meter and the tracer. It must be called before the first
// request.
func (srv *Server) WithTelemetry(mtr *meter.Meter, trc *trace.Tracer) *Server {
	srv.mtr, srv.trc = mtr, trc
	return srv
}

func (srv *Server) startRecorder(wri http.ResponseWriter, hrq *http.Request) (*recorder, *http.Request) {
	rec := &recorder{ResponseWriter: wri, arrived: srv.clk.Now()}
	if srv.trc == nil {
		return rec, hrq
	}
	var ctx context.Context
	ctx, rec.spn = srv.trc.StartServerSpan(hrq.Context(), hrq.Header, "request")
	return rec, hrq.WithContext(ctx)
}

func (srv *Server) finishRecorder(rec *recorder, id string) {
	if rec.outcome == "" {
		// Only a panic leaves no outcome.
		rec.outcome, rec.reason = result.Unknown, result.Internal
	}
	rec.spn.SetAttributes(
		attribute.String("request-id", id),
		attribute.String("outcome", string(rec.outcome)),
		attribute.String("reason", string(rec.reason)),
	)
	if rec.req != nil {
		rec.spn.SetAttributes(attribute.String("pipeline", rec.req.Pipeline().Name()), attribute.String("client-account", rec.req.Account().Name()))
	}
	rec.spn.End(nil)
	switch {
	case srv.mtr == nil:
	case rec.req == nil:
		srv.mtr.RequestRefused(rec.outcome, rec.reason)
	default:
		srv.mtr.RequestEnded(rec.req, rec.outcome, rec.reason, srv.clk.Now().Sub(rec.arrived))
	}
}
