package raft

import (
	"math/rand/v2"
)

const (
	// initialTimeouts is the number of short election timeouts after a start, and
	// initialTimeoutDivisor the divisor that shortens them. Together they last
	// as long as one regular timeout, in which connections are established.
	initialTimeouts       = 4
	initialTimeoutDivisor = 4
)

// The roles of a replica.
const (
	roleFollower = iota
	rolePreCandidate
	roleCandidate
	roleLeader
)

// Config is the configuration and stored state of a Core. All limits must be
// above zero.
type Config struct {
	ID uint64
	// Seed seeds the random election timeouts.
	Seed uint64
	// ElectionTicks is the minimum election timeout; the maximum is just below
	// twice that. HeartbeatTicks is the interval between heartbeats.
	ElectionTicks, HeartbeatTicks int
	// MaxAppendBytes limits the data in one append message, except that a single
	// larger entry is sent alone. MaxInflightAppends limits the append messages
	// sent to a follower and not yet acknowledged.
	MaxAppendBytes, MaxInflightAppends int
	// Hard, Snapshot and Entries are the state read from disk; entries that the
	// snapshot contains are ignored.
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Core is the consensus state of one replica; ctrl/node drives it. It is not safe for
// concurrent use.
type Core struct {
	config Config
	random *rand.Rand
	// now is the highest Input.Now, in nanoseconds since 1970.
	now  int64
	role int
	// hard is the current state, emittedHard the last one passed to the caller.
	hard        HardState
	emittedHard HardState
	leader      uint64
	log         entryLog
	snapshot    Snapshot
	// memberships are the memberships in the log, oldest first. The last one is in
	// force; the others remain until they are compacted, because their successor may
	// be reverted.
	memberships []membershipAt
	// commit is the last committed entry, applied the last entry that was returned in
	// Output.Committed or installed.
	commit  uint64
	applied uint64
	// elapsed counts ticks since the last message of the leader, vote granted or
	// start of an election; at the leader, since the last heartbeat.
	elapsed, electionTimeout int
	// shortTimeoutsLeft is the number of short election timeouts that remain.
	shortTimeoutsLeft int
	// votes are the IDs of the replicas that granted their vote.
	votes map[uint64]bool
	// peers is the replication state of each member, at the leader only.
	peers map[uint64]*progress
	// transferTarget is the replica that leadership is being transferred to, 0
	// for none. The transfer is given up after Config.ElectionTicks.
	transferTarget uint64
	transferTicks  int
	// readRounds are the unfinished read rounds, oldest first, and readRoundSeq is the
	// sequence number of the newest round that was started.
	readRounds   []readRound
	readRoundSeq uint64
	// incoming is the snapshot being received.
	incoming *Install
	// out is the output of the current Step.
	out Output
}

// New returns a follower with the state read from disk.
func New(config Config) (*Core, error) {
	c := &Core{
		config:      config,
		random:      rand.New(rand.NewPCG(config.Seed, config.ID)),
		hard:        config.Hard,
		emittedHard: config.Hard,
		snapshot:    config.Snapshot,
		commit:      config.Snapshot.Index,
		applied:     config.Snapshot.Index,
	}
	c.log.reset(config.Snapshot)
	c.memberships = []membershipAt{{index: config.Snapshot.Index, members: config.Snapshot.Members}}
	for _, entry := range config.Entries {
		if entry.Index <= config.Snapshot.Index {
			continue
		}
		if entry.Index != c.log.last()+1 {
			return nil, &Error{Op: "restore log", Kind: KindGap}
		}
		c.log.append(entry)
		if err := c.applyMembership(entry); err != nil {
			return nil, err
		}
	}
	c.shortTimeoutsLeft = initialTimeouts
	c.resetElectionTimer()
	if members := c.members(); len(members) == 1 && members[0].Voter {
		// The only voter needs no other vote, so it campaigns at the next tick.
		c.elapsed = c.electionTimeout
	}
	return c, nil
}

// Step processes one event and returns the resulting work for the caller.
func (c *Core) Step(in Input) Output {
	c.out = Output{}
	if in.Now > c.now {
		c.now = in.Now
	}
	switch {
	case in.Tick:
		c.tick()
	case in.Message != nil:
		c.receive(in.Message)
	case len(in.Propose) > 0:
		c.propose(in.Propose)
	case in.Change != nil:
		c.changeMembership(*in.Change)
	case in.Synced != nil:
		c.ownLogSynced(*in.Synced)
	case in.ReadID != 0:
		c.startReadRound(in.ReadID)
	case in.Transfer != 0:
		c.transferLeadership(in.Transfer)
	case in.Unreachable != 0:
		c.reportUnreachable(in.Unreachable)
	case in.Compact != nil:
		c.compact(*in.Compact, in.KeepEntries)
	case in.Bootstrap != nil:
		c.bootstrap(in.Bootstrap)
	}
	return c.finish()
}

// finish completes the output with a changed hard state and newly committed entries.
func (c *Core) finish() Output {
	if c.hard != c.emittedHard {
		hard := c.hard
		c.out.Hard = &hard
		c.emittedHard = c.hard
	}
	if c.commit > c.applied {
		c.out.Committed = c.log.entriesBetween(c.applied+1, c.commit)
		c.applied = c.commit
	}
	out := c.out
	c.out = Output{}
	return out
}

// fail reports a violated invariant in the output.
func (c *Core) fail(op string, kind Kind) {
	c.out.Err = &Error{Op: op, Kind: kind}
}

// send adds a message to those that the caller sends after the sync.
func (c *Core) send(m Message) {
	m.From = c.config.ID
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	c.out.Messages = append(c.out.Messages, m)
}

// sendEarly sends a message that does not depend on the state of this replica's
// disk, so the message may leave before the sync.
func (c *Core) sendEarly(m Message) {
	m.From = c.config.ID
	m.Term = c.hard.Term
	c.out.EarlyMessages = append(c.out.EarlyMessages, m)
}

// resetElectionTimer draws the next election timeout. The first timeouts after a
// start are short, until a message from a leader arrives: after a power loss the
// group has no leader, and the pre-votes of a replica that starts while a leader
// is active do not disturb the group.
func (c *Core) resetElectionTimer() {
	c.elapsed = 0
	minTimeout := c.config.ElectionTicks
	if c.shortTimeoutsLeft > 0 {
		c.shortTimeoutsLeft--
		minTimeout = max(minTimeout/initialTimeoutDivisor, 1)
	}
	c.electionTimeout = minTimeout + c.random.IntN(minTimeout)
}

func (c *Core) tick() {
	c.elapsed++
	if c.role == roleLeader {
		c.tickLeader()
		return
	}
	if c.elapsed >= c.electionTimeout && c.isVoter(c.config.ID) {
		c.campaign(true, false)
	}
}

func (c *Core) receive(m *Message) {
	if m.To != c.config.ID {
		return
	}
	if m.Term < c.hard.Term {
		c.receiveStale(m)
		return
	}
	if m.Kind == MessagePreVote || m.Kind == MessageVote {
		c.receiveVote(m)
		return
	}
	if m.Kind == MessagePreVoteReply {
		c.receivePreVoteReply(m)
		return
	}
	if m.Term > c.hard.Term {
		c.becomeFollower(m.Term, 0)
	}
	c.receiveCurrent(m)
}

// receiveStale rejects a message of an earlier term, so that its sender learns
// the current term.
func (c *Core) receiveStale(m *Message) {
	switch m.Kind {
	case MessagePreVote:
		c.send(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
	case MessageVote:
		c.send(Message{Kind: MessageVoteReply, To: m.From, Reject: true})
	case MessageAppend, MessageHeartbeat, MessageChunk:
		c.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true})
	}
}

// receiveCurrent handles a message of the current term.
func (c *Core) receiveCurrent(m *Message) {
	switch m.Kind {
	case MessageVoteReply:
		c.receiveVoteReply(m)
	case MessageAppend, MessageHeartbeat, MessageChunk:
		c.receiveLeader(m)
	case MessageAppendReply, MessageHeartbeatReply, MessageChunkReply:
		c.receiveReply(m)
	case MessageTimeoutNow:
		if c.role == roleFollower && c.isVoter(c.config.ID) {
			c.campaign(false, true)
		}
	}
}

// receiveLeader handles a message of the current term's leader.
func (c *Core) receiveLeader(m *Message) {
	if c.role == roleLeader {
		c.fail("receive from a second leader", KindConflict)
		return
	}
	if c.role != roleFollower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.elapsed = 0
	switch m.Kind {
	case MessageAppend:
		c.receiveAppend(m)
	case MessageHeartbeat:
		c.commitTo(min(m.Commit, c.log.last()))
		c.send(Message{Kind: MessageHeartbeatReply, To: m.From, ReadRound: m.ReadRound})
	case MessageChunk:
		c.receiveChunk(m)
	}
}

// becomeFollower makes the replica a follower of leader, which is 0 if unknown.
func (c *Core) becomeFollower(term, leader uint64) {
	if term > c.hard.Term {
		c.hard = HardState{Term: term}
		c.incoming = nil
	}
	if c.role == roleLeader {
		c.abortReadRounds()
	}
	c.role = roleFollower
	c.leader = leader
	if leader != 0 {
		c.shortTimeoutsLeft = 0
	}
	c.peers = nil
	c.votes = nil
	c.transferTarget = 0
	c.resetElectionTimer()
}

func (c *Core) commitTo(index uint64) {
	if index > c.commit {
		c.commit = index
	}
}
