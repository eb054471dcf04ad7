package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIdleGroupSendsLittle(t *testing.T) {
	inBubble(t, 18, 3, func(g *group) {
		g.put("a", "1")
		time.Sleep(time.Second)
		before := g.sent.Load()
		const length = 60
		time.Sleep(length * time.Second)
		rate := (g.sent.Load() - before) / length
		// Three replicas form three pairs; both directions are counted.
		t.Logf("%d bytes per second in total, %d per pair", rate, rate/3)
		require.Less(t, rate/3, int64(4<<10))
	})
}
