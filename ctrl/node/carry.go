package node

import (
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

// carryOut does what the core ordered, in the order that makes it safe:
// nothing that claims something about this disk is sent before the sync.
func (l *loop) carryOut() {
	for l.failed == nil {
		l.noteLeadership()
		out := l.pending
		l.pending = raft.Output{}
		if out.Hard == nil {
			l.send(out.EarlyMessages)
		}
		if err := l.persist(out); err != nil {
			l.failed = &Error{Op: "write log", Kind: KindDisk, Err: err}
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

// persist writes what has to last.
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

// deliver passes on what needs no disk.
func (l *loop) deliver(out raft.Output) {
	if out.Install != nil {
		l.forgetBefore(out.Install.Snapshot.Index)
		l.node.applier.push(task{install: out.Install})
	}
	if len(out.Committed) > 0 {
		l.node.applier.push(task{entries: out.Committed, proposals: l.claim(out.Committed)})
	}
	for _, read := range out.Reads {
		l.reads[read.ID] <- read.Index
		delete(l.reads, read.ID)
	}
}

// claim takes the proposals that the entries end: each gets its result when
// its own entry is applied, and is lost when another one took its place.
func (l *loop) claim(entries []raft.Entry) map[uint64]*proposal {
	claimed := map[uint64]*proposal{}
	for _, entry := range entries {
		p, ok := l.waiting[entry.Index]
		if !ok {
			continue
		}
		delete(l.waiting, entry.Index)
		if p.term != entry.Term {
			p.result <- result{kind: KindLost}
			continue
		}
		claimed[entry.Index] = p
	}
	return claimed
}

// forgetBefore ends proposals whose entries a snapshot contains: whether it
// is theirs is not known any more.
func (l *loop) forgetBefore(index uint64) {
	for at, p := range l.waiting {
		if at <= index {
			p.result <- result{kind: KindTimeout}
			delete(l.waiting, at)
		}
	}
}

// noteLeadership tells the applier of a change before any entry of the term
// reaches it.
func (l *loop) noteLeadership() {
	status := l.core.Status()
	var now uint64
	if status.Leading {
		now = status.Term
	}
	if now == l.leading {
		return
	}
	if l.leading != 0 {
		l.node.applier.push(task{lost: l.leading})
		clear(l.wanted)
	}
	if now != 0 {
		l.leadingSince = l.ticks
		l.node.applier.push(task{gained: now})
	}
	l.leading = now
	l.node.Host.Log.Write("leadership", "term", status.Term, "leading", status.Leading)
}

// send queues messages for the replicas they are for.
func (l *loop) send(messages []raft.Message) {
	for _, m := range messages {
		if m.Kind == raft.MessageChunk && !l.fill(m.Chunk) {
			continue
		}
		l.node.outlets.send(m)
	}
}

// lost tells the core that a session has ended with what was on its way.
func (l *loop) lost(address string) {
	for _, m := range l.core.Status().Members {
		if l.node.outlets.present(m.ID, m.Address) == address {
			l.step(raft.Input{Unreachable: m.ID})
		}
	}
}

// fill puts a snapshot's data into a chunk. It fails when a newer snapshot
// has taken the place; the core will begin anew.
func (l *loop) fill(chunk *raft.Chunk) bool {
	if l.sending == nil || l.sending.Index != chunk.Snapshot.Index {
		saved, err := l.store.Load()
		if err != nil || saved == nil {
			l.node.Host.Log.Write("snapshot-unreadable", "err", err)
			return false
		}
		l.sending = saved
	}
	l.sendingTick = l.ticks
	data := l.sending.Data
	if l.sending.Index != chunk.Snapshot.Index || chunk.Offset > uint64(len(data)) {
		return false
	}
	end := min(chunk.Offset+chunkBytes, uint64(len(data)))
	chunk.Data = data[chunk.Offset:end]
	chunk.Last = end == uint64(len(data))
	return true
}

// compact drops the log that a snapshot has made needless.
func (l *loop) compact(snapshot raft.Snapshot) {
	l.step(raft.Input{Compact: &snapshot, KeepEntries: keepEntries})
	if err := l.log.Compact(snapshot.Index); err != nil && l.failed == nil {
		l.failed = &Error{Op: "compact log", Kind: KindDisk, Err: err}
	}
}
