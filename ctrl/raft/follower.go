package raft

// receiveAppend handles an append message of the current leader.
func (c *Core) receiveAppend(m *Message) {
	if m.Index < c.commit {
		c.acceptFrom(m, c.commit)
		return
	}
	term, known := c.log.termAt(m.Index)
	if !known || term != m.LogTerm {
		c.rejectAppend(m)
		return
	}
	c.acceptFrom(m, m.Index)
}

// rejectAppend rejects an append message and reports the last entry at which the
// logs may agree.
func (c *Core) rejectAppend(m *Message) {
	hint, hintTerm := c.log.lastIndexAtOrBelowTerm(m.Index, m.LogTerm)
	c.send(Message{
		Kind: MessageAppendReply, To: m.From, Index: m.Index, Reject: true,
		Hint: hint, HintTerm: hintTerm, ReadRound: m.ReadRound,
	})
}

// acceptFrom appends the message's entries after index, up to which the logs
// agree, and acknowledges them. The reply is sent after the entries are synced.
func (c *Core) acceptFrom(m *Message, index uint64) {
	last := m.Index + uint64(len(m.Entries))
	fresh := c.newEntries(m, index)
	if len(fresh) > 0 {
		first := fresh[0].Index
		if first <= c.commit {
			c.fail("replace a committed entry", KindConflict)
			return
		}
		if first <= c.log.last() {
			c.log.truncate(first)
			c.revertMemberships(first)
		}
		c.appendEntries(fresh)
	}
	c.commitTo(min(m.Commit, max(last, index)))
	c.send(Message{Kind: MessageAppendReply, To: m.From, Index: max(last, index), ReadRound: m.ReadRound})
}

// newEntries returns the message's entries from the first one that is missing in
// the log or has another term there.
func (c *Core) newEntries(m *Message, index uint64) []Entry {
	for i, entry := range m.Entries {
		if entry.Index <= index {
			continue
		}
		term, known := c.log.termAt(entry.Index)
		if !known || term != entry.Term {
			return m.Entries[i:]
		}
	}
	return nil
}
