package spool_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/event"
	"github.com/tanagerspindle/tanagerspindle/pkg/spool"
)

// gate is a writer that stands still until it is opened.
type gate struct {
	open  chan struct{}
	mutex sync.Mutex
	text  bytes.Buffer
}

func (g *gate) Write(data []byte) (int, error) {
	<-g.open
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.text.Write(data)
}

func TestStalledOutputHoldsNobodyUp(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	s := &spool.Spool{Out: out}
	go s.Run()
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 1000 {
		n, err := s.Write(line)
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	close(out.open)
	s.Close()
	lines := strings.Split(strings.TrimSpace(out.text.String()), "\n")
	require.Less(t, len(lines), 600, "what waits is bounded")
	require.Contains(t, out.text.String(), "event=lines-dropped")
	for _, written := range lines {
		require.True(t, len(written) == 1023 || strings.HasPrefix(written, "event="), "a line is cut")
	}
}

func TestCloseWritesWhatWaits(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	close(out.open)
	s := &spool.Spool{Out: out}
	go s.Run()
	_, _ = s.Write([]byte("last\n"))
	s.Close()
	require.Equal(t, "last\n", out.text.String())
}

// Under pressure lines about successes are dropped first, and a change of state
// still finds room behind any number of them.
func TestLeastTellingLinesAreDroppedFirst(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	s := &spool.Spool{Out: out, BufferShare: event.BufferShare}
	go s.Run()
	log := event.New(s, "entry/a")
	write := func(events int, name string, keyvals ...any) {
		for i := range events {
			log.Write(name, append([]any{"id", i, "text", strings.Repeat("x", 200)}, keyvals...)...)
		}
	}
	write(5000, "request", "status", 200)
	write(5000, "request", "status", 503)
	write(5000, "admission-refused", "reason", "busy")
	write(10, "leadership", "leading", true)
	close(out.open)
	s.Close()
	text := out.text.String()
	refused := strings.Count(text, "status=503")
	require.Greater(t, strings.Count(text, "status=200"), refused)
	require.Greater(t, refused, 100)
	require.Zero(t, strings.Count(text, "event=admission-refused"), "the room for refusals was full")
	require.Equal(t, 10, strings.Count(text, "event=leadership"))
	require.Contains(t, text, "event=lines-dropped")
}

// A request is not slower while nobody reads its process's output: its lines
// cost no more than with an open one.
func BenchmarkWrite(b *testing.B) {
	for _, blocked := range []bool{false, true} {
		b.Run(map[bool]string{false: "open", true: "blocked"}[blocked], func(b *testing.B) {
			out := &gate{open: make(chan struct{})}
			if !blocked {
				close(out.open)
			}
			s := &spool.Spool{Out: out, BufferShare: event.BufferShare}
			go s.Run()
			log := event.New(s, "entry/a")
			worst := time.Duration(0)
			for b.Loop() {
				began := time.Now()
				log.Write("request", "id", "0123456789abcdef", "workspace", "w", "route", "r", "status", 200, "time", time.Second)
				worst = max(worst, time.Since(began))
			}
			b.ReportMetric(float64(worst.Microseconds()), "worst-us")
			if blocked {
				close(out.open)
			}
		})
	}
}
