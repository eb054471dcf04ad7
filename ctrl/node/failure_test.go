package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLeaderCrashLosesNothingAcknowledged(t *testing.T) {
	inBubble(t, 2, 3, func(g *group) {
		for i := range 40 {
			g.put(fmt.Sprint("k", i), fmt.Sprint(i))
			if i%10 == 9 {
				name := g.leader().name
				g.crash(name)
				time.Sleep(time.Second)
				g.start(name)
			}
		}
		for _, name := range sorted(g.replicas) {
			for i := range 40 {
				require.Equal(t, fmt.Sprint(i), g.read(name, fmt.Sprint("k", i)), name)
			}
		}
	})
}
