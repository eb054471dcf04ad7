package keeper

import (
	"errors"
	"net"
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/lora"
)

const (
	// typicalSilence is how long engines are silent that then continue.
	typicalSilence = time.Second
	// minSilenceRemaining is how much of a silence is always assumed to remain, because it may
	// take longer than typicalSilence.
	minSilenceRemaining = typicalSilence / 4
	// maxUnansweredReports is how many requests for a report in a row may time out before the
	// engine counts as down: two seconds of reportTimeout. Callers wait four seconds for data, of
	// which half remains for another engine. The timeouts are counted because an agent that was
	// suspended beside its engine also finds its request overdue.
	maxUnansweredReports = 5
)

// isUnanswered reports whether an exchange failed because nothing arrived in time. Such an
// engine may continue, whereas one that refuses or resets connections has ended.
func isUnanswered(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// reportRequested records that a report is requested.
func (k *Keeper) reportRequested(now time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.unansweredSince.IsZero() {
		k.unansweredSince = now
	}
}

// silence returns for how long the engine has not answered requests for a report. The mutex is
// held.
func (k *Keeper) silence(now time.Time) time.Duration {
	if k.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(k.unansweredSince)
}

// silent reports whether the engine counts as silent. A report that is merely slow does not show
// that: an agent that is short of processor time receives the reports of a sound engine late. The
// mutex is held.
func (k *Keeper) silent() bool { return k.unansweredReports > 0 }

// recordUnanswered records that a request for a report timed out. The mutex is held.
func (k *Keeper) recordUnanswered(err error, now time.Time) {
	if !k.silent() {
		k.admission.SetPrefill(k.enginePace.Outstanding(), now)
	}
	k.unansweredReports++
	if k.unansweredReports >= maxUnansweredReports {
		k.markDown(err)
	}
}

// holdWaiting keeps the requests waiting for a silent engine to continue, except those that
// could not be served in time afterwards. A request sent to a silent engine could no longer be
// moved to another one.
func (k *Keeper) holdWaiting(now time.Time) {
	var wanted []lora.Key
	remaining := max(typicalSilence-k.silence(now), minSilenceRemaining)
	for _, r := range k.admission.Waiting(now) {
		t, wait := k.tasks[r], remaining
		if k.lastReport != nil && !k.lastReport.hasModel(r.Spec.Model) && k.refuseWithoutModel(t, now) {
			continue
		}
		if r.Spec.Adapter != "" {
			if _, ready := k.adapters.Ready(t.adapter, r.Spec.MinVersion); !ready {
				wait += k.adapters.EstimateWait(t.adapter, wanted, now)
				wanted = append(wanted, t.adapter)
			}
		}
		k.refuseIfLate(t, wait, now)
	}
}

// markDown records that the engine counts as down. The mutex is held.
func (k *Keeper) markDown(err error) {
	if k.down {
		return
	}
	k.down = true
	k.Host.Log.Write("engine-down", "err", err)
	k.adapters.Clear()
	// The next answer may come from another process.
	k.notices.LeavingSince = time.Time{}
}
