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

// wallClockFiles lists the files that may convert a time to a wall-clock number,
// each with the reason.
var wallClockFiles = map[string]string{
	"agent/daemon/daemon.go": "orders incarnations of an agent",
	"agent/slots/value.go":   "orders the uses of adapters within one process, for the benchmark's baseline",
	"ctrl/feeds/burn.go":     "assigns burn counts to time slots that are the same on all replicas",
	"ctrl/node/node.go":      "starts the committed time of the log when the process starts",
	"pkg/roster/origin.go":   "starts counters above those of an earlier process of the replica",
	"pkg/clock/clock.go":     "strips the monotonic reading where the kernel has no boot-time clock",
	"spindle/story/story.go": "orders log lines by their wall-clock timestamps",
}

// A duration computed from wall-clock times is wrong when the clock is set in
// between: leases, sessions and the windows of retry budgets would then end early
// or late.
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
		require.Contains(t, wallClockFiles, file, "computes a duration from the wall clock; if it does not, list it with its reason")
	}
	for file := range wallClockFiles {
		require.Contains(t, found, file, "is listed but does not use the wall clock")
	}
}

// usesWallClock reports whether a file converts times to numbers or strips their
// monotonic reading.
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
