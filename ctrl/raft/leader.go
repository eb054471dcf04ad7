package raft

// The ways of replicating to one replica.
const (
	// probing sends one append message at a time until logs agree.
	probing = iota
	// streaming sends append messages ahead of the acknowledgements.
	streaming
	// installing sends a snapshot, one chunk at a time.
	installing
)

// progress is what the leader knows of one replica.
type progress struct {
	mode int
	// match is the last entry known to be synced there; next is the first
	// one to send.
	match, next uint64
	// flight counts append messages sent and not acknowledged.
	flight int
	// heard and quiet count ticks since the last message, and since the
	// last one that moved the replication on.
	heard, quiet int
	// size is that of the last append message, in multiples of
	// Config.AppendBytes: what is larger is given longer to arrive.
	size int
	// offset is how much of the snapshot the replica has.
	offset   uint64
	snapshot Snapshot
	// read is the newest read round answered, told the commit last sent.
	read, told uint64
}

func (c *Core) tickLeader() {
	for _, member := range c.members() {
		peer := c.peers[member.ID]
		peer.heard++
		peer.quiet++
	}
	if !c.hasQuorum() {
		c.follow(c.hard.Term, 0)
		return
	}
	if c.transfer != 0 {
		c.transferTicks++
		if c.transferTicks >= c.config.ElectionTicks {
			c.transfer = 0
		}
	}
	if c.elapsed >= c.config.HeartbeatTicks {
		c.elapsed = 0
		c.beat()
	}
	c.repeat()
}

// hasQuorum reports whether a majority answered within the longest election
// timeout.
func (c *Core) hasQuorum() bool {
	return c.majority(func(id uint64) bool {
		return id == c.config.ID || c.peers[id].heard < 2*c.config.ElectionTicks
	})
}

func (c *Core) beat() {
	for _, member := range c.members() {
		if member.ID == c.config.ID {
			continue
		}
		c.beatTo(member.ID)
	}
}

func (c *Core) beatTo(id uint64) {
	peer := c.peers[id]
	peer.told = min(peer.match, c.commit)
	c.sendEarly(Message{Kind: MessageHeartbeat, To: id, Commit: peer.told, ReadRound: c.roundSeq})
}

// repeat sends again what has long not been acknowledged.
func (c *Core) repeat() {
	for _, member := range c.members() {
		peer := c.peers[member.ID]
		if member.ID == c.config.ID || peer.match == c.log.last() {
			continue
		}
		if peer.quiet < c.config.ElectionTicks*(1+peer.size) || peer.heard >= 2*c.config.ElectionTicks {
			continue
		}
		c.again(member.ID)
	}
}

// lost takes the report that messages on their way to a replica are gone.
func (c *Core) lost(id uint64) {
	if c.role != roleLeader || c.peers[id] == nil || id == c.config.ID {
		return
	}
	c.again(id)
}

// again begins anew behind the last entry acknowledged.
func (c *Core) again(id uint64) {
	peer := c.peers[id]
	peer.quiet = 0
	peer.flight = 0
	if peer.mode == streaming {
		peer.mode = probing
		peer.next = peer.match + 1
	}
	c.replicateTo(id)
}

// propose appends commands and starts replicating them.
func (c *Core) propose(commands [][]byte) {
	if c.role != roleLeader {
		c.out.Rejection = KindNotLeader
		return
	}
	if c.transfer != 0 {
		c.out.Rejection = KindTransferring
		return
	}
	first := c.log.last() + 1
	for _, data := range commands {
		c.appendOwn(EntryCommand, data)
	}
	c.out.FirstIndex = first
	c.replicate()
}

// appendOwn appends an entry of the leader's term.
func (c *Core) appendOwn(kind EntryKind, data []byte) {
	entry := Entry{
		Index: c.log.last() + 1,
		Term:  c.hard.Term,
		Time:  max(c.now, c.log.lastTime()),
		Kind:  kind,
		Data:  data,
	}
	c.out.FirstIndex = entry.Index
	c.appendEntries([]Entry{entry})
}

func (c *Core) appendEntries(entries []Entry) {
	c.log.append(entries...)
	c.out.Entries = append(c.out.Entries, entries...)
	for _, entry := range entries {
		if err := c.noteMembers(entry); err != nil {
			c.out.Err = err
		}
	}
}

func (c *Core) replicate() {
	for _, member := range c.members() {
		if member.ID != c.config.ID {
			c.replicateTo(member.ID)
		}
	}
}

// replicateTo sends what the replica lacks, as far as the window allows.
func (c *Core) replicateTo(id uint64) {
	peer := c.peers[id]
	for peer.next <= c.log.last() {
		if peer.mode == installing {
			c.sendChunk(id, peer)
			return
		}
		if peer.next <= c.log.index {
			peer.mode = installing
			peer.flight = 0
			peer.offset = 0
			peer.snapshot = c.snapshot
			continue
		}
		if peer.mode == probing && peer.flight > 0 {
			return
		}
		if peer.flight >= c.config.MaxInflightAppends {
			return
		}
		c.sendAppend(id, peer)
		if peer.mode == probing {
			return
		}
	}
}

func (c *Core) sendAppend(id uint64, peer *progress) {
	term, _ := c.log.termAt(peer.next - 1)
	entries := c.log.from(peer.next, c.config.MaxAppendBytes)
	peer.size = 0
	for _, entry := range entries {
		peer.size += len(entry.Data) / c.config.MaxAppendBytes
	}
	c.sendEarly(Message{
		Kind: MessageAppend, To: id, Index: peer.next - 1, LogTerm: term,
		Entries: entries, Commit: c.commit, ReadRound: c.roundSeq,
	})
	if peer.flight == 0 {
		peer.quiet = 0
	}
	peer.told = min(c.commit, peer.next-1+uint64(len(entries)))
	peer.flight++
	if peer.mode == streaming {
		peer.next += uint64(len(entries))
	}
}

// receiveReply takes a reply to this leader's message.
func (c *Core) receiveReply(m *Message) {
	peer := c.peers[m.From]
	if c.role != roleLeader || peer == nil {
		return
	}
	peer.heard = 0
	c.noteRead(peer, m.ReadRound)
	switch {
	case m.Kind == MessageChunkReply:
		c.chunkReceived(m, peer)
	case m.Kind == MessageAppendReply && m.Reject:
		c.refused(m, peer)
	case m.Kind == MessageAppendReply:
		c.acknowledged(m.From, m.Index, peer)
	}
}

// refused moves next back to where the logs may agree.
func (c *Core) refused(m *Message, peer *progress) {
	if peer.mode == installing || m.Index <= peer.match || m.Index > c.log.last() {
		return
	}
	if peer.mode == probing && m.Index != peer.next-1 {
		return
	}
	hint, _ := c.log.agree(m.Hint, m.HintTerm)
	peer.mode = probing
	peer.flight = 0
	peer.quiet = 0
	peer.next = max(min(hint, m.Index-1), peer.match) + 1
	c.replicateTo(m.From)
}

func (c *Core) acknowledged(id, index uint64, peer *progress) {
	if index > c.log.last() {
		return
	}
	if index > peer.match {
		peer.match = index
		peer.quiet = 0
	}
	if peer.mode == installing && index < peer.snapshot.Index {
		return
	}
	peer.mode = streaming
	peer.flight = max(peer.flight-1, 0)
	peer.next = max(peer.next, peer.match+1)
	c.advance()
	if c.role != roleLeader {
		return
	}
	c.replicateTo(id)
	c.tell(id)
	if c.transfer == id {
		c.finishTransfer()
	}
}

// synced takes the report that the replica's own log is synced.
func (c *Core) synced(s Synced) {
	term, known := c.log.termAt(s.Index)
	if c.role != roleLeader || !known || term != s.Term {
		return
	}
	peer := c.peers[c.config.ID]
	if peer == nil {
		return
	}
	peer.match = max(peer.match, s.Index)
	c.advance()
}

// advance commits what a majority of the voters has synced. Entries of former
// terms are committed only by one of the leader's own term behind them.
func (c *Core) advance() {
	for index := c.log.last(); index > c.commit; index-- {
		term, _ := c.log.termAt(index)
		if term != c.hard.Term {
			return
		}
		if !c.majority(func(id uint64) bool { return c.peers[id].match >= index }) {
			continue
		}
		c.commit = index
		c.announce()
		c.releaseRounds()
		return
	}
}

// announce tells the replicas of the new commit.
func (c *Core) announce() {
	for _, member := range c.members() {
		if member.ID != c.config.ID {
			c.tell(member.ID)
		}
	}
}

// tell sends the commit to a replica that no append message will tell of it.
func (c *Core) tell(id uint64) {
	peer := c.peers[id]
	if peer.flight == 0 && min(peer.match, c.commit) > peer.told {
		c.beatTo(id)
	}
}

// handOver starts giving the leadership to a voter.
func (c *Core) handOver(id uint64) {
	if c.role != roleLeader {
		c.out.Rejection = KindNotLeader
		return
	}
	if !c.isVoter(id) || id == c.config.ID {
		c.out.Rejection = KindInvalidMember
		return
	}
	c.transfer = id
	c.transferTicks = 0
	c.finishTransfer()
}

// finishTransfer lets the successor campaign once it has the whole log.
func (c *Core) finishTransfer() {
	if c.peers[c.transfer].match == c.log.last() {
		c.send(Message{Kind: MessageTimeoutNow, To: c.transfer})
		return
	}
	c.replicateTo(c.transfer)
}
