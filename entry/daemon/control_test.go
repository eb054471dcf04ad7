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
	onClaim func(ask *plane.ClaimRequest)
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
	beats := make(chan plane.Heartbeat)
	go func() {
		defer close(beats)
		for {
			var beat plane.Heartbeat
			if stream.Receive(&beat) != nil {
				return
			}
			beats <- beat
		}
	}()
	number, vector := hello.ConfigNumber, hello.Vector
	for {
		beat, ok := (*plane.Heartbeat)(nil), true
		select {
		case got, open := <-beats:
			beat, ok = &got, open
		case <-c.watch(number):
		}
		if !ok {
			return nil
		}
		if err := stream.Send(c.update(&number, &vector, beat)); err != nil {
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
func (c *fakeControl) update(number *uint64, vector *[]roster.VectorEntry, beat *plane.Heartbeat) *plane.Update {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	update := &plane.Update{ConfigNumber: c.config.Number, Bans: c.bans, BansRevision: c.bansRevision}
	if c.config.Number > *number {
		update.Config = conf.Diff(nil, c.config)
		*number = c.config.Number
	}
	update.Roster = c.roster.DeltaSince(*vector)
	*vector = c.roster.Vector()
	if beat == nil {
		return update
	}
	c.heartbeats = append(c.heartbeats, *beat)
	update.Seq = beat.Seq
	if !c.withholdLeases {
		update.Lease = span.Duration(lease.Length)
	}
	return update
}

func (c *fakeControl) grant(_ context.Context, stream *wire.Stream) error {
	var ask plane.GrantRequest
	if err := stream.Receive(&ask); err != nil {
		return err
	}
	return stream.Send(c.grants(&ask))
}

func (c *fakeControl) grants(ask *plane.GrantRequest) *plane.GrantReply {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	reply := &plane.GrantReply{}
	passed := time.Since(c.refilled).Seconds()
	c.refilled = time.Now()
	for name, workspace := range c.config.Workspaces {
		c.bucketLevel[name] = min(c.bucketLevel[name]+passed*float64(workspace.Rate), float64(workspace.Burst))
	}
	for i, a := range ask.TokenRequests {
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
		grant := plane.Grant{Workspace: a.Workspace, LeaseID: ask.Seq<<8 | uint64(i), Lifetime: span.Duration(2 * time.Second)}
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
	var ask plane.ClaimRequest
	if err := stream.Receive(&ask); err != nil {
		return err
	}
	if c.onClaim != nil {
		c.onClaim(&ask)
	}
	c.mutex.Lock()
	deaf := c.refuseClaims
	reply := &plane.ClaimReply{Refused: plane.KindNoLeader}
	if !deaf {
		reply = c.claimStep(&ask)
	}
	c.mutex.Unlock()
	return stream.Send(reply)
}

// claimStep is a minimal version of the ledger's rules.
func (c *fakeControl) claimStep(ask *plane.ClaimRequest) *plane.ClaimReply {
	key := string(ask.Key)
	held := c.claims[key]
	mine := held != nil && bytes.Equal(held.Attempt, ask.Attempt)
	switch {
	case held == nil && ask.Verb == plane.VerbClaim:
		held = &plane.ClaimReply{State: plane.ClaimTaken, Attempt: ask.Attempt, Agent: ask.Agent, Incarnation: ask.Incarnation}
		c.claims[key], c.requestDigests[key] = held, ask.ContentDigest
		owned := *held
		owned.State = plane.ClaimOwned
		return &owned
	case held == nil:
		return &plane.ClaimReply{State: plane.ClaimNone}
	case !bytes.Equal(c.requestDigests[key], ask.ContentDigest):
		return &plane.ClaimReply{State: plane.ClaimConflict}
	case mine && held.State == plane.ClaimTaken && ask.Verb == plane.VerbDone:
		held.State, held.Outcome = plane.ClaimDone, ask.Outcome
	case mine && held.State == plane.ClaimTaken && ask.Verb == plane.VerbUnknown:
		held.State = plane.ClaimUnknown
	case mine && held.State == plane.ClaimTaken && ask.Verb == plane.VerbVoid:
		delete(c.claims, key)
		return &plane.ClaimReply{State: plane.ClaimNone}
	}
	reply := *held
	return &reply
}

func (c *fakeControl) claimStates() []plane.ClaimState {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var states []plane.ClaimState
	for _, held := range c.claims {
		states = append(states, held.State)
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
