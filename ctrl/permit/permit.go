// Package permit spends the fleet's load budget: it chooses which agent may
// load which adapter next.
package permit

import (
	"context"

	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// Coordinator gives permits for loads at the control leader. Its exported
// fields are set before Run.
type Coordinator struct {
	// Host is the control daemon's.
	Host host.Host
	// Loads is the weight store's rate in loads per second.
	Loads float64
	// Flight is the largest number of loads in flight.
	Flight int
	// Weight returns a workspace's share; nil weighs all alike.
	Weight func(workspace string) float64
}

// Handle serves one agent's stream of plane.MethodPermit.
func (c *Coordinator) Handle(ctx context.Context, _ *wire.Stream) error {
	<-ctx.Done()
	return nil
}

// Reset forgets everything at a change of leadership; term is the new one.
func (c *Coordinator) Reset(uint64) {}

// Run gives permits until ctx ends.
func (c *Coordinator) Run(ctx context.Context) { <-ctx.Done() }
