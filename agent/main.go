// Command agent stands beside one endpoint.
package main

import (
	"context"
	"os"

	"github.com/tanagerspindle/tanagerspindle/agent/daemon"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/launch"
	"github.com/tanagerspindle/tanagerspindle/pkg/setup"
)

func main() {
	os.Exit(launch.Run(setup.RoleAgent, serve))
}

func serve(ctx context.Context, h host.Host, s *setup.Settings) error {
	agent := &daemon.Daemon{
		Host: h, Name: s.Name, Address: s.Listen, AnnounceAddress: s.HTTP, ControlAddresses: s.Control, DrainTimeout: s.DrainTimeout.Std(),
	}
	return agent.Run(ctx)
}
