package node

// minShortTicks is how long a group may have fewer voters than the tolerated failures need
// before that is reported: 1.5 s. A group that grows, or a replacement in progress, is
// complete within that time.
const minShortTicks = 150

// sizeReport reports, at the leader, whether the group has as many voters as the tolerated
// failures need. The zero value is ready to use.
type sizeReport struct {
	// shortSinceTick is the tick since which the group is too small, 0 if it is not.
	shortSinceTick int
	// reported is the number of voters in the last report, 0 after a complete group.
	reported int
}

// wantedVoters returns the number of voters that the tolerated failures need.
func (n *Node) wantedVoters() int {
	if n.Voters == 0 {
		return len(n.Peers)
	}
	return n.FirstVoters
}

// reportSize updates the gauges of the group's size and logs when a group is too small, and
// when it is complete again.
func (l *loop) reportSize() {
	wanted := l.node.wantedVoters()
	status := l.core.Status()
	voters, answering := countVoters(status), 0
	for _, m := range status.Members {
		if m.Voter && (m.ID == status.ID || m.SilentTicks <= aliveTicks) {
			answering++
		}
	}
	meter := l.node.Host.Meter
	meter.Set("control_voters", int64(voters))
	meter.Set("control_voters_answering", int64(answering))
	meter.Set("control_voters_wanted", int64(wanted))
	r := &l.size
	switch {
	case voters >= wanted:
		if r.reported > 0 {
			l.node.Host.Log.Write("group-complete", "voters", voters, "of", wanted)
		}
		*r = sizeReport{}
	case r.shortSinceTick == 0:
		r.shortSinceTick = l.ticks
	case l.ticks-r.shortSinceTick >= minShortTicks && r.reported != voters:
		l.node.Host.Log.Write("group-too-small", "voters", voters, "answering", answering, "of", wanted)
		r.reported = voters
	}
}

// clearSize removes the gauges of a replica that no longer leads, whose view of the group is
// not current.
func (l *loop) clearSize() {
	l.size = sizeReport{}
	for _, name := range []string{"control_voters", "control_voters_answering", "control_voters_wanted"} {
		l.node.Host.Meter.Set(name, 0)
	}
}
