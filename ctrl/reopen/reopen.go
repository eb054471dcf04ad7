// Package reopen keeps the control process of a VM serving while its disk fails: the
// replica is closed, a bridge forwards calls to the other replicas, and after a pause
// the replica is reopened from the disk. A VM without a disk only runs the bridge.
//
// The main case is a full disk, which fails every write until space is freed. A
// process that exits at each failed write would be restarted again and again, and
// would serve no calls in between.
package reopen

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/bridge"
	"github.com/tanagerspindle/tanagerspindle/ctrl/daemon"
	"github.com/tanagerspindle/tanagerspindle/ctrl/node"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// Kind classifies the failures of this package.
type Kind string

// KindInactive reports that neither a replica nor a bridge has been started yet.
const KindInactive Kind = "closed"

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// minPause is the time between the failure of a disk and the first attempt to
	// reopen the replica. A voter is replaced after 1.5 s of silence, so a replica
	// whose disk has space again returns before that. Each further pause is twice as
	// long, up to maxPause.
	minPause = time.Second
	maxPause = 8 * time.Second
	// pauseResetAfter is the running time of a replica after which the next pause is
	// minPause again.
	pauseResetAfter = 30 * time.Second
)

// Supervisor runs either a replica or a bridge, and forwards the calls of
// daemon.Daemon to the one that is running. Its exported fields must be set before
// Run.
type Supervisor struct {
	// Host provides the log.
	Host host.Host
	// NewReplica creates a replica; nil on a VM without a disk. NewBridge creates the
	// bridge to the other replicas.
	NewReplica func() *daemon.Daemon
	NewBridge  func() *bridge.Bridge

	mutex  sync.Mutex
	active controlAPI
}

// controlAPI is the set of calls that a replica and a bridge both serve.
type controlAPI interface {
	Replace(ctx context.Context, next *conf.Config) (newest uint64, err error)
	Fetch(ctx context.Context) (config *conf.Config, author string, err error)
	Announce(ctx context.Context, report *advert.Record) error
	Depart(ctx context.Context, name string, born int64) error
	Release(ctx context.Context, named *plane.Release) error
}

// Run serves until ctx ends or the replica fails for a reason other than its disk.
func (s *Supervisor) Run(ctx context.Context) error {
	if s.NewReplica == nil {
		return s.runBridge(ctx)
	}
	pause := minPause
	for {
		began := time.Now()
		err := s.runReplica(ctx)
		if ctx.Err() != nil || !errors.Is(err, &node.Error{Kind: node.KindDisk}) {
			return err
		}
		if time.Since(began) > pauseResetAfter {
			pause = minPause
		}
		s.Host.Log.Write("replica-paused", "pause", pause, "err", err)
		paused, cancel := context.WithTimeout(ctx, pause)
		err = s.runBridge(paused)
		cancel()
		if err != nil {
			return err
		}
		pause = min(2*pause, maxPause)
	}
}

// runReplica runs a replica until ctx ends or the replica fails.
func (s *Supervisor) runReplica(ctx context.Context) error {
	replica := s.NewReplica()
	s.setActive(replica)
	return replica.Run(ctx)
}

// runBridge forwards calls until ctx ends.
func (s *Supervisor) runBridge(ctx context.Context) error {
	forwarder := s.NewBridge()
	s.setActive(forwarder)
	return forwarder.Run(ctx)
}

func (s *Supervisor) setActive(next controlAPI) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active = next
}

// getActive returns the running replica or bridge.
func (s *Supervisor) getActive() (controlAPI, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.active == nil {
		return nil, &Error{Op: "call control", Kind: KindInactive}
	}
	return s.active, nil
}

// Replace calls Replace of the running replica or bridge.
func (s *Supervisor) Replace(ctx context.Context, next *conf.Config) (newest uint64, err error) {
	active, err := s.getActive()
	if err != nil {
		return 0, err
	}
	return active.Replace(ctx, next)
}

// Fetch calls Fetch of the running replica or bridge.
func (s *Supervisor) Fetch(ctx context.Context) (config *conf.Config, author string, err error) {
	active, err := s.getActive()
	if err != nil {
		return nil, "", err
	}
	return active.Fetch(ctx)
}

// Announce calls Announce of the running replica or bridge.
func (s *Supervisor) Announce(ctx context.Context, report *advert.Record) error {
	active, err := s.getActive()
	if err != nil {
		return err
	}
	return active.Announce(ctx, report)
}

// Depart calls Depart of the running replica or bridge.
func (s *Supervisor) Depart(ctx context.Context, name string, born int64) error {
	active, err := s.getActive()
	if err != nil {
		return err
	}
	return active.Depart(ctx, name, born)
}

// Release calls Release of the running replica or bridge.
func (s *Supervisor) Release(ctx context.Context, named *plane.Release) error {
	active, err := s.getActive()
	if err != nil {
		return err
	}
	return active.Release(ctx, named)
}
