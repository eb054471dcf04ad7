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
	k.mutex.Unlock()
	k.pollSoon.Set()
}

// remainingPause returns how much longer the engine wants no reports and orders.
func (k *Keeper) remainingPause() time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.notices.PauseLeft(time.Now())
}
