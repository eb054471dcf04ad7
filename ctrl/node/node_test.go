package node_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestGroupsOfEverySizeCommit(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			inBubble(t, 1, size, func(g *group) {
				g.put("a", "1")
				for _, name := range sorted(g.replicas) {
					require.Equal(t, "1", g.read(name, "a"), name)
				}
			})
		})
	}
}

func TestBarrierSeesAllAcknowledgedWrites(t *testing.T) {
	inBubble(t, 17, 3, func(g *group) {
		for i := range 20 {
			g.put("a", fmt.Sprint(i))
			for _, name := range sorted(g.replicas) {
				require.Equal(t, fmt.Sprint(i), g.read(name, "a"), name)
			}
		}
	})
}
