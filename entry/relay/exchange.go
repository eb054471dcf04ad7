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
	// cancelLimit is how long an agent has to say whether a cancelled attempt
	// ran.
	cancelLimit = time.Second
	// firstLimit is how long after the end of the caller's patience the first
	// frame may come.
	firstLimit = 30 * time.Second
	// stallLimit is the longest time between two frames while tokens are
	// paid for.
	stallLimit = time.Minute
	// mostHeld bounds a service's answer that is held back until it is whole,
	// in bytes.
	mostHeld = 8 << 20
	// aheadTokens is how many paid tokens are left when more are asked for.
	aheadTokens = 32
)

// exchange is one attempt on the wire.
type exchange struct {
	job     *job
	attempt *call.Attempt
	choice  *picker.Choice
	session *pool.Session
	stream  *wire.Stream
	// index is the next part's; tokens counts those of this attempt.
	index  int64
	tokens int64
	// held is a service's answer until it is whole, held in bytes is size.
	held   []*call.Frame
	size   int
	passed bool

	mutex sync.Mutex
	// paid is how many tokens the answer may have in all so far; asking says
	// that more are being paid for.
	paid   int64
	asking bool
}

func (j *job) exchange(ctx context.Context, s *pool.Session, a *call.Attempt, choice *picker.Choice) (verdict, error) {
	stream, err := s.Open(plane.MethodAttempt)
	if err != nil {
		j.relay.pool.Retire(s)
		return verdictElsewhere, err
	}
	defer func() { _ = stream.Close() }()
	e := &exchange{job: j, attempt: a, choice: choice, session: s, stream: stream, paid: j.request.ReservedTokens}
	stop := context.AfterFunc(ctx, e.cancel)
	defer stop()
	if err := stream.Send(a); err != nil {
		j.relay.pool.Retire(s)
		return e.lost(ctx, err)
	}
	if !j.relay.pool.RecentlyAlive(s) {
		go j.relay.pool.Verify(s)
	}
	verdict, err := e.receive(ctx)
	if verdict == verdictBroken {
		j.relay.pool.Retire(s)
	}
	return verdict, err
}

// cancel withdraws the attempt and bounds the wait for the agent's word.
func (e *exchange) cancel() {
	_ = e.stream.Send(&call.Frame{ID: e.attempt.ID, Type: call.FrameCancel})
	time.AfterFunc(cancelLimit, e.hangUp)
}

// hangUp ends a Receive under way. Closing a stream alone ends only its
// sending direction.
func (e *exchange) hangUp() {
	e.stream.AbortReceive()
	_ = e.stream.Close()
}

// lost is the end of an attempt of which the agent may have got a part.
func (e *exchange) lost(ctx context.Context, err error) (verdict, error) {
	if ctx.Err() != nil {
		return verdictFinal, chain.Canceled(ctx, chain.RanUnknown)
	}
	return verdictBroken, err
}

func (e *exchange) receive(ctx context.Context) (verdict, error) {
	var extending conc.WaitGroup
	defer extending.Wait()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(e.attempt.Remaining+firstLimit, e.stalled)
	defer watchdog.Stop()
	for {
		var frame call.Frame
		if err := e.stream.Receive(&frame); err != nil {
			return e.lost(ctx, err)
		}
		e.job.relay.pool.MarkAlive(e.session)
		watchdog.Reset(stallLimit)
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
		done, verdict, err := e.take(ctx, &frame)
		if done {
			return verdict, err
		}
		if e.mayAsk() {
			extending.Go(func() { e.extend(ctx) })
		}
	}
}

// stalled ends an attempt without news, unless it waits for tokens.
func (e *exchange) stalled() {
	e.mutex.Lock()
	asking := e.asking
	e.mutex.Unlock()
	if asking {
		time.AfterFunc(stallLimit, e.hangUp)
		return
	}
	e.hangUp()
}

// take handles one frame of this attempt; done says that it was the last.
func (e *exchange) take(ctx context.Context, frame *call.Frame) (done bool, v verdict, err error) {
	switch frame.Type {
	case call.FrameHead:
		err = e.head(frame)
	case call.FramePart:
		if frame.Index < e.index {
			e.job.relay.Host.Meter.Add("frames_repeated", 1)
			return false, v, nil
		}
		if frame.Index > e.index {
			e.job.relay.Host.Meter.Add("frames_missing", 1)
			return true, verdictBroken, fmt.Errorf("part %d came instead of %d", frame.Index, e.index)
		}
		err = e.part(frame)
	case call.FrameEnd:
		v, err = e.end(frame)
		return true, v, err
	case call.FrameRefuse:
		v, err = e.refused(ctx, frame)
		return true, v, err
	}
	if err != nil {
		e.cancel()
		return true, verdictFinal, chain.Canceled(ctx, chain.RanUnknown)
	}
	return false, v, nil
}

func (e *exchange) head(frame *call.Frame) error {
	if e.job.head {
		return nil
	}
	if frame.Status == 0 {
		frame.Status = http.StatusOK
	}
	if e.attempt.Service != "" {
		e.held = append(e.held, frame)
		return nil
	}
	e.job.head = true
	return e.job.request.Write(frame)
}

func (e *exchange) part(frame *call.Frame) error {
	e.index++
	e.tokens += frame.Tokens
	if e.attempt.Service != "" {
		return e.hold(frame)
	}
	e.job.text = append(e.job.text, frame.Data...)
	e.job.tokens += frame.Tokens
	return e.job.request.Write(frame)
}

// hold keeps a service's answer until it is whole, so that an attempt which
// broke off can be made again; an answer too large for that is passed on.
func (e *exchange) hold(frame *call.Frame) error {
	if e.passed {
		return e.job.request.Write(frame)
	}
	e.held = append(e.held, frame)
	e.size += len(frame.Data)
	if e.size <= mostHeld {
		return nil
	}
	return e.release()
}

func (e *exchange) release() error {
	e.passed = true
	e.job.head = true
	held := e.held
	e.held = nil
	for _, frame := range held {
		if err := e.job.request.Write(frame); err != nil {
			return err
		}
	}
	return nil
}

// end checks that the answer is whole and ran on the right version.
func (e *exchange) end(frame *call.Frame) (verdict, error) {
	if e.attempt.Adapter != "" && frame.Version != e.attempt.Version {
		e.job.relay.Host.Log.Write("wrong-version", "attempt", e.attempt.IDString(), "want", e.attempt.Version, "ran", frame.Version)
		refusal := chain.Refuse(http.StatusBadGateway, "wrong_version", "the endpoint ran another version of the adapter")
		return verdictFinal, refusal.WithRanUnknown()
	}
	if e.attempt.Adapter != "" && frame.Tokens != e.tokens {
		e.job.relay.Host.Meter.Add("frames_missing", 1)
		return verdictBroken, fmt.Errorf("%d tokens of %d came", e.tokens, frame.Tokens)
	}
	if err := e.release(); err != nil {
		return verdictFinal, err
	}
	frame.Tokens = e.job.tokens
	if err := e.job.request.Write(frame); err != nil {
		return verdictFinal, err
	}
	return verdictWhole, nil
}

// refused maps an agent's refusal to what follows.
func (e *exchange) refused(ctx context.Context, frame *call.Frame) (verdict, error) {
	j := e.job
	j.last = frame.Reason
	err := fmt.Errorf("refused: %s", frame.Reason)
	if frame.MayHaveRun {
		if frame.Reason == call.ReasonEngineLost {
			j.deaths++
		}
		return e.lost(ctx, err)
	}
	if ctx.Err() != nil {
		return verdictFinal, chain.Canceled(ctx, j.ran)
	}
	return verdictElsewhere, err
}

// mayAsk reports whether more tokens should be paid for now, and notes that
// they are being asked for.
func (e *exchange) mayAsk() bool {
	if e.attempt.Adapter == "" || e.job.request.Extend == nil {
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.asking || e.paid >= e.attempt.MaxTokens || e.paid-e.job.tokens > aheadTokens {
		return false
	}
	e.asking = true
	return true
}

func (e *exchange) extend(ctx context.Context) {
	total, err := e.job.request.Extend(ctx)
	e.mutex.Lock()
	e.asking = false
	if err != nil || total <= e.paid {
		e.mutex.Unlock()
		return
	}
	e.paid = total
	e.job.request.ReservedTokens = total
	e.mutex.Unlock()
	_ = e.stream.Send(&call.Frame{ID: e.attempt.ID, Type: call.FrameExtend, Tokens: total - e.attempt.DeliveredTokens})
}
