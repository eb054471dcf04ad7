package direct

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Callers whose streams could not go on after the loss of all entries were told to begin new
// ones at the same moment, so that they came back as the same burst.
func TestCallersThatBeginAnewAreSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	spread := &anewSpread{}
	require.Equal(t, minAnewDelay, spread.delay(1, now), "a single caller is not delayed")
	now = now.Add(time.Minute)
	slots := map[time.Duration]int{}
	const callers = 300
	for range callers {
		delay := spread.delay(random.Float64(), now)
		require.GreaterOrEqual(t, delay, minAnewDelay)
		require.LessOrEqual(t, delay, minAnewDelay+maxAnewWindow)
		slots[delay/(100*time.Millisecond)]++
	}
	for slot, count := range slots {
		require.Less(t, count, callers/5, "in the tenth of a second %d", slot)
	}
	require.Greater(t, len(slots), 8)
	now = now.Add(callers * time.Second / anewRate)
	require.Equal(t, minAnewDelay, spread.delay(1, now), "later callers are not delayed")
}

// Few callers are spread over no longer than they need.
func TestFewCallersBeginAnewSoon(t *testing.T) {
	now := time.Unix(1000, 0)
	spread := &anewSpread{}
	for range 12 {
		require.LessOrEqual(t, spread.delay(1, now), 500*time.Millisecond)
	}
}
