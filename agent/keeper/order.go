package keeper

import (
	"time"

	"github.com/tanagerspindle/tanagerspindle/agent/gate"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
)

// contentionLogInterval is the shortest time between two log lines about workspaces that
// compete for the engine.
const contentionLogInterval = 5 * time.Second

// logContention counts and logs that several workspaces compete for the full engine. k.mutex
// must be held.
func (k *Keeper) logContention(now time.Time) {
	c, ok := k.admission.Contention(now)
	if !ok {
		return
	}
	k.Host.Meter.Add("admission_contended", 1)
	if now.Sub(k.contentionLogged) < contentionLogInterval {
		return
	}
	k.contentionLogged = now
	k.Host.Log.Write("admission-contended", "workspaces", c.Workspaces, "waiting", c.Waiting, "heaviest", c.Heaviest, "share", c.Share,
		"load", k.admission.Load(now))
}

// countOrder counts how the order treated a request that was admitted or refused.
func (k *Keeper) countOrder(d gate.Decision, reason admit.Reason) {
	add := func(name string, applies bool) {
		if applies {
			k.Host.Meter.Add(name, 1)
		}
	}
	if reason != admit.ReasonNone {
		add("refused_over_share", d.OverShare && reason == admit.ReasonBusy)
		add("refused_resumed", d.Resumed)
		return
	}
	add("admitted_resumed", d.Resumed)
	add("admitted_claimed", d.Resumed && d.Claimed)
	add("admitted_small_share", d.SmallShare)
	add("admitted_held_for_memory", d.HeldForMemory)
}
