package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/limit"
)

// A workspace beyond its rate: small requests were refused in the order of the routes'
// priorities, although ten of them cost as much as one stream. They pass a stream that lacks
// tokens, but delay it by no more than its own cost.
func TestSmallRequestsPassALargeOne(t *testing.T) {
	withBucket(t, 0, func(l *limit.Limiter, b *fakeBucket) {
		b.set(func(b *fakeBucket) { b.recovers, b.wait = true, 5*time.Millisecond })
		send := func(tokens int64, priority int32) chan error {
			r, done := opaque(tokens, 20*time.Second), make(chan error, 1)
			r.Route.Priority = priority
			go func() { done <- sendOpaque(l, r, 0) }()
			time.Sleep(time.Millisecond)
			return done
		}
		large := send(1000, 0)
		served := 0
		for range 15 {
			small := send(100, 2)
			b.set(func(b *fakeBucket) { b.tokens += 100 })
			time.Sleep(50 * time.Millisecond)
			select {
			case err := <-small:
				require.NoError(t, err)
				served++
			default:
			}
		}
		require.Equal(t, 10, served, "small requests that passed")
		b.set(func(b *fakeBucket) { b.tokens += 500 })
		time.Sleep(50 * time.Millisecond)
		select {
		case err := <-large:
			require.NoError(t, err)
		default:
			t.Error("the large request waits behind more than its own cost")
		}
	})
}

// A request that is not small keeps its place in the order.
func TestMediumRequestsDoNotPass(t *testing.T) {
	withBucket(t, 0, func(l *limit.Limiter, b *fakeBucket) {
		b.set(func(b *fakeBucket) { b.recovers, b.wait = true, 5*time.Millisecond })
		urgent, other := opaque(1000, 20*time.Second), opaque(300, 20*time.Second)
		other.Route.Priority = 2
		done := make(chan error, 1)
		go func() { _ = sendOpaque(l, urgent, 0) }()
		time.Sleep(time.Millisecond)
		go func() { done <- sendOpaque(l, other, 0) }()
		b.set(func(b *fakeBucket) { b.tokens += 900 })
		time.Sleep(100 * time.Millisecond)
		require.Empty(t, done)
	})
}
