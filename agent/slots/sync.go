package slots

// Mark stands for what the slots hold now. It is taken before the engine is
// asked what it holds and given to Sync with the answer.
func (s *Slots) Mark() uint64 {
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
	s.changes++
	stray := &slot{key: key, state: stateUnloading}
	s.held[key] = stray
	o := &order{slots: s, context: s.context, epoch: s.epoch, fence: s.fence}
	go func() {
		o.unload(stray)
		s.Changed()
	}()
}
