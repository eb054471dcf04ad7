// Package ledger stores the claims of requests that must run at most once, and their
// outcomes. It is part of the replicated state machine: the same requests in the same
// order result in the same state at every replica.
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
	// MaxClaims is the maximum number of claims in the table.
	MaxClaims = 1 << 18
	// MaxBytes is the maximum memory for claims and outcomes, as estimated by the ledger.
	MaxBytes = 256 << 20
	// MaxBodyBytes is the size of the largest response body that is recorded completely.
	MaxBodyBytes = 64 << 10
	// minOpenRetention is the minimum time for which a claim without an outcome is kept.
	minOpenRetention = 24 * time.Hour
	// claimOverhead is the estimated memory of a claim in addition to its fields, in bytes.
	claimOverhead = 512
	// outcomeReserve is the memory reserved in each claim for an outcome without a body, in
	// bytes.
	outcomeReserve = 512
)

// Claim is one claim of a request. An entry takes it before the request is executed, and
// the outcome is recorded in it afterwards.
type Claim struct {
	Key           []byte `protobuf:"bytes,1,opt"`
	Attempt       []byte `protobuf:"bytes,2,opt"`
	Entry         string `protobuf:"bytes,3,opt"`
	Agent         string `protobuf:"bytes,4,opt"`
	Incarnation   uint64 `protobuf:"varint,5,opt"`
	ContentDigest []byte `protobuf:"bytes,6,opt"`
	Workspace     string `protobuf:"bytes,7,opt"`
	Route         string `protobuf:"bytes,8,opt"`
	// Window is how long the claim is kept after its outcome, in nanoseconds.
	Window  int64            `protobuf:"varint,9,opt"`
	State   plane.ClaimState `protobuf:"bytes,10,opt"`
	Outcome *call.Outcome    `protobuf:"bytes,11,opt"`
	// ExpiresAt is when the claim is removed, in nanoseconds of committed time.
	ExpiresAt int64 `protobuf:"varint,12,opt"`

	// heapIndex is the claim's index in the ledger's heap.
	heapIndex int
}

// Ledger is the table of claims. The zero value is empty and ready for use by
// one goroutine.
type Ledger struct {
	// MaxClaims and MaxBytes limit the table; zero selects the constants of the same
	// names. They must be equal at every replica.
	MaxClaims int
	MaxBytes  int64

	claims    map[string]*Claim
	expiries  expiryHeap
	usedBytes int64
	// byWorkspace holds each workspace's share of the number of claims and of
	// usedBytes.
	byWorkspace map[string]*usage
}

// usage is the share of the table that one workspace uses.
type usage struct {
	claims int
	bytes  int64
}

// Apply applies one request at a committed time and returns the resulting state of the
// claim.
func (l *Ledger) Apply(request *plane.ClaimRequest, now int64) *plane.ClaimReply {
	l.Expire(now)
	claim := l.claims[string(request.Key)]
	if request.Verb == plane.VerbClaim {
		return l.applyClaim(claim, request, now)
	}
	if claim == nil {
		return &plane.ClaimReply{State: plane.ClaimNone}
	}
	if request.Verb == plane.VerbRead && claim.conflicts(request) {
		return &plane.ClaimReply{State: plane.ClaimConflict}
	}
	if claim.State != plane.ClaimTaken || !bytes.Equal(claim.Attempt, request.Attempt) {
		return claim.describe()
	}
	switch request.Verb {
	case plane.VerbDone:
		l.recordOutcome(claim, request.Outcome, now)
	case plane.VerbUnknown:
		l.close(claim, plane.ClaimUnknown, now)
	case plane.VerbVoid:
		l.remove(claim)
		return &plane.ClaimReply{State: plane.ClaimNone}
	}
	return claim.describe()
}

// applyClaim opens a new claim, or returns the state of the existing one. A resend of the
// attempt that holds the claim owns it again.
func (l *Ledger) applyClaim(claim *Claim, request *plane.ClaimRequest, now int64) *plane.ClaimReply {
	if claim == nil {
		return l.open(request, now)
	}
	if claim.conflicts(request) {
		return &plane.ClaimReply{State: plane.ClaimConflict}
	}
	reply := claim.describe()
	if claim.State == plane.ClaimTaken && bytes.Equal(claim.Attempt, request.Attempt) {
		reply.State = plane.ClaimOwned
	}
	return reply
}

// conflicts reports whether the claim was opened for a request with different content.
func (c *Claim) conflicts(request *plane.ClaimRequest) bool {
	return len(request.ContentDigest) > 0 && len(c.ContentDigest) > 0 && !bytes.Equal(request.ContentDigest, c.ContentDigest)
}

func (l *Ledger) open(request *plane.ClaimRequest, now int64) *plane.ClaimReply {
	claim := &Claim{
		Key: request.Key, Attempt: request.Attempt, Entry: request.Entry, Agent: request.Agent, Incarnation: request.Incarnation,
		ContentDigest: request.ContentDigest, Workspace: request.Workspace, Route: request.Route, Window: int64(request.Window), State: plane.ClaimTaken,
	}
	if claim.Window <= 0 {
		claim.Window = int64(conf.DefaultReplayWindow)
	}
	if l.full(claim) {
		return &plane.ClaimReply{Refused: plane.KindFull, State: plane.ClaimNone}
	}
	claim.ExpiresAt = now + max(claim.Window, int64(minOpenRetention))
	l.add(claim)
	reply := claim.describe()
	reply.State = plane.ClaimOwned
	return reply
}

// full reports whether there is no room for a new claim. A workspace may use at most half
// of the table, so that it cannot displace the claims of others.
func (l *Ledger) full(claim *Claim) bool {
	size := claim.size()
	if len(l.claims) >= l.maxClaims() || l.usedBytes+size > l.maxBytes() {
		return true
	}
	own := l.byWorkspace[claim.Workspace]
	return own != nil && (2*own.claims >= l.maxClaims() || 2*(own.bytes+size) > l.maxBytes())
}

// recordOutcome records the outcome of a claim. If the outcome is too large, or no memory
// is left for it, only its status and digest are kept.
func (l *Ledger) recordOutcome(claim *Claim, outcome *call.Outcome, now int64) {
	recorded := &call.Outcome{}
	if outcome != nil {
		*recorded = *outcome
	}
	if len(recorded.BodyDigest) == 0 && !recorded.Truncated {
		sum := sha256.Sum256(recorded.Body)
		recorded.BodyDigest = sum[:]
	}
	if len(recorded.Body) > MaxBodyBytes || l.usedBytes+outcomeSize(recorded) > l.maxBytes() {
		recorded.Truncated, recorded.Body, recorded.Header = true, nil, nil
	}
	l.addUsage(claim, 0, -claim.size())
	claim.Outcome = recorded
	l.addUsage(claim, 0, claim.size())
	l.close(claim, plane.ClaimDone, now)
}

// close sets the final state of a claim and starts its window.
func (l *Ledger) close(claim *Claim, state plane.ClaimState, now int64) {
	claim.State = state
	claim.ExpiresAt = now + claim.Window
	heap.Fix(&l.expiries, claim.heapIndex)
}

// Expire removes the claims that have expired at a committed time.
func (l *Ledger) Expire(now int64) {
	for len(l.expiries) > 0 && l.expiries[0].ExpiresAt <= now {
		l.remove(l.expiries[0])
	}
}

// NextExpiry returns the committed time at which the next claim expires, and false if
// there are no claims.
func (l *Ledger) NextExpiry() (int64, bool) {
	if len(l.expiries) == 0 {
		return 0, false
	}
	return l.expiries[0].ExpiresAt, true
}

// Size returns the number of claims and their estimated memory in bytes.
func (l *Ledger) Size() (claims int, bytes int64) { return len(l.claims), l.usedBytes }

// Snapshot returns all claims, sorted by key.
func (l *Ledger) Snapshot() []Claim {
	claims := make([]Claim, 0, len(l.claims))
	for _, claim := range l.claims {
		claims = append(claims, *claim)
	}
	slices.SortFunc(claims, func(a, b Claim) int { return bytes.Compare(a.Key, b.Key) })
	return claims
}

// Restore replaces the table by the claims of a snapshot.
func (l *Ledger) Restore(claims []Claim) {
	l.claims, l.expiries, l.usedBytes, l.byWorkspace = nil, nil, 0, nil
	for i := range claims {
		l.add(&claims[i])
	}
}

func (l *Ledger) add(claim *Claim) {
	if l.claims == nil {
		l.claims = map[string]*Claim{}
	}
	l.claims[string(claim.Key)] = claim
	heap.Push(&l.expiries, claim)
	l.addUsage(claim, 1, claim.size())
}

// addUsage adds a number of claims and bytes to the usage of the table and of the claim's
// workspace.
func (l *Ledger) addUsage(claim *Claim, claims int, size int64) {
	l.usedBytes += size
	if l.byWorkspace == nil {
		l.byWorkspace = map[string]*usage{}
	}
	own := l.byWorkspace[claim.Workspace]
	if own == nil {
		own = &usage{}
		l.byWorkspace[claim.Workspace] = own
	}
	own.claims += claims
	own.bytes += size
	if own.claims == 0 {
		delete(l.byWorkspace, claim.Workspace)
	}
}

func (l *Ledger) remove(claim *Claim) {
	heap.Remove(&l.expiries, claim.heapIndex)
	delete(l.claims, string(claim.Key))
	l.addUsage(claim, -1, -claim.size())
}

func (l *Ledger) maxClaims() int {
	if l.MaxClaims == 0 {
		return MaxClaims
	}
	return l.MaxClaims
}

func (l *Ledger) maxBytes() int64 {
	if l.MaxBytes == 0 {
		return MaxBytes
	}
	return l.MaxBytes
}

func (c *Claim) size() int64 {
	fields := 2*len(c.Key) + len(c.Attempt) + len(c.Entry) + len(c.Agent) + len(c.ContentDigest) + len(c.Workspace) + len(c.Route)
	return int64(claimOverhead+outcomeReserve+fields) + outcomeSize(c.Outcome)
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

// expiryHeap is a heap of claims ordered by expiry.
type expiryHeap []*Claim

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].ExpiresAt < h[j].ExpiresAt }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *expiryHeap) Push(x any) {
	claim := x.(*Claim)
	claim.heapIndex = len(*h)
	*h = append(*h, claim)
}

func (h *expiryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
