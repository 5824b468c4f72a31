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

// Header is the name of the W3C header that carries the trace and its sampling decision.
const Header = "traceparent"

// Exporter names where spans go.
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
	// Path is the file for Stdout; empty means the standard output.
	Path string
	// URL is the collector's endpoint for OTLP.
	URL string
	// Ratio is the share of traces that are sampled when the caller did not decide, from 0 to 1.
	Ratio float64
}

// Provider hands out the tracer and owns the exporter.
type Provider struct {
	provider *sdktrace.TracerProvider
	file     io.Closer
}

// New returns a provider, or an error if the file cannot be opened or the URL is malformed.
func New(ctx context.Context, s Settings, instance, service, zone string) (*Provider, error) {
	p := &Provider{}
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.Ratio))),
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
				return nil, Error.New("open span file %q: %v; name a file that can be written", s.Path, err)
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
			return nil, Error.New("OTLP endpoint %q: %v; name an http URL", s.URL, err)
		}
		options = append(options, sdktrace.WithBatcher(e))
	}
	p.provider = sdktrace.NewTracerProvider(options...)
	return p, nil
}

// Tracer returns the tracer of the node.
func (p *Provider) Tracer() oteltrace.Tracer { return p.provider.Tracer("sapphiretack") }

// Close exports what is buffered and closes the file.
func (p *Provider) Close(ctx context.Context) error {
	err := p.provider.Shutdown(ctx)
	if p.file != nil {
		err = errs.Combine(err, p.file.Close())
	}
	return Error.Wrap(err)
}

// Extract returns a context whose parent span is the one named by a traceparent value; a malformed value is ignored.
func Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{Header: traceparent})
}

// Inject returns the traceparent value of the context's span.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[Header]
}
