package strict_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

type sample struct {
	Name  string         `json:"name"`
	Count map[string]int `json:"count"`
}

func TestMergeLimitsDepthAndSize(t *testing.T) {
	deep := strings.Repeat("[", 33)
	for name, test := range map[string]struct {
		text, want string
	}{
		"deep":              {`{"x": ` + deep, "file:1:38: nested deeper than 32 levels"},
		"deepest allowed":   {strings.Repeat("[", 32) + strings.Repeat("]", 32), "file:1:1: want an object"},
		"in a string":       {`{"name": "\"` + deep + `"}`, ""},
		"in a line comment": {"{} // " + deep, ""},
		"in a comment":      {"{ /* " + deep + " */ }", ""},
		"after a comment":   {"{ /**/ \"x\":\n" + deep + "}", "file:2:32: nested deeper than 32 levels"},
		"open comment":      {"{} /*/" + deep, "file:1:"},
		"large":             {strings.Repeat(" ", 4<<20+1), "file: larger than 4194304 bytes"},
		"large and deep":    {strings.Repeat("[", 4<<20), "file:1:33: nested deeper than 32 levels"},
	} {
		t.Run(name, func(t *testing.T) {
			document := strict.New()
			document.Merge("file", []byte(test.text))
			if test.want == "" {
				require.Empty(t, document.Diagnostics)
				return
			}
			require.Len(t, document.Diagnostics, 1)
			require.Contains(t, document.Diagnostics[0].String(), test.want)
		})
	}
}

func TestAddDiagnosticsSkipsReportedFields(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		want []string
	}{
		"all are new":     {`{"count": {"a": 1}}`, []string{"file:1:12: count.a: bad", "file:1:1: name: bad"}},
		"known already":   {`{"count": {"a": "1"}}`, []string{"file:1:12: count.a: want a whole number", "file:1:1: name: bad"}},
		"known around it": {`{"count": 1}`, []string{"file:1:2: count: want an object", "file:1:1: name: bad"}},
		"file left out":   {`{"count":`, []string{"file:1:10: parsing value: unexpected EOF"}},
	} {
		t.Run(name, func(t *testing.T) {
			document := strict.New()
			document.Merge("file", []byte(test.text))
			document.Decode(&sample{}, nil)
			var added strict.Diagnostics
			added.Add([]string{"count", "a"}, "bad")
			added.Add([]string{"name"}, "bad")
			document.AddDiagnostics(added)
			var got []string
			for _, diagnostic := range document.Diagnostics {
				got = append(got, diagnostic.String())
			}
			require.Equal(t, test.want, got)
		})
	}
}
