// Package trace sets up OpenTelemetry so that each hop of a call has a span.
//
// The sampling decision is taken once, where a trace starts, and carried along
// the path in the traceparent header:
//
//	provider, err := trace.New(ctx, trace.Settings{Exporter: trace.Stdout, Path: "spans.json", Ratio: 0.01}, resource)
//	if err != nil {
//		return err
//	}
//	defer provider.Close(ctx)
//	ctx = trace.Extract(ctx, header.Get("traceparent"))
//	ctx, span := provider.Tracer().Start(ctx, "call")
//	defer span.End()
package trace
