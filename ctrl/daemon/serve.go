package daemon

import (
	"context"
	"crypto/sha256"
	"errors"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/ledger"
	"github.com/tanagerspindle/tanagerspindle/ctrl/node"
	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

func (d *Daemon) serveStatus(_ context.Context, stream *wire.Stream) error {
	if err := stream.Receive(&plane.StatusRequest{}); err != nil {
		return err
	}
	return stream.Send(d.Status())
}

func (d *Daemon) serveFetch(ctx context.Context, stream *wire.Stream) error {
	if err := stream.Receive(&plane.FetchRequest{}); err != nil {
		return err
	}
	config, author, err := d.Fetch(ctx)
	if err != nil {
		return stream.Send(&plane.FetchReply{Refused: plane.KindNoLeader})
	}
	return stream.Send(&plane.FetchReply{Config: config, Author: author})
}

// Fetch returns the committed configuration, nil before the first one, and its
// author, after a quorum round.
func (d *Daemon) Fetch(ctx context.Context) (config *conf.Config, author string, err error) {
	d.prepare()
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := d.barrier(ctx); err != nil {
		return nil, "", err
	}
	config, author = d.machine.Config()
	return config, author, nil
}

func (d *Daemon) serveGrant(ctx context.Context, stream *wire.Stream) error {
	ask := &plane.GrantRequest{}
	if err := stream.Receive(ask); err != nil {
		return err
	}
	return stream.Send(d.quota.Grant(ctx, ask))
}

// serveLoad lets an engine load a base model when the weight store has room.
func (d *Daemon) serveLoad(_ context.Context, stream *wire.Stream) error {
	ask := &plane.LoadRequest{}
	if err := stream.Receive(ask); err != nil {
		return err
	}
	rate := 0.0
	if config := d.config(); config != nil {
		if engine := config.Services[ask.Service].Engine; engine != nil {
			rate = engine.LoadsPerSecond
		}
	}
	wait := d.store.Allow(ask.Service, rate, time.Now())
	d.Host.Log.Write("model-load", "agent", ask.Agent, "service", ask.Service, "rate", rate, "wait", wait)
	return stream.Send(&plane.LoadReply{Wait: span.Duration(wait)})
}

func (d *Daemon) serveClaim(ctx context.Context, stream *wire.Stream) error {
	ask := &plane.ClaimRequest{}
	if err := stream.Receive(ask); err != nil {
		return err
	}
	return stream.Send(d.claim(ctx, ask))
}

// claim commits one step of a request that runs at most once.
func (d *Daemon) claim(ctx context.Context, ask *plane.ClaimRequest) *plane.ClaimReply {
	if !validClaim(ask) {
		return &plane.ClaimReply{Refused: plane.KindInvalid}
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if ask.Verb == plane.VerbRead {
		if err := d.barrier(ctx); err != nil {
			return &plane.ClaimReply{Refused: plane.KindTimeout}
		}
		return d.machine.Claim(ask)
	}
	ask.Outcome = cutOutcome(ask.Outcome)
	result, err := d.propose(ctx, &state.Command{Claim: ask})
	if err != nil || result.Claim == nil {
		return &plane.ClaimReply{Refused: refusal(err)}
	}
	return result.Claim
}

// refusal returns the kind that tells a caller what a failed commit means.
// KindLeader says that nothing was committed, KindInvalid that it never can
// be, KindTimeout that it may have been.
func refusal(err error) plane.Kind {
	switch {
	case errors.Is(err, &node.Error{Kind: node.KindTooLarge}):
		return plane.KindInvalid
	case errors.Is(err, &node.Error{Kind: node.KindNotLeader}), errors.Is(err, &node.Error{Kind: node.KindLost}):
		return plane.KindNoLeader
	}
	return plane.KindTimeout
}

func validClaim(ask *plane.ClaimRequest) bool {
	if len(ask.Key) == 0 || len(ask.Key) > 2*sha256.Size {
		return false
	}
	switch ask.Verb {
	case plane.VerbRead:
		return true
	case plane.VerbClaim, plane.VerbDone, plane.VerbUnknown, plane.VerbVoid:
		return len(ask.Attempt) == call.IDSize
	}
	return false
}

// cutOutcome drops the body of an answer that is too large to record, before
// it takes room in the log.
func cutOutcome(outcome *call.Outcome) *call.Outcome {
	if outcome == nil || len(outcome.Body) <= ledger.MaxBodyBytes {
		return outcome
	}
	cut := *outcome
	if len(cut.BodyDigest) == 0 {
		sum := sha256.Sum256(cut.Body)
		cut.BodyDigest = sum[:]
	}
	cut.Body, cut.Header, cut.Truncated = nil, nil, true
	return &cut
}

func (d *Daemon) serveAdmin(ctx context.Context, stream *wire.Stream) error {
	ask := &plane.AdminRequest{}
	if err := stream.Receive(ask); err != nil {
		return err
	}
	return stream.Send(d.admin(ctx, ask))
}

// admin carries out an operator's order to control itself.
func (d *Daemon) admin(ctx context.Context, ask *plane.AdminRequest) *plane.AdminReply {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	switch ask.Order {
	case plane.OrderMove:
		return adminReply(d.node.TransferLeadership(ctx, ask.Name))
	case plane.OrderReplace:
		return adminReply(d.node.Replace(ctx, ask.Name))
	case plane.OrderLift:
		result, err := d.propose(ctx, &state.Command{LiftDigest: ask.Digest})
		if err == nil && !result.Lifted {
			return &plane.AdminReply{Refused: plane.KindMissing, Detail: "no such quarantine"}
		}
		return adminReply(err)
	}
	return &plane.AdminReply{Refused: plane.KindInvalid, Detail: "unknown order"}
}

func adminReply(err error) *plane.AdminReply {
	if err == nil {
		return &plane.AdminReply{}
	}
	return &plane.AdminReply{Refused: plane.KindTimeout, Detail: err.Error()}
}
