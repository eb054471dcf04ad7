package daemon_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

func TestRequestWaitsForTokens(t *testing.T) {
	inWorld(t, func(w *world) {
		w.control.change(func() { w.control.level["bapu"] = 0 })
		start := time.Now()
		got := w.complete(keyBapu, "books", 60, false)
		require.Equal(t, 200, got.status, got.body)
		require.Greater(t, time.Since(start), 600*time.Millisecond)
	})
}

func TestRequestIsRefusedAtOnceIfTokensComeTooLate(t *testing.T) {
	inWorld(t, func(w *world) {
		w.control.change(func() { w.control.level["bapu"] = -5000 })
		got := w.complete(keyBapu, "books", 60, false)
		require.Equal(t, 429, got.status, got.body)
		require.Contains(t, got.body, `"ran":"no"`)
		require.Less(t, got.took, 100*time.Millisecond)
		after, err := strconv.Atoi(got.header.Get("Retry-After"))
		require.NoError(t, err)
		require.InDelta(t, 50, after, 3)
		require.Empty(t, w.all("e1", "e2"))
	})
}

func TestRequestLargerThanTheBurstIsRefused(t *testing.T) {
	inWorld(t, func(w *world) {
		body := make([]byte, 4*500)
		for i := range body {
			body[i] = 'x'
		}
		got := w.request("POST", "/v1/completions", keyBapu, `{"model":"books","prompt":"`+string(body)+`"}`)
		require.Equal(t, 413, got.status, got.body)
	})
}

func TestWorkspaceStaysWithinRateAndBurst(t *testing.T) {
	inWorld(t, func(w *world) {
		done := make(chan reply, 200)
		start := time.Now()
		for range 40 {
			go func() { done <- w.complete(keyBapu, "books", 100, true) }()
		}
		answered := 0
		for range 40 {
			if got := <-done; got.status == 200 {
				answered++
				require.Contains(t, got.body, "[DONE]")
			}
		}
		sent := int64(0)
		for _, attempt := range w.all("e1", "e2") {
			sent += attempt.PromptTokens + attempt.MaxTokens
		}
		allowed := 400 + int64(100*time.Since(start).Seconds())
		require.LessOrEqual(t, sent, allowed)
		require.GreaterOrEqual(t, answered, 8)
	})
}

func TestUnusedTokensAreReturned(t *testing.T) {
	inWorld(t, func(w *world) {
		require.Equal(t, 200, w.complete(keyAnand, "notes", 3, false).status)
		require.Equal(t, 200, w.complete(keyAnand, "notes", 500, true).status)
		w.first(func(a *call.Attempt, s *wire.Stream) error {
			_ = parts(a, s, 3)
			return end(a, s, 3)
		}, "e1", "e2")
		require.Equal(t, 200, w.complete(keyAnand, "notes", 500, false).status)
		time.Sleep(time.Second)
		w.control.mutex.Lock()
		defer w.control.mutex.Unlock()
		require.Equal(t, int64(2+3+2+500+2+3), w.control.granted["anand"]-w.control.returned["anand"])
	})
}
