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
	// meshGCPercent: at 150 the collector delayed requests enough to miss the floor of alg-sicilia scale-2 (0.212 of 0.22); 400
	// reaches 0.231 with 28 MB more at the peak.
	meshGCPercent = 200
	// memoryShare of the limit is used before the collector works harder.
	memoryShare = 0.7
	// settingsInterval is the time between two looks at the settings file, which may change without a signal.
	settingsInterval = 2 * time.Second
)

func meshCommand(parser *flaggy.Parser, output *outputFlags) command {
	path := platform.SettingsPath()
	sub := newCommand(&parser.Subcommand, output, "mesh", "run the node of one instance on the users' platform",
		"sapphiretack mesh --settings /etc/sapphiretack/node.json")
	sub.String(&path, "s", "settings", "settings file of the node")
	return command{sub: sub, run: func(ctx context.Context, _ *printer) error { return runMesh(ctx, path) }}
}

// runMesh runs the node until the context ends and its requests in flight have ended.
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
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Node.MemoryBytes)))
	}
	writer := logs.New(os.Stdout, logs.DefaultSettings())
	log := zerolog.New(writer).Level(level).With().Timestamp().Str("node", s.Node.Name).Logger()
	// net/http reports what backend servers do wrong through the standard logger, which would block and has no bound.
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryLog{log})
	client, err := platform.NewStore("http://"+s.Store, 0)
	if err != nil {
		return err
	}
	reload := make(chan mesh.Settings)
	n := mesh.New(mesh.Dependencies{
		Settings: s.Node, Dialect: platform.Headers{}, Directory: platform.NewDirectory(client, log),
		Log: log, Control: platform.ControlHandler, Ready: platform.ReadyHandler, Reload: reload,
	})
	var group run.Group
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	group.Add(func() error { return n.Run(ctx) }, func(error) {})
	group.Add(func() error { return writer.Run(logCtx) }, func(error) { stopLog() })
	watchCtx, stopWatch := context.WithCancel(context.WithoutCancel(ctx))
	group.Add(func() error { return watchSettings(watchCtx, path, log, reload) }, func(error) { stopWatch() })
	return group.Run()
}

// watchSettings sends the settings of the file when it has changed, on SIGHUP at once; it ends with the context.
func watchSettings(ctx context.Context, path string, log zerolog.Logger, reload chan<- mesh.Settings) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last := modified(path)
	for {
		isSignal := false
		select {
		case <-ctx.Done():
			return nil
		case <-hangup:
			isSignal = true
		case <-ticker.C:
		}
		now := modified(path)
		if !isSignal && now.Equal(last) {
			continue
		}
		last = now
		s, err := platform.ReadSettings(path)
		if err != nil {
			log.Error().Str("event", "reload_failed").Err(err).Msg("the settings stay as they were")
			continue
		}
		select {
		case reload <- s.Node:
		case <-ctx.Done():
		}
	}
}

// modified returns when the file was last changed; a file that cannot be read counts as unchanged until it can.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// maxLibraryLine bounds what a library may write in one line.
const maxLibraryLine = 200

// libraryLog writes the lines of libraries to the log of the node.
type libraryLog struct{ log zerolog.Logger }

// Write implements io.Writer.
func (l libraryLog) Write(line []byte) (int, error) {
	l.log.Info().Str("event", "library").Bytes("line", line[:min(len(line), maxLibraryLine)]).Msg("a library reported a fault")
	return len(line), nil
}
