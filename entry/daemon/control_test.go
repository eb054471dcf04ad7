package daemon_test

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/lease"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// fakeControl serves one entry's feed, grants and claims.
type fakeControl struct {
	mutex        sync.Mutex
	config       *conf.Config
	roster       roster.Roster
	bans         []plane.Ban
	bansRevision uint64
	// withholdLeases stops the renewal of leases; refuseClaims rejects all claim steps.
	withholdLeases, refuseClaims bool
	changed                      chan struct{}
	heartbeats                   []plane.Heartbeat
	// bucketLevel is the number of tokens in each workspace's bucket, as of refilled.
	bucketLevel    map[string]float64
	refilled       time.Time
	granted        map[string]int64
	returned       map[string]int64
	spent          map[string]int64
	claims         map[string]*plane.ClaimReply
	requestDigests map[string][]byte
	// onClaim is called with each claim step before the step is committed.
	onClaim func(request *plane.ClaimRequest)
}

func newControl(config *conf.Config) *fakeControl {
	c := &fakeControl{
		config:         config,
		changed:        make(chan struct{}),
		bucketLevel:    map[string]float64{},
		refilled:       time.Now(),
		granted:        map[string]int64{},
		returned:       map[string]int64{},
		spent:          map[string]int64{},
		claims:         map[string]*plane.ClaimReply{},
		requestDigests: map[string][]byte{},
	}
	for name, workspace := range config.Workspaces {
		c.bucketLevel[name] = float64(workspace.Burst)
	}
	return c
}

func (c *fakeControl) handlers() map[string]link.Handler {
	return map[string]link.Handler{plane.MethodFeed: c.feed, plane.MethodGrant: c.grant, plane.MethodClaim: c.claim}
}

// change edits the state under the lock and pushes it to the entry.
func (c *fakeControl) change(edit func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	edit()
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *fakeControl) setConfig(edit func(*conf.Config)) {
	c.change(func() {
		next := copyConfig(c.config)
		next.Number++
		edit(next)
		c.config = next
	})
}

func (c *fakeControl) feed(_ context.Context, stream *wire.Stream) error {
	var hello plane.Hello
	if err := stream.Receive(&hello); err != nil {
		return err
	}
	heartbeats := make(chan plane.Heartbeat)
	go func() {
		defer close(heartbeats)
		for {
			var heartbeat plane.Heartbeat
			if stream.Receive(&heartbeat) != nil {
				return
			}
			heartbeats <- heartbeat
		}
	}()
	number, vector := hello.ConfigNumber, hello.Vector
	for {
		heartbeat, ok := (*plane.Heartbeat)(nil), true
		select {
		case got, open := <-heartbeats:
			heartbeat, ok = &got, open
		case <-c.watch(number):
		}
		if !ok {
			return nil
		}
		if err := stream.Send(c.update(&number, &vector, heartbeat)); err != nil {
			return err
		}
	}
}

// watch returns a channel that is closed at the next change, or is already closed if
// the given configuration number is out of date.
func (c *fakeControl) watch(number uint64) <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if number == c.config.Number {
		return c.changed
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// update returns the changes since number and vector, and answers a heartbeat.
func (c *fakeControl) update(number *uint64, vector *[]roster.VectorEntry, heartbeat *plane.Heartbeat) *plane.Update {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	update := &plane.Update{ConfigNumber: c.config.Number, Bans: c.bans, BansRevision: c.bansRevision}
	if c.config.Number > *number {
		update.Config = conf.Diff(nil, c.config)
		*number = c.config.Number
	}
	update.Roster = c.roster.DeltaSince(*vector)
	*vector = c.roster.Vector()
	if heartbeat == nil {
		return update
	}
	c.heartbeats = append(c.heartbeats, *heartbeat)
	update.Seq = heartbeat.Seq
	if !c.withholdLeases {
		update.Lease = span.Duration(lease.Length)
	}
	return update
}

func (c *fakeControl) grant(_ context.Context, stream *wire.Stream) error {
	var request plane.GrantRequest
	if err := stream.Receive(&request); err != nil {
		return err
	}
	return stream.Send(c.grants(&request))
}

func (c *fakeControl) grants(request *plane.GrantRequest) *plane.GrantReply {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	reply := &plane.GrantReply{}
	passed := time.Since(c.refilled).Seconds()
	c.refilled = time.Now()
	for name, workspace := range c.config.Workspaces {
		c.bucketLevel[name] = min(c.bucketLevel[name]+passed*float64(workspace.Rate), float64(workspace.Burst))
	}
	for i, a := range request.TokenRequests {
		workspace := c.config.Workspaces[a.Workspace]
		if _, pool := budget.Service(a.Workspace); pool {
			workspace = budget.Default.Pool()
			if _, known := c.bucketLevel[a.Workspace]; !known {
				c.bucketLevel[a.Workspace] = float64(workspace.Burst)
			}
		}
		c.bucketLevel[a.Workspace] += float64(a.UnusedTokens)
		c.returned[a.Workspace] += a.UnusedTokens
		c.spent[a.Workspace] += a.SpentTokens
		if a.WantedTokens == 0 {
			continue
		}
		grant := plane.Grant{Workspace: a.Workspace, LeaseID: request.Seq<<8 | uint64(i), Lifetime: span.Duration(2 * time.Second)}
		grant.ExceedsBurst = a.MinTokens > workspace.Burst
		if c.bucketLevel[a.Workspace] >= float64(max(a.MinTokens, 1)) {
			grant.Tokens = min(a.WantedTokens, int64(c.bucketLevel[a.Workspace]))
			c.bucketLevel[a.Workspace] -= float64(grant.Tokens)
			c.granted[a.Workspace] += grant.Tokens
		} else {
			lack := float64(max(a.MinTokens, 1)) - c.bucketLevel[a.Workspace]
			grant.Wait = span.Duration(lack / float64(workspace.Rate) * float64(time.Second))
		}
		reply.Grants = append(reply.Grants, grant)
	}
	return reply
}

func (c *fakeControl) claim(_ context.Context, stream *wire.Stream) error {
	var request plane.ClaimRequest
	if err := stream.Receive(&request); err != nil {
		return err
	}
	if c.onClaim != nil {
		c.onClaim(&request)
	}
	c.mutex.Lock()
	refused := c.refuseClaims
	reply := &plane.ClaimReply{Refused: plane.KindNoLeader}
	if !refused {
		reply = c.claimStep(&request)
	}
	c.mutex.Unlock()
	return stream.Send(reply)
}

// claimStep is a minimal version of the ledger's rules.
func (c *fakeControl) claimStep(request *plane.ClaimRequest) *plane.ClaimReply {
	key := string(request.Key)
	stored := c.claims[key]
	mine := stored != nil && bytes.Equal(stored.Attempt, request.Attempt)
	switch {
	case stored == nil && request.Verb == plane.VerbClaim:
		stored = &plane.ClaimReply{State: plane.ClaimTaken, Attempt: request.Attempt, Agent: request.Agent, Incarnation: request.Incarnation}
		c.claims[key], c.requestDigests[key] = stored, request.ContentDigest
		owned := *stored
		owned.State = plane.ClaimOwned
		return &owned
	case stored == nil:
		return &plane.ClaimReply{State: plane.ClaimNone}
	case !bytes.Equal(c.requestDigests[key], request.ContentDigest):
		return &plane.ClaimReply{State: plane.ClaimConflict}
	case mine && stored.State == plane.ClaimTaken && request.Verb == plane.VerbDone:
		stored.State, stored.Outcome = plane.ClaimDone, request.Outcome
	case mine && stored.State == plane.ClaimTaken && request.Verb == plane.VerbUnknown:
		stored.State = plane.ClaimUnknown
	case mine && stored.State == plane.ClaimTaken && request.Verb == plane.VerbVoid:
		delete(c.claims, key)
		return &plane.ClaimReply{State: plane.ClaimNone}
	}
	reply := *stored
	return &reply
}

func (c *fakeControl) claimStates() []plane.ClaimState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var states []plane.ClaimState
	for _, stored := range c.claims {
		states = append(states, stored.State)
	}
	return states
}

func copyConfig(config *conf.Config) *conf.Config {
	delta := conf.Diff(nil, config)
	next, _ := (*conf.Config)(nil).Apply(delta)
	empty := &conf.Config{Number: next.Number}
	copied, _ := empty.Apply(conf.Diff(empty, next))
	return copied
}

// outcome returns a recorded answer.
func outcome(status int32, body string) *call.Outcome {
	return &call.Outcome{Status: status, Body: []byte(body)}
}
