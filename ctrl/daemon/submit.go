package daemon

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// maxInForceWait limits how long a submission waits until the configuration is in force.
const maxInForceWait = 30 * time.Second

func (d *Daemon) serveSubmit(ctx context.Context, stream *wire.Stream) error {
	request := &plane.SubmitRequest{}
	if err := stream.Receive(request); err != nil {
		return err
	}
	return stream.Send(d.submit(ctx, request))
}

// Submit submits a configuration to the leader, which may be this or another replica. After an
// error the submission may or may not have been accepted: submit it again.
func (d *Daemon) Submit(ctx context.Context, request *plane.SubmitRequest) (*plane.SubmitReply, error) {
	d.prepare()
	status, err := d.findLeader(ctx)
	if err != nil {
		return nil, err
	}
	if status.Leading {
		return d.submit(ctx, request), nil
	}
	reply := &plane.SubmitReply{}
	if err := d.callLeader(ctx, plane.MethodSubmit, request, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// submit commits a submission at the leader and, if the request has a wait time, waits until the
// configuration is in force.
func (d *Daemon) submit(ctx context.Context, request *plane.SubmitRequest) *plane.SubmitReply {
	reply := d.commitSubmission(ctx, request)
	d.Host.Log.Write("configuration-submitted", "author", request.Author, "refused", reply.Refused, "newest", reply.ConfigNumber)
	if reply.Refused != plane.KindNone || request.Wait <= 0 {
		return reply
	}
	ctx, cancel := context.WithTimeout(ctx, min(request.Wait.Std(), maxInForceWait))
	defer cancel()
	reply.InForce, reply.Lagging = d.feeds.WaitForConfig(ctx, request.Config.Number)
	return reply
}

// commitSubmission commits a valid submission under the next number. For any other number the
// reply reports which submission was committed under it.
func (d *Daemon) commitSubmission(ctx context.Context, request *plane.SubmitRequest) *plane.SubmitReply {
	if request.Config == nil {
		return d.refusedSubmission(plane.KindInvalid, "the submission is empty")
	}
	if err := request.Config.Check(); err != nil {
		return d.refusedSubmission(plane.KindInvalid, err.Error())
	}
	digest := request.Config.Digest()
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := d.barrier(ctx); err != nil {
		return d.refusedSubmission(plane.KindNoLeader, err.Error())
	}
	current, _ := d.machine.Config()
	if request.Config.Number != configNumber(current)+1 {
		return d.machine.CheckNumber(request.Config.Number, digest)
	}
	proposal := &state.Proposal{Sum: digest, Author: request.Author, Delta: conf.Diff(current, request.Config)}
	result, err := d.propose(ctx, &state.Command{Config: proposal})
	if err != nil {
		kind := refusalKind(err)
		if kind == plane.KindTimeout {
			return d.refusedSubmission(kind, "not known to be accepted, submit it again: "+err.Error())
		}
		return d.refusedSubmission(kind, "not accepted: "+err.Error())
	}
	return result.Config
}

func configNumber(config *conf.Config) uint64 {
	if config == nil {
		return 0
	}
	return config.Number
}

func (d *Daemon) refusedSubmission(kind plane.Kind, detail string) *plane.SubmitReply {
	return &plane.SubmitReply{Refused: kind, Detail: detail, ConfigNumber: d.machine.Number()}
}
