package daemon_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCompletionIsAnsweredWhole(t *testing.T) {
	inWorld(t, func(w *world) {
		got := w.complete(keyAnand, "notes", 5, false)
		require.Equal(t, 200, got.status, got.body)
		require.Contains(t, got.body, `"text":"`+words(5)+`"`)
		require.Contains(t, got.body, `"usage":{"prompt_tokens":2,"completion_tokens":5,"total_tokens":7}`)
	})
}

func TestCompletionIsStreamed(t *testing.T) {
	inWorld(t, func(w *world) {
		got := w.complete(keyAnand, "notes", 300, true)
		require.Equal(t, 200, got.status, got.body)
		require.Equal(t, words(300), streamed(t, got.body))
		require.Contains(t, got.body, "data: [DONE]")
	})
}
