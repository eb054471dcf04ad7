package node

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/ctrl/snap"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
)

// applyTask is a unit of work for the applier. Only one of install, gainedTerm,
// lostTerm and entries is set. proposals are the proposals of this replica among the
// entries, by index.
type applyTask struct {
	entries   []raft.Entry
	proposals map[uint64]*proposal
	install   *raft.Install
	// gainedTerm and lostTerm are the terms in which the replica became and ceased
	// to be leader.
	gainedTerm, lostTerm uint64
}

// applier calls the state machine from its own goroutine, so that a slow command or
// a large snapshot does not delay heartbeats.
type applier struct {
	node  *Node
	store *snap.Store

	// mutex guards tasks, applied and changed.
	mutex sync.Mutex
	tasks []applyTask
	// wake receives a value after a task is queued.
	wake chan struct{}
	// applied is the index of the last applied entry; changed is closed and
	// replaced when it changes.
	applied uint64
	changed chan struct{}

	// position is the last applied entry with its membership, savedIndex the index
	// of the last snapshot, and unsavedBytes the size of the data applied since
	// that snapshot.
	position     raft.Snapshot
	savedIndex   uint64
	unsavedBytes int
	// lastOpened is the last entry that the log held when it was opened, at
	// openedAt.
	lastOpened raft.Entry
	openedAt   time.Time
	// pendingTerm is a term that the replica leads and of which no entry is applied
	// yet; leadingTerm is the term last passed to OnLeadership.
	pendingTerm, leadingTerm uint64
}

func newApplier(n *Node) *applier {
	return &applier{node: n, wake: make(chan struct{}, 1), changed: make(chan struct{})}
}

// start sets the position after the opening of the log.
func (a *applier) start(snapshot raft.Snapshot, store *snap.Store, entries []raft.Entry) {
	a.store = store
	a.position = snapshot
	a.savedIndex = snapshot.Index
	a.openedAt = time.Now()
	if len(entries) > 0 {
		a.lastOpened = entries[len(entries)-1]
	}
	a.publishProgress()
}

func (a *applier) push(t applyTask) {
	a.mutex.Lock()
	a.tasks = append(a.tasks, t)
	a.mutex.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *applier) take() []applyTask {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	tasks := a.tasks
	a.tasks = nil
	return tasks
}

// run performs tasks until ctx ends, and then those still queued.
func (a *applier) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-a.wake:
		case <-ctx.Done():
		}
		for _, t := range a.take() {
			a.perform(ctx, t)
		}
	}
}

func (a *applier) perform(ctx context.Context, t applyTask) {
	switch {
	case t.install != nil:
		a.install(ctx, t.install)
	case t.gainedTerm != 0:
		a.pendingTerm = t.gainedTerm
	case t.lostTerm != 0:
		a.loseLeadership(t.lostTerm)
	}
	for _, entry := range t.entries {
		value := a.apply(ctx, entry)
		if p := t.proposals[entry.Index]; p != nil {
			p.result <- result{value: value}
		}
	}
	a.publishProgress()
	if a.position.Index-a.savedIndex >= a.node.SnapshotEntries || a.unsavedBytes >= snapshotBytes {
		a.snapshot(ctx)
	}
}

func (a *applier) apply(ctx context.Context, entry raft.Entry) []byte {
	var value []byte
	switch entry.Kind {
	case raft.EntryCommand:
		value = a.node.Apply(Entry{Index: entry.Index, Term: entry.Term, Time: entry.Time, AppendedBy: a.appendedBy(entry), Data: entry.Data})
	case raft.EntryMembership:
		var members raft.Membership
		if err := codec.Decode(entry.Data, &members); err != nil {
			a.fail(ctx, err)
			return nil
		}
		a.position.Members = members.Members
	}
	a.position.Index, a.position.Term, a.position.Time = entry.Index, entry.Term, entry.Time
	a.unsavedBytes += len(entry.Data)
	if a.pendingTerm != 0 && entry.Term == a.pendingTerm {
		a.leadingTerm, a.pendingTerm = a.pendingTerm, 0
		if a.node.OnLeadership != nil {
			a.node.OnLeadership(a.leadingTerm, true)
		}
	}
	return value
}

// appendedBy returns a time by which a committed entry had been appended. An entry
// whose index and term are not above those of the opened log's last entry was
// appended before that entry, even if the log held a different entry at its index.
func (a *applier) appendedBy(entry raft.Entry) time.Time {
	if entry.Index <= a.lastOpened.Index && entry.Term <= a.lastOpened.Term {
		return a.openedAt
	}
	return time.Now()
}

func (a *applier) loseLeadership(term uint64) {
	a.pendingTerm = 0
	if a.leadingTerm != term {
		return
	}
	a.leadingTerm = 0
	if a.node.OnLeadership != nil {
		a.node.OnLeadership(term, false)
	}
}

func (a *applier) install(ctx context.Context, install *raft.Install) {
	if err := a.node.Restore(install.Data); err != nil {
		a.fail(ctx, err)
		return
	}
	a.position = install.Snapshot
	a.savedIndex = install.Snapshot.Index
	a.unsavedBytes = 0
	a.node.Host.Log.Write("snapshot-installed", "index", a.position.Index, "bytes", len(install.Data))
}

// snapshot saves the state and lets the loop compact the log.
func (a *applier) snapshot(ctx context.Context) {
	data, err := a.node.Snapshot()
	if err == nil {
		err = a.store.Save(a.position, data)
	}
	if err != nil {
		a.fail(ctx, err)
		return
	}
	a.savedIndex = a.position.Index
	a.unsavedBytes = 0
	saved := a.position
	_ = a.node.post(ctx, event{run: func(l *loop) { l.compact(saved) }})
}

// fail stops the replica, because its state may differ from that of the others.
func (a *applier) fail(ctx context.Context, err error) {
	_ = a.node.post(ctx, event{run: func(l *loop) {
		if l.failure == nil {
			l.failure = &Error{Op: "apply", Kind: KindDisk, Err: err}
		}
	}})
}

// publishProgress wakes goroutines that wait for an applied entry.
func (a *applier) publishProgress() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.applied == a.position.Index {
		return
	}
	a.applied = a.position.Index
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *applier) progress() (uint64, <-chan struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.applied, a.changed
}

// wait returns once the entry at index has been applied.
func (a *applier) wait(ctx context.Context, index uint64) error {
	for {
		applied, changed := a.progress()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-a.node.done:
			return &Error{Op: "wait", Kind: KindStopped}
		case <-ctx.Done():
			return &Error{Op: "wait", Kind: KindTimeout, Err: ctx.Err()}
		}
	}
}
