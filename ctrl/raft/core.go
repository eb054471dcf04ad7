package raft

import (
	"math/rand/v2"
)

const (
	// earlyTimeouts is how many election timeouts after a start are short, and
	// earlyPart the divisor that makes them so. Together they last as long as
	// one timeout of the usual length, in which connections come up.
	earlyTimeouts = 4
	earlyPart     = 4
)

// The roles of a replica.
const (
	roleFollower = iota
	rolePreCandidate
	roleCandidate
	roleLeader
)

// Config is what a Core starts from. All limits are above zero.
type Config struct {
	ID uint64
	// Seed makes the election timeouts.
	Seed uint64
	// ElectionTicks is the shortest election timeout; the longest is just
	// below twice that. HeartbeatTicks is the time between heartbeats.
	ElectionTicks, HeartbeatTicks int
	// MaxAppendBytes bounds the data in one append message, and MaxInflightAppends the
	// append messages sent to a follower and not yet acknowledged.
	MaxAppendBytes, MaxInflightAppends int
	// Hard, Snapshot and Entries are what was synced before; entries
	// contained in the snapshot are ignored.
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
}

// Core is one replica's part in the consensus. It is not safe for concurrent
// use.
type Core struct {
	config   Config
	random   *rand.Rand
	now      int64
	role     int
	hard     HardState
	saved    HardState
	leader   uint64
	log      memory
	snapshot Snapshot
	groups   []group
	commit   uint64
	applied  uint64
	// elapsed counts ticks since the leader was heard or the election began.
	elapsed, timeout int
	// early is how many election timeouts are still short.
	early int
	votes map[uint64]bool
	peers map[uint64]*progress
	// transfer is the replica that shall lead, while elapsed since then is
	// below the election timeout.
	transfer      uint64
	transferTicks int
	rounds        []round
	roundSeq      uint64
	incoming      *Install
	out           Output
}

// New returns a follower that goes on from what was synced.
func New(config Config) (*Core, error) {
	c := &Core{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, config.ID)),
		hard:     config.Hard,
		saved:    config.Hard,
		snapshot: config.Snapshot,
		commit:   config.Snapshot.Index,
		applied:  config.Snapshot.Index,
	}
	c.log.reset(config.Snapshot)
	c.groups = []group{{index: config.Snapshot.Index, members: config.Snapshot.Members}}
	for _, entry := range config.Entries {
		if entry.Index <= config.Snapshot.Index {
			continue
		}
		if entry.Index != c.log.last()+1 {
			return nil, &Error{Op: "restore log", Kind: KindGap}
		}
		c.log.append(entry)
		if err := c.noteMembers(entry); err != nil {
			return nil, err
		}
	}
	c.early = earlyTimeouts
	c.restartTimer()
	if members := c.members(); len(members) == 1 && members[0].Voter {
		// Nobody else can lead, so there is nobody to wait for.
		c.elapsed = c.timeout
	}
	return c, nil
}

// Step takes one event and returns what has to be done.
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
		c.change(*in.Change)
	case in.Synced != nil:
		c.synced(*in.Synced)
	case in.ReadID != 0:
		c.read(in.ReadID)
	case in.Transfer != 0:
		c.handOver(in.Transfer)
	case in.Unreachable != 0:
		c.lost(in.Unreachable)
	case in.Compact != nil:
		c.compact(*in.Compact, in.KeepEntries)
	case in.Bootstrap != nil:
		c.bootstrap(in.Bootstrap)
	}
	return c.finish()
}

func (c *Core) finish() Output {
	if c.hard != c.saved {
		hard := c.hard
		c.out.Hard = &hard
		c.saved = c.hard
	}
	if c.commit > c.applied {
		c.out.Committed = c.log.between(c.applied+1, c.commit)
		c.applied = c.commit
	}
	out := c.out
	c.out = Output{}
	return out
}

func (c *Core) fail(op string, kind Kind) {
	c.out.Err = &Error{Op: op, Kind: kind}
}

func (c *Core) send(m Message) {
	m.From = c.config.ID
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	c.out.Messages = append(c.out.Messages, m)
}

// sendEarly is for messages that claim nothing about this replica's disk.
func (c *Core) sendEarly(m Message) {
	m.From = c.config.ID
	m.Term = c.hard.Term
	c.out.EarlyMessages = append(c.out.EarlyMessages, m)
}

// restartTimer draws the next election timeout. The first ones after a start
// are short, until a leader is heard: after a loss of power nobody leads, and a
// replica that starts beside a leader disturbs nobody by asking for pre-votes.
func (c *Core) restartTimer() {
	c.elapsed = 0
	least := c.config.ElectionTicks
	if c.early > 0 {
		c.early--
		least = max(least/earlyPart, 1)
	}
	c.timeout = least + c.random.IntN(least)
}

func (c *Core) tick() {
	c.elapsed++
	if c.role == roleLeader {
		c.tickLeader()
		return
	}
	if c.elapsed >= c.timeout && c.isVoter(c.config.ID) {
		c.campaign(true, false)
	}
}

func (c *Core) receive(m *Message) {
	if m.To != c.config.ID {
		return
	}
	if m.Term < c.hard.Term {
		c.receiveOld(m)
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
		c.follow(m.Term, 0)
	}
	c.receivePresent(m)
}

// receiveOld answers a message of a former term, so that its sender learns of
// the present one.
func (c *Core) receiveOld(m *Message) {
	switch m.Kind {
	case MessagePreVote:
		c.send(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
	case MessageVote:
		c.send(Message{Kind: MessageVoteReply, To: m.From, Reject: true})
	case MessageAppend, MessageHeartbeat, MessageChunk:
		c.send(Message{Kind: MessageAppendReply, To: m.From, Reject: true})
	}
}

func (c *Core) receivePresent(m *Message) {
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

// receiveLeader takes a message of the present term's leader.
func (c *Core) receiveLeader(m *Message) {
	if c.role == roleLeader {
		c.fail("receive from a second leader", KindConflict)
		return
	}
	if c.role != roleFollower || c.leader != m.From {
		c.follow(m.Term, m.From)
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

// follow makes the replica a follower.
func (c *Core) follow(term, leader uint64) {
	if term > c.hard.Term {
		c.hard = HardState{Term: term}
		c.incoming = nil
	}
	if c.role == roleLeader {
		c.dropRounds()
	}
	c.role = roleFollower
	c.leader = leader
	if leader != 0 {
		c.early = 0
	}
	c.peers = nil
	c.votes = nil
	c.transfer = 0
	c.restartTimer()
}

func (c *Core) commitTo(index uint64) {
	if index > c.commit {
		c.commit = index
	}
}
