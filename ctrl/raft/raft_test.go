package raft_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261203")
	}
	os.Exit(m.Run())
}

func TestScheduleOfFaultsBreaksNoInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 3, 3, 3, 5}).Draw(t, "size")
		seed := rapid.Uint64().Draw(t, "seed")
		rate := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
		s := newSim(t, size, seed, faults{
			lose: rate("lose", 150), double: rate("double", 100), crash: rate("crash", 20), tear: rate("tear", 30),
			cut: rate("cut", 20), heal: 20, wipe: rate("wipe", 5), change: rate("change", 60), compact: rate("compact", 30),
		})
		steps := rapid.IntRange(500, 3000).Draw(t, "steps")
		for range steps {
			s.act()
		}
		s.settle()
	})
}

// act does one thing of the schedule.
func (s *sim) act() {
	r := s.replicas[s.order[s.random.IntN(len(s.order))]]
	if s.truth.lost[r.id] {
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
		r.reads[uint64(s.proposed)] = s.truth.commit
		s.step(r, raft.Input{Read: uint64(s.proposed)})
	case n < 50:
		s.flush(r)
	default:
		if len(s.network) > 0 {
			s.deliver(s.random.IntN(min(len(s.network), 12)))
		}
	}
}

// disturb brings about faults and changes.
func (s *sim) disturb(r *replica) {
	other := s.order[s.random.IntN(len(s.order))]
	if s.chance(s.faults.cut) {
		s.cut[[2]uint64{r.id, other}] = true
	}
	if s.chance(s.faults.heal) {
		clear(s.cut)
	}
	if s.chance(s.faults.change) {
		s.change(r, other)
	}
	if s.chance(s.faults.compact) {
		s.compact(r)
	}
	if s.chance(s.faults.wipe) && s.expendable(r.id) {
		s.crash(r)
		s.truth.lost[r.id] = true
	}
	if s.chance(s.faults.crash) && r.core != nil {
		s.crash(r)
	}
}

func (s *sim) change(r *replica, other uint64) {
	if !r.core.Status().Leading {
		return
	}
	operation := []raft.Operation{raft.OperationLearn, raft.OperationPromote, raft.OperationRemove}[s.random.IntN(3)]
	target := raft.Member{ID: other, Name: fmt.Sprint(other), Address: "a"}
	if operation == raft.OperationLearn && len(s.order) < 9 {
		target.ID = s.add().id
		target.Name = fmt.Sprint(target.ID)
	}
	if s.truth.lost[target.ID] && operation != raft.OperationRemove {
		return
	}
	if operation == raft.OperationRemove && !s.removable(r, target.ID) {
		return
	}
	s.step(r, raft.Input{Change: &raft.Change{Operation: operation, Member: target}})
	if s.chance(300) {
		s.step(r, raft.Input{Transfer: other})
	}
}

// settle ends all faults and waits until the group agrees.
func (s *sim) settle() {
	s.faults = faults{}
	clear(s.cut)
	for range 400 {
		for _, id := range s.order {
			r := s.replicas[id]
			if s.truth.lost[id] {
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

// agreed reports whether there is a leader and every living member has
// applied all that it has, and all that was ever committed.
func (s *sim) agreed() bool {
	for _, id := range s.order {
		r := s.replicas[id]
		if r.core == nil || !r.core.Status().Leading {
			continue
		}
		status := r.core.Status()
		if status.Applied != status.Last || status.Last < s.truth.commit {
			return false
		}
		for _, member := range status.Members {
			if !s.truth.lost[member.ID] && s.replicas[member.ID].at.Index != status.Last {
				return false
			}
		}
		return true
	}
	return false
}

func TestPackKeepsManyEntries(t *testing.T) {
	var entries []raft.Entry
	for i := range uint64(100) {
		entries = append(entries, raft.Entry{Index: i + 1, Term: 1, Kind: raft.EntryCommand, Data: []byte("d")})
	}
	packed, err := raft.Pack(entries)
	require.NoError(t, err)
	back, err := raft.Unpack(packed)
	require.NoError(t, err)
	require.Equal(t, entries, back)
	_, err = raft.Unpack(packed[:len(packed)-1])
	require.ErrorIs(t, err, &raft.Error{Kind: raft.KindInvalid})
}
