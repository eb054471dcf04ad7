package slots_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/agent/slots"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
)

const (
	measuredAdapters = 3000
	measuredRequests = 8000
	measuredSlots    = 64
	// skew is the exponent of the Zipf distribution.
	skew = 1.1
)

// measure sends Zipf-distributed requests, whose ranks shift after the first half. It returns
// the loads and the requests without a resident adapter, each per 1,000 requests.
func measure(t *testing.T, value func(slots.KeyStats) float64) (loads, misses float64) {
	bubble.Test(t, func(*testing.T) {
		random := rand.New(rand.NewPCG(9, 10))
		cumulated := zipf()
		f := start(measuredSlots)
		f.slots.Value = value
		for n := range measuredRequests {
			shift := 0
			if n >= measuredRequests/2 {
				shift = 20
			}
			name := key(fmt.Sprint((draw(random, cumulated) + shift) % measuredAdapters))
			f.slots.Touch(name)
			if !f.slots.HasSlot(name) {
				misses++
				if f.slots.StartLoad(slots.WaitingKey{Key: name, Urgency: 1}, nil, func(error) {}) {
					loads++
				}
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
	return loads * 1000 / measuredRequests, misses * 1000 / measuredRequests
}

func zipf() []float64 {
	cumulated := make([]float64, measuredAdapters)
	total := 0.0
	for rank := range cumulated {
		total += 1 / math.Pow(float64(rank+1), skew)
		cumulated[rank] = total
	}
	return cumulated
}

func draw(random *rand.Rand, cumulated []float64) int {
	at := random.Float64() * cumulated[len(cumulated)-1]
	for rank, upTo := range cumulated {
		if at < upTo {
			return rank
		}
	}
	return len(cumulated) - 1
}

func TestMeasureDemandAgainstRecency(t *testing.T) {
	demand, demandMisses := measure(t, nil)
	recency, recencyMisses := measure(t, slots.ByRecency)
	t.Logf("per 1,000 requests, %d adapters, %d slots: by demand %.1f loads, %.1f misses; least recently used %.1f loads, %.1f misses",
		measuredAdapters, measuredSlots, demand, demandMisses, recency, recencyMisses)
	require.Less(t, demand, recency)
	require.Less(t, demandMisses, recencyMisses)
}
