package feeds

import (
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

// compose builds the next update for a client and reports whether it contains changes.
// For a reply to a heartbeat (seq is not 0) it is called after the heartbeat's quorum
// round, so that the state read here is at least as recent as that round.
func (f *Feeds) compose(c *client, seq uint64) (update *plane.Update, changed bool) {
	update = &plane.Update{Seq: seq, ConfigNumber: f.Machine.Number()}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.hello.Role == plane.RoleAgent && !f.composeAgent(c, update) {
		update.Superseded = true
		return update, true
	}
	if update.Fence != 0 && !c.fenceSent {
		c.fenceSent, changed = true, true
	}
	if c.sentConfig < update.ConfigNumber {
		f.composeConfig(c, update)
		changed = true
	}
	if c.hello.Role == plane.RoleEntry && f.composeRoster(c, update) {
		changed = true
	}
	if c.hello.Role != plane.RoleAgent && f.composeEndpoints(c, update) {
		changed = true
	}
	if revision := f.Machine.BansRevision(); revision != c.sentBans {
		update.Bans, update.BansRevision = f.Machine.Bans()
		c.sentBans = update.BansRevision
		changed = true
	}
	if update.BansRevision == 0 {
		update.BansRevision = c.sentBans
	}
	return update, changed
}

// composeConfig adds the changes that bring a daemon to the committed configuration.
// Agents receive only its number, which they acknowledge: they act on the requests that
// reach them, and their endpoints announce themselves to them.
func (f *Feeds) composeConfig(c *client, update *plane.Update) {
	if c.hello.Role != plane.RoleAgent {
		update.Config = f.Machine.Deltas(c.sentConfig)
	}
	if update.Config != nil {
		update.ConfigNumber = update.Config.To
	}
	c.sentConfig, c.configSentAt = update.ConfigNumber, time.Now()
}

// composeEndpoints adds endpoints, releases and the addresses of the control replicas
// if they have changed. For an entry it also adds the number of entries.
func (f *Feeds) composeEndpoints(c *client, update *plane.Update) bool {
	changed := false
	if f.Machine.EndpointsRevision() != c.sentRevision {
		update.Endpoints, update.Releases, update.EndpointsRevision = f.Machine.EndpointsSince(c.sentRevision)
		c.sentRevision = update.EndpointsRevision
		changed = true
	}
	if f.Replicas == nil {
		return changed
	}
	if replicas := f.Replicas(); !slices.Equal(replicas.Addresses, c.sentReplicas) {
		c.sentReplicas, update.Replicas, update.ReplicasIndex = replicas.Addresses, replicas.Addresses, replicas.Index
		changed = true
	}
	if c.hello.Role == plane.RoleEntry {
		update.EntryCount = int32(f.countEntries())
		update.EntryRank, update.EntryListed = f.rankEntry(c.hello.Name)
		if revision := f.limits.Revision(); revision != c.sentLimits {
			c.sentLimits, update.Limits = revision, f.limits.Reports(time.Now())
			changed = true
		}
	}
	return changed
}

// composeAgent adds the fencing number and the load limits, which only agents use. It
// returns false when a later incarnation of the agent exists.
func (f *Feeds) composeAgent(c *client, update *plane.Update) bool {
	newest, wait, ok := f.Machine.Fence(c.hello.Name)
	if !ok || newest.Incarnation != c.hello.Incarnation {
		return false
	}
	if wait == 0 || c.hello.EnforcesFencing {
		update.Fence = newest.Number
	}
	update.LoadsPerSecond, update.EngineCount = f.LoadsPerSecond, f.engineCount.Load()
	return true
}

// composeRoster adds the roster records that an entry does not have, without the
// request digests, which only control uses. Records whose load alone has changed are
// sent as loads, at the rate of the client's loadQueue.
func (f *Feeds) composeRoster(c *client, update *plane.Update) bool {
	if c.rosterSynced && covers(c.sentVector, f.Roster.Vector()) && !c.loads.hasPending() {
		return false
	}
	deltaSince := f.Roster.DeltaSince
	if c.rosterSynced {
		deltaSince = f.Roster.DeltaForFollower
	}
	delta := deltaSince(c.sentVector)
	if !c.rosterSynced {
		c.loads.addAll(f.Roster.All())
	}
	c.rosterSynced = true
	delta.Sender = f.ReplicaID()
	if delta.Complete {
		delta.Vector = f.coverFormerMembers(delta.Vector, c.hello.Vector)
	} else {
		delta.Records = c.loads.separate(delta.Records, c.sentVector)
	}
	for i := range delta.Records {
		delta.Records[i].Digests = nil
	}
	delta.Loads = c.loads.take(f.Roster, time.Now())
	c.sentVector = joinVectors(c.sentVector, delta.Vector)
	if len(delta.Records) == 0 && len(delta.Loads) == 0 && !delta.Complete {
		return false
	}
	update.Roster = delta
	return true
}

// coverFormerMembers adds the vector entries of replicas that are no longer members, so
// that the receiver also removes agents last reported by such a replica: no other
// replica can report their removal.
func (f *Feeds) coverFormerMembers(vector, held []roster.VectorEntry) []roster.VectorEntry {
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

// covers reports whether the first vector is at least as recent as the second for every
// origin.
func covers(vector, other []roster.VectorEntry) bool {
	for _, mark := range other {
		at := slices.IndexFunc(vector, func(c roster.VectorEntry) bool { return c.Origin == mark.Origin })
		if at < 0 || vector[at].Counter < mark.Counter {
			return false
		}
	}
	return true
}

// joinVectors returns the vector with the larger counter of each origin.
func joinVectors(vector, other []roster.VectorEntry) []roster.VectorEntry {
	joined := slices.Clone(vector)
	for _, mark := range other {
		at := slices.IndexFunc(joined, func(c roster.VectorEntry) bool { return c.Origin == mark.Origin })
		if at < 0 {
			joined = append(joined, mark)
			continue
		}
		joined[at].Counter = max(joined[at].Counter, mark.Counter)
	}
	return joined
}
