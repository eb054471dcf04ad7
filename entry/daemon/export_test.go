package daemon

import "context"

// RefusesConnections is the check by which crashes are confirmed.
func (d *Daemon) RefusesConnections(ctx context.Context, address string) bool {
	return (&entry{daemon: d}).refusesConnections(ctx, address)
}
