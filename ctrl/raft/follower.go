package raft

// receiveAppend takes entries of the present leader.
func (c *Core) receiveAppend(m *Message) {
	if m.Index < c.commit {
		c.acceptFrom(m, c.commit)
		return
	}
	term, known := c.log.termAt(m.Index)
	if !known || term != m.LogTerm {
		c.refuse(m)
		return
	}
	c.acceptFrom(m, m.Index)
}

// refuse tells the leader the last place where the logs may agree.
func (c *Core) refuse(m *Message) {
	hint, hintTerm := c.log.agree(m.Index, m.LogTerm)
	c.send(Message{
		Kind: MessageAppendReply, To: m.From, Index: m.Index, Reject: true,
		Hint: hint, HintTerm: hintTerm, ReadRound: m.ReadRound,
	})
}

// acceptFrom appends the message's entries behind index, where the logs
// agree, and acknowledges them once they are synced.
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
			c.forgetMembers(first)
		}
		c.appendEntries(fresh)
	}
	c.commitTo(min(m.Commit, max(last, index)))
	c.send(Message{Kind: MessageAppendReply, To: m.From, Index: max(last, index), ReadRound: m.ReadRound})
}

// newEntries returns the entries of the message from the first one on that
// the log lacks or has with another term.
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
