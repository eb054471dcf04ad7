package quota

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// Grant answers an entry's request for tokens. A resend with the same Seq from the same
// incarnation receives the same reply. Refused is plane.KindNoLeader when the replica
// does not lead.
func (o *Owner) Grant(ctx context.Context, request *plane.GrantRequest) *plane.GrantReply {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	pending, fresh := o.findOrAddReply(request)
	if pending == nil {
		return &plane.GrantReply{Refused: plane.KindNoLeader}
	}
	if !fresh {
		select {
		case <-pending.done:
			return pending.reply
		case <-ctx.Done():
			return &plane.GrantReply{Refused: plane.KindTimeout}
		}
	}
	reply := o.serve(ctx, request)
	pending.reply = reply
	close(pending.done)
	if reply.Refused != plane.KindNone {
		o.dropReply(request)
	}
	return reply
}

// findOrAddReply returns the reply to the request's Seq, adding a pending one if it is
// new. It returns nil when the replica does not lead.
func (o *Owner) findOrAddReply(request *plane.GrantRequest) (pending *pendingReply, fresh bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.leading || o.closing {
		return nil, false
	}
	key := entryKey{entry: request.Entry, incarnation: request.Incarnation}
	recent := o.repliesByEntry[key]
	if recent == nil {
		recent = &entryReplies{bySeq: map[uint64]*pendingReply{}}
		o.repliesByEntry[key] = recent
	}
	recent.lastUsed = time.Now()
	if pending = recent.bySeq[request.Seq]; pending != nil {
		return pending, false
	}
	pending = &pendingReply{done: make(chan struct{})}
	recent.bySeq[request.Seq] = pending
	recent.order = append(recent.order, request.Seq)
	if len(recent.order) > maxReplies {
		delete(recent.bySeq, recent.order[0])
		recent.order = recent.order[1:]
	}
	return pending, true
}

// dropReply removes the reply to a refused request, so that the request may be retried
// with the same Seq.
func (o *Owner) dropReply(request *plane.GrantRequest) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if recent := o.repliesByEntry[entryKey{entry: request.Entry, incarnation: request.Incarnation}]; recent != nil {
		delete(recent.bySeq, request.Seq)
	}
}

// serve grants tokens from the reserves. Where a reserve is too small but the bucket is
// not, it waits until a record that raises the reserve is committed.
func (o *Owner) serve(ctx context.Context, request *plane.GrantRequest) *plane.GrantReply {
	reply := &plane.GrantReply{Grants: make([]plane.Grant, len(request.TokenRequests))}
	open := make([]int, 0, len(request.TokenRequests))
	for i := range request.TokenRequests {
		open = append(open, i)
	}
	o.applyReports(request)
	for {
		short, next, leading := o.tryGrant(request, reply, open)
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

// postpone makes the entry send again, after a tick, the requests whose record was not
// committed in time. If these are all requests, it refuses the whole call.
func (o *Owner) postpone(reply *plane.GrantReply, short []int) *plane.GrantReply {
	for _, i := range short {
		reply.Grants[i].Wait = span.Duration(tick)
	}
	if len(short) == len(reply.Grants) {
		reply.Refused = plane.KindNoLeader
	}
	return reply
}

// applyReports applies what the entry reports about earlier grants: overdrafts, service
// requests that earn retries, and spent and unused tokens.
func (o *Owner) applyReports(request *plane.GrantRequest) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Now()
	for i := range request.TokenRequests {
		if overdraft := request.TokenRequests[i].OverdraftTokens; overdraft > 0 {
			o.chargeOverdraft(request.TokenRequests[i].Workspace, overdraft, now)
			continue
		}
		if requests := request.TokenRequests[i].ServiceRequests; requests > 0 {
			o.creditRequests(request.TokenRequests[i].Workspace, requests, now)
			continue
		}
		a := o.accounts[request.TokenRequests[i].Workspace]
		if a == nil || request.TokenRequests[i].LeaseID == 0 {
			continue
		}
		a.advance(now)
		a.returnTokens(request.Entry, &request.TokenRequests[i])
	}
}

// chargeOverdraft takes the tokens that an entry has spent without a grant from a
// bucket. The caller holds the mutex.
func (o *Owner) chargeOverdraft(workspace string, overdraft int64, now time.Time) {
	o.applyConfig()
	a := o.loadAccount(workspace)
	if a == nil {
		return
	}
	a.advance(now)
	a.overdraft += overdraft
	a.settleOverdraft()
}

// creditRequests adds the retries earned by a number of requests to a service's pool.
// The caller holds the mutex.
func (o *Owner) creditRequests(name string, requests int64, now time.Time) {
	o.applyConfig()
	a := o.loadAccount(name)
	if a == nil || !isPool(name) {
		return
	}
	a.advance(now)
	a.bucket.Refund(min(o.RetryLimit.Credit(requests), a.bucket.Burst()-a.held()-a.bucket.Level()))
}

// tryGrant answers the open requests. It returns those for which committing a record
// would provide enough tokens, and the record to wait for.
func (o *Owner) tryGrant(request *plane.GrantRequest, reply *plane.GrantReply, open []int) (short []int, next *record, leading bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.leading || o.closing {
		return nil, nil, false
	}
	o.applyConfig()
	now := time.Now()
	for _, i := range open {
		wanted := &request.TokenRequests[i]
		a := o.loadAccount(wanted.Workspace)
		if a == nil {
			reply.Grants[i] = plane.Grant{Workspace: wanted.Workspace, UnknownWorkspace: true}
			continue
		}
		a.advance(now)
		o.growFor(a, wanted.MinTokens, now)
		o.lastGrantID++
		granted, waits := a.grant(o.term<<32|o.lastGrantID&(1<<32-1), request.Entry, wanted, now)
		granted.FreeShare = a.freeShare()
		granted.Recovering = a.refill != nil && now.Sub(o.ledSince) < recoveryTime
		reply.Grants[i] = granted
		if waits {
			short = append(short, i)
		}
	}
	return short, o.record, true
}

// loadAccount returns the named account, adding it from its committed reservation if it is not
// loaded. It returns nil if there is no such workspace or service. The caller holds the
// mutex.
func (o *Owner) loadAccount(name string) *account {
	if a := o.accounts[name]; a != nil {
		return a
	}
	limits, ok := o.limits(name)
	if !ok {
		return nil
	}
	reservation, appendedBy, known := o.CommittedReservation(name)
	if isPool(name) && !known {
		// Without a record, the pool starts empty from now on: the previous leader may
		// just have granted all of it.
		reservation, appendedBy, known = state.Reservation{}, time.Now(), true
	}
	f := o.refillFor(name, limits)
	a := newAccount(name, limits, f, reservation, appendedBy, known)
	o.accounts[name] = a
	return a
}
