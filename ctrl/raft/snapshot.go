package raft

// compact drops the log that a synced snapshot replaces, but for keep entries.
func (c *Core) compact(s Snapshot, keep uint64) {
	if s.Index <= c.snapshot.Index || s.Index > c.applied {
		return
	}
	c.snapshot = s
	if s.Index > keep {
		c.log.compact(s.Index - keep)
	}
	for len(c.groups) > 1 && c.groups[1].index <= c.log.index {
		c.groups = c.groups[1:]
	}
}

func (c *Core) sendChunk(id uint64, peer *progress) {
	if peer.flight > 0 {
		return
	}
	if peer.snapshot.Index != c.snapshot.Index {
		peer.snapshot = c.snapshot
		peer.offset = 0
	}
	peer.flight = 1
	peer.quiet = 0
	c.sendEarly(Message{Kind: MessageChunk, To: id, ReadRound: c.roundSeq, Chunk: &Chunk{
		Snapshot: peer.snapshot, Offset: peer.offset,
	}})
}

// receiveChunk gathers a snapshot and, once it is whole, replaces the log.
func (c *Core) receiveChunk(m *Message) {
	chunk := m.Chunk
	if chunk.Snapshot.Index <= c.commit {
		c.send(Message{Kind: MessageAppendReply, To: m.From, Index: c.commit, ReadRound: m.ReadRound})
		return
	}
	if term, known := c.log.termAt(chunk.Snapshot.Index); known && term == chunk.Snapshot.Term {
		// The log goes on behind the snapshot, and that part may already be
		// acknowledged.
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

func (c *Core) install() {
	whole := c.incoming
	c.incoming = nil
	c.snapshot = whole.Snapshot
	c.log.reset(whole.Snapshot)
	c.groups = []group{{index: whole.Snapshot.Index, members: whole.Snapshot.Members}}
	c.commit = whole.Snapshot.Index
	c.applied = whole.Snapshot.Index
	c.out.Install = whole
}

// chunkReceived sends the next piece.
func (c *Core) chunkReceived(m *Message, peer *progress) {
	if peer.mode != installing || m.Index != peer.snapshot.Index {
		return
	}
	peer.quiet = 0
	peer.flight = 0
	peer.offset = m.Hint
	c.sendChunk(m.From, peer)
}
