package raft

// compact drops the entries that a synced snapshot contains, except the last keep
// entries.
func (c *Core) compact(s Snapshot, keep uint64) {
	if s.Index <= c.snapshot.Index || s.Index > c.applied {
		return
	}
	c.snapshot = s
	if s.Index > keep {
		c.log.compact(s.Index - keep)
	}
	for len(c.memberships) > 1 && c.memberships[1].index <= c.log.baseIndex {
		c.memberships = c.memberships[1:]
	}
}

// sendChunk requests the next chunk of the newest snapshot to be sent, unless one is
// in flight.
func (c *Core) sendChunk(id uint64, peer *progress) {
	if peer.inflight > 0 {
		return
	}
	if peer.snapshot.Index != c.snapshot.Index {
		peer.snapshot = c.snapshot
		peer.snapshotOffset = 0
	}
	peer.inflight = 1
	peer.ticksSinceProgress = 0
	c.sendEarly(Message{Kind: MessageChunk, To: id, ReadRound: c.readRoundSeq, Chunk: &Chunk{
		Snapshot: peer.snapshot, Offset: peer.snapshotOffset,
	}})
}

// receiveChunk collects the chunks of a snapshot and replaces the log once the
// snapshot is complete.
func (c *Core) receiveChunk(m *Message) {
	chunk := m.Chunk
	if chunk.Snapshot.Index <= c.commit {
		c.send(Message{Kind: MessageAppendReply, To: m.From, Index: c.commit, ReadRound: m.ReadRound})
		return
	}
	if term, known := c.log.termAt(chunk.Snapshot.Index); known && term == chunk.Snapshot.Term {
		// The log contains the snapshot's last entry. Entries after it may already
		// be acknowledged, so the log must not be replaced.
		c.incoming = nil
		c.commitTo(chunk.Snapshot.Index)
		c.send(Message{Kind: MessageAppendReply, To: m.From, Index: chunk.Snapshot.Index, ReadRound: m.ReadRound})
		return
	}
	if c.incoming == nil || c.incoming.Snapshot.Index != chunk.Snapshot.Index || chunk.Offset == 0 {
		c.incoming = &Install{Snapshot: chunk.Snapshot}
	}
	have := uint64(len(c.incoming.Data))
	if chunk.Offset == have {
		c.incoming.Data = append(c.incoming.Data, chunk.Data...)
	}
	if chunk.Offset != have || !chunk.Last {
		c.send(Message{
			Kind: MessageChunkReply, To: m.From, Index: chunk.Snapshot.Index,
			Hint: uint64(len(c.incoming.Data)), ReadRound: m.ReadRound,
		})
		return
	}
	c.install()
	c.send(Message{Kind: MessageAppendReply, To: m.From, Index: chunk.Snapshot.Index, ReadRound: m.ReadRound})
}

// install replaces log, membership and commit index by the received snapshot.
func (c *Core) install() {
	complete := c.incoming
	c.incoming = nil
	c.snapshot = complete.Snapshot
	c.log.reset(complete.Snapshot)
	c.memberships = []membershipAt{{index: complete.Snapshot.Index, members: complete.Snapshot.Members}}
	c.commit = complete.Snapshot.Index
	c.applied = complete.Snapshot.Index
	c.out.Install = complete
}

// chunkAcknowledged sends the next chunk.
func (c *Core) chunkAcknowledged(m *Message, peer *progress) {
	if peer.mode != installing || m.Index != peer.snapshot.Index {
		return
	}
	peer.ticksSinceProgress = 0
	peer.inflight = 0
	peer.snapshotOffset = m.Hint
	c.sendChunk(m.From, peer)
}
