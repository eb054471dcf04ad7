// Package turns decides in which order the requests that wait for an engine that is full are
// admitted when they belong to several workspaces.
//
// The order is: resumed streams, requests that can still meet their objective, late requests;
// within these tiers the priority; within a priority the workspace that is furthest behind its
// fair share of the engine; within a workspace the earliest objective. Two small shares of the
// engine change this order: one for tiers and priorities that would not get a turn otherwise,
// and one for streams whose resumption is only claimed by their callers.
//
// The package performs no I/O and reads no clock. Its state is lost with the agent's process;
// an agent that starts begins with equal shares.
package turns

import (
	"math"
	"time"
)

const (
	// answerTokenWork is how many prompt tokens an answer token counts: an engine processes
	// 19 to 25 prompt tokens and generates about 5 answer tokens in a millisecond.
	answerTokenWork = 4
	// shareWindow is the time constant over which the work of workspaces is averaged.
	shareWindow = 4 * time.Second
	// ratioWindow is the time constant over which the served part of a priority's work is
	// measured. It is longer than shareWindow so that a priority with few requests a minute
	// gets its turn as well.
	ratioWindow = time.Minute
	// maxCredit is how much of the engine's time a workspace may save up from the unused part of
	// its share, so that a short burst of a workspace below its share does not wait for the
	// requests of others. maxCredits bounds the sum over all workspaces, and thereby the time
	// for which a workspace gets no turn when all others come back at once.
	maxCredit  = 250 * time.Millisecond
	maxCredits = 4 * time.Second
	// tieShare is the part of the credit by which two workspaces may differ and still count as
	// equally far behind.
	tieShare = 0.5
	// smallShare is the part of the engine's work that is kept for tiers and priorities that
	// are not the most urgent ones waiting. It is small because a late request that is served
	// takes the time of one that would be on time.
	smallShare = 0.05
	// unknownShare is the part of the engine's work that may go to claimed resumptions before
	// other requests. It bounds what a caller gains that marks every request as resumed.
	unknownShare = 0.1
	// lightUse is the part of a workspace's use up to which another workspace is expected to
	// continue to precede it.
	lightUse = 0.5
	// A workspace that uses overUse of the engine more than an equal part leaves a reserve to the
	// others: reservePart of what they use. Without it, each request of the others waits until a
	// running request ends. A smaller overUse would also hold for small workspaces that happen
	// to send a few requests more than usual.
	overUse     = 0.1
	reservePart = 0.125
	// minActiveShare is the part of the recent work from which a workspace counts as using the
	// engine.
	minActiveShare = 0.002
)

// Entry describes one request to the order.
type Entry struct {
	Workspace string
	// Priority is the request's priority; 0 is the highest. It contains the workspace's
	// priority before the route's.
	Priority int32
	// Resumed means that the caller has received a part of the answer, or claims so. Known
	// means that this is certain because the record of the stream was found.
	Resumed, Known bool
	// OnTime means that the request can still meet its objective.
	OnTime bool
	// Arrived is when the request arrived, Objective when its first token is due.
	Arrived, Objective time.Time
	// Work is the expected engine work, see Work.
	Work float64
}

// Work returns the expected engine work of a request, in prompt tokens.
func Work(promptTokens, answerTokens int64) float64 {
	return float64(max(promptTokens, 0) + answerTokenWork*max(answerTokens, 0) + 1)
}

// Place is one place in the order.
type Place struct {
	// Index is the entry's index in the argument of Book.Order.
	Index int
	// Resumed means that the request precedes as a resumed stream.
	Resumed bool
	// SmallShare means that the request precedes more urgent ones by the small share.
	SmallShare bool
	// Low means that the request is not of the most urgent class waiting, but may get a turn by
	// the small share. LowWait is then the time after which that is its turn.
	Low     bool
	LowWait time.Duration
}

// flow is the part of a workspace's requests that have the same priority.
type flow struct {
	priority  int32
	workspace string
}

// Book keeps the recent work of an engine. The zero value is ready to use. A Book is not safe
// for concurrent use.
type Book struct {
	// flows is the recently admitted work by flow, over shareWindow.
	flows map[flow]average
	// classes is the recently admitted work by class, over shareWindow.
	classes map[class]average
	// offered and served are the arrived and the admitted work by priority, over ratioWindow.
	offered, served map[int32]average
	// small and unknown are the work admitted by the two shares, over shareWindow.
	small, unknown average
	// tags holds, by workspace, the virtual time at which its admitted work ends, with the
	// workspaces sharing the engine equally; virtual is the current virtual time. Both are in
	// units of work.
	tags    map[string]float64
	virtual float64
	// returns is, by workspace, until when the work of its refused callers takes its share.
	returns map[string]time.Time
	// recent is the last result of summarize, valid as of recentAt until the next Admit.
	recent   *summary
	recentAt time.Time
	// pruned is when unused accounts were last removed.
	pruned time.Time
}

// average is an exponentially decaying sum, as of a point in time.
type average struct {
	value float64
	at    time.Time
}

func (a average) read(window time.Duration, now time.Time) float64 {
	return a.value * math.Exp(-max(now.Sub(a.at), 0).Seconds()/window.Seconds())
}

func (a average) add(value float64, window time.Duration, now time.Time) average {
	return average{value: a.read(window, now) + value, at: now}
}

// Offer records a request that has arrived.
func (b *Book) Offer(e Entry, now time.Time) {
	b.prepare()
	b.offered[e.Priority] = b.offered[e.Priority].add(e.Work, ratioWindow, now)
}

// Admit records a request that is admitted at a place of the order.
func (b *Book) Admit(e Entry, place Place, now time.Time) {
	b.prepare()
	b.prune(now)
	s := b.summarize(now)
	b.recent = nil
	start := max(b.tags[e.Workspace], b.virtual-s.credit())
	b.tags[e.Workspace] = start + e.Work
	b.virtual = max(b.virtual, start)
	key, c := flow{e.Priority, e.Workspace}, classOf(e, place.Resumed)
	b.flows[key] = b.flows[key].add(e.Work, shareWindow, now)
	b.classes[c] = b.classes[c].add(e.Work, shareWindow, now)
	b.served[e.Priority] = b.served[e.Priority].add(e.Work, ratioWindow, now)
	if place.SmallShare {
		b.small = b.small.add(e.Work, shareWindow, now)
	}
	if place.Resumed && !e.Known {
		b.unknown = b.unknown.add(e.Work, shareWindow, now)
	}
}

func (b *Book) prepare() {
	if b.tags != nil {
		return
	}
	b.flows, b.classes, b.tags = map[flow]average{}, map[class]average{}, map[string]float64{}
	b.offered, b.served, b.returns = map[int32]average{}, map[int32]average{}, map[string]time.Time{}
}

// prune removes accounts that no longer have an effect, at most once in shareWindow.
func (b *Book) prune(now time.Time) {
	if now.Sub(b.pruned) < shareWindow {
		return
	}
	b.pruned = now
	s := b.summarize(now)
	for key, a := range b.flows {
		if a.read(shareWindow, now) < 1 {
			delete(b.flows, key)
		}
	}
	for key, a := range b.classes {
		if a.read(shareWindow, now) < 1 {
			delete(b.classes, key)
		}
	}
	for _, accounts := range []map[int32]average{b.offered, b.served} {
		for key, a := range accounts {
			if a.read(ratioWindow, now) < 1 {
				delete(accounts, key)
			}
		}
	}
	for workspace, tag := range b.tags {
		if tag <= b.virtual-s.credit() || s.use[workspace] < 1 {
			delete(b.tags, workspace)
		}
	}
	for workspace, until := range b.returns {
		if until.Before(now) {
			delete(b.returns, workspace)
		}
	}
	b.recent = nil
}

// summary is the recent work of an engine at one time.
type summary struct {
	// use is the recent work by workspace, total its sum.
	use   map[string]float64
	total float64
	// active is the number of workspaces that use the engine, at least 1.
	active int
}

// summarize returns the recent work. Its result must not be modified.
func (b *Book) summarize(now time.Time) summary {
	if b.recent != nil && b.recentAt.Equal(now) {
		return *b.recent
	}
	s := summary{use: map[string]float64{}}
	for key, a := range b.flows {
		work := a.read(shareWindow, now)
		s.use[key.workspace] += work
		s.total += work
	}
	for _, work := range s.use {
		if work > minActiveShare*s.total {
			s.active++
		}
	}
	s.active = max(s.active, 1)
	b.recent, b.recentAt = &s, now
	return s
}

// rate returns the work that the engine does in a second.
func (s summary) rate() float64 { return s.total / shareWindow.Seconds() }

// credit returns the work that a workspace may be behind the others and still catch up.
func (s summary) credit() float64 {
	return s.rate() * min(maxCredit, maxCredits/time.Duration(s.active)).Seconds()
}

// Share returns a workspace's part of the recent work, and whether that is more than an equal
// part.
func (b *Book) Share(workspace string, now time.Time) (share float64, over bool) {
	s := b.summarize(now)
	if s.total == 0 {
		return 0, false
	}
	share = s.use[workspace] / s.total
	return share, share > 1/float64(s.active)
}

// Delay returns by which factor the wait of a request exceeds the time that the requests now
// waiting before it take, because requests that arrive later will precede it: those of more
// urgent priorities, and those of workspaces that use much less of the engine. It assumes that
// these continue to use the engine as they did recently.
func (b *Book) Delay(e Entry, now time.Time) float64 {
	s, ahead := b.summarize(now), 0.0
	if s.total == 0 {
		return 1
	}
	for key, a := range b.flows {
		lighter := key.priority == e.Priority && s.use[key.workspace] < lightUse*s.use[e.Workspace]
		if key.priority < e.Priority || lighter {
			ahead += a.read(shareWindow, now)
		}
	}
	return 1 / max(1-ahead/s.total, smallShare)
}

// Reserve returns which part of the engine a workspace has to leave to the others: 0 unless it
// uses much more than an equal part.
func (b *Book) Reserve(workspace string, now time.Time) float64 {
	s := b.summarize(now)
	limit := (overUse + 1/float64(s.active)) * s.total
	if s.use[workspace] <= limit {
		return 0
	}
	others := 0.0
	for _, work := range s.use {
		if work <= limit {
			others += work
		}
	}
	return reservePart * others / s.total
}
