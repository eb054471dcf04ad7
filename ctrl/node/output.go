package node

import (
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

// executeOutput does the work ordered by the core in a safe order: no message that
// makes a promise about this replica's disk is sent before the sync.
func (l *loop) executeOutput() {
	for l.failure == nil {
		l.trackLeadership()
		out := l.output
		l.output = raft.Output{}
		if out.Hard == nil {
			l.send(out.EarlyMessages)
		}
		if err := l.persist(out); err != nil {
			l.failure = &Error{Op: "write log", Kind: KindDisk, Err: err}
			return
		}
		if out.Hard != nil {
			l.send(out.EarlyMessages)
		}
		l.send(out.Messages)
		l.deliver(out)
		if len(out.Entries) == 0 {
			return
		}
		newest := out.Entries[len(out.Entries)-1]
		l.step(raft.Input{Synced: &raft.Synced{Index: newest.Index, Term: newest.Term}})
	}
}

// persist writes the durable part of the output to disk.
func (l *loop) persist(out raft.Output) error {
	if out.Hard != nil || len(out.Entries) > 0 {
		before := l.log.WrittenBytes
		if err := l.log.Append(out.Hard, out.Entries); err != nil {
			return err
		}
		l.node.Host.Meter.Add("log_bytes", l.log.WrittenBytes-before)
		l.node.Host.Meter.Add("log_syncs", 1)
	}
	if out.Install == nil {
		return nil
	}
	if err := l.store.Save(out.Install.Snapshot, out.Install.Data); err != nil {
		return err
	}
	return l.log.Reset(out.Install.Snapshot)
}

// deliver passes on the parts of the output that need no disk access.
func (l *loop) deliver(out raft.Output) {
	if out.Install != nil {
		l.failCompacted(out.Install.Snapshot.Index)
		l.node.applier.push(applyTask{install: out.Install})
	}
	if len(out.Committed) > 0 {
		l.node.applier.push(applyTask{entries: out.Committed, proposals: l.takeProposals(out.Committed)})
	}
	for _, read := range out.Reads {
		l.pendingReads[read.ID] <- read.Index
		delete(l.pendingReads, read.ID)
	}
}

// takeProposals removes and returns the proposals that the entries decide. A
// proposal gets its result when its own entry is applied; it is lost if the entry
// at its index is of another term.
func (l *loop) takeProposals(entries []raft.Entry) map[uint64]*proposal {
	claimed := map[uint64]*proposal{}
	for _, entry := range entries {
		p, ok := l.uncommitted[entry.Index]
		if !ok {
			continue
		}
		delete(l.uncommitted, entry.Index)
		if p.term != entry.Term {
			p.result <- result{kind: KindLost}
			continue
		}
		claimed[entry.Index] = p
	}
	return claimed
}

// failCompacted ends proposals whose index is covered by an installed snapshot.
// Their outcome is unknown, because the snapshot does not show which entry had that
// index.
func (l *loop) failCompacted(index uint64) {
	for at, p := range l.uncommitted {
		if at <= index {
			p.result <- result{kind: KindTimeout}
			delete(l.uncommitted, at)
		}
	}
}

// trackLeadership passes a change of leadership to the applier before any entry of
// the new term.
func (l *loop) trackLeadership() {
	status := l.core.Status()
	var now uint64
	if status.Leading {
		now = status.Term
	}
	if now == l.leadingTerm {
		return
	}
	if l.leadingTerm != 0 {
		l.node.applier.push(applyTask{lostTerm: l.leadingTerm})
		clear(l.replaceNow)
		clear(l.joins)
		l.clearSize()
	}
	if now != 0 {
		l.leadingSinceTick = l.ticks
		l.voters, l.votersGrewTick = 0, l.ticks
		l.node.applier.push(applyTask{gainedTerm: now})
	}
	l.leadingTerm = now
	l.node.Host.Log.Write("leadership", "term", status.Term, "leading", status.Leading)
}

// send queues messages for their recipients.
func (l *loop) send(messages []raft.Message) {
	for _, m := range messages {
		if m.Kind == raft.MessageChunk && !l.fillChunk(m.Chunk) {
			continue
		}
		l.node.conns.send(m)
	}
}

// sessionLost informs the core that a session has ended and that its messages in
// flight are lost.
func (l *loop) sessionLost(address string) {
	for _, m := range l.core.Status().Members {
		if l.node.conns.currentAddress(m.ID, m.Address) == address {
			l.step(raft.Input{Unreachable: m.ID})
		}
	}
}

// fillChunk copies a piece of a snapshot into a chunk. It returns false if a newer
// snapshot has replaced that one; the core then starts over with the newer one.
func (l *loop) fillChunk(chunk *raft.Chunk) bool {
	if l.sendingSnapshot == nil || l.sendingSnapshot.Index != chunk.Snapshot.Index {
		saved, err := l.store.Load()
		if err != nil || saved == nil {
			l.node.Host.Log.Write("snapshot-unreadable", "err", err)
			return false
		}
		l.sendingSnapshot = saved
	}
	l.lastChunkTick = l.ticks
	data := l.sendingSnapshot.Data
	if l.sendingSnapshot.Index != chunk.Snapshot.Index || chunk.Offset > uint64(len(data)) {
		return false
	}
	end := min(chunk.Offset+chunkBytes, uint64(len(data)))
	chunk.Data = data[chunk.Offset:end]
	chunk.Last = end == uint64(len(data))
	return true
}

// compact drops the part of the log that a snapshot covers.
func (l *loop) compact(snapshot raft.Snapshot) {
	l.step(raft.Input{Compact: &snapshot, KeepEntries: keepEntries})
	if err := l.log.Compact(snapshot.Index); err != nil && l.failure == nil {
		l.failure = &Error{Op: "compact log", Kind: KindDisk, Err: err}
	}
}
