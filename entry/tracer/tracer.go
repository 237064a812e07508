// Package tracer creates and exports OpenTelemetry spans, one for each hop of a
// request: for its handling at each host that it passes, and for each attempt to
// forward it to another host or an upstream.
//
// The W3C traceparent header propagates the trace context from the client through
// the entry hosts to the upstream.
//
// # Usage
//
//	t, err := tracer.New(ctx, settings.Traces, "endiverun-entry", "host-1")
//	defer t.Close(ctx)
//	span := t.Start(request.Traceparent, "entry.request")
//	next.Traceparent = span.Traceparent() // the traceparent header for the next hop
//	span.End("")
package tracer

import (
	"context"
	"os"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"

	"github.com/endiverun/endiverun/entry/loader"
)

// traceparentHeader is the name of the W3C header.
const traceparentHeader = "traceparent"

// spanFileMode holds the permissions of a new file of the file exporter.
const spanFileMode = 0o600

// Tracer creates spans. A nil Tracer is valid.
type Tracer struct {
	provider *trace.TracerProvider
	// tracer is nil if no exporter is set.
	tracer api.Tracer
}

// New returns a tracer that exports spans as the settings say. service and host are
// the resource attributes service.name and host.name of the spans. Without an
// exporter the tracer creates no spans and only propagates trace contexts. If New
// returns an error, the tracer that it returns is valid and does the same.
func New(ctx context.Context, settings loader.Traces, service, host string) (*Tracer, error) {
	exporter, err := newExporter(ctx, settings)
	if err != nil || exporter == nil {
		return &Tracer{}, err
	}
	sampler := trace.AlwaysSample()
	if settings.SampleRatio > 0 {
		sampler = trace.ParentBased(trace.TraceIDRatioBased(settings.SampleRatio))
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithSampler(sampler),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", service),
			attribute.String("host.name", host),
		)),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer(service)}, nil
}

func newExporter(ctx context.Context, settings loader.Traces) (trace.SpanExporter, error) {
	switch settings.Exporter {
	case loader.ExporterOTLP:
		return otlptracehttp.New(ctx,
			otlptracehttp.WithEndpoint(settings.Address),
			otlptracehttp.WithInsecure(),
		)
	case loader.ExporterFile:
		file, err := os.OpenFile(settings.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, spanFileMode)
		if err != nil {
			return nil, err
		}
		return stdouttrace.New(stdouttrace.WithWriter(file))
	default:
		return nil, nil //nolint:nilnil // No exporter is a valid setting.
	}
}

// Close exports the remaining spans.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil || t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// Start starts a span whose parent is the given traceparent header, which may be
// empty. The spans of a nil tracer, or of one without an exporter, are not exported,
// and their Traceparent method returns the given header.
func (t *Tracer) Start(traceparent, name string) Span {
	if t == nil || t.tracer == nil {
		return Span{traceparent: traceparent}
	}
	carrierIn := propagation.MapCarrier{traceparentHeader: traceparent}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrierIn)
	ctx, span := t.tracer.Start(ctx, name)
	carrierOut := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrierOut)
	return Span{span: span, traceparent: carrierOut[traceparentHeader]}
}

// Span covers one hop of a request.
type Span struct {
	// span is nil if the span is not exported.
	span        api.Span
	traceparent string
}

// Traceparent returns the traceparent header for the next hops, whose parent is this
// span.
func (s Span) Traceparent() string {
	return s.traceparent
}

// SetAttribute sets an attribute of the span.
func (s Span) SetAttribute(key, value string) {
	if s.span != nil {
		s.span.SetAttributes(attribute.String(key, value))
	}
}

// End ends the span. A non-empty failure sets its status to error, with this text as
// the description.
func (s Span) End(failure string) {
	if s.span == nil {
		return
	}
	if failure != "" {
		s.span.SetStatus(codes.Error, failure)
	}
	s.span.End()
}
