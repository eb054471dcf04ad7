package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/lora"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
)

const (
	// orderTimeout bounds one order. The engine is on the same VM and answers
	// within a millisecond or two; one that is not answered is given again,
	// and refused by its count if the first was taken.
	orderTimeout = 80 * time.Millisecond
	// permitTimeout bounds one question for leave to load a base model,
	// permitPause is the time between two that were not answered, and
	// permitPatience how long control may not answer before the load begins
	// without leave; an election takes half a second, a partition of control
	// seconds.
	permitTimeout  = time.Second
	permitPause    = 200 * time.Millisecond
	permitPatience = 4 * time.Second
	// modelLife is how long a load of a base model is believed to be under
	// way. The users' models take 2.9 s, longer when several load at once.
	modelLife = 12 * time.Second
)

// poll follows the engine's reports until ctx ends.
func (k *Keeper) poll(ctx context.Context) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, reportTimeout)
		asked := time.Now()
		report, err := k.FetchReport(limited)
		cancel()
		if ctx.Err() != nil {
			return
		}
		interval := k.take(report, err, asked)
		k.kick.Set()
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-k.polled.C():
			pause.For(ctx, busyPoll/2)
		}
		timer.Stop()
	}
}

// take applies a report that was asked for at a time, and returns the time
// until the next.
func (k *Keeper) take(report *Report, err error, asked time.Time) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := time.Now()
	if err != nil {
		k.failed++
		if k.failed == downAfter {
			k.Host.Log.Write("engine-down", "err", err)
			k.last = nil
			k.shelf.Clear()
		}
		return idlePoll
	}
	if k.failed >= downAfter {
		k.Host.Log.Write("engine-up", "born", report.StartedUnixMs, "models", len(report.Models), "adapters", len(report.Adapters))
	}
	k.failed = 0
	if k.last != nil && (report.StartedUnixMs != k.last.StartedUnixMs || report.Seq < k.last.Seq) {
		k.Host.Log.Write("engine-restarted", "born", report.StartedUnixMs, "seq", report.Seq, "former_born", k.last.StartedUnixMs, "former_seq", k.last.Seq)
		k.shelf.Clear()
		k.loading = time.Time{}
	}
	k.last = report
	if !k.ordering && !asked.Before(k.answered) {
		k.expected, k.counted = report.Seq, true
	}
	k.shelf.Sync(report.Adapters, now)
	if len(report.Models) > 0 || now.Sub(k.loading) > modelLife {
		k.loading = time.Time{}
	}
	if k.shelf.InFlight() > 0 || report.Busy || !k.loading.IsZero() {
		return busyPoll
	}
	return idlePoll
}

// nextOrder gives the engine its next order, one at a time. The mutex is held.
func (k *Keeper) nextOrder(wanted []lora.Key, now time.Time) {
	if k.ordering || !k.counted {
		return
	}
	if order, ok := k.modelOrder(now); ok {
		k.loading = now
		k.ordering = true
		go k.give(order, nil)
		return
	}
	if len(k.last.Models) == 0 {
		return
	}
	next, ok := k.shelf.Next(wanted, now)
	if !ok {
		return
	}
	k.shelf.Sent(next, now)
	k.ordering = true
	order := &Order{Load: next.Load, Model: next.Key.Model, Adapter: next.Key.Adapter, Version: next.Version}
	go k.give(order, &next)
}

// modelOrder returns the order that loads a base model into an empty engine. A
// copy that the engine's VM keeps is loaded at once, even before the
// configuration is known: after a loss of power all engines start empty, and
// one after the other at the store's rate took seconds in which most requests
// were refused.
func (k *Keeper) modelOrder(now time.Time) (*Order, bool) {
	if len(k.last.Models) > 0 || k.last.Busy || !k.loading.IsZero() {
		return nil, false
	}
	model := k.modelToLoad(k.EngineConfig())
	if model == "" {
		return nil, false
	}
	if !slices.Contains(k.last.Cached, model) {
		if !k.mayLoad(now) {
			return nil, false
		}
		k.allowed = false
	}
	return &Order{Load: true, Model: model}, true
}

// mayLoad reports whether a base model may be loaded, and asks for leave if
// that is not known. An agent that control does not answer loads all the same
// after a while: an engine without a model serves nobody.
func (k *Keeper) mayLoad(now time.Time) bool {
	if k.RequestPermit == nil || k.allowed {
		return true
	}
	if !k.refused.IsZero() && now.Sub(k.refused) > permitPatience {
		return true
	}
	if !k.asking && !now.Before(k.askAt) {
		k.asking = true
		go k.askLeave()
	}
	return false
}

func (k *Keeper) askLeave() {
	k.mutex.Lock()
	ctx, cancel := context.WithTimeout(k.context, permitTimeout)
	k.mutex.Unlock()
	defer cancel()
	wait, err := k.RequestPermit(ctx)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := time.Now()
	k.asking = false
	if err != nil {
		if k.refused.IsZero() {
			k.refused = now
		}
		k.askAt = now.Add(permitPause)
		k.Host.Log.Write("leave-not-known", "since", k.refused, "err", err)
		return
	}
	k.refused, k.allowed = time.Time{}, wait == 0
	k.askAt = now.Add(wait)
	k.kick.Set()
}

// modelToLoad returns the model that most requests wait for, or the first; of
// an engine that is not configured yet, the first of which there is a copy.
func (k *Keeper) modelToLoad(engine *conf.Engine) string {
	if engine == nil || len(engine.Models) == 0 {
		if len(k.last.Cached) == 0 {
			return ""
		}
		return k.last.Cached[0]
	}
	waiting := map[string]int{}
	for w := range k.tasks {
		waiting[w.Spec.Model]++
	}
	chosen := engine.Models[0].Name
	for _, model := range engine.Models {
		if waiting[model.Name] > waiting[chosen] {
			chosen = model.Name
		}
	}
	return chosen
}

// modelWait estimates how long a base model on its way still takes. One that
// takes longer than usual shares the store with others: what it has taken
// tells more than the usual time, and half of that is what remains when two
// more load beside it.
func (k *Keeper) modelWait(now time.Time) time.Duration {
	engine := k.EngineConfig()
	if engine == nil || len(engine.Models) == 0 {
		return modelLife
	}
	usual, taken := engine.Models[0].LoadTime.Std(), now.Sub(k.loading)
	if k.loading.IsZero() {
		return usual
	}
	if taken < usual {
		return max(usual-taken, usual/4)
	}
	return taken / 2
}

// give sends one order and notes what became of it.
func (k *Keeper) give(order *Order, next *lora.Order) {
	order.Endpoint = k.Endpoint()
	k.mutex.Lock()
	order.ExpectedSeq = k.expected
	ctx, cancel := context.WithTimeout(k.context, orderTimeout)
	k.mutex.Unlock()
	defer cancel()
	outcome, err := k.SendOrder(ctx, order)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.ordering, k.counted, k.answered = false, false, time.Now()
	k.Host.Meter.Add("orders", 1)
	k.Host.Log.Write("engine-ordered", "load", order.Load, "model", order.Model, "adapter", order.Adapter, "version", order.Version,
		"expected", order.ExpectedSeq, "outcome", outcome, "err", err)
	switch {
	case err != nil && next != nil:
		k.shelf.Unanswered(*next)
	case err != nil:
		k.loading = time.Time{}
	case outcome == OutcomeAccepted:
		k.expected, k.counted = order.ExpectedSeq+1, true
		if next != nil {
			k.shelf.Accepted(*next)
		}
	case outcome == OutcomeRefused && next != nil:
		k.shelf.Refused(*next)
	case outcome == OutcomeRefused:
		k.loading = time.Time{}
	}
	k.polled.Set()
	k.kick.Set()
}
