package setup

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

// FuzzSettings decodes and checks arbitrary settings files. Valid settings must
// survive a round trip through JSON, and every diagnostic must name the file.
func FuzzSettings(f *testing.F) {
	for _, name := range []string{"testdata/ctrl.json", "testdata/bad.json"} {
		text, err := os.ReadFile(name)
		require.NoError(f, err)
		f.Add(text)
	}
	for _, settings := range []*Settings{entry(), agent(), control()} {
		text, err := json.Marshal(settings)
		require.NoError(f, err)
		f.Add(text)
	}
	f.Add([]byte(`{"role": "entry", "http": "[::1%eth0]:1", "control": [null, 5], "drain": "-1h"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, diagnostics := decodeWithoutFiles(text)
		for _, diagnostic := range diagnostics {
			require.NotEmpty(t, diagnostic.Message)
			require.NotEmpty(t, diagnostic.File)
		}
		if len(diagnostics) > 0 {
			return
		}
		require.NoError(t, settings.Check())
		written, err := json.Marshal(settings)
		require.NoError(t, err)
		again, diagnostics := decodeWithoutFiles(written)
		require.Empty(t, diagnostics)
		require.Equal(t, settings, again)
	})
}

// decodeWithoutFiles is like parse, but clears the names of certificate files, because
// fuzzed names could refer to any file.
func decodeWithoutFiles(text []byte) (*Settings, strict.Diagnostics) {
	document := strict.New()
	document.Merge("file", text)
	settings := Default()
	document.Decode(&settings, nil)
	settings.Certificate, settings.Key, settings.Authority = "", "", ""
	document.AddDiagnostics(settings.diagnostics())
	return &settings, document.Diagnostics
}
