// Package quota owns the token buckets of all workspaces, and of the retries to all
// services, at the leader, and grants tokens to entries for a short time.
//
// Tokens are granted only from a reserve that the log already counts as granted; one
// record updates the reserves of all active workspaces. A successor starts from the last
// record as if its whole reserve had been granted, and accrues from a local time at which
// the record was in the log, so that neither a change of leader nor a wrong clock grants
// tokens twice. A leader that stops returns its reserves in a last record.
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
	// tick is the interval at which the reserves are updated.
	tick = 100 * time.Millisecond
	// reserveLifetime is how long a committed reserve may be granted. Until the reserve
	// and the grants of a crashed leader have expired, its successor can grant only
	// the rest of the burst, which is often one second's rate. Committing a record
	// takes a few milliseconds, so a short lifetime suffices.
	reserveLifetime = 400 * time.Millisecond
	// minGrantLifetime and maxGrantLifetime limit how long a grant may be spent. Entries
	// send a request each 50 ms.
	minGrantLifetime = 100 * time.Millisecond
	maxGrantLifetime = 300 * time.Millisecond
	// clockDrift is added to the time for which a successor treats tokens granted by a
	// previous leader as outstanding.
	clockDrift = 50 * time.Millisecond
	// demandLifetime is how long an entry's demand counts after its last request.
	demandLifetime = time.Second
	// waiterLifetime is how long a waiter keeps its position after its next request was
	// expected.
	waiterLifetime = time.Second
	// maxPollInterval is the longest pause between two requests of an entry that waits
	// (entry/limit). With a quota window, an entry that misses one for waiterLifetime loses
	// its position: those behind a killed entry would otherwise wait for its tokens to accrue.
	maxPollInterval = 500 * time.Millisecond
	// minWait is the minimum waiting time sent to an entry.
	minWait = 5 * time.Millisecond
	// recoveryTime is how long after the beginning of a leadership a lack of tokens may come
	// from the time without a leader. At the rate, the requests of 1.5 s without one have
	// their tokens in less (stubs/chaos, TestRefusalsAfterLoss).
	recoveryTime = 10 * time.Second
	// grantTimeout limits how long a request waits for a commit.
	grantTimeout = time.Second
	// commitTimeout limits committing one record.
	commitTimeout = 2 * time.Second
	// closeTimeout limits committing the last record of a leader that stops, which
	// delays the transfer of leadership. A record takes a few milliseconds.
	closeTimeout = 250 * time.Millisecond
	// maxReplies is the number of replies kept per entry, to answer resends.
	maxReplies = 16
	// replyRetention is how long replies are kept after an entry's last request.
	replyRetention = time.Minute
)

// Owner grants tokens while its replica leads. Its fields are set before Run.
type Owner struct {
	// Host provides the log and the meter.
	Host host.Host
	// Config returns the committed configuration, or nil if there is none yet.
	Config func() *conf.Config
	// CommittedReservation returns the committed reservation of a workspace or service
	// pool, and a local time at which it was already in the log.
	CommittedReservation func(workspace string) (state.Reservation, time.Time, bool)
	// Propose commits one record if the replica still leads in the term.
	Propose func(ctx context.Context, term uint64, reservations []state.Reservation) error
	// BootTime is the clock that clock.SuspendDetector compares with Go's monotonic
	// clock to detect that the VM was suspended: reserves expire during a suspension.
	BootTime func() time.Time
	// RetryLimit limits the retries to each service, and to all endpoints behind agents
	// together. Retries are granted from pools in the same way as workspaces' tokens.
	RetryLimit budget.Limit
	// QuotaWindow is the window in which a workspace may use its rate and its burst: the part
	// of the burst beyond one second's rate is granted again in each window. Zero grants a
	// burst once, until the bucket is full again. It is at least a second.
	QuotaWindow time.Duration

	mutex   sync.Mutex
	term    uint64
	leading bool
	// ledSince is when the replica began to lead in this term, or to lead on after a
	// suspension.
	ledSince time.Time
	// closing is set once the owner stops and grants nothing more.
	closing bool
	// accounts are the accounts in use, by workspace name or by the account name of a
	// service's retry pool.
	accounts map[string]*account
	// refills are the capacities of the workspaces' buckets since the replica leads.
	refills        map[string]*refill
	repliesByEntry map[entryKey]*entryReplies
	// config is the configuration to which the accounts were last updated.
	config      *conf.Config
	lastGrantID uint64
	// kick makes Run commit a record before the next tick.
	kick notify.Signal
	// record is the next record to end; requests wait for its end.
	record          *record
	suspendDetector clock.SuspendDetector
}

// record is the next record of the log. Its done is closed once the record has been
// committed or has failed.
type record struct {
	done   chan struct{}
	failed bool
}

// entryKey identifies one incarnation of an entry.
type entryKey struct {
	entry       string
	incarnation uint64
}

// entryReplies are the last replies to one incarnation of an entry; order lists their
// Seqs, oldest first.
type entryReplies struct {
	lastUsed time.Time
	order    []uint64
	bySeq    map[uint64]*pendingReply
}

// pendingReply is the reply to one request; done is closed once reply is set.
type pendingReply struct {
	done  chan struct{}
	reply *plane.GrantReply
}

func (o *Owner) prepare() {
	if o.record != nil {
		return
	}
	o.record = &record{done: make(chan struct{})}
}

// SetLeadership informs the owner that its replica gained or lost the leadership. Repeated
// calls for the same term have no effect.
func (o *Owner) SetLeadership(term uint64, leading bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.prepare()
	if o.leading && leading && o.term == term {
		return
	}
	o.term, o.leading = term, leading
	o.accounts, o.repliesByEntry = map[string]*account{}, map[entryKey]*entryReplies{}
	o.refills, o.ledSince = nil, time.Now()
	o.endRecord(true)
}

// endRecord wakes the requests that wait for the current record, and starts the next one.
// The caller holds the mutex.
func (o *Owner) endRecord(failed bool) {
	o.record.failed = failed
	close(o.record.done)
	o.record = &record{done: make(chan struct{})}
}

// Run maintains the reserves until ctx ends. It then stops granting and returns the
// reserves.
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
			o.updateAccounts()
		case <-o.kick.C():
		}
		o.commitRecord(ctx)
	}
}

// updateAccounts updates the usage of each account and drops idle accounts and old
// replies.
func (o *Owner) updateAccounts() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.applyConfig()
	o.openPools()
	now := time.Now()
	for name, a := range o.accounts {
		a.advance(now)
		a.updateUsage()
		if !isPool(name) && a.idle() {
			delete(o.accounts, name)
		}
	}
	for key, replies := range o.repliesByEntry {
		if now.Sub(replies.lastUsed) > replyRetention {
			delete(o.repliesByEntry, key)
		}
	}
}

// detectSuspend drops all accounts if the VM was suspended, and so continues as a
// successor would: the committed reserves count as granted. The caller holds the mutex.
func (o *Owner) detectSuspend() {
	o.suspendDetector.BootTime = o.BootTime
	if slept := o.suspendDetector.Suspended(time.Now()); slept > 0 {
		o.Host.Log.Write("suspended", "time", slept)
		o.accounts = map[string]*account{}
		o.ledSince = time.Now()
	}
}

// applyConfig updates the buckets to the committed configuration. The caller holds the
// mutex.
func (o *Owner) applyConfig() {
	o.detectSuspend()
	config := o.Config()
	if config == nil || config == o.config {
		return
	}
	o.config = config
	now := time.Now()
	for name, a := range o.accounts {
		limits, ok := o.limits(name)
		if !ok {
			delete(o.accounts, name)
			continue
		}
		a.advance(now)
		if a.refill != nil {
			a.refill.setLimits(limits)
			a.applyRefill(now)
			continue
		}
		a.bucket.SetRate(limits.Rate, limits.Burst)
	}
	maps.DeleteFunc(o.refills, func(name string, _ *refill) bool {
		_, ok := config.Workspaces[name]
		return !ok
	})
}

// isPool reports whether an account is the retry pool of a service.
func isPool(name string) bool {
	_, pool := budget.Service(name)
	return pool
}

// openPools adds the accounts of all retry pools, so that they accrue before their first
// use: without a committed reservation a pool starts empty. The caller holds the mutex.
func (o *Owner) openPools() {
	if o.config == nil || !o.leading {
		return
	}
	o.loadAccount(budget.Account(budget.AllAgents))
	for service := range o.config.Services {
		o.loadAccount(budget.Account(service))
	}
}

// limits returns the rate and burst of the named account, and whether there is such a
// workspace or service.
func (o *Owner) limits(name string) (conf.Workspace, bool) {
	if o.config == nil {
		return conf.Workspace{}, false
	}
	if service, pool := budget.Service(name); pool {
		_, ok := o.config.Services[service]
		return o.RetryLimit.Pool(), ok || service == budget.AllAgents
	}
	limits, ok := o.config.Workspaces[name]
	return limits, ok
}

// commitRecord commits the reservations of all accounts that need an update, in one log entry.
func (o *Owner) commitRecord(ctx context.Context) {
	term, proposed, reservations := o.collectReservations()
	if len(reservations) == 0 {
		o.finishRecord(term, proposed, nil, true)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	err := o.Propose(ctx, term, reservations)
	o.Host.Meter.Add("quota_records", 1)
	o.Host.Meter.Add("quota_horizons", int64(len(reservations)))
	if err != nil {
		o.Host.Log.Write("quota-record-failed", "workspaces", len(reservations), "err", err)
	}
	o.finishRecord(term, proposed, reservations, err == nil)
}

// collectReservations returns the reservations that need a record, and the term and the
// time for which they hold.
func (o *Owner) collectReservations() (term uint64, proposed time.Time, reservations []state.Reservation) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	if !o.leading || o.closing {
		return o.term, now, nil
	}
	for _, name := range slices.Sorted(maps.Keys(o.accounts)) {
		reservation, ok := o.accounts[name].topUp(now)
		if ok {
			reservations = append(reservations, reservation)
		}
	}
	return o.term, now, reservations
}

// close commits a last record, which lets a successor grant everything but the
// outstanding grants immediately.
func (o *Owner) close(ctx context.Context) {
	term, reservations := o.releaseAll()
	if len(reservations) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if err := o.Propose(ctx, term, reservations); err != nil {
		o.Host.Log.Write("quota-not-closed", "workspaces", len(reservations), "err", err)
	}
}

// releaseAll stops granting and empties the reserves.
func (o *Owner) releaseAll() (term uint64, reservations []state.Reservation) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.closing = true
	o.endRecord(true)
	if !o.leading {
		return o.term, nil
	}
	now := time.Now()
	for _, name := range slices.Sorted(maps.Keys(o.accounts)) {
		reservations = append(reservations, o.accounts[name].release(now))
	}
	return o.term, reservations
}

// finishRecord applies the result of a record, unless the leadership has changed in the
// meantime.
func (o *Owner) finishRecord(term uint64, proposed time.Time, reservations []state.Reservation, committed bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	defer func() { o.endRecord(!committed) }()
	if term != o.term || !o.leading {
		return
	}
	for _, reservation := range reservations {
		if a := o.accounts[reservation.Workspace]; a != nil {
			a.settle(committed, proposed)
		}
	}
}
