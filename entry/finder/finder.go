// Package finder records at agents where the streams of an entry began, and finds there
// where the streams of other entries did.
package finder

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerspindle/tanagerspindle/entry/pool"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/origin"
	"github.com/tanagerspindle/tanagerspindle/pkg/tasks"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// copies is how many agents hold a record, so that the loss of one agent loses none.
	copies = 2
	// maxAsked is how many agents are asked for a record. It is above copies, since the
	// asking entry may know other agents than the one that recorded the stream.
	maxAsked = 4
	// exchangeTimeout bounds one exchange with an agent; a healthy one replies within a few
	// milliseconds.
	exchangeTimeout = 250 * time.Millisecond
	// maxRecording bounds the streams that are being recorded at the same time.
	maxRecording = 128
	// heldTime is how long a record is held that agents need not know yet: longer than most
	// streams take. maxHeld bounds their number.
	heldTime = 30 * time.Second
	maxHeld  = 4096
)

// Finder finds the origins of streams. Its exported fields are set before use; it is
// safe for concurrent use.
type Finder struct {
	// Host provides log and metrics.
	Host host.Host
	// Agents holds the sessions to agents.
	Agents *pool.Pool
	// Addresses returns the addresses of the agents.
	Addresses func() []string
	// Needed reports whether other entries need to know where the streams of a service
	// began. While only one software version serves, they need not. Nil means always.
	Needed func(service string) bool

	// local holds the origins of this entry's streams.
	local     origin.Store
	mutex     sync.Mutex
	recording int
	// held are the records that agents do not know, oldest first.
	held  []heldRecord
	group tasks.Group
}

type heldRecord struct {
	record origin.Record
	at     time.Time
}

// Record stores where a stream began, here at once and at agents soon after, if other entries
// need to know it. If that fails, they do not know the origin.
func (f *Finder) Record(record origin.Record) {
	now := time.Now()
	f.local.Put(record, now)
	if f.Needed != nil && !f.Needed(record.Service) {
		f.hold(record, now)
		return
	}
	if !f.begin() {
		f.Host.Meter.Add("origins_dropped", 1)
		return
	}
	f.group.Go(func() {
		defer f.end()
		f.distribute(record)
	})
}

func (f *Finder) hold(record origin.Record, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	expired := 0
	for expired < len(f.held) && (now.Sub(f.held[expired].at) > heldTime || len(f.held)-expired >= maxHeld) {
		expired++
	}
	f.held = append(slices.Delete(f.held, 0, expired), heldRecord{record: record, at: now})
}

// Update sends the held records that other entries need to know from now on. It is called
// after the endpoints have changed.
func (f *Finder) Update() {
	now := time.Now()
	f.mutex.Lock()
	var needed []origin.Record
	kept := f.held[:0]
	for _, h := range f.held {
		switch {
		case now.Sub(h.at) > heldTime:
		case f.Needed == nil || f.Needed(h.record.Service):
			needed = append(needed, h.record)
		default:
			kept = append(kept, h)
		}
	}
	clear(f.held[len(kept):])
	f.held = kept
	f.mutex.Unlock()
	if len(needed) == 0 {
		return
	}
	f.group.Go(func() {
		for _, record := range needed {
			f.distribute(record)
		}
	})
}

func (f *Finder) begin() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.recording == maxRecording {
		return false
	}
	f.recording++
	return true
}

func (f *Finder) end() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.recording--
}

// distribute sends a record to the first agents for its stream that confirm it.
func (f *Finder) distribute(record origin.Record) {
	stored := 0
	for _, address := range f.holders(record.Attempt) {
		if stored == copies {
			return
		}
		if _, err := f.exchange(context.Background(), address, origin.MethodRecord, &record); err == nil {
			stored++
		}
	}
	if stored < copies {
		f.Host.Meter.Add("origins_with_few_copies", 1)
	}
}

// Find returns the origin of a stream; its field Known is false if nobody knows it.
func (f *Finder) Find(ctx context.Context, attempt string) origin.Record {
	query := origin.Record{Attempt: attempt}
	if query.Check() != nil {
		return query
	}
	if found := f.local.Find(attempt, time.Now()); found.Known {
		return found
	}
	holders := f.holders(attempt)
	replies := make(chan origin.Record, len(holders))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, address := range holders {
		f.group.Go(func() {
			found, err := f.exchange(ctx, address, origin.MethodFind, &query)
			if err != nil {
				found = &query
			}
			replies <- *found
		})
	}
	for range holders {
		if found := <-replies; found.Known && found.Attempt == attempt {
			f.local.Put(found, time.Now())
			return found
		}
	}
	return query
}

// exchange sends a record to an agent and returns the agent's answer.
func (f *Finder) exchange(ctx context.Context, address, method string, record *origin.Record) (*origin.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	session, err := f.Agents.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	defer f.Agents.Put(session)
	stream, err := session.Open(method)
	if err != nil {
		f.Agents.Retire(session)
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	defer context.AfterFunc(ctx, stream.AbortReceive)()
	if err := stream.Send(record); err != nil {
		return nil, err
	}
	answer := &origin.Record{}
	if err := stream.Receive(answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// holders returns the agents for a stream in the order of their rendezvous hashes.
func (f *Finder) holders(attempt string) []string {
	type holder struct {
		address string
		hash    uint64
	}
	var order []holder
	for _, address := range f.Addresses() {
		order = append(order, holder{address: address, hash: xxhash.Sum64String(attempt + "\x00" + address)})
	}
	slices.SortFunc(order, func(a, b holder) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.address, b.address)) })
	addresses := make([]string, 0, maxAsked)
	for _, h := range order[:min(len(order), maxAsked)] {
		addresses = append(addresses, h.address)
	}
	return addresses
}

// Wait waits until the exchanges under way have ended.
func (f *Finder) Wait() { f.group.Wait() }
