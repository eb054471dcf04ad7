//go:build !race

package bubble

// raceEnabled says that the race detector is built in.
const raceEnabled = false
