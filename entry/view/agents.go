package view

import "time"

const (
	// maxAgentPause is the longest pause of an agent. An agent restarts in less
	// than a second, and its engine gets no requests that need admission
	// meanwhile.
	maxAgentPause = time.Second
	// maxAgentSilence is how long after its first failure an agent is expected to reply again.
	// A sound one may be silent for 1.3 s, and is asked twice in that time.
	maxAgentSilence = 2 * time.Second
	// maxProbeTimeouts is how many times its limit of time a query is taken to be under way if
	// its result is not recorded.
	maxProbeTimeouts = 2
)

// AllowAgentQuery reports whether a request may query an engine's agent. After
// a failure the agent is not queried during a pause. Then a single request may
// query the agent; the others may not until it has replied or failed, which takes
// at most timeout unless the request ends before.
func (es *Endpoints) AllowAgentQuery(name string, timeout time.Duration, now time.Time) bool {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	e := es.byName[name]
	if e == nil || e.agent.failures == 0 {
		return true
	}
	if e.agent.active(now) {
		return false
	}
	e.agent.probeEnd = now.Add(maxProbeTimeouts * timeout)
	return true
}

// RecordAgentQuery records whether an engine's agent replied to a query that was sent at a
// given time. Queries that were not sent after the last failure are one failure with it.
func (es *Endpoints) RecordAgentQuery(name string, replied bool, sent, now time.Time) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	e := es.byName[name]
	switch {
	case e == nil:
	case replied && e.agent.failures > 0:
		e.agent = backoff{}
		if es.agentReturned != nil {
			close(es.agentReturned)
			es.agentReturned = nil
		}
	case replied, !sent.After(e.agent.last):
	default:
		e.agent.fail(now, maxAgentPause)
	}
}

// AwaitAgent returns how long it takes until the first of the given engines' agents may be
// queried again, and a channel that is closed if an agent replies before. ok is false if none
// of them is expected to reply soon.
func (es *Endpoints) AwaitAgent(engines []string, now time.Time) (wait time.Duration, returned <-chan struct{}, ok bool) {
	es.mutex.Lock()
	defer es.mutex.Unlock()
	for _, name := range engines {
		e := es.byName[name]
		if e == nil || e.agent.failures > 0 && e.agent.until.Sub(e.agent.since) > maxAgentSilence {
			continue
		}
		if left := max(e.agent.until.Sub(now), e.agent.probeEnd.Sub(now), 0); !ok || left < wait {
			wait, ok = left, true
		}
	}
	if !ok {
		return 0, nil, false
	}
	if es.agentReturned == nil {
		es.agentReturned = make(chan struct{})
	}
	return wait, es.agentReturned, true
}
