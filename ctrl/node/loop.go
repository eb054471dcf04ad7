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
	repair   member.Repair
	// peerList describes the group that the replica was told of, in order.
	peerList string

	// output is what the core ordered and is not yet carried out.
	output    raft.Output
	proposals []*proposal
	// uncommitted are the proposals in the log, by index.
	uncommitted  map[uint64]*proposal
	pendingReads map[uint64]chan uint64
	lastReadID   uint64
	// replaceNow are the names to be replaced without waiting.
	replaceNow map[string]bool
	ticks      int
	// leadingTerm is the term in which the replica leads, 0 if it does not.
	leadingTerm uint64
	// leadingSinceTick is the tick in which it began to.
	leadingSinceTick int
	// sendingSnapshot is the snapshot that replicas are being sent.
	sendingSnapshot *snap.Saved
	lastChunkTick   int
	failure         error
}

func newLoop(n *Node, identity member.Identity, core *raft.Core, log *wlog.Log, store *snap.Store) *loop {
	l := &loop{
		node: n, identity: identity, core: core, log: log, store: store,
		repair:       member.Repair{Dead: int(n.ReplaceAfter / tickInterval), Alive: aliveTicks, Voters: n.Voters},
		uncommitted:  map[uint64]*proposal{},
		pendingReads: map[uint64]chan uint64{},
		replaceNow:   map[string]bool{},
	}
	var peers []string
	for _, peer := range n.Peers {
		l.repair.Names = append(l.repair.Names, peer.Name)
		peers = append(peers, peer.Name+"="+peer.Address+",")
	}
	slices.Sort(peers)
	l.peerList = strings.Join(peers, "")
	l.publish()
	return l
}

// run takes events until ctx ends and the leadership is handed over, or until
// the disk fails.
func (l *loop) run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.Background())
	var tasks tasks.Group
	tasks.Go(func() { l.node.applier.run(inner) })
	tasks.Go(func() { l.node.readRounds.run(inner) })
	tasks.Go(func() { l.node.runJoin(inner) })
	tasks.Go(func() { l.node.conns.run(inner) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	stop := ctx.Done()
	var stopped <-chan time.Time
	for l.failure == nil {
		select {
		case e := <-l.node.events:
			l.handleBatch(e)
		case <-ticker.C:
			l.tick()
		case <-stop:
			stop = nil
			if successor := l.core.Successor(); successor != 0 {
				stopped = time.After(handoverTimeout)
				l.step(raft.Input{Transfer: successor})
			}
		case <-stopped:
			stopped = nil
		}
		l.flush()
		if stop == nil && (l.leadingTerm == 0 || stopped == nil) {
			break
		}
	}
	l.failWaiting()
	cancel()
	tasks.Wait()
	return l.failure
}

// failWaiting fails what still waits.
func (l *loop) failWaiting() {
	if l.leadingTerm != 0 {
		l.node.applier.push(applyTask{lostTerm: l.leadingTerm})
	}
	for _, p := range l.uncommitted {
		p.result <- result{kind: KindStopped}
	}
	for _, read := range l.pendingReads {
		close(read)
	}
}

// handleBatch takes an event and what else is waiting, for one sync.
func (l *loop) handleBatch(e event) {
	for range maxBatchEvents {
		l.handle(e)
		select {
		case e = <-l.node.events:
		default:
			return
		}
	}
	l.handle(e)
}

func (l *loop) handle(e event) {
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
	if l.leadingTerm != 0 && l.ticks%repairTicks == 0 {
		if change, ok := l.repair.Next(l.core.Status(), l.replaceNow); ok {
			l.changeMembership(change)
		}
	}
	if l.sendingSnapshot != nil && l.ticks-l.lastChunkTick > defaultReplaceAfterTicks {
		l.sendingSnapshot = nil
	}
}

// changeMembership orders a membership changeMembership.
func (l *loop) changeMembership(change raft.Change) {
	refused := l.step(raft.Input{Change: &change})
	l.node.Host.Log.Write("membership-change", "operation", string(change.Operation),
		"name", change.Member.Name, "replica", change.Member.ID, "refused", string(refused))
}

// step passes one input to the core and adds what it orders to what is
// pending. It returns why the input was refused.
func (l *loop) step(in raft.Input) raft.Kind {
	in.Now = l.node.Now()
	out := l.core.Step(in)
	l.mergeOutput(out)
	return out.Refused
}

func (l *loop) mergeOutput(out raft.Output) {
	if out.Install != nil {
		// What was ordered before belongs to the log as it was.
		l.executeOutput()
	}
	p := &l.output
	if out.Install != nil {
		p.Install = out.Install
	}
	if out.Hard != nil {
		p.Hard = out.Hard
	}
	p.Entries = append(p.Entries, out.Entries...)
	p.Early = append(p.Early, out.Early...)
	p.Messages = append(p.Messages, out.Messages...)
	p.Apply = append(p.Apply, out.Apply...)
	p.Reads = append(p.Reads, out.Reads...)
	if out.Fault != nil && l.failure == nil {
		l.failure = &Error{Op: "step", Kind: KindDisk, Err: out.Fault}
	}
	if out.Install != nil {
		l.executeOutput()
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
	if out.Refused != raft.KindNone {
		for _, p := range batch {
			p.result <- result{kind: KindNotLeader}
		}
		return
	}
	term := l.core.Status().Term
	for i, p := range batch {
		p.term = term
		l.uncommitted[out.First+uint64(i)] = p
	}
	l.mergeOutput(out)
}

// flush carries out all that is ordered.
func (l *loop) flush() {
	l.propose()
	l.executeOutput()
	l.publish()
}

// publish makes the replica's view readable from other goroutines.
func (l *loop) publish() {
	status := l.core.Status()
	l.node.status.Store(&status)
	l.node.conns.updateMembers(status)
}
