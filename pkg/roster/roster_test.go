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

// names returns what a roster shows, with origin and counter, to compare.
func names(r *roster.Roster) []string {
	var shown []string
	for _, record := range r.All() {
		shown = append(shown, fmt.Sprintf("%s %d beat %d turn %d from %d", record.Agent, record.Incarnation, record.Beat, record.Turn, record.Origin))
	}
	return shown
}

// Replicas that exchange deltas by vector in any order end with equal
// rosters, and so does a daemon that follows one of them, although agents move
// between replicas, restart and die. A delta holds no record twice sent.
func TestRostersConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bubble.Test(t, func(*testing.T) {
			replicas := [3]roster.Roster{}
			follower := &roster.Roster{}
			beat, incarnation := map[string]uint64{}, map[string]uint64{}
			for range rapid.IntRange(1, 60).Draw(rt, "steps") {
				time.Sleep(time.Millisecond)
				at := rapid.IntRange(0, 2).Draw(rt, "replica")
				origin := uint64(at + 1)
				agent := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "agent")
				switch rapid.IntRange(0, 5).Draw(rt, "step") {
				case 0, 1:
					beat[agent]++
					replicas[at].Report(origin, roster.Record{Agent: agent, Incarnation: incarnation[agent] + 1, Fence: incarnation[agent] + 1, Beat: beat[agent]})
				case 2:
					replicas[at].Touch(origin, agent, incarnation[agent]+1)
				case 3:
					replicas[at].Expire(origin, 5*time.Millisecond)
				case 4:
					incarnation[agent]++
					beat[agent] = 0
				case 5:
					to := rapid.IntRange(0, 2).Draw(rt, "to")
					replicas[to].Merge(carry(rt, replicas[at].Since(replicas[to].Vector())))
				}
			}
			for range 2 {
				for from := range replicas {
					for to := range replicas {
						replicas[to].Merge(carry(rt, replicas[from].Since(replicas[to].Vector())))
					}
				}
			}
			follower.Merge(carry(rt, replicas[0].Since(follower.Vector())))
			require.Equal(rt, names(&replicas[0]), names(&replicas[1]))
			require.Equal(rt, names(&replicas[0]), names(&replicas[2]))
			require.Equal(rt, names(&replicas[0]), names(follower))
			require.Empty(rt, replicas[0].Since(follower.Vector()).Records)
		})
	})
}

func TestRestartedReplicaKeepsCounting(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		before, entry := &roster.Roster{}, &roster.Roster{}
		for beat := range uint64(5) {
			before.Report(1, roster.Record{Agent: "a", Incarnation: 1, Fence: 1, Beat: beat})
		}
		entry.Merge(before.Since(nil))
		time.Sleep(time.Second)
		after := &roster.Roster{}
		after.Report(1, roster.Record{Agent: "b", Incarnation: 1, Fence: 2, Beat: 1})
		entry.Merge(after.Since(entry.Vector()))
		require.Len(t, entry.All(), 2, "the restarted replica's news must arrive and its ignorance must remove nobody")
	})
}

func TestWholeRosterRemovesForgottenAgents(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		replica, entry := &roster.Roster{}, &roster.Roster{}
		replica.Report(1, roster.Record{Agent: "dead", Incarnation: 1, Beat: 1})
		replica.Report(1, roster.Record{Agent: "alive", Incarnation: 1, Beat: 1})
		entry.Merge(replica.Since(nil))
		entry.Merge(&roster.Delta{Records: []roster.Record{{Agent: "other", Incarnation: 1, Origin: 2, Counter: 9}}, Vector: []roster.Mark{{Origin: 2, Counter: 9}}})
		replica.Leave(1, "dead", 1)
		for range 2 {
			time.Sleep(11 * time.Minute)
			replica.Report(1, roster.Record{Agent: "alive", Incarnation: 1, Beat: 2})
			replica.Expire(1, time.Hour)
		}
		delta := carry(t, replica.Since(entry.Vector()))
		require.True(t, delta.Whole)
		gone := entry.Merge(delta)
		require.Len(t, entry.All(), 2, "alive, and the agent that only another replica can speak for")
		require.True(t, gone[len(gone)-1].Gone)
	})
}
