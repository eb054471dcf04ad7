package disk

import (
	"bytes"
	"io/fs"
	"maps"
	"slices"
	"sync"
)

// Memory is a folder in memory for tests. Crash takes it back to what was
// synced, and keeps a prefix of the unsynced bytes where Tear says so.
type Memory struct {
	// KeepUnsynced returns how many of n unsynced bytes at a file's end survive a
	// crash; nil keeps none.
	KeepUnsynced func(n int) int
	// CrashBeforeSync, unless nil, is asked before each sync of a file or of the folder;
	// if it says so, the process crashes there.
	CrashBeforeSync func() bool
	// Syncs counts the file syncs.
	Syncs int

	mutex sync.Mutex
	// names is the folder as the process sees it, lasting as after a crash.
	names, lasting map[string]*content
	generation     int
}

// content is one file's bytes; the first synced ones last.
type content struct {
	data   []byte
	synced int
}

// Crash ends the present use: every Disk made before fails from now on.
func (m *Memory) Crash() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.generation++
	m.names = maps.Clone(m.lasting)
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		file := m.names[name]
		kept := 0
		if lost := len(file.data) - file.synced; lost > 0 && m.KeepUnsynced != nil {
			kept = m.KeepUnsynced(lost)
		}
		m.names[name] = &content{data: bytes.Clone(file.data[:file.synced+kept]), synced: file.synced + kept}
	}
	m.lasting = maps.Clone(m.names)
}

// Wipe loses everything, as a VM's replacement by an empty one does.
func (m *Memory) Wipe() {
	m.Crash()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.names, m.lasting = nil, nil
}

// Modify lets a test damage a file.
func (m *Memory) Modify(name string, change func(data []byte) []byte) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	data := change(bytes.Clone(m.names[name].data))
	file := &content{data: data, synced: len(data)}
	m.names[name] = file
	m.lasting[name] = file
}

// Disk returns the folder as it is now.
func (m *Memory) Disk() *Disk {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.names == nil {
		m.names, m.lasting = map[string]*content{}, map[string]*content{}
	}
	use := &usage{memory: m, generation: m.generation}
	return &Disk{
		List: use.list, Read: use.read, Create: use.create, Open: use.open,
		Truncate: use.truncate, Rename: use.rename, Remove: use.remove,
		Sync:  use.sync,
		Close: func() error { return nil },
	}
}

// usage is one process's view of the folder.
type usage struct {
	memory     *Memory
	generation int
}

// enter locks the folder unless the process is dead.
func (u *usage) enter() error {
	u.memory.mutex.Lock()
	if u.generation != u.memory.generation {
		u.memory.mutex.Unlock()
		return &Error{Op: "use folder", Kind: KindCrashed}
	}
	return nil
}

func (u *usage) leave() { u.memory.mutex.Unlock() }

func (u *usage) find(name string) (*content, error) {
	file, ok := u.memory.names[name]
	if !ok {
		return nil, &Error{Op: "open " + name, Kind: KindMissing, Err: fs.ErrNotExist}
	}
	return file, nil
}

func (u *usage) list() ([]string, error) {
	if err := u.enter(); err != nil {
		return nil, err
	}
	defer u.leave()
	return slices.Sorted(maps.Keys(u.memory.names)), nil
}

func (u *usage) read(name string) ([]byte, error) {
	if err := u.enter(); err != nil {
		return nil, err
	}
	defer u.leave()
	file, err := u.find(name)
	if err != nil {
		return nil, err
	}
	return bytes.Clone(file.data), nil
}

func (u *usage) create(name string) (*File, error) {
	if err := u.enter(); err != nil {
		return nil, err
	}
	defer u.leave()
	file := &content{}
	u.memory.names[name] = file
	return u.file(file), nil
}

func (u *usage) open(name string) (*File, error) {
	if err := u.enter(); err != nil {
		return nil, err
	}
	defer u.leave()
	file, err := u.find(name)
	if err != nil {
		return nil, err
	}
	return u.file(file), nil
}

func (u *usage) file(file *content) *File {
	return &File{
		Write: func(data []byte) error {
			if err := u.enter(); err != nil {
				return err
			}
			defer u.leave()
			file.data = append(file.data, data...)
			return nil
		},
		Sync: func() error {
			u.fail()
			if err := u.enter(); err != nil {
				return err
			}
			defer u.leave()
			file.synced = len(file.data)
			u.memory.Syncs++
			return nil
		},
		Close: func() error { return nil },
	}
}

func (u *usage) truncate(name string, size int64) error {
	if err := u.enter(); err != nil {
		return err
	}
	defer u.leave()
	file, err := u.find(name)
	if err != nil {
		return err
	}
	file.data = file.data[:size]
	file.synced = int(size)
	return nil
}

func (u *usage) rename(from, to string) error {
	if err := u.enter(); err != nil {
		return err
	}
	defer u.leave()
	file, err := u.find(from)
	if err != nil {
		return err
	}
	delete(u.memory.names, from)
	u.memory.names[to] = file
	return nil
}

func (u *usage) remove(name string) error {
	if err := u.enter(); err != nil {
		return err
	}
	defer u.leave()
	delete(u.memory.names, name)
	return nil
}

// fail crashes the process if the test wants it to.
func (u *usage) fail() {
	if u.memory.CrashBeforeSync != nil && u.memory.CrashBeforeSync() {
		u.memory.Crash()
	}
}

func (u *usage) sync() error {
	u.fail()
	if err := u.enter(); err != nil {
		return err
	}
	defer u.leave()
	u.memory.lasting = maps.Clone(u.memory.names)
	return nil
}
