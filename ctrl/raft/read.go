package raft

// readRound confirms that the replica still leads before a read is served. It ends
// when a majority has replied to a message that was sent after it started.
type readRound struct {
	id, seq uint64
	// index is the commit index at the start of the round, 0 if the leader did
	// not know it yet.
	index uint64
}

// startReadRound starts a read round, or reports at once that the replica is not
// the leader.
func (c *Core) startReadRound(id uint64) {
	if c.role != roleLeader {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: id})
		return
	}
	c.readRoundSeq++
	begun := readRound{id: id, seq: c.readRoundSeq}
	if c.hasCommittedInTerm() {
		begun.index = c.commit
	}
	c.readRounds = append(c.readRounds, begun)
	c.sendHeartbeats()
	c.completeReadRounds()
}

func (c *Core) recordReadReply(peer *progress, seq uint64) {
	if seq > peer.repliedRound && seq <= c.readRoundSeq {
		peer.repliedRound = seq
		c.completeReadRounds()
	}
}

// completeReadRounds ends the rounds that a majority has replied to. A leader that
// has committed no entry in its term may not know all committed entries, so its
// rounds wait.
func (c *Core) completeReadRounds() {
	if !c.hasCommittedInTerm() {
		return
	}
	for len(c.readRounds) > 0 {
		first := c.readRounds[0]
		answered := c.majority(func(id uint64) bool {
			return id == c.config.ID || c.peers[id].repliedRound >= first.seq
		})
		if !answered {
			return
		}
		if first.index == 0 {
			first.index = c.commit
		}
		c.out.Reads = append(c.out.Reads, ReadResult{ID: first.id, Index: first.index})
		c.readRounds = c.readRounds[1:]
	}
}

// hasCommittedInTerm reports whether the leader has committed an entry of its
// term. Only then does the leader know all committed entries, memberships
// included.
func (c *Core) hasCommittedInTerm() bool {
	term, _ := c.log.termAt(c.commit)
	return term == c.hard.Term
}

// abortReadRounds ends all rounds without an index.
func (c *Core) abortReadRounds() {
	for _, waiting := range c.readRounds {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: waiting.id})
	}
	c.readRounds = nil
}
