package keeper

import (
	"slices"

	"github.com/tanagerspindle/tanagerspindle/agent/lora"
)

// Report is what an engine says of itself.
type Report struct {
	// StartedUnixMs is when the engine's process started, in Unix milliseconds; 0 when
	// it does not say.
	StartedUnixMs int64
	// Models are the base models that it holds.
	Models []string
	// Cached are the base models of which its VM keeps a copy in memory or on
	// its disk, so that loading one does not use the weight store.
	Cached []string
	// Adapters are those that it holds or awaits.
	Adapters []lora.Status
	// Busy says that it is loading or unloading a base model.
	Busy bool
	// Seq counts the orders that it has taken since its start.
	Seq uint64
	// Running and Queued are the numbers of requests that it runs and that
	// wait in it.
	Running, Queued int
	// Leaving says that it takes no more requests.
	Leaving bool
}

// holds reports whether a base model is there.
func (r *Report) holds(model string) bool { return slices.Contains(r.Models, model) }

// Order is what the agent wants its engine to do.
type Order struct {
	// Endpoint is the engine that is meant; empty when its name is not known.
	Endpoint string
	// Load is false for an unload. Adapter is empty for a base model.
	Load           bool
	Model, Adapter string
	// Version is the one to load; 0 loads the newest.
	Version int64
	// ExpectedSeq is the number of orders that the engine must have taken before;
	// otherwise it refuses this one, however late it arrives.
	ExpectedSeq uint64
}

// Outcome is an engine's answer to an order.
type Outcome string

// The outcomes.
const (
	// OutcomeAccepted says that the order is being carried out.
	OutcomeAccepted Outcome = "taken"
	// OutcomeNoChange says that it holds already.
	OutcomeNoChange Outcome = "holds"
	// OutcomeRefused says that it was not taken.
	OutcomeRefused Outcome = "refused"
)
