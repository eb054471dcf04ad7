package feed

import (
	"context"
	"errors"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// sendHeartbeats sends heartbeats until the stream fails, the replica does not renew
// the lease in time, or ctx ends.
func (t *session) sendHeartbeats(ctx context.Context) error {
	overdue := time.NewTimer(renewTimeout)
	defer overdue.Stop()
	next := time.NewTimer(0)
	defer next.Stop()
	var sent time.Time
	for {
		select {
		case <-ctx.Done():
			t.depart()
			return nil
		case err := <-t.failed:
			return err
		case <-t.renewed:
			overdue.Reset(renewTimeout)
		case <-overdue.C:
			t.feed.Uplink.SwitchReplica()
			return &Error{Op: "renew lease", Kind: KindNotRenewed}
		case <-t.feed.heartbeatDue.C():
			next.Reset(max(minHeartbeatGap-time.Since(sent), 0))
		case <-next.C:
			if err := t.send(false); err != nil {
				return err
			}
			sent = time.Now()
			next.Reset(heartbeatInterval)
		}
	}
}

func (t *session) send(bye bool) error {
	f := t.feed
	t.seq++
	beat := &plane.Heartbeat{
		Seq:          t.seq,
		ConfigNumber: f.configNumber(),
		BansRevision: f.quarantineRevision(),
		BurnCounts:   f.burn.takePending(t.seq),
		Departing:    bye,
	}
	f.suspectReports.attach(beat)
	f.lease.Sent(t.seq)
	return t.stream.Send(beat)
}

// depart gives the lease back and waits for the answer.
func (t *session) depart() {
	if t.send(true) != nil {
		return
	}
	timer := time.NewTimer(departTimeout)
	defer timer.Stop()
	for {
		select {
		case seq := <-t.renewed:
			if seq >= t.seq {
				return
			}
		case <-t.failed:
			return
		case <-timer.C:
			return
		}
	}
}

func (t *session) receive() {
	for {
		var update plane.Update
		if err := t.stream.Receive(&update); err != nil {
			t.failed <- err
			return
		}
		t.answered.Store(true)
		if err := t.handle(&update); err != nil {
			t.failed <- err
			return
		}
	}
}

// handle applies an update. The lease is renewed only after the configuration
// that it is given for.
func (t *session) handle(update *plane.Update) error {
	f := t.feed
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
		t.signalRenewed(update.Seq)
	}
	if update.Lease == 0 && f.configNumber() >= update.ConfigNumber {
		f.Host.Meter.Add("beats_not_renewed", 1)
	}
	return nil
}

// applyEndpoints applies what an update says of endpoints, releases and control
// itself.
func (f *Feed) applyEndpoints(update *plane.Update) {
	if len(update.Replicas) > 0 {
		f.Uplink.UpdateReplicas(update.Replicas)
	}
	if update.EntryCount > 0 && f.entryCount.Swap(update.EntryCount) != update.EntryCount {
		f.Host.Log.Write("entries-known", "entries", update.EntryCount)
	}
	if update.EndpointsRevision == 0 {
		return
	}
	f.endpoints.Merge(update.Endpoints)
	f.endpointsRevision.Store(update.EndpointsRevision)
	if len(update.Endpoints) > 0 && f.OnEndpoints != nil {
		f.OnEndpoints(f.endpoints.Available())
	}
	if len(update.Releases) > 0 && f.OnRelease != nil {
		f.OnRelease(update.Releases)
	}
}

func (t *session) signalRenewed(seq uint64) {
	for {
		select {
		case t.renewed <- seq:
			return
		default:
		}
		select {
		case <-t.renewed:
		default:
		}
	}
}

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

func (f *Feed) setQuarantine(update *plane.Update) {
	now := time.Now()
	all := &quarantine{revision: update.BansRevision, byDigest: make(map[string]quarantineEntry, len(update.Bans))}
	for _, b := range update.Bans {
		all.byDigest[string(b.Digest)] = quarantineEntry{suspect: b.Suspect, until: now.Add(b.Remaining.Std())}
	}
	f.quarantine.Store(all)
	f.Host.Log.Write("quarantine", "revision", update.BansRevision, "requests", len(update.Bans))
	f.requestHeartbeat()
}

func isSuperseded(err error) bool {
	return errors.Is(err, &Error{Kind: KindSuperseded})
}
