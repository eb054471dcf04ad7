package raft

// campaign requests votes. The pre-vote round (pre) does not raise the term, so
// that a replica that cannot win does not disturb the group. force is set for a
// leadership transfer: voters then answer although they have a live leader.
func (c *Core) campaign(pre, force bool) {
	c.leader = 0
	c.votes = map[uint64]bool{c.config.ID: true}
	c.resetElectionTimer()
	kind, term := MessageVote, c.hard.Term+1
	if pre {
		c.role = rolePreCandidate
		kind = MessagePreVote
	} else {
		c.role = roleCandidate
		c.hard = HardState{Term: term, Vote: c.config.ID}
	}
	if c.hasMajorityVotes() {
		c.electionWon()
		return
	}
	for _, member := range c.members() {
		if !member.Voter || member.ID == c.config.ID {
			continue
		}
		c.send(Message{
			Kind: kind, To: member.ID, Term: term, Force: force,
			Index: c.log.last(), LogTerm: c.log.lastTerm(),
		})
	}
}

// hasMajorityVotes reports whether a majority of the voters granted its vote.
func (c *Core) hasMajorityVotes() bool {
	return c.majority(func(id uint64) bool { return c.votes[id] })
}

// electionWon starts the next stage: the election after the pre-vote, or the term
// as leader.
func (c *Core) electionWon() {
	if c.role == rolePreCandidate {
		c.campaign(false, false)
		return
	}
	c.becomeLeader()
}

// receiveVote answers a vote or pre-vote request of this or a later term.
func (c *Core) receiveVote(m *Message) {
	if !m.Force && c.hasLiveLeader() {
		return
	}
	if m.Kind == MessagePreVote {
		granted := m.Term > c.hard.Term && c.upToDate(m)
		term := c.hard.Term
		if granted {
			term = m.Term
		}
		c.send(Message{Kind: MessagePreVoteReply, To: m.From, Term: max(term, 1), Reject: !granted})
		return
	}
	if m.Term > c.hard.Term {
		c.becomeFollower(m.Term, 0)
	}
	granted := (c.hard.Vote == 0 || c.hard.Vote == m.From) && c.role != roleLeader && c.upToDate(m)
	if granted {
		c.hard.Vote = m.From
		c.elapsed = 0
	}
	c.send(Message{Kind: MessageVoteReply, To: m.From, Reject: !granted})
}

// hasLiveLeader reports whether the replica leads or received a message from a
// leader within the minimum election timeout. In both cases it must not vote.
func (c *Core) hasLiveLeader() bool {
	if c.role == roleLeader {
		return true
	}
	return c.leader != 0 && c.elapsed < c.config.ElectionTicks
}

// upToDate reports whether the candidate's log is at least as complete as this
// replica's.
func (c *Core) upToDate(m *Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func (c *Core) receivePreVoteReply(m *Message) {
	if m.Reject {
		if m.Term > c.hard.Term {
			c.becomeFollower(m.Term, 0)
		}
		return
	}
	if c.role != rolePreCandidate || m.Term != c.hard.Term+1 {
		return
	}
	c.votes[m.From] = true
	if c.hasMajorityVotes() {
		c.electionWon()
	}
}

func (c *Core) receiveVoteReply(m *Message) {
	if c.role != roleCandidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.hasMajorityVotes() {
		c.electionWon()
	}
}

// becomeLeader makes the candidate the leader of its term.
func (c *Core) becomeLeader() {
	c.role = roleLeader
	c.leader = c.config.ID
	c.votes = nil
	c.elapsed = 0
	c.transferTarget = 0
	c.readRounds = nil
	c.peers = map[uint64]*progress{}
	c.refreshPeers(c.log.last() + 1)
	c.appendOwn(EntryNoop, nil)
	c.replicate()
}
