// Package state implements the replicated state machine of control. It holds
// the configuration, claims, token reservations, fencing numbers, quarantined
// requests, endpoints and adapter versions. Replicas that apply the same log
// hold the same state.
package state

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/bans"
	"github.com/tanagerspindle/tanagerspindle/ctrl/ledger"
	"github.com/tanagerspindle/tanagerspindle/ctrl/poison"
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

// Machine is the replicated state. Apply, Snapshot and Restore must be called
// from one goroutine; the other methods may be called from any. Exported fields
// are set before use.
type Machine struct {
	// OnChange, if not nil, is called after each applied entry whose changes are
	// sent to daemons, and after Restore.
	OnChange func()

	mutex sync.Mutex
	// time is the committed time in nanoseconds since 1970; it never decreases.
	time int64
	// config is nil before the first configuration. A committed configuration is
	// immutable.
	config  *conf.Config
	history []ConfigRecord
	// deltas are the most recent changes, in sequence; the last one produced
	// config.
	deltas       []*conf.Delta
	ledger       ledger.Ledger
	reservations map[string]timedReservation
	fences       map[string]*agentFence
	// lastFence is the last fencing number issued.
	lastFence uint64
	bans      bans.Bans
	// promptParts are the parts of prompts that may crash endpoints.
	promptParts poison.Parts
	// endpointsRevision counts the changes to endpoints and releases.
	endpointsRevision uint64
	endpoints         advert.Table
	// agedRevision is the highest Command.AgedRevision, and ages tells the same by this
	// replica's own clock.
	agedRevision uint64
	ages         revisionAges
	releases     map[adapterKey]plane.Release
}

// timedReservation is a Reservation with a local time by which it had been
// appended to the log.
type timedReservation struct {
	Reservation
	appendedBy time.Time
}

// agentFence is a Fence with the local time after which none of the agent's
// former incarnations can hold a lease.
type agentFence struct {
	Fence
	leasesEndAt time.Time
}

// Apply applies one committed entry and returns the encoded Result. committed is
// the entry's time in nanoseconds, term the term in which it was appended, and
// appendedBy a local time by which it had been appended.
func (m *Machine) Apply(committed int64, term uint64, appendedBy time.Time, data []byte) []byte {
	command := &Command{}
	if err := codec.Decode(data, command); err != nil {
		return encodeResult(&Result{Refused: plane.KindInvalid})
	}
	result, changed := m.apply(committed, term, appendedBy, command)
	if changed && m.OnChange != nil {
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

// apply also reports whether the command changed state that feeds send to
// daemons.
func (m *Machine) apply(committed int64, term uint64, appendedBy time.Time, command *Command) (*Result, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.time = max(m.time, committed)
	number, bansRevision, lastFence, endpointsRevision := m.number(), m.bansRevision(), m.lastFence, m.endpointsRevision
	result := &Result{}
	if command.Config != nil {
		result.Config = m.propose(command.Config)
	}
	if command.Claim != nil {
		result.Claim = m.ledger.Apply(command.Claim, m.time)
	}
	if !m.applyReservations(term, appendedBy, command) {
		result.Refused = plane.KindNoLeader
	}
	for _, agent := range command.Enrolments {
		result.Fences = append(result.Fences, m.enrol(agent))
	}
	for _, agent := range command.EndedAgents {
		m.endIncarnation(agent)
	}
	m.applyBans(command, result)
	m.applyOpaqueRoutes(command, result)
	m.ages.observe(m.endpointsRevision, appendedBy)
	m.ledger.Expire(m.time)
	changed := number != m.number() || bansRevision != m.bansRevision() || lastFence != m.lastFence || endpointsRevision != m.endpointsRevision
	return result, changed
}

func (m *Machine) applyBans(command *Command, result *Result) {
	for i := range command.Crashes {
		m.bans.Apply(&command.Crashes[i], m.time)
		m.promptParts.Apply(&command.Crashes[i], m.time)
	}
	for _, digest := range command.ClearedDigests {
		m.bans.ClearSuspect(digest)
		m.promptParts.Clear(digest, m.time)
	}
	if len(command.LiftDigest) > 0 {
		lifted, cleared := m.bans.Lift(command.LiftDigest), m.promptParts.Clear(command.LiftDigest, m.time)
		result.Lifted = lifted || cleared
	}
	m.bans.Expire(m.time)
	m.promptParts.Expire(m.time)
}

// Snapshot returns the encoded state. The mutex is not held during the encoding,
// which takes long if there are many claims.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := codec.Encode(m.image())
	if err != nil {
		return nil, &Error{Op: "snapshot", Kind: KindEncode, Err: err}
	}
	return data, nil
}

// image returns a copy of the state. It shares only immutable data with the
// machine.
func (m *Machine) image() *image {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	stored := &image{
		Time: m.time, Config: m.config, History: slices.Clone(m.history), Claims: m.ledger.Snapshot(),
		LastFence: m.lastFence, Bans: m.bans.Snapshot(), PromptParts: m.promptParts.Snapshot(),
		EndpointsRevision: m.endpointsRevision, Endpoints: m.endpoints.Snapshot(), Releases: m.releasesSince(0),
		AgedRevision: m.agedRevision, DeferredEndpoints: m.endpoints.Deferred(),
	}
	for _, reservation := range m.reservations {
		stored.Reservations = append(stored.Reservations, reservation.Reservation)
	}
	slices.SortFunc(stored.Reservations, func(a, b Reservation) int { return strings.Compare(a.Workspace, b.Workspace) })
	for _, fence := range m.fences {
		stored.Fences = append(stored.Fences, fence.Fence)
	}
	slices.SortFunc(stored.Fences, func(a, b Fence) int { return cmp.Compare(a.Number, b.Number) })
	return stored
}

// Restore replaces the state with a snapshot.
func (m *Machine) Restore(data []byte) error {
	stored := &image{}
	if err := codec.Decode(data, stored); err != nil {
		return &Error{Op: "restore", Kind: KindSnapshot, Err: err}
	}
	m.restore(stored)
	if m.OnChange != nil {
		m.OnChange()
	}
	return nil
}

func (m *Machine) restore(stored *image) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	m.time, m.config, m.history, m.deltas = stored.Time, stored.Config, stored.History, nil
	m.ledger.Restore(stored.Claims)
	m.bans.Restore(stored.Bans)
	m.promptParts.Restore(stored.PromptParts)
	m.lastFence = stored.LastFence
	m.restoreOpaqueRoutes(stored)
	m.reservations = map[string]timedReservation{}
	for _, restored := range stored.Reservations {
		m.reservations[restored.Workspace] = timedReservation{Reservation: restored, appendedBy: now}
	}
	m.fences = map[string]*agentFence{}
	for _, restored := range stored.Fences {
		m.fences[restored.Agent] = &agentFence{Fence: restored, leasesEndAt: m.leasesEndAfterRestore(restored, now)}
	}
}

// Time returns the committed time in nanoseconds.
func (m *Machine) Time() int64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.time
}

// Due reports whether a claim or a ban expires by the given committed time.
func (m *Machine) Due(time int64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	claim, ok := m.ledger.NextExpiry()
	if ok && claim <= time {
		return true
	}
	if ban, ok := m.bans.NextExpiry(); ok && ban <= time {
		return true
	}
	part, ok := m.promptParts.NextExpiry()
	return ok && part <= time
}

// Claim returns the state of the claim on the request's key without changing it.
func (m *Machine) Claim(request *plane.ClaimRequest) *plane.ClaimReply {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	read := *request
	read.Verb = plane.VerbRead
	return m.ledger.Apply(&read, m.time)
}

// Claims returns the number of claims and the ledger's count of the memory they
// take, in bytes.
func (m *Machine) Claims() (claims int, bytes int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.ledger.Size()
}

// Bans returns the suspect and quarantined requests and parts of prompts, and the
// revision of the list.
func (m *Machine) Bans() ([]plane.Ban, uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Concat(m.bans.List(m.time), m.promptParts.List(m.time)), m.bansRevision()
}

// BansRevision returns the revision of the list of bans.
func (m *Machine) BansRevision() uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.bansRevision()
}

// bansRevision increases with each change of the bans. m.mutex must be held.
func (m *Machine) bansRevision() uint64 { return m.bans.Revision() + m.promptParts.Revision() }
