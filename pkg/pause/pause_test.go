package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
)

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
