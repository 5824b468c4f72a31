// Package sapphiretack is the root of the module.
package sapphiretack

import (
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/integrii/flaggy"
	_ "github.com/oklog/run"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/rs/zerolog"
	_ "github.com/tailscale/hujson"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "golang.org/x/sync/errgroup"
)
