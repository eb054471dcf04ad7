// Package ledger holds the claims of requests that must run at most once and
// their outcomes. It is part of the replicated machine: the same steps in the
// same order give the same state at every replica.
package ledger

import (
	"bytes"
	"container/heap"
	"crypto/sha256"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// MaxClaims is the number of claims kept at once.
	MaxClaims = 1 << 18
	// MaxBytes is the memory that claims and outcomes may take, in bytes, by
	// the ledger's own count.
	MaxBytes = 256 << 20
	// MaxBodyBytes is the largest answer recorded in full, in bytes.
	MaxBodyBytes = 64 << 10
	// openLife is how long a claim without an outcome is kept at least.
	openLife = 24 * time.Hour
	// claimBytes is what a claim takes besides its fields, in bytes.
	claimBytes = 512
	// outcomeBytes is reserved in each claim for an outcome without body.
	outcomeBytes = 512
)

// Claim is one claim as it stands.
type Claim struct {
	Key           []byte           `protobuf:"bytes,1,opt"`
	Attempt       []byte           `protobuf:"bytes,2,opt"`
	Entry         string           `protobuf:"bytes,3,opt"`
	Agent         string           `protobuf:"bytes,4,opt"`
	Incarnation   uint64           `protobuf:"varint,5,opt"`
	ContentDigest []byte           `protobuf:"bytes,6,opt"`
	Workspace     string           `protobuf:"bytes,7,opt"`
	Route         string           `protobuf:"bytes,8,opt"`
	Window        int64            `protobuf:"varint,9,opt"`
	State         plane.ClaimState `protobuf:"bytes,10,opt"`
	Outcome       *call.Outcome    `protobuf:"bytes,11,opt"`
	// ExpiresAt is when the claim is forgotten, in nanoseconds of committed time.
	ExpiresAt int64 `protobuf:"varint,12,opt"`

	// place is the claim's index in the ledger's heap.
	place int
}

// Ledger is the table of claims. The zero value is empty and ready for use by
// one goroutine.
type Ledger struct {
	// MaxClaims and Bytes bound the table; zero means MostClaims and MostBytes.
	// They must be equal at every replica.
	MaxClaims int
	MaxBytes  int64

	claims map[string]*Claim
	due    queue
	used   int64
	// own is each workspace's part of the number of claims and of used.
	own map[string]*part
}

// part is one workspace's part of the table.
type part struct {
	claims int
	used   int64
}

// Apply takes one step at a committed time and returns how the claim stands
// after it.
func (l *Ledger) Apply(ask *plane.ClaimRequest, now int64) *plane.ClaimReply {
	l.Expire(now)
	claim := l.claims[string(ask.Key)]
	if ask.Verb == plane.VerbClaim {
		return l.claim(claim, ask, now)
	}
	if claim == nil {
		return &plane.ClaimReply{State: plane.ClaimNone}
	}
	if ask.Verb == plane.VerbRead && claim.mixed(ask) {
		return &plane.ClaimReply{State: plane.ClaimConflict}
	}
	if claim.State != plane.ClaimTaken || !bytes.Equal(claim.Attempt, ask.Attempt) {
		return claim.describe()
	}
	switch ask.Verb {
	case plane.VerbDone:
		l.finish(claim, ask.Outcome, now)
	case plane.VerbUnknown:
		l.close(claim, plane.ClaimUnknown, now)
	case plane.VerbVoid:
		l.remove(claim)
		return &plane.ClaimReply{State: plane.ClaimNone}
	}
	return claim.describe()
}

func (l *Ledger) claim(claim *Claim, ask *plane.ClaimRequest, now int64) *plane.ClaimReply {
	if claim == nil {
		return l.open(ask, now)
	}
	if claim.mixed(ask) {
		return &plane.ClaimReply{State: plane.ClaimConflict}
	}
	reply := claim.describe()
	if claim.State == plane.ClaimTaken && bytes.Equal(claim.Attempt, ask.Attempt) {
		reply.State = plane.ClaimOwned
	}
	return reply
}

// mixed reports whether the claim's key was used for a request of other
// content.
func (c *Claim) mixed(ask *plane.ClaimRequest) bool {
	return len(ask.ContentDigest) > 0 && len(c.ContentDigest) > 0 && !bytes.Equal(ask.ContentDigest, c.ContentDigest)
}

func (l *Ledger) open(ask *plane.ClaimRequest, now int64) *plane.ClaimReply {
	claim := &Claim{
		Key: ask.Key, Attempt: ask.Attempt, Entry: ask.Entry, Agent: ask.Agent, Incarnation: ask.Incarnation,
		ContentDigest: ask.ContentDigest, Workspace: ask.Workspace, Route: ask.Route, Window: int64(ask.Window), State: plane.ClaimTaken,
	}
	if claim.Window <= 0 {
		claim.Window = int64(conf.DefaultReplayWindow)
	}
	if l.full(claim) {
		return &plane.ClaimReply{Refused: plane.KindFull, State: plane.ClaimNone}
	}
	claim.ExpiresAt = now + max(claim.Window, int64(openLife))
	l.add(claim)
	reply := claim.describe()
	reply.State = plane.ClaimOwned
	return reply
}

// full reports whether there is no room for a new claim. One workspace gets at
// most half of the table, so that it cannot keep the others from theirs.
func (l *Ledger) full(claim *Claim) bool {
	size := claim.size()
	if len(l.claims) >= l.most() || l.used+size > l.bytes() {
		return true
	}
	own := l.own[claim.Workspace]
	return own != nil && (2*own.claims >= l.most() || 2*(own.used+size) > l.bytes())
}

// finish records an outcome. One that is too large, or for which no memory is
// left, keeps its status and digest only.
func (l *Ledger) finish(claim *Claim, outcome *call.Outcome, now int64) {
	kept := &call.Outcome{}
	if outcome != nil {
		*kept = *outcome
	}
	if len(kept.BodyDigest) == 0 && !kept.Truncated {
		sum := sha256.Sum256(kept.Body)
		kept.BodyDigest = sum[:]
	}
	if len(kept.Body) > MaxBodyBytes || l.used+outcomeSize(kept) > l.bytes() {
		kept.Truncated, kept.Body, kept.Header = true, nil, nil
	}
	l.count(claim, 0, -claim.size())
	claim.Outcome = kept
	l.count(claim, 0, claim.size())
	l.close(claim, plane.ClaimDone, now)
}

// close gives a claim its final state; its window starts now.
func (l *Ledger) close(claim *Claim, state plane.ClaimState, now int64) {
	claim.State = state
	claim.ExpiresAt = now + claim.Window
	heap.Fix(&l.due, claim.place)
}

// Expire forgets the claims whose window is over at a committed time.
func (l *Ledger) Expire(now int64) {
	for len(l.due) > 0 && l.due[0].ExpiresAt <= now {
		l.remove(l.due[0])
	}
}

// NextExpiry returns the committed time at which the next claim is forgotten; false
// when there is none.
func (l *Ledger) NextExpiry() (int64, bool) {
	if len(l.due) == 0 {
		return 0, false
	}
	return l.due[0].ExpiresAt, true
}

// Size returns the number of claims and the memory they take, in bytes.
func (l *Ledger) Size() (claims int, bytes int64) { return len(l.claims), l.used }

// Snapshot returns all claims, sorted by key.
func (l *Ledger) Snapshot() []Claim {
	claims := make([]Claim, 0, len(l.claims))
	for _, claim := range l.claims {
		claims = append(claims, *claim)
	}
	slices.SortFunc(claims, func(a, b Claim) int { return bytes.Compare(a.Key, b.Key) })
	return claims
}

// Restore replaces the table.
func (l *Ledger) Restore(claims []Claim) {
	l.claims, l.due, l.used, l.own = nil, nil, 0, nil
	for i := range claims {
		l.add(&claims[i])
	}
}

func (l *Ledger) add(claim *Claim) {
	if l.claims == nil {
		l.claims = map[string]*Claim{}
	}
	l.claims[string(claim.Key)] = claim
	heap.Push(&l.due, claim)
	l.count(claim, 1, claim.size())
}

// count adds to the sums of the table and of the claim's workspace.
func (l *Ledger) count(claim *Claim, claims int, size int64) {
	l.used += size
	if l.own == nil {
		l.own = map[string]*part{}
	}
	own := l.own[claim.Workspace]
	if own == nil {
		own = &part{}
		l.own[claim.Workspace] = own
	}
	own.claims += claims
	own.used += size
	if own.claims == 0 {
		delete(l.own, claim.Workspace)
	}
}

func (l *Ledger) remove(claim *Claim) {
	heap.Remove(&l.due, claim.place)
	delete(l.claims, string(claim.Key))
	l.count(claim, -1, -claim.size())
}

func (l *Ledger) most() int {
	if l.MaxClaims == 0 {
		return MaxClaims
	}
	return l.MaxClaims
}

func (l *Ledger) bytes() int64 {
	if l.MaxBytes == 0 {
		return MaxBytes
	}
	return l.MaxBytes
}

func (c *Claim) size() int64 {
	fields := 2*len(c.Key) + len(c.Attempt) + len(c.Entry) + len(c.Agent) + len(c.ContentDigest) + len(c.Workspace) + len(c.Route)
	return int64(claimBytes+outcomeBytes+fields) + outcomeSize(c.Outcome)
}

func outcomeSize(outcome *call.Outcome) int64 {
	if outcome == nil {
		return 0
	}
	size := len(outcome.Body)
	for _, field := range outcome.Header {
		size += len(field.Name) + len(field.Value)
	}
	return int64(size)
}

func (c *Claim) describe() *plane.ClaimReply {
	return &plane.ClaimReply{State: c.State, Attempt: c.Attempt, Agent: c.Agent, Incarnation: c.Incarnation, Outcome: c.Outcome}
}

// queue is a heap of claims by the time they are forgotten.
type queue []*Claim

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].ExpiresAt < q[j].ExpiresAt }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}

func (q *queue) Push(x any) {
	claim := x.(*Claim)
	claim.place = len(*q)
	*q = append(*q, claim)
}

func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
