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

// blockableWriter is a writer that blocks until the channel open is closed.
type blockableWriter struct {
	open  chan struct{}
	mutex sync.Mutex
	text  bytes.Buffer
}

func (w *blockableWriter) Write(data []byte) (int, error) {
	<-w.open
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.text.Write(data)
}

func TestStalledOutputDoesNotBlockWriters(t *testing.T) {
	out := &blockableWriter{open: make(chan struct{})}
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
	require.Less(t, len(lines), 600, "the buffer is bounded")
	require.Contains(t, out.text.String(), "event=lines-dropped")
	for _, written := range lines {
		require.True(t, len(written) == 1023 || strings.HasPrefix(written, "event="), "lines are written whole")
	}
}

func TestCloseFlushesBuffer(t *testing.T) {
	out := &blockableWriter{open: make(chan struct{})}
	close(out.open)
	s := &spool.Spool{Out: out}
	go s.Run()
	_, _ = s.Write([]byte("last\n"))
	s.Close()
	require.Equal(t, "last\n", out.text.String())
}

// When the buffer fills up, lines about successful requests are dropped first, and
// there is still room for changes of state.
func TestLowPriorityLinesAreDroppedFirst(t *testing.T) {
	out := &blockableWriter{open: make(chan struct{})}
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
	require.Zero(t, strings.Count(text, "event=admission-refused"), "the share for refusals was used up")
	require.Equal(t, 10, strings.Count(text, "event=leadership"))
	require.Contains(t, text, "event=lines-dropped")
}

// BenchmarkWrite compares the time of a log call while the output accepts data with
// the time while it blocks: a blocked output must not slow down requests.
func BenchmarkWrite(b *testing.B) {
	for _, blocked := range []bool{false, true} {
		b.Run(map[bool]string{false: "open", true: "blocked"}[blocked], func(b *testing.B) {
			out := &blockableWriter{open: make(chan struct{})}
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
