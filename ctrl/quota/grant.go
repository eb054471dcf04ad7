package quota

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/budget"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// Grant answers an entry's ask. The same Seq of the same incarnation gets the
// same reply. Refused is KindLeader when the replica does not lead.
func (o *Owner) Grant(ctx context.Context, ask *plane.GrantRequest) *plane.GrantReply {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	own, fresh := o.enter(ask)
	if own == nil {
		return &plane.GrantReply{Refused: plane.KindNoLeader}
	}
	if !fresh {
		select {
		case <-own.done:
			return own.reply
		case <-ctx.Done():
			return &plane.GrantReply{Refused: plane.KindTimeout}
		}
	}
	reply := o.serve(ctx, ask)
	own.reply = reply
	close(own.done)
	if reply.Refused != plane.KindNone {
		o.forget(ask)
	}
	return reply
}

// enter finds the answer of a Seq or makes room for it; nil when the replica
// does not lead.
func (o *Owner) enter(ask *plane.GrantRequest) (own *answer, fresh bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.leading || o.closing {
		return nil, false
	}
	who := caller{entry: ask.Entry, incarnation: ask.Incarnation}
	kept := o.entries[who]
	if kept == nil {
		kept = &replies{bySeq: map[uint64]*answer{}}
		o.entries[who] = kept
	}
	kept.last = time.Now()
	if own = kept.bySeq[ask.Seq]; own != nil {
		return own, false
	}
	own = &answer{done: make(chan struct{})}
	kept.bySeq[ask.Seq] = own
	kept.order = append(kept.order, ask.Seq)
	if len(kept.order) > mostReplies {
		delete(kept.bySeq, kept.order[0])
		kept.order = kept.order[1:]
	}
	return own, true
}

// forget lets a refused ask be tried again under its Seq.
func (o *Owner) forget(ask *plane.GrantRequest) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if kept := o.entries[caller{entry: ask.Entry, incarnation: ask.Incarnation}]; kept != nil {
		delete(kept.bySeq, ask.Seq)
	}
}

// serve grants what the reserves hold and waits for a commit where one would
// bring more.
func (o *Owner) serve(ctx context.Context, ask *plane.GrantRequest) *plane.GrantReply {
	reply := &plane.GrantReply{Grants: make([]plane.Grant, len(ask.TokenRequests))}
	open := make([]int, 0, len(ask.TokenRequests))
	for i := range ask.TokenRequests {
		open = append(open, i)
	}
	o.giveBack(ask)
	for {
		short, next, leading := o.pass(ask, reply, open)
		if !leading {
			reply.Refused = plane.KindNoLeader
			return reply
		}
		if len(short) == 0 {
			return reply
		}
		o.kick.Set()
		select {
		case <-next.done:
		case <-ctx.Done():
			return o.postpone(reply, short)
		}
		if next.failed {
			return o.postpone(reply, short)
		}
		open = short
	}
}

// postpone answers asks whose record was not committed in time.
func (o *Owner) postpone(reply *plane.GrantReply, short []int) *plane.GrantReply {
	for _, i := range short {
		reply.Grants[i].Wait = span.Duration(tick)
	}
	if len(short) == len(reply.Grants) {
		reply.Refused = plane.KindNoLeader
	}
	return reply
}

func (o *Owner) giveBack(ask *plane.GrantRequest) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	for i := range ask.TokenRequests {
		if owed := ask.TokenRequests[i].OverdraftTokens; owed > 0 {
			o.charge(ask.TokenRequests[i].Workspace, owed, now)
			continue
		}
		if requests := ask.TokenRequests[i].ServiceRequests; requests > 0 {
			o.credit(ask.TokenRequests[i].Workspace, requests, now)
			continue
		}
		s := o.spaces[ask.TokenRequests[i].Workspace]
		if s == nil || ask.TokenRequests[i].LeaseID == 0 {
			continue
		}
		s.advance(now)
		s.giveBack(ask.Entry, &ask.TokenRequests[i])
	}
}

// charge takes out of a bucket what an entry has spent without a grant. The
// caller holds the mutex.
func (o *Owner) charge(workspace string, owed int64, now time.Time) {
	o.follow()
	s := o.space(workspace)
	if s == nil {
		return
	}
	s.advance(now)
	s.owed += owed
	s.repay()
}

// credit adds to a pool what requests allow. The caller holds the mutex.
func (o *Owner) credit(account string, requests int64, now time.Time) {
	o.follow()
	s := o.space(account)
	if _, pool := budget.Service(account); s == nil || !pool {
		return
	}
	s.advance(now)
	s.bucket.Refund(min(o.RetryLimit.Credit(requests), s.bucket.Burst()-s.held()-s.bucket.Level()))
}

// pass answers the open asks and returns those for which a commit would bring
// enough, with the end of the present record.
func (o *Owner) pass(ask *plane.GrantRequest, reply *plane.GrantReply, open []int) (short []int, next *round, leading bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.leading || o.closing {
		return nil, nil, false
	}
	o.follow()
	now := time.Now()
	for _, i := range open {
		wish := &ask.TokenRequests[i]
		s := o.space(wish.Workspace)
		if s == nil {
			reply.Grants[i] = plane.Grant{Workspace: wish.Workspace, UnknownWorkspace: true}
			continue
		}
		s.advance(now)
		o.next++
		given, waits := s.grant(o.term<<32|o.next&(1<<32-1), ask.Entry, wish, now)
		reply.Grants[i] = given
		if waits {
			short = append(short, i)
		}
	}
	return short, o.round, true
}

// space returns the bucket of an account; nil when there is none.
func (o *Owner) space(name string) *space {
	if s := o.spaces[name]; s != nil {
		return s
	}
	limits, ok := o.limits(name)
	if !ok {
		return nil
	}
	horizon, seen, known := o.CommittedHorizon(name)
	if _, pool := budget.Service(name); pool && !known {
		// A pool that nobody remembers may just have been used up.
		horizon, seen, known = state.Reservation{}, time.Now(), true
	}
	s := newSpace(name, limits, horizon, seen, known)
	o.spaces[name] = s
	return s
}
