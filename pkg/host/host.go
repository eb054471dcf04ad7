// Package host defines the environment that a daemon provides to all its components:
// identity, event log, counters and network.
package host

import (
	"context"
	"net"

	"github.com/tanagerspindle/tanagerspindle/pkg/event"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
)

// Host is passed to each component of a daemon instead of global variables. Its fields
// are set before the components run and do not change afterwards.
type Host struct {
	// VM is the daemon's name, unique among the daemons of its role.
	VM string
	// DataCentre is the data centre of the VM.
	DataCentre string
	// Log receives the daemon's events.
	Log event.Log
	// Meter holds the daemon's counters; it is never nil.
	Meter *meter.Meter
	// Dial connects to IP:port, with mutual TLS if the settings name certificates.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Listen listens on IP:port, with mutual TLS under the same condition.
	Listen func(address string) (net.Listener, error)
}
