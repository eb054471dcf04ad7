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

var update = flag.Bool("update", false, "regenerate docs/EVENTS.md")

const (
	root       = "../.."
	eventsPage = root + "/docs/EVENTS.md"
)

// modules are the modules whose programs write events that operators see.
var modules = []string{"entry", "agent", "ctrl", "pkg", "platform"}

// eventUse holds the keys of an event and the packages that write it.
type eventUse struct {
	keys, packages map[string]bool
}

// collect adds the events that are written in one file, by name.
func collect(file *ast.File, folder string, events map[string]*eventUse) {
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || !isLogWrite(call) || len(call.Args) == 0 {
			return true
		}
		name, ok := stringLiteral(call.Args[0])
		if !ok {
			return true
		}
		if events[name] == nil {
			events[name] = &eventUse{keys: map[string]bool{}, packages: map[string]bool{}}
		}
		events[name].packages[folder] = true
		for i := 1; i < len(call.Args); i += 2 {
			if key, ok := stringLiteral(call.Args[i]); ok {
				events[name].keys[key] = true
			}
		}
		return true
	})
}

// isLogWrite reports whether a call is one of Log.Write, or of a method complain,
// which passes its arguments on to Log.Write.
func isLogWrite(call *ast.CallExpr) bool {
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

// stringLiteral returns the value of an expression that is a string literal.
func stringLiteral(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	return value, err == nil
}

// render returns the content of docs/EVENTS.md.
func render(events map[string]*eventUse) string {
	var page strings.Builder
	page.WriteString("# Events\n\nEvery event that a process writes, with its keys in addition to `time` and `daemon`, and the packages that write it. " +
		"This page is generated from the sources by `go test ./pkg/event -update`; CI checks that it is up to date.\n\n| event | keys | written by |\n|---|---|---|\n")
	for _, name := range slices.Sorted(maps.Keys(events)) {
		e := events[name]
		fmt.Fprintf(&page, "| `%s` | %s | %s |\n", name, strings.Join(slices.Sorted(maps.Keys(e.keys)), ", "), strings.Join(slices.Sorted(maps.Keys(e.packages)), ", "))
	}
	return page.String()
}

func TestEventsAreDocumented(t *testing.T) {
	events := map[string]*eventUse{}
	for _, program := range modules {
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
		require.NoError(t, os.WriteFile(eventsPage, []byte(page), 0o644))
	}
	documented, err := os.ReadFile(eventsPage)
	require.NoError(t, err)
	require.Equal(t, page, string(documented), "regenerate the page with -update")
}
