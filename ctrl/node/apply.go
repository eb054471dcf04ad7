package node

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/ctrl/snap"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
)

// task is something for the applier; one kind of field is set.
type task struct {
	entries   []raft.Entry
	proposals map[uint64]*proposal
	install   *raft.Install
	// gained and lost are terms in which the replica began and ceased to
	// lead.
	gained, lost uint64
}

// applier calls the state machine from one goroutine, so that a slow one or
// a large snapshot does not hold up heartbeats.
type applier struct {
	node  *Node
	store *snap.Store

	mutex   sync.Mutex
	tasks   []task
	wake    chan struct{}
	applied uint64
	changed chan struct{}

	// at is the last entry applied with its membership, and saved the last
	// snapshot; bytes counts the data applied since.
	at    raft.Snapshot
	saved uint64
	bytes int
	// last is the last entry that the log held when it was opened.
	last   raft.Entry
	opened time.Time
	// gained is the term whose first entry is awaited, leads the one that
	// Leading was told of.
	gained, leads uint64
}

func newApplier(n *Node) *applier {
	return &applier{node: n, wake: make(chan struct{}, 1), changed: make(chan struct{})}
}

func (a *applier) begin(snapshot raft.Snapshot, store *snap.Store, entries []raft.Entry) {
	a.store = store
	a.at = snapshot
	a.saved = snapshot.Index
	a.opened = time.Now()
	if len(entries) > 0 {
		a.last = entries[len(entries)-1]
	}
	a.note()
}

func (a *applier) push(t task) {
	a.mutex.Lock()
	a.tasks = append(a.tasks, t)
	a.mutex.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *applier) take() []task {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	tasks := a.tasks
	a.tasks = nil
	return tasks
}

// run applies until ctx ends, and then what is still queued.
func (a *applier) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-a.wake:
		case <-ctx.Done():
		}
		for _, t := range a.take() {
			a.do(ctx, t)
		}
	}
}

func (a *applier) do(ctx context.Context, t task) {
	switch {
	case t.install != nil:
		a.install(ctx, t.install)
	case t.gained != 0:
		a.gained = t.gained
	case t.lost != 0:
		a.lose(t.lost)
	}
	for _, entry := range t.entries {
		value := a.apply(ctx, entry)
		if p := t.proposals[entry.Index]; p != nil {
			p.result <- result{value: value}
		}
	}
	a.note()
	if a.at.Index-a.saved >= a.node.SnapshotEntries || a.bytes >= snapshotBytes {
		a.snapshot(ctx)
	}
}

func (a *applier) apply(ctx context.Context, entry raft.Entry) []byte {
	var value []byte
	switch entry.Kind {
	case raft.EntryCommand:
		value = a.node.Apply(Entry{Index: entry.Index, Term: entry.Term, Time: entry.Time, AppendedBy: a.seen(entry), Data: entry.Data})
	case raft.EntryMembership:
		var members raft.Membership
		if err := codec.Decode(entry.Data, &members); err != nil {
			a.fail(ctx, err)
			return nil
		}
		a.at.Members = members.Members
	}
	a.at.Index, a.at.Term, a.at.Time = entry.Index, entry.Term, entry.Time
	a.bytes += len(entry.Data)
	if a.gained != 0 && entry.Term == a.gained {
		a.leads, a.gained = a.gained, 0
		if a.node.OnLeadership != nil {
			a.node.OnLeadership(a.leads, true)
		}
	}
	return value
}

// seen returns a time at which a committed entry had been appended. One that
// is neither behind the last entry of the opened log nor of a later term was
// appended before that one, also where the log held another in its place.
func (a *applier) seen(entry raft.Entry) time.Time {
	if entry.Index <= a.last.Index && entry.Term <= a.last.Term {
		return a.opened
	}
	return time.Now()
}

func (a *applier) lose(term uint64) {
	a.gained = 0
	if a.leads != term {
		return
	}
	a.leads = 0
	if a.node.OnLeadership != nil {
		a.node.OnLeadership(term, false)
	}
}

func (a *applier) install(ctx context.Context, install *raft.Install) {
	if err := a.node.Restore(install.Data); err != nil {
		a.fail(ctx, err)
		return
	}
	a.at = install.Snapshot
	a.saved = install.Snapshot.Index
	a.bytes = 0
	a.node.Host.Log.Write("snapshot-installed", "index", a.at.Index, "bytes", len(install.Data))
}

// snapshot saves the state and lets the loop drop the log before it.
func (a *applier) snapshot(ctx context.Context) {
	data, err := a.node.Snapshot()
	if err == nil {
		err = a.store.Save(a.at, data)
	}
	if err != nil {
		a.fail(ctx, err)
		return
	}
	a.saved = a.at.Index
	a.bytes = 0
	saved := a.at
	_ = a.node.post(ctx, event{run: func(l *loop) { l.compact(saved) }})
}

// fail ends the replica: its state may differ from the others'.
func (a *applier) fail(ctx context.Context, err error) {
	_ = a.node.post(ctx, event{run: func(l *loop) {
		if l.failed == nil {
			l.failed = &Error{Op: "apply", Kind: KindDisk, Err: err}
		}
	}})
}

// note tells waiters how far the state is.
func (a *applier) note() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.applied == a.at.Index {
		return
	}
	a.applied = a.at.Index
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *applier) progress() (uint64, <-chan struct{}) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.applied, a.changed
}

// wait returns once the entry at index is applied.
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
