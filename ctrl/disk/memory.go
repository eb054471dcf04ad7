package disk

import (
	"bytes"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"sync"
)

// memoryPath is the path of a Memory. Only the root directory exists at first.
const memoryPath = "/data/control"

// Memory is an in-memory folder for tests. Crash reverts it to the synced content,
// except that KeepUnsynced may keep a prefix of the unsynced bytes.
type Memory struct {
	// KeepUnsynced returns how many of n unsynced bytes at a file's end survive a
	// crash; nil keeps none.
	KeepUnsynced func(n int) int
	// CrashBeforeSync, unless nil, is called before each sync of a file or of the
	// folder. If it returns true, the folder crashes before the sync.
	CrashBeforeSync func() bool
	// FailSync, unless nil, is called before each sync of a file. If it returns true,
	// the sync fails: as on Linux, the data can still be read, but no later sync
	// stores it.
	FailSync func() bool
	// Syncs counts the file syncs.
	Syncs int

	mutex sync.Mutex
	// names are the files as the process sees them, durable the files that remain
	// after a crash.
	names, durable map[string]*memoryFile
	// paths are the directories as the process sees them, durablePaths those whose
	// entries are synced in their parents.
	paths, durablePaths map[string]bool
	// generation is the number of crashes and kills; it tells the sessions from before
	// the last of them from the current one.
	generation int
}

// memoryFile is the content of one file. A process reads data; the stored bytes and
// those after the first synced bytes of data remain after a crash, the latter in part.
type memoryFile struct {
	data, stored []byte
	synced       int
}

// syncedFile returns a file whose content is stored.
func syncedFile(data []byte) *memoryFile {
	return &memoryFile{data: data, stored: bytes.Clone(data), synced: len(data)}
}

// sync stores the bytes that no sync has covered yet. A failed sync covers them too,
// but stores zeros.
func (f *memoryFile) sync(failed bool) {
	pending := f.data[f.synced:]
	if failed {
		pending = make([]byte, len(pending))
	}
	f.stored = append(f.stored, pending...)
	f.synced = len(f.data)
}

// Crash drops unsynced data. Every Disk that was returned before fails from then on.
func (m *Memory) Crash() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.generation++
	m.paths = maps.Clone(m.durablePaths)
	for path := memoryPath; path != filepath.Dir(path); path = filepath.Dir(path) {
		if !m.paths[path] {
			m.paths, m.durablePaths, m.durable = nil, nil, nil
			break
		}
	}
	m.names = maps.Clone(m.durable)
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		file := m.names[name]
		kept := 0
		if lost := len(file.data) - file.synced; lost > 0 && m.KeepUnsynced != nil {
			kept = m.KeepUnsynced(lost)
		}
		m.names[name] = syncedFile(slices.Concat(file.stored, file.data[file.synced:file.synced+kept]))
	}
	m.durable = maps.Clone(m.names)
}

// Kill makes every Disk that was returned before fail, as the end of the process
// does. Unsynced data remains until the next Crash.
func (m *Memory) Kill() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.generation++
}

// Wipe crashes the folder and drops all files, as the replacement of a VM by an empty
// one does.
func (m *Memory) Wipe() {
	m.Crash()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.names, m.durable, m.paths, m.durablePaths = nil, nil, nil, nil
}

// Modify replaces the content of a file with the result of change, so that a test can
// damage the file.
func (m *Memory) Modify(name string, change func(data []byte) []byte) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	data := change(bytes.Clone(m.names[name].data))
	file := syncedFile(data)
	m.names[name] = file
	m.durable[name] = file
}

// Disk opens the folder in its current state, and creates it if it is missing.
func (m *Memory) Disk() *Disk {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	// The operations of m.directories return no error.
	_ = m.directories().create(memoryPath)
	if m.names == nil {
		m.names, m.durable = map[string]*memoryFile{}, map[string]*memoryFile{}
	}
	opened := &session{memory: m, generation: m.generation}
	return &Disk{
		List: opened.list, Read: opened.read, Create: opened.create, Open: opened.open,
		Truncate: opened.truncate, Rename: opened.rename, Remove: opened.remove,
		Sync:  opened.sync,
		Close: func() error { return nil },
	}
}

// directories returns the operations on the path of the folder. m.mutex must be locked
// while they are used.
func (m *Memory) directories() directories {
	return directories{
		exists: func(path string) (bool, error) { return path == filepath.Dir(path) || m.paths[path], nil },
		make: func(path string) error {
			if m.paths == nil {
				m.paths, m.durablePaths = map[string]bool{}, map[string]bool{}
			}
			m.paths[path] = true
			return nil
		},
		sync: func(parent string) error {
			for path := range m.paths {
				if filepath.Dir(path) == parent {
					m.durablePaths[path] = true
				}
			}
			return nil
		},
	}
}

// session is the use of the folder by one process, from Disk to the next Crash or Kill.
type session struct {
	memory     *Memory
	generation int
}

// lock locks the folder, or fails if the folder has crashed or its process was killed
// since the session began.
func (s *session) lock() error {
	s.memory.mutex.Lock()
	if s.generation != s.memory.generation {
		s.memory.mutex.Unlock()
		return &Error{Op: "use folder", Kind: KindCrashed}
	}
	return nil
}

func (s *session) unlock() { s.memory.mutex.Unlock() }

// find returns the file of a name, or an error of KindMissing.
func (s *session) find(name string) (*memoryFile, error) {
	file, ok := s.memory.names[name]
	if !ok {
		return nil, &Error{Op: "open " + name, Kind: KindMissing, Err: fs.ErrNotExist}
	}
	return file, nil
}

func (s *session) list() ([]string, error) {
	if err := s.lock(); err != nil {
		return nil, err
	}
	defer s.unlock()
	return slices.Sorted(maps.Keys(s.memory.names)), nil
}

func (s *session) read(name string) ([]byte, error) {
	if err := s.lock(); err != nil {
		return nil, err
	}
	defer s.unlock()
	file, err := s.find(name)
	if err != nil {
		return nil, err
	}
	return bytes.Clone(file.data), nil
}

func (s *session) create(name string) (*File, error) {
	if err := s.lock(); err != nil {
		return nil, err
	}
	defer s.unlock()
	file := &memoryFile{}
	s.memory.names[name] = file
	return s.file(file), nil
}

func (s *session) open(name string) (*File, error) {
	if err := s.lock(); err != nil {
		return nil, err
	}
	defer s.unlock()
	file, err := s.find(name)
	if err != nil {
		return nil, err
	}
	return s.file(file), nil
}

// file returns the operations on one file.
func (s *session) file(file *memoryFile) *File {
	return &File{
		Write: func(data []byte) error {
			if err := s.lock(); err != nil {
				return err
			}
			defer s.unlock()
			file.data = append(file.data, data...)
			return nil
		},
		Sync: func() error {
			s.maybeCrash()
			if err := s.lock(); err != nil {
				return err
			}
			defer s.unlock()
			if s.memory.FailSync != nil && s.memory.FailSync() {
				file.sync(true)
				return &Error{Op: "sync file", Kind: KindFolder}
			}
			file.sync(false)
			s.memory.Syncs++
			return nil
		},
		Close: func() error { return nil },
	}
}

func (s *session) truncate(name string, size int64) error {
	if err := s.lock(); err != nil {
		return err
	}
	defer s.unlock()
	file, err := s.find(name)
	if err != nil {
		return err
	}
	file.data = file.data[:size]
	file.synced = min(file.synced, int(size))
	file.stored = file.stored[:file.synced]
	file.sync(false)
	return nil
}

func (s *session) rename(from, to string) error {
	if err := s.lock(); err != nil {
		return err
	}
	defer s.unlock()
	file, err := s.find(from)
	if err != nil {
		return err
	}
	delete(s.memory.names, from)
	s.memory.names[to] = file
	return nil
}

func (s *session) remove(name string) error {
	if err := s.lock(); err != nil {
		return err
	}
	defer s.unlock()
	delete(s.memory.names, name)
	return nil
}

// maybeCrash crashes the folder if CrashBeforeSync returns true.
func (s *session) maybeCrash() {
	if s.memory.CrashBeforeSync != nil && s.memory.CrashBeforeSync() {
		s.memory.Crash()
	}
}

func (s *session) sync() error {
	s.maybeCrash()
	if err := s.lock(); err != nil {
		return err
	}
	defer s.unlock()
	s.memory.durable = maps.Clone(s.memory.names)
	return nil
}
