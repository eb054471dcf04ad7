// Package daemon wires the agent: the small process beside one endpoint.
package daemon

import (
	"context"

	"github.com/tanagerspindle/tanagerspindle/pkg/host"
)

// Daemon is one agent. Its exported fields are set before Run.
type Daemon struct {
	// Host gives the daemon its log, meter and network.
	Host host.Host
	// Name is the agent's, one for each endpoint VM.
	Name string
	// Address is where entries reach the agent, as IP:port.
	Address string
	// Notice is where the endpoint beside the agent announces itself over
	// HTTP, as IP:port.
	Notice string
	// Control holds the addresses of control, nearest first.
	Control []string
}

// Run serves until ctx ends and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
