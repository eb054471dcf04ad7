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
	// replaced is closed when active is replaced.
	replaced chan struct{}
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
	defer s.setActive(nil)
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
	if s.replaced != nil {
		close(s.replaced)
	}
	s.active, s.replaced = next, make(chan struct{})
}

// getActive returns the running replica or bridge, and a channel that is closed when
// another one takes its place.
func (s *Supervisor) getActive() (controlAPI, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.active == nil {
		return nil, nil, &Error{Op: "call control", Kind: KindInactive}
	}
	return s.active, s.replaced, nil
}

// forward makes a call at the running replica or bridge. A call that fails because
// its replica stopped is repeated at the bridge that takes its place, and the reverse;
// all calls of controlAPI may be repeated.
func (s *Supervisor) forward(ctx context.Context, call func(controlAPI) error) error {
	for {
		active, replaced, err := s.getActive()
		if err != nil {
			return err
		}
		err = call(active)
		if !errors.Is(err, &node.Error{Kind: node.KindStopped}) {
			return err
		}
		select {
		case <-replaced:
		case <-ctx.Done():
			return err
		}
	}
}

// Replace calls Replace of the running replica or bridge.
func (s *Supervisor) Replace(ctx context.Context, next *conf.Config) (newest uint64, err error) {
	err = s.forward(ctx, func(active controlAPI) (err error) {
		newest, err = active.Replace(ctx, next)
		return err
	})
	return newest, err
}

// Fetch calls Fetch of the running replica or bridge.
func (s *Supervisor) Fetch(ctx context.Context) (config *conf.Config, author string, err error) {
	err = s.forward(ctx, func(active controlAPI) (err error) {
		config, author, err = active.Fetch(ctx)
		return err
	})
	return config, author, err
}

// Announce calls Announce of the running replica or bridge.
func (s *Supervisor) Announce(ctx context.Context, report *advert.Record) error {
	return s.forward(ctx, func(active controlAPI) error { return active.Announce(ctx, report) })
}

// Depart calls Depart of the running replica or bridge.
func (s *Supervisor) Depart(ctx context.Context, name string, born int64) error {
	return s.forward(ctx, func(active controlAPI) error { return active.Depart(ctx, name, born) })
}

// Release calls Release of the running replica or bridge.
func (s *Supervisor) Release(ctx context.Context, named *plane.Release) error {
	return s.forward(ctx, func(active controlAPI) error { return active.Release(ctx, named) })
}
