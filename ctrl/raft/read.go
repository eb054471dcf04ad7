package raft

// readRound is a read readRound: it ends when a majority has answered a message sent
// after it began.
type readRound struct {
	id, seq uint64
	// index is what was committed when the round began, 0 if the leader did
	// not know yet.
	index uint64
}

// startReadRound begins a startReadRound round.
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

// completeReadRounds ends the rounds that a majority has answered. A leader that
// has committed nothing in its term may not know all that is committed, so
// its rounds wait.
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

// hasCommittedInTerm reports whether the leader has committed an entry of its term.
// Only then does it know all that is committed, membership included.
func (c *Core) hasCommittedInTerm() bool {
	term, _ := c.log.termAt(c.commit)
	return term == c.hard.Term
}

// abortReadRounds ends all rounds without a result.
func (c *Core) abortReadRounds() {
	for _, waiting := range c.readRounds {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: waiting.id})
	}
	c.readRounds = nil
}
