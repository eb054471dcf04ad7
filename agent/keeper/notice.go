package keeper

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
)

// RecordNotice records what the engine said of itself in an answer to a report or an
// order that was sent at the given time. An engine that is leaving gets no more requests
// from any entry. A pause holds this VM's own reports and orders back; entries keep the
// pauses that the engine asks of them.
func (k *Keeper) RecordNotice(notice advert.Notice, sent time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if notice.Malformed != "" {
		k.Host.Meter.Add("notices_malformed", 1)
	}
	if !notice.Limited {
		// Answers to reports and orders need not name the limit for requests, so that its
		// absence does not end the limit.
		notice.LimitUnreadable = true
	}
	if k.notices.Record(notice, sent, time.Now()) {
		k.Host.Log.Write("engine-notice", "status", notice.Status, "leaving", notice.Leaving, "pause", notice.Pause,
			"limited", notice.Limited, "limit", notice.RequestsPerSecond)
		k.changed.Set()
	}
}

// ForgetNotices forgets what the engine said, because another process has taken its place.
func (k *Keeper) ForgetNotices() {
	k.mutex.Lock()
	k.notices = advert.Notices{}
	k.pacer.Unlimit()
	k.mutex.Unlock()
	k.pollSoon.Set()
}

// remainingPause returns how much longer the engine wants no reports and orders.
func (k *Keeper) remainingPause() time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.notices.PauseLeft(time.Now())
}

// mergeLimit takes in what the engine said of its limit to an entry. k.mutex must be held.
func (k *Keeper) mergeLimit(stated *advert.LimitReport, now time.Time) {
	if stated == nil {
		return
	}
	if r := k.lastReport; r != nil && !k.down && r.StartedMillis != 0 && stated.StartedMillis != r.StartedMillis {
		// Another process of the engine said so.
		return
	}
	limit := stated.Limit(now)
	if k.notices.Limit.Merge(limit) {
		k.Host.Log.Write("engine-limit", "limited", limit.Named, "limit", limit.RequestsPerSecond, "age", stated.ArrivedAgo)
	}
}

// applyLimit brings the pacer to the engine's limit. All requests for the engine pass this
// agent, so the whole limit is its own.
func (k *Keeper) applyLimit(now time.Time) {
	limit := &k.notices.Limit
	if !limit.Named {
		k.pacer.Unlimit()
		return
	}
	k.pacer.Limit(limit.RequestsPerSecond, 0, 1, now)
}
