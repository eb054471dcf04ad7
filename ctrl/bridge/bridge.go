// Package bridge forwards the calls of operators and endpoints to a control replica, on a VM that
// runs none: it has no disk, or its replica is closed. It directs daemons to the replicas.
package bridge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

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
	// KindRetryable means that the replica could not execute the call now; it may be sent again.
	KindRetryable Kind = "not carried out"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Bridge offers the calls of daemon.Daemon and forwards each to a replica. Its fields are set
// before Run.
type Bridge struct {
	// Host provides the log, the metrics and the network.
	Host host.Host
	// Name and Address are those of this VM. The replicas may have the VM among their peers and
	// then send it join requests.
	Name, Address string
	// HasDisk means that the VM has a disk and its replica is only closed for now. The bridge then
	// refuses the replicas' join requests: the reply that the VM has no replica would be final.
	HasDisk bool
	// FirstStart means that the whole deployment starts for the first time. The bridge then
	// nominates the replica that begins the group, for the case that no seed runs one.
	FirstStart bool
	// Uplink connects to the replicas, and knows those that the bridge directs daemons to.
	// Bridge.Run runs it.
	Uplink *uplink.Uplink

	mutex sync.Mutex
	// nominated is the ID of the nominated replica, 0 before.
	nominated uint64
}

// Run runs the uplink, follows changes of the replica list and answers join requests until ctx
// ends.
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
	served := map[string]link.Handler{plane.MethodLocate: b.Uplink.Located().Serve(nil)}
	if !b.HasDisk {
		served[node.MethodJoin] = b.serveJoin
	}
	group.Go(func() {
		if err := link.Serve(ctx, listener, served); err != nil {
			b.Host.Log.Write("listener-ended", "err", err)
		}
	})
	group.Wait()
	return nil
}

// serveJoin replies to a join request that there is no replica on this VM.
func (b *Bridge) serveJoin(_ context.Context, stream *wire.Stream) error {
	request := &member.JoinRequest{}
	if err := stream.Receive(request); err != nil {
		return err
	}
	return stream.Send(&member.JoinResponse{Name: b.Name, Address: b.Address, Absent: true, Nominated: b.nominate(request)})
}

// nominate returns the ID of the first empty replica that sent a join request.
func (b *Bridge) nominate(request *member.JoinRequest) uint64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.FirstStart && request.Empty && b.nominated == 0 {
		b.nominated = request.ID
		b.Host.Log.Write("replica-nominated", "replica", request.ID, "address", request.Address)
	}
	return b.nominated
}

// Replace calls Replace of daemon.Daemon on a replica.
func (b *Bridge) Replace(ctx context.Context, next *conf.Config) (newest uint64, err error) {
	reply, err := b.call(ctx, &plane.ForwardRequest{Config: next})
	return reply.ConfigNumber, err
}

// Fetch calls Fetch of daemon.Daemon on a replica. It returns no author.
func (b *Bridge) Fetch(ctx context.Context) (config *conf.Config, author string, err error) {
	reply, err := b.call(ctx, &plane.ForwardRequest{})
	return reply.Config, "", err
}

// Announce calls Announce of daemon.Daemon on a replica.
func (b *Bridge) Announce(ctx context.Context, report *advert.Record) error {
	_, err := b.call(ctx, &plane.ForwardRequest{Announcement: report})
	return err
}

// Depart calls Depart of daemon.Daemon on a replica.
func (b *Bridge) Depart(ctx context.Context, name string, born int64) error {
	_, err := b.call(ctx, &plane.ForwardRequest{DepartedEndpoint: name, DepartedStartMillis: born})
	return err
}

// Release calls Release of daemon.Daemon on a replica.
func (b *Bridge) Release(ctx context.Context, release *plane.Release) error {
	_, err := b.call(ctx, &plane.ForwardRequest{Release: release})
	return err
}

// call sends one call to a replica and maps a refusal to an error. The reply is never nil.
func (b *Bridge) call(ctx context.Context, request *plane.ForwardRequest) (*plane.ForwardReply, error) {
	reply := &plane.ForwardReply{}
	if err := b.Uplink.Call(ctx, plane.MethodForward, request, reply); err != nil {
		return reply, err
	}
	cause := fmt.Errorf("%s", reply.Detail)
	switch reply.Refused {
	case plane.KindNone:
		return reply, nil
	case plane.KindInvalid:
		return reply, &daemon.Error{Op: "forward call", Kind: daemon.KindInvalid, Err: cause}
	}
	return reply, &Error{Op: "forward call", Kind: KindRetryable, Err: cause}
}
