package relay

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/picker"
	"github.com/tanagerspindle/tanagerspindle/entry/pool"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// cancelTimeout is how long an agent may take to report whether a cancelled
	// attempt ran.
	cancelTimeout = time.Second
	// firstFrameGrace is how long after the caller's deadline the first frame
	// may arrive.
	firstFrameGrace = 30 * time.Second
	// stallTimeout is the maximum time between two frames while the answer has
	// reserved tokens.
	stallTimeout = time.Minute
	// maxBuffered bounds the answer of a service that is buffered until it is
	// complete, in bytes.
	maxBuffered = 8 << 20
	// extendBelow is the number of remaining reserved tokens at which more are
	// requested.
	extendBelow = 32
)

// exchange is the communication with an agent about one attempt.
type exchange struct {
	job     *job
	attempt *call.Attempt
	choice  *picker.Choice
	session *pool.Session
	stream  *wire.Stream
	// nextPart is the index of the next part; tokens counts the answer tokens
	// of this attempt.
	nextPart int64
	tokens   int64
	// headReceived reports whether the agent has sent the head of the answer.
	headReceived bool
	// buffered holds a service's answer until it is complete; forwarding
	// reports that frames are no longer buffered.
	buffered      []*call.Frame
	bufferedBytes int
	forwarding    bool
	// first is a frame that was received before the exchange began; nil for none.
	first *call.Frame

	// handling is held while a frame is handled, which changes the job. It guards the
	// fields up to takeover: frames is the number of frames handled, ended is set when
	// no further frame is handled, and progress ends the search for another agent.
	handling sync.Mutex
	frames   int
	ended    bool
	progress context.CancelFunc

	mutex sync.Mutex
	// reserved is how many tokens the answer may have in total so far;
	// extending reports that more are being requested.
	reserved  int64
	extending bool
	// grace aborts the attempt if it stalls for another stallTimeout; nil unless it
	// has stalled while more tokens were being requested.
	grace *time.Timer
}

// exchange sends an attempt to its agent and forwards the answer.
func (j *job) exchange(ctx context.Context, s *pool.Session, a *call.Attempt, choice *picker.Choice) (verdict, error) {
	stream, err := s.Open(plane.MethodAttempt)
	if err != nil {
		j.relay.pool.Retire(s)
		return verdictNotRun, err
	}
	e := &exchange{job: j, attempt: a, choice: choice, session: s, stream: stream, reserved: j.request.ReservedTokens}
	return e.run(ctx)
}

// run sends the attempt, unless its first frame was received already, and forwards the
// answer.
func (e *exchange) run(ctx context.Context) (verdict, error) {
	p := &e.job.relay.pool
	defer func() { _ = e.stream.Close() }()
	stop := context.AfterFunc(ctx, e.cancel)
	defer stop()
	if e.first == nil {
		if err := e.stream.Send(e.attempt); err != nil {
			p.Retire(e.session)
			return e.interrupted(ctx, err)
		}
	}
	if e.attempt.Idempotent {
		watching, endWatch := context.WithCancel(ctx)
		defer endWatch()
		go e.watch(watching)
	}
	verdict, err := e.receive(ctx)
	if e.job.takeover != nil {
		err = &Error{Op: "wait for " + e.choice.Agent, Kind: KindSilent}
	}
	if verdict == verdictBroken {
		p.Retire(e.session)
	}
	return verdict, err
}

// cancel cancels the attempt and bounds the wait for the agent's reply.
func (e *exchange) cancel() {
	_ = e.stream.Send(&call.Frame{ID: e.attempt.ID, Type: call.FrameCancel})
	time.AfterFunc(cancelTimeout, e.abort)
}

// abort ends a pending Receive. Closing a stream ends only its sending
// direction.
func (e *exchange) abort() {
	e.stream.AbortReceive()
	_ = e.stream.Close()
}

// interrupted returns the verdict on an attempt that the agent may have
// received at least in part.
func (e *exchange) interrupted(ctx context.Context, err error) (verdict, error) {
	if ctx.Err() != nil {
		return verdictFinal, chain.Canceled(ctx, chain.RanUnknown)
	}
	return verdictBroken, err
}

// receive handles the agent's frames until the attempt has ended.
func (e *exchange) receive(ctx context.Context) (verdict, error) {
	var extensions conc.WaitGroup
	defer extensions.Wait()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(e.attempt.Remaining+firstFrameGrace, e.stalled)
	defer watchdog.Stop()
	defer e.endGrace()
	defer e.end()
	for {
		frame, err := e.receiveFrame()
		if err != nil {
			return e.interrupted(ctx, err)
		}
		e.job.relay.pool.MarkAlive(e.session)
		watchdog.Reset(stallTimeout)
		e.endGrace()
		if !bytes.Equal(frame.ID, e.attempt.ID) {
			e.job.relay.Host.Meter.Add("frames_foreign", 1)
			continue
		}
		if ctx.Err() != nil && frame.Type != call.FrameRefuse {
			continue
		}
		if len(frame.Queued) > 0 {
			e.job.relay.Picker.UpdateLoad(e.choice, frame.Running, frame.Queued)
		}
		done, verdict, err := e.handleNext(ctx, frame)
		if done {
			return verdict, err
		}
		if e.beginExtension() {
			extensions.Go(func() { e.extend(ctx) })
		}
	}
}

// receiveFrame returns the next frame.
func (e *exchange) receiveFrame() (*call.Frame, error) {
	if frame := e.first; frame != nil {
		e.first = nil
		return frame, nil
	}
	frame := &call.Frame{}
	return frame, e.stream.Receive(frame)
}

// handleNext handles a frame unless another agent has taken over, and ends the search for
// one.
func (e *exchange) handleNext(ctx context.Context, frame *call.Frame) (done bool, v verdict, err error) {
	e.handling.Lock()
	defer e.handling.Unlock()
	if e.ended {
		return true, verdictBroken, nil
	}
	e.frames++
	if e.progress != nil {
		e.progress()
	}
	return e.handleFrame(ctx, frame)
}

// end makes it too late for another agent to take over.
func (e *exchange) end() {
	e.handling.Lock()
	defer e.handling.Unlock()
	e.ended = true
}

// stalled aborts an attempt without a frame in time. While the attempt waits
// for more tokens, it aborts the attempt only after another stallTimeout
// without a frame.
func (e *exchange) stalled() {
	e.mutex.Lock()
	extending := e.extending
	if extending {
		e.grace = time.AfterFunc(stallTimeout, e.abort)
	}
	e.mutex.Unlock()
	if !extending {
		e.abort()
	}
}

// endGrace ends the grace period of an attempt that had stalled.
func (e *exchange) endGrace() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.grace != nil {
		e.grace.Stop()
		e.grace = nil
	}
}

// handleFrame handles one frame of this attempt; done reports that it was the
// last one.
func (e *exchange) handleFrame(ctx context.Context, frame *call.Frame) (done bool, v verdict, err error) {
	if e.lacksHead(frame) {
		return true, verdictBroken, fmt.Errorf("received a frame of type %d before the head", frame.Type)
	}
	switch frame.Type {
	case call.FrameHead:
		err = e.handleHead(frame)
	case call.FramePart:
		if frame.Index < e.nextPart {
			e.job.relay.Host.Meter.Add("frames_repeated", 1)
			return false, v, nil
		}
		if frame.Index > e.nextPart {
			e.job.relay.Host.Meter.Add("frames_missing", 1)
			return true, verdictBroken, fmt.Errorf("received part %d instead of %d", frame.Index, e.nextPart)
		}
		err = e.handlePart(frame)
	case call.FrameEnd:
		v, err = e.handleEnd(frame)
		return true, v, err
	case call.FrameRefuse:
		v, err = e.handleRefusal(ctx, frame)
		return true, v, err
	}
	if err != nil {
		e.cancel()
		return true, verdictFinal, chain.Canceled(ctx, chain.RanUnknown)
	}
	return false, v, nil
}

// lacksHead reports whether a frame belongs to a service's answer whose head has not been
// received. An engine's answer has no head of its own.
func (e *exchange) lacksHead(frame *call.Frame) bool {
	return e.attempt.Service != "" && !e.headReceived && (frame.Type == call.FramePart || frame.Type == call.FrameEnd)
}

// handleHead forwards the head of the answer, or buffers it for a service.
func (e *exchange) handleHead(frame *call.Frame) error {
	e.headReceived = true
	if e.job.headSent {
		return nil
	}
	if e.attempt.Service != "" {
		e.buffered = append(e.buffered, frame)
		return nil
	}
	e.job.headSent = true
	return e.job.request.Write(frame)
}

// handlePart forwards a part of the answer, or buffers it for a service.
func (e *exchange) handlePart(frame *call.Frame) error {
	e.nextPart++
	e.tokens += frame.Tokens
	if e.attempt.Service != "" {
		return e.buffer(frame)
	}
	e.job.text = append(e.job.text, frame.Data...)
	e.job.tokens += frame.Tokens
	return e.job.request.Write(frame)
}

// buffer holds a service's answer until it is complete, so that an interrupted
// attempt can be retried. An answer that exceeds maxBuffered is forwarded.
func (e *exchange) buffer(frame *call.Frame) error {
	if e.forwarding {
		return e.job.request.Write(frame)
	}
	e.buffered = append(e.buffered, frame)
	e.bufferedBytes += len(frame.Data)
	if e.bufferedBytes <= maxBuffered {
		return nil
	}
	return e.flush()
}

// flush forwards the buffered frames and ends the buffering.
func (e *exchange) flush() error {
	e.forwarding = true
	e.job.headSent = true
	frames := e.buffered
	e.buffered = nil
	for _, frame := range frames {
		if err := e.job.request.Write(frame); err != nil {
			return err
		}
	}
	return nil
}

// handleEnd checks that the answer is complete and ran on the required version.
func (e *exchange) handleEnd(frame *call.Frame) (verdict, error) {
	if e.attempt.Adapter != "" && frame.Version != e.attempt.Version {
		e.job.relay.Host.Log.Write("wrong-version", "attempt", e.attempt.IDString(), "want", e.attempt.Version, "ran", frame.Version)
		refusal := chain.Refuse(http.StatusBadGateway, "wrong_version", "the endpoint ran another version of the adapter")
		return verdictFinal, refusal.WithRanUnknown()
	}
	if e.attempt.Adapter != "" && frame.Tokens != e.tokens {
		e.job.relay.Host.Meter.Add("frames_missing", 1)
		return verdictBroken, fmt.Errorf("received %d of %d tokens", e.tokens, frame.Tokens)
	}
	if err := e.flush(); err != nil {
		return verdictFinal, err
	}
	frame.Tokens = e.job.tokens
	if err := e.job.request.Write(frame); err != nil {
		return verdictFinal, err
	}
	return verdictComplete, nil
}

// handleRefusal returns the verdict on an attempt that the agent refused.
func (e *exchange) handleRefusal(ctx context.Context, frame *call.Frame) (verdict, error) {
	j := e.job
	j.lastRefusal = frame.Reason
	err := fmt.Errorf("refused: %s", frame.Reason)
	if frame.MayHaveRun {
		if frame.Reason == call.ReasonEngineLost {
			j.crashes++
		}
		return e.interrupted(ctx, err)
	}
	if ctx.Err() != nil {
		return verdictFinal, chain.Canceled(ctx, j.ran)
	}
	return verdictNotRun, err
}

// beginExtension reports whether more tokens should be requested now, and marks
// the request as pending.
func (e *exchange) beginExtension() bool {
	if e.attempt.Adapter == "" || e.job.request.Extend == nil {
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.extending || e.reserved >= e.attempt.MaxTokens || e.reserved-e.job.tokens > extendBelow {
		return false
	}
	e.extending = true
	return true
}

// extend requests more tokens for the answer and reports the new total to the
// agent.
func (e *exchange) extend(ctx context.Context) {
	total, err := e.job.request.Extend(ctx)
	e.mutex.Lock()
	e.extending = false
	if err != nil || total <= e.reserved {
		e.mutex.Unlock()
		return
	}
	e.reserved = total
	e.job.request.ReservedTokens = total
	e.mutex.Unlock()
	_ = e.stream.Send(&call.Frame{ID: e.attempt.ID, Type: call.FrameExtend, Tokens: total - e.attempt.DeliveredTokens})
}
