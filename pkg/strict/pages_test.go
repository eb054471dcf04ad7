package strict_test

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/setup"
)

const (
	docs  = "../../docs"
	begin = "<!-- fields: generated from the code by go test ./pkg/strict -update -->\n"
	end   = "<!-- end of fields -->\n"
)

// documentedStructs are the structs on a page, in order, with their default values,
// and the file that declares them.
type documentedStructs struct {
	source string
	values []any
}

// TestPagesMatchTheCode checks that the tables of fields in docs match the structs:
// names, types, defaults and doc comments.
func TestPagesMatchTheCode(t *testing.T) {
	defaults := conf.Default()
	for page, want := range map[string]documentedStructs{
		"CONFIG": {"../conf/config.go", []any{
			conf.Config{Weights: defaults.Weights},
			defaults.Workspace,
			conf.Key{},
			conf.Adapter{},
			defaults.Route,
			defaults.Workspace.Objective, defaults.Weights,
		}},
		"SETTINGS": {"../setup/setup.go", []any{setup.Default(), setup.Peer{}}},
	} {
		t.Run(page, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join(docs, page+".md"))
			require.NoError(t, err)
			head, rest, ok := strings.Cut(string(text), begin)
			require.True(t, ok, "the page has no mark %q", begin)
			_, tail, ok := strings.Cut(rest, end)
			require.True(t, ok, "the page has no mark %q", end)
			comments := readComments(t, want.source)
			var fields strings.Builder
			for _, value := range want.values {
				writeTable(t, &fields, reflect.ValueOf(value), comments)
			}
			updated := head + begin + fields.String() + end + tail
			goldie.New(t, goldie.WithFixtureDir(docs), goldie.WithNameSuffix(".md")).Assert(t, page, []byte(updated))
		})
	}
}

// readComments returns the doc comments of a file's structs and fields, by names such
// as "Struct" and "Struct.Field".
func readComments(t *testing.T, file string) map[string]string {
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
	require.NoError(t, err)
	comments := map[string]string{}
	ast.Inspect(parsed, func(n ast.Node) bool {
		declared, ok := n.(*ast.GenDecl)
		if !ok || declared.Tok != token.TYPE {
			return true
		}
		spec := declared.Specs[0].(*ast.TypeSpec)
		comments[spec.Name.Name] = singleLine(declared.Doc)
		if fields, ok := spec.Type.(*ast.StructType); ok {
			for _, field := range fields.Fields.List {
				comments[spec.Name.Name+"."+field.Names[0].Name] = singleLine(field.Doc)
			}
		}
		return true
	})
	return comments
}

// singleLine returns the text of a comment on one line.
func singleLine(comment *ast.CommentGroup) string {
	return strings.Join(strings.Fields(comment.Text()), " ")
}

// writeTable writes the table of one struct.
func writeTable(t *testing.T, out *strings.Builder, value reflect.Value, comments map[string]string) {
	name := value.Type().Name()
	fmt.Fprintf(out, "\n## %s\n\n%s\n\n| field | type | default | meaning |\n|---|---|---|---|\n", name, comments[name])
	for field, content := range value.Fields() {
		comment := comments[name+"."+field.Name]
		require.NotEmpty(t, comment, "%s.%s has no comment", name, field.Name)
		fmt.Fprintf(out, "| `%s` | %s | %s | %s |\n", field.Tag.Get("json"), typeOf(field.Type), defaultOf(t, content), comment)
	}
	out.WriteString("\n")
}

// typeOf returns the name of a field's type for the operators' pages.
func typeOf(kind reflect.Type) string {
	switch {
	case kind.Name() == "Duration":
		return "duration"
	case kind.Kind() == reflect.Map:
		return "object of " + kind.Elem().Name() + " by name"
	case kind.Kind() == reflect.Slice:
		return "list of " + typeOf(kind.Elem())
	case kind.Kind() == reflect.Struct:
		return kind.Name()
	case kind.Kind() == reflect.Float64:
		return "number"
	case kind.Kind() == reflect.String:
		return "string"
	case kind.Kind() == reflect.Bool:
		return "true or false"
	}
	return "whole number"
}

// defaultOf returns the default of a field. It is empty for structs, because the
// defaults of their fields are in the table of the struct.
func defaultOf(t *testing.T, content reflect.Value) string {
	if content.IsZero() || content.Kind() == reflect.Struct {
		return ""
	}
	text, err := json.Marshal(content.Interface())
	require.NoError(t, err)
	return "`" + string(text) + "`"
}
