// Command entry serves the requests of callers.
package main

import (
	"context"
	"math"
	"os"
	"runtime/debug"
	"syscall"

	"github.com/tanagerspindle/tanagerspindle/entry/buffer"
	"github.com/tanagerspindle/tanagerspindle/entry/daemon"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/launch"
	"github.com/tanagerspindle/tanagerspindle/pkg/setup"
)

const (
	// memoryShare is the share of the memory limit that is set as the Go runtime's soft limit.
	memoryShare = 0.7
	// callersShare is the share of the descriptors for callers' connections and their
	// requests. The rest is for sessions to agents and control and for files.
	callersShare = 0.75
)

func main() {
	os.Exit(launch.Run(setup.RoleEntry, serve))
}

func serve(ctx context.Context, h host.Host, s *setup.Settings) error {
	memoryLimit := s.MemoryMB << 20
	debug.SetMemoryLimit(int64(float64(memoryLimit) * memoryShare))
	memory := buffer.New(memoryLimit)
	go memory.Report(ctx, h)
	entry := &daemon.Daemon{
		Host: h, ListenAddress: s.HTTP, Control: s.Control, Linger: s.ShutdownDelay.Std(),
		Memory: memory, MaxDescriptors: int(float64(descriptorLimit(s)) * callersShare),
	}
	return entry.Run(ctx)
}

// descriptorLimit returns the number of descriptors that the process may use, 0 if it is not
// limited.
func descriptorLimit(s *setup.Settings) int {
	if s.Descriptors > 0 {
		return s.Descriptors
	}
	limit := &syscall.Rlimit{}
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
