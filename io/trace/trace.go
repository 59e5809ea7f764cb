// Package trace records spans with OpenTelemetry. It accepts the caller's W3C
// trace context and propagates it to backend servers.
//
// A request has a span for each hop: the request itself, its stages, their
// attempts and queries to other entry instances. The packages that make the
// spans choose the names. Only the first span needs a Tracer; Start continues the
// span in its context.
package trace

import (
	"context"
	"net/http"
	"os"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"

	"lovagestream/io/setup"
)

// scope is the instrumentation scope and the service name of all spans.
const scope = "lovagestream"

// Tracer starts the spans of one entry instance.
type Tracer struct {
	// pro is nil if no spans are recorded; trace contexts are still propagated.
	pro *sdk.TracerProvider
	fil *os.File
}

// New returns a tracer with the exporter of the settings. It must be closed with
// Close.
func New(set setup.Traces, instance string) (*Tracer, error) {
	exp, fil, err := newExporter(set)
	if err != nil {
		return nil, errors.Wrap(err, "traces")
	}
	if exp == nil {
		return &Tracer{}, nil
	}
	res := resource.NewSchemaless(attribute.String("service.name", scope), attribute.String("service.instance.id", instance))
	pro := sdk.NewTracerProvider(
		sdk.WithBatcher(exp),
		sdk.WithResource(res),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(set.SampleRatio()))),
	)
	return &Tracer{pro: pro, fil: fil}, nil
}

func newExporter(set setup.Traces) (sdk.SpanExporter, *os.File, error) {
	switch set.Exporter() {
	case setup.TracesFile:
		fil, err := os.OpenFile(set.File(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, nil, err
		}
		exp, err := stdouttrace.New(stdouttrace.WithWriter(fil))
		return exp, fil, err
	case setup.TracesOTLP:
		opts := []otlptracegrpc.Option{otlptracegrpc.WithEndpoint(set.Endpoint())}
		if !set.TLS() {
			opts = append(opts, otlptracegrpc.WithInsecure())
		}
		// Connects in the background; if the collector is down, only spans are
		// lost.
		exp, err := otlptracegrpc.New(context.Background(), opts...)
		return exp, nil, err
	}
	return nil, nil, nil
}

// Close exports the remaining spans.
func (trc *Tracer) Close(ctx context.Context) error {
	if trc.pro == nil {
		return nil
	}
	err := trc.pro.Shutdown(ctx)
	if trc.fil != nil {
		_ = trc.fil.Close()
	}
	return errors.Wrap(err, "close traces")
}

// StartServerSpan starts the first span of a request, as a child of the trace context in
// the headers. The returned context holds that trace context even if no span is
// recorded, so that it is propagated to backend servers.
func (trc *Tracer) StartServerSpan(ctx context.Context, hdr http.Header, name string) (context.Context, Span) {
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.HeaderCarrier(hdr))
	if trc.pro == nil {
		return ctx, Span{}
	}
	ctx, spn := trc.pro.Tracer(scope).Start(ctx, name, api.WithSpanKind(api.SpanKindServer))
	return ctx, Span{spn: spn}
}

// Start starts a child of the span in the context. It is cheap if that span is
// not recorded.
func Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, Span) {
	parent := api.SpanFromContext(ctx)
	if !parent.IsRecording() {
		return ctx, Span{}
	}
	ctx, spn := parent.TracerProvider().Tracer(scope).Start(ctx, name, api.WithAttributes(attrs...))
	return ctx, Span{spn: spn}
}

// Inject sets the trace context of ctx in the headers.
func Inject(ctx context.Context, hdr http.Header) {
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(hdr))
}

// Span is the span of one hop. Its zero value records nothing.
type Span struct {
	spn api.Span
}

// SetAttributes adds attributes to the span.
func (spn Span) SetAttributes(attrs ...attribute.KeyValue) {
	if spn.spn != nil {
		spn.spn.SetAttributes(attrs...)
	}
}

// End ends the span; an error marks it as failed.
func (spn Span) End(err error) {
	if spn.spn == nil {
		return
	}
	if err != nil {
		spn.spn.SetStatus(codes.Error, err.Error())
	}
	spn.spn.End()
}
