package logs_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/logs"
)

// TestExplain guards against an explanation that omits a step, mixes requests or names the wrong cause.
func TestExplain(t *testing.T) {
	datadriven.RunTest(t, "testdata/story", func(t *testing.T, d *datadriven.TestData) string {
		var id string
		d.ScanArgs(t, "id", &id)
		lines, err := logs.Read(strings.NewReader(d.Input), id)
		qt.Assert(t, err, qt.IsNil)
		var b strings.Builder
		qt.Assert(t, logs.Explain(&b, id, lines), qt.IsNil)
		return b.String()
	})
}

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(p)
}

func (s *blockedOutput) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.String()
}

// TestBlockedOutput guards against a blocked log output that blocks the process, and against dropped lines that are not
// reported.
func TestBlockedOutput(t *testing.T) {
	c := qt.New(t)
	out := &blockedOutput{release: make(chan struct{})}
	w := logs.New(out, logs.Settings{BufferLines: 4, LinesPerSecond: 1000, DebugShare: 1})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return w.Run(ctx) })
	log := zerolog.New(w)
	for range 100 {
		log.Info().Msg("line") // blocks here if Write waits for the output
	}
	close(out.release)
	cancel()
	c.Assert(group.Wait(), qt.IsNil)
	c.Check(out.text(), qt.Contains, `"event":"log_dropped"`)
	c.Check(strings.Count(out.text(), `"message":"line"`) >= 4, qt.IsTrue)
}

// TestDebugLinesLimited guards against lines about served requests that use up the line limit, so that lines about
// failures are dropped.
func TestDebugLinesLimited(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	w := logs.New(&out, logs.Settings{BufferLines: 100, LinesPerSecond: 20, DebugShare: 0.5})
	log := zerolog.New(w)
	for range 50 {
		log.Debug().Msg("served")
	}
	for range 50 {
		log.Info().Msg("failed")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(w.Run(ctx), qt.IsNil)
	for strings.Count(out.String(), "failed")+strings.Count(out.String(), "served") < 20 {
		c.Assert(w.Run(ctx), qt.IsNil)
	}
	c.Check(strings.Count(out.String(), "served"), qt.Equals, 10)
	c.Check(strings.Count(out.String(), "failed"), qt.Equals, 10)
}

func BenchmarkLine(b *testing.B) {
	for name, buffer := range map[string]int{"room": 1 << 20, "full": 0} {
		b.Run(name, func(b *testing.B) {
			w := logs.New(&bytes.Buffer{}, logs.Settings{BufferLines: buffer, LinesPerSecond: 1 << 30, DebugShare: 1})
			log := zerolog.New(w)
			b.ReportAllocs()
			for b.Loop() {
				log.Info().Str("event", "refused").Str("request_id", "9c41d07be2a35f68").Int("status", 503).Msg("the request was refused")
			}
		})
	}
}
