// Package feed keeps a daemon's view of control: the configuration in force,
// the endpoints, the releases, the quarantine, and the authority to act on
// them.
package feed

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
	"github.com/tanagerspindle/tanagerspindle/pkg/notify"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/uplink"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindSuperseded says that a later process of the same name has started.
	KindSuperseded Kind = "superseded by a later process"
	// KindNotRenewed says that a replica did not renew the lease.
	KindNotRenewed Kind = "lease not renewed"
	// KindDelta says that a change does not fit the configuration held.
	KindDelta Kind = "delta does not fit"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// heartbeatInterval is the time between two heartbeats; after a change one is
	// sent at once, but not sooner than beatLeast after the last.
	heartbeatInterval = time.Second
	minHeartbeatGap   = 100 * time.Millisecond
	// renewTimeout is how long a replica may not renew the lease before another
	// one is tried.
	renewTimeout = 1500 * time.Millisecond
	// expireGrace is how long keyed work that has begun goes on after the
	// lease has run out. Lease and grace are shorter than the time in which a
	// withdrawn key must have stopped.
	expireGrace = time.Second
	// checkInterval is the time between two looks at the lease.
	checkInterval = 100 * time.Millisecond
	// departTimeout bounds the farewell.
	departTimeout = time.Second
)

// Feed is a daemon's side of MethodFeed. Its exported fields are set before
// Run. Its methods may be called from several goroutines.
type Feed struct {
	// Host is the daemon's; Incarnation is new at each start of the process.
	Host        host.Host
	Incarnation uint64
	// Role is how the daemon joins; empty means plane.RoleEntry.
	Role string
	// Uplink is the session to control. Feed.Run does not run it.
	Uplink *uplink.Uplink
	// BootTime is that of clock.Watch.
	BootTime func() time.Time
	// OnConfig is called with each new configuration, before the lease is
	// renewed for it. OnRoster gets changed records of endpoints. OnExpire is
	// called repeatedly while the lease is out for longer than a grace.
	OnConfig func(config *conf.Config)
	OnRoster func(changed []roster.Record)
	OnExpire func()
	// OnEndpoints is called with the endpoints that take requests, by service,
	// after they have changed.
	OnEndpoints func(usable map[string][]advert.Record)
	// OnRelease is called with versions of adapters that are new.
	OnRelease func(releases []plane.Release)

	config     atomic.Pointer[conf.Config]
	quarantine atomic.Pointer[quarantine]
	lease      lease.Lease
	roster     roster.Roster
	endpoints  advert.Table
	// endpointsRevision is the revision of the census and the releases.
	endpointsRevision atomic.Uint64
	entryCount        atomic.Int32
	burn              burnCounter
	suspectReports    suspectReports
	heartbeatDue      notify.Signal
}

// quarantine is the quarantine by digest. It is not changed.
type quarantine struct {
	revision uint64
	byDigest map[string]quarantineEntry
}

type quarantineEntry struct {
	suspect bool
	until   time.Time
}

// Config returns the configuration in force, or nil before the first.
func (f *Feed) Config() *conf.Config { return f.config.Load() }

// Valid reports whether the daemon has authority to serve keys.
func (f *Feed) Valid() bool { return f.config.Load() != nil && f.lease.Valid() }

// KnownEntries returns how many entries there are as far as control knows, 0
// while nothing is known.
func (f *Feed) KnownEntries() int { return int(f.entryCount.Load()) }

// Quarantined returns the time for which a request is quarantined, and whether it
// is suspected of having crashed an endpoint.
func (f *Feed) Quarantined(digest []byte) (left time.Duration, suspect bool) {
	all := f.quarantine.Load()
	if all == nil {
		return 0, false
	}
	found, ok := all.byDigest[string(digest)]
	if !ok {
		return 0, false
	}
	left = time.Until(found.until)
	if left <= 0 {
		return 0, false
	}
	if found.suspect {
		return 0, true
	}
	return left, false
}

// CountRequest adds one request to the burn counts.
func (f *Feed) CountRequest(workspace, route string, good bool) { f.burn.add(workspace, route, good) }

// ReportCrash reports the requests that were at an endpoint when it died, until
// control has acknowledged it.
func (f *Feed) ReportCrash(crash plane.Crash) {
	f.suspectReports.crash(crash)
	f.requestHeartbeat()
}

// ClearSuspect reports that a suspected request ended well.
func (f *Feed) ClearSuspect(digest []byte) {
	f.suspectReports.clear(digest)
	f.requestHeartbeat()
}

// Run keeps the feed up until ctx ends, then says farewell. The error is of
// KindSuperseded when the process must stop.
func (f *Feed) Run(ctx context.Context) error {
	f.lease.BootTime = f.BootTime
	watched, stop := context.WithCancel(ctx)
	defer stop()
	go f.watchExpiry(watched)
	for ctx.Err() == nil {
		err := f.stream(ctx)
		if isSuperseded(err) {
			f.lease.End()
			f.Host.Log.Write("superseded")
			return err
		}
		if err != nil && ctx.Err() == nil {
			f.Host.Log.Write("feed-lost", "err", err)
			f.Host.Meter.Add("feeds_lost", 1)
			pause.For(ctx, minHeartbeatGap)
		}
	}
	f.lease.End()
	return nil
}

// watchExpiry calls OnExpire while the entry has been without authority for too
// long.
func (f *Feed) watchExpiry(ctx context.Context) {
	pause.Every(ctx, checkInterval, func() {
		if time.Since(f.lease.Until()) > expireGrace && f.OnExpire != nil {
			f.OnExpire()
		}
	})
}

// stream runs one stream to one replica until it ends or fails to renew.
func (f *Feed) stream(ctx context.Context) error {
	stream, err := f.Uplink.Open(ctx, plane.MethodFeed)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	hello := &plane.Hello{
		Role:              cmp.Or(f.Role, plane.RoleEntry),
		Name:              f.Host.VM,
		Incarnation:       f.Incarnation,
		DataCentre:        f.Host.DataCentre,
		ConfigNumber:      f.configNumber(),
		Vector:            f.roster.Vector(),
		EndpointsRevision: f.endpointsRevision.Load(),
	}
	if err := stream.Send(hello); err != nil {
		return err
	}
	f.lease.Reset()
	t := &session{feed: f, stream: stream, renewed: make(chan uint64, 1), failed: make(chan error, 1)}
	go t.receive()
	defer f.burn.restore()
	defer f.suspectReports.restore()
	err = t.sendHeartbeats(ctx)
	if err != nil && !t.answered.Load() {
		// No replica is there, or one that cannot admit anybody now.
		f.Uplink.SwitchReplica()
	}
	return err
}

func (f *Feed) configNumber() uint64 {
	config := f.config.Load()
	if config == nil {
		return 0
	}
	return config.Number
}

func (f *Feed) quarantineRevision() uint64 {
	all := f.quarantine.Load()
	if all == nil {
		return 0
	}
	return all.revision
}

func (f *Feed) requestHeartbeat() {
	f.heartbeatDue.Set()
}

// session is one stream to one replica.
type session struct {
	feed    *Feed
	stream  *wire.Stream
	seq     uint64
	renewed chan uint64
	failed  chan error
	// answered says that the replica has sent anything.
	answered atomic.Bool
}
