// Package raft implements the Raft consensus algorithm as a deterministic state
// machine. It has no goroutine, clock, disk or network: the caller passes in
// ticks, messages and proposals, and carries out the Output of each Step.
package raft

import (
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the rejections and failures of this package.
type Kind string

// The kinds of rejection and failure.
const (
	KindNone          Kind = ""
	KindInvalid       Kind = "invalid message"
	KindNotLeader     Kind = "not the leader"
	KindTransferring  Kind = "a leadership transfer is in progress"
	KindNotReady      Kind = "no entry of this term is committed yet"
	KindPending       Kind = "another membership change is in flight"
	KindBehind        Kind = "the learner has not synced all committed entries"
	KindInvalidMember Kind = "no such member, or the member is in the requested state already"
	KindConflict      Kind = "a committed entry would be replaced"
	KindFull          Kind = "the group has the maximum number of members"
	KindGap           Kind = "the log entries are not consecutive"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

// EntryKind is the type of an entry's data.
type EntryKind uint32

// The kinds of entry.
const (
	// EntryCommand holds a command of the replicated state machine.
	EntryCommand EntryKind = 1
	// EntryMembership holds a Membership, which takes effect when it is appended,
	// before it is committed.
	EntryMembership EntryKind = 2
	// EntryNoop is appended by a new leader, so that entries of earlier terms
	// can be committed.
	EntryNoop EntryKind = 3
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64 `protobuf:"varint,1,opt"`
	Term  uint64 `protobuf:"varint,2,opt"`
	// Time is the leader's clock in nanoseconds since 1970. It never decreases
	// from one entry to the next.
	Time int64     `protobuf:"varint,3,opt"`
	Kind EntryKind `protobuf:"varint,4,opt"`
	Data []byte    `protobuf:"bytes,5,opt"`
}

const (
	// MaxMembers limits the members of a group, learners included.
	MaxMembers = 10
	// MinLearners is the number of learners that a group may have at any number of
	// voters, so that dead voters can be replaced.
	MinLearners = 3
)

// Member is one replica of the group.
type Member struct {
	// ID is created with the replica's data folder.
	ID uint64 `protobuf:"varint,1,opt"`
	// Name is the name of the VM. A replica that lost its disk keeps its name and
	// gets another ID.
	Name    string `protobuf:"bytes,2,opt"`
	Address string `protobuf:"bytes,3,opt"`
	// Voter is false for a learner.
	Voter bool `protobuf:"varint,4,opt"`
	// Transition is set while one voter replaces another.
	Transition Transition `protobuf:"varint,5,opt"`
}

// Transition is a voter's part in a replacement. Until it is complete, a majority is
// one of the voters without the joining one and also one of those without the leaving
// one, so that the replacement needs no more disks than the group did before.
type Transition uint32

// The transitions.
const (
	TransitionNone Transition = iota
	TransitionJoining
	TransitionLeaving
)

// Membership is the data of an EntryMembership; its members are ordered by ID.
type Membership struct {
	Members []Member `protobuf:"bytes,1,rep"`
}

// HardState is the state that must be on disk before any message of the same or
// a later Step is sent, Output.EarlyMessages included.
type HardState struct {
	Term uint64 `protobuf:"varint,1,opt"`
	// Vote is the ID of the candidate voted for in Term; 0 for none.
	Vote uint64 `protobuf:"varint,2,opt"`
}

// Snapshot describes a snapshot of the state machine.
type Snapshot struct {
	// Index and Term identify the last entry that the snapshot contains.
	Index uint64 `protobuf:"varint,1,opt"`
	Term  uint64 `protobuf:"varint,2,opt"`
	// Time is the time of that entry.
	Time int64 `protobuf:"varint,3,opt"`
	// Members is the membership in force at Index.
	Members []Member `protobuf:"bytes,4,rep"`
}

// Chunk is a part of a snapshot that is sent to a follower.
type Chunk struct {
	Snapshot Snapshot `protobuf:"bytes,1,opt"`
	Offset   uint64   `protobuf:"varint,2,opt"`
	// Data and Last are filled in by the caller of Step before sending.
	Data []byte `protobuf:"bytes,3,opt"`
	Last bool   `protobuf:"varint,4,opt"`
}

// MessageKind is the type of a message.
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
	// Index depends on the kind: the entry before Entries, the candidate's last
	// entry, the last acknowledged entry or the rejected entry.
	Index uint64 `protobuf:"varint,5,opt"`
	// LogTerm is the term of the entry at Index.
	LogTerm uint64  `protobuf:"varint,6,opt"`
	Commit  uint64  `protobuf:"varint,7,opt"`
	Entries []Entry `protobuf:"bytes,8,rep"`
	Reject  bool    `protobuf:"varint,9,opt"`
	// Hint and HintTerm identify the last entry at which the logs may agree, in
	// a rejection. In a MessageChunkReply, Hint is the number of snapshot bytes
	// received.
	Hint     uint64 `protobuf:"varint,10,opt"`
	HintTerm uint64 `protobuf:"varint,11,opt"`
	// ReadRound is the newest read round of the leader; replies carry the same
	// value.
	ReadRound uint64 `protobuf:"varint,12,opt"`
	// Force marks a vote request of a leadership transfer; voters answer it
	// even though they have a live leader.
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

// The membership changes. Each adds or removes at most one voter, or replaces one.
const (
	// OperationLearn adds a learner and removes any learner of the same name.
	OperationLearn Operation = "learn"
	// OperationPromote makes a learner a voter.
	OperationPromote Operation = "promote"
	// OperationRemove removes a member.
	OperationRemove Operation = "remove"
	// OperationReplace makes a learner a voter in place of another one. The leader
	// completes it by a second change as soon as the first one is committed.
	OperationReplace Operation = "replace"
)

// Change is a request to change the membership by one replica.
type Change struct {
	Operation Operation
	// Member is the replica. Fields other than ID are used by OperationLearn
	// only.
	Member Member
	// ReplacedID is the voter that OperationReplace removes.
	ReplacedID uint64
}

// Synced reports that the log is on disk up to the entry with this index and
// term.
type Synced struct{ Index, Term uint64 }

// Input is one event. Exactly one event is set; Now comes with each, and
// KeepEntries belongs to Compact.
type Input struct {
	// Now is the time in nanoseconds since 1970; the leader writes it into new
	// entries.
	Now     int64
	Tick    bool
	Message *Message
	// Propose appends commands, at the leader only.
	Propose [][]byte
	Change  *Change
	Synced  *Synced
	// ReadID starts a read round with this ID; the result is reported in
	// Output.Reads.
	ReadID uint64
	// Transfer is the ID of the replica that leadership is transferred to.
	Transfer uint64
	// Unreachable is the ID of a replica to which messages may have been lost.
	// Replication to it restarts at once instead of after a timeout.
	Unreachable uint64
	// Compact is a snapshot that is on disk. The last KeepEntries entries before
	// it stay in memory for slow followers.
	Compact     *Snapshot
	KeepEntries uint64
	// Bootstrap is the first membership of a new group. Exactly one replica of
	// the group may be given it.
	Bootstrap []Member
}

// ReadResult is the result of a read round.
type ReadResult struct {
	// ID is the value of Input.ReadID.
	ID uint64
	// Index is the entry that must be applied before the read is served. Zero
	// means that the replica is not the leader.
	Index uint64
}

// Install is a snapshot that was received completely.
type Install struct {
	Snapshot Snapshot
	Data     []byte
}

// Output is the work for the caller after a Step, in this order: save Install;
// append Entries and Hard to the log and sync it; send EarlyMessages and
// Messages; apply Committed. EarlyMessages may be sent before the sync unless
// Hard is set in this Output or in an earlier one that is not synced yet.
type Output struct {
	Install *Install
	Hard    *HardState
	// Entries are appended to the log. Entries of the log whose index is not
	// below that of the first one are replaced.
	Entries       []Entry
	EarlyMessages []Message
	Messages      []Message
	// Committed holds the newly committed entries; each is reported exactly
	// once, in order.
	Committed []Entry
	Reads     []ReadResult
	// FirstIndex is the index of the first proposed command or of the membership
	// change.
	FirstIndex uint64
	// Rejection is the reason why a proposal, change or transfer was rejected.
	Rejection Kind
	// Err reports a violated invariant; the caller must stop the replica.
	Err error
}
