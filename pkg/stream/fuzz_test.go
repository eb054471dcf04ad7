package stream_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/stream"
)

// FuzzPush checks that the complete events, also those before an invalid one, do not
// depend on how the bytes of a stream arrive: at once, or in two parts and then byte by byte.
func FuzzPush(f *testing.F) {
	f.Add([]byte(text), 7)
	f.Add([]byte("id: 2\n\nid: 1\n\n"), 3)
	f.Add([]byte("id: 1\n\nid: 2\n\nid: 3\nid: x\n\nid: 4\n\n"), 9)
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
		var gotErr error
		for _, part := range parts {
			var complete []byte
			complete, gotErr = pieces.Push(part)
			got = append(got, complete...)
			if gotErr != nil {
				break
			}
		}
		require.Equal(t, wantErr == nil, gotErr == nil)
		require.Equal(t, string(want), string(got))
		if wantErr == nil {
			require.Equal(t, string(whole.Partial()), string(pieces.Partial()))
		}
		require.Equal(t, whole.EventCount, pieces.EventCount)
		require.Equal(t, whole.LastID, pieces.LastID)
	})
}
