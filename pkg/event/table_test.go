package event_test

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the table of events anew")

const (
	root  = "../.."
	table = root + "/docs/EVENTS.md"
)

// programs are the modules whose events reach operators.
var programs = []string{"entry", "agent", "ctrl", "pkg", "platform"}

// written is where an event is written and with which keys.
type written struct {
	keys, packages map[string]bool
}

// collect finds the calls that write events in one file.
func collect(file *ast.File, folder string, events map[string]*written) {
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || !writes(call) || len(call.Args) == 0 {
			return true
		}
		name, ok := text(call.Args[0])
		if !ok {
			return true
		}
		if events[name] == nil {
			events[name] = &written{keys: map[string]bool{}, packages: map[string]bool{}}
		}
		events[name].packages[folder] = true
		for i := 1; i < len(call.Args); i += 2 {
			if key, ok := text(call.Args[i]); ok {
				events[name].keys[key] = true
			}
		}
		return true
	})
}

// writes reports whether a call is one of Log.Write, or of a function that
// passes its arguments on to it.
func writes(call *ast.CallExpr) bool {
	function, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	if function.Sel.Name == "complain" {
		return true
	}
	owner, ok := function.X.(*ast.SelectorExpr)
	return ok && function.Sel.Name == "Write" && owner.Sel.Name == "Log"
}

func text(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	return value, err == nil
}

func render(events map[string]*written) string {
	var page strings.Builder
	page.WriteString("# Events\n\nEvery event that a process writes, with its keys beside `time` and `daemon`, and the packages that write it. " +
		"`go test ./pkg/event -update` writes this page from the sources; CI holds the two equal.\n\n| event | keys | written by |\n|---|---|---|\n")
	for _, name := range slices.Sorted(maps.Keys(events)) {
		e := events[name]
		fmt.Fprintf(&page, "| `%s` | %s | %s |\n", name, strings.Join(slices.Sorted(maps.Keys(e.keys)), ", "), strings.Join(slices.Sorted(maps.Keys(e.packages)), ", "))
	}
	return page.String()
}

func TestEventsAreDocumented(t *testing.T) {
	events := map[string]*written{}
	for _, program := range programs {
		require.NoError(t, filepath.WalkDir(filepath.Join(root, program), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			folder, err := filepath.Rel(root, filepath.Dir(path))
			collect(file, filepath.ToSlash(folder), events)
			return err
		}))
	}
	require.Greater(t, len(events), 50)
	page := render(events)
	if *update {
		require.NoError(t, os.WriteFile(table, []byte(page), 0o644))
	}
	documented, err := os.ReadFile(table)
	require.NoError(t, err)
	require.Equal(t, page, string(documented), "write it anew with -update")
}
