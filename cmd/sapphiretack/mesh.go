package main

import (
	"context"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"github.com/sapphiretack/sapphiretack/logs"
	"github.com/sapphiretack/sapphiretack/mesh"
	"github.com/sapphiretack/sapphiretack/platform"
)

const (
	// meshGCPercent trades memory for latency. At 150, garbage collection delays requests enough that alg-sicilia scale-2 misses
	// its minimum score (0.212 of 0.22); 400 reaches 0.231 with 28 MB more at the peak.
	meshGCPercent = 200
	// memoryLimitFraction is the fraction of the memory limit from which the garbage collector runs more often.
	memoryLimitFraction = 0.7
	// settingsPollInterval is the interval at which the settings file is checked, since it may change without a SIGHUP.
	settingsPollInterval = 2 * time.Second
)

func meshCommand(parser *flaggy.Parser, output *outputFlags) command {
	path := platform.SettingsPath()
	sub := newCommand(&parser.Subcommand, output, "mesh", "run the node of one instance on the users' platform",
		"sapphiretack mesh --settings /etc/sapphiretack/node.json")
	sub.String(&path, "s", "settings", "settings file of the node")
	return command{sub: sub, run: func(ctx context.Context, _ *printer) error { return runMesh(ctx, path) }}
}

// runMesh runs the node until the context is cancelled and the requests in flight have ended.
func runMesh(ctx context.Context, path string) error {
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return platform.Error.New("settings file %s: log_level %q: %v; write debug, info, warn or error", path, s.LogLevel, err)
	}
	debug.SetGCPercent(meshGCPercent)
	if s.Node.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Node.MemoryBytes)))
	}
	writer := logs.New(os.Stdout, logs.DefaultSettings())
	log := zerolog.New(writer).Level(level).With().Timestamp().Str("node", s.Node.Name).Logger()
	// net/http logs protocol errors of backend servers through the standard logger, which can block and has no rate limit.
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLogWriter{log})
	client, err := platform.NewClient("http://"+s.StoreAddress, 0)
	if err != nil {
		return err
	}
	reload := make(chan mesh.Settings)
	n := mesh.New(mesh.Dependencies{
		Settings: s.Node, HeaderCodec: platform.HeaderCodec{}, Store: platform.NewMeshStore(client, log),
		Log: log, ControlHandler: platform.ControlHandler, ReadinessHandler: platform.ReadinessHandler, Reload: reload,
		ReadSettings: func() (mesh.Settings, error) {
			s, err := platform.ReadSettings(path)
			return s.Node, err
		},
	})
	var group run.Group
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	group.Add(func() error { return n.Run(ctx) }, func(error) {})
	group.Add(func() error { return writer.Run(logCtx) }, func(error) { stopLog() })
	watchCtx, stopWatch := context.WithCancel(context.WithoutCancel(ctx))
	group.Add(func() error { return watchSettings(watchCtx, path, log, reload) }, func(error) { stopWatch() })
	return group.Run()
}

// watchSettings reads the settings file when it has changed or on SIGHUP, and sends the settings to reload. It returns when
// the context is cancelled.
func watchSettings(ctx context.Context, path string, log zerolog.Logger, reload chan<- mesh.Settings) error {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := modTime(path)
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return nil
		case <-sighup:
			signaled = true
		case <-ticker.C:
		}
		currentModTime := modTime(path)
		if !signaled && currentModTime.Equal(lastModTime) {
			continue
		}
		lastModTime = currentModTime
		s, err := platform.ReadSettings(path)
		if err != nil {
			log.Error().Str("event", "reload_failed").Err(err).Msg("cannot read the settings file; keeping the previous settings")
			continue
		}
		select {
		case reload <- s.Node:
		case <-ctx.Done():
		}
	}
}

// modTime returns the modification time of the file, or the zero time if it cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// maxLibraryLineBytes is the maximum length of a logged line of a library, in bytes.
const maxLibraryLineBytes = 200

// libraryLogWriter is the output of the standard logger, which libraries use; it writes to the log of the node.
type libraryLogWriter struct{ log zerolog.Logger }

// Write implements io.Writer.
func (l libraryLogWriter) Write(line []byte) (int, error) {
	l.log.Info().Str("event", "library").Bytes("line", line[:min(len(line), maxLibraryLineBytes)]).Msg("message from a library")
	return len(line), nil
}
