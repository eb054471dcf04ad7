// Package state holds the replicated machine of control: configuration,
// claims, token reservations, fencing numbers and quarantine. Replicas that
// apply the same log hold the same state.
package state

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/bans"
	"github.com/tanagerspindle/tanagerspindle/ctrl/ledger"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	KindEncode   Kind = "cannot encode"
	KindSnapshot Kind = "bad snapshot"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// Machine is the replicated state. Apply, Snapshot and Restore are called from
// one goroutine; the other methods from any. Its fields are set before use.
type Machine struct {
	// OnChange is called after each applied entry that daemons may have to
	// hear of; nil does nothing.
	OnChange func()

	mutex sync.Mutex
	// time is the committed time in nanoseconds; it never decreases.
	time int64
	// config is nil before the first one. A committed one is immutable.
	config  *conf.Config
	history []ConfigRecord
	// deltas lead to config in sequence, the last ones only.
	deltas   []*conf.Delta
	ledger   ledger.Ledger
	horizons map[string]reservation
	fences   map[string]*fence
	next     uint64
	bans     bans.Bans
	// changes counts the changes of the census and of releases.
	changes  uint64
	census   advert.Table
	releases map[releaseKey]plane.Release
}

// reservation is a horizon with a local time at which it had been appended.
type reservation struct {
	Reservation
	seen time.Time
}

// fence is a Fence with the local time at which the agent's former
// incarnations can no longer hold a lease.
type fence struct {
	Fence
	free time.Time
}

// Apply applies one committed entry at its committed time, in nanoseconds, and
// returns the encoded Result. Term is the one in which it was appended, seen a
// local time at which it had been.
func (m *Machine) Apply(at int64, term uint64, seen time.Time, data []byte) []byte {
	command := &Command{}
	if err := codec.Decode(data, command); err != nil {
		return encodeResult(&Result{Refused: plane.KindInvalid})
	}
	result, news := m.apply(at, term, seen, command)
	if news && m.OnChange != nil {
		m.OnChange()
	}
	return encodeResult(result)
}

func encodeResult(result *Result) []byte {
	data, err := codec.Encode(result)
	if err != nil {
		return nil
	}
	return data
}

// apply reports with the result whether feeds have news to carry.
func (m *Machine) apply(at int64, term uint64, seen time.Time, command *Command) (*Result, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.time = max(m.time, at)
	number, revision, next, changes := m.number(), m.bans.Revision(), m.next, m.changes
	result := &Result{}
	if command.Config != nil {
		result.Config = m.propose(command.Config)
	}
	if command.Claim != nil {
		result.Claim = m.ledger.Apply(command.Claim, m.time)
	}
	if !m.reserveAll(term, seen, command) {
		result.Refused = plane.KindNoLeader
	}
	for _, enrol := range command.Enrolments {
		result.Fences = append(result.Fences, m.enrol(enrol))
	}
	for _, end := range command.EndedAgents {
		m.end(end)
	}
	m.applyBans(command, result)
	m.applySite(command, result)
	m.ledger.Expire(m.time)
	news := number != m.number() || revision != m.bans.Revision() || next != m.next || changes != m.changes
	return result, news
}

func (m *Machine) applyBans(command *Command, result *Result) {
	for i := range command.Crashes {
		m.bans.Apply(&command.Crashes[i], m.time)
	}
	for _, digest := range command.ClearedDigests {
		m.bans.ClearSuspect(digest)
	}
	if len(command.LiftDigest) > 0 {
		result.Lifted = m.bans.Lift(command.LiftDigest)
	}
	m.bans.Expire(m.time)
}

// Snapshot returns the encoded state. Readers do not wait for the encoding,
// which takes long when there are many claims.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := codec.Encode(m.image())
	if err != nil {
		return nil, &Error{Op: "snapshot", Kind: KindEncode, Err: err}
	}
	return data, nil
}

// image copies the state; what it shares with the machine is never changed.
func (m *Machine) image() *image {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	shown := &image{
		Time: m.time, Config: m.config, History: slices.Clone(m.history), Claims: m.ledger.Snapshot(),
		LastFence: m.next, Bans: m.bans.Snapshot(),
		EndpointsRevision: m.changes, Endpoints: m.census.Snapshot(), Releases: m.releasesSince(0),
	}
	for _, horizon := range m.horizons {
		shown.Reservations = append(shown.Reservations, horizon.Reservation)
	}
	slices.SortFunc(shown.Reservations, func(a, b Reservation) int { return strings.Compare(a.Workspace, b.Workspace) })
	for _, fence := range m.fences {
		shown.Fences = append(shown.Fences, fence.Fence)
	}
	slices.SortFunc(shown.Fences, func(a, b Fence) int { return cmp.Compare(a.Number, b.Number) })
	return shown
}

// Restore replaces the state by a snapshot.
func (m *Machine) Restore(data []byte) error {
	shown := &image{}
	if err := codec.Decode(data, shown); err != nil {
		return &Error{Op: "restore", Kind: KindSnapshot, Err: err}
	}
	m.restore(shown)
	if m.OnChange != nil {
		m.OnChange()
	}
	return nil
}

func (m *Machine) restore(shown *image) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	m.time, m.config, m.history, m.deltas = shown.Time, shown.Config, shown.History, nil
	m.ledger.Restore(shown.Claims)
	m.bans.Restore(shown.Bans)
	m.next = shown.LastFence
	m.restoreSite(shown)
	m.horizons = map[string]reservation{}
	for _, horizon := range shown.Reservations {
		m.horizons[horizon.Workspace] = reservation{Reservation: horizon, seen: now}
	}
	m.fences = map[string]*fence{}
	for _, former := range shown.Fences {
		m.fences[former.Agent] = &fence{Fence: former, free: m.freeAt(former, now)}
	}
}

// Time returns the committed time in nanoseconds.
func (m *Machine) Time() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.time
}

// Due reports whether something expires before the given committed time.
func (m *Machine) Due(at int64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	claim, ok := m.ledger.NextExpiry()
	if ok && claim <= at {
		return true
	}
	ban, ok := m.bans.NextExpiry()
	return ok && ban <= at
}

// Claim returns how the claim of a key stands.
func (m *Machine) Claim(ask *plane.ClaimRequest) *plane.ClaimReply {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	read := *ask
	read.Verb = plane.VerbRead
	return m.ledger.Apply(&read, m.time)
}

// Claims returns the number of claims and the memory they take, in bytes, by
// the ledger's count.
func (m *Machine) Claims() (claims int, bytes int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.ledger.Size()
}

// Bans returns the suspects and quarantined requests, and the revision of the
// list.
func (m *Machine) Bans() ([]plane.Ban, uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.bans.List(m.time), m.bans.Revision()
}

// BansRevision returns the revision of the list of bans.
func (m *Machine) BansRevision() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.bans.Revision()
}
