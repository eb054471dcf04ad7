package chaos_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/stubs/chaos"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
)

// repairTime is the time that control gets to replace a lost replica by an empty
// one.
const repairTime = 15 * time.Second

// TestSuccessiveControlVMLosses loses a control VM with its disk, replaces it by an
// empty one and then loses another control VM, under load. The VM lost first is a
// follower or the leader.
func TestSuccessiveControlVMLosses(t *testing.T) {
	for _, first := range []string{"follower", "leader"} {
		t.Run(first, func(t *testing.T) {
			withHarness(t, smallDeployment(), nil, func(t *testing.T, h *chaos.Harness) {
				startLoad(h, longPause)
				for number := uint64(2); number <= 4; number++ {
					require.NoError(t, h.Fleet.Apply(t.Context(), chaos.Config(number)))
				}
				leader, err := h.Leader(t.Context())
				require.NoError(t, err)
				lost, second := leader, anyFollower(h, leader)
				if first == "follower" {
					lost, second = second, lost
				}
				h.LoseVM(lost)
				require.NoError(t, h.WipeDisk(lost))
				h.Fleet.StartControl(replicaIndex(lost))
				time.Sleep(repairTime)
				h.LoseVM(second)
				requireCommitted(t, h, 4)
				require.NoError(t, h.Fleet.Apply(t.Context(), chaos.Config(5)))
				h.StopCallers()
				requireCommitted(t, h, 5)
				requireComplete(t, h, 60)
			})
		})
	}
}

// replicaIndex returns the index at the end of a host name.
func replicaIndex(name string) int { return int(name[len(name)-1] - '0') }

// anyFollower returns the host name of a control replica that is not the leader.
func anyFollower(h *chaos.Harness, leader string) string {
	return fleet.ControlName((replicaIndex(leader) + 1) % h.Fleet.Spec.Control)
}

// requireCommitted checks that control's committed configuration is that with the
// given number.
func requireCommitted(t *testing.T, h *chaos.Harness, number uint64) {
	t.Helper()
	var fetched plane.FetchReply
	require.NoError(t, h.Fleet.Call(t.Context(), plane.MethodFetch, &plane.FetchRequest{}, &fetched))
	require.Equal(t, plane.KindNone, fetched.Refused)
	require.Equal(t, chaos.Config(number), fetched.Config)
}
