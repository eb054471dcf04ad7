package keeper

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/gate"
	"github.com/tanagerspindle/tanagerspindle/agent/lora"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// queuedAfter is how long a decision may take before the entry is told that the
// request waits; a fifth of what the entry allows.
const queuedAfter = 50 * time.Millisecond

// task is one request of one entry.
type task struct {
	want  *gate.Request
	key   lora.Key
	reply chan *admit.Reply
	// begun is since when the request may be at the engine; zero while it
	// waits.
	begun time.Time
}

// Admit serves one stream: an Ask, the Reply, and the end of the request.
func (k *Keeper) Admit(ctx context.Context, stream *wire.Stream) error {
	k.prepare()
	ask := &admit.Request{}
	if err := stream.Receive(ask); err != nil {
		return err
	}
	now := time.Now()
	t := &task{
		want:  &gate.Request{Spec: ask, Arrived: now},
		key:   lora.Key{Model: ask.Model, Adapter: ask.Adapter},
		reply: make(chan *admit.Reply, 1),
	}
	if !k.enter(t, now) {
		return stream.Send(&admit.Reply{Reason: admit.ReasonDraining})
	}
	defer k.leave(t)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		// The entry sends nothing more; this ends when the stream does.
		_ = stream.Receive(&admit.Request{})
	}()
	reply, err := t.await(ctx, stream, gone)
	if err != nil || reply == nil {
		return err
	}
	k.log(t, reply)
	if err := stream.Send(reply); err != nil || reply.Reason != admit.ReasonNone {
		return err
	}
	select {
	case <-gone:
	case <-ctx.Done():
	}
	return nil
}

// await returns the decision about a request, nil when its entry has gone. One
// that takes longer is announced, so that the entry does not take the agent for
// dead.
func (t *task) await(ctx context.Context, stream *wire.Stream, gone <-chan struct{}) (*admit.Reply, error) {
	timer := time.NewTimer(queuedAfter)
	defer timer.Stop()
	for {
		select {
		case reply := <-t.reply:
			return reply, nil
		case <-timer.C:
			if err := stream.Send(&admit.Reply{Reason: admit.ReasonQueued}); err != nil {
				return nil, err
			}
		case <-gone:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (k *Keeper) log(t *task, reply *admit.Reply) {
	k.Host.Meter.Add("admissions", 1)
	waited := time.Since(t.want.Arrived)
	k.Host.Meter.Observe("admission", waited)
	if reply.Reason == admit.ReasonNone {
		reply.Wait = span.Duration(waited)
		k.Host.Log.Write("admitted", "request", t.want.Spec.ID, "adapter", t.want.Spec.Adapter, "version", reply.Version,
			"waited", waited, "load", reply.LoadPermille)
		return
	}
	k.Host.Meter.Add("refused_"+string(reply.Reason), 1)
	k.Host.Log.Write("admission-refused", "request", t.want.Spec.ID, "adapter", t.want.Spec.Adapter, "reason", reply.Reason,
		"wait", reply.Wait, "load", reply.LoadPermille, "goal", t.want.Spec.FirstTokenRemaining, "left", t.want.Spec.Remaining, "last", t.want.Spec.LastCandidate)
}

// enter takes a request in; it returns false while the agent stops.
func (k *Keeper) enter(t *task, now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.leaving {
		return false
	}
	k.tasks[t.want] = t
	k.gate.Add(t.want)
	if t.key.Adapter != "" {
		k.shelf.Touch(t.key, now)
		if t.want.Spec.MinVersion > 0 {
			k.shelf.RequireVersion(t.key, t.want.Spec.MinVersion)
		}
	}
	k.kick.Set()
	return true
}

// begin lets a request go to the engine.
func (k *Keeper) begin(t *task, version int64, now time.Time) {
	k.gate.Start(t.want, now)
	t.begun = now
	if t.key.Adapter != "" {
		k.shelf.Pin(t.key)
	}
	t.reply <- &admit.Reply{Version: version, LoadPermille: k.gate.Load(now)}
}

// finish refuses a waiting request.
func (k *Keeper) finish(t *task, reply *admit.Reply) {
	k.gate.Remove(t.want)
	delete(k.tasks, t.want)
	t.reply <- reply
}

// leave takes a request out, whether it waits, runs or was refused.
func (k *Keeper) leave(t *task) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.tasks[t.want] != t {
		return
	}
	delete(k.tasks, t.want)
	if t.begun.IsZero() {
		k.gate.Remove(t.want)
		return
	}
	k.gate.End(t.want)
	if t.key.Adapter != "" {
		k.shelf.Unpin(t.key)
	}
	k.kick.Set()
}

func waitOf(wait time.Duration) span.Duration { return span.Duration(max(wait, time.Millisecond)) }
