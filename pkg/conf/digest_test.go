package conf

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
)

func TestDigestIsEqualAfterEncoding(t *testing.T) {
	config, err := Load("testdata/good")
	require.NoError(t, err)
	data, err := codec.Encode(config)
	require.NoError(t, err)
	var back Config
	require.NoError(t, codec.Decode(data, &back))
	back.Number++
	require.Equal(t, config.Digest(), back.Digest())
	delete(back.Keys, sorted(back.Keys)[0])
	require.NotEqual(t, config.Digest(), back.Digest())
	require.Equal(t, (&Config{}).Digest(), (&Config{Workspaces: map[string]Workspace{}, Routes: map[string]Route{}}).Digest())
}
