package setup

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

// FuzzSettings decodes and checks a settings file. What passes must be read
// back the same, and every fault must name its place.
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
		settings, faults := decodeText(text)
		for _, fault := range faults {
			require.NotEmpty(t, fault.Message)
			require.NotEmpty(t, fault.File)
		}
		if len(faults) > 0 {
			return
		}
		require.NoError(t, settings.Check())
		written, err := json.Marshal(settings)
		require.NoError(t, err)
		again, faults := decodeText(written)
		require.Empty(t, faults)
		require.Equal(t, settings, again)
	})
}

// decodeText is parse without looking at certificate files, whose names may
// be anything.
func decodeText(text []byte) (*Settings, strict.Diagnostics) {
	document := strict.New()
	document.Merge("file", text)
	settings := Default()
	document.Decode(&settings, nil)
	settings.Certificate, settings.Key, settings.Authority = "", "", ""
	document.AddDiagnostics(settings.faults())
	return &settings, document.Diagnostics
}
