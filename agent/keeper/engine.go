package keeper

import (
	"slices"

	"github.com/tanagerspindle/tanagerspindle/agent/lora"
	"github.com/tanagerspindle/tanagerspindle/agent/pace"
)

// Report is the state of an engine as it reports it.
type Report struct {
	// StartedMillis is when the engine's process started, in Unix milliseconds; 0 if unknown.
	StartedMillis int64
	// Models are the base models that the engine holds.
	Models []string
	// Cached are the base models of which the engine's VM keeps a copy in memory or on its
	// disk, so that loading one does not use the weight store.
	Cached []string
	// Adapters are the adapters that the engine holds or loads.
	Adapters []lora.Status
	// Busy is set while the engine loads or unloads a base model.
	Busy bool
	// Seq is the number of orders that the engine has accepted since its start.
	Seq uint64
	// Running and Queued are the numbers of requests that the engine runs and queues.
	Running, Queued int
	// Runs is the progress of the running requests; nil if the engine does not report it.
	Runs []pace.Run
	// Draining is set when the engine accepts no more requests.
	Draining bool
}

// hasModel reports whether the engine holds a base model.
func (r *Report) hasModel(model string) bool { return slices.Contains(r.Models, model) }

// Order tells the engine to load or unload a base model or an adapter.
type Order struct {
	// Endpoint is the name of the engine that the order is for; empty if unknown.
	Endpoint string
	// Load is false for an unload. Adapter is empty for a base model.
	Load           bool
	Model, Adapter string
	// Version is the adapter version to load; 0 loads the newest.
	Version int64
	// ExpectedSeq is the value of Report.Seq at which the engine accepts the order. The engine
	// refuses the order at any other value, however late the order arrives.
	ExpectedSeq uint64
}

// Outcome is an engine's answer to an order.
type Outcome string

// The outcomes.
const (
	// OutcomeAccepted means that the engine executes the order.
	OutcomeAccepted Outcome = "taken"
	// OutcomeNoChange means that the engine is in the ordered state already.
	OutcomeNoChange Outcome = "holds"
	// OutcomeRefused means that the engine does not execute the order.
	OutcomeRefused Outcome = "refused"
)
