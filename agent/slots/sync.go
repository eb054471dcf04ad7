package slots

// Revision stands for what the slots hold now. It is taken before the engine is
// asked what it holds and given to Sync with the answer.
func (s *Slots) Revision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changes
}

// Sync compares the slots with the keys that the engine says it holds, and the
// number of requests that it runs on each. It ends pins of an earlier agent,
// forgets a key that the engine has lost and unloads one that another agent's
// late order has brought. An answer is ignored when the slots have changed
// since the mark.
func (s *Slots) Sync(mark uint64, running map[Key]int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if mark != s.changes {
		return
	}
	for key, held := range s.held {
		count, known := running[key]
		if held.foreign && count <= held.pins {
			held.foreign = false
		}
		if !known && held.state == stateResident {
			s.Host.Log.Write("adapter-missing", "adapter", key.Adapter, "version", key.Version)
			s.changes++
			delete(s.held, key)
		}
	}
	for key := range running {
		if s.held[key] == nil && s.mayOrder() {
			s.expel(key)
		}
	}
}

// expel unloads a key that the engine holds without a slot.
func (s *Slots) expel(key Key) {
	s.Host.Log.Write("adapter-stray", "adapter", key.Adapter, "version", key.Version)
	stray := &slot{key: key}
	s.held[key] = stray
	s.drop(stray)
}

// Invalidate unloads a key under which the engine ran something else, once no
// run is on it. It counts as a failed load.
func (s *Slots) Invalidate(key Key) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	held := s.held[key]
	if held == nil || held.distrusted {
		return
	}
	held.distrusted = true
	s.fail(key)
	s.dropDistrusted(held)
}

// dropDistrusted unloads a slot that is distrusted and free. The mutex is
// held.
func (s *Slots) dropDistrusted(held *slot) {
	if held.distrusted && !held.pinned() && held.state == stateResident && s.held[held.key] == held && s.mayOrder() {
		s.drop(held)
	}
}

// drop unloads a slot. The mutex is held.
func (s *Slots) drop(held *slot) {
	s.changes++
	held.state = stateUnloading
	o := &order{slots: s, context: s.context, epoch: s.epoch, fence: s.fence}
	go func() {
		o.unload(held)
		s.Changed()
	}()
}
