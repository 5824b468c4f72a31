package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Settings bound the volume of a log.
type Settings struct {
	// Buffer is the number of lines that wait for the output.
	Buffer int
	// LinesPerSecond bounds the lines that are written.
	LinesPerSecond int
	// MinorShare of the lines may be of level debug.
	MinorShare float64
}

// DefaultSettings returns the bounds of the design: 200 lines of 400 bytes a second are 80 KB/s.
func DefaultSettings() Settings {
	return Settings{Buffer: 1024, LinesPerSecond: 200, MinorShare: 0.25}
}

// reportInterval is the time between two lines that count what was left out, and the time over which lines are budgeted.
const reportInterval = time.Second

// Writer is the output of a log; it implements zerolog.LevelWriter.
type Writer struct {
	settings Settings
	out      io.Writer
	lines    chan []byte

	mu      sync.Mutex
	used    int
	overRun int // lines over the budget
	full    int // lines that met a full buffer
}

// New returns a writer that has not started.
func New(out io.Writer, s Settings) *Writer {
	return &Writer{settings: s, out: out, lines: make(chan []byte, s.Buffer)}
}

// Write implements io.Writer.
func (w *Writer) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel implements zerolog.LevelWriter; it never blocks and never fails.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if !w.take(level) {
		return len(line), nil
	}
	copied := make([]byte, len(line))
	copy(copied, line)
	select {
	case w.lines <- copied:
	default:
		w.mu.Lock()
		w.full++
		w.mu.Unlock()
	}
	return len(line), nil
}

// take reports whether the budget has room for a line of the level.
func (w *Writer) take(level zerolog.Level) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := w.settings.LinesPerSecond
	if level == zerolog.DebugLevel {
		limit = int(w.settings.MinorShare * float64(limit))
	}
	if w.used >= limit {
		w.overRun++
		return false
	}
	w.used++
	return true
}

// Run writes lines until the context ends, and then those that wait.
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
	// A reader that is gone cannot be told; the process goes on without its log.
	_, _ = w.out.Write(line)
}

// report writes what was left out and begins a new budget.
func (w *Writer) report() {
	w.mu.Lock()
	over, full := w.overRun, w.full
	w.used, w.overRun, w.full = 0, 0, 0
	w.mu.Unlock()
	if over+full > 0 {
		w.write(fmt.Appendf(nil, `{"level":"warn","event":"log_dropped","over_budget":%d,"buffer_full":%d,"message":"log lines were left out"}`+"\n", over, full))
	}
}
