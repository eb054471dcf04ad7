// Package quota owns the token buckets of all workspaces, and of the repeats to
// all services, at the leader and leases tokens to entries.
//
// Tokens are granted only out of a reserve that the log already counts as
// granted; a record moves the reserves of all active workspaces. A successor
// starts from the last record as if its whole reserve had been granted, and
// accrues from a local time at which the record was in the log, so that neither
// a change of leader nor a wrong clock gives tokens away twice. A leader that
// stops gives its reserves back in a last record.
package quota

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/clock"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/notify"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// tick is the time between two looks at the reserves.
	tick = 100 * time.Millisecond
	// reserveLife is how long a committed reserve may be granted. A successor
	// of a leader that crashed grants only what a reserve and the leases leave
	// of the burst, often a second's rate, until they have ended. A record
	// takes a few milliseconds.
	reserveLife = 400 * time.Millisecond
	// shortestLife and longestLife bound how long a grant may be spent; entries
	// ask each 50 ms.
	shortestLife = 100 * time.Millisecond
	longestLife  = 300 * time.Millisecond
	// clockDrift is added where a successor waits for what a former leader
	// granted.
	clockDrift = 50 * time.Millisecond
	// wantLife is how long an entry's wish counts as present.
	wantLife = time.Second
	// ticketLife is how long a place in line is kept after the entry was
	// expected to ask again.
	ticketLife = time.Second
	// shortestWait is the least waiting time told to an entry.
	shortestWait = 5 * time.Millisecond
	// grantTimeout bounds how long an ask waits for a commit.
	grantTimeout = time.Second
	// commitTimeout bounds one record.
	commitTimeout = 2 * time.Second
	// closeTimeout bounds the record of a leader that stops, which delays the
	// hand-over of the leadership. A record takes a few milliseconds.
	closeTimeout = 250 * time.Millisecond
	// mostReplies is how many replies are kept for each entry, for resends.
	mostReplies = 16
	// entryLife is how long a silent entry's replies are kept.
	entryLife = time.Minute
)

// Owner grants tokens while its replica leads. Its fields are set before Run.
type Owner struct {
	// Host gives log and meter.
	Host host.Host
	// Config returns the committed configuration; nil before the first.
	Config func() *conf.Config
	// CommittedHorizon returns the committed reservation of a workspace and a local
	// time at which it had been appended to the log.
	CommittedHorizon func(workspace string) (state.Reservation, time.Time, bool)
	// Propose commits one record if the replica still leads in the term.
	Propose func(ctx context.Context, term uint64, horizons []state.Reservation) error
	// BootTime is that of clock.Watch: reserves end while the VM is suspended.
	BootTime func() time.Time
	// RetryLimit bounds the repeats to each service, and to all endpoints behind
	// agents together. The pools are granted like tokens of workspaces.
	RetryLimit budget.Limit

	mutex   sync.Mutex
	term    uint64
	leading bool
	// closing says that nothing is granted any more.
	closing bool
	spaces  map[string]*space
	entries map[caller]*replies
	config  *conf.Config
	next    uint64
	kick    notify.Signal
	round   *round
	watch   clock.SuspendDetector
}

// round is one record. It is closed when the record is committed or not.
type round struct {
	done   chan struct{}
	failed bool
}

// caller is one incarnation of an entry.
type caller struct {
	entry       string
	incarnation uint64
}

// replies are the last answers to one caller.
type replies struct {
	last  time.Time
	order []uint64
	bySeq map[uint64]*answer
}

// answer is closed once its reply is there.
type answer struct {
	done  chan struct{}
	reply *plane.GrantReply
}

func (o *Owner) prepare() {
	if o.round != nil {
		return
	}
	o.round = &round{done: make(chan struct{})}
}

// SetLeadership tells the owner that its replica gained or lost the leadership. It may
// be told the same twice.
func (o *Owner) SetLeadership(term uint64, leading bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.prepare()
	if o.leading && leading && o.term == term {
		return
	}
	o.term, o.leading = term, leading
	o.spaces, o.entries = map[string]*space{}, map[caller]*replies{}
	o.endRound(true)
}

func (o *Owner) endRound(failed bool) {
	o.round.failed = failed
	close(o.round.done)
	o.round = &round{done: make(chan struct{})}
}

// Run moves the reserves until ctx ends. Then it grants nothing any more and
// gives the reserves back.
func (o *Owner) Run(ctx context.Context) {
	o.mutex.Lock()
	o.prepare()
	o.closing = false
	o.mutex.Unlock()
	defer o.close(context.WithoutCancel(ctx))
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.smooth()
		case <-o.kick.C():
		}
		o.record(ctx)
	}
}

// smooth follows the use of each workspace and drops what is idle.
func (o *Owner) smooth() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.follow()
	o.openPools()
	now := time.Now()
	for name, s := range o.spaces {
		s.advance(now)
		s.smooth()
		if _, pool := budget.Service(name); !pool && s.idle() {
			delete(o.spaces, name)
		}
	}
	for who, kept := range o.entries {
		if now.Sub(kept.last) > entryLife {
			delete(o.entries, who)
		}
	}
}

// wakeUp forgets reserves and leases if the VM was suspended, as a successor
// would: what is committed as reserved counts as granted. The caller holds the
// mutex.
func (o *Owner) wakeUp() {
	o.watch.BootTime = o.BootTime
	if slept := o.watch.Suspended(time.Now()); slept > 0 {
		o.Host.Log.Write("suspended", "time", slept)
		o.spaces = map[string]*space{}
	}
}

// follow brings the buckets to the committed configuration.
func (o *Owner) follow() {
	o.wakeUp()
	config := o.Config()
	if config == nil || config == o.config {
		return
	}
	o.config = config
	now := time.Now()
	for name, s := range o.spaces {
		limits, ok := o.limits(name)
		if !ok {
			delete(o.spaces, name)
			continue
		}
		s.advance(now)
		s.bucket.SetRate(limits.Rate, limits.Burst)
	}
}

// openPools lets the pools of repeats accrue before they are asked for: without
// a committed horizon a pool begins empty. The caller holds the mutex.
func (o *Owner) openPools() {
	if o.config == nil || !o.leading {
		return
	}
	o.space(budget.Account(budget.AllAgents))
	for service := range o.config.Services {
		o.space(budget.Account(service))
	}
}

// limits returns rate and burst of an account, if there is such a workspace or
// service.
func (o *Owner) limits(account string) (conf.Workspace, bool) {
	if o.config == nil {
		return conf.Workspace{}, false
	}
	if service, pool := budget.Service(account); pool {
		_, ok := o.config.Services[service]
		return o.RetryLimit.Pool(), ok || service == budget.AllAgents
	}
	limits, ok := o.config.Workspaces[account]
	return limits, ok
}

// record commits the reserves of the workspaces that need one, in one entry of
// the log.
func (o *Owner) record(ctx context.Context) {
	term, proposed, horizons := o.collect()
	if len(horizons) == 0 {
		o.settle(term, proposed, nil, true)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	err := o.Propose(ctx, term, horizons)
	o.Host.Meter.Add("quota_records", 1)
	o.Host.Meter.Add("quota_horizons", int64(len(horizons)))
	if err != nil {
		o.Host.Log.Write("quota-record-failed", "workspaces", len(horizons), "err", err)
	}
	o.settle(term, proposed, horizons, err == nil)
}

func (o *Owner) collect() (term uint64, proposed time.Time, horizons []state.Reservation) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	if !o.leading || o.closing {
		return o.term, now, nil
	}
	for _, name := range slices.Sorted(maps.Keys(o.spaces)) {
		horizon, ok := o.spaces[name].topUp(now)
		if ok {
			horizons = append(horizons, horizon)
		}
	}
	return o.term, now, horizons
}

// close records what a successor may grant at once: all but the leases.
func (o *Owner) close(ctx context.Context) {
	term, horizons := o.yield()
	if len(horizons) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if err := o.Propose(ctx, term, horizons); err != nil {
		o.Host.Log.Write("quota-not-closed", "workspaces", len(horizons), "err", err)
	}
}

// yield ends all granting and empties the reserves.
func (o *Owner) yield() (term uint64, horizons []state.Reservation) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.closing = true
	o.endRound(true)
	if !o.leading {
		return o.term, nil
	}
	now := time.Now()
	for _, name := range slices.Sorted(maps.Keys(o.spaces)) {
		horizons = append(horizons, o.spaces[name].yield(now))
	}
	return o.term, horizons
}

// settle ends a record, unless the leadership changed meanwhile.
func (o *Owner) settle(term uint64, proposed time.Time, horizons []state.Reservation, committed bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	defer func() { o.endRound(!committed) }()
	if term != o.term || !o.leading {
		return
	}
	for _, horizon := range horizons {
		if s := o.spaces[horizon.Workspace]; s != nil {
			s.settle(committed, proposed)
		}
	}
}
