package relay

import (
	"bytes"
	"context"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/picker"
	"github.com/tanagerspindle/tanagerspindle/entry/pool"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// maxTakeovers bounds the attempts at other agents while one agent is silent.
const maxTakeovers = 3

// takeover is an attempt that an agent has begun in place of one whose agent is silent.
type takeover struct {
	choice  *picker.Choice
	session *pool.Session
	attempt *call.Attempt
	stream  *wire.Stream
	// first is the agent's first frame.
	first *call.Frame
}

// drop ends a takeover that is not used.
func (t *takeover) drop(r *Relay) {
	if t == nil {
		return
	}
	if t.stream != nil {
		_ = t.stream.Close()
	}
	if t.session != nil {
		r.pool.Put(t.session)
	}
	r.Picker.Release(t.choice)
}

// resume continues with an attempt that has begun.
func (j *job) resume(ctx context.Context, t *takeover) (verdict, error) {
	e := &exchange{
		job: j, attempt: t.attempt, choice: t.choice, session: t.session, stream: t.stream, first: t.first,
		reserved: t.attempt.DeliveredTokens + t.attempt.ReservedTokens,
	}
	return e.run(ctx)
}

// watch looks for another agent once the attempt's agent does not answer a ping. The agent
// may be sound and continue, so that its attempt ends only when another agent has begun the
// request.
func (e *exchange) watch(ctx context.Context) {
	p := &e.job.relay.pool
	if !p.RecentlyAlive(e.session) {
		p.Verify(e.session)
	}
	select {
	case <-e.session.Unanswered():
	case <-ctx.Done():
		return
	}
	excluded := []string{e.choice.Agent}
	for tries := 1; tries <= maxTakeovers && ctx.Err() == nil; tries++ {
		searching, stop := context.WithCancel(ctx)
		pinged := make(chan bool, 1)
		go func() {
			answered := p.Verify(e.session)
			if answered {
				stop()
			}
			pinged <- answered
		}()
		agent, done := e.tryTakeover(searching, excluded, tries)
		stop()
		if done || <-pinged {
			return
		}
		excluded = append(excluded, agent)
	}
}

// tryTakeover lets another agent begin the request, and then ends the attempt at the silent
// one. done reports that the search is over; otherwise agent is the agent that did not
// begin the request, if one was asked.
func (e *exchange) tryTakeover(ctx context.Context, excluded []string, tries int) (agent string, done bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t, frames, ok := e.plan(cancel, excluded, tries)
	if !ok {
		return "", false
	}
	if e.begin(ctx, t) && e.commit(t, frames) {
		return t.choice.Agent, true
	}
	t.drop(e.job.relay)
	return t.choice.Agent, ctx.Err() != nil || e.recordCrash(t)
}

// plan chooses another agent, or a new session to the silent one if there is no other, and
// returns the attempt for it with the number of frames handled so far. The next frame calls
// cancel.
func (e *exchange) plan(cancel context.CancelFunc, excluded []string, tries int) (t *takeover, frames int, ok bool) {
	e.handling.Lock()
	defer e.handling.Unlock()
	j := e.job
	if e.ended || j.tries+1 >= maxTries || j.complete() || j.request.Service != "" && j.headSent {
		return nil, 0, false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if j.request.Adapter != "" && j.request.Extend != nil && j.request.ReservedTokens <= j.tokens {
		return nil, 0, false
	}
	choice, err := j.relay.Picker.Pick(j.requirements(excluded))
	if err != nil {
		choice, err = j.relay.Picker.Pick(j.requirements(nil))
	}
	if err != nil {
		return nil, 0, false
	}
	e.progress = cancel
	t = &takeover{choice: choice, attempt: j.newAttempt(choice)}
	t.attempt.Index += int32(tries)
	return t, e.frames, true
}

// begin sends the attempt to the chosen agent and reports whether the agent has begun it.
func (e *exchange) begin(ctx context.Context, t *takeover) bool {
	p := &e.job.relay.pool
	session, err := p.Get(ctx, t.choice.Address)
	if err != nil {
		return false
	}
	t.session = session
	if !p.RecentlyAlive(session) && !p.Verify(session) || !e.job.spendRetry(ctx, int(t.attempt.Index)) {
		return false
	}
	if t.stream, err = session.Open(plane.MethodAttempt); err != nil {
		p.Retire(session)
		return false
	}
	defer context.AfterFunc(ctx, t.stream.AbortReceive)()
	if !e.markSent() || t.stream.Send(t.attempt) != nil {
		return false
	}
	for {
		frame := &call.Frame{}
		if err := t.stream.Receive(frame); err != nil {
			return false
		}
		p.MarkAlive(session)
		if bytes.Equal(frame.ID, t.attempt.ID) {
			t.first = frame
			return frame.Type != call.FrameRefuse
		}
	}
}

// markSent records that another agent may run the request, unless this attempt has ended.
func (e *exchange) markSent() bool {
	e.handling.Lock()
	defer e.handling.Unlock()
	if !e.ended {
		e.job.ran = chain.RanUnknown
	}
	return !e.ended
}

// recordCrash reports whether an endpoint was lost while it ran the takeover, and counts it.
func (e *exchange) recordCrash(t *takeover) bool {
	if t.first == nil || t.first.Reason != call.ReasonEngineLost || !t.first.MayHaveRun {
		return false
	}
	e.handling.Lock()
	defer e.handling.Unlock()
	if !e.ended {
		e.job.crashes++
	}
	return true
}

// commit makes the takeover the request's next attempt and ends this one, unless this one
// has continued meanwhile.
func (e *exchange) commit(t *takeover, frames int) bool {
	e.handling.Lock()
	defer e.handling.Unlock()
	if e.ended || e.frames != frames {
		return false
	}
	e.ended = true
	e.job.takeover = t
	e.abort()
	return true
}
