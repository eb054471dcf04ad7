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
	permitTimeout    = time.Second
	permitRetryDelay = 200 * time.Millisecond
	maxPermitOutage  = 4 * time.Second
	// modelLoadExpiry is how long a load of a base model is believed to be under
	// way. The users' models take 2.9 s, longer when several load at once.
	modelLoadExpiry = 12 * time.Second
)

// pollReports follows the engine's reports until ctx ends.
func (k *Keeper) pollReports(ctx context.Context) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, reportTimeout)
		asked := time.Now()
		report, err := k.FetchReport(limited)
		cancel()
		if ctx.Err() != nil {
			return
		}
		interval := k.applyReport(report, err, asked)
		k.changed.Set()
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-k.pollSoon.C():
			pause.For(ctx, busyReportInterval/2)
		}
		timer.Stop()
	}
}

// applyReport applies a report that was asked for at a time, and returns the time
// until the next.
func (k *Keeper) applyReport(report *Report, err error, asked time.Time) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := time.Now()
	if err != nil {
		k.failedReports++
		if k.failedReports == maxFailedReports {
			k.Host.Log.Write("engine-down", "err", err)
			k.lastReport = nil
			k.adapters.Clear()
		}
		return idleReportInterval
	}
	if k.failedReports >= maxFailedReports {
		k.Host.Log.Write("engine-up", "born", report.StartedUnixMs, "models", len(report.Models), "adapters", len(report.Adapters))
	}
	k.failedReports = 0
	if k.lastReport != nil && (report.StartedUnixMs != k.lastReport.StartedUnixMs || report.Seq < k.lastReport.Seq) {
		k.Host.Log.Write("engine-restarted", "born", report.StartedUnixMs, "seq", report.Seq, "former_born", k.lastReport.StartedUnixMs, "former_seq", k.lastReport.Seq)
		k.adapters.Clear()
		k.modelLoadStart = time.Time{}
	}
	k.lastReport = report
	if !k.orderInFlight && !asked.Before(k.lastAnswer) {
		k.nextSeq, k.seqKnown = report.Seq, true
	}
	k.adapters.Sync(report.Adapters, now)
	if len(report.Models) > 0 || now.Sub(k.modelLoadStart) > modelLoadExpiry {
		k.modelLoadStart = time.Time{}
	}
	if k.adapters.InFlight() > 0 || report.Busy || !k.modelLoadStart.IsZero() {
		return busyReportInterval
	}
	return idleReportInterval
}

// startNextOrder gives the engine its next order, one at a time. The mutex is held.
func (k *Keeper) startNextOrder(wanted []lora.Key, now time.Time) {
	if k.orderInFlight || !k.seqKnown {
		return
	}
	if order, ok := k.modelLoadOrder(now); ok {
		k.modelLoadStart = now
		k.orderInFlight = true
		go k.execute(order, nil)
		return
	}
	if len(k.lastReport.Models) == 0 {
		return
	}
	next, ok := k.adapters.Next(wanted, now)
	if !ok {
		return
	}
	k.adapters.Sent(next, now)
	k.orderInFlight = true
	order := &Order{Load: next.Load, Model: next.Key.Model, Adapter: next.Key.Adapter, Version: next.Version}
	go k.execute(order, &next)
}

// modelLoadOrder returns the order that loads a base model into an empty engine. A
// copy that the engine's VM keeps is loaded at once, even before the
// configuration is known: after a loss of power all engines start empty, and
// one after the other at the store's rate took seconds in which most requests
// were refused.
func (k *Keeper) modelLoadOrder(now time.Time) (*Order, bool) {
	if len(k.lastReport.Models) > 0 || k.lastReport.Busy || !k.modelLoadStart.IsZero() {
		return nil, false
	}
	model := k.modelToLoad(k.EngineConfig())
	if model == "" {
		return nil, false
	}
	if !slices.Contains(k.lastReport.Cached, model) {
		if !k.mayLoadModel(now) {
			return nil, false
		}
		k.permitGranted = false
	}
	return &Order{Load: true, Model: model}, true
}

// mayLoadModel reports whether a base model may be loaded, and asks for leave if
// that is not known. An agent that control does not answer loads all the same
// after a while: an engine without a model serves nobody.
func (k *Keeper) mayLoadModel(now time.Time) bool {
	if k.RequestPermit == nil || k.permitGranted {
		return true
	}
	if !k.permitFailingSince.IsZero() && now.Sub(k.permitFailingSince) > maxPermitOutage {
		return true
	}
	if !k.permitInFlight && !now.Before(k.nextPermitRequest) {
		k.permitInFlight = true
		go k.fetchPermit()
	}
	return false
}

func (k *Keeper) fetchPermit() {
	k.mutex.Lock()
	ctx, cancel := context.WithTimeout(k.runContext, permitTimeout)
	k.mutex.Unlock()
	defer cancel()
	wait, err := k.RequestPermit(ctx)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := time.Now()
	k.permitInFlight = false
	if err != nil {
		if k.permitFailingSince.IsZero() {
			k.permitFailingSince = now
		}
		k.nextPermitRequest = now.Add(permitRetryDelay)
		k.Host.Log.Write("leave-not-known", "since", k.permitFailingSince, "err", err)
		return
	}
	k.permitFailingSince, k.permitGranted = time.Time{}, wait == 0
	k.nextPermitRequest = now.Add(wait)
	k.changed.Set()
}

// modelToLoad returns the model that most requests wait for, or the first; of
// an engine that is not configured yet, the first of which there is a copy.
func (k *Keeper) modelToLoad(engine *conf.Engine) string {
	if engine == nil || len(engine.Models) == 0 {
		if len(k.lastReport.Cached) == 0 {
			return ""
		}
		return k.lastReport.Cached[0]
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

// estimateModelLoad estimates how long a base model on its way still takes. One that
// takes longer than usual shares the store with others: what it has taken
// tells more than the usual time, and half of that is what remains when two
// more load beside it.
func (k *Keeper) estimateModelLoad(now time.Time) time.Duration {
	engine := k.EngineConfig()
	if engine == nil || len(engine.Models) == 0 {
		return modelLoadExpiry
	}
	usual, taken := engine.Models[0].Load.Std(), now.Sub(k.modelLoadStart)
	if k.modelLoadStart.IsZero() {
		return usual
	}
	if taken < usual {
		return max(usual-taken, usual/4)
	}
	return taken / 2
}

// execute sends one order and notes what became of it.
func (k *Keeper) execute(order *Order, next *lora.Order) {
	order.Endpoint = k.Endpoint()
	k.mutex.Lock()
	order.ExpectedSeq = k.nextSeq
	ctx, cancel := context.WithTimeout(k.runContext, orderTimeout)
	k.mutex.Unlock()
	defer cancel()
	outcome, err := k.SendOrder(ctx, order)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.orderInFlight, k.seqKnown, k.lastAnswer = false, false, time.Now()
	k.Host.Meter.Add("orders", 1)
	k.Host.Log.Write("engine-ordered", "load", order.Load, "model", order.Model, "adapter", order.Adapter, "version", order.Version,
		"expected", order.ExpectedSeq, "outcome", outcome, "err", err)
	switch {
	case err != nil && next != nil:
		k.adapters.Unanswered(*next)
	case err != nil:
		k.modelLoadStart = time.Time{}
	case outcome == OutcomeAccepted:
		k.nextSeq, k.seqKnown = order.ExpectedSeq+1, true
		if next != nil {
			k.adapters.Accepted(*next)
		}
	case outcome == OutcomeRefused && next != nil:
		k.adapters.Refused(*next)
	case outcome == OutcomeRefused:
		k.modelLoadStart = time.Time{}
	}
	k.pollSoon.Set()
	k.changed.Set()
}
