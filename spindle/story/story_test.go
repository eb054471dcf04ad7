package story_test

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/spindle/story"
)

func tell(t *testing.T, id string) (*story.Trace, string) {
	file, err := os.Open("testdata/logs.txt")
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	s := &story.Trace{ID: id}
	require.NoError(t, s.Read(file))
	require.NoError(t, s.Assemble())
	out := &bytes.Buffer{}
	require.NoError(t, s.Write(out))
	return s, out.String()
}

// Each of ten failed, late or lost requests tells its cause.
func TestStories(t *testing.T) {
	text := ""
	for i := range 10 {
		id := fmt.Sprint("r", i+1)
		_, one := tell(t, id)
		text += "== " + id + "\n" + one
	}
	goldie.New(t).Assert(t, "stories", []byte(text))
}

// The clock of one process may be far from the others'.
func TestClocksThatDiffer(t *testing.T) {
	s, _ := tell(t, "r2")
	var events []string
	for _, line := range s.Lines {
		if !line.Context {
			events = append(events, line.Event)
		}
	}
	require.Equal(t, []string{"admitted", "attempt-failed", "request"}, events)
}

func TestUnknownRequest(t *testing.T) {
	s := &story.Trace{ID: "nobody"}
	require.NoError(t, s.Read(strings.NewReader("")))
	require.ErrorIs(t, s.Assemble(), &story.Error{Kind: story.KindMissing})
}

// The operators' page has the same table of codes.
func TestCodesOnTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	listed := map[string]string{}
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (.*) \\|$").FindAllStringSubmatch(string(page), -1) {
		listed[match[1]] = match[2]
	}
	for code, cause := range story.Causes() {
		require.Equal(t, cause, listed[code], code)
	}
}
