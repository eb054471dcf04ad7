package keeper

import (
	"context"
	"errors"
	"io"
	"math"
	"sync/atomic"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/gate"
	"github.com/tanagerspindle/tanagerspindle/agent/lora"
	"github.com/tanagerspindle/tanagerspindle/agent/pace"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// queuedNoticeDelay is how long a decision may take before the entry is notified that the
// request is queued: a fifth of the 250 ms after which the entry gives up on an agent that has
// not replied.
const queuedNoticeDelay = 50 * time.Millisecond

// task is the admission of one request, from its arrival to its end.
type task struct {
	request *gate.Request
	adapter lora.Key
	// reply receives the decision.
	reply chan *admit.Reply
	// started is when the request was admitted; zero while the request waits.
	started time.Time
	// unused is set when the entry has ended the admission without sending the request.
	unused atomic.Bool
}

// Admit serves one stream of an entry: it receives an admit.Request, sends the
// admit.Reply and counts an admitted request as running until the stream ends.
func (k *Keeper) Admit(ctx context.Context, stream *wire.Stream) error {
	k.prepare()
	spec := &admit.Request{}
	if err := stream.Receive(spec); err != nil {
		return err
	}
	now := time.Now()
	t := &task{
		request: &gate.Request{Spec: spec, Arrived: now},
		adapter: lora.Key{Model: spec.Model, Adapter: spec.Adapter},
		reply:   make(chan *admit.Reply, 1),
	}
	if !k.register(t, now) {
		return stream.Send(&admit.Reply{Reason: admit.ReasonDraining})
	}
	defer k.unregister(t)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		t.receiveEnd(stream)
	}()
	reply, err := t.await(ctx, stream, closed)
	if err != nil || reply == nil {
		return err
	}
	k.logDecision(t, reply)
	if err := stream.Send(reply); err != nil || reply.Reason != admit.ReasonNone {
		return err
	}
	select {
	case <-closed:
	case <-ctx.Done():
	}
	return nil
}

// receiveEnd returns when the entry ends the admission or its session is lost.
func (t *task) receiveEnd(stream *wire.Stream) {
	end := &admit.End{}
	err := stream.Receive(end)
	closed := err == nil || errors.Is(err, io.EOF)
	// Without a session to the entry, the request may still run.
	t.unused.Store(closed && !end.MayHaveRun && !link.SessionEnded(stream))
}

// await returns the decision about a request, or nil if its entry has disconnected. If the
// decision takes longer, await notifies the entry that the request is queued, so that the
// entry does not treat the agent as failed.
func (t *task) await(ctx context.Context, stream *wire.Stream, closed <-chan struct{}) (*admit.Reply, error) {
	timer := time.NewTimer(queuedNoticeDelay)
	defer timer.Stop()
	for {
		select {
		case reply := <-t.reply:
			return reply, nil
		case <-timer.C:
			if err := stream.Send(&admit.Reply{Reason: admit.ReasonQueued}); err != nil {
				return nil, err
			}
		case <-closed:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// logDecision logs and counts a decision.
func (k *Keeper) logDecision(t *task, reply *admit.Reply) {
	k.Host.Meter.Add("admissions", 1)
	waited := time.Since(t.request.Arrived)
	k.Host.Meter.Observe("admission", waited)
	if reply.Reason == admit.ReasonNone {
		present := k.pace()
		reply.Wait = span.Duration(waited)
		k.Host.Log.Write("admitted", "request", t.request.Spec.ID, "adapter", t.request.Spec.Adapter, "version", reply.Version,
			"waited", waited, "load", reply.LoadPermille, "prefill_tokens_per_ms", math.Round(present.PrefillTokensPerMs*10)/10, "slowdown", math.Round(present.Slowdown*10)/10)
		return
	}
	k.Host.Meter.Add("refused_"+string(reply.Reason), 1)
	k.Host.Log.Write("admission-refused", "request", t.request.Spec.ID, "adapter", t.request.Spec.Adapter, "reason", reply.Reason,
		"wait", reply.Wait, "load", reply.LoadPermille, "goal", t.request.Spec.FirstTokenRemaining, "left", t.request.Spec.Remaining, "last", t.request.Spec.LastCandidate)
}

// pace returns the engine's present pace.
func (k *Keeper) pace() pace.Pace {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.enginePace.Pace(time.Now())
}

// register queues a request. It returns false when the agent is stopping.
func (k *Keeper) register(t *task, now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.stopping {
		return false
	}
	k.mergeLimit(t.request.Spec.Limit, now)
	k.tasks[t.request] = t
	k.admission.Add(t.request)
	if t.adapter.Adapter != "" {
		k.adapters.Touch(t.adapter, now)
		if t.request.Spec.MinVersion > 0 {
			k.adapters.RequireVersion(t.adapter, t.request.Spec.MinVersion)
		}
	}
	k.changed.Set()
	return true
}

// start admits a request.
func (k *Keeper) start(t *task, version int64, now time.Time) {
	k.admission.Start(t.request, now)
	k.enginePace.Admit(t.request.Spec.ID, t.request.Spec.PromptTokens, now)
	t.started = now
	if t.adapter.Adapter != "" {
		k.adapters.Pin(t.adapter)
	}
	t.reply <- &admit.Reply{Version: version, LoadPermille: k.admission.Load(now)}
}

// refuse refuses a waiting request.
func (k *Keeper) refuse(t *task, reply *admit.Reply) {
	k.admission.Remove(t.request)
	delete(k.tasks, t.request)
	t.reply <- reply
}

// unregister removes a request when its stream ends, whether it waits, runs or was refused.
func (k *Keeper) unregister(t *task) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.tasks[t.request] != t {
		return
	}
	delete(k.tasks, t.request)
	if t.started.IsZero() {
		k.admission.Remove(t.request)
		return
	}
	// An entry built before admit.End only closes the stream, also after a request that ran.
	prefilled := k.enginePace.End(t.request.Spec.ID)
	if t.unused.Load() && !prefilled {
		k.admission.Withdraw(t.request, time.Now())
	} else {
		k.admission.End(t.request)
	}
	if t.adapter.Adapter != "" {
		k.adapters.Unpin(t.adapter)
	}
	k.changed.Set()
}

// retryDelay converts a wait for a reply; it is at least 1 ms.
func retryDelay(wait time.Duration) span.Duration { return span.Duration(max(wait, time.Millisecond)) }
