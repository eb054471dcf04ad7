package buffer

import (
	"context"
	"sync"
	"time"
)

const (
	// maxPause is how long the entry may leave an endpoint's answer unread because the
	// buffer is full. Endpoints cut off an answer that remains unread for two seconds; the
	// rest is for the delays of a busy machine.
	maxPause = 1500 * time.Millisecond
	// recheckInterval is the time between two checks whether the pool has room again, which
	// other requests make.
	recheckInterval = 50 * time.Millisecond
)

// Writer moves one answer to its caller while more of the answer is read from the endpoint.
// Write and then Finish or Cancel are called by one goroutine; Out runs in another. The
// exported fields are set before use.
type Writer struct {
	// Pool is the memory that the answer counts in.
	Pool *Pool
	// Out writes bytes to the caller and may block. An error means that the caller is
	// gone.
	Out func(data []byte) error
	// Interrupt makes a blocked Out and all later ones return an error. It must not block.
	Interrupt func()

	stream *Stream
	// work is signalled when the stream has bytes or has ended, room when bytes have left
	// it or it was aborted.
	work, room chan struct{}
	// ended is closed when Out is not called any more.
	ended chan struct{}
	mutex sync.Mutex
	// failure is the error of Out.
	failure error
}

// Write queues a part of the answer. If the buffer is full, Write waits for the caller, but
// no longer than an endpoint tolerates; then it aborts the answer. An error means that the
// answer cannot be completed.
func (w *Writer) Write(ctx context.Context, data []byte) error {
	w.start()
	if w.push(data) {
		return w.check()
	}
	timeout := time.NewTimer(maxPause)
	defer timeout.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for !w.push(data) {
		select {
		case <-w.room:
		case <-recheck.C:
		case <-timeout.C:
			w.stream.abortSlow()
		case <-ctx.Done():
			return &Error{Op: "write answer", Kind: KindGone, Err: ctx.Err()}
		}
	}
	return w.check()
}

// push reports whether the wait for the stream is over: it has taken the bytes or was
// aborted.
func (w *Writer) push(data []byte) bool {
	result := w.stream.Push(data, time.Now())
	if result == Accepted {
		signal(w.work)
	}
	return result != Full
}

// start starts the goroutine that writes to the caller.
func (w *Writer) start() {
	if w.stream != nil {
		return
	}
	w.work, w.room, w.ended = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{})
	w.stream = w.Pool.NewStream(func() {
		w.Interrupt()
		signal(w.work)
		signal(w.room)
	})
	go w.run()
}

// run writes the stream's bytes to the caller until the end of the stream.
func (w *Writer) run() {
	defer close(w.ended)
	for {
		data, done := w.stream.Next()
		if done {
			return
		}
		if data == nil {
			<-w.work
			continue
		}
		if err := w.Out(data); err != nil {
			w.fail(err)
			return
		}
		w.stream.Taken(time.Now())
		signal(w.room)
	}
}

func (w *Writer) fail(err error) {
	w.mutex.Lock()
	// An interrupted Out fails as well, but for another reason.
	if !w.stream.isAborted() {
		w.failure = err
	}
	w.mutex.Unlock()
	w.stream.Abort()
}

// check returns an error if the answer cannot be completed.
func (w *Writer) check() error {
	if !w.stream.isAborted() {
		return nil
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.failure != nil {
		return &Error{Op: "write answer", Kind: KindGone, Err: w.failure}
	}
	return &Error{Op: "write answer", Kind: KindSlow}
}

// Finish waits until the caller has taken the rest of an answer that has ended, however long
// that takes. ctx ends when the caller disconnects. After Finish, Out is not running.
func (w *Writer) Finish(ctx context.Context) error {
	return w.finish(ctx, nil)
}

// Cancel ends an answer that stays incomplete. What the caller has yet to take is delivered
// if that is possible while an endpoint would wait. After Cancel, Out is not running.
func (w *Writer) Cancel(ctx context.Context) {
	timeout := time.NewTimer(maxPause)
	defer timeout.Stop()
	_ = w.finish(ctx, timeout.C)
}

func (w *Writer) finish(ctx context.Context, timeout <-chan time.Time) error {
	if w.stream == nil {
		return nil
	}
	defer w.stream.Close()
	w.stream.End()
	signal(w.work)
	select {
	case <-w.ended:
	case <-timeout:
	case <-ctx.Done():
	}
	err := w.check()
	select {
	case <-w.ended:
		return err
	default:
	}
	w.stream.Abort()
	<-w.ended
	return &Error{Op: "write answer", Kind: KindGone, Err: ctx.Err()}
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
