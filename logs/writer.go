package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Settings limit the volume of a log.
type Settings struct {
	// BufferLines is the maximum number of lines waiting for the output.
	BufferLines int
	// LinesPerSecond is the maximum number of lines accepted per second.
	LinesPerSecond int
	// DebugShare is the fraction of LinesPerSecond that lines of level debug may use, from 0 to 1.
	DebugShare float64
}

// DefaultSettings returns the default limits: 200 lines of 400 bytes per second are 80 KB/s.
func DefaultSettings() Settings {
	return Settings{BufferLines: 1024, LinesPerSecond: 200, DebugShare: 0.25}
}

// reportInterval is the interval of reports of dropped lines, and the period to which the line limit applies.
const reportInterval = time.Second

// Writer is a buffered, rate-limited log output; it implements zerolog.LevelWriter.
type Writer struct {
	settings Settings
	out      io.Writer
	lines    chan []byte

	mu         sync.Mutex
	admitted   int // lines admitted in the current period
	overBudget int // lines dropped because of the line limit; log field over_budget
	bufferFull int // lines dropped because the buffer was full
}

// New returns a Writer; call Run to start writing.
func New(out io.Writer, s Settings) *Writer {
	return &Writer{settings: s, out: out, lines: make(chan []byte, s.BufferLines)}
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel implements zerolog.LevelWriter; it never blocks on the output and never returns an error.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if !w.allow(level) {
		return len(line), nil
	}
	copied := make([]byte, len(line))
	copy(copied, line)
	select {
	case w.lines <- copied:
	default:
		w.mu.Lock()
		w.bufferFull++
		w.mu.Unlock()
	}
	return len(line), nil
}

// allow reports whether the line limit admits a line of the level, and counts the line.
func (w *Writer) allow(level zerolog.Level) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := w.settings.LinesPerSecond
	if level == zerolog.DebugLevel {
		limit = int(w.settings.DebugShare * float64(limit))
	}
	if w.admitted >= limit {
		w.overBudget++
		return false
	}
	w.admitted++
	return true
}

// Run writes lines to the output until the context ends, then writes the remaining buffered lines. It always returns nil.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ticker.C:
			w.report()
		case <-ctx.Done():
			w.flush()
			return nil
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			w.report()
			return
		}
	}
}

func (w *Writer) write(line []byte) {
	// There is nowhere to report a failed log output; the process continues without its log.
	_, _ = w.out.Write(line)
}

// report writes the counts of dropped lines, if any, and starts a new limit period.
func (w *Writer) report() {
	w.mu.Lock()
	over, full := w.overBudget, w.bufferFull
	w.admitted, w.overBudget, w.bufferFull = 0, 0, 0
	w.mu.Unlock()
	if over+full > 0 {
		w.write(fmt.Appendf(nil, `{"level":"warn","event":"log_dropped","over_budget":%d,"buffer_full":%d,"message":"log lines were left out"}`+"\n", over, full))
	}
}
