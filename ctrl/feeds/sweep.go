package feeds

import (
	"context"
	"time"
)

// sweepAll checks for unresponsive agents and peers each sweepInterval until ctx ends.
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
		f.detectPause(now, now.Sub(last))
		last = now
		if !settled && now.Sub(started) >= settleTime {
			settled = true
			f.completeRoster()
		}
		if replica := f.ReplicaID(); replica != 0 {
			f.Roster.StartCounter(replica)
		}
		f.countEngines()
		f.sweep(ctx, now)
	}
}

// detectPause restarts the listening period if the gap between two checks shows that the
// process was paused: heartbeats may have gone unprocessed in the meantime.
func (f *Feeds) detectPause(now time.Time, gap time.Duration) {
	if gap < agentTimeout/3 {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.listeningSince = now
}

// completeRoster marks the roster as complete: agents that it does not contain count as
// removed. Daemons that connected earlier with a roster from another replica are sent
// the roster again.
func (f *Feeds) completeRoster() {
	f.Roster.MarkComplete()
	for _, c := range f.allClients() {
		if len(c.hello.Vector) == 0 {
			continue
		}
		c.mutex.Lock()
		c.sentVector, c.rosterSynced = c.hello.Vector, false
		c.mutex.Unlock()
		notify(c.changed)
	}
}

// sweep removes agents that have been unresponsive for agentTimeout, adopts those of
// unresponsive replicas, and closes all feeds when there is no quorum.
func (f *Feeds) sweep(ctx context.Context, now time.Time) {
	f.mutex.Lock()
	sinceQuorum := now.Sub(f.lastQuorum)
	listened := now.Sub(f.listeningSince)
	f.dropExpiredHolders(now)
	f.mutex.Unlock()
	if sinceQuorum >= quorumTimeout {
		f.probe(ctx)
		return
	}
	if sinceQuorum >= probeDelay {
		f.probe(ctx)
	}
	if listened < agentTimeout+sweepInterval {
		return
	}
	f.adoptAgents(now)
	expired := f.Roster.Expire(f.ReplicaID(), agentTimeout)
	if len(expired) > 0 {
		f.handleLost(expired)
	}
}

// probe runs a quorum round that no heartbeat requires, and closes all feeds when rounds
// have failed for quorumTimeout.
func (f *Feeds) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout/2)
	defer cancel()
	_, err := f.barriers.do(ctx, struct{}{})
	if err == nil {
		return
	}
	f.mutex.Lock()
	noQuorum := time.Since(f.lastQuorum) >= quorumTimeout
	f.mutex.Unlock()
	if noQuorum {
		f.closeAll()
	}
}

// countEngines updates the number of engines that may share the load budget.
func (f *Feeds) countEngines() {
	var live []string
	for _, record := range f.Roster.All() {
		if record.Model != "" {
			live = append(live, record.Agent)
		}
	}
	now := time.Now()
	f.liveEngines.observe(live, now)
	f.engineCount.Store(int32(f.liveEngines.count(now)))
	f.Host.Meter.Set("engines", int64(len(live)))
	f.Host.Meter.Set("feeds", int64(len(f.allClients())))
}

// notify sends a signal unless one is already pending.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
