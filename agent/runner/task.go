package runner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/queue"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// maxPartBytes is the largest payload of one frame, in bytes.
const maxPartBytes = 4 << 10

// task is one attempt at this agent, from its arrival to its last frame.
type task struct {
	runner  *Runner
	attempt *call.Attempt
	item    *queue.Item
	stream  *wire.Stream
	// adapterMissing is set if the adapter was not resident when the attempt arrived.
	adapterMissing bool
	// extended is signalled when the reservation has grown or the entry has disconnected.
	extended chan struct{}
	// finished is closed after the last frame, entryGone when the entry has
	// disconnected.
	finished, entryGone chan struct{}

	// The runner's mutex guards the following fields. preempting is set when the run is
	// to be preempted, cutOff when it was cut off and the engine may not have ended it
	// yet, streaming when the engine has sent a token of this run.
	started     time.Time
	preempting  bool
	cutOff      bool
	streaming   bool
	preemptions int
	endpoint    *endpoint

	// connected is set when the present run has a connection to the endpoint, so that its
	// request may have been sent.
	connected atomic.Bool

	mutex sync.Mutex
	state taskState
	// disconnected is set when the entry has disconnected, withdrawn when it has
	// cancelled the attempt, reachedEndpoint when the attempt has been started.
	disconnected    bool
	withdrawn       bool
	reachedEndpoint bool
	headSent        bool
	// reserved is the number of answer tokens that may be sent under the entry's
	// reservation so far; 0 means no limit.
	reserved int64
	// answer is the answer received so far, over all runs of this task; it starts after
	// the attempt's DeliveredText.
	answer []byte
	// tokens is the number of answer tokens sent, nextIndex the index of the next part.
	tokens    int64
	nextIndex int64
	// cancel cuts the current run off; nil while the task does not run.
	cancel context.CancelCauseFunc
}

// taskState is the state of a task.
type taskState int

const (
	taskQueued taskState = iota
	taskRunning
	taskOver
)

// cutOffReason is why this agent cut a run off.
type cutOffReason string

func (c cutOffReason) Error() string { return string(c) }

const (
	// reasonWithdrawn means that the entry cancelled the attempt or disconnected.
	reasonWithdrawn cutOffReason = "withdrawn"
	// reasonPreempted means that a more urgent attempt takes the request slot.
	reasonPreempted cutOffReason = "preempted"
	// reasonEndpointDead means that the endpoint is dead.
	reasonEndpointDead cutOffReason = "endpoint dead"
)

// receiveFrames processes the entry's frames until the stream ends.
func (t *task) receiveFrames() {
	for {
		var frame call.Frame
		if err := t.stream.Receive(&frame); err != nil {
			t.handleDisconnect()
			return
		}
		if string(frame.ID) != string(t.attempt.ID) {
			t.runner.countMetric("frames_foreign")
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

// handleDisconnect records that the entry has disconnected. An idempotent attempt is
// withdrawn; any other one runs to its end.
func (t *task) handleDisconnect() {
	t.mutex.Lock()
	if t.disconnected {
		t.mutex.Unlock()
		return
	}
	t.disconnected = true
	close(t.entryGone)
	t.mutex.Unlock()
	if t.attempt.Idempotent {
		t.withdraw()
	}
	t.extend(0)
}

// withdraw ends a queued attempt, and a running one that is idempotent.
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
		cancel(reasonWithdrawn)
	}
}

// preempt cuts a run off for a more urgent attempt.
func (t *task) preempt() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.cancel != nil {
		t.cancel(reasonPreempted)
	}
}

// extend raises the reservation to the given number of tokens and wakes
// awaitReservation.
func (t *task) extend(tokens int64) {
	t.mutex.Lock()
	t.reserved = max(t.reserved, tokens)
	t.mutex.Unlock()
	select {
	case t.extended <- struct{}{}:
	default:
	}
}

// refuse ends an attempt that is queued. A preempted attempt is refused as one that has
// run in part.
func (t *task) refuse(reason call.Reason) {
	t.mutex.Lock()
	if t.state != taskQueued {
		t.mutex.Unlock()
		return
	}
	t.state = taskOver
	ran := t.reachedEndpoint
	t.mutex.Unlock()
	if ran {
		t.runner.Dedup.Done(t.attempt.ID, nil)
	} else {
		t.runner.Dedup.MarkNotRun(t.attempt.ID)
	}
	t.runner.countMetric("refused_" + string(reason))
	go t.sendLast(&call.Frame{Type: call.FrameRefuse, Reason: reason, MayHaveRun: ran})
}

// sendLast sends the last frame with the current load.
func (t *task) sendLast(frame *call.Frame) {
	t.send(t.runner.withLoad(frame))
	close(t.finished)
	t.runner.RecordChanged()
}

// send sends one frame unless the entry has disconnected.
func (t *task) send(frame *call.Frame) {
	t.mutex.Lock()
	disconnected := t.disconnected
	t.mutex.Unlock()
	if disconnected {
		return
	}
	frame.ID = t.attempt.ID
	if err := t.stream.Send(frame); err != nil {
		t.handleDisconnect()
	}
}

// sendHead sends the status and header, at most once.
func (t *task) sendHead(status int32, header []call.Field, waited time.Duration) {
	t.mutex.Lock()
	first := !t.headSent
	t.headSent = true
	t.mutex.Unlock()
	if first {
		t.send(t.runner.withLoad(&call.Frame{Type: call.FrameHead, Status: status, Header: header, LoadWaitNanos: int64(waited)}))
	}
}

// sendData sends a piece of the answer, split into frames of at most maxPartBytes. Its
// last frame carries the token count.
func (t *task) sendData(data []byte, tokens int64) {
	for len(data) > maxPartBytes {
		t.sendPart(data[:maxPartBytes], 0)
		data = data[maxPartBytes:]
	}
	t.sendPart(data, tokens)
}

func (t *task) sendPart(data []byte, tokens int64) {
	t.mutex.Lock()
	frame := &call.Frame{Type: call.FramePart, Index: t.nextIndex, Data: data, Tokens: tokens}
	t.nextIndex++
	t.tokens += tokens
	t.mutex.Unlock()
	t.send(frame)
}

// awaitReservation waits until one more token is reserved. It does not wait once the entry
// has disconnected. It returns an error when the run is cut off.
func (t *task) awaitReservation(ctx context.Context) error {
	for {
		t.mutex.Lock()
		free := t.reserved == 0 || t.tokens < t.reserved || t.disconnected
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
