package conf

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

func TestLoadMergesInNameOrder(t *testing.T) {
	config, err := Load("testdata/good")
	require.NoError(t, err)
	text, err := json.MarshalIndent(config, "", "  ")
	require.NoError(t, err)
	goldie.New(t).Assert(t, "good", append(text, '\n'))
}

func TestLoadReportsEveryErrorWithItsPosition(t *testing.T) {
	config, err := Load("testdata/bad")
	require.ErrorIs(t, err, &Error{Kind: KindInvalid})
	require.Nil(t, config)
	var diagnostics strict.Diagnostics
	require.ErrorAs(t, err, &diagnostics)
	goldie.New(t).Assert(t, "bad", []byte(diagnostics.Error()+"\n"))
}

func TestLoadErrorsNeverContainAPlainKey(t *testing.T) {
	const secret = "sk-live-51Habcdef0123456789"
	for name, text := range map[string]string{
		"as name":          `{"keys": {"` + secret + `": {"workspace": "w"}}}`,
		"as field":         `{"keys": {"` + secret + `": {"` + secret + `": 1}}}`,
		"twice":            `{"keys": {"` + secret + `": {}, "` + secret + `": {}}}`,
		"as value":         `{"keys": {"x": {"workspace": "` + secret + `"}}}`,
		"in the note":      `{"keys": {"x": {"note": "for ` + secret + `"}}}`,
		"without quotes":   `{"keys": {"x": ` + secret + `}}`,
		"broken string":    `{"keys": {"x": "` + secret + `\q"}}`,
		"as a whole field": `{"` + secret + `": 1}`,
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			require.NoError(t, os.WriteFile(filepath.Join(dir, "a.json"), []byte(text), 0o600))
			_, err := Load(dir)
			require.Error(t, err)
			require.NotContains(t, err.Error(), secret)
		})
	}
}

func TestLoadFailsWithoutFolderOrFiles(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none"))
	require.ErrorIs(t, err, &Error{Kind: KindRead})
	_, err = Load(t.TempDir())
	require.ErrorIs(t, err, &Error{Kind: KindEmpty})
}
