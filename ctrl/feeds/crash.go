package feeds

import (
	"context"
	"math"
	"strings"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
)

const (
	// lostCount is the death count of an agent that was lost together with
	// its endpoint.
	lostCount = math.MaxUint64
	// mostLost is the number of agents that may go silent at once and still
	// be taken for endpoints that a request crashed. A request crashes one
	// endpoint after another; a partition silences many together.
	mostLost = 2
	// lostTogether is the time within which agents count as lost together: a
	// little more than the time between two of their beats.
	lostTogether = 1100 * time.Millisecond
	// mostDigests bounds the suspects of one death.
	mostDigests = 1024
	// crashTimeout bounds the attempts to commit the suspects of a lost agent.
	crashTimeout = 10 * time.Second
)

// checkCrashes returns the crashes that a daemon may report: an agent its own
// ones, an entry those of endpoints under its own name, of a bounded size.
func (f *Feeds) checkCrashes(m *member, crashes []plane.Crash) []plane.Crash {
	var valid []plane.Crash
	for _, crash := range crashes {
		own := m.hello.Role == plane.RoleAgent && crash.Agent == m.hello.Name ||
			m.hello.Role == plane.RoleEntry && strings.HasPrefix(crash.Agent, plane.CrashSource(m.hello.Name, ""))
		if !own || len(crash.Digests) > mostDigests {
			f.Host.Log.Write("crash-refused", "daemon", m.hello.Name)
			continue
		}
		valid = append(valid, crash)
	}
	return valid
}

// watchLost treats an agent whose connection broke as dead unless it is heard
// again soon, here or at another replica.
func (f *Feeds) watchLost(m *member) {
	broken := time.Now()
	time.AfterFunc(lostAfter, func() {
		f.mutex.Lock()
		able := !f.closed && time.Since(f.proved) < deafAfter
		f.mutex.Unlock()
		if !able {
			return
		}
		last, lost := f.Roster.MarkLost(f.ReplicaID(), m.hello.Name, m.hello.Incarnation, broken)
		if lost {
			f.bury([]roster.Record{last})
		}
	})
}

// bury spreads that agents are gone and collects them for a while, to tell an
// endpoint that died from a partition.
func (f *Feeds) bury(lost []roster.Record) {
	for i := range lost {
		f.Host.Log.Write("agent-gone", "agent", lost[i].Agent, "incarnation", lost[i].Incarnation)
	}
	f.rosterChanged()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.lost) == 0 {
		time.AfterFunc(lostTogether, f.reportLost)
	}
	f.lost = append(f.lost, lost...)
}

// reportLost makes suspects of the requests that agents ran when they were
// lost, unless many were lost together.
func (f *Feeds) reportLost() {
	f.mutex.Lock()
	lost := f.lost
	f.lost = nil
	f.mutex.Unlock()
	if len(lost) > mostLost {
		f.Host.Log.Write("agents-lost-together", "agents", len(lost))
		return
	}
	command := &state.Command{}
	for i := range lost {
		if len(lost[i].Digests) == 0 {
			continue
		}
		command.Crashes = append(command.Crashes, plane.Crash{
			Agent: lost[i].Agent, Incarnation: lost[i].Incarnation, Count: lostCount, Digests: lost[i].Digests,
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
		pause(ctx, newsInterval, nil)
	}
}
