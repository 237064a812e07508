// Package tracer makes OpenTelemetry spans, one for each hop of a request.
//
// The W3C traceparent header carries a trace from the client over entry hosts
// to the upstream.
//
// # Usage
//
//	t, err := tracer.New(ctx, settings.Traces, "endiverun-entry")
//	defer t.Close(ctx)
//	span := t.Start(request.Trace, "entry.request")
//	next.Trace = span.Parent()
//	span.End()
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

// traceparent is the W3C header name.
const traceparent = "traceparent"

// fileMode is the mode of a new span file.
const fileMode = 0o600

// Tracer makes spans.
type Tracer struct {
	provider *trace.TracerProvider
	tracer   api.Tracer
}

// New returns a tracer that exports as the settings say.
func New(ctx context.Context, settings loader.Traces, program, host string) (*Tracer, error) {
	exporter, err := newExporter(ctx, settings)
	if err != nil || exporter == nil {
		return &Tracer{}, err
	}
	sampler := trace.AlwaysSample()
	if settings.Ratio > 0 {
		sampler = trace.ParentBased(trace.TraceIDRatioBased(settings.Ratio))
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithSampler(sampler),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", program),
			attribute.String("host.name", host),
		)),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer(program)}, nil
}

func newExporter(ctx context.Context, settings loader.Traces) (trace.SpanExporter, error) {
	switch settings.Exporter {
	case loader.ExporterOTLP:
		return otlptracehttp.New(ctx,
			otlptracehttp.WithEndpoint(settings.Address),
			otlptracehttp.WithInsecure(),
		)
	case loader.ExporterFile:
		file, err := os.OpenFile(settings.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
		if err != nil {
			return nil, err
		}
		return stdouttrace.New(stdouttrace.WithWriter(file))
	default:
		return nil, nil //nolint:nilnil // No exporter is a valid setting.
	}
}

// Close exports what is left.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil || t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// Start begins a span under the given traceparent, which may be empty. A nil
// tracer makes spans that only pass the traceparent on.
func (t *Tracer) Start(parent, name string) Span {
	if t == nil || t.tracer == nil {
		return Span{parent: parent}
	}
	carrier := propagation.MapCarrier{traceparent: parent}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	ctx, span := t.tracer.Start(ctx, name)
	out := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, out)
	return Span{span: span, parent: out[traceparent]}
}

// Span is one hop.
type Span struct {
	span   api.Span
	parent string
}

// Parent returns the traceparent for hops below this one.
func (s Span) Parent() string {
	return s.parent
}

// Set adds an attribute.
func (s Span) Set(key, value string) {
	if s.span != nil {
		s.span.SetAttributes(attribute.String(key, value))
	}
}

// End ends the span; a non-empty failure marks it as failed.
func (s Span) End(failure string) {
	if s.span == nil {
		return
	}
	if failure != "" {
		s.span.SetStatus(codes.Error, failure)
	}
	s.span.End()
}
