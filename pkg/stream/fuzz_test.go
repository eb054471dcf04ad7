package stream_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/stream"
)

// FuzzPush checks that the complete events do not depend on how the bytes of a
// stream arrive: at once, or in two parts and then byte by byte.
func FuzzPush(f *testing.F) {
	f.Add([]byte(text), 7)
	f.Add([]byte("id: 2\n\nid: 1\n\n"), 3)
	f.Add([]byte("\n\r\n\r\r\nid:"), 1)
	f.Fuzz(func(t *testing.T, data []byte, at int) {
		whole, pieces := stream.Splitter{}, stream.Splitter{}
		want, wantErr := whole.Push(data)
		want = append([]byte(nil), want...)
		first := max(0, min(at, len(data)))
		parts := [][]byte{data[:first]}
		for i := first; i < len(data); i++ {
			parts = append(parts, data[i:i+1])
		}
		var got []byte
		for _, part := range parts {
			complete, err := pieces.Push(part)
			if err != nil {
				require.Error(t, wantErr)
				return
			}
			got = append(got, complete...)
		}
		require.NoError(t, wantErr)
		require.Equal(t, string(want), string(got))
		require.Equal(t, string(whole.Partial()), string(pieces.Partial()))
		require.Equal(t, whole.EventCount, pieces.EventCount)
		require.Equal(t, whole.LastID, pieces.LastID)
	})
}
