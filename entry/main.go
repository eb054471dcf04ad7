// Command entry takes callers' requests.
package main

import (
	"context"
	"os"

	"github.com/tanagerspindle/tanagerspindle/entry/daemon"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/launch"
	"github.com/tanagerspindle/tanagerspindle/pkg/setup"
)

func main() {
	os.Exit(launch.Run(setup.RoleEntry, serve))
}

func serve(ctx context.Context, h host.Host, s *setup.Settings) error {
	entry := &daemon.Daemon{Host: h, ListenAddress: s.HTTP, Control: s.Control, Linger: s.ShutdownDelay.Std()}
	return entry.Run(ctx)
}
