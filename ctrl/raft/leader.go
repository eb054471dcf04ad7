package raft

// The modes of replicating to one replica.
const (
	// probing sends one append message at a time until the logs agree.
	probing = iota
	// streaming sends append messages without waiting for acknowledgements.
	streaming
	// installing sends a snapshot, one chunk at a time.
	installing
)

// progress is the leader's replication state of one replica.
type progress struct {
	mode int
	// match is the last entry known to be synced at the replica; next is the
	// next entry to send.
	match, next uint64
	// inflight counts the append messages or snapshot chunks that were sent and
	// not acknowledged.
	inflight int
	// ticksSinceHeard counts ticks since the replica's last message, and
	// ticksSinceProgress since the last message that advanced the replication or
	// the last resend.
	ticksSinceHeard, ticksSinceProgress int
	// lastAppendSize is the size of the last append message in multiples of
	// Config.MaxAppendBytes. A larger message gets more time before it is resent.
	lastAppendSize int
	// snapshotOffset is the number of snapshot bytes that the replica has.
	snapshotOffset uint64
	snapshot       Snapshot
	// repliedRound is the newest read round that the replica replied to, and
	// sentCommit the commit index last sent to it.
	repliedRound, sentCommit uint64
}

// tickLeader steps down without a quorum, gives up a stalled leadership transfer,
// sends heartbeats and resends.
func (c *Core) tickLeader() {
	for _, member := range c.members() {
		peer := c.peers[member.ID]
		peer.ticksSinceHeard++
		peer.ticksSinceProgress++
	}
	if !c.hasQuorum() {
		c.becomeFollower(c.hard.Term, 0)
		return
	}
	if c.transferTarget != 0 {
		c.transferTicks++
		if c.transferTicks >= c.config.ElectionTicks {
			c.transferTarget = 0
		}
	}
	if c.elapsed >= c.config.HeartbeatTicks {
		c.elapsed = 0
		c.sendHeartbeats()
	}
	c.resendStalled()
}

// hasQuorum reports whether a majority of the voters sent a message within the
// maximum election timeout.
func (c *Core) hasQuorum() bool {
	return c.majority(func(id uint64) bool {
		return id == c.config.ID || c.peers[id].ticksSinceHeard < 2*c.config.ElectionTicks
	})
}

func (c *Core) sendHeartbeats() {
	for _, member := range c.members() {
		if member.ID == c.config.ID {
			continue
		}
		c.sendHeartbeat(member.ID)
	}
}

func (c *Core) sendHeartbeat(id uint64) {
	peer := c.peers[id]
	peer.sentCommit = min(peer.match, c.commit)
	c.sendEarly(Message{Kind: MessageHeartbeat, To: id, Commit: peer.sentCommit, ReadRound: c.readRoundSeq})
}

// resendStalled restarts replication to replicas that are reachable but have not
// acknowledged entries for a long time.
func (c *Core) resendStalled() {
	for _, member := range c.members() {
		peer := c.peers[member.ID]
		if member.ID == c.config.ID || peer.match == c.log.last() {
			continue
		}
		if peer.ticksSinceProgress < c.config.ElectionTicks*(1+peer.lastAppendSize) || peer.ticksSinceHeard >= 2*c.config.ElectionTicks {
			continue
		}
		c.restartReplication(member.ID)
	}
}

// reportUnreachable handles the report that messages in flight to a replica may
// be lost.
func (c *Core) reportUnreachable(id uint64) {
	if c.role != roleLeader || c.peers[id] == nil || id == c.config.ID {
		return
	}
	c.restartReplication(id)
}

// restartReplication resends everything after the last acknowledged entry.
func (c *Core) restartReplication(id uint64) {
	peer := c.peers[id]
	peer.ticksSinceProgress = 0
	peer.inflight = 0
	if peer.mode == streaming {
		peer.mode = probing
		peer.next = peer.match + 1
	}
	c.replicateTo(id)
}

// propose appends commands and replicates them.
func (c *Core) propose(commands [][]byte) {
	if c.role != roleLeader {
		c.out.Rejection = KindNotLeader
		return
	}
	if c.transferTarget != 0 {
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

// appendEntries appends entries to the log and to the output.
func (c *Core) appendEntries(entries []Entry) {
	c.log.append(entries...)
	c.out.Entries = append(c.out.Entries, entries...)
	for _, entry := range entries {
		if err := c.applyMembership(entry); err != nil {
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

// replicateTo sends entries or a snapshot chunk that the replica lacks, within
// the limit of messages in flight.
func (c *Core) replicateTo(id uint64) {
	peer := c.peers[id]
	for peer.next <= c.log.last() {
		if peer.mode == installing {
			c.sendChunk(id, peer)
			return
		}
		if peer.next <= c.log.baseIndex {
			peer.mode = installing
			peer.inflight = 0
			peer.snapshotOffset = 0
			peer.snapshot = c.snapshot
			continue
		}
		if peer.mode == probing && peer.inflight > 0 {
			return
		}
		if peer.inflight >= c.config.MaxInflightAppends {
			return
		}
		c.sendAppend(id, peer)
		if peer.mode == probing {
			return
		}
	}
}

// sendAppend sends the entries from peer.next on in one append message.
func (c *Core) sendAppend(id uint64, peer *progress) {
	term, _ := c.log.termAt(peer.next - 1)
	entries := c.log.entriesFrom(peer.next, c.config.MaxAppendBytes)
	peer.lastAppendSize = 0
	for _, entry := range entries {
		peer.lastAppendSize += len(entry.Data) / c.config.MaxAppendBytes
	}
	c.sendEarly(Message{
		Kind: MessageAppend, To: id, Index: peer.next - 1, LogTerm: term,
		Entries: entries, Commit: c.commit, ReadRound: c.readRoundSeq,
	})
	if peer.inflight == 0 {
		peer.ticksSinceProgress = 0
	}
	peer.sentCommit = min(c.commit, peer.next-1+uint64(len(entries)))
	peer.inflight++
	if peer.mode == streaming {
		peer.next += uint64(len(entries))
	}
}

// receiveReply handles a reply to a message of this leader.
func (c *Core) receiveReply(m *Message) {
	peer := c.peers[m.From]
	if c.role != roleLeader || peer == nil {
		return
	}
	peer.ticksSinceHeard = 0
	c.recordReadReply(peer, m.ReadRound)
	switch {
	case m.Kind == MessageChunkReply:
		c.chunkAcknowledged(m, peer)
	case m.Kind == MessageAppendReply && m.Reject:
		c.appendRejected(m, peer)
	case m.Kind == MessageAppendReply:
		c.appendAcknowledged(m.From, m.Index, peer)
	}
}

// appendRejected moves next back to the position where the logs may agree.
func (c *Core) appendRejected(m *Message, peer *progress) {
	if peer.mode == installing || m.Index <= peer.match || m.Index > c.log.last() {
		return
	}
	if peer.mode == probing && m.Index != peer.next-1 {
		return
	}
	hint, _ := c.log.lastIndexAtOrBelowTerm(m.Hint, m.HintTerm)
	peer.mode = probing
	peer.inflight = 0
	peer.ticksSinceProgress = 0
	peer.next = max(min(hint, m.Index-1), peer.match) + 1
	c.replicateTo(m.From)
}

// appendAcknowledged records that a replica has synced the log up to index.
func (c *Core) appendAcknowledged(id, index uint64, peer *progress) {
	if index > c.log.last() {
		return
	}
	if index > peer.match {
		peer.match = index
		peer.ticksSinceProgress = 0
	}
	if peer.mode == installing && index < peer.snapshot.Index {
		return
	}
	peer.mode = streaming
	peer.inflight = max(peer.inflight-1, 0)
	peer.next = max(peer.next, peer.match+1)
	c.advanceCommit()
	if c.role != roleLeader || c.peers[id] == nil {
		return
	}
	c.replicateTo(id)
	c.sendCommit(id)
	if c.transferTarget == id {
		c.finishTransfer()
	}
}

// ownLogSynced handles the report that the leader's own log is on disk.
func (c *Core) ownLogSynced(s Synced) {
	term, known := c.log.termAt(s.Index)
	if c.role != roleLeader || !known || term != s.Term {
		return
	}
	peer := c.peers[c.config.ID]
	if peer == nil {
		return
	}
	peer.match = max(peer.match, s.Index)
	c.advanceCommit()
}

// advanceCommit commits the entries that a majority of the voters has synced.
// Entries of earlier terms are committed only together with a later entry of the
// leader's own term.
func (c *Core) advanceCommit() {
	for index := c.log.last(); index > c.commit; index-- {
		term, _ := c.log.termAt(index)
		if term != c.hard.Term {
			return
		}
		if !c.majority(func(id uint64) bool { return c.peers[id].match >= index }) {
			continue
		}
		c.commit = index
		c.broadcastCommit()
		c.completeReadRounds()
		c.completeReplacement()
		return
	}
}

// broadcastCommit sends the new commit index to all replicas.
func (c *Core) broadcastCommit() {
	for _, member := range c.members() {
		if member.ID != c.config.ID {
			c.sendCommit(member.ID)
		}
	}
}

// sendCommit sends the commit index in a heartbeat if no append message in flight
// will deliver it.
func (c *Core) sendCommit(id uint64) {
	peer := c.peers[id]
	if peer.inflight == 0 && min(peer.match, c.commit) > peer.sentCommit {
		c.sendHeartbeat(id)
	}
}

// transferLeadership starts the transfer of leadership to a voter.
func (c *Core) transferLeadership(id uint64) {
	if c.role != roleLeader {
		c.out.Rejection = KindNotLeader
		return
	}
	if !c.isVoter(id) || id == c.config.ID {
		c.out.Rejection = KindInvalidMember
		return
	}
	c.transferTarget = id
	c.transferTicks = 0
	c.finishTransfer()
}

// finishTransfer makes the target campaign once it has the complete log.
func (c *Core) finishTransfer() {
	if c.peers[c.transferTarget].match == c.log.last() {
		c.send(Message{Kind: MessageTimeoutNow, To: c.transferTarget})
		return
	}
	c.replicateTo(c.transferTarget)
}
