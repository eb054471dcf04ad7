package feeds

import (
	"context"
	"math"
	"strings"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

const (
	// lostCrashCount is the crash number reported for an agent that was lost together
	// with its endpoint. An agent numbers its own crashes from 1, so the loss is not
	// taken for one of them, and a repeated report of the loss counts once.
	lostCrashCount = math.MaxUint64
	// maxLostAgents is the largest number of agents lost together whose requests become
	// crash suspects. A request crashes one endpoint after another, whereas a
	// network partition disconnects many agents at the same time.
	maxLostAgents = 2
	// lostWindow is the time within which agents count as lost together: slightly
	// longer than the interval between an agent's heartbeats.
	lostWindow = 1100 * time.Millisecond
	// maxCrashDigests limits the suspects of each kind that a report of one crash may
	// name.
	maxCrashDigests = 1024
	// crashTimeout limits how long committing the suspects of a lost agent is retried.
	crashTimeout = 10 * time.Second
)

// checkCrashes returns the crashes that the client is allowed to report: an agent its
// own, an entry those of endpoints under its own name. Reports with more than
// maxCrashDigests digests or parts are rejected.
func (f *Feeds) checkCrashes(c *client, crashes []plane.Crash) []plane.Crash {
	var valid []plane.Crash
	for _, crash := range crashes {
		own := c.hello.Role == plane.RoleAgent && crash.Source == c.hello.Name ||
			c.hello.Role == plane.RoleEntry && strings.HasPrefix(crash.Source, plane.CrashSource(c.hello.Name, ""))
		if !own || max(len(crash.Digests), len(crash.Parts)) > maxCrashDigests {
			f.Host.Log.Write("crash-refused", "daemon", c.hello.Name)
			continue
		}
		valid = append(valid, crash)
	}
	return valid
}

// watchLost removes an agent whose connection failed unless it reconnects to this or
// another replica within reconnectTimeout.
func (f *Feeds) watchLost(c *client) {
	disconnected := time.Now()
	time.AfterFunc(reconnectTimeout, func() {
		f.mutex.Lock()
		healthy := !f.closed && time.Since(f.lastQuorum) < quorumTimeout
		f.mutex.Unlock()
		if !healthy {
			return
		}
		last, lost := f.Roster.MarkLost(f.ReplicaID(), c.hello.Name, c.hello.Incarnation, disconnected)
		if lost {
			f.handleLost([]roster.Record{last})
		}
	})
}

// handleLost sends the removal of lost agents to entries and peers. It collects losses
// for lostWindow before their requests are reported, to distinguish a crashed endpoint
// from a network partition.
func (f *Feeds) handleLost(lost []roster.Record) {
	for i := range lost {
		f.Host.Log.Write("agent-gone", "agent", lost[i].Agent, "incarnation", lost[i].Incarnation)
	}
	f.rosterChanged()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.lostAgents) == 0 {
		time.AfterFunc(lostWindow, f.reportLost)
	}
	f.lostAgents = append(f.lostAgents, lost...)
}

// reportLost commits the requests that lost agents were running as crash suspects,
// unless more than maxLostAgents were lost together. A suspect is identified by its
// content digest; a second crash within bans.SuspectDuration quarantines it.
func (f *Feeds) reportLost() {
	f.mutex.Lock()
	lost := f.lostAgents
	f.lostAgents = nil
	f.mutex.Unlock()
	if len(lost) > maxLostAgents {
		f.Host.Log.Write("agents-lost-together", "agents", len(lost))
		return
	}
	command := &state.Command{}
	for i := range lost {
		if len(lost[i].Digests) == 0 {
			continue
		}
		command.Crashes = append(command.Crashes, plane.Crash{
			Source: lost[i].Agent, Incarnation: lost[i].Incarnation, Count: lostCrashCount, Digests: lost[i].Digests,
		})
	}
	if len(command.Crashes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := f.Propose(ctx, command); err == nil {
			return
		}
		pause.Until(ctx, minSendInterval, nil)
	}
}
