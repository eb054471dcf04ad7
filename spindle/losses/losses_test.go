package losses_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/spindle/losses"
)

// A loss of all engines: refusals with the time to come back, an endpoint's own error,
// a workspace over its rate; a period without requests has no row.
func TestOutcomesByTime(t *testing.T) {
	file, err := os.Open("testdata/logs.txt")
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	table := &losses.Table{Width: 2 * time.Second}
	require.NoError(t, table.Read(file))
	out := &bytes.Buffer{}
	require.NoError(t, table.Write(out))
	goldie.New(t).Assert(t, "table", out.Bytes())
}

func TestLogsWithoutRequests(t *testing.T) {
	table := &losses.Table{Width: time.Second}
	require.NoError(t, table.Read(strings.NewReader("time=2026-05-17T13:22:49Z daemon=x event=started\n")))
	require.ErrorIs(t, table.Write(&bytes.Buffer{}), &losses.Error{Kind: losses.KindEmpty})
}
