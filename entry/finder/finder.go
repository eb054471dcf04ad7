// Package finder records at agents where the streams of an entry began, and finds there
// where the streams of other entries did.
package finder

import (
	"cmp"
	"context"
	"errors"
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
	// heldTime is how long this entry sends a record again if agents that hold it leave, or
	// agents need not know it yet: longer than most streams take. maxHeld bounds their number.
	heldTime = 30 * time.Second
	maxHeld  = 4096
	// maxKeyBytes is the room for the usual keys of rendezvous hashes; longer ones are slower.
	maxKeyBytes = 128
	// maxResending bounds the held records that are sent at the same time.
	maxResending = 16
	// minPassPause is the least time between two passes over the held records, and passPauses
	// how many times as long as the search of a pass: endpoints may change many times a second.
	minPassPause = 20 * time.Millisecond
	passPauses   = 20
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
	// held are the records of the streams that began here lately, oldest first.
	held []*heldRecord
	// passing reports that a pass over held is under way, and passDue that another one follows.
	passing, passDue bool
	group            tasks.Group
}

type heldRecord struct {
	record origin.Record
	at     time.Time
	// holders are the agents that have confirmed the record.
	holders []string
}

// Record stores where a stream began, here at once and at agents soon after, if other entries
// need to know it. If that fails, they do not know the origin.
func (f *Finder) Record(record origin.Record) {
	now := time.Now()
	f.local.Put(record, now)
	held := f.hold(record, now)
	if f.Needed != nil && !f.Needed(record.Service) {
		return
	}
	if !f.begin() {
		f.Host.Meter.Add("origins_dropped", 1)
		return
	}
	f.group.Go(func() {
		defer f.end()
		f.distribute(held)
	})
}

func (f *Finder) hold(record origin.Record, now time.Time) *heldRecord {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	expired := 0
	for expired < len(f.held) && (now.Sub(f.held[expired].at) > heldTime || len(f.held)-expired >= maxHeld) {
		expired++
	}
	held := &heldRecord{record: record, at: now}
	f.held = append(slices.Delete(f.held, 0, expired), held)
	return held
}

// Update sends the held records that other entries need to know from now on, or that too few
// of the agents hold that are left. It is called after the endpoints have changed.
func (f *Finder) Update() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.passDue = true
	if f.passing {
		return
	}
	f.passing = true
	f.group.Go(f.pass)
}

// pass sends held records until no further pass is due.
func (f *Finder) pass() {
	for f.takePass() {
		started := time.Now()
		missing := f.missingRecords(started)
		pause := max(passPauses*time.Since(started), minPassPause)
		var sending sync.WaitGroup
		limit := make(chan struct{}, maxResending)
		for _, held := range missing {
			limit <- struct{}{}
			sending.Go(func() {
				defer func() { <-limit }()
				f.distribute(held)
			})
		}
		sending.Wait()
		time.Sleep(pause)
	}
}

// takePass reports whether a pass is due; if not, the passes end.
func (f *Finder) takePass() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.passing, f.passDue = f.passDue, false
	return f.passing
}

// missingRecords returns the held records that other entries need to know and that too few of
// the agents hold that they ask.
func (f *Finder) missingRecords(now time.Time) []*heldRecord {
	f.mutex.Lock()
	held := slices.Clone(f.held)
	f.mutex.Unlock()
	needed := map[string]bool{}
	agents := f.Addresses()
	return slices.DeleteFunc(held, func(h *heldRecord) bool {
		service := h.record.Service
		if _, asked := needed[service]; !asked {
			needed[service] = f.Needed == nil || f.Needed(service)
		}
		return now.Sub(h.at) > heldTime || !needed[service] || f.confirmed(h, choose(h.record.Attempt, agents)) >= copies
	})
}

// confirmed returns how many of the agents hold a record.
func (f *Finder) confirmed(held *heldRecord, agents []string) (count int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, address := range agents {
		if slices.Contains(held.holders, address) {
			count++
		}
	}
	return count
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

// distribute sends a record to the first agents for its stream that confirm it, unless enough
// of those that are asked for it hold it.
func (f *Finder) distribute(held *heldRecord) {
	holders := f.holders(held.record.Attempt)
	stored := f.confirmed(held, holders)
	for _, address := range holders {
		if stored >= copies {
			return
		}
		if f.confirmed(held, []string{address}) > 0 {
			continue
		}
		if _, err := f.exchange(context.Background(), address, origin.MethodRecord, &held.record); err != nil {
			continue
		}
		stored++
		f.mutex.Lock()
		held.holders = append(held.holders, address)
		f.mutex.Unlock()
	}
	if stored < copies {
		f.Host.Meter.Add("origins_with_few_copies", 1)
	}
}

// Find returns the origin of a stream; its field Known is false if nobody who replied knows it.
// answered reports whether every agent that may hold it replied, or has ended: one that is
// silent may reply later.
func (f *Finder) Find(ctx context.Context, attempt string) (found origin.Record, answered bool) {
	query := origin.Record{Attempt: attempt}
	if query.Check() != nil {
		return query, true
	}
	if found := f.local.Find(attempt, time.Now()); found.Known {
		return found, true
	}
	holders := f.holders(attempt)
	type reply struct {
		found  origin.Record
		silent bool
	}
	replies := make(chan reply, len(holders))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, address := range holders {
		f.group.Go(func() {
			found, err := f.exchange(ctx, address, origin.MethodFind, &query)
			if err != nil {
				found = &query
			}
			replies <- reply{*found, errors.Is(err, context.DeadlineExceeded)}
		})
	}
	answered = true
	for range holders {
		next := <-replies
		if next.found.Known && next.found.Attempt == attempt {
			f.local.Put(next.found, time.Now())
			return next.found, true
		}
		answered = answered && !next.silent
	}
	return query, answered
}

// exchange sends a record to an agent and returns the agent's answer. The error wraps
// context.DeadlineExceeded if the agent is silent.
func (f *Finder) exchange(ctx context.Context, address, method string, record *origin.Record) (*origin.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := f.query(ctx, address, method, record)
	if err != nil && ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return answer, err
}

// query is exchange without its limit of time.
func (f *Finder) query(ctx context.Context, address, method string, record *origin.Record) (*origin.Record, error) {
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

// holders returns the agents for a stream.
func (f *Finder) holders(attempt string) []string { return choose(attempt, f.Addresses()) }

// choose returns the first agents for a stream in the order of their rendezvous hashes.
func choose(attempt string, agents []string) []string {
	type holder struct {
		address string
		hash    uint64
	}
	// A pass over held records calls this for each, so the agents are not sorted.
	first := make([]holder, 0, maxAsked+1)
	compare := func(a, b holder) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.address, b.address)) }
	key := append(make([]byte, 0, maxKeyBytes), attempt...)
	key = append(key, 0)
	for _, address := range agents {
		next := holder{address: address, hash: xxhash.Sum64(append(key, address...))}
		if len(first) == maxAsked && compare(next, first[maxAsked-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(first, next, compare)
		first = slices.Insert(first, at, next)
		first = first[:min(len(first), maxAsked)]
	}
	addresses := make([]string, 0, len(first))
	for _, h := range first {
		addresses = append(addresses, h.address)
	}
	return addresses
}

// Wait waits until the exchanges under way have ended.
func (f *Finder) Wait() { f.group.Wait() }
