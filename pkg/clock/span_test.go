package clock_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// wallClockFiles are the files that may turn a time into a number of the time of
// day, each with what for.
var wallClockFiles = map[string]string{
	"agent/daemon/daemon.go": "orders incarnations",
	"agent/slots/worth.go":   "orders uses of one process, baseline of the bench",
	"ctrl/feeds/burn.go":     "places counts of the burn report, which replicas exchange",
	"ctrl/node/node.go":      "begins the time that the log holds at the process's start",
	"pkg/roster/origin.go":   "begins counters above those of a former process",
	"pkg/clock/clock.go":     "reads the clock of the VM",
	"spindle/story/story.go": "orders lines of logs, which hold the time of day",
}

// A span that is measured by the time of day ends early or late when the clock
// is set: repeats, leases and sessions then last for another time than they may.
func TestDurationsDoNotUseWallClock(t *testing.T) {
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	found := map[string]bool{}
	for _, module := range []string{"agent", "ctrl", "entry", "pkg", "platform", "spindle"} {
		require.NoError(t, filepath.WalkDir(filepath.Join(root, module), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, source, 0)
			if err != nil {
				return err
			}
			relative, err := filepath.Rel(root, path)
			if usesWallClock(file) {
				found[filepath.ToSlash(relative)] = true
			}
			return err
		}))
	}
	for file := range found {
		require.Contains(t, wallClockFiles, file, "measures a span by the time of day, or is to be listed with its reason")
	}
	for file := range wallClockFiles {
		require.Contains(t, found, file, "is listed but tells no time of day")
	}
}

// usesWallClock reports whether a file turns times into numbers or drops their
// monotonic part.
func usesWallClock(file *ast.File) bool {
	found := false
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return true
		}
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		switch selector.Sel.Name {
		case "UnixNano", "UnixMicro", "UnixMilli":
			found = true
		case "Round":
			literal, ok := call.Args[0].(*ast.BasicLit)
			found = found || ok && literal.Value == "0"
		}
		return true
	})
	return found
}
