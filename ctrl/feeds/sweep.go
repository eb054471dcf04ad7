package feeds

import (
	"context"
	"time"
)

// sweepAll looks for silent agents and peers until ctx ends.
func (f *Feeds) sweepAll(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	last, settled := time.Now(), false
	started := last
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		f.noticePause(now, now.Sub(last))
		last = now
		if !settled && now.Sub(started) >= settleTime {
			settled = true
			f.settle()
		}
		if replica := f.ReplicaID(); replica != 0 {
			f.Roster.StartCounter(replica)
		}
		f.countEngines()
		f.sweep(ctx, now)
	}
}

// noticePause restarts the listening time after the process stood still:
// agents may have been heard by nobody here meanwhile.
func (f *Feeds) noticePause(now time.Time, gap time.Duration) {
	if gap < silence/3 {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.listening = now
}

// settle lets the roster speak for agents that it does not know, also to
// daemons that joined before with a roster from elsewhere.
func (f *Feeds) settle() {
	f.Roster.MarkComplete()
	for _, m := range f.all() {
		if len(m.hello.Vector) == 0 {
			continue
		}
		m.mutex.Lock()
		m.vector, m.followed = m.hello.Vector, false
		m.mutex.Unlock()
		notify(m.news)
	}
}

// sweep removes agents that this replica has not heard for too long, adopts
// those of silent replicas, and closes the feeds when there is no quorum.
func (f *Feeds) sweep(ctx context.Context, now time.Time) {
	f.mutex.Lock()
	deaf := now.Sub(f.proved)
	listened := now.Sub(f.listening)
	f.dropHolders(now)
	f.mutex.Unlock()
	if deaf >= deafAfter {
		f.probe(ctx)
		return
	}
	if deaf >= probeAfter {
		f.probe(ctx)
	}
	if listened < silence+sweepInterval {
		return
	}
	f.adopt(now)
	gone := f.Roster.Expire(f.ReplicaID(), silence)
	if len(gone) > 0 {
		f.bury(gone)
	}
}

// probe makes a quorum round although no beat asks for one, and closes the
// feeds when rounds keep failing.
func (f *Feeds) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout/2)
	defer cancel()
	_, err := f.barriers.do(ctx, struct{}{})
	if err == nil {
		return
	}
	f.mutex.Lock()
	deaf := time.Since(f.proved) >= deafAfter
	f.mutex.Unlock()
	if deaf {
		f.closeAll()
	}
}

// countEngines counts the engines that may share the load budget.
func (f *Feeds) countEngines() {
	var live []string
	for _, record := range f.Roster.All() {
		if record.Model != "" {
			live = append(live, record.Agent)
		}
	}
	now := time.Now()
	f.loading.note(live, now)
	f.engines.Store(int32(f.loading.count(now)))
	f.Host.Meter.Set("engines", int64(len(live)))
	f.Host.Meter.Set("feeds", int64(len(f.all())))
}

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
