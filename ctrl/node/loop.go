package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/member"
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/ctrl/snap"
	"github.com/tanagerspindle/tanagerspindle/ctrl/wlog"
	"github.com/tanagerspindle/tanagerspindle/pkg/tasks"
)

// loop owns the core and the log. Only its goroutine touches them.
type loop struct {
	node     *Node
	identity member.Identity
	core     *raft.Core
	log      *wlog.Log
	store    *snap.Store
	repair   member.RepairPolicy
	// peers describes the group that the replica was told of, in order.
	peers string

	// pending is what the core ordered and is not yet carried out.
	pending   raft.Output
	proposals []*proposal
	// waiting are the proposals in the log, by index.
	waiting map[uint64]*proposal
	reads   map[uint64]chan uint64
	readID  uint64
	// wanted are the names to be replaced without waiting.
	wanted map[string]bool
	ticks  int
	// leading is the term in which the replica leads, 0 if it does not.
	leading uint64
	// leadingSince is the tick in which it began to.
	leadingSince int
	// sending is the snapshot that replicas are being sent.
	sending     *snap.Saved
	sendingTick int
	failed      error
}

func newLoop(n *Node, identity member.Identity, core *raft.Core, log *wlog.Log, store *snap.Store) *loop {
	l := &loop{
		node: n, identity: identity, core: core, log: log, store: store,
		repair:  member.RepairPolicy{DeadTicks: int(n.ReplaceAfter / tick), AliveTicks: aliveTicks, TargetVoters: n.Voters},
		waiting: map[uint64]*proposal{},
		reads:   map[uint64]chan uint64{},
		wanted:  map[string]bool{},
	}
	var peers []string
	for _, peer := range n.Peers {
		l.repair.Names = append(l.repair.Names, peer.Name)
		peers = append(peers, peer.Name+"="+peer.Address+",")
	}
	slices.Sort(peers)
	l.peers = strings.Join(peers, "")
	l.publish()
	return l
}

// run takes events until ctx ends and the leadership is handed over, or until
// the disk fails.
func (l *loop) run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	var tasks tasks.Group
	tasks.Go(func() { l.node.applier.run(inner) })
	tasks.Go(func() { l.node.rounds.run(inner) })
	tasks.Go(func() { l.node.join(inner) })
	tasks.Go(func() { l.node.outlets.run(inner) })
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	stop := ctx.Done()
	var stopped <-chan time.Time
	for l.failed == nil {
		select {
		case e := <-l.node.events:
			l.takeBatch(e)
		case <-ticker.C:
			l.tick()
		case <-stop:
			stop = nil
			if successor := l.core.Successor(); successor != 0 {
				stopped = time.After(handOverTime)
				l.step(raft.Input{Transfer: successor})
			}
		case <-stopped:
			stopped = nil
		}
		l.flush()
		if stop == nil && (l.leading == 0 || stopped == nil) {
			break
		}
	}
	l.end()
	cancel()
	tasks.Wait()
	return l.failed
}

// end fails what still waits.
func (l *loop) end() {
	if l.leading != 0 {
		l.node.applier.push(task{lost: l.leading})
	}
	for _, p := range l.waiting {
		p.result <- result{kind: KindStopped}
	}
	for _, read := range l.reads {
		close(read)
	}
}

// takeBatch takes an event and what else is waiting, for one sync.
func (l *loop) takeBatch(e event) {
	for range batchEvents {
		l.take(e)
		select {
		case e = <-l.node.events:
		default:
			return
		}
	}
	l.take(e)
}

func (l *loop) take(e event) {
	switch {
	case e.message != nil:
		l.step(raft.Input{Message: e.message})
	case e.proposal != nil:
		l.proposals = append(l.proposals, e.proposal)
	case e.run != nil:
		e.run(l)
	}
}

func (l *loop) tick() {
	l.ticks++
	l.step(raft.Input{Tick: true})
	if l.leading != 0 && l.ticks%repairTicks == 0 {
		if change, ok := l.repair.Next(l.core.Status(), l.wanted); ok {
			l.change(change)
		}
	}
	if l.sending != nil && l.ticks-l.sendingTick > deadTicks {
		l.sending = nil
	}
}

// change orders a membership change.
func (l *loop) change(change raft.Change) {
	refused := l.step(raft.Input{Change: &change})
	l.node.Host.Log.Write("membership-change", "operation", string(change.Operation),
		"name", change.Member.Name, "replica", change.Member.ID, "refused", string(refused))
}

// step passes one input to the core and adds what it orders to what is
// pending. It returns why the input was refused.
func (l *loop) step(in raft.Input) raft.Kind {
	in.Now = l.node.Now()
	out := l.core.Step(in)
	l.merge(out)
	return out.Rejection
}

func (l *loop) merge(out raft.Output) {
	if out.Install != nil {
		// What was ordered before belongs to the log as it was.
		l.carryOut()
	}
	p := &l.pending
	if out.Install != nil {
		p.Install = out.Install
	}
	if out.Hard != nil {
		p.Hard = out.Hard
	}
	p.Entries = append(p.Entries, out.Entries...)
	p.EarlyMessages = append(p.EarlyMessages, out.EarlyMessages...)
	p.Messages = append(p.Messages, out.Messages...)
	p.Committed = append(p.Committed, out.Committed...)
	p.Reads = append(p.Reads, out.Reads...)
	if out.Err != nil && l.failed == nil {
		l.failed = &Error{Op: "step", Kind: KindDisk, Err: out.Err}
	}
	if out.Install != nil {
		l.carryOut()
	}
}

// propose puts the waiting proposals into the log.
func (l *loop) propose() {
	if len(l.proposals) == 0 {
		return
	}
	batch := l.proposals
	l.proposals = nil
	commands := make([][]byte, len(batch))
	for i, p := range batch {
		commands[i] = p.data
	}
	out := l.core.Step(raft.Input{Now: l.node.Now(), Propose: commands})
	if out.Rejection != raft.KindNone {
		for _, p := range batch {
			p.result <- result{kind: KindNotLeader}
		}
		return
	}
	term := l.core.Status().Term
	for i, p := range batch {
		p.term = term
		l.waiting[out.FirstIndex+uint64(i)] = p
	}
	l.merge(out)
}

// flush carries out all that is ordered.
func (l *loop) flush() {
	l.propose()
	l.carryOut()
	l.publish()
}

// publish makes the replica's view readable from other goroutines.
func (l *loop) publish() {
	status := l.core.Status()
	l.node.status.Store(&status)
	l.node.outlets.follow(status)
}
