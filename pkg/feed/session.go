package feed

import (
	"context"
	"errors"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// beat sends heartbeats until the stream fails, the replica does not renew
// the lease in time, or ctx ends.
func (t *turn) beat(ctx context.Context) error {
	overdue := time.NewTimer(renewLimit)
	defer overdue.Stop()
	next := time.NewTimer(0)
	defer next.Stop()
	var sent time.Time
	for {
		select {
		case <-ctx.Done():
			t.farewell()
			return nil
		case err := <-t.failed:
			return err
		case <-t.renewed:
			overdue.Reset(renewLimit)
		case <-overdue.C:
			t.feed.Uplink.SwitchReplica()
			return &Error{Op: "renew lease", Kind: KindNotRenewed}
		case <-t.feed.nudge.C():
			next.Reset(max(beatLeast-time.Since(sent), 0))
		case <-next.C:
			if err := t.send(false); err != nil {
				return err
			}
			sent = time.Now()
			next.Reset(beatInterval)
		}
	}
}

func (t *turn) send(bye bool) error {
	f := t.feed
	t.seq++
	beat := &plane.Heartbeat{
		Seq:          t.seq,
		ConfigNumber: f.number(),
		BansRevision: f.bansRevision(),
		BurnCounts:   f.burn.take(t.seq),
		Departing:    bye,
	}
	f.suspect.add(beat)
	f.lease.Sent(t.seq)
	return t.stream.Send(beat)
}

// farewell gives the lease back and waits for the answer.
func (t *turn) farewell() {
	if t.send(true) != nil {
		return
	}
	timer := time.NewTimer(byeTimeout)
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

func (t *turn) receive() {
	for {
		var update plane.Update
		if err := t.stream.Receive(&update); err != nil {
			t.failed <- err
			return
		}
		t.answered.Store(true)
		if err := t.take(&update); err != nil {
			t.failed <- err
			return
		}
	}
}

// take applies an update. The lease is renewed only after the configuration
// that it is given for.
func (t *turn) take(update *plane.Update) error {
	f := t.feed
	if update.Superseded {
		return &Error{Op: "receive update", Kind: KindSuperseded}
	}
	if update.Config != nil && update.Config.To > f.number() {
		if err := f.apply(update); err != nil {
			return err
		}
	}
	if update.Roster != nil {
		changed := f.roster.Merge(update.Roster)
		if len(changed) > 0 && f.OnRoster != nil {
			f.OnRoster(changed)
		}
	}
	f.takeSite(update)
	if update.BansRevision != 0 && update.BansRevision != f.bansRevision() {
		f.ban(update)
	}
	if update.Seq == 0 {
		return nil
	}
	f.burn.confirm(update.Seq)
	f.suspect.confirm(update.Seq)
	if update.Lease > 0 && f.number() >= update.ConfigNumber {
		f.lease.Renew(update.Seq, update.Lease.Std())
		t.note(update.Seq)
	}
	if update.Lease == 0 && f.number() >= update.ConfigNumber {
		f.Host.Meter.Add("beats_not_renewed", 1)
	}
	return nil
}

// takeSite applies what an update says of endpoints, releases and control
// itself.
func (f *Feed) takeSite(update *plane.Update) {
	if len(update.Replicas) > 0 {
		f.Uplink.UpdateReplicas(update.Replicas)
	}
	if update.EntryCount > 0 && f.entries.Swap(update.EntryCount) != update.EntryCount {
		f.Host.Log.Write("entries-known", "entries", update.EntryCount)
	}
	if update.EndpointsRevision == 0 {
		return
	}
	f.census.Merge(update.Endpoints)
	f.changes.Store(update.EndpointsRevision)
	if len(update.Endpoints) > 0 && f.OnEndpoints != nil {
		f.OnEndpoints(f.census.Available())
	}
	if len(update.Releases) > 0 && f.OnRelease != nil {
		f.OnRelease(update.Releases)
	}
}

func (t *turn) note(seq uint64) {
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

func (f *Feed) apply(update *plane.Update) error {
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
	f.soon()
	return nil
}

func (f *Feed) ban(update *plane.Update) {
	now := time.Now()
	all := &bans{revision: update.BansRevision, byDigest: make(map[string]ban, len(update.Bans))}
	for _, b := range update.Bans {
		all.byDigest[string(b.Digest)] = ban{suspect: b.Suspect, until: now.Add(b.Remaining.Std())}
	}
	f.bans.Store(all)
	f.Host.Log.Write("quarantine", "revision", update.BansRevision, "requests", len(update.Bans))
	f.soon()
}

func superseded(err error) bool {
	return errors.Is(err, &Error{Kind: KindSuperseded})
}
