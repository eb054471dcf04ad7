package feeds

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

// A whole roster removes the agents of a replica that is no longer a member,
// and not those of a member that has not been heard.
func TestWholeRosterSpeaksForFormerMembers(t *testing.T) {
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
	delta.Vector = f.coverFormer(delta.Vector, entry.Vector())
	entry.Merge(delta)
	require.Len(t, entry.All(), 1)
	require.Equal(t, "unheard", entry.All()[0].Agent)
}
