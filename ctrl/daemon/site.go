package daemon

import (
	"context"
	"errors"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// Replace commits a configuration that takes the place of any with a lower
// number and returns the newest number; one with an older or equal number is
// acknowledged and changes nothing. After an error the configuration may or
// may not have been accepted: submit it again.
func (d *Daemon) Replace(ctx context.Context, next *conf.Config) (newest uint64, err error) {
	d.prepare()
	if err := next.Check(); err != nil {
		return 0, &Error{Op: "check configuration", Kind: KindInvalid, Err: err}
	}
	if number := d.machine.Number(); next.Number <= number {
		return number, nil
	}
	result, err := d.propose(ctx, &state.Command{FullConfig: next})
	if err != nil {
		return 0, err
	}
	d.Host.Log.Write("configuration-replaced", "number", next.Number, "newest", result.Config.ConfigNumber)
	return result.Config.ConfigNumber, nil
}

// Announce commits what an endpoint says of itself; what is old or known
// already needs no commit.
func (d *Daemon) Announce(ctx context.Context, report *advert.Record) error {
	d.prepare()
	if err := report.Check(); err != nil {
		return &Error{Op: "check announcement", Kind: KindInvalid, Err: err}
	}
	if !d.machine.AcceptsAnnouncement(report) {
		return nil
	}
	_, err := d.propose(ctx, &state.Command{Announcements: []advert.Record{*report}})
	d.Host.Log.Write("endpoint-announced", "endpoint", report.Name, "service", report.Service, "address", report.Address,
		"leaving", report.Draining, "born", report.StartedMillis, "seq", report.Seq, "err", err)
	return err
}

// Depart commits that an endpoint has left. Born is 0 when the endpoint does
// not say which process of its name it was.
func (d *Daemon) Depart(ctx context.Context, name string, born int64) error {
	d.prepare()
	_, err := d.propose(ctx, &state.Command{Departures: []state.Departure{{Name: name, StartedMillis: born}}})
	d.Host.Log.Write("endpoint-departed", "endpoint", name, "born", born, "err", err)
	return err
}

// Release commits a version of an adapter that new requests run on.
func (d *Daemon) Release(ctx context.Context, named *plane.Release) error {
	d.prepare()
	if err := named.Check(); err != nil {
		return &Error{Op: "check release", Kind: KindInvalid, Err: err}
	}
	if d.machine.HasRelease(named) {
		return nil
	}
	_, err := d.propose(ctx, &state.Command{Release: named})
	d.Host.Log.Write("adapter-released", "model", named.Model, "adapter", named.Adapter, "version", named.Version, "err", err)
	return err
}

// serveSite carries out a call that came in on a VM without a replica.
func (d *Daemon) serveSite(ctx context.Context, stream *wire.Stream) error {
	ask := &plane.SiteRequest{}
	if err := stream.Receive(ask); err != nil {
		return err
	}
	reply, err := d.site(ctx, ask)
	if err != nil {
		reply.Refused, reply.Detail = plane.KindTimeout, err.Error()
		if errors.Is(err, &Error{Kind: KindInvalid}) {
			reply.Refused = plane.KindInvalid
		}
	}
	return stream.Send(reply)
}

func (d *Daemon) site(ctx context.Context, ask *plane.SiteRequest) (reply *plane.SiteReply, err error) {
	reply = &plane.SiteReply{}
	switch {
	case ask.Config != nil:
		reply.ConfigNumber, err = d.Replace(ctx, ask.Config)
	case ask.Announcement != nil:
		err = d.Announce(ctx, ask.Announcement)
	case ask.DepartedEndpoint != "":
		err = d.Depart(ctx, ask.DepartedEndpoint, ask.DepartedStartMillis)
	case ask.Release != nil:
		err = d.Release(ctx, ask.Release)
	default:
		reply.Config, _, err = d.Fetch(ctx)
	}
	return reply, err
}
