package raft_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "400"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

func TestScheduleOfFaultsBreaksNoInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 3, 3, 5}).Draw(t, "size")
		seed := rapid.Uint64().Draw(t, "seed")
		rate := func(name string, maxRate int) int { return rapid.IntRange(0, 4).Draw(t, name) * maxRate / 4 }
		s := newSim(t, size, seed, faultRates{
			drop: rate("lose", 150), duplicate: rate("double", 100), crash: rate("crash", 12), tear: rate("tear", 20),
			partition: rate("cut", 12), heal: rapid.IntRange(2, 20).Draw(t, "heal"),
			wipe: rate("wipe", 4), change: rate("change", 60), compact: rate("compact", 30),
		})
		steps := rapid.IntRange(500, 3000).Draw(t, "steps")
		for range steps {
			s.act()
		}
		s.settle()
	})
}

// act performs one random action of the schedule.
func (s *sim) act() {
	r := s.replicas[s.order[s.random.IntN(len(s.order))]]
	if s.history.lost[r.id] {
		return
	}
	if r.core == nil {
		if s.chance(100) {
			s.start(r)
		}
		return
	}
	s.disturb(r)
	if r.core == nil {
		return
	}
	switch n := s.random.IntN(100); {
	case n < 12:
		s.step(r, raft.Input{Tick: true})
	case n < 20:
		s.proposed++
		s.step(r, raft.Input{Propose: [][]byte{fmt.Appendf(nil, "%d", s.proposed), []byte("x")}})
	case n < 25:
		s.proposed++
		r.reads[uint64(s.proposed)] = s.history.commit
		s.step(r, raft.Input{ReadID: uint64(s.proposed)})
	case n < 50:
		s.flush(r)
	default:
		if len(s.network) > 0 {
			s.deliver(s.random.IntN(min(len(s.network), 12)))
		}
	}
}

// disturb injects faults and membership changes.
func (s *sim) disturb(r *replica) {
	other := s.order[s.random.IntN(len(s.order))]
	if s.chance(s.faults.partition) {
		s.cutOff(r.id, other)
	}
	if s.chance(s.faults.heal) {
		clear(s.cut)
	}
	if s.chance(s.faults.change) {
		s.change(r, other)
	}
	if s.chance(5) {
		s.step(r, raft.Input{Unreachable: other})
	}
	if s.chance(s.faults.compact) {
		s.compact(r)
	}
	if s.chance(s.faults.wipe) && s.expendable(r.id) {
		s.crash(r)
		s.history.lost[r.id] = true
	}
	if s.chance(s.faults.crash) && r.core != nil {
		s.crash(r)
	}
}

// cutOff cuts one direction to one replica, or both directions to all replicas.
func (s *sim) cutOff(id, other uint64) {
	if s.chance(500) {
		s.cut[[2]uint64{id, other}] = true
		return
	}
	for _, other := range s.order {
		s.cut[[2]uint64{id, other}] = true
		s.cut[[2]uint64{other, id}] = true
	}
}

func (s *sim) change(r *replica, other uint64) {
	if !r.core.Status().Leading {
		return
	}
	operation := []raft.Operation{raft.OperationLearn, raft.OperationPromote, raft.OperationRemove, raft.OperationReplace}[s.random.IntN(4)]
	target := raft.Member{ID: other, Name: fmt.Sprint(other), Address: "a"}
	if operation == raft.OperationLearn && len(s.order) < 9 {
		target.ID = s.add().id
		target.Name = fmt.Sprint(target.ID)
	}
	if s.history.lost[target.ID] && operation != raft.OperationRemove {
		return
	}
	if operation == raft.OperationRemove && !s.removable(r, target.ID) {
		return
	}
	replaced := s.order[s.random.IntN(len(s.order))]
	if operation == raft.OperationReplace && !s.replaceable(r, target.ID, replaced) {
		return
	}
	s.step(r, raft.Input{Change: &raft.Change{Operation: operation, Member: target, ReplacedID: replaced}})
	if s.chance(300) {
		s.step(r, raft.Input{Transfer: other})
	}
}

// settle ends all faults and runs the group until all members agree.
func (s *sim) settle() {
	s.faults = faultRates{}
	clear(s.cut)
	for range 400 {
		for _, id := range s.order {
			r := s.replicas[id]
			if s.history.lost[id] {
				continue
			}
			if r.core == nil {
				s.start(r)
			}
			s.step(r, raft.Input{Tick: true})
			s.flush(r)
		}
		for len(s.network) > 0 {
			to := s.network[0].To
			s.deliver(0)
			if r := s.replicas[to]; r.core != nil {
				s.flush(r)
			}
		}
		if s.agreed() {
			return
		}
	}
	for _, id := range s.order {
		if r := s.replicas[id]; r.core != nil {
			s.t.Logf("replica %d at %d: %+v", id, r.at.Index, r.core.Status())
		}
	}
	s.t.Fatalf("no agreement after the faults ended")
}

// agreed reports whether there is a leader whose log contains all committed
// entries, and every member with an intact disk has applied that log.
func (s *sim) agreed() bool {
	for _, id := range s.order {
		r := s.replicas[id]
		if r.core == nil || !r.core.Status().Leading {
			continue
		}
		status := r.core.Status()
		if status.Applied != status.Last || status.Last < s.history.commit {
			return false
		}
		for _, member := range status.Members {
			if !s.history.lost[member.ID] && s.replicas[member.ID].at.Index != status.Last {
				return false
			}
		}
		return true
	}
	return false
}

// trio returns three cores of one group, and the messages that the first core has
// sent since it became leader.
func trio(t *testing.T) (cores map[uint64]*raft.Core, sent []raft.Message) {
	var members []raft.Member
	cores = map[uint64]*raft.Core{}
	for id := uint64(1); id <= 3; id++ {
		core, err := raft.New(raft.Config{ID: id, ElectionTicks: 6, HeartbeatTicks: 2, MaxAppendBytes: 1 << 10, MaxInflightAppends: 4})
		require.NoError(t, err)
		cores[id] = core
		members = append(members, raft.Member{ID: id, Name: fmt.Sprint(id), Voter: true})
	}
	out := cores[1].Step(raft.Input{Bootstrap: members})
	cores[1].Step(raft.Input{Synced: &raft.Synced{Index: 1, Term: 1}})
	out = cores[1].Step(raft.Input{Tick: true})
	for !cores[1].Status().Leading {
		require.NotEmpty(t, out.Messages)
		out = pass(cores, out.Messages)
	}
	return cores, out.EarlyMessages
}

// pass delivers messages, then the replies to them, and returns the outputs of the
// replies' receivers.
func pass(cores map[uint64]*raft.Core, messages []raft.Message) raft.Output {
	var last raft.Output
	for _, m := range messages {
		for _, reply := range cores[m.To].Step(raft.Input{Message: &m}).Messages {
			out := cores[reply.To].Step(raft.Input{Message: &reply})
			last.EarlyMessages = append(last.EarlyMessages, out.EarlyMessages...)
			last.Messages = append(last.Messages, out.Messages...)
			last.Committed = append(last.Committed, out.Committed...)
		}
	}
	return last
}

func TestMembershipChangePreconditions(t *testing.T) {
	cores, sent := trio(t)
	learn := &raft.Change{Operation: raft.OperationLearn, Member: raft.Member{ID: 4, Name: "4", Address: "a"}}
	require.Equal(t, raft.KindNotReady, cores[1].Step(raft.Input{Change: learn}).Rejection)
	require.Equal(t, raft.KindNotLeader, cores[2].Step(raft.Input{Change: learn}).Rejection)

	cores[1].Step(raft.Input{Synced: &raft.Synced{Index: 2, Term: 2}})
	for len(sent) > 0 {
		sent = pass(cores, sent).EarlyMessages
	}
	require.Equal(t, uint64(2), cores[1].Status().Commit)
	out := cores[1].Step(raft.Input{Change: learn})
	require.Equal(t, raft.KindNone, out.Rejection)
	remove := &raft.Change{Operation: raft.OperationRemove, Member: raft.Member{ID: 3}}
	require.Equal(t, raft.KindPending, cores[1].Step(raft.Input{Change: remove}).Rejection)

	cores[1].Step(raft.Input{Synced: &raft.Synced{Index: 3, Term: 2}})
	for _, m := range out.EarlyMessages {
		if m.To != 4 {
			pass(cores, []raft.Message{m})
		}
	}
	require.Equal(t, uint64(3), cores[1].Status().Commit)
	promote := &raft.Change{Operation: raft.OperationPromote, Member: raft.Member{ID: 4}}
	require.Equal(t, raft.KindBehind, cores[1].Step(raft.Input{Change: promote}).Rejection)
}

func TestConflictingTermsAreSkippedInOneRound(t *testing.T) {
	cores, _ := trio(t)
	const length = 300
	var old []raft.Entry
	for i := uint64(1); i <= length; i++ {
		old = append(old, raft.Entry{Index: i, Term: 1, Kind: raft.EntryCommand})
	}
	behind, err := raft.New(raft.Config{ID: 2, ElectionTicks: 6, HeartbeatTicks: 2, MaxAppendBytes: 1 << 10, MaxInflightAppends: 4, Hard: raft.HardState{Term: 1}, Entries: old})
	require.NoError(t, err)
	cores[2] = behind
	out := cores[1].Step(raft.Input{Propose: make([][]byte, length)})
	rounds := 0
	for behind.Status().Last != cores[1].Status().Last || behind.Log()[length-1].Term == 1 {
		for range 6 {
			out.EarlyMessages = append(out.EarlyMessages, cores[1].Step(raft.Input{Tick: true}).EarlyMessages...)
		}
		var toBehind []raft.Message
		for _, m := range out.EarlyMessages {
			if m.To == 2 {
				toBehind = append(toBehind, m)
			}
		}
		out = pass(cores, toBehind)
		rounds++
		require.Less(t, rounds, 8)
	}
}

func TestEntriesOfFormerTermsAreNotCommittedByCounting(t *testing.T) {
	cores, _ := trio(t)
	cores[1].Step(raft.Input{Synced: &raft.Synced{Index: 1, Term: 1}})
	for from := uint64(2); from <= 3; from++ {
		cores[1].Step(raft.Input{Message: &raft.Message{Kind: raft.MessageAppendReply, From: from, To: 1, Term: 2, Index: 1}})
	}
	require.Zero(t, cores[1].Status().Commit)
	cores[1].Step(raft.Input{Synced: &raft.Synced{Index: 2, Term: 2}})
	cores[1].Step(raft.Input{Message: &raft.Message{Kind: raft.MessageAppendReply, From: 2, To: 1, Term: 2, Index: 2}})
	require.Equal(t, uint64(2), cores[1].Status().Commit)
}

func TestReplacedMembershipIsUndone(t *testing.T) {
	cores, sent := trio(t)
	for len(sent) > 0 {
		sent = pass(cores, sent).EarlyMessages
	}
	data, err := codec.Encode(&raft.Membership{Members: []raft.Member{{ID: 2, Name: "2", Voter: true}}})
	require.NoError(t, err)
	uncommitted := raft.Message{Kind: raft.MessageAppend, From: 1, To: 2, Term: 2, Index: 2, LogTerm: 2, Entries: []raft.Entry{
		{Index: 3, Term: 2, Kind: raft.EntryMembership, Data: data},
	}}
	cores[2].Step(raft.Input{Message: &uncommitted})
	require.Len(t, cores[2].Status().Members, 1)
	other := raft.Message{Kind: raft.MessageAppend, From: 3, To: 2, Term: 3, Index: 2, LogTerm: 2, Entries: []raft.Entry{
		{Index: 3, Term: 3, Kind: raft.EntryNoop},
	}}
	cores[2].Step(raft.Input{Message: &other})
	require.Len(t, cores[2].Status().Members, 3)
}

func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	cores, sent := trio(t)
	for len(sent) > 0 {
		sent = pass(cores, sent).EarlyMessages
	}
	cores[1].Step(raft.Input{Propose: [][]byte{{1}, {2}, {3}}})
	entries := cores[1].Log()[2:]
	cores[2].Step(raft.Input{Message: &raft.Message{Kind: raft.MessageAppend, From: 1, To: 2, Term: 2, Index: 2, LogTerm: 2, Entries: entries}})
	require.Equal(t, uint64(5), cores[2].Status().Last)
	chunk := &raft.Chunk{Snapshot: raft.Snapshot{Index: 3, Term: 2}, Data: []byte("state"), Last: true}
	out := cores[2].Step(raft.Input{Message: &raft.Message{Kind: raft.MessageChunk, From: 1, To: 2, Term: 2, Chunk: chunk}})
	require.Nil(t, out.Install)
	require.Equal(t, uint64(5), cores[2].Status().Last)
	require.Equal(t, uint64(3), cores[2].Status().Commit)
}
