// Command ctrl runs one replica of control.
package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/tanagerspindle/tanagerspindle/ctrl/daemon"
	"github.com/tanagerspindle/tanagerspindle/ctrl/folder"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/launch"
	"github.com/tanagerspindle/tanagerspindle/pkg/setup"
)

func main() {
	os.Exit(launch.Run(setup.RoleControl, serve))
}

// serve runs the replica, and the watch over the operators' folder where the
// settings name one.
func serve(ctx context.Context, h host.Host, s *setup.Settings) error {
	replica := &daemon.Daemon{
		Host: h, Name: s.Name, Address: s.Listen, DataDir: s.DataDir, LoadsPerSecond: s.LoadsPerSecond, MaxLoadsInFlight: s.MaxLoadsInFlight,
	}
	for _, peer := range s.Peers {
		replica.Peers = append(replica.Peers, daemon.Peer(peer))
	}
	if s.WatchDir != "" {
		replica.Watch = watch(replica, h, s).Run
	}
	return replica.Run(ctx)
}

func watch(replica *daemon.Daemon, h host.Host, s *setup.Settings) *folder.Watcher {
	return &folder.Watcher{
		Host:       h,
		Dir:        s.WatchDir,
		RecordFile: filepath.Join(s.DataDir, "folder.json"),
		Submit:     replica.Submit,
		Notify:     folder.Notify,
		Fetch:      replica.Fetch,
	}
}
