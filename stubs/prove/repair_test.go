package prove_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
	"github.com/tanagerspindle/tanagerspindle/stubs/prove"
)

// repairTime is how long control needs to put an empty replica in the place
// of a lost one.
const repairTime = 15 * time.Second

// TestControlVMsLostOneAfterTheOther loses a control VM with its disk, puts an
// empty one in its place and then loses another, under load, twice.
func TestControlVMsLostOneAfterTheOther(t *testing.T) {
	for _, first := range []string{"follower", "leader"} {
		t.Run(first, func(t *testing.T) {
			in(t, shape(), nil, func(t *testing.T, site *prove.Site) {
				load(site, longPause)
				for number := uint64(2); number <= 4; number++ {
					require.NoError(t, site.Fleet.Apply(t.Context(), prove.Config(number)))
				}
				leader, err := site.Leader(t.Context())
				require.NoError(t, err)
				lost, second := leader, following(site, leader)
				if first == "follower" {
					lost, second = second, lost
				}
				site.Lose(lost)
				require.NoError(t, site.Wipe(lost))
				site.Fleet.StartControl(number(lost))
				time.Sleep(repairTime)
				site.Lose(second)
				requireInForce(t, site, 4)
				require.NoError(t, site.Fleet.Apply(t.Context(), prove.Config(5)))
				site.Quiet()
				requireInForce(t, site, 5)
				requireWhole(t, site, 60)
			})
		})
	}
}

func number(name string) int { return int(name[len(name)-1] - '0') }

// following returns a control replica that is not the leader.
func following(site *prove.Site, leader string) string {
	return fleet.ControlName((number(leader) + 1) % site.Fleet.Spec.Control)
}

// requireInForce asks control for the committed configuration.
func requireInForce(t *testing.T, site *prove.Site, number uint64) {
	t.Helper()
	var fetched plane.FetchReply
	require.NoError(t, site.Fleet.Call(t.Context(), plane.MethodFetch, &plane.FetchRequest{}, &fetched))
	require.Equal(t, plane.KindNone, fetched.Refused)
	require.Equal(t, prove.Config(number), fetched.Config)
}
