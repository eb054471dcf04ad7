package feed

import (
	"sync"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// maxSuspectReports bounds each kind of reports that await confirmation; the oldest
// are dropped first.
const maxSuspectReports = 256

// suspectReports holds the reports about requests that may crash endpoints until
// control has confirmed a heartbeat that carried them. Control ignores reports that
// arrive twice.
type suspectReports struct {
	mutex   sync.Mutex
	crashes []plane.Crash
	cleared [][]byte
	// seq is the first heartbeat that carried all reports, or 0 if there is none yet.
	seq uint64
}

// crash adds a report of a crash.
func (s *suspectReports) crash(crash plane.Crash) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.crashes, s.seq = append(s.crashes[max(len(s.crashes)+1-maxSuspectReports, 0):], crash), 0
}

// clear adds a report that a suspected request has completed without a crash.
func (s *suspectReports) clear(digest []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cleared, s.seq = append(s.cleared[max(len(s.cleared)+1-maxSuspectReports, 0):], digest), 0
}

// attach adds all reports to a heartbeat.
func (s *suspectReports) attach(heartbeat *plane.Heartbeat) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	heartbeat.Crashes, heartbeat.ClearedSuspects = s.crashes, s.cleared
	if s.seq == 0 {
		s.seq = heartbeat.Seq
	}
}

// confirm drops the reports if heartbeat seq, or an earlier one, carried them all.
func (s *suspectReports) confirm(seq uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.seq != 0 && s.seq <= seq {
		s.crashes, s.cleared, s.seq = nil, nil, 0
	}
}

// restore marks all reports as unsent, for a new stream.
func (s *suspectReports) restore() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.seq = 0
}
