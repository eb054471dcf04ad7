// Package budget tells how the fleet's bound on repeats is divided.
//
// The bound of a service is a share of its requests in a window plus a fixed
// number. All of it is one pool at control, which accrues by the requests that
// entries report and leases repeats as it leases tokens of workspaces. What one
// process remembers, or how many others it knows, bounds nothing.
package budget

import (
	"strings"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

// TokensPerRetry is how many tokens of a pool one repeat takes: a request adds less than
// one repeat to it.
const TokensPerRetry = 1000

// How Slack is divided. What is left, a tenth, covers repeats that reach
// endpoints later than they were taken, and requests that are reported later
// than they came.
const (
	// poolBurstShare is what a pool holds at most, and so what may be repeated at
	// once.
	poolBurstShare = 0.3
	// poolAccrualShare is what a pool accrues in a window without any request.
	poolAccrualShare = 0.3
	// localShare is for what entries take without control, at most one repeat
	// each beyond the share of their requests.
	localShare = 0.3
)

// AllAgents stands in place of a service for all requests that go through agents.
const AllAgents = ""

// Default is the bound where the settings name none: one repeat for ten requests,
// and what retries eighteen requests that fail at once.
var Default = Limit{Ratio: 0.1, Slack: 60, Window: 10 * time.Second}

// accountPrefix begins the accounts of pools; no workspace's name may contain its first
// letter.
const accountPrefix = "+repeats/"

// Limit bounds the repeats to one service over the whole fleet.
type Limit struct {
	// Ratio is how many repeats the fleet may send for each request, and Slack
	// how many beyond that, in any span of Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Pool returns the rate at which a service's pool accrues without requests, and
// what it holds at most.
func (b Limit) Pool() conf.Workspace {
	return conf.Workspace{
		Rate:  max(int64(b.Slack*poolAccrualShare*TokensPerRetry/b.Window.Seconds()), 1),
		Burst: max(int64(b.Slack*poolBurstShare*TokensPerRetry), 1),
	}
}

// Credit returns the tokens that requests add to the pool.
func (b Limit) Credit(requests int64) int64 {
	return int64(float64(requests) * b.Ratio * TokensPerRetry)
}

// AllowsLocal reports whether each of a number of entries may take repeats without
// control. It may not while the number is not known, which is 0.
func (b Limit) AllowsLocal(entries int) bool {
	return entries > 0 && float64(entries) <= b.Slack*localShare
}

// Account names the pool of a service where tokens are leased.
func Account(service string) string { return accountPrefix + service }

// Service returns the service whose pool an account is.
func Service(account string) (service string, ok bool) {
	return strings.CutPrefix(account, accountPrefix)
}
