//go:build race

package bubble

// raceEnabled reports whether the race detector is enabled.
const raceEnabled = true
