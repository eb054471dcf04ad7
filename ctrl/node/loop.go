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

// loop is the replica's event loop. It owns the consensus core and the log; only
// its goroutine accesses them.
type loop struct {
	node     *Node
	identity member.Identity
	core     *raft.Core
	log      *wlog.Log
	store    *snap.Store
	repair   member.RepairPolicy
	// peerList is a text form of the configured peers, sorted. Replicas compare it
	// before they bootstrap a group.
	peerList string

	// output is the work ordered by the core that is not done yet.
	output    raft.Output
	proposals []*proposal
	// uncommitted holds the proposals appended to the log, by index.
	uncommitted map[uint64]*proposal
	// pendingReads holds the receivers of read indexes, by the ID of the read round.
	pendingReads map[uint64]chan uint64
	lastReadID   uint64
	// replaceNow holds the names of members to be replaced without waiting for
	// proof that they are dead.
	replaceNow map[string]bool
	ticks      int
	// leadingTerm is the term in which the replica leads, 0 if it does not lead.
	leadingTerm uint64
	// leadingSinceTick is the tick in which the replica's last leadership began.
	leadingSinceTick int
	// begun reports that the group has committed a command or need not wait for more
	// voters before it does; see Node.FirstVoters. Until then, voters is the number of
	// voters in this leadership, and votersGrewTick the tick in which it last grew.
	begun          bool
	voters         int
	votersGrewTick int
	// size is this leadership's report of the group's size.
	size sizeReport
	// joins are join requests that arrived during another membership change, by ID.
	joins map[uint64]member.JoinRequest
	// sendingSnapshot is the snapshot being sent to other replicas, and lastChunkTick
	// the tick in which its last chunk was sent. It is released after
	// defaultReplaceAfterTicks without a chunk.
	sendingSnapshot *snap.Saved
	lastChunkTick   int
	// failure, once set, ends the loop.
	failure error
}

func newLoop(n *Node, identity member.Identity, core *raft.Core, log *wlog.Log, store *snap.Store) *loop {
	l := &loop{
		node: n, identity: identity, core: core, log: log, store: store,
		repair: member.RepairPolicy{
			DeadTicks: int(n.ReplaceAfter / tickInterval), AliveTicks: aliveTicks, PromptTicks: promptTicks, TargetVoters: n.Voters,
		},
		uncommitted:  map[uint64]*proposal{},
		pendingReads: map[uint64]chan uint64{},
		replaceNow:   map[string]bool{},
		begun:        n.FirstVoters == 0 || core.Status().Commit > 0,
		joins:        map[uint64]member.JoinRequest{},
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

// run handles events until ctx ends and the leadership is handed over, or until the
// replica fails.
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
	var handoverTimer <-chan time.Time
	for l.failure == nil {
		select {
		case e := <-l.node.events:
			l.handleBatch(e)
		case <-ticker.C:
			l.tick()
		case <-stop:
			stop = nil
			if successor := l.core.Successor(); successor != 0 {
				handoverTimer = time.After(handoverTimeout)
				l.step(raft.Input{Transfer: successor})
			}
		case <-handoverTimer:
			handoverTimer = nil
		}
		l.flush()
		if stop == nil && (l.leadingTerm == 0 || handoverTimer == nil) {
			break
		}
	}
	l.failWaiting()
	cancel()
	tasks.Wait()
	return l.failure
}

// failWaiting ends the proposals and reads that still wait.
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

// handleBatch handles an event and the events queued behind it, so that they share
// one sync.
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
	if l.leadingTerm != 0 {
		l.admitWaiting()
		l.trackVoters()
	}
	if l.leadingTerm != 0 && l.ticks%repairTicks == 0 {
		l.reportSize()
	}
	if l.leadingTerm != 0 && (l.ticks%repairTicks == 0 || !l.begun) {
		if change, ok := l.repair.Next(l.core.Status(), l.replaceNow); ok {
			l.changeMembership(change)
		}
	}
	if l.sendingSnapshot != nil && l.ticks-l.lastChunkTick > defaultReplaceAfterTicks {
		l.sendingSnapshot = nil
	}
}

// changeMembership passes a membership change to the core.
func (l *loop) changeMembership(change raft.Change) {
	refused := l.step(raft.Input{Change: &change})
	l.node.Host.Log.Write("membership-change", "operation", string(change.Operation),
		"name", change.Member.Name, "replica", change.Member.ID, "refused", string(refused))
}

// step passes one input to the core and adds the resulting work to output. It
// returns the reason if the input was refused.
func (l *loop) step(in raft.Input) raft.Kind {
	in.Now = l.node.Now()
	out := l.core.Step(in)
	l.mergeOutput(out)
	return out.Rejection
}

func (l *loop) mergeOutput(out raft.Output) {
	if out.Install != nil {
		// Earlier output refers to the log before the snapshot is installed.
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
	p.EarlyMessages = append(p.EarlyMessages, out.EarlyMessages...)
	p.Messages = append(p.Messages, out.Messages...)
	p.Committed = append(p.Committed, out.Committed...)
	l.begun = l.begun || out.Install != nil || slices.ContainsFunc(out.Committed, func(entry raft.Entry) bool { return entry.Kind == raft.EntryCommand })
	p.Reads = append(p.Reads, out.Reads...)
	if out.Err != nil && l.failure == nil {
		l.failure = &Error{Op: "step", Kind: KindDisk, Err: out.Err}
	}
	if out.Install != nil {
		l.executeOutput()
	}
}

// awaitsVoters reports whether this replica leads a new group that still waits for
// voters before it commits a command.
func (l *loop) awaitsVoters() bool {
	status := l.core.Status()
	if l.begun || !status.Leading {
		return false
	}
	// Until trackLeadership has run, votersGrewTick is that of an earlier leadership.
	if l.leadingTerm != status.Term {
		return true
	}
	voters := countVoters(status)
	if voters < l.node.FirstVoters && l.ticks-l.votersGrewTick < firstVotersTicks {
		return true
	}
	l.begun = true
	l.node.Host.Log.Write("group-begun", "voters", voters, "of", l.node.FirstVoters)
	return false
}

// trackVoters notes when the number of voters of a new group grows.
func (l *loop) trackVoters() {
	if l.begun {
		return
	}
	if voters := countVoters(l.core.Status()); voters > l.voters {
		l.voters, l.votersGrewTick = voters, l.ticks
	}
}

func countVoters(status raft.Status) (count int) {
	for _, m := range status.Members {
		if m.Voter {
			count++
		}
	}
	return count
}

// propose appends the queued proposals to the log.
func (l *loop) propose() {
	if len(l.proposals) == 0 || l.awaitsVoters() {
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
		l.uncommitted[out.FirstIndex+uint64(i)] = p
	}
	l.mergeOutput(out)
}

// flush does all work that the core has ordered.
func (l *loop) flush() {
	l.propose()
	l.executeOutput()
	l.publish()
}

// publish makes the replica's status available to other goroutines.
func (l *loop) publish() {
	status := l.core.Status()
	// A call that finds a leader in the status must not be ended by its own leader.
	l.node.leader.set(status.Leader)
	l.node.status.Store(&status)
	l.node.conns.updateMembers(status)
}
