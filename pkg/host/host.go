// Package host holds what every part of a daemon gets from the VM it runs on.
package host

import (
	"context"
	"net"

	"github.com/tanagerspindle/tanagerspindle/pkg/event"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
)

// Host is given to each part in place of globals. Its fields are set before
// Run and not changed afterwards.
type Host struct {
	// VM is the daemon's name, unique in its role.
	VM string
	// DataCentre is where the VM stands.
	DataCentre string
	// Log takes the daemon's events.
	Log event.Log
	// Meter takes the daemon's counters; never nil.
	Meter *meter.Meter
	// Dial connects to IP:port, with mutual TLS where the settings say so.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Listen accepts connections on IP:port in the same way.
	Listen func(address string) (net.Listener, error)
}
