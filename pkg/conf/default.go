package conf

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// DefaultReplayWindow is how long the outcome of a request that runs at most once
// is kept for repeated requests, unless the route sets its own window.
const DefaultReplayWindow = 24 * time.Hour

// Defaults holds the values of fields that no file sets.
type Defaults struct {
	// Workspace is the initial value of each record in workspaces.
	Workspace Workspace
	// Route is the initial value of each record in routes.
	Route Route
	// Weights is the initial value of the weights.
	Weights Weights
}

// Default returns the values of fields that no file sets.
func Default() Defaults {
	return Defaults{
		Workspace: Workspace{
			Objective: Objective{
				FirstToken: span.Duration(time.Second),
				TokenGap:   span.Duration(100 * time.Millisecond),
				Share:      0.95,
			},
		},
		Route: Route{
			Kind:         RouteModel,
			ReplayWindow: span.Duration(DefaultReplayWindow),
			Cost:         1,
		},
		Weights: Weights{Stalls: 1, Batch: 1, Worst: 1, Refused: 1},
	}
}
