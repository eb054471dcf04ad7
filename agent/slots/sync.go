package slots

// Revision stands for what the slots hold now. It is taken before the engine is
// asked what it holds and given to Sync with the answer.
func (s *Slots) Revision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

// Sync compares the slots with the keys that the engine says it holds, and the
// number of requests that it runs on each. It ends pins of an earlier agent,
// forgets a key that the engine has lost and unloads one that another agent's
// late order has brought. An answer is ignored when the slots have changed
// since the mark.
func (s *Slots) Sync(mark uint64, running map[Key]int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if mark != s.revision {
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

// Invalidate unloads a key under which the engine ran something else, once no
// run is on it. It counts as a failed load.
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

// unloadInvalid unloads a slot that is distrusted and free. The mutex is
// held.
func (s *Slots) unloadInvalid(held *slot) {
	if held.invalid && !held.isPinned() && held.state == stateResident && s.occupied[held.key] == held && s.mayOrder() {
		s.startUnload(held)
	}
}

// startUnload unloads a slot. The mutex is held.
func (s *Slots) startUnload(held *slot) {
	s.revision++
	held.state = stateUnloading
	o := &order{slots: s, epochContext: s.epochContext, epoch: s.epoch, fence: s.fence}
	go func() {
		o.unload(held)
		s.Changed()
	}()
}
