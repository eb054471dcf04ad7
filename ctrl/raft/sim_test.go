package raft_test

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"pgregory.net/rapid"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
	"github.com/tanagerspindle/tanagerspindle/ctrl/snap"
	"github.com/tanagerspindle/tanagerspindle/ctrl/wlog"
)

// chunkBytes makes every snapshot travel in several pieces.
const chunkBytes = 5

// faults are the chances of one schedule, in 1/1000 per step or message.
type faults struct{ lose, double, crash, tear, cut, heal, wipe, change, compact int }

// place is where an entry stands; entries of one place must be the same.
type place struct{ index, term uint64 }

// truth is what all replicas together have shown so far.
type truth struct {
	leaders map[uint64]uint64
	entries map[place]string
	// chain is the state after each applied entry, terms its entry's term.
	chain, terms map[uint64]uint64
	commit       uint64
	// lost are IDs whose disk is gone.
	lost map[uint64]bool
}

// sim is a group under a schedule of faults, over real log and snapshot files
// in memory.
type sim struct {
	t        *rapid.T
	random   *rand.Rand
	faults   faults
	replicas map[uint64]*replica
	order    []uint64
	network  []raft.Message
	cut      map[[2]uint64]bool
	truth    truth
	nextID   uint64
	proposed int
}

// work is an output not yet carried out.
type work struct {
	raft.Output
	noted map[place]string
}

// replica is one process and its disk.
type replica struct {
	id      uint64
	memory  *disk.Memory
	core    *raft.Core
	log     *wlog.Log
	store   *snap.Store
	pending []work
	state   uint64
	at      raft.Snapshot
	reads   map[uint64]uint64
	// group is the membership last in force, also while the process is down.
	group []raft.Member
}

func newSim(t *rapid.T, size int, seed uint64, f faults) *sim {
	s := &sim{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), faults: f,
		replicas: map[uint64]*replica{}, cut: map[[2]uint64]bool{},
		truth: truth{
			leaders: map[uint64]uint64{}, entries: map[place]string{},
			chain: map[uint64]uint64{0: 0}, terms: map[uint64]uint64{}, lost: map[uint64]bool{},
		},
	}
	var members []raft.Member
	for range size {
		r := s.add()
		members = append(members, raft.Member{ID: r.id, Name: fmt.Sprint(r.id), Address: "a", Voter: true})
	}
	first := s.replicas[1]
	s.step(first, raft.Input{Bootstrap: members})
	first.memory.CrashBeforeSync = nil
	s.flush(first)
	first.memory.CrashBeforeSync = s.fail
	return s
}

func (s *sim) chance(permille int) bool { return s.random.IntN(1000) < permille }

func (s *sim) fail() bool { return s.chance(s.faults.tear) }

// add starts a new replica with an empty disk.
func (s *sim) add() *replica {
	s.nextID++
	r := &replica{id: s.nextID, memory: &disk.Memory{}, reads: map[uint64]uint64{}}
	r.memory.KeepUnsynced = func(n int) int { return s.random.IntN(n + 1) }
	s.replicas[r.id] = r
	s.order = append(s.order, r.id)
	s.start(r)
	return r
}

// start opens a replica from what its disk kept.
func (s *sim) start(r *replica) {
	r.memory.CrashBeforeSync = nil
	d := r.memory.Disk()
	r.store = &snap.Store{Disk: d}
	saved, err := r.store.Load()
	s.must(err)
	r.at, r.state = raft.Snapshot{}, 0
	if saved != nil {
		r.at, r.state = saved.Snapshot, binary.LittleEndian.Uint64(saved.Data)
	}
	log, content, err := wlog.Open(d, r.at)
	s.must(err)
	log.SegmentBytes = 300
	r.log = log
	r.core, err = raft.New(raft.Config{
		ID: r.id, Seed: s.random.Uint64(), ElectionTicks: 6, HeartbeatTicks: 2, MaxAppendBytes: 20, MaxInflightAppends: 4,
		Hard: content.Hard, Snapshot: r.at, Entries: content.Entries,
	})
	s.must(err)
	r.memory.CrashBeforeSync = s.fail
}

func (s *sim) must(err error) {
	if err != nil {
		s.t.Fatalf("unexpected: %v", err)
	}
}

// crash loses what was not synced, and the state in memory.
func (s *sim) crash(r *replica) {
	r.memory.Crash()
	r.core, r.pending = nil, nil
	r.reads = map[uint64]uint64{}
}

// step gives one input to a replica. Its output waits for the next flush.
func (s *sim) step(r *replica, in raft.Input) raft.Output {
	in.Now = s.random.Int64N(1000)
	out := r.core.Step(in)
	s.must(out.Err)
	unsynced := out.Hard != nil || slices.ContainsFunc(r.pending, func(w work) bool { return w.Hard != nil })
	if !unsynced {
		s.send(r, out.EarlyMessages)
		out.EarlyMessages = nil
	}
	r.pending = append(r.pending, work{out, note(r.core, out.Entries)})
	s.checkStep(r)
	return out
}

// flush carries out what waits, in order, and may crash at any sync.
func (s *sim) flush(r *replica) {
	for len(r.pending) > 0 {
		out := r.pending[0]
		r.pending = r.pending[1:]
		if !s.persist(r, out) {
			s.crash(r)
			return
		}
		s.send(r, out.EarlyMessages)
		s.send(r, out.Messages)
		s.apply(r, out.Output)
		if len(out.Entries) > 0 {
			newest := out.Entries[len(out.Entries)-1]
			s.step(r, raft.Input{Synced: &raft.Synced{Index: newest.Index, Term: newest.Term}})
		}
	}
}

func (s *sim) persist(r *replica, out work) bool {
	if out.Hard != nil || len(out.Entries) > 0 {
		if r.log.Append(out.Hard, out.Entries) != nil {
			return false
		}
		s.checkEntries(out.noted)
	}
	if out.Install == nil {
		return true
	}
	if r.store.Save(out.Install.Snapshot, out.Install.Data) != nil {
		return false
	}
	return r.log.Reset(out.Install.Snapshot) == nil
}

func (s *sim) send(r *replica, messages []raft.Message) {
	for _, m := range messages {
		if s.cut[[2]uint64{m.From, m.To}] || s.chance(s.faults.lose) {
			continue
		}
		if m.Chunk != nil && !s.fill(r, &m) {
			continue
		}
		s.network = append(s.network, m)
		if s.chance(s.faults.double) {
			s.network = append(s.network, m)
		}
	}
}

func (s *sim) fill(r *replica, m *raft.Message) bool {
	saved, err := r.store.Load()
	if err != nil || saved.Index != m.Chunk.Snapshot.Index {
		return false
	}
	chunk := *m.Chunk
	end := min(chunk.Offset+chunkBytes, uint64(len(saved.Data)))
	chunk.Data, chunk.Last = saved.Data[chunk.Offset:end], end == uint64(len(saved.Data))
	m.Chunk = &chunk
	return true
}

// deliver hands over a message from anywhere in the network.
func (s *sim) deliver(at int) {
	m := s.network[at]
	s.network = slices.Delete(s.network, at, at+1)
	s.must(m.Check())
	if r := s.replicas[m.To]; r != nil && r.core != nil {
		s.step(r, raft.Input{Message: &m})
	}
}

// apply is the state machine: a hash over all commands so far.
func (s *sim) apply(r *replica, out raft.Output) {
	if out.Install != nil {
		r.at, r.state = out.Install.Snapshot, binary.LittleEndian.Uint64(out.Install.Data)
		s.checkApplied(r)
	}
	for _, entry := range out.Committed {
		sum := fnv.New64a()
		_, _ = fmt.Fprint(sum, r.state, entry.Index, entry.Term, entry.Time, string(entry.Data))
		r.state = sum.Sum64()
		if entry.Index != r.at.Index+1 || entry.Time < r.at.Time {
			s.t.Fatalf("replica %d applied %d after %d or time ran back", r.id, entry.Index, r.at.Index)
		}
		r.at.Index, r.at.Term, r.at.Time = entry.Index, entry.Term, entry.Time
		if entry.Kind == raft.EntryMembership {
			r.at.Members = decodeMembers(s, entry)
		}
		s.checkApplied(r)
	}
	for _, read := range out.Reads {
		if read.Index != 0 && read.Index < r.reads[read.ID] {
			s.t.Fatalf("read %d saw %d although %d was committed before it began", read.ID, read.Index, r.reads[read.ID])
		}
	}
}

// compact saves a snapshot and drops the log before it.
func (s *sim) compact(r *replica) {
	data := binary.LittleEndian.AppendUint64(nil, r.state)
	at := r.at
	if at.Index == 0 {
		return
	}
	if r.store.Save(at, data) != nil {
		s.crash(r)
		return
	}
	s.step(r, raft.Input{Compact: &at, KeepEntries: s.random.Uint64N(4)})
	if r.log.Compact(at.Index) != nil {
		s.crash(r)
	}
}
