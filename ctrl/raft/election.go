package raft

// campaign asks for votes: in the first round (pre) without a new term, so
// that a replica that cannot win disturbs nobody. Force says that the leader
// asked for it.
func (c *Core) campaign(pre, force bool) {
	c.leader = 0
	c.votes = map[uint64]bool{c.config.ID: true}
	c.restartTimer()
	kind, term := MessageVote, c.hard.Term+1
	if pre {
		c.role = rolePreCandidate
		kind = MessagePreVote
	} else {
		c.role = roleCandidate
		c.hard = HardState{Term: term, Vote: c.config.ID}
	}
	if c.countVotes() {
		c.won()
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

// countVotes reports whether a majority of the voters said yes.
func (c *Core) countVotes() bool {
	return c.majority(func(id uint64) bool { return c.votes[id] })
}

func (c *Core) won() {
	if c.role == rolePreCandidate {
		c.campaign(false, false)
		return
	}
	c.lead()
}

// receiveVote answers a request of this or a later term.
func (c *Core) receiveVote(m *Message) {
	if !m.Force && c.hearsLeader() {
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
		c.follow(m.Term, 0)
	}
	granted := (c.hard.Vote == 0 || c.hard.Vote == m.From) && c.role != roleLeader && c.upToDate(m)
	if granted {
		c.hard.Vote = m.From
		c.elapsed = 0
	}
	c.send(Message{Kind: MessageVoteReply, To: m.From, Reject: !granted})
}

// hearsLeader reports whether a leader is or was just now at work, so that no
// vote may be given.
func (c *Core) hearsLeader() bool {
	if c.role == roleLeader {
		return true
	}
	return c.leader != 0 && c.elapsed < c.config.ElectionTicks
}

func (c *Core) upToDate(m *Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func (c *Core) receivePreVoteReply(m *Message) {
	if m.Reject {
		if m.Term > c.hard.Term {
			c.follow(m.Term, 0)
		}
		return
	}
	if c.role != rolePreCandidate || m.Term != c.hard.Term+1 {
		return
	}
	c.votes[m.From] = true
	if c.countVotes() {
		c.won()
	}
}

func (c *Core) receiveVoteReply(m *Message) {
	if c.role != roleCandidate || m.Reject {
		return
	}
	c.votes[m.From] = true
	if c.countVotes() {
		c.won()
	}
}

// lead makes the candidate the leader of its term.
func (c *Core) lead() {
	c.role = roleLeader
	c.leader = c.config.ID
	c.votes = nil
	c.elapsed = 0
	c.transfer = 0
	c.rounds = nil
	c.peers = map[uint64]*progress{}
	c.refreshPeers(c.log.last() + 1)
	c.appendOwn(EntryNoop, nil)
	c.replicate()
}
