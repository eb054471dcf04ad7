package limit

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// refusalLogInterval is the shortest time between two log lines about the refusals of
	// one workspace.
	refusalLogInterval = time.Second
	// codeRateLimited is the code of a refusal for a lack of tokens.
	codeRateLimited = "rate_limited"
)

// counts are the numbers of a share since they were last added to the daemon's counters.
type counts struct {
	// granted, returned, run and lost are tokens: leased from control, returned to it
	// unused, used by requests, and lost with leases that expired or were dropped.
	granted, returned, run, lost int64
	// refusedOnArrival and refusedWhenSending count requests since the last log line.
	refusedOnArrival, refusedWhenSending int64
	refusalsLoggedAt                     time.Time
}

// report adds the counts of a workspace to the daemon's counters, and logs its refusals. The
// caller holds the mutex.
func (l *Limiter) report(s *share, now time.Time) {
	c := &s.counts
	if _, pool := budget.Service(s.account); !pool {
		for _, counter := range []struct {
			name  string
			value int64
		}{{"granted", c.granted}, {"returned", c.returned}, {"run", c.run}, {"lost", c.lost}} {
			if counter.value != 0 {
				l.Host.Meter.Add("tokens_"+counter.name+"_"+s.account, counter.value)
			}
		}
	}
	c.granted, c.returned, c.run, c.lost = 0, 0, 0, 0
	if c.refusedOnArrival+c.refusedWhenSending > 0 && now.Sub(c.refusalsLoggedAt) >= refusalLogInterval {
		l.Host.Log.Write("rate-limited", "workspace", s.account, "arriving", c.refusedOnArrival, "sending", c.refusedWhenSending,
			"waiting", len(s.waiters), "arrived_tokens", s.arrivedTokens, "refill", s.untilRefill(now), "silent", l.isCutOff(now))
		c.refusedOnArrival, c.refusedWhenSending, c.refusalsLoggedAt = 0, 0, now
	}
}

// countReturned counts the tokens that a request to control returned, which control answered
// after a time. Those of a lease that has ended by then are lost. The caller holds the mutex.
func (l *Limiter) countReturned(request *plane.GrantRequest, after time.Duration) {
	for i := range request.TokenRequests {
		returned := &request.TokenRequests[i]
		if returned.UnusedTokens == 0 {
			continue
		}
		s := l.share(returned.Workspace)
		if after < returnBeforeExpiry {
			s.counts.returned += returned.UnusedTokens
		} else {
			s.counts.lost += returned.UnusedTokens
		}
	}
}

// countRefused counts a request that gets no tokens on arrival, if tokens are what it lacks.
func (l *Limiter) countRefused(workspace string, err error) {
	if chain.RefusalOf(err).Code != codeRateLimited {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.share(workspace)
	l.countRefusal(s, &s.counts.refusedOnArrival)
}

// countRefusal counts a request of a workspace that is refused for a lack of tokens, also in
// kind. The caller holds the mutex.
func (l *Limiter) countRefusal(s *share, kind *int64) {
	*kind++
	l.Host.Meter.Add(codeRateLimited+"_"+s.account, 1)
}

// leased returns the unused tokens of all leases.
func (s *share) leased() int64 {
	sum := int64(0)
	for _, lease := range s.leases {
		sum += lease.remaining
	}
	return sum
}
