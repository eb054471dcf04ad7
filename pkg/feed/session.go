package feed

import (
	"context"
	"errors"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// sendHeartbeats sends heartbeats until the stream fails, the replica does not
// renew the lease in time, or ctx ends. When ctx ends it gives the lease back.
func (s *session) sendHeartbeats(ctx context.Context) error {
	overdue := time.NewTimer(renewTimeout)
	defer overdue.Stop()
	next := time.NewTimer(0)
	defer next.Stop()
	var sent time.Time
	for {
		select {
		case <-ctx.Done():
			s.depart()
			return nil
		case err := <-s.failed:
			return err
		case <-s.renewed:
			overdue.Reset(renewTimeout)
		case <-overdue.C:
			s.feed.Uplink.SwitchReplica()
			return &Error{Op: "renew lease", Kind: KindNotRenewed}
		case <-s.feed.heartbeatDue.C():
			next.Reset(max(minHeartbeatGap-time.Since(sent), 0))
		case <-next.C:
			if err := s.send(false); err != nil {
				return err
			}
			sent = time.Now()
			next.Reset(heartbeatInterval)
		}
	}
}

// send sends one heartbeat. departing gives the lease back.
func (s *session) send(departing bool) error {
	f := s.feed
	s.seq++
	heartbeat := &plane.Heartbeat{
		Seq:          s.seq,
		ConfigNumber: f.configNumber(),
		BansRevision: f.quarantineRevision(),
		BurnCounts:   f.burn.takePending(s.seq),
		Departing:    departing,
	}
	if f.Limits != nil {
		heartbeat.Limits = f.Limits()
	}
	f.suspectReports.attach(heartbeat)
	f.lease.Sent(s.seq)
	f.confirmations.send()
	return s.stream.Send(heartbeat)
}

// depart gives the lease back. It then waits, for at most departTimeout, until
// control has answered or closed the stream.
func (s *session) depart() {
	if s.send(true) != nil {
		return
	}
	timer := time.NewTimer(departTimeout)
	defer timer.Stop()
	for {
		select {
		case seq := <-s.renewed:
			if seq >= s.seq {
				return
			}
		case <-s.failed:
			return
		case <-timer.C:
			return
		}
	}
}

// receive handles updates until the stream or one of them fails.
func (s *session) receive() {
	for {
		var update plane.Update
		if err := s.stream.Receive(&update); err != nil {
			s.failed <- err
			return
		}
		s.answered.Store(true)
		if err := s.handle(&update); err != nil {
			s.failed <- err
			return
		}
	}
}

// handle applies an update. The lease is granted for the newest committed
// configuration, so it is renewed only after that configuration has been applied.
func (s *session) handle(update *plane.Update) error {
	f := s.feed
	if update.Superseded {
		return &Error{Op: "receive update", Kind: KindSuperseded}
	}
	if update.Config != nil && update.Config.To > f.configNumber() {
		if err := f.applyConfig(update); err != nil {
			return err
		}
	}
	if update.Roster != nil {
		changed := f.roster.Merge(update.Roster)
		if len(changed) > 0 && f.OnRoster != nil {
			f.OnRoster(changed)
		}
	}
	f.applyEndpoints(update)
	if len(update.Limits) > 0 && f.OnLimits != nil {
		f.OnLimits(update.Limits)
	}
	if update.BansRevision != 0 && update.BansRevision != f.quarantineRevision() {
		f.setQuarantine(update)
	}
	if update.Seq == 0 {
		return nil
	}
	f.burn.confirm(update.Seq)
	f.suspectReports.confirm(update.Seq)
	if update.Lease > 0 && f.configNumber() >= update.ConfigNumber {
		f.lease.Renew(update.Seq, update.Lease.Std())
		f.outage.Renewed()
		f.confirmations.confirm(s.sentBefore + update.Seq)
		s.signalRenewed(update.Seq)
	}
	if update.Lease == 0 && f.configNumber() >= update.ConfigNumber {
		f.Host.Meter.Add("beats_not_renewed", 1)
	}
	return nil
}

// applyEndpoints applies the parts of an update about endpoints, releases, the
// control replicas and the number of entries.
func (f *Feed) applyEndpoints(update *plane.Update) {
	if len(update.Replicas) > 0 {
		f.Uplink.UpdateReplicas(plane.ReplicaList{Addresses: update.Replicas, Index: update.ReplicasIndex})
	}
	if update.EntryCount > 0 && f.entryCount.Swap(update.EntryCount) != update.EntryCount {
		f.Host.Log.Write("entries-known", "entries", update.EntryCount)
	}
	if update.EntryRank > 0 {
		f.position.Store(&position{index: int(update.EntryRank - 1), count: int(update.EntryListed)})
	}
	if update.EndpointsRevision == 0 {
		return
	}
	f.endpoints.Merge(update.Endpoints)
	if len(update.Endpoints) > 0 && f.OnEndpointRecords != nil {
		f.OnEndpointRecords(update.Endpoints)
	}
	f.endpointsRevision.Store(update.EndpointsRevision)
	if len(update.Endpoints) > 0 && f.OnEndpoints != nil {
		f.OnEndpoints(f.endpoints.Available())
	}
	if len(update.Releases) > 0 && f.OnRelease != nil {
		f.OnRelease(update.Releases)
	}
}

// signalRenewed passes on the number of the last renewed heartbeat. It replaces a
// number that has not been read yet, so that it never blocks.
func (s *session) signalRenewed(seq uint64) {
	for {
		select {
		case s.renewed <- seq:
			return
		default:
		}
		select {
		case <-s.renewed:
		default:
		}
	}
}

// applyConfig puts the configuration of an update in force.
func (f *Feed) applyConfig(update *plane.Update) error {
	next, err := f.config.Load().Apply(update.Config)
	if err != nil {
		return &Error{Op: "apply configuration", Kind: KindDelta, Err: err}
	}
	f.config.Store(next)
	f.Host.Log.Write("configuration", "number", next.Number)
	f.Host.Meter.Set("configuration", int64(next.Number))
	if f.OnConfig != nil {
		f.OnConfig(next)
	}
	f.requestHeartbeat()
	return nil
}

// setQuarantine replaces the quarantine by that of an update.
func (f *Feed) setQuarantine(update *plane.Update) {
	now := time.Now()
	all := &quarantine{revision: update.BansRevision, byDigest: make(map[string]quarantineEntry, len(update.Bans))}
	for _, b := range update.Bans {
		listed := quarantineEntry{suspect: b.Suspect, begun: b.Begun, until: now.Add(b.Remaining.Std())}
		if known, ok := all.byDigest[string(b.Digest)]; ok {
			listed = known.merge(listed)
		}
		all.byDigest[string(b.Digest)] = listed
	}
	f.quarantine.Store(all)
	f.signalQuarantine()
	f.Host.Log.Write("quarantine", "revision", update.BansRevision, "requests", len(update.Bans))
	f.requestHeartbeat()
}

func isSuperseded(err error) bool {
	return errors.Is(err, &Error{Kind: KindSuperseded})
}
