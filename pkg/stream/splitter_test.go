package stream_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/stream"
)

const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 5\ndata: c\n\n"

func TestEverySplitPointGivesCompleteEvents(t *testing.T) {
	for at := range len(text) {
		splitter := stream.Splitter{}
		first, err := splitter.Push([]byte(text[:at]))
		require.NoError(t, err)
		got := string(first)
		second, err := splitter.Push([]byte(text[at:]))
		require.NoError(t, err)
		require.Equal(t, text, got+string(second))
		require.EqualValues(t, 5, splitter.LastID)
		require.Equal(t, 4, splitter.EventCount)
		require.Empty(t, splitter.Partial())
	}
}

func TestPartialEventIsHeldBack(t *testing.T) {
	splitter := stream.Splitter{}
	complete, err := splitter.Push([]byte("id: 7\ndata: a\n\nid: 8\ndata: b\n"))
	require.NoError(t, err)
	require.Equal(t, "id: 7\ndata: a\n\n", string(complete))
	require.EqualValues(t, 7, splitter.LastID)
	require.NotEmpty(t, splitter.Partial())
	splitter.Resume()
	complete, err = splitter.Push([]byte("id: 8\ndata: b\n\n"))
	require.NoError(t, err)
	require.Equal(t, "id: 8\ndata: b\n\n", string(complete))
}

func TestEventsOutOfOrder(t *testing.T) {
	for _, second := range []string{"id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n", "id: x\ndata: x\n\n"} {
		splitter := stream.Splitter{}
		_, err := splitter.Push([]byte("id: 2\ndata: a\n\n"))
		require.NoError(t, err)
		_, err = splitter.Push([]byte(second))
		require.ErrorIs(t, err, &stream.Error{Kind: stream.KindOrder})
	}
}

// Valid events that arrived together with an invalid one were recorded but not returned, so
// that a resumed stream lacked them.
func TestValidEventsBeforeInvalidOneAreReturned(t *testing.T) {
	const valid = "id: 2\ndata: a\n\nid: 3\ndata: b\n\n"
	for name, invalid := range map[string]string{
		"malformed ID":            "id: \x01\x024\ndata: c\n\nid: 5\ndata: d\n\n",
		"repeated ID":             "id: 3\ndata: c\n\n",
		"second ID of one event":  "id: 4\nid: x\ndata: c\n\n",
		"too large":               "id: 4\ndata: " + strings.Repeat("c", 256<<10),
		"malformed, unterminated": "id: x\n\nid: 4\ndata: c",
	} {
		t.Run(name, func(t *testing.T) {
			splitter := stream.Splitter{}
			complete, err := splitter.Push([]byte(valid + invalid))
			require.Error(t, err)
			require.Equal(t, valid, string(complete))
			require.Equal(t, 2, splitter.EventCount)
			require.EqualValues(t, 3, splitter.LastID)
			splitter.Resume()
			complete, err = splitter.Push([]byte("id: 4\ndata: c\n\n"))
			require.NoError(t, err)
			require.Equal(t, "id: 4\ndata: c\n\n", string(complete))
		})
	}
	splitter := stream.Splitter{}
	complete, err := splitter.Push([]byte("id: x\ndata: a\n\n"))
	require.Error(t, err)
	require.Empty(t, complete)
	require.Zero(t, splitter.EventCount)
}

// An event without an ID would be repeated by an endpoint that continues after the last ID.
func TestStreamIsResumableWhereNoEventWouldBeRepeated(t *testing.T) {
	for name, test := range map[string]struct {
		events string
		want   bool
	}{
		"nothing":                        {"", true},
		"events with IDs":                {text, true},
		"comments":                       {": a\n\n: b\r\n\r\n\n", true},
		"an event without an ID":         {"data: a\n\n", false},
		"and a comment after it":         {"data: a\n\n: b\n\n", false},
		"after one with an ID":           {"id: 1\ndata: a\n\ndata: b\n\n", false},
		"and before one with an ID":      {"data: a\n\nid: 1\ndata: b\n\n", true},
		"incomplete event without an ID": {"id: 1\ndata: a\n\ndata: b\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			splitter := stream.Splitter{}
			_, err := splitter.Push([]byte(test.events))
			require.NoError(t, err)
			require.Equal(t, test.want, splitter.Resumable())
		})
	}
}

func TestUnterminatedEventIsTooLarge(t *testing.T) {
	splitter := stream.Splitter{}
	_, err := splitter.Push(make([]byte, 2<<20))
	require.ErrorIs(t, err, &stream.Error{Kind: stream.KindSize})
}

// The incomplete event of a stream is bounded well below an entry's memory, which
// hundreds of streams share.
func TestIncompleteEventIsBounded(t *testing.T) {
	const limit = 256 << 10
	splitter := stream.Splitter{}
	_, err := splitter.Push(make([]byte, limit))
	require.NoError(t, err)
	_, err = splitter.Push(make([]byte, 1))
	require.ErrorIs(t, err, &stream.Error{Kind: stream.KindSize})
}

// An event that arrives a byte at a time costs time in proportion to its size. It
// used to be copied and searched anew for each byte, which is seconds of processor
// time for one stream.
func TestEventInSingleBytesIsCheap(t *testing.T) {
	const size = 200 << 10
	splitter := stream.Splitter{}
	started := time.Now()
	for range size / 64 {
		for range 63 {
			_, err := splitter.Push([]byte("x"))
			require.NoError(t, err)
		}
		_, err := splitter.Push([]byte("\n"))
		require.NoError(t, err)
	}
	complete, err := splitter.Push([]byte("\n"))
	require.NoError(t, err)
	require.Len(t, complete, size+1)
	require.Less(t, time.Since(started), 2*time.Second)
}

func TestEndOfStreamIsBetweenEventsWhereNoEventIsPartial(t *testing.T) {
	for at := range len(text) + 1 {
		splitter := stream.Splitter{}
		_, err := splitter.Push([]byte(text[:at]))
		require.NoError(t, err)
		end := []byte(text[max(0, at-stream.EndSize):at])
		require.Equal(t, len(splitter.Partial()) == 0, stream.EndsBetweenEvents(end), "%q", text[:at])
	}
}
