// Package reopen keeps a VM of control useful while its disk fails: the replica
// is closed, calls are passed on to the others, and after a pause the replica
// is opened again from what the disk holds. A VM without a disk only passes
// calls on.
//
// It answers a full disk, which a write meets again and again until somebody
// makes room: a process that ends at each of them is started anew each time,
// and serves no call in between.
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

// KindInactive says that neither a replica nor a bridge is open at the moment.
const KindInactive Kind = "closed"

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// shortestPause is the time between the failure of a disk and the first
	// try to use it again: a voter is replaced after 1.5 s of silence, so that
	// one whose disk has room again is back before. Each further pause is
	// twice as long, up to longestPause.
	shortestPause = time.Second
	longestPause  = 8 * time.Second
	// goodAfter is how long a replica must run until the pause is the shortest
	// again.
	goodAfter = 30 * time.Second
)

// Supervisor has the calls of daemon.Daemon. Its fields are set before Run.
type Supervisor struct {
	// Host gives the log.
	Host host.Host
	// NewReplica makes a replica; nil on a VM without a disk. Bridge makes the way
	// to the others.
	NewReplica func() *daemon.Daemon
	NewBridge  func() *bridge.Bridge

	mutex sync.Mutex
	now   calls
}

// calls are those that a replica and a bridge have alike.
type calls interface {
	Replace(ctx context.Context, next *conf.Config) (newest uint64, err error)
	Fetch(ctx context.Context) (config *conf.Config, author string, err error)
	Announce(ctx context.Context, report *advert.Record) error
	Depart(ctx context.Context, name string, born int64) error
	Release(ctx context.Context, named *plane.Release) error
}

// Run serves until ctx ends or the replica fails otherwise than by its disk.
func (s *Supervisor) Run(ctx context.Context) error {
	if s.NewReplica == nil {
		return s.runBridge(ctx)
	}
	pause := shortestPause
	for {
		began := time.Now()
		err := s.runReplica(ctx)
		if ctx.Err() != nil || !errors.Is(err, &node.Error{Kind: node.KindDisk}) {
			return err
		}
		if time.Since(began) > goodAfter {
			pause = shortestPause
		}
		s.Host.Log.Write("replica-paused", "pause", pause, "err", err)
		paused, cancel := context.WithTimeout(ctx, pause)
		err = s.runBridge(paused)
		cancel()
		if err != nil {
			return err
		}
		pause = min(2*pause, longestPause)
	}
}

func (s *Supervisor) runReplica(ctx context.Context) error {
	replica := s.NewReplica()
	s.use(replica)
	return replica.Run(ctx)
}

// runBridge passes calls on until ctx ends.
func (s *Supervisor) runBridge(ctx context.Context) error {
	way := s.NewBridge()
	s.use(way)
	return way.Run(ctx)
}

func (s *Supervisor) use(next calls) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.now = next
}

func (s *Supervisor) open() (calls, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.now == nil {
		return nil, &Error{Op: "call control", Kind: KindInactive}
	}
	return s.now, nil
}

// Replace is daemon.Daemon's.
func (s *Supervisor) Replace(ctx context.Context, next *conf.Config) (newest uint64, err error) {
	now, err := s.open()
	if err != nil {
		return 0, err
	}
	return now.Replace(ctx, next)
}

// Fetch is daemon.Daemon's.
func (s *Supervisor) Fetch(ctx context.Context) (config *conf.Config, author string, err error) {
	now, err := s.open()
	if err != nil {
		return nil, "", err
	}
	return now.Fetch(ctx)
}

// Announce is daemon.Daemon's.
func (s *Supervisor) Announce(ctx context.Context, report *advert.Record) error {
	now, err := s.open()
	if err != nil {
		return err
	}
	return now.Announce(ctx, report)
}

// Depart is daemon.Daemon's.
func (s *Supervisor) Depart(ctx context.Context, name string, born int64) error {
	now, err := s.open()
	if err != nil {
		return err
	}
	return now.Depart(ctx, name, born)
}

// Release is daemon.Daemon's.
func (s *Supervisor) Release(ctx context.Context, named *plane.Release) error {
	now, err := s.open()
	if err != nil {
		return err
	}
	return now.Release(ctx, named)
}
