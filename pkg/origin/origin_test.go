package origin_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/origin"
)

func TestOriginsAreKeptWhileTheyAreUsed(t *testing.T) {
	s := &origin.Store{}
	now := time.Now()
	record := origin.Record{Attempt: "a", Service: "s", SoftwareVersion: "v1", Known: true}
	require.False(t, s.Find("a", now).Known)
	s.Put(record, now)
	now = now.Add(origin.Retention - time.Second)
	require.Equal(t, record, s.Find("a", now))
	now = now.Add(origin.Retention - time.Second)
	require.Equal(t, record, s.Find("a", now), "used meanwhile")
	require.False(t, s.Find("a", now.Add(origin.Retention)).Known)
	require.Zero(t, s.Len())
}

// A caller that uses an ID again for another stream must not send the first one to the
// second one's version.
func TestOriginOfTwoStreamsIsUnknown(t *testing.T) {
	s := &origin.Store{}
	now := time.Now()
	record := origin.Record{Attempt: "a", Service: "s", SoftwareVersion: "v1", Known: true}
	s.Put(record, now)
	s.Put(record, now)
	require.True(t, s.Find("a", now).Known, "sent twice")
	record.SoftwareVersion = "v2"
	s.Put(record, now)
	require.False(t, s.Find("a", now).Known)
	s.Put(record, now)
	require.False(t, s.Find("a", now).Known)
}

func TestOriginsAreBounded(t *testing.T) {
	s := &origin.Store{}
	now := time.Now()
	for i := range 50_000 {
		s.Put(origin.Record{Attempt: fmt.Sprint(i), Service: "s", Known: true}, now)
	}
	require.Equal(t, 16<<10, s.Len())
	for range 3 {
		require.True(t, s.Find("49999", now).Known)
	}
	require.Equal(t, 16<<10, s.Len(), "a search drops none")
	require.False(t, s.Find("0", now).Known, "the oldest are dropped")
}

func TestRecordsAreChecked(t *testing.T) {
	require.Error(t, (&origin.Record{}).Check())
	require.Error(t, (&origin.Record{Attempt: strings.Repeat("x", 300)}).Check())
	require.Error(t, (&origin.Record{Attempt: "a", Known: true}).Check())
	require.NoError(t, (&origin.Record{Attempt: "a"}).Check())
}
