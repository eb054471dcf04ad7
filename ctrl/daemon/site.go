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

// Replace commits a configuration that replaces any with a lower number, and returns the newest
// committed number. A configuration whose number is not higher than the committed one is
// acknowledged without a change. After an error the configuration may or may not have been
// accepted: submit it again.
func (d *Daemon) Replace(ctx context.Context, next *conf.Config) (newest uint64, err error) {
	d.prepare()
	if err := next.Check(); err != nil {
		return 0, &Error{Op: "check configuration", Kind: KindInvalid, Err: err}
	}
	if number := d.machine.Number(); next.Number <= number {
		return number, nil
	}
	result, err := d.proposeAgain(ctx, &state.Command{FullConfig: next})
	if err != nil {
		return 0, err
	}
	d.Host.Log.Write("configuration-replaced", "number", next.Number, "newest", result.Config.ConfigNumber)
	return result.Config.ConfigNumber, nil
}

// Announce commits an endpoint's announcement of itself. An outdated or already known
// announcement needs no commit.
func (d *Daemon) Announce(ctx context.Context, report *advert.Record) error {
	d.prepare()
	if err := report.Check(); err != nil {
		return &Error{Op: "check announcement", Kind: KindInvalid, Err: err}
	}
	if !d.machine.AcceptsAnnouncement(report) {
		return nil
	}
	_, err := d.proposeAgain(ctx, &state.Command{Announcements: []advert.Record{*report}})
	d.Host.Log.Write("endpoint-announced", "endpoint", report.Name, "service", report.Service, "address", report.Address,
		"leaving", report.Draining, "born", report.StartedMillis, "seq", report.Seq, "deferred", d.machine.DefersAnnouncement(report), "err", err)
	return err
}

// Depart commits the departure of an endpoint. The start time born, in milliseconds, identifies
// the process among those of the same name; 0 means that the endpoint did not report it.
func (d *Daemon) Depart(ctx context.Context, name string, born int64) error {
	d.prepare()
	_, err := d.propose(ctx, &state.Command{Departures: []state.Departure{{Name: name, StartedMillis: born}}})
	d.Host.Log.Write("endpoint-departed", "endpoint", name, "born", born, "err", err)
	return err
}

// Release commits the adapter version that new requests use.
func (d *Daemon) Release(ctx context.Context, release *plane.Release) error {
	d.prepare()
	if err := release.Check(); err != nil {
		return &Error{Op: "check release", Kind: KindInvalid, Err: err}
	}
	if d.machine.HasRelease(release) {
		return nil
	}
	_, err := d.proposeAgain(ctx, &state.Command{Release: release})
	d.Host.Log.Write("adapter-released", "model", release.Model, "adapter", release.Adapter, "version", release.Version, "err", err)
	return err
}

// serveForwarded executes an operator's or endpoint's call that a VM without a replica forwards.
func (d *Daemon) serveForwarded(ctx context.Context, stream *wire.Stream) error {
	request := &plane.ForwardRequest{}
	if err := stream.Receive(request); err != nil {
		return err
	}
	reply, err := d.executeForwarded(ctx, request)
	if err != nil {
		reply.Refused, reply.Detail = plane.KindTimeout, err.Error()
		if errors.Is(err, &Error{Kind: KindInvalid}) {
			reply.Refused = plane.KindInvalid
		}
	}
	return stream.Send(reply)
}

func (d *Daemon) executeForwarded(ctx context.Context, request *plane.ForwardRequest) (reply *plane.ForwardReply, err error) {
	reply = &plane.ForwardReply{}
	switch {
	case request.Config != nil:
		reply.ConfigNumber, err = d.Replace(ctx, request.Config)
	case request.Announcement != nil:
		err = d.Announce(ctx, request.Announcement)
	case request.DepartedEndpoint != "":
		err = d.Depart(ctx, request.DepartedEndpoint, request.DepartedStartMillis)
	case request.Release != nil:
		err = d.Release(ctx, request.Release)
	default:
		reply.Config, _, err = d.Fetch(ctx)
	}
	return reply, err
}
