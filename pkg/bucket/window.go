package bucket

import (
	"math"
	"math/bits"
	"time"
)

// MinWindowCapacity is the least capacity, in tokens, of a bucket whose burst is granted
// again in each window, unless the burst itself is less. Requests of up to this size then
// need no larger capacity.
const MinWindowCapacity = 8192

// WindowLimits returns the rate and the capacity of a bucket that grants at most rate x
// window + burst tokens in any window of the given length, and grants the part of the burst
// beyond one second's rate again in each window. largest is the largest number of tokens
// that has been requested at once; the capacity is at least that, up to the burst.
//
// The capacity plus the accrual during a window never exceeds rate x window + burst: the
// accrual rate is rounded down. With a burst of at most one second's rate, or without a
// window, rate and burst are returned unchanged.
func WindowLimits(rate, burst, largest int64, window time.Duration) (accrual, capacity int64) {
	rate, burst = max(rate, 1), max(burst, 1)
	if window <= 0 {
		return rate, burst
	}
	capacity = min(burst, max(rate, largest, MinWindowCapacity))
	high, low := bits.Mul64(uint64(burst-capacity), uint64(time.Second))
	if high >= uint64(window) {
		return rate, burst
	}
	extra, _ := bits.Div64(high, low, uint64(window))
	if extra > uint64(math.MaxInt64-rate) {
		return rate, burst
	}
	return rate + int64(extra), capacity
}
