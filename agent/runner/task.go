package runner

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/queue"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// partSize is the largest payload of one frame, in bytes.
const partSize = 4 << 10

// task is one attempt at this agent, from its arrival to its last frame.
type task struct {
	runner  *Runner
	attempt *call.Attempt
	item    *queue.Item
	stream  *wire.Stream
	// missing says that the adapter was not resident on arrival.
	missing bool
	// extended is signalled when the reservation has grown.
	extended chan struct{}
	// over is closed after the last frame, goneChannel when the entry has
	// gone.
	over, goneChannel chan struct{}

	// The runner's mutex guards the following. giving says that the run gives
	// its place away, ending that it was cut off and the engine may not have
	// ended it yet, answering that the engine has sent a token of this run.
	started   time.Time
	giving    bool
	ending    bool
	answering bool
	preempts  int
	endpoint  *endpoint

	mutex sync.Mutex
	state taskState
	// gone says that the entry has gone, withdrawn that it wants the attempt
	// ended, placed that the attempt has been at the endpoint.
	gone      bool
	withdrawn bool
	placed    bool
	headed    bool
	reserved  int64
	// text is the answer so far, since the attempt's offset.
	text []byte
	// tokens is the number of answer tokens sent, index that of the next
	// part.
	tokens int64
	index  int64
	cancel context.CancelCauseFunc
}

// taskState is how far a task has come.
type taskState int

const (
	taskQueued taskState = iota
	taskRunning
	taskOver
)

// cause says why a run was cut off by this agent.
type cause string

func (c cause) Error() string { return string(c) }

const (
	// causeCancel says that the entry withdrew the attempt or went away.
	causeCancel cause = "withdrawn"
	// causePreempt says that the run gives its place to a more urgent one.
	causePreempt cause = "preempted"
	// causeDead says that the endpoint died.
	causeDead cause = "endpoint dead"
)

// listen takes the entry's frames until the stream ends.
func (t *task) listen() {
	for {
		var frame call.Frame
		if err := t.stream.Receive(&frame); err != nil {
			t.leave()
			return
		}
		if string(frame.ID) != string(t.attempt.ID) {
			t.runner.count("frames_foreign")
			continue
		}
		switch frame.Type {
		case call.FrameCancel:
			t.withdraw()
		case call.FrameExtend:
			t.extend(frame.Tokens)
		}
	}
}

// leave notes that the entry has gone. A repeatable attempt is withdrawn;
// any other goes on without a listener.
func (t *task) leave() {
	t.mutex.Lock()
	if t.gone {
		t.mutex.Unlock()
		return
	}
	t.gone = true
	close(t.goneChannel)
	t.mutex.Unlock()
	if t.attempt.Idempotent {
		t.withdraw()
	}
	t.extend(0)
}

// withdraw ends a queued attempt, and a running one that is repeatable.
func (t *task) withdraw() {
	if t.runner.Queue.Remove(t.item) {
		t.refuse(call.ReasonCancelled)
		return
	}
	if !t.attempt.Idempotent {
		return
	}
	t.mutex.Lock()
	t.withdrawn = true
	cancel := t.cancel
	t.mutex.Unlock()
	if cancel != nil {
		cancel(causeCancel)
	}
}

// interrupt makes a run give its place away.
func (t *task) interrupt() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.cancel != nil {
		t.cancel(causePreempt)
	}
}

func (t *task) extend(tokens int64) {
	t.mutex.Lock()
	t.reserved = max(t.reserved, tokens)
	t.mutex.Unlock()
	select {
	case t.extended <- struct{}{}:
	default:
	}
}

// refuse ends an attempt that has not been started. After a preemption part
// of it has run.
func (t *task) refuse(reason call.Reason) {
	t.mutex.Lock()
	if t.state != taskQueued {
		t.mutex.Unlock()
		return
	}
	t.state = taskOver
	ran := t.placed
	t.mutex.Unlock()
	if ran {
		t.runner.Dedup.Done(t.attempt.ID, nil)
	} else {
		t.runner.Dedup.MarkNotRun(t.attempt.ID)
	}
	t.runner.count("refused_" + string(reason))
	go t.last(&call.Frame{Type: call.FrameRefuse, Reason: reason, MayHaveRun: ran})
}

// last sends the last frame.
func (t *task) last(frame *call.Frame) {
	t.send(t.runner.loaded(frame))
	close(t.over)
	t.runner.RecordChanged()
}

// send sends one frame unless the entry has gone.
func (t *task) send(frame *call.Frame) {
	t.mutex.Lock()
	gone := t.gone
	t.mutex.Unlock()
	if gone {
		return
	}
	frame.ID = t.attempt.ID
	if err := t.stream.Send(frame); err != nil {
		t.leave()
	}
}

// head sends the status and header once.
func (t *task) head(status int32, header []call.Field, waited time.Duration) {
	t.mutex.Lock()
	first := !t.headed
	t.headed = true
	t.mutex.Unlock()
	if first {
		t.send(t.runner.loaded(&call.Frame{Type: call.FrameHead, Status: status, Header: header, LoadWaitNanos: int64(waited)}))
	}
}

// part sends a piece of the answer, split where it is large. The tokens count
// with its last frame.
func (t *task) part(data []byte, tokens int64) {
	for len(data) > partSize {
		t.sendPart(data[:partSize], 0)
		data = data[partSize:]
	}
	t.sendPart(data, tokens)
}

func (t *task) sendPart(data []byte, tokens int64) {
	t.mutex.Lock()
	frame := &call.Frame{Type: call.FramePart, Index: t.index, Data: data, Tokens: tokens}
	t.index++
	t.tokens += tokens
	t.mutex.Unlock()
	t.send(frame)
}

// await waits until one more token is reserved. It fails when the run is cut
// off.
func (t *task) await(ctx context.Context) error {
	for {
		t.mutex.Lock()
		free := t.reserved == 0 || t.tokens < t.reserved || t.gone
		t.mutex.Unlock()
		if free {
			return ctx.Err()
		}
		select {
		case <-t.extended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
