package conf

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// DefaultWindow is how long the outcome of a request that runs at most once
// is kept for resends when its route does not say.
const DefaultWindow = 24 * time.Hour

// Defaults are the values of fields that no file sets.
type Defaults struct {
	// Workspace is what each record in workspaces starts from.
	Workspace Workspace
	// Route is what each record in routes starts from.
	Route Route
	// Weights is what the weights start from.
	Weights Weights
}

// Default returns the values of fields that no file sets.
func Default() Defaults {
	return Defaults{
		Workspace: Workspace{
			Goal: Goal{
				First: span.Duration(time.Second),
				Gap:   span.Duration(100 * time.Millisecond),
				Share: 0.95,
			},
		},
		Route: Route{
			Kind:   KindModel,
			Window: span.Duration(DefaultWindow),
			Cost:   1,
		},
		Weights: Weights{Stalls: 1, Batch: 1, Worst: 1, Refused: 1},
	}
}

// GoalOf returns the service level of a workspace's requests on a route:
// each field from the route where it is set, else from the workspace, else
// the default.
func (c *Config) GoalOf(workspace, route string) Goal {
	goal := c.Routes[route].Goal
	goal = goal.or(c.Workspaces[workspace].Goal)
	return goal.or(Default().Workspace.Goal)
}

func (g Goal) or(other Goal) Goal {
	if g.First == 0 {
		g.First = other.First
	}
	if g.Gap == 0 {
		g.Gap = other.Gap
	}
	if g.Share == 0 {
		g.Share = other.Share
	}
	return g
}

// WindowOr returns how long outcomes of the route are kept for resends.
func (r *Route) WindowOr() time.Duration {
	if r.Window == 0 {
		return DefaultWindow
	}
	return r.Window.Std()
}
