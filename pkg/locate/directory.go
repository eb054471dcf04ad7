// Package locate finds the control replicas through any control process that knows them.
package locate

import (
	"context"
	"slices"
	"sync"

	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// Directory holds the newest list of the replicas that a process has seen. The zero value is
// ready for use; it is safe for concurrent use.
type Directory struct {
	mutex sync.Mutex
	known plane.ReplicaList
	// replica returns the list of this process's own replica, nil without one.
	replica func() plane.ReplicaList
	// changed is closed and replaced when known changes; nil if nobody waits.
	changed chan struct{}
}

// SetReplica sets the function that returns the list of this process's own replica. Nil means
// that it has none any more; its last list stays known.
func (d *Directory) SetReplica(replica func() plane.ReplicaList) {
	d.Known()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.replica = replica
}

// Known returns the newest list.
func (d *Directory) Known() plane.ReplicaList {
	d.mutex.Lock()
	replica := d.replica
	d.mutex.Unlock()
	if replica != nil {
		d.Learn(replica())
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.known
}

// Learn replaces the list if the given one is newer, and reports whether it is.
func (d *Directory) Learn(list plane.ReplicaList) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if list.Index <= d.known.Index {
		return false
	}
	d.known = plane.ReplicaList{Addresses: slices.Clone(list.Addresses), Index: list.Index}
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
	return true
}

// Changed returns a channel that is closed when a newer list is learned.
func (d *Directory) Changed() <-chan struct{} {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	return d.changed
}

// Exchange tells a control process the list and learns the one that it knows. serves reports
// whether the process runs a replica.
func (d *Directory) Exchange(ctx context.Context, session *link.Session) (serves bool, err error) {
	request, reply := &plane.LocateRequest{Known: d.Known()}, &plane.LocateReply{}
	if err := session.Call(ctx, plane.MethodLocate, request, reply); err != nil {
		return false, err
	}
	d.Learn(reply.Known)
	return reply.Serves, nil
}

// Serve answers a call of Exchange. serves reports whether this process runs a replica; nil
// means that it does not.
func (d *Directory) Serve(serves func() bool) link.Handler {
	return func(_ context.Context, stream *wire.Stream) error {
		request := &plane.LocateRequest{}
		if err := stream.Receive(request); err != nil {
			return err
		}
		d.Learn(request.Known)
		return stream.Send(&plane.LocateReply{Known: d.Known(), Serves: serves != nil && serves()})
	}
}
