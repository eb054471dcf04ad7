package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/lora"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
)

const (
	// orderTimeout bounds one order. The engine is on the same VM and answers within 1 to 2
	// ms. An unanswered order is sent again; if the engine has accepted the first one, it
	// refuses the second by its sequence number.
	orderTimeout = 80 * time.Millisecond
	// permitTimeout bounds one permit request, and permitRetryDelay is the delay after a failed
	// one. A permit is control's permission to load a base model from the weight store, whose
	// throughput all engines' loads share. When permit requests have failed for maxPermitOutage, the load starts without a
	// permit. An election in control takes half a second, a network partition lasts seconds.
	permitTimeout = time.Second
	// A permit is valid for permitLifetime from its request.
	permitRetryDelay = 200 * time.Millisecond
	permitLifetime   = time.Second
	maxPermitOutage  = 4 * time.Second
	// permitRequest is the number of the one request of a permit's lease.
	permitRequest = 1
	// modelLoadExpiry is how long an ordered load of a base model counts as in progress
	// without an effect. A load takes 2.9 s, longer when several engines load at once.
	modelLoadExpiry = 12 * time.Second
)

// pollReports fetches the engine's reports until ctx ends.
func (k *Keeper) pollReports(ctx context.Context) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, reportTimeout)
		requested := time.Now()
		k.reportRequested(requested)
		report, err := k.FetchReport(limited)
		cancel()
		if ctx.Err() != nil {
			return
		}
		interval := max(k.applyReport(report, err, requested), k.remainingPause())
		k.changed.Set()
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-k.pollSoon.C():
			pause.For(ctx, max(busyReportInterval/2, k.remainingPause()))
		}
		timer.Stop()
	}
}

// applyReport applies a report, or the failure to get one. requested is when the report was
// requested: a report requested before the last order ended does not set the sequence number.
// It returns the time until the next report.
func (k *Keeper) applyReport(report *Report, err error, requested time.Time) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := time.Now()
	if isUnanswered(err) {
		k.recordUnanswered(err, now)
		return busyReportInterval
	}
	silence, wasSilent := k.silence(now), k.silent()
	k.unansweredReports, k.unansweredSince = 0, time.Time{}
	if err != nil {
		k.failedReports++
		if k.failedReports >= maxFailedReports {
			k.markDown(err)
		}
		return idleReportInterval
	}
	if silence > reportTimeout {
		k.Host.Log.Write("engine-continued", "silence", silence)
		k.adapters.Skip(silence, now)
	}
	if k.down {
		k.Host.Log.Write("engine-up", "born", report.StartedMillis, "models", len(report.Models), "adapters", len(report.Adapters))
	}
	k.failedReports, k.down = 0, false
	if k.lastReport != nil && (report.StartedMillis != k.lastReport.StartedMillis || report.Seq < k.lastReport.Seq) {
		k.Host.Log.Write("engine-restarted", "born", report.StartedMillis, "seq", report.Seq, "former_born", k.lastReport.StartedMillis, "former_seq", k.lastReport.Seq)
		k.adapters.Clear()
		k.modelLoadStart = time.Time{}
		k.notices = advert.Notices{}
		k.enginePace.Reset()
	}
	k.lastReport = report
	k.observePace(report, now)
	if wasSilent {
		k.admission.SetPrefill(k.enginePace.Outstanding(), now)
	}
	if !k.orderInFlight && !requested.Before(k.lastAnswer) {
		k.nextSeq, k.seqKnown = report.Seq, true
	}
	k.adapters.Sync(report.Adapters, now)
	if len(report.Models) > 0 || now.Sub(k.modelLoadStart) > modelLoadExpiry {
		k.modelLoadStart = time.Time{}
	}
	if k.adapters.LoadsInFlight() > 0 || report.Busy || !k.modelLoadStart.IsZero() {
		return busyReportInterval
	}
	if len(report.Runs) > 0 && (now.Sub(k.slowAt) < slowRetention || !k.enginePace.Known()) {
		return slowReportInterval
	}
	return idleReportInterval
}

// observePace takes in the progress of the running requests.
func (k *Keeper) observePace(report *Report, now time.Time) {
	k.enginePace.Observe(report.Runs, now)
	if k.enginePace.Pace(now).Slowdown > 1 {
		k.slowAt = now
	}
}

// startNextOrder sends the engine its next order unless one is in flight. The engine accepts an
// order only with the number of orders that it has accepted since its start. After an order
// that was not accepted or not answered, that number is unknown until the next report, and no
// order is sent. The mutex is held.
func (k *Keeper) startNextOrder(wanted []lora.Key, now time.Time) {
	if k.orderInFlight || !k.seqKnown || k.notices.PauseLeft(now) > 0 {
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

// modelLoadOrder returns the order that loads a base model into an empty engine. A copy on the
// engine's VM is loaded at once and without a permit, even before the configuration is known:
// after a power failure all engines start empty, and loading them one by one at the store's
// rate would take seconds in which most requests are refused.
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
		k.permit = nil
	}
	return &Order{Load: true, Model: model}, true
}

// mayLoadModel reports whether a base model may be loaded from the weight store, and requests
// a permit if none was granted. An agent that gets no answer from control loads the model
// after maxPermitOutage, because an engine without a model serves no requests.
func (k *Keeper) mayLoadModel(now time.Time) bool {
	if k.RequestPermit == nil || k.permit != nil && k.permit.Valid() {
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

// fetchPermit requests a permit and records the answer.
func (k *Keeper) fetchPermit() {
	k.mutex.Lock()
	ctx, cancel := context.WithTimeout(k.runContext, permitTimeout)
	permit := &lease.Lease{BootTime: k.BootTime}
	permit.Sent(permitRequest)
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
	k.permitFailingSince, k.nextPermitRequest = time.Time{}, now.Add(wait)
	if wait == 0 {
		permit.Renew(permitRequest, permitLifetime)
		k.permit = permit
	}
	k.changed.Set()
}

// modelToLoad returns the configured model for which most requests wait, by default the first
// one. For an engine without a configuration it returns the first model of which the VM has a
// copy.
func (k *Keeper) modelToLoad(engine *conf.Engine) string {
	if engine == nil || len(engine.Models) == 0 {
		if len(k.lastReport.Cached) == 0 {
			return ""
		}
		return k.lastReport.Cached[0]
	}
	waiting := map[string]int{}
	for r := range k.tasks {
		waiting[r.Spec.Model]++
	}
	chosen := engine.Models[0].Name
	for _, model := range engine.Models {
		if waiting[model.Name] > waiting[chosen] {
			chosen = model.Name
		}
	}
	return chosen
}

// estimateModelLoad estimates how long the load of a base model still takes. At least a quarter
// of the configured time counts as remaining, because a load may take longer than configured.
// A load that exceeds its configured time shares the weight store with other loads, and the
// elapsed time is then a better basis than the configured one. Its estimate is half of the
// elapsed time, which is what remains when two other engines load at the same time.
func (k *Keeper) estimateModelLoad(now time.Time) time.Duration {
	engine := k.EngineConfig()
	if engine == nil || len(engine.Models) == 0 {
		return modelLoadExpiry
	}
	usual, elapsed := engine.Models[0].LoadTime.Std(), now.Sub(k.modelLoadStart)
	if k.modelLoadStart.IsZero() {
		return usual
	}
	if elapsed < usual {
		return max(usual-elapsed, usual/4)
	}
	return elapsed / 2
}

// execute sends one order and records its outcome. adapterOrder is the adapter cache's form of
// the order; nil for a base model.
func (k *Keeper) execute(order *Order, adapterOrder *lora.Order) {
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
	case err != nil && adapterOrder != nil:
		k.adapters.Unanswered(*adapterOrder)
	case err != nil:
		k.modelLoadStart = time.Time{}
	case outcome == OutcomeAccepted:
		k.nextSeq, k.seqKnown = order.ExpectedSeq+1, true
		if adapterOrder != nil {
			k.adapters.Accepted(*adapterOrder)
		}
	case outcome == OutcomeRefused && adapterOrder != nil:
		k.adapters.Refused(*adapterOrder)
	case outcome == OutcomeRefused:
		k.modelLoadStart = time.Time{}
	}
	k.pollSoon.Set()
	k.changed.Set()
}
