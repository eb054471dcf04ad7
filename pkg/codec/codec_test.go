package codec_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

func TestEveryShapeOfFieldSurvives(t *testing.T) {
	update := &plane.Update{
		Seq: 4, Lease: 3e9, Loads: 2.5, Agents: 12, Superseded: true,
		Config: &conf.Delta{From: 1, To: 2, Put: &conf.Config{
			Number:     2,
			Workspaces: map[string]conf.Workspace{"a": {Rate: 5, Burst: 9, Goal: conf.Goal{Share: 0.95, First: 4e8}}},
			Routes:     map[string]conf.Route{"r": {Kind: conf.KindService, Methods: []string{"GET", "POST"}, Once: true}},
		}, DropKeys: []string{"x", "y"}},
		Roster: &roster.Delta{Vector: []roster.Mark{{Origin: 1, Counter: 2}, {Origin: 3, Counter: 4}}, Records: []roster.Record{
			{Agent: "w1", Incarnation: 1 << 63, Queued: []int32{1, 0, 3}, Resident: []roster.Resident{{Adapter: "a", Version: "1"}, {Adapter: "b", Loading: true}}, Digests: [][]byte{{1}, {2}}},
		}},
	}
	data, err := codec.Encode(update)
	require.NoError(t, err)
	var back plane.Update
	require.NoError(t, codec.Decode(data, &back))
	require.Empty(t, back.Config.Put.Keys)
	back.Config.Put.Keys, back.Config.Put.Adapters = nil, nil
	require.Equal(t, *update, back)

	attempt := &call.Attempt{ID: make([]byte, call.IDSize), Adapter: "a", Prefix: []uint64{1, 0, 1 << 60}, Header: []call.Field{{Name: "A", Value: "b"}}}
	data, err = codec.Encode(attempt)
	require.NoError(t, err)
	var again call.Attempt
	require.NoError(t, codec.Decode(data, &again))
	require.Equal(t, *attempt, again)
}

func TestDecodeChecks(t *testing.T) {
	data, err := codec.Encode(&call.Attempt{ID: []byte("short")})
	require.NoError(t, err)
	err = codec.Decode(data, &call.Attempt{})
	require.ErrorIs(t, err, &codec.Error{Kind: codec.KindCheck})
	require.ErrorIs(t, err, &call.Error{Kind: call.KindID})
}

func TestEncodeRefusesLeadingBool(t *testing.T) {
	type inner struct {
		Flag bool  `protobuf:"varint,1,opt"`
		Size int64 `protobuf:"varint,2,opt"`
	}
	type outer struct {
		Items []inner `protobuf:"bytes,1,rep"`
	}
	_, err := codec.Encode(&outer{Items: []inner{{Size: 1}}})
	require.ErrorIs(t, err, &codec.Error{Kind: codec.KindEncode})
}

// The library's decoder crashed the process at the eleventh element.
func TestLongListsAndMapsSurvive(t *testing.T) {
	for _, size := range []int{10, 11, 200, 3000} {
		delta := &conf.Delta{From: 1, To: 2, Put: &conf.Config{Number: 2, Keys: map[string]conf.Key{}}}
		record := roster.Record{Agent: "a", Incarnation: 1}
		for i := range size {
			name := fmt.Sprint("name-", i)
			delta.DropKeys = append(delta.DropKeys, name)
			delta.Put.Keys[name] = conf.Key{Workspace: name}
			record.Queued = append(record.Queued, int32(i-5))
			record.Digests = append(record.Digests, []byte(name))
			record.Resident = append(record.Resident, roster.Resident{Adapter: name, Loading: i%2 == 0})
		}
		update := &plane.Update{Seq: 1, Config: delta, Roster: &roster.Delta{Records: []roster.Record{record, record}}}
		data, err := codec.Encode(update)
		require.NoError(t, err)
		back := &plane.Update{}
		require.NoError(t, codec.Decode(data, back))
		require.Empty(t, back.Config.Put.Adapters)
		put := back.Config.Put
		put.Workspaces, put.Adapters, put.Routes = nil, nil, nil
		require.Equal(t, update, back)
	}
}

// Damaged input gives an error or other values, and never a crash.
func TestDamagedInputIsAnError(t *testing.T) {
	update := &plane.Update{Seq: 4, Loads: 2.5, Config: &conf.Delta{To: 2, Put: &conf.Config{Keys: map[string]conf.Key{"k": {Workspace: "w"}}}}}
	data, err := codec.Encode(update)
	require.NoError(t, err)
	for i := range data {
		require.NotPanics(t, func() { _ = codec.Decode(data[:i], &plane.Update{}) })
		for bit := range 8 {
			flipped := bytes.Clone(data)
			flipped[i] ^= 1 << bit
			require.NotPanics(t, func() { _ = codec.Decode(flipped, &plane.Update{}) })
		}
	}
	require.ErrorIs(t, codec.Decode(data[:len(data)-1], &plane.Update{}), &codec.Error{Kind: codec.KindDecode})
}
