package roster_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func carry(t require.TestingT, delta *roster.Delta) *roster.Delta {
	data, err := codec.Encode(delta)
	require.NoError(t, err)
	carried := &roster.Delta{}
	require.NoError(t, codec.Decode(data, carried))
	return carried
}

// summarize returns the live records of a roster in a form that can be compared.
func summarize(r *roster.Roster) []string {
	var lines []string
	for _, record := range r.All() {
		lines = append(lines, fmt.Sprintf("%s incarnation %d report %d control %d from %d", record.Agent, record.Incarnation, record.ReportSeq, record.ControlSeq, record.Origin))
	}
	return lines
}

// step is one random event at a replica.
type step struct {
	action, at, to int
	agent          string
}

func drawStep(t *rapid.T) step {
	replica := rapid.IntRange(0, 2)
	return step{
		action: rapid.IntRange(0, 5).Draw(t, "what"), at: replica.Draw(t, "at"), to: replica.Draw(t, "to"),
		agent: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "agent"),
	}
}

// Replicas that exchange deltas in any order end with equal rosters, and so does a
// daemon that follows one of them, although agents move between replicas, restart
// and crash. Records that a holder has are not sent again.
func TestRostersConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 60).Draw(rt, "steps")
		replicas, follower := [3]roster.Roster{}, &roster.Roster{}
		bubble.Test(t, func(t *testing.T) {
			applySteps(t, &replicas, steps)
			for range 2 {
				for from := range replicas {
					for to := range replicas {
						replicas[to].Merge(carry(t, replicas[from].DeltaSince(replicas[to].Vector())))
					}
				}
			}
			follower.Merge(carry(t, replicas[0].DeltaSince(follower.Vector())))
		})
		require.Equal(rt, summarize(&replicas[0]), summarize(&replicas[1]))
		require.Equal(rt, summarize(&replicas[0]), summarize(&replicas[2]))
		require.Equal(rt, summarize(&replicas[0]), summarize(follower))
		require.Empty(rt, replicas[0].DeltaSince(follower.Vector()).Records)
	})
}

func applySteps(t *testing.T, replicas *[3]roster.Roster, steps []step) {
	seq, incarnation := map[string]uint64{}, map[string]uint64{}
	for _, s := range steps {
		time.Sleep(time.Millisecond)
		replica, origin := &replicas[s.at], uint64(s.at+1)
		started := incarnation[s.agent] + 1
		switch s.action {
		case 0, 1:
			seq[s.agent]++
			replica.Report(origin, roster.Record{Agent: s.agent, Incarnation: started, Fence: started, ReportSeq: seq[s.agent]})
		case 2:
			replica.Touch(origin, s.agent, started)
		case 3:
			replica.Expire(origin, 5*time.Millisecond)
		case 4:
			incarnation[s.agent]++
			seq[s.agent] = 0
		case 5:
			replicas[s.to].Merge(carry(t, replica.DeltaSince(replicas[s.to].Vector())))
		}
	}
}

// An entry may have a later report of an agent than the replica that takes the
// agent over from a dead replica. The agent's removal must reach the entry all the
// same.
func TestAdoptedAgentIsRemovedEverywhere(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		dead, adopter, entry := &roster.Roster{}, &roster.Roster{}, &roster.Roster{}
		report := func(seq uint64) {
			dead.Report(1, roster.Record{Agent: "a", Incarnation: 1, Fence: 1, ReportSeq: seq})
		}
		report(1)
		adopter.Merge(dead.DeltaSince(nil))
		report(2)
		entry.Merge(dead.DeltaSince(nil))
		require.True(t, adopter.TakeOver(2, 1))
		time.Sleep(4 * time.Second)
		require.Len(t, adopter.Expire(2, 3*time.Second), 1)
		entry.Merge(adopter.DeltaForFollower(entry.Vector()))
		require.Empty(t, entry.All())
	})
}

// The replica that an agent has left stops hearing from it before it learns of the
// move. Its removal of the agent must not take effect anywhere, whether the agent
// reports to its new replica or is only heard from there.
func TestMovedAgentIsNotRemovedByItsFormerReplica(t *testing.T) {
	for _, reports := range []bool{true, false} {
		bubble.Test(t, func(t *testing.T) {
			former, present, entry := &roster.Roster{}, &roster.Roster{}, &roster.Roster{}
			former.Report(9, roster.Record{Agent: "a", Incarnation: 1, Fence: 1, ReportSeq: 1})
			present.Merge(former.DeltaSince(nil))
			if reports {
				present.Report(2, roster.Record{Agent: "a", Incarnation: 1, Fence: 1, ReportSeq: 2})
			}
			present.Touch(2, "a", 1)
			time.Sleep(4 * time.Second)
			require.Len(t, former.Expire(9, 3*time.Second), 1)
			for _, holder := range []*roster.Roster{entry, present, former} {
				holder.Merge(former.DeltaForFollower(holder.Vector()))
				holder.Merge(present.DeltaForFollower(holder.Vector()))
				require.Len(t, holder.All(), 1)
			}
		})
	}
}

func TestRestartedReplicaKeepsCounting(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		before, entry := &roster.Roster{}, &roster.Roster{}
		for seq := range uint64(5) {
			before.Report(1, roster.Record{Agent: "a", Incarnation: 1, Fence: 1, ReportSeq: seq})
		}
		entry.Merge(before.DeltaSince(nil))
		time.Sleep(time.Second)
		after := &roster.Roster{}
		after.Report(1, roster.Record{Agent: "b", Incarnation: 1, Fence: 2, ReportSeq: 1})
		entry.Merge(after.DeltaSince(entry.Vector()))
		require.Len(t, entry.All(), 2, "changes of the restarted replica must arrive, and agents that it does not know must stay")
	})
}

func TestCompleteDeltaRemovesAgentsWithoutTombstone(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		replica, entry := &roster.Roster{}, &roster.Roster{}
		replica.Report(1, roster.Record{Agent: "dead", Incarnation: 1, ReportSeq: 1})
		replica.Report(1, roster.Record{Agent: "alive", Incarnation: 1, ReportSeq: 1})
		entry.Merge(replica.DeltaSince(nil))
		entry.Merge(&roster.Delta{Records: []roster.Record{{Agent: "other", Incarnation: 1, Origin: 2, Counter: 9}}, Vector: []roster.VectorEntry{{Origin: 2, Counter: 9}}})
		replica.MarkDeparted(1, "dead", 1)
		for range 2 {
			time.Sleep(11 * time.Minute)
			replica.Report(1, roster.Record{Agent: "alive", Incarnation: 1, ReportSeq: 2})
			replica.Expire(1, time.Hour)
		}
		delta := carry(t, replica.DeltaSince(entry.Vector()))
		require.True(t, delta.Complete)
		changed := entry.Merge(delta)
		require.Len(t, entry.All(), 2, "the live agent, and the agent whose record only another replica can remove")
		require.True(t, changed[len(changed)-1].Removed)
	})
}
