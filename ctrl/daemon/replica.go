package daemon

// newReplica returns the replicated log of this daemon.
func (d *Daemon) newReplica() replica {
	_ = d.lead
	return replica{}
}
