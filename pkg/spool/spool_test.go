package spool_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

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
