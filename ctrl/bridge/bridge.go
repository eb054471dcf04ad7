// Package bridge takes operators' and endpoints' calls on a VM without a disk
// and passes them on to a replica.
package bridge

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/tanagerspindle/tanagerspindle/ctrl/daemon"
	"github.com/tanagerspindle/tanagerspindle/ctrl/member"
	"github.com/tanagerspindle/tanagerspindle/ctrl/node"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/feed"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/tasks"
	"github.com/tanagerspindle/tanagerspindle/pkg/uplink"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindListen Kind = "cannot listen"
	// KindRetryable says that a replica could not carry the call out now.
	KindRetryable Kind = "not carried out"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Bridge has the calls of daemon.Daemon. Its fields are set before Run.
type Bridge struct {
	// Host gives log, meter and network.
	Host host.Host
	// Name and Address are this VM's, as replicas may be told of it: they ask
	// whether there is a replica here.
	Name, Address string
	// HasDisk says that the VM has a disk, whose replica is closed at the
	// moment: nobody is told that there is none.
	HasDisk bool
	// Uplink is the way to the replicas. Bridge.Run runs it.
	Uplink *uplink.Uplink
}

// Run follows who the replicas are until ctx ends.
func (b *Bridge) Run(ctx context.Context) error {
	listener, err := b.Host.Listen(b.Address)
	if err != nil {
		return &Error{Op: "listen on " + b.Address, Kind: KindListen, Err: err}
	}
	follower := &feed.Feed{Host: b.Host, Role: plane.RoleKeeper, Incarnation: rand.Uint64() | 1, Uplink: b.Uplink}
	var group tasks.Group
	group.Go(func() { b.Uplink.Run(ctx) })
	group.Go(func() {
		if err := follower.Run(ctx); err != nil {
			b.Host.Log.Write("feed-ended", "err", err)
		}
	})
	served := map[string]link.Handler{node.MethodJoin: b.serveJoin}
	if b.HasDisk {
		served = nil
	}
	group.Go(func() {
		if err := link.Serve(ctx, listener, served); err != nil {
			b.Host.Log.Write("listener-ended", "err", err)
		}
	})
	group.Wait()
	return nil
}

// serveJoin tells a replica that there is none here.
func (b *Bridge) serveJoin(_ context.Context, stream *wire.Stream) error {
	ask := &member.JoinRequest{}
	if err := stream.Receive(ask); err != nil {
		return err
	}
	return stream.Send(&member.JoinResponse{Name: b.Name, Address: b.Address, Absent: true})
}

// Replace is daemon.Daemon's.
func (b *Bridge) Replace(ctx context.Context, next *conf.Config) (newest uint64, err error) {
	reply, err := b.call(ctx, &plane.SiteRequest{Config: next})
	return reply.ConfigNumber, err
}

// Fetch is daemon.Daemon's; it returns no author.
func (b *Bridge) Fetch(ctx context.Context) (config *conf.Config, author string, err error) {
	reply, err := b.call(ctx, &plane.SiteRequest{})
	return reply.Config, "", err
}

// Announce is daemon.Daemon's.
func (b *Bridge) Announce(ctx context.Context, report *advert.Record) error {
	_, err := b.call(ctx, &plane.SiteRequest{Announcement: report})
	return err
}

// Depart is daemon.Daemon's.
func (b *Bridge) Depart(ctx context.Context, name string, born int64) error {
	_, err := b.call(ctx, &plane.SiteRequest{DepartedEndpoint: name, DepartedStartMillis: born})
	return err
}

// Release is daemon.Daemon's.
func (b *Bridge) Release(ctx context.Context, named *plane.Release) error {
	_, err := b.call(ctx, &plane.SiteRequest{Release: named})
	return err
}

// call passes one call on. The reply is never nil.
func (b *Bridge) call(ctx context.Context, ask *plane.SiteRequest) (*plane.SiteReply, error) {
	reply := &plane.SiteReply{}
	if err := b.Uplink.Call(ctx, plane.MethodSite, ask, reply); err != nil {
		return reply, err
	}
	cause := fmt.Errorf("%s", reply.Detail)
	switch reply.Refused {
	case plane.KindNone:
		return reply, nil
	case plane.KindInvalid:
		return reply, &daemon.Error{Op: "pass on", Kind: daemon.KindInvalid, Err: cause}
	}
	return reply, &Error{Op: "pass on", Kind: KindRetryable, Err: cause}
}
