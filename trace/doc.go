// Package trace configures OpenTelemetry tracing, with a span for each hop of a
// call.
//
// The sampling decision is made once, where a trace starts, and propagated in
// the traceparent header:
//
//	settings := trace.Settings{Exporter: trace.Stdout, Path: "spans.json", SampleRatio: 0.01}
//	provider, err := trace.New(ctx, settings, "racedesk-1", "racedesk", "plovdiv-a")
//	if err != nil {
//		return err
//	}
//	defer provider.Close(ctx)
//	ctx = trace.Extract(ctx, header.Get("traceparent"))
//	ctx, span := provider.Tracer().Start(ctx, "call")
//	defer span.End()
package trace
