package codec_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

// newUpdate returns a message with every kind of field. Its lists are long, because
// some protobuf libraries corrupt lists of more than ten elements.
func newUpdate() *plane.Update {
	message := &plane.Update{
		Seq: 4, Lease: 3e9, LoadsPerSecond: 2.5, EngineCount: 12, Superseded: true,
		Config: &conf.Delta{From: 1, To: 2, Put: &conf.Config{
			Number:     2,
			Workspaces: map[string]conf.Workspace{"a": {Rate: -5, Burst: 9, Objective: conf.Objective{Share: 0.95, FirstToken: 4e8}}},
			Routes:     map[string]conf.Route{"r": {Kind: conf.RouteService, Methods: []string{"GET", "", "POST"}, AtMostOnce: true}, "": {}},
		}, DropKeys: []string{"x", "y"}},
		Roster: &roster.Delta{Vector: []roster.VectorEntry{{Origin: 1, Counter: 2}, {Origin: 3, Counter: 4}}},
	}
	for number := range 300 {
		message.Roster.Records = append(message.Roster.Records, roster.Record{
			Agent: "w", Incarnation: 1<<63 + uint64(number), Queued: []int32{1, 0, -3},
			ResidentAdapters: []roster.ResidentAdapter{{Adapter: "a", Version: "1"}, {Adapter: "b", Loading: true}}, Digests: [][]byte{{1}, {2}},
		})
	}
	return message
}

func TestRoundTripOfEveryFieldType(t *testing.T) {
	data, err := codec.Encode(newUpdate())
	require.NoError(t, err)
	var back plane.Update
	require.NoError(t, codec.Decode(data, &back))
	require.Equal(t, *newUpdate(), back)
	again, err := codec.Encode(&back)
	require.NoError(t, err)
	require.Equal(t, data, again)
}

func TestDecodeChecks(t *testing.T) {
	data, err := codec.Encode(&call.Attempt{ID: []byte("short")})
	require.NoError(t, err)
	err = codec.Decode(data, &call.Attempt{})
	require.ErrorIs(t, err, &codec.Error{Kind: codec.KindCheck})
	require.ErrorIs(t, err, &call.Error{Kind: call.KindID})
}

func TestEncodeRejectsUntaggedFields(t *testing.T) {
	_, err := codec.Encode(struct{ Name string }{"x"})
	require.ErrorIs(t, err, &codec.Error{Kind: codec.KindType})
	_, err = codec.Encode(7)
	require.ErrorIs(t, err, &codec.Error{Kind: codec.KindType})
}

// FuzzDecode checks that decoding arbitrary bytes returns either an error or a message
// that can be encoded, and never panics.
func FuzzDecode(f *testing.F) {
	data, err := codec.Encode(newUpdate())
	require.NoError(f, err)
	f.Add(data[:400])
	frame, err := codec.Encode(&call.Frame{ID: make([]byte, call.IDSize), Type: call.FramePart, Data: []byte("x"), Index: 3})
	require.NoError(f, err)
	f.Add(frame)
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, message := range []any{&plane.Update{}, &call.Frame{}, &call.Attempt{}, &plane.ClaimReply{}} {
			if err := codec.Decode(data, message); err != nil {
				continue
			}
			_, err := codec.Encode(message)
			require.NoError(t, err)
		}
	})
}

func BenchmarkFrame(b *testing.B) {
	frame := &call.Frame{ID: make([]byte, call.IDSize), Type: call.FramePart, Index: 9, Data: []byte(" token"), Tokens: 1}
	for b.Loop() {
		data, err := codec.Encode(frame)
		if err != nil {
			b.Fatal(err)
		}
		var back call.Frame
		if err := codec.Decode(data, &back); err != nil {
			b.Fatal(err)
		}
	}
}

// fragile is a message whose check panics.
type fragile struct {
	Size int64 `protobuf:"varint,1,opt"`
}

func (f *fragile) Check() error {
	_ = make([]byte, 4)[f.Size]
	return nil
}

// A message whose decoding panics is an invalid message; the process goes on.
func TestPanicWhileDecodingIsAnError(t *testing.T) {
	data, err := codec.Encode(&fragile{Size: 9})
	require.NoError(t, err)
	require.ErrorIs(t, codec.Decode(data, &fragile{}), &codec.Error{Kind: codec.KindDecode})
}
