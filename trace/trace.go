package trace

import (
	"context"
	"io"
	"os"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// Error is the class of errors of this package.
var Error = errs.Class("trace")

// Header is the name of the W3C Trace Context header with the trace ID and the sampling decision.
const Header = "traceparent"

// Exporter is the destination of spans.
type Exporter string

// The exporters.
const (
	None   Exporter = "none"
	Stdout Exporter = "stdout"
	OTLP   Exporter = "otlp"
)

// Settings configure the export of spans.
type Settings struct {
	Exporter Exporter
	// Path is the file for Stdout; empty means standard output.
	Path string
	// URL is the collector's endpoint for OTLP.
	URL string
	// SampleRatio is the fraction of traces that are sampled, from 0 to 1, if the caller has not made the sampling decision.
	SampleRatio float64
}

// Provider provides the tracer and owns the exporter; close it with Close.
type Provider struct {
	provider *sdktrace.TracerProvider
	file     io.Closer
}

// New returns a Provider whose spans have the instance, service and zone as resource attributes. The error says that the file
// cannot be opened or that the URL is malformed.
func New(ctx context.Context, s Settings, instance, service, zone string) (*Provider, error) {
	p := &Provider{}
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", service),
			attribute.String("service.instance.id", instance),
			attribute.String("cloud.availability_zone", zone),
		)),
	}
	switch s.Exporter {
	case Stdout:
		w := io.Writer(os.Stdout)
		if s.Path != "" {
			f, err := os.OpenFile(s.Path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
			if err != nil {
				return nil, Error.New("open span file %q: %v; set the path of a writable file", s.Path, err)
			}
			w, p.file = f, f
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(w))
		if err != nil {
			return nil, Error.Wrap(err)
		}
		options = append(options, sdktrace.WithBatcher(e))
	case OTLP:
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.URL))
		if err != nil {
			return nil, Error.New("OTLP endpoint %q: %v; set an http URL", s.URL, err)
		}
		options = append(options, sdktrace.WithBatcher(e))
	}
	p.provider = sdktrace.NewTracerProvider(options...)
	return p, nil
}

// Tracer returns the tracer of the node.
func (p *Provider) Tracer() oteltrace.Tracer { return p.provider.Tracer("sapphiretack") }

// Close exports buffered spans and closes the file; the error is that of the export or of closing the file.
func (p *Provider) Close(ctx context.Context) error {
	err := p.provider.Shutdown(ctx)
	if p.file != nil {
		err = errs.Combine(err, p.file.Close())
	}
	return Error.Wrap(err)
}

// Extract returns ctx with the parent span from a traceparent value; an empty or malformed value is ignored.
func Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{Header: traceparent})
}

// Inject returns the traceparent value of the span in ctx, or an empty string if there is none.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[Header]
}
