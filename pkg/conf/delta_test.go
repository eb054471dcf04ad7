package conf_test

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func drawConfig(t *rapid.T, number uint64) *conf.Config {
	name := rapid.StringMatching("[a-d]{1,2}")
	rate := rapid.Int64Range(1, 3)
	config := &conf.Config{Number: number, Weights: conf.Weights{Stalls: float64(rate.Draw(t, "stalls"))}}
	config.Workspaces = rapid.MapOf(name, rapid.Custom(func(t *rapid.T) conf.Workspace {
		return conf.Workspace{Rate: rate.Draw(t, "rate"), Burst: 5}
	})).Draw(t, "workspaces")
	config.Keys = rapid.MapOf(name, rapid.Custom(func(t *rapid.T) conf.Key {
		return conf.Key{Workspace: name.Draw(t, "workspace")}
	})).Draw(t, "keys")
	config.Adapters = rapid.MapOf(name, rapid.Custom(func(t *rapid.T) conf.Adapter {
		return conf.Adapter{Model: "m", Versions: []string{"1", "2"}, Current: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "current")}
	})).Draw(t, "adapters")
	config.Routes = rapid.MapOf(name, rapid.Custom(func(t *rapid.T) conf.Route {
		return conf.Route{Kind: conf.RouteService, Path: "/", Cost: rate.Draw(t, "cost")}
	})).Draw(t, "routes")
	return config
}

func copyByCodec(t *rapid.T, config *conf.Config) *conf.Config {
	data, err := codec.Encode(&conf.Delta{Put: config})
	require.NoError(t, err)
	back := &conf.Delta{}
	require.NoError(t, codec.Decode(data, back))
	return back.Put
}

// A delta that was encoded and decoded yields exactly the next configuration and
// leaves the old one unchanged.
func TestDeltaYieldsTheNextConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, next := drawConfig(t, 7), drawConfig(t, 8)
		before := copyByCodec(t, old)
		carried := &conf.Delta{}
		data, err := codec.Encode(conf.Diff(old, next))
		require.NoError(t, err)
		require.NoError(t, codec.Decode(data, carried))
		got, err := old.Apply(carried)
		require.NoError(t, err)
		again := conf.Diff(next, got)
		require.Equal(t, &conf.Delta{From: 8, To: 8, Put: &conf.Config{Number: 8, Weights: next.Weights}}, again)
		require.Equal(t, before, copyByCodec(t, old))
	})
}

func TestApplyRefusesDeltaFromAnotherNumber(t *testing.T) {
	first, second := &conf.Config{Number: 1}, &conf.Config{Number: 2}
	_, err := second.Apply(conf.Diff(first, second))
	require.ErrorIs(t, err, &conf.Error{Kind: conf.KindDelta})
	var none *conf.Config
	_, err = none.Apply(conf.Diff(first, second))
	require.ErrorIs(t, err, &conf.Error{Kind: conf.KindDelta})
	complete, err := none.Apply(conf.Diff(nil, second))
	require.NoError(t, err)
	require.Equal(t, second, complete)
}
