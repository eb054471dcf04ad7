// Package raft is the replicated log's consensus as a deterministic state
// machine. It has no goroutine, clock, disk or network: the caller passes in
// ticks, messages and proposals, and carries out what each Step returns.
package raft

import (
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the refusals and failures of this package.
type Kind string

// The kinds of failure.
const (
	KindNone          Kind = ""
	KindInvalid       Kind = "invalid message"
	KindNotLeader     Kind = "not the leader"
	KindTransferring  Kind = "leadership is being handed over"
	KindNotReady      Kind = "no entry of this term is committed yet"
	KindPending       Kind = "another membership change is in flight"
	KindBehind        Kind = "the learner has not synced everything committed"
	KindInvalidMember Kind = "no such member, or it is in that state already"
	KindConflict      Kind = "a committed entry would be replaced"
	KindFull          Kind = "the group has as many members as it may have"
	KindGap           Kind = "entries are missing before the log's first one"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// EntryKind says what an entry's data is.
type EntryKind uint32

// The kinds of entry.
const (
	// EntryCommand holds data of the replicated state machine.
	EntryCommand EntryKind = 1
	// EntryMembership holds a Members, in force from when it is appended.
	EntryMembership EntryKind = 2
	// EntryNoop is appended by a new leader to commit what came before.
	EntryNoop EntryKind = 3
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64 `protobuf:"varint,1,opt"`
	Term  uint64 `protobuf:"varint,2,opt"`
	// Time is stamped by the leader, in nanoseconds since 1970; it never
	// decreases from one entry to the next.
	Time int64     `protobuf:"varint,3,opt"`
	Kind EntryKind `protobuf:"varint,4,opt"`
	Data []byte    `protobuf:"bytes,5,opt"`
}

// MaxMembers is the most members, learners included, that a group may have:
// seven voters and what it takes to replace some of them.
const MaxMembers = 10

// Member is one replica of the group.
type Member struct {
	// ID was made with the replica's data folder.
	ID uint64 `protobuf:"varint,1,opt"`
	// Name is the VM's; a replica that lost its disk has the same name and
	// another ID.
	Name    string `protobuf:"bytes,2,opt"`
	Address string `protobuf:"bytes,3,opt"`
	// Voter is false for a learner.
	Voter bool `protobuf:"varint,4,opt"`
}

// Membership is the data of an EntryMembers, ordered by ID.
type Membership struct {
	Members []Member `protobuf:"bytes,1,rep"`
}

// HardState must be synced before any message of the same or a later Step is
// sent.
type HardState struct {
	Term uint64 `protobuf:"varint,1,opt"`
	// Vote is the ID voted for in Term; 0 for none.
	Vote uint64 `protobuf:"varint,2,opt"`
}

// Snapshot describes a snapshot of the state machine.
type Snapshot struct {
	// Index and Term are those of the last entry contained.
	Index uint64 `protobuf:"varint,1,opt"`
	Term  uint64 `protobuf:"varint,2,opt"`
	// Time is the last entry's.
	Time int64 `protobuf:"varint,3,opt"`
	// Members is the membership in force at Index.
	Members []Member `protobuf:"bytes,4,rep"`
}

// Chunk is a piece of a snapshot on its way to a follower.
type Chunk struct {
	Snapshot Snapshot `protobuf:"bytes,1,opt"`
	Offset   uint64   `protobuf:"varint,2,opt"`
	// Data and Last are filled in by the caller of Step before sending.
	Data []byte `protobuf:"bytes,3,opt"`
	Last bool   `protobuf:"varint,4,opt"`
}

// MessageKind says what a message is.
type MessageKind uint32

// The kinds of message.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageHeartbeat
	MessageHeartbeatReply
	MessageChunk
	MessageChunkReply
	MessageTimeoutNow
)

// Message is sent from one replica to another.
type Message struct {
	Kind MessageKind `protobuf:"varint,1,opt"`
	From uint64      `protobuf:"varint,2,opt"`
	To   uint64      `protobuf:"varint,3,opt"`
	Term uint64      `protobuf:"varint,4,opt"`
	// Index is the entry before Entries, the candidate's last entry, the last
	// entry acknowledged or the entry refused.
	Index uint64 `protobuf:"varint,5,opt"`
	// LogTerm is the term of the entry at Index.
	LogTerm uint64  `protobuf:"varint,6,opt"`
	Commit  uint64  `protobuf:"varint,7,opt"`
	Entries []Entry `protobuf:"bytes,8,rep"`
	Reject  bool    `protobuf:"varint,9,opt"`
	// Hint and HintTerm tell the leader where the logs may agree.
	Hint     uint64 `protobuf:"varint,10,opt"`
	HintTerm uint64 `protobuf:"varint,11,opt"`
	// ReadRound is the newest read round; replies repeat it.
	ReadRound uint64 `protobuf:"varint,12,opt"`
	// Force marks a vote request that the former leader asked for.
	Force bool   `protobuf:"varint,13,opt"`
	Chunk *Chunk `protobuf:"bytes,14,opt"`
}

// Check reports the first invalid field.
func (m *Message) Check() error {
	if m.Kind < MessagePreVote || m.Kind > MessageTimeoutNow {
		return &Error{Op: "check kind", Kind: KindInvalid}
	}
	if m.From == 0 || m.To == 0 || m.From == m.To || m.Term == 0 {
		return &Error{Op: "check sender", Kind: KindInvalid}
	}
	if (m.Kind == MessageChunk) != (m.Chunk != nil) {
		return &Error{Op: "check chunk", Kind: KindInvalid}
	}
	previous := m.Index
	for _, entry := range m.Entries {
		if entry.Index != previous+1 || entry.Term == 0 || entry.Term > m.Term {
			return &Error{Op: "check entries", Kind: KindInvalid}
		}
		if entry.Kind < EntryCommand || entry.Kind > EntryNoop {
			return &Error{Op: "check entry kind", Kind: KindInvalid}
		}
		previous = entry.Index
	}
	return nil
}

// Operation is a kind of membership change.
type Operation string

// The membership changes. Each changes at most one voter.
const (
	// OperationLearn adds a learner in place of a learner of the same name.
	OperationLearn Operation = "learn"
	// OperationPromote makes a learner a voter.
	OperationPromote Operation = "promote"
	// OperationRemove removes a member.
	OperationRemove Operation = "remove"
)

// Change is a wish to change the membership by one replica.
type Change struct {
	Operation Operation
	// Member is the replica; all but its ID matter only for
	// OperationLearn.
	Member Member
}

// Synced says that the log is synced as far as the entry of this index and
// term.
type Synced struct{ Index, Term uint64 }

// Input is one event; exactly one field beside Now is set.
type Input struct {
	// Now is the time in nanoseconds since 1970, for the stamps of entries.
	Now     int64
	Tick    bool
	Message *Message
	// Propose appends commands, at the leader only.
	Propose [][]byte
	Change  *Change
	Synced  *Synced
	// ReadID asks for a read round and names it; the answer is in
	// Output.Reads.
	ReadID uint64
	// Transfer hands the leadership to this replica.
	Transfer uint64
	// Unreachable says that messages to this replica may be lost; without it they
	// are sent again after some time.
	Unreachable uint64
	// Compact says that a snapshot has been synced. Keep entries before it
	// stay in memory for slow followers.
	Compact     *Snapshot
	KeepEntries uint64
	// Bootstrap is the first membership of a new group, for one replica only.
	Bootstrap []Member
}

// ReadResult is the end of a read round.
type ReadResult struct {
	// ID is what Input.Read named it.
	ID uint64
	// Index is what must be applied before the read is served. Zero says
	// that the replica does not lead.
	Index uint64
}

// Install is a snapshot received whole.
type Install struct {
	Snapshot Snapshot
	Data     []byte
}

// Output is what the caller has to do after a Step, in this order: save
// Install; append Entries and Hard to the log and sync it; send Messages;
// apply Apply. Early may be sent before the sync unless Hard is set in this
// Output or in one not yet synced.
type Output struct {
	Install *Install
	Hard    *HardState
	// Entries go behind the entry before the first one's index; what the log
	// holds from there on is replaced.
	Entries       []Entry
	EarlyMessages []Message
	Messages      []Message
	// Committed are committed entries, each reported once, in order.
	Committed []Entry
	Reads     []ReadResult
	// FirstIndex is the index given to the first proposal or to the change.
	FirstIndex uint64
	// Rejection says why a proposal, change or transfer was not taken.
	Rejection Kind
	// Err is a broken invariant; the caller must stop.
	Err error
}
