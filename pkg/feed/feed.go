// Package feed maintains a daemon's view of the state at control: the configuration
// in force, the endpoints, the adapter releases, the quarantine, and the lease that
// authorizes the daemon to act on them.
package feed

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
	"github.com/tanagerspindle/tanagerspindle/pkg/notify"
	"github.com/tanagerspindle/tanagerspindle/pkg/outage"
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
	// KindSuperseded means that a later process with the daemon's name has started.
	KindSuperseded Kind = "superseded by a later process"
	// KindNotRenewed means that a replica did not renew the lease in time.
	KindNotRenewed Kind = "lease not renewed"
	// KindDelta means that a delta does not apply to the daemon's configuration.
	KindDelta Kind = "delta does not apply"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// heartbeatInterval is the time between two heartbeats. After a change one is
	// sent at once, but at least minHeartbeatGap after the previous one.
	heartbeatInterval = time.Second
	minHeartbeatGap   = 100 * time.Millisecond
	// renewTimeout is how long a replica may leave the lease without renewal before
	// the daemon switches to another replica. It is half of lease.Length, so the lease
	// is normally still valid when the switch begins.
	renewTimeout = 1500 * time.Millisecond
	// expireGrace is how long running requests with keys may continue after the
	// lease has expired. Lease and grace together are shorter than the time in
	// which the use of a withdrawn key must have stopped.
	expireGrace = time.Second
	// checkInterval is the time between two checks of the lease.
	checkInterval = 100 * time.Millisecond
	// departTimeout bounds the wait for control to process the daemon's departure.
	departTimeout = time.Second
)

// Feed is the daemon's side of plane.MethodFeed. Its exported fields must be set
// before Run. Its methods are safe for concurrent use.
type Feed struct {
	// Host is the daemon's host. Incarnation is new at each start of the process.
	Host        host.Host
	Incarnation uint64
	// Role is the daemon's role; empty means plane.RoleEntry.
	Role string
	// Uplink is the session to control. The caller must run it; Run does not.
	Uplink *uplink.Uplink
	// BootTime returns the time of a clock that keeps running while the VM is
	// suspended; see clock.SuspendDetector.
	BootTime func() time.Time
	// OnConfig is called with each new configuration, before the lease is renewed
	// for it. OnRoster is called with the changed records of endpoints. OnExpire is
	// called repeatedly while the lease has been expired for longer than
	// expireGrace.
	OnConfig func(config *conf.Config)
	OnRoster func(changed []roster.Record)
	OnExpire func()
	// OnEndpoints is called after a change with the endpoints that accept requests,
	// by service.
	OnEndpoints func(available map[string][]advert.Record)
	// OnEndpointRecords is called before it with the records that have changed, also of
	// endpoints that accept no requests or were removed. It may be nil.
	OnEndpointRecords func(changed []advert.Record)
	// Limits returns what endpoints lately said of their request limits to this entry; it is
	// called for each heartbeat. OnLimits is called with what they said to any entry. Both
	// may be nil.
	Limits   func() []advert.LimitReport
	OnLimits func(reports []advert.LimitReport)
	// OnRelease is called with new releases of adapter versions.
	OnRelease func(releases []plane.Release)

	config     atomic.Pointer[conf.Config]
	quarantine atomic.Pointer[quarantine]
	lease      lease.Lease
	roster     roster.Roster
	endpoints  advert.Table
	// endpointsRevision is the revision of the endpoints and the releases.
	endpointsRevision atomic.Uint64
	entryCount        atomic.Int32
	position          atomic.Pointer[position]
	// quarantineChanged is closed and replaced when the quarantine changes.
	quarantineMutex   sync.Mutex
	quarantineChanged chan struct{}
	burn              burnCounter
	suspectReports    suspectReports
	confirmations     confirmations
	heartbeatDue      notify.Signal
	outage            outage.Monitor
}

// quarantine holds the quarantined and suspected requests by content digest. It is
// immutable.
type quarantine struct {
	revision uint64
	byDigest map[string]quarantineEntry
}

// quarantineEntry is one request. A suspect may run, but not beside another suspect.
type quarantineEntry struct {
	suspect bool
	// begun means that only a complete answer shows that the request is sound.
	begun bool
	until time.Time
}

// merge returns what holds if control lists a request for two reasons.
func (q quarantineEntry) merge(other quarantineEntry) quarantineEntry {
	if q.suspect && !other.suspect || q.suspect == other.suspect && other.until.After(q.until) {
		q.until = other.until
	}
	q.suspect, q.begun = q.suspect && other.suspect, q.begun || other.begun
	return q
}

// Config returns the configuration in force, or nil if none has arrived yet.
func (f *Feed) Config() *conf.Config { return f.config.Load() }

// Valid reports whether the daemon is authorized to serve requests with keys.
func (f *Feed) Valid() bool { return f.config.Load() != nil && f.lease.Valid() }

// KnownEntries returns the number of entries that control knows of, or 0 if control
// has not reported it yet.
func (f *Feed) KnownEntries() int { return int(f.entryCount.Load()) }

// QuarantineChanged returns a channel that is closed when the quarantine changes.
func (f *Feed) QuarantineChanged() <-chan struct{} {
	f.quarantineMutex.Lock()
	defer f.quarantineMutex.Unlock()
	if f.quarantineChanged == nil {
		f.quarantineChanged = make(chan struct{})
	}
	return f.quarantineChanged
}

// signalQuarantine closes the channel of QuarantineChanged.
func (f *Feed) signalQuarantine() {
	f.quarantineMutex.Lock()
	defer f.quarantineMutex.Unlock()
	if f.quarantineChanged != nil {
		close(f.quarantineChanged)
		f.quarantineChanged = nil
	}
}

// Position returns the entry's position among all connected entries, from 0, and their
// number, as control last reported them. The number is 0 if control has not.
func (f *Feed) Position() (index, count int) {
	if p := f.position.Load(); p != nil {
		return p.index, p.count
	}
	return 0, 0
}

// position is an entry's place among all connected entries.
type position struct{ index, count int }

// Quarantined returns how long a request remains quarantined, and whether it is
// suspected of having crashed an endpoint. A suspect that is not quarantined
// returns a time of 0.
func (f *Feed) Quarantined(digest []byte) (remaining time.Duration, suspect bool) {
	found, remaining := f.lookUpQuarantine(digest)
	switch {
	case remaining <= 0:
		return 0, false
	case found.suspect:
		return 0, true
	}
	return remaining, false
}

// lookUpQuarantine returns what control lists for a digest and how much longer, 0 or less if
// it lists nothing.
func (f *Feed) lookUpQuarantine(digest []byte) (found quarantineEntry, remaining time.Duration) {
	all := f.quarantine.Load()
	if all == nil {
		return quarantineEntry{}, 0
	}
	found, ok := all.byDigest[string(digest)]
	if !ok {
		return quarantineEntry{}, 0
	}
	return found, time.Until(found.until)
}

// Suspected reports whether control lists a request or a part of a prompt, and whether only
// a complete answer shows that it is sound.
func (f *Feed) Suspected(digest []byte) (listed, begun bool) {
	found, remaining := f.lookUpQuarantine(digest)
	return remaining > 0, remaining > 0 && found.begun
}

// CountRequest adds a request to the burn counts of its workspace and route.
func (f *Feed) CountRequest(workspace, route string, good bool) { f.burn.add(workspace, route, good) }

// ReportCrash reports the requests that were running at an endpoint when it
// crashed. The report is sent until control has acknowledged it.
func (f *Feed) ReportCrash(crash plane.Crash) {
	f.suspectReports.crash(crash)
	f.requestHeartbeat()
}

// ClearSuspect reports that a suspected request has completed without a crash.
func (f *Feed) ClearSuspect(digest []byte) {
	f.suspectReports.clear(digest)
	f.requestHeartbeat()
}

// Run keeps a stream to control open until ctx ends, and then gives the lease back.
// The error is of KindSuperseded if the process must stop.
func (f *Feed) Run(ctx context.Context) error {
	f.lease.BootTime = f.BootTime
	f.outage.Host, f.outage.Address = f.Host, f.Uplink.LastAddress
	watched, stop := context.WithCancel(ctx)
	defer stop()
	go f.watchExpiry(watched)
	go f.outage.Run(watched)
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
			f.outage.Lost(err)
			pause.For(ctx, minHeartbeatGap)
		}
	}
	f.lease.End()
	return nil
}

// watchExpiry calls OnExpire while the lease has been expired for longer than expireGrace.
func (f *Feed) watchExpiry(ctx context.Context) {
	pause.Every(ctx, checkInterval, func() {
		if time.Since(f.lease.Until()) > expireGrace && f.OnExpire != nil {
			f.OnExpire()
		}
	})
}

// stream runs one stream to one replica until the stream ends or the lease is not
// renewed in time.
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
	s := &session{feed: f, stream: stream, sentBefore: f.confirmations.begin(), renewed: make(chan uint64, 1), failed: make(chan error, 1)}
	go s.receive()
	defer f.burn.restore()
	defer f.suspectReports.restore()
	err = s.sendHeartbeats(ctx)
	if err != nil && !s.answered.Load() {
		// The replica does not respond, or it cannot admit daemons at present.
		f.Uplink.SwitchReplica()
	}
	return err
}

// configNumber returns the number of the configuration in force, or 0 if there is none.
func (f *Feed) configNumber() uint64 {
	config := f.config.Load()
	if config == nil {
		return 0
	}
	return config.Number
}

// quarantineRevision returns the revision of the quarantine in force, or 0 if there
// is none.
func (f *Feed) quarantineRevision() uint64 {
	all := f.quarantine.Load()
	if all == nil {
		return 0
	}
	return all.revision
}

// ReportLimits has the request limits of endpoints reported soon, because one has changed.
func (f *Feed) ReportLimits() { f.requestHeartbeat() }

// requestHeartbeat has a heartbeat sent as soon as minHeartbeatGap allows.
func (f *Feed) requestHeartbeat() {
	f.heartbeatDue.Set()
}

// session is the exchange over one stream to one replica. The stream is carried by
// the uplink's link.Session.
type session struct {
	feed   *Feed
	stream *wire.Stream
	// seq is the number of the last heartbeat sent, and sentBefore the number of those that
	// earlier streams carried.
	seq, sentBefore uint64
	// renewed receives the number of a heartbeat for which the lease was renewed, and
	// failed the error that ended the receiving of updates.
	renewed chan uint64
	failed  chan error
	// answered is set once the replica has sent an update.
	answered atomic.Bool
}
