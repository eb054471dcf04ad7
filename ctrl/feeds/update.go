package feeds

import (
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

// compose makes the message for a member and reports whether it has news. For
// an answer (seq not 0) it is called after the beat's quorum round, so that
// the state read here is at least as new as that round.
func (f *Feeds) compose(m *member, seq uint64) (update *plane.Update, news bool) {
	update = &plane.Update{Seq: seq, ConfigNumber: f.Machine.Number()}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.hello.Role == plane.RoleAgent && !f.composeAgent(m, update) {
		update.Superseded = true
		return update, true
	}
	if update.Fence != 0 && !m.fenced {
		m.fenced, news = true, true
	}
	if m.number < update.ConfigNumber {
		f.composeConfig(m, update)
		news = true
	}
	if m.hello.Role == plane.RoleEntry && f.composeRoster(m, update) {
		news = true
	}
	if m.hello.Role != plane.RoleAgent && f.composeSite(m, update) {
		news = true
	}
	if revision := f.Machine.BansRevision(); revision != m.bans {
		update.Bans, update.BansRevision = f.Machine.Bans()
		m.bans = update.BansRevision
		news = true
	}
	if update.BansRevision == 0 {
		update.BansRevision = m.bans
	}
	return update, news
}

// composeConfig adds what leads a daemon to the committed configuration.
// Agents whose endpoints announce themselves to them act on requests and not
// on the configuration; they only acknowledge its number.
func (f *Feeds) composeConfig(m *member, update *plane.Update) {
	if m.hello.Role != plane.RoleAgent {
		update.Config = f.Machine.Deltas(m.number)
	}
	if update.Config != nil {
		update.ConfigNumber = update.Config.To
	}
	m.number, m.sent = update.ConfigNumber, time.Now()
}

// composeSite adds endpoints, releases and control's own addresses where they
// have changed.
func (f *Feeds) composeSite(m *member, update *plane.Update) bool {
	news := false
	if f.Machine.EndpointsRevision() != m.changes {
		update.Endpoints, update.Releases, update.EndpointsRevision = f.Machine.EndpointsSince(m.changes)
		m.changes = update.EndpointsRevision
		news = true
	}
	if f.Addresses == nil {
		return news
	}
	if replicas := f.Addresses(); !slices.Equal(replicas, m.replicas) {
		m.replicas, update.Replicas = replicas, replicas
		news = true
	}
	if m.hello.Role == plane.RoleEntry {
		update.EntryCount = int32(f.countEntries())
	}
	return news
}

// composeAgent adds what only agents need. It returns false when a later
// incarnation of the agent exists.
func (f *Feeds) composeAgent(m *member, update *plane.Update) bool {
	newest, wait, ok := f.Machine.Fence(m.hello.Name)
	if !ok || newest.Incarnation != m.hello.Incarnation {
		return false
	}
	if wait == 0 || m.hello.EnforcesFencing {
		update.Fence = newest.Number
	}
	update.LoadsPerSecond, update.EngineCount = f.LoadsPerSecond, f.engines.Load()
	return true
}

// composeRoster adds the records that an entry does not have, without what
// only control needs.
func (f *Feeds) composeRoster(m *member, update *plane.Update) bool {
	if m.followed && covers(m.vector, f.Roster.Vector()) && !m.debt.open() {
		return false
	}
	ask := f.Roster.DeltaSince
	if m.followed {
		ask = f.Roster.DeltaForFollower
	}
	delta := ask(m.vector)
	if !m.followed {
		m.debt.oweAll(f.Roster.All())
	}
	m.followed = true
	delta.Sender = f.ReplicaID()
	if delta.Complete {
		delta.Vector = f.coverFormer(delta.Vector, m.hello.Vector)
	} else {
		delta.Records = m.debt.divide(delta.Records, m.vector)
	}
	for i := range delta.Records {
		delta.Records[i].Digests = nil
	}
	delta.Loads = m.debt.pay(f.Roster, time.Now())
	m.vector = joinVectors(m.vector, delta.Vector)
	if len(delta.Records) == 0 && len(delta.Loads) == 0 && !delta.Complete {
		return false
	}
	update.Roster = delta
	return true
}

// coverFormer adds the marks of replicas that are no longer members: nobody
// else can say that their agents are gone.
func (f *Feeds) coverFormer(vector, held []roster.VectorEntry) []roster.VectorEntry {
	if f.MemberIDs == nil {
		return vector
	}
	members := f.MemberIDs()
	var former []roster.VectorEntry
	for _, mark := range held {
		if len(members) > 0 && !slices.Contains(members, mark.Origin) {
			former = append(former, mark)
		}
	}
	return joinVectors(vector, former)
}

// covers reports whether the first vector has every mark of the second.
func covers(vector, other []roster.VectorEntry) bool {
	for _, mark := range other {
		at := slices.IndexFunc(vector, func(m roster.VectorEntry) bool { return m.Origin == mark.Origin })
		if at < 0 || vector[at].Counter < mark.Counter {
			return false
		}
	}
	return true
}

// joinVectors returns the larger mark of each origin.
func joinVectors(vector, other []roster.VectorEntry) []roster.VectorEntry {
	joined := slices.Clone(vector)
	for _, mark := range other {
		at := slices.IndexFunc(joined, func(m roster.VectorEntry) bool { return m.Origin == mark.Origin })
		if at < 0 {
			joined = append(joined, mark)
			continue
		}
		joined[at].Counter = max(joined[at].Counter, mark.Counter)
	}
	return joined
}
