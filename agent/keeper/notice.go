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
	now := time.Now()
	if notice.Malformed != "" {
		k.Host.Meter.Add("notices_malformed", 1)
	}
	switch {
	case notice.Leaving && k.leavingSince.IsZero():
		k.leavingSince = now
		k.Host.Log.Write("engine-notice", "status", notice.Status, "leaving", true, "pause", notice.Pause)
		k.changed.Set()
	case !notice.Leaving && sent.After(k.leavingSince):
		k.leavingSince = time.Time{}
	}
	if until := now.Add(notice.Pause); notice.Pause > 0 && until.After(k.pausedUntil) {
		k.pausedUntil = until
		k.Host.Log.Write("engine-notice", "status", notice.Status, "leaving", notice.Leaving, "pause", notice.Pause)
	}
}

// ForgetNotices forgets what the engine said, because another process has taken its place.
func (k *Keeper) ForgetNotices() {
	k.mutex.Lock()
	k.forgetNotices()
	k.mutex.Unlock()
	k.pollSoon.Set()
}

// forgetNotices forgets what an earlier process of the engine said. The mutex is held.
func (k *Keeper) forgetNotices() { k.leavingSince, k.pausedUntil = time.Time{}, time.Time{} }

// remainingPause is pauseLeft without the mutex held.
func (k *Keeper) remainingPause() time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.pauseLeft(time.Now())
}

// pauseLeft returns how much longer the engine wants no reports and orders. The mutex is
// held.
func (k *Keeper) pauseLeft(now time.Time) time.Duration { return max(k.pausedUntil.Sub(now), 0) }
