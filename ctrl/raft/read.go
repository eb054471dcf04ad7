package raft

// round is a read round: it ends when a majority has answered a message sent
// after it began.
type round struct {
	id, seq uint64
	// index is what was committed when the round began, 0 if the leader did
	// not know yet.
	index uint64
}

// read begins a read round.
func (c *Core) read(id uint64) {
	if c.role != roleLeader {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: id})
		return
	}
	c.roundSeq++
	begun := round{id: id, seq: c.roundSeq}
	if c.knowsCommit() {
		begun.index = c.commit
	}
	c.rounds = append(c.rounds, begun)
	c.beat()
	c.releaseRounds()
}

func (c *Core) noteRead(peer *progress, seq uint64) {
	if seq > peer.read && seq <= c.roundSeq {
		peer.read = seq
		c.releaseRounds()
	}
}

// releaseRounds ends the rounds that a majority has answered. A leader that
// has committed nothing in its term may not know all that is committed, so
// its rounds wait.
func (c *Core) releaseRounds() {
	if !c.knowsCommit() {
		return
	}
	for len(c.rounds) > 0 {
		first := c.rounds[0]
		answered := c.majority(func(id uint64) bool {
			return id == c.config.ID || c.peers[id].read >= first.seq
		})
		if !answered {
			return
		}
		if first.index == 0 {
			first.index = c.commit
		}
		c.out.Reads = append(c.out.Reads, ReadResult{ID: first.id, Index: first.index})
		c.rounds = c.rounds[1:]
	}
}

// knowsCommit reports whether the leader has committed an entry of its term.
// Only then does it know all that is committed, membership included.
func (c *Core) knowsCommit() bool {
	term, _ := c.log.termAt(c.commit)
	return term == c.hard.Term
}

// dropRounds ends all rounds without a result.
func (c *Core) dropRounds() {
	for _, waiting := range c.rounds {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: waiting.id})
	}
	c.rounds = nil
}
