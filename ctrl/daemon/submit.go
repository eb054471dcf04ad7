package daemon

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// mostWait bounds how long a submission waits to be in force.
const mostWait = 30 * time.Second

func (d *Daemon) serveSubmit(ctx context.Context, stream *wire.Stream) error {
	ask := &plane.SubmitRequest{}
	if err := stream.Receive(ask); err != nil {
		return err
	}
	return stream.Send(d.submit(ctx, ask))
}

// Submit submits a configuration at the leader, wherever that is. After an
// error the submission may or may not have been accepted: submit it again.
func (d *Daemon) Submit(ctx context.Context, ask *plane.SubmitRequest) (*plane.SubmitReply, error) {
	d.prepare()
	now, err := d.findLeader(ctx)
	if err != nil {
		return nil, err
	}
	if now.Leading {
		return d.submit(ctx, ask), nil
	}
	reply := &plane.SubmitReply{}
	if err := d.callLeader(ctx, plane.MethodSubmit, ask, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// submit decides a submission at the leader and waits until it is in force, if
// asked to.
func (d *Daemon) submit(ctx context.Context, ask *plane.SubmitRequest) *plane.SubmitReply {
	reply := d.decide(ctx, ask)
	d.Host.Log.Write("configuration-submitted", "author", ask.Author, "refused", reply.Refused, "newest", reply.ConfigNumber)
	if reply.Refused != plane.KindNone || ask.Wait <= 0 {
		return reply
	}
	ctx, cancel := context.WithTimeout(ctx, min(ask.Wait.Std(), mostWait))
	defer cancel()
	reply.InForce, reply.Lagging = d.feeds.WaitForConfig(ctx, ask.Config.Number)
	return reply
}

// decide commits the submission if it is the next number and valid, and
// otherwise says what holds the number.
func (d *Daemon) decide(ctx context.Context, ask *plane.SubmitRequest) *plane.SubmitReply {
	if ask.Config == nil {
		return d.refuse(plane.KindInvalid, "the submission is empty")
	}
	if err := ask.Config.Check(); err != nil {
		return d.refuse(plane.KindInvalid, err.Error())
	}
	sum := ask.Config.Digest()
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := d.barrier(ctx); err != nil {
		return d.refuse(plane.KindNoLeader, err.Error())
	}
	current, _ := d.machine.Config()
	if ask.Config.Number != numberOf(current)+1 {
		return d.machine.CheckNumber(ask.Config.Number, sum)
	}
	proposal := &state.Proposal{Sum: sum, Author: ask.Author, Delta: conf.Diff(current, ask.Config)}
	result, err := d.propose(ctx, &state.Command{Config: proposal})
	if err != nil {
		kind := refusal(err)
		if kind == plane.KindTimeout {
			return d.refuse(kind, "not known to be accepted, submit it again: "+err.Error())
		}
		return d.refuse(kind, "not accepted: "+err.Error())
	}
	return result.Config
}

func numberOf(config *conf.Config) uint64 {
	if config == nil {
		return 0
	}
	return config.Number
}

func (d *Daemon) refuse(kind plane.Kind, detail string) *plane.SubmitReply {
	return &plane.SubmitReply{Refused: kind, Detail: detail, ConfigNumber: d.machine.Number()}
}
