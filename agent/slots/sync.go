package slots

// Revision identifies the current occupancy of the slots. The caller reads the revision before
// it requests the engine's state, and passes both to Sync.
func (s *Slots) Revision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

// Sync reconciles the slots with the keys that the engine reports and the number of requests
// that it runs on each of them. It ends the inherited pins of an earlier agent, removes a key
// that the engine has lost and unloads a key that a delayed order of another agent has loaded.
// If the slots have changed since the revision was read, the engine's state is ignored, because
// it may be older than the change.
func (s *Slots) Sync(revision uint64, running map[Key]int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if revision != s.revision {
		return
	}
	for key, held := range s.occupied {
		count, known := running[key]
		if held.inherited && count <= held.pins {
			held.inherited = false
		}
		if !known && held.state == stateResident {
			s.Host.Log.Write("adapter-missing", "adapter", key.Adapter, "version", key.Version)
			s.revision++
			delete(s.occupied, key)
		}
	}
	for key := range running {
		if s.occupied[key] == nil && s.mayOrder() {
			s.unloadStray(key)
		}
	}
}

// unloadStray unloads a key that the engine holds without a slot.
func (s *Slots) unloadStray(key Key) {
	s.Host.Log.Write("adapter-stray", "adapter", key.Adapter, "version", key.Version)
	stray := &slot{key: key}
	s.occupied[key] = stray
	s.startUnload(stray)
}

// Invalidate unloads a key under which the engine ran another adapter, after its last request
// has ended. It counts as a failed load.
func (s *Slots) Invalidate(key Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.occupied[key]
	if held == nil || held.invalid {
		return
	}
	held.invalid = true
	s.recordFailure(key)
	s.unloadInvalid(held)
}

// unloadInvalid unloads an invalid slot that is not pinned. The mutex is held.
func (s *Slots) unloadInvalid(held *slot) {
	if held.invalid && !held.isPinned() && held.state == stateResident && s.occupied[held.key] == held && s.mayOrder() {
		s.startUnload(held)
	}
}

// startUnload starts to unload a slot. The mutex is held.
func (s *Slots) startUnload(held *slot) {
	s.revision++
	held.state = stateUnloading
	o := &order{slots: s, epochContext: s.epochContext, epoch: s.epoch, fence: s.fence}
	go func() {
		o.unload(held)
		s.Changed()
	}()
}
