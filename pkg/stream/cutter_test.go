package stream_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/stream"
)

const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 5\ndata: c\n\n"

func TestEveryCutGivesWholeEvents(t *testing.T) {
	for at := range len(text) {
		c := stream.Splitter{}
		first, err := c.Push([]byte(text[:at]))
		require.NoError(t, err)
		got := string(first)
		second, err := c.Push([]byte(text[at:]))
		require.NoError(t, err)
		require.Equal(t, text, got+string(second))
		require.EqualValues(t, 5, c.LastID)
		require.Equal(t, 4, c.EventCount)
		require.Empty(t, c.Partial())
	}
}

func TestBrokenEventIsHeldBack(t *testing.T) {
	c := stream.Splitter{}
	whole, err := c.Push([]byte("id: 7\ndata: a\n\nid: 8\ndata: b\n"))
	require.NoError(t, err)
	require.Equal(t, "id: 7\ndata: a\n\n", string(whole))
	require.EqualValues(t, 7, c.LastID)
	require.NotEmpty(t, c.Partial())
	c.Resume()
	whole, err = c.Push([]byte("id: 8\ndata: b\n\n"))
	require.NoError(t, err)
	require.Equal(t, "id: 8\ndata: b\n\n", string(whole))
}

func TestEventsOutOfOrder(t *testing.T) {
	for _, second := range []string{"id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n", "id: x\ndata: x\n\n"} {
		c := stream.Splitter{}
		_, err := c.Push([]byte("id: 2\ndata: a\n\n"))
		require.NoError(t, err)
		_, err = c.Push([]byte(second))
		require.ErrorIs(t, err, &stream.Error{Kind: stream.KindOrder})
	}
}

func TestEventWithoutEnd(t *testing.T) {
	c := stream.Splitter{}
	_, err := c.Push(make([]byte, 2<<20))
	require.ErrorIs(t, err, &stream.Error{Kind: stream.KindSize})
}
