package conf

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

// FuzzMerge merges two files. A valid result must keep its content through JSON and
// the codec; every error in an invalid one must name its file.
func FuzzMerge(f *testing.F) {
	for _, pattern := range []string{"testdata/good/*.json*", "testdata/bad/*.json*"} {
		names, err := filepath.Glob(pattern)
		require.NoError(f, err)
		for i, name := range names {
			first, err := os.ReadFile(name)
			require.NoError(f, err)
			second, err := os.ReadFile(names[(i+1)%len(names)])
			require.NoError(f, err)
			f.Add(first, second)
		}
	}
	f.Add([]byte(`{"workspaces": {"w": {"rate": 1, "burst": 1}}}`), []byte(`{"workspaces": {"w": null}, "keys": null}`))
	f.Add([]byte(`{"a": [[[[{"b": /* */ 1e400}]]]]}`), []byte("{\"weights\": {\"batch\": -0.0}} // \xff"))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		document := strict.New()
		document.Merge("1", first)
		document.Merge("2", second)
		config, err := decode(document)
		if err != nil {
			requirePositions(t, err)
			return
		}
		require.NoError(t, config.Check())
		requireSameAfterJSON(t, config)
		requireSameAfterCodec(t, config)
	})
}

func requirePositions(t *testing.T, err error) {
	var diagnostics strict.Diagnostics
	require.ErrorAs(t, err, &diagnostics)
	for _, diagnostic := range diagnostics {
		require.NotEmpty(t, diagnostic.Message)
		require.NotEmpty(t, diagnostic.File)
	}
}

func requireSameAfterJSON(t *testing.T, config *Config) {
	text, err := json.Marshal(config)
	require.NoError(t, err)
	document := strict.New()
	document.Merge("again", text)
	again, err := decode(document)
	require.NoError(t, err)
	require.Equal(t, config.Digest(), again.Digest())
	require.Equal(t, config.Number, again.Number)
}

func requireSameAfterCodec(t *testing.T, config *Config) {
	data, err := codec.Encode(config)
	require.NoError(t, err)
	var again Config
	require.NoError(t, codec.Decode(data, &again))
	require.Equal(t, config.Digest(), again.Digest())
}
