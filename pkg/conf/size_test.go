package conf

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// adapterCount is the number of adapters that a fleet is expected to have after two years.
const adapterCount = 84_000

// BenchmarkLoad loads a folder of 84,000 adapters in files of 1,000, and computes
// its fingerprint and its digest.
func BenchmarkLoad(b *testing.B) {
	dir := b.TempDir()
	for part := range adapterCount / 1000 {
		var text strings.Builder
		text.WriteString(`{"workspaces": {"w": {"rate": 1000, "burst": 1000}}, "adapters": {`)
		for i := range 1000 {
			fmt.Fprintf(&text, "\n\"adapter-%d\": {\"model\": \"base\", \"workspace\": \"w\", \"versions\": [\"1\", \"2\"], \"current\": \"2\"},", part*1000+i)
		}
		text.WriteString("\n}}")
		file := filepath.Join(dir, fmt.Sprintf("%03d.json", part))
		require.NoError(b, os.WriteFile(file, []byte(text.String()), 0o600))
	}
	config, err := Load(dir)
	require.NoError(b, err)
	require.Len(b, config.Adapters, adapterCount)
	b.Run("load", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = Load(dir)
		}
	})
	b.Run("sum", func(b *testing.B) {
		for b.Loop() {
			_, _ = Fingerprint(dir)
		}
	})
	b.Run("digest", func(b *testing.B) {
		for b.Loop() {
			_ = config.Digest()
		}
	})
}
