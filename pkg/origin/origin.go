// Package origin keeps where streams began, so that a stream whose caller comes back at
// another VM goes on at an endpoint whose software has the same version.
//
// The VM at which a stream begins records it at a few agents, chosen by the ID of the
// caller's attempt. Any VM with about the same list of agents finds the record there.
package origin

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// Kind classifies the failures of this package.
type Kind string

// KindField means that a message has an invalid field.
const KindField Kind = "invalid field"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Method names of streams to an agent.
const (
	// MethodRecord carries one Record to the agent, which confirms it with one that has only the ID.
	MethodRecord = "origin-record"
	// MethodFind exchanges a Record with only an ID for the stored one.
	MethodFind = "origin-find"
)

const (
	// Retention is how long the origin of a stream is kept after it was last used: several
	// times as long as streams take.
	Retention = 2 * time.Minute
	// maxRecords bounds the records of a Store. The oldest are dropped first; their streams
	// cannot be continued elsewhere.
	maxRecords = 16 << 10
	// maxFieldBytes is the maximum length of each text of a record, in bytes.
	maxFieldBytes = 256
)

// Record is where a stream began.
type Record struct {
	// Attempt is the ID of the caller's attempt that brought the stream's first event.
	Attempt string `protobuf:"bytes,1,opt"`
	// Service is the service of the endpoint that wrote it, and SoftwareVersion the version
	// of the endpoint's software, which may be empty.
	Service         string `protobuf:"bytes,2,opt"`
	SoftwareVersion string `protobuf:"bytes,3,opt"`
	// Known reports whether the origin is known. It is not if two streams of different
	// origins began under the same ID.
	Known bool `protobuf:"varint,4,opt"`
	// Endpoint is the name of the endpoint, and StartedMillis when its process had started by
	// its announcement. If another process has taken the name since, it is uncertain which of
	// the two wrote the event.
	Endpoint      string `protobuf:"bytes,5,opt"`
	StartedMillis int64  `protobuf:"varint,6,opt"`
}

// Check reports the first invalid field.
func (r *Record) Check() error {
	if r.Attempt == "" || max(len(r.Attempt), len(r.Service), len(r.SoftwareVersion), len(r.Endpoint)) > maxFieldBytes {
		return &Error{Op: "check stream", Kind: KindField}
	}
	if r.Known && r.Service == "" {
		return &Error{Op: "check origin", Kind: KindField}
	}
	return nil
}

// Store holds records for Retention. The zero value is an empty store. It is safe for
// concurrent use.
type Store struct {
	mutex sync.Mutex
	// byAttempt finds the elements of byUse, which holds *entry, least recently used first.
	byAttempt map[string]*list.Element
	byUse     list.List
}

type entry struct {
	record Record
	used   time.Time
}

// Put stores a record.
func (s *Store) Put(record Record, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dropExpired(now)
	if element := s.byAttempt[record.Attempt]; element != nil {
		known := element.Value.(*entry)
		known.record.Known = known.record == record
		s.touch(element, now)
		return
	}
	if s.byUse.Len() >= maxRecords {
		s.dropOldest()
	}
	if s.byAttempt == nil {
		s.byAttempt = map[string]*list.Element{}
	}
	s.byAttempt[record.Attempt] = s.byUse.PushBack(&entry{record: record, used: now})
}

// Find returns the record of a stream; its field Known is false if there is none.
func (s *Store) Find(attempt string, now time.Time) Record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dropExpired(now)
	element := s.byAttempt[attempt]
	if element == nil {
		return Record{Attempt: attempt}
	}
	s.touch(element, now)
	return element.Value.(*entry).record
}

// Len returns the number of records.
func (s *Store) Len() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.byUse.Len()
}

func (s *Store) touch(element *list.Element, now time.Time) {
	element.Value.(*entry).used = now
	s.byUse.MoveToBack(element)
}

// dropExpired removes expired records.
func (s *Store) dropExpired(now time.Time) {
	for oldest := s.byUse.Front(); oldest != nil && now.Sub(oldest.Value.(*entry).used) >= Retention; oldest = s.byUse.Front() {
		s.dropOldest()
	}
}

func (s *Store) dropOldest() {
	oldest := s.byUse.Front()
	delete(s.byAttempt, oldest.Value.(*entry).record.Attempt)
	s.byUse.Remove(oldest)
}

// Handlers returns the handlers of the methods of an agent.
func (s *Store) Handlers() map[string]link.Handler {
	return map[string]link.Handler{MethodRecord: s.serveRecord, MethodFind: s.serveFind}
}

func (s *Store) serveRecord(_ context.Context, stream *wire.Stream) error {
	record := &Record{}
	if err := stream.Receive(record); err != nil {
		return err
	}
	s.Put(*record, time.Now())
	return stream.Send(&Record{Attempt: record.Attempt})
}

func (s *Store) serveFind(_ context.Context, stream *wire.Stream) error {
	query := &Record{}
	if err := stream.Receive(query); err != nil {
		return err
	}
	found := s.Find(query.Attempt, time.Now())
	return stream.Send(&found)
}
