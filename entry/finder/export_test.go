package finder

// Choose returns the agents for a stream.
var Choose = choose
