package raft_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

// campaignDuringReplacement lets a replica campaign while voter 3 is replaced by learner
// 4, and gives it the votes of others.
func campaignDuringReplacement(t *testing.T, id uint64, voters ...uint64) *raft.Core {
	t.Helper()
	core, err := raft.New(raft.Config{
		ID: id, ElectionTicks: 6, HeartbeatTicks: 2, MaxAppendBytes: 1 << 10, MaxInflightAppends: 4,
		Hard: raft.HardState{Term: 2},
		Snapshot: raft.Snapshot{Index: 5, Term: 2, Members: []raft.Member{
			{ID: 1, Name: "1", Voter: true},
			{ID: 2, Name: "2", Voter: true},
			{ID: 3, Name: "3", Voter: true, Transition: raft.TransitionLeaving},
			{ID: 4, Name: "4", Voter: true, Transition: raft.TransitionJoining},
		}},
	})
	require.NoError(t, err)
	for range 12 {
		core.Step(raft.Input{Tick: true})
	}
	for _, kind := range []raft.MessageKind{raft.MessagePreVoteReply, raft.MessageVoteReply} {
		for _, from := range voters {
			core.Step(raft.Input{Message: &raft.Message{Kind: kind, From: from, To: id, Term: 3}})
		}
	}
	return core
}

func TestElectionDuringAReplacementNeedsBothMajorities(t *testing.T) {
	require.True(t, campaignDuringReplacement(t, 1, 2).Status().Leading)
	require.False(t, campaignDuringReplacement(t, 1, 3).Status().Leading)
	require.False(t, campaignDuringReplacement(t, 1, 4).Status().Leading)
	require.True(t, campaignDuringReplacement(t, 1, 3, 4).Status().Leading)
}

// A new leader completes the replacement that an earlier one began. If the leader is the
// voter that was to be replaced, it undoes the replacement.
func TestNewLeaderEndsAReplacement(t *testing.T) {
	for id, want := range map[uint64]map[uint64]bool{
		1: {1: true, 2: true, 4: true},
		3: {1: true, 2: true, 3: true, 4: false},
	} {
		core := campaignDuringReplacement(t, id, 1, 2, 4)
		require.True(t, core.Status().Leading)
		core.Step(raft.Input{Synced: &raft.Synced{Index: 6, Term: 3}})
		for from := range uint64(4) {
			core.Step(raft.Input{Message: &raft.Message{Kind: raft.MessageAppendReply, From: from + 1, To: id, Term: 3, Index: 6}})
		}
		require.Equal(t, uint64(6), core.Status().Commit)
		voters := map[uint64]bool{}
		for _, m := range core.Status().Members {
			require.Zero(t, m.Transition)
			voters[m.ID] = m.Voter
		}
		require.Equal(t, want, voters, "leader %d", id)
	}
}

// The leader and other voters have synced an entry.
func TestCommitDuringAReplacementNeedsBothMajorities(t *testing.T) {
	for _, test := range []struct {
		synced []uint64
		commit uint64
	}{
		{[]uint64{3}, 5},
		{[]uint64{4}, 5},
		{[]uint64{2}, 6},
		{[]uint64{3, 4}, 6},
	} {
		core := campaignDuringReplacement(t, 1, 2)
		core.Step(raft.Input{Synced: &raft.Synced{Index: 6, Term: 3}})
		for _, from := range test.synced {
			core.Step(raft.Input{Message: &raft.Message{Kind: raft.MessageAppendReply, From: from, To: 1, Term: 3, Index: 6}})
		}
		require.Equal(t, test.commit, core.Status().Commit, "synced at %v", test.synced)
	}
}
