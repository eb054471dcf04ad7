package state_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func apply(t require.TestingT, m *state.Machine, at int64, command *state.Command) *state.Result {
	data, err := codec.Encode(command)
	require.NoError(t, err)
	result := &state.Result{}
	require.NoError(t, codec.Decode(m.Apply(at, 0, time.Now(), data), result))
	return result
}

// configurations draws configurations of every kind of record. Each record has one
// of two values.
func configurations() *rapid.Generator[*conf.Config] {
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	number := rapid.Int64Range(1, 2)
	return rapid.Custom(func(t *rapid.T) *conf.Config {
		return &conf.Config{
			Workspaces: rapid.MapOf(names, rapid.Map(number, func(n int64) conf.Workspace { return conf.Workspace{Rate: n, Burst: 1} })).Draw(t, "workspaces"),
			Keys: rapid.MapOf(names, rapid.Map(number, func(n int64) conf.Key {
				return conf.Key{Workspace: fmt.Sprint("workspace", n)}
			})).Draw(t, "keys"),
			Adapters: rapid.MapOf(names, rapid.Map(number, func(n int64) conf.Adapter { return conf.Adapter{Model: fmt.Sprint("model", n)} })).Draw(t, "adapters"),
			Routes:   rapid.MapOf(names, rapid.Map(number, func(n int64) conf.Route { return conf.Route{Name: fmt.Sprint("model", n)} })).Draw(t, "routes"),
			Services: rapid.MapOf(names, rapid.Map(number, func(n int64) conf.Service { return conf.Service{MaxConnections: int32(n)} })).Draw(t, "services"),
			Limits:   conf.Limits{MaxBodyBytes: number.Draw(t, "limit")},
		}
	})
}

// The delta from any number must produce exactly the committed configuration,
// both when it merges several changes and after a restart from a snapshot, when
// the complete configuration is sent.
func TestDeltasProduceTheCommittedConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, restored := &state.Machine{}, &state.Machine{}
		history := []*conf.Config{nil}
		for number := uint64(1); number <= 8; number++ {
			next := configurations().Draw(t, "configuration")
			next.Number = number
			result := apply(t, m, 0, &state.Command{Config: &state.Proposal{Sum: fmt.Sprint(number), Delta: conf.Diff(history[number-1], next)}})
			require.Equal(t, plane.KindNone, result.Config.Refused)
			history = append(history, next)
		}
		data, err := m.Snapshot()
		require.NoError(t, err)
		require.NoError(t, restored.Restore(data))
		for number, config := range history[:8] {
			for _, machine := range []*state.Machine{m, restored} {
				got, err := config.Apply(machine.Deltas(uint64(number)))
				require.NoError(t, err)
				require.Equal(t, history[8].Digest(), got.Digest(), "from number %d", number)
			}
		}
		require.Nil(t, m.Deltas(8))
	})
}

// A machine restored from a snapshot must give the same replies as the machine
// that wrote the snapshot.
func TestSnapshotRestoresAllState(t *testing.T) {
	m, restored := &state.Machine{}, &state.Machine{}
	claim := &plane.ClaimRequest{Verb: plane.VerbClaim, Key: []byte("key"), Attempt: []byte("attempt")}
	config := &conf.Config{Number: 1, Workspaces: map[string]conf.Workspace{"w": {Rate: 1, Burst: 1}}}
	apply(t, m, 5, &state.Command{
		Config: &state.Proposal{Sum: "sum", Author: "ann", Delta: conf.Diff(nil, config)}, Claim: claim,
		Reservations: []state.Reservation{{Workspace: "w", Level: 7, Held: 3}},
		Enrolments:   []state.AgentIncarnation{{Agent: "a", Incarnation: 9}, {Agent: "a", Incarnation: 4}, {Agent: "b", Incarnation: 1}},
		Crashes:      []plane.Crash{{Source: "a", Incarnation: 9, Count: 1, Digests: [][]byte{[]byte("digest")}}},
	})
	data, err := m.Snapshot()
	require.NoError(t, err)
	require.NoError(t, restored.Restore(data))
	again, err := restored.Snapshot()
	require.NoError(t, err)
	require.Equal(t, data, again)
	for _, machine := range []*state.Machine{m, restored} {
		reservation, _, ok := machine.Reservation("w")
		require.True(t, ok)
		require.Equal(t, state.Reservation{Workspace: "w", Level: 7, Held: 3}, reservation)
		fence, wait, _ := machine.Fence("a")
		require.Equal(t, []uint64{9}, fence.Former)
		require.Greater(t, wait, 2*time.Second, "the former incarnation's lease may still be valid")
		require.Equal(t, []uint64{2, 0, 4}, apply(t, machine, 6, &state.Command{Enrolments: []state.AgentIncarnation{{Agent: "a", Incarnation: 4}, {Agent: "a", Incarnation: 9}, {Agent: "c", Incarnation: 1}}}).Fences)
		require.Equal(t, plane.ClaimOwned, apply(t, machine, 6, &state.Command{Claim: claim}).Claim.State)
		require.Equal(t, "ann", machine.CheckNumber(1, "sum").Winner)
		list, _ := machine.Bans()
		require.Len(t, list, 1)
		apply(t, machine, int64(time.Hour), &state.Command{})
		list, _ = machine.Bans()
		require.Empty(t, list, "an empty command advances the committed time")
	}
	require.Equal(t, plane.KindInvalid, decode(t, m.Apply(0, 0, time.Now(), []byte{0xff})).Refused)
}

func decode(t *testing.T, data []byte) *state.Result {
	result := &state.Result{}
	require.NoError(t, codec.Decode(data, result))
	return result
}

// Guards against token reservations that a former leader proposed and that reach
// the log only in its successor's term: they would omit the successor's grants.
func TestReservationsOfAnotherTermAreRefused(t *testing.T) {
	var machine state.Machine
	apply := func(proposed, appended uint64, level int64) plane.Kind {
		data, err := codec.Encode(&state.Command{ReservationTerm: proposed, Reservations: []state.Reservation{{Workspace: "w", Level: level}}})
		require.NoError(t, err)
		return decode(t, machine.Apply(0, appended, time.Now(), data)).Refused
	}
	require.Empty(t, apply(2, 2, 10))
	require.Equal(t, plane.KindNoLeader, apply(1, 2, 500))
	reservation, _, known := machine.Reservation("w")
	require.True(t, known)
	require.Equal(t, int64(10), reservation.Level)
	require.Empty(t, apply(0, 3, 20), "commands of older builds carry no term")
}

// Retry budget pools are full when the first configuration is applied. A service
// that is removed and added again has no recorded pool, and neither has a service
// added later.
func TestRetryPoolsStartFullWithTheFirstConfiguration(t *testing.T) {
	m := &state.Machine{}
	services := func(names ...string) map[string]conf.Service {
		all := map[string]conf.Service{}
		for _, name := range names {
			all[name] = conf.Service{}
		}
		return all
	}
	level := func(service string) (int64, bool) {
		reservation, _, known := m.Reservation(budget.Account(service))
		return reservation.Level, known
	}
	apply(t, m, 0, &state.Command{FullConfig: &conf.Config{Number: 1, Services: services("desk")}})
	full, known := level("desk")
	require.True(t, known)
	require.Greater(t, full, budget.Default.Pool().Burst)
	agents, known := level(budget.AllAgents)
	require.True(t, known)
	require.Equal(t, full, agents)
	apply(t, m, 0, &state.Command{Reservations: []state.Reservation{{Workspace: budget.Account("desk"), Level: 7}}})
	apply(t, m, 0, &state.Command{FullConfig: &conf.Config{Number: 2, Services: services("desk", "late")}})
	remaining, known := level("desk")
	require.True(t, known)
	require.EqualValues(t, 7, remaining, "a configuration that keeps the service keeps its pool")
	_, known = level("late")
	require.False(t, known)
	apply(t, m, 0, &state.Command{FullConfig: &conf.Config{Number: 3}})
	apply(t, m, 0, &state.Command{FullConfig: &conf.Config{Number: 4, Services: services("desk")}})
	_, known = level("desk")
	require.False(t, known)
	_, known = level(budget.AllAgents)
	require.True(t, known)
}
