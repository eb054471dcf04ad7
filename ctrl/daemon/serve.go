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

// Fetch returns the committed configuration and its author; the configuration is nil if none was
// ever committed. A quorum round before the read ensures that it is not older than the call.
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
	request := &plane.GrantRequest{}
	if err := stream.Receive(request); err != nil {
		return err
	}
	return stream.Send(d.quota.Grant(ctx, request))
}

// serveLoad replies how long an engine must wait before it loads a base model, so that the
// engines of a service stay within its rate of loads from the weight store.
func (d *Daemon) serveLoad(_ context.Context, stream *wire.Stream) error {
	request := &plane.LoadRequest{}
	if err := stream.Receive(request); err != nil {
		return err
	}
	rate := 0.0
	if config := d.committedConfig(); config != nil {
		if engine := config.Services[request.Service].Engine; engine != nil {
			rate = engine.LoadsPerSecond
		}
	}
	wait := d.weightStore.Allow(request.Service, rate, time.Now())
	d.Host.Log.Write("model-load", "agent", request.Agent, "service", request.Service, "rate", rate, "wait", wait)
	return stream.Send(&plane.LoadReply{Wait: span.Duration(wait)})
}

func (d *Daemon) serveClaim(ctx context.Context, stream *wire.Stream) error {
	request := &plane.ClaimRequest{}
	if err := stream.Receive(request); err != nil {
		return err
	}
	return stream.Send(d.claim(ctx, request))
}

// claim commits a claim operation of a request that runs at most once or, for VerbRead, reads
// the claim after a quorum round.
func (d *Daemon) claim(ctx context.Context, request *plane.ClaimRequest) *plane.ClaimReply {
	if !validClaim(request) {
		return &plane.ClaimReply{Refused: plane.KindInvalid}
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if request.Verb == plane.VerbRead {
		if err := d.barrier(ctx); err != nil {
			return &plane.ClaimReply{Refused: plane.KindTimeout}
		}
		return d.machine.Claim(request)
	}
	request.Outcome = truncateOutcome(request.Outcome)
	result, err := d.propose(ctx, &state.Command{Claim: request})
	if err != nil || result.Claim == nil {
		return &plane.ClaimReply{Refused: refusalKind(err)}
	}
	return result.Claim
}

// refusalKind maps the error of a commit to the kind reported to the caller. KindNoLeader means
// that nothing was committed, KindInvalid that the command can never be committed, KindTimeout
// that it may have been committed.
func refusalKind(err error) plane.Kind {
	switch {
	case errors.Is(err, &node.Error{Kind: node.KindTooLarge}):
		return plane.KindInvalid
	case errors.Is(err, &node.Error{Kind: node.KindNotLeader}), errors.Is(err, &node.Error{Kind: node.KindLost}):
		return plane.KindNoLeader
	}
	return plane.KindTimeout
}

func validClaim(request *plane.ClaimRequest) bool {
	if len(request.Key) == 0 || len(request.Key) > 2*sha256.Size {
		return false
	}
	switch request.Verb {
	case plane.VerbRead:
		return true
	case plane.VerbClaim, plane.VerbDone, plane.VerbUnknown, plane.VerbVoid:
		return len(request.Attempt) == call.IDSize
	}
	return false
}

// truncateOutcome drops the header and body of an outcome whose body is too large to record, so
// that they take no space in the log. The digest of the body stays.
func truncateOutcome(outcome *call.Outcome) *call.Outcome {
	if outcome == nil || len(outcome.Body) <= ledger.MaxBodyBytes {
		return outcome
	}
	truncated := *outcome
	if len(truncated.BodyDigest) == 0 {
		sum := sha256.Sum256(truncated.Body)
		truncated.BodyDigest = sum[:]
	}
	truncated.Body, truncated.Header, truncated.Truncated = nil, nil, true
	return &truncated
}

func (d *Daemon) serveAdmin(ctx context.Context, stream *wire.Stream) error {
	request := &plane.AdminRequest{}
	if err := stream.Receive(request); err != nil {
		return err
	}
	return stream.Send(d.admin(ctx, request))
}

// admin executes an operator's command on the control group.
func (d *Daemon) admin(ctx context.Context, request *plane.AdminRequest) *plane.AdminReply {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	switch request.Order {
	case plane.OrderMove:
		return adminReply(d.node.TransferLeadership(ctx, request.Name))
	case plane.OrderReplace:
		return adminReply(d.node.Replace(ctx, request.Name))
	case plane.OrderLift:
		result, err := d.propose(ctx, &state.Command{LiftDigest: request.Digest})
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
