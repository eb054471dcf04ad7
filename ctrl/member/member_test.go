package member_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/ctrl/disk"
	"github.com/tanagerspindle/tanagerspindle/ctrl/member"
	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

func TestIdentityLastsAndGoesWithTheFolder(t *testing.T) {
	memory := &disk.Memory{}
	first, err := member.Open(memory.Disk(), "c1", nil)
	require.NoError(t, err)
	memory.Crash()
	again, err := member.Open(memory.Disk(), "c1", nil)
	require.NoError(t, err)
	require.Equal(t, first, again)
	_, err = member.Open(memory.Disk(), "c2", nil)
	require.ErrorIs(t, err, &member.Error{Kind: member.KindForeignFolder})
	memory.Wipe()
	other, err := member.Open(memory.Disk(), "c1", nil)
	require.NoError(t, err)
	require.NotEqual(t, first.ID, other.ID)
}

func TestChangedOrMissingIdentityIsAnError(t *testing.T) {
	memory := &disk.Memory{}
	_, err := member.Open(memory.Disk(), "c1", nil)
	require.NoError(t, err)
	memory.Modify("replica", func(data []byte) []byte {
		data[2] ^= 1
		return data
	})
	_, err = member.Open(memory.Disk(), "c1", nil)
	require.ErrorIs(t, err, &member.Error{Kind: member.KindFolder})

	require.NoError(t, memory.Disk().Rename("replica", "0000000000000001.log"))
	_, err = member.Open(memory.Disk(), "c1", nil)
	require.ErrorIs(t, err, &member.Error{Kind: member.KindFolder})
}

func TestBootstrapNeedsEveryPeerEmpty(t *testing.T) {
	peers := "a=1,b=2,c=3,"
	self := member.JoinResponse{ID: 5, Name: "a", Address: "1", Empty: true, Peers: peers}
	b := member.JoinResponse{ID: 3, Name: "b", Address: "2", Empty: true, Peers: peers}
	c := member.JoinResponse{ID: 4, Name: "c", Address: "3", Empty: true, Peers: peers}
	with := func(change func(*member.JoinResponse)) member.JoinResponse {
		changed := c
		change(&changed)
		return changed
	}
	for name, test := range map[string]struct {
		self    member.JoinResponse
		answers []member.JoinResponse
		want    bool
	}{
		"all empty":        {self, []member.JoinResponse{b, c}, true},
		"one unresponsive": {self, []member.JoinResponse{b}, false},
		"one not empty":    {self, []member.JoinResponse{b, with(func(a *member.JoinResponse) { a.Empty = false })}, false},
		"other peers":      {self, []member.JoinResponse{b, with(func(a *member.JoinResponse) { a.Peers = "a=1,c=3," })}, false},
		"same ID":          {self, []member.JoinResponse{b, with(func(a *member.JoinResponse) { a.ID = 3 })}, false},
		"not first":        {b, []member.JoinResponse{self, c}, false},
		"self not empty":   {member.JoinResponse{ID: 5, Name: "a", Peers: peers}, []member.JoinResponse{b, c}, false},
		"not a peer, one peer unresponsive": {
			member.JoinResponse{ID: 5, Name: "d", Address: "4", Empty: true, Peers: peers},
			[]member.JoinResponse{{Name: "a", Absent: true}, {Name: "b", Absent: true}},
			false,
		},
		"the only replica": {member.JoinResponse{ID: 5, Name: "a", Empty: true, Peers: "a=1,"}, nil, true},
	} {
		members, ok := member.Bootstrap(test.self, test.answers)
		require.Equal(t, test.want, ok, name)
		if ok {
			require.Len(t, members, len(test.answers)+1, name)
		}
	}
}

// No two replicas may create a group, whichever of the peers without a replica answer them.
func TestOnlyTheNomineeOfTheFirstPeerCreatesTheGroup(t *testing.T) {
	peers := "a=1,b=2,c=3,"
	self := member.JoinResponse{ID: 5, Name: "d", Address: "4", Empty: true, Peers: peers}
	absent := func(name string, nominated uint64) member.JoinResponse {
		return member.JoinResponse{Name: name, Absent: true, Nominated: nominated}
	}
	notEmpty, replica := self, absent("b", 5)
	notEmpty.Empty, replica.Absent = false, false
	for name, test := range map[string]struct {
		self    member.JoinResponse
		answers []member.JoinResponse
		want    bool
	}{
		"nominated by all":         {self, []member.JoinResponse{absent("c", 5), absent("a", 5), absent("b", 5)}, true},
		"nominated by the first":   {self, []member.JoinResponse{absent("c", 9), absent("a", 5), absent("b", 9)}, true},
		"nominated by others":      {self, []member.JoinResponse{absent("c", 5), absent("a", 9), absent("b", 5)}, false},
		"no nomination":            {self, []member.JoinResponse{absent("c", 0), absent("a", 0), absent("b", 0)}, false},
		"the first does not reply": {self, []member.JoinResponse{absent("c", 5), absent("b", 5)}, false},
		"a peer runs a replica":    {self, []member.JoinResponse{absent("c", 5), absent("a", 5), replica}, false},
		"not empty":                {notEmpty, []member.JoinResponse{absent("c", 5), absent("a", 5), absent("b", 5)}, false},
	} {
		members, ok := member.Bootstrap(test.self, test.answers)
		require.Equal(t, test.want, ok, name)
		if ok {
			require.Len(t, members, 1, name)
		}
	}
}

func TestRepairReplacesDeadVoters(t *testing.T) {
	repair := member.RepairPolicy{Names: []string{"a", "b", "c"}, DeadTicks: 200, AliveTicks: 20}
	standing := func(id uint64, name string, voter bool, match uint64, silent int) raft.MemberStatus {
		return raft.MemberStatus{Member: raft.Member{ID: id, Name: name, Voter: voter}, Match: match, SilentTicks: silent}
	}
	a, b := standing(1, "a", true, 9, 0), standing(2, "b", true, 9, 1)
	dead, silent, alive := standing(3, "c", true, 5, 201), standing(3, "c", true, 5, 100), standing(3, "c", true, 9, 1)
	ready, behind, unresponsive := standing(4, "c", false, 9, 1), standing(4, "c", false, 8, 1), standing(4, "c", false, 9, 50)
	requested := map[string]bool{"c": true}
	for name, test := range map[string]struct {
		members   []raft.MemberStatus
		requested map[string]bool
		want      raft.Operation
		id        uint64
	}{
		"nothing to do":                 {[]raft.MemberStatus{a, b, alive}, nil, "", 0},
		"old voter dead":                {[]raft.MemberStatus{a, b, dead, ready}, nil, raft.OperationReplace, 4},
		"old voter removed":             {[]raft.MemberStatus{a, b, ready}, nil, raft.OperationPromote, 4},
		"old voter briefly silent":      {[]raft.MemberStatus{a, b, silent, ready}, nil, "", 0},
		"ordered":                       {[]raft.MemberStatus{a, b, silent, ready}, requested, raft.OperationReplace, 4},
		"not synced yet":                {[]raft.MemberStatus{a, b, dead, behind}, requested, "", 0},
		"learner unresponsive":          {[]raft.MemberStatus{a, b, unresponsive}, requested, "", 0},
		"unknown name":                  {[]raft.MemberStatus{a, b, standing(5, "d", false, 9, 0)}, nil, "", 0},
		"unknown name ordered":          {[]raft.MemberStatus{a, b, standing(5, "d", false, 9, 0)}, map[string]bool{"d": true}, raft.OperationPromote, 5},
		"no majority without old voter": {[]raft.MemberStatus{a, standing(2, "b", true, 9, 90), dead, ready}, requested, "", 0},
		"the leader itself":             {[]raft.MemberStatus{a, b, standing(6, "a", false, 9, 0)}, map[string]bool{"a": true}, "", 0},
	} {
		change, ok := repair.Next(raft.Status{ID: 1, Commit: 9, Members: test.members}, test.requested)
		require.Equal(t, test.want != "", ok, name)
		require.Equal(t, test.want, change.Operation, name)
		require.Equal(t, test.id, change.Member.ID, name)
		if test.want == raft.OperationReplace {
			require.Equal(t, uint64(3), change.ReplacedID, name)
		}
	}
}

func TestVotersBeyondTheLimitAreNotReplaced(t *testing.T) {
	voter := func(id uint64, name string, silent int) raft.MemberStatus {
		return raft.MemberStatus{Member: raft.Member{ID: id, Name: name, Voter: true}, Match: 9, SilentTicks: silent}
	}
	members := []raft.MemberStatus{voter(1, "a", 0), voter(2, "b", 1), voter(3, "c", 201), {Member: raft.Member{ID: 4, Name: "d"}, Match: 9}}
	for limit, want := range map[int]raft.Change{
		2: {Operation: raft.OperationRemove, Member: members[2].Member},
		3: {Operation: raft.OperationReplace, Member: members[3].Member, ReplacedID: 3},
		4: {Operation: raft.OperationReplace, Member: members[3].Member, ReplacedID: 3},
	} {
		repair := member.RepairPolicy{DeadTicks: 200, AliveTicks: 20, TargetVoters: limit}
		change, ok := repair.Next(raft.Status{ID: 1, Commit: 9, Members: members}, nil)
		require.True(t, ok)
		require.Equal(t, want, change, "limit %d", limit)
	}
}

// A learner became a voter beside a dead one, in a group with fewer voters than wanted. The next
// loss stopped the group for good, although it bears each loss alone.
func TestPromotionTakesNoToleranceFromTheGroup(t *testing.T) {
	const alive, silent, dead, unheard = 1, 15, 201, -1
	for name, test := range map[string]struct {
		// silence is that of the voters after the leader, in ticks.
		silence []int
		target  int
		want    raft.Operation
	}{
		"all alive":                        {[]int{alive, alive}, 5, raft.OperationPromote},
		"one of three silent":              {[]int{alive, silent}, 5, ""},
		"one of three not heard yet":       {[]int{alive, unheard}, 5, ""},
		"one of three dead":                {[]int{alive, dead}, 5, raft.OperationReplace},
		"two of three dead":                {[]int{dead, dead}, 5, ""},
		"one of four silent":               {[]int{alive, alive, silent}, 5, raft.OperationPromote},
		"one of four dead":                 {[]int{alive, alive, dead}, 5, raft.OperationReplace},
		"one of five silent":               {[]int{alive, alive, alive, silent}, 7, ""},
		"one of five dead":                 {[]int{alive, alive, alive, dead}, 7, raft.OperationReplace},
		"one dead, another silent":         {[]int{alive, alive, silent, dead}, 7, raft.OperationReplace},
		"the only one of two silent":       {[]int{silent}, 3, raft.OperationPromote},
		"the leader alone":                 {nil, 3, raft.OperationPromote},
		"as many as wanted, one silent":    {[]int{alive, silent}, 3, ""},
		"more than wanted, one is silent":  {[]int{alive, alive, silent}, 3, ""},
		"more than wanted, one dead leave": {[]int{alive, alive, dead}, 3, raft.OperationRemove},
	} {
		t.Run(name, func(t *testing.T) {
			members := []raft.MemberStatus{{Member: raft.Member{ID: 1, Name: "a", Voter: true}, Match: 9}}
			for i, ticks := range test.silence {
				voter := raft.MemberStatus{Member: raft.Member{ID: uint64(i + 2), Name: fmt.Sprint("v", i), Voter: true}, Match: 9, SilentTicks: ticks}
				if ticks == unheard {
					voter.Match, voter.SilentTicks = 0, 1
				}
				members = append(members, voter)
			}
			members = append(members, raft.MemberStatus{Member: raft.Member{ID: 90, Name: "new"}, Match: 9})
			repair := member.RepairPolicy{DeadTicks: 200, AliveTicks: 20, PromptTicks: 10, TargetVoters: test.target}
			change, ok := repair.Next(raft.Status{ID: 1, Commit: 9, Members: members}, nil)
			require.Equal(t, test.want != "", ok)
			require.Equal(t, test.want, change.Operation)
		})
	}
}
