// Package budget divides the fleet's retry budget between control and the entries.
//
// The retry budget of a service allows, in any time window, a share of its requests
// plus a fixed number. It is a single pool at control. The pool accrues by the
// requests that entries report, and control leases retries from it the way it
// leases the tokens of workspaces. The budget does not depend on what a process
// remembers or on how many others it knows.
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

// TokensPerRetry is the number of pool tokens that one retry takes. A retry is
// divided into tokens because one request adds less than one retry to the pool.
const TokensPerRetry = 1000

// Shares of Limit.Slack. The remaining tenth covers retries that reach endpoints
// later than they were taken, and requests that are reported later than they
// arrived.
const (
	// poolBurstShare is the pool's capacity, and so the number of retries that may
	// be taken at once.
	poolBurstShare = 0.3
	// poolAccrualShare is what the pool accrues in a window without any requests.
	poolAccrualShare = 0.3
	// localShare is for retries that entries take without control: at most one per
	// entry beyond the share of its requests.
	localShare = 0.3
)

// AllAgents is the service name of the common pool for all requests that go through agents.
const AllAgents = ""

// Default is the limit where the settings give none: one retry per ten requests,
// plus enough slack to retry eighteen requests that fail at once.
var Default = Limit{Ratio: 0.1, Slack: 60, Window: 10 * time.Second}

// accountPrefix begins the account names of retry pools. Workspace names may not
// contain its first character, so accounts and workspaces do not collide.
const accountPrefix = "+repeats/"

// Limit bounds the retries to one service over the whole fleet.
type Limit struct {
	// Ratio is the number of retries allowed per request. Slack is the number of
	// retries allowed in addition, in any period of length Window.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Pool returns the accrual rate without requests and the capacity of a service's
// pool, both in tokens.
func (l Limit) Pool() conf.Workspace {
	return conf.Workspace{
		Rate:  max(int64(l.Slack*poolAccrualShare*TokensPerRetry/l.Window.Seconds()), 1),
		Burst: max(int64(l.Slack*poolBurstShare*TokensPerRetry), 1),
	}
}

// Credit returns the tokens that a number of requests adds to the pool.
func (l Limit) Credit(requests int64) int64 {
	return int64(float64(requests) * l.Ratio * TokensPerRetry)
}

// AllowsLocal reports whether each of the given number of entries may take retries
// without control. It reports false while the number of entries is unknown, which
// is 0.
func (l Limit) AllowsLocal(entries int) bool {
	return entries > 0 && float64(entries) <= l.Slack*localShare
}

// Account returns the name of the account from which the retries of a service are leased.
func Account(service string) string { return accountPrefix + service }

// Service returns the service that a retry account belongs to; ok is false if the
// account is a workspace.
func Service(account string) (service string, ok bool) {
	return strings.CutPrefix(account, accountPrefix)
}
