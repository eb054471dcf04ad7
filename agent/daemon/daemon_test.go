package daemon_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

func TestAnswerIsWholeOwnAndOnItsVersion(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := start(t, nil)
		defer s.end()
		entry := s.dial()
		a, b := s.attempt("alpha", "first", 20), s.attempt("alpha", "second", 30)
		b.Version = "v2"
		resumed := s.attempt("beta", "third", 20)
		resumed.Offset = 5
		resumed.Delivered = "text of another answer"
		first, second := entry.background(a), entry.background(b)
		whole(t, a, <-first)
		whole(t, b, <-second)
		require.Equal(t, call.ReasonEngine, entry.run(resumed).reason())
		_ = entry.session.Close()
	})
}

func TestFiledOnce(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := start(t, plainService)
		defer s.end()
		entry := s.dial()
		filing := s.filing("case 1")
		r := entry.run(filing)
		require.Equal(t, int32(201), r.head.Status)
		require.NotNil(t, r.end)
		again := entry.run(filing)
		require.Equal(t, call.ReasonDuplex, again.reason())
		require.True(t, again.refused.Ran)
		verdict := entry.probe(filing)
		require.Equal(t, call.StateDone, verdict.State)
		require.Equal(t, r.text, string(verdict.Outcome.Body))
		require.Equal(t, map[string]int{"case 1": 1}, s.service.Filings())
		_ = entry.session.Close()
		time.Sleep(time.Second)
	})
}
