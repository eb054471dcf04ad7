package feed

import (
	"sync"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// maxSuspectReports bounds the reports that wait for control; the oldest go first.
const maxSuspectReports = 256

// suspectReports keeps what control must know of requests that may crash endpoints
// until a beat that carried it is confirmed. Control counts what it gets twice
// once.
type suspectReports struct {
	mutex   sync.Mutex
	crashes []plane.Crash
	cleared [][]byte
	// seq is the last beat that carried all of it.
	seq uint64
}

func (s *suspectReports) crash(crash plane.Crash) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.crashes, s.seq = append(s.crashes[max(len(s.crashes)+1-maxSuspectReports, 0):], crash), 0
}

func (s *suspectReports) clear(digest []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cleared, s.seq = append(s.cleared[max(len(s.cleared)+1-maxSuspectReports, 0):], digest), 0
}

// attach puts all of it into a beat.
func (s *suspectReports) attach(beat *plane.Heartbeat) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	beat.Crashes, beat.ClearedSuspects = s.crashes, s.cleared
	if s.seq == 0 {
		s.seq = beat.Seq
	}
}

// confirm drops what a confirmed beat carried.
func (s *suspectReports) confirm(seq uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.seq != 0 && s.seq <= seq {
		s.crashes, s.cleared, s.seq = nil, nil, 0
	}
}

// restore makes the next stream carry all of it again.
func (s *suspectReports) restore() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.seq = 0
}
