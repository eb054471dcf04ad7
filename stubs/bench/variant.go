package bench

import (
	agent "github.com/tanagerspindle/tanagerspindle/agent/daemon"
	control "github.com/tanagerspindle/tanagerspindle/ctrl/daemon"
	entry "github.com/tanagerspindle/tanagerspindle/entry/daemon"
)

// Variant is the product, or the product with baseline policies put in.
type Variant struct {
	Name    string
	Entry   func(*entry.Daemon)
	Agent   func(*agent.Daemon)
	Control func(*control.Daemon)
}
