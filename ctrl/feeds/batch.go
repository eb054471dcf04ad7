package feeds

import (
	"context"
	"sync"
)

// batcher calls run once for all items that arrived during its previous call, so
// that one quorum round or one log entry serves many daemons.
type batcher[T, R any] struct {
	run func(ctx context.Context, items []T) ([]R, error)

	mutex   sync.Mutex
	waiting []*batchItem[T, R]
	busy    bool
}

// batchItem is one item with its result; done is closed once the result is set.
type batchItem[T, R any] struct {
	item   T
	result R
	err    error
	done   chan struct{}
}

// do adds an item and returns its result from a run that starts after the call.
func (b *batcher[T, R]) do(ctx context.Context, item T) (R, error) {
	own := &batchItem[T, R]{item: item, done: make(chan struct{})}
	b.mutex.Lock()
	b.waiting = append(b.waiting, own)
	if !b.busy {
		b.busy = true
		go b.loop()
	}
	b.mutex.Unlock()
	select {
	case <-own.done:
		return own.result, own.err
	case <-ctx.Done():
		var none R
		return none, ctx.Err()
	}
}

func (b *batcher[T, R]) loop() {
	for {
		b.mutex.Lock()
		taken := b.waiting
		b.waiting = nil
		b.busy = len(taken) > 0
		b.mutex.Unlock()
		if len(taken) == 0 {
			return
		}
		b.serve(taken)
	}
}

func (b *batcher[T, R]) serve(taken []*batchItem[T, R]) {
	ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
	defer cancel()
	items := make([]T, 0, len(taken))
	for _, one := range taken {
		items = append(items, one.item)
	}
	results, err := b.run(ctx, items)
	for i, one := range taken {
		one.err = err
		if err == nil {
			one.result = results[i]
		}
		close(one.done)
	}
}
