package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
)

func TestEvery(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		start, calls := time.Now(), []time.Duration{}
		pause.Every(ctx, time.Second, func() { calls = append(calls, time.Since(start)) })
		require.Equal(t, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, calls)
		require.Equal(t, 3500*time.Millisecond, time.Since(start))
	})
}

func TestForEndsWithItsTimeOrItsContext(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		start := time.Now()
		require.True(t, pause.For(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.False(t, pause.For(ctx, time.Hour))
		require.Equal(t, 2*time.Second, time.Since(start))
		require.False(t, pause.For(ctx, 0))
		require.True(t, pause.For(t.Context(), 0))
	})
}
