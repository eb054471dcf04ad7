package feeds

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

// A complete roster must remove the agents of a replica that is no longer a member, but
// not those of a member from which nothing has been received.
func TestCompleteRosterRemovesAgentsOfFormerMembers(t *testing.T) {
	entry, known := &roster.Roster{}, &roster.Roster{}
	entry.Merge(&roster.Delta{
		Records: []roster.Record{{Agent: "former", Incarnation: 1, Origin: 9, Counter: 7}, {Agent: "unheard", Incarnation: 1, Origin: 2, Counter: 4}},
		Vector:  []roster.VectorEntry{{Origin: 9, Counter: 7}, {Origin: 2, Counter: 4}},
	})
	f := &Feeds{MemberIDs: func() []uint64 { return []uint64{1, 2} }}
	known.StartCounter(1)
	known.MarkComplete()
	delta := known.DeltaSince(entry.Vector())
	require.True(t, delta.Complete)
	delta.Vector = f.coverFormerMembers(delta.Vector, entry.Vector())
	entry.Merge(delta)
	require.Len(t, entry.All(), 1)
	require.Equal(t, "unheard", entry.All()[0].Agent)
}
