package daemon

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/feeds"
	"github.com/tanagerspindle/tanagerspindle/ctrl/node"
	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	// leaderPrefix marks a method as already forwarded. A replica that does not lead refuses
	// such a method, so a stream is forwarded at most once.
	leaderPrefix = "leader/"
	// methodPropose commits a command for another replica.
	methodPropose = "propose"
)

// proposeRequest is a request to the leader to commit an encoded state.Command.
type proposeRequest struct {
	Data []byte `protobuf:"bytes,1,opt"`
}

// proposeReply answers a proposeRequest with the encoded state.Result.
type proposeReply struct {
	Refused plane.Kind `protobuf:"bytes,1,opt"`
	Data    []byte     `protobuf:"bytes,2,opt"`
}

// handlers returns the handlers of all methods that the replica serves. A method for the leader
// has two: one that forwards the stream, and one under leaderPrefix that does not.
func (d *Daemon) handlers() map[string]link.Handler {
	served := d.node.Handlers()
	if served == nil {
		served = map[string]link.Handler{}
	}
	served[plane.MethodFeed] = d.feeds.Serve
	served[feeds.MethodExchange] = d.feeds.Exchange
	served[plane.MethodStatus] = d.serveStatus
	served[plane.MethodFetch] = d.serveFetch
	served[plane.MethodForward] = d.serveForwarded
	served[plane.MethodLocate] = d.Directory.Serve(d.serves)
	leader := map[string]link.Handler{
		plane.MethodGrant:  d.serveGrant,
		plane.MethodClaim:  d.serveClaim,
		plane.MethodSubmit: d.serveSubmit,
		plane.MethodAdmin:  d.serveAdmin,
		plane.MethodPermit: d.permits.Handle,
		plane.MethodLoad:   d.serveLoad,
		methodPropose:      d.servePropose,
	}
	for method, serve := range leader {
		served[method] = d.atLeader(method, serve)
		served[leaderPrefix+method] = d.ifLeading(serve)
	}
	return served
}

// ifLeading returns a handler that refuses the stream unless this replica leads.
func (d *Daemon) ifLeading(serve link.Handler) link.Handler {
	return func(ctx context.Context, stream *wire.Stream) error {
		if !d.node.Status().Leading {
			return &Error{Op: "serve", Kind: KindLeader}
		}
		return serve(ctx, stream)
	}
}

// atLeader returns a handler that serves the stream if this replica leads, and otherwise
// forwards it to the leader. A forwarded stream ends when this replica no longer follows that
// leader, so that its daemon asks the successor.
func (d *Daemon) atLeader(method string, serve link.Handler) link.Handler {
	return func(ctx context.Context, stream *wire.Stream) error {
		status, err := d.findLeader(ctx)
		if err != nil {
			return err
		}
		if status.Leading {
			return serve(ctx, stream)
		}
		following, release := d.node.WhileLeader(ctx)
		defer release()
		onward, err := d.openLeader(following, status.Leader, method)
		if err != nil {
			return err
		}
		return relay(following, stream, onward)
	}
}

// findLeader waits up to leaderTimeout until a leader is known.
func (d *Daemon) findLeader(ctx context.Context) (node.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	for {
		status := d.node.Status()
		if status.Leading || status.Leader != "" && status.Leader != d.Name {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return node.Status{}, &Error{Op: "find leader", Kind: KindLeader, Err: ctx.Err()}
		case <-time.After(leaderPollInterval):
		}
	}
}

func (d *Daemon) openLeader(ctx context.Context, leader, method string) (*wire.Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	return d.node.Open(ctx, leader, leaderPrefix+method)
}

// relay copies bytes between two streams until one of them or ctx ends.
func relay(ctx context.Context, near, far *wire.Stream) error {
	defer near.CloseOnDone(ctx)()
	defer far.CloseOnDone(ctx)()
	ended := make(chan error, 2)
	for _, pair := range [][2]*wire.Stream{{near, far}, {far, near}} {
		go func() {
			_, err := io.Copy(pair[1].Conn(), pair[0].Reader())
			ended <- err
		}()
	}
	err := <-ended
	_ = near.Close()
	_ = far.Close()
	<-ended
	return err
}

// propose commits a command through the leader, which may be this or another replica.
func (d *Daemon) propose(ctx context.Context, command *state.Command) (*state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	data, err := codec.Encode(command)
	if err != nil {
		return nil, err
	}
	if d.node.Status().Leading {
		data, err = d.node.Propose(ctx, data)
	} else {
		data, err = d.proposeAtLeader(ctx, data)
	}
	if err != nil {
		return nil, err
	}
	result := &state.Result{}
	if err := codec.Decode(data, result); err != nil {
		return nil, err
	}
	if result.Refused != plane.KindNone {
		return nil, &Error{Op: "propose", Kind: KindState}
	}
	return result, nil
}

// proposeAgain proposes a command that may be committed more than once, until a leader has answered
// it. The leader may fall silent, or change, during the call.
func (d *Daemon) proposeAgain(ctx context.Context, command *state.Command) (*state.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for {
		result, err := d.propose(ctx, command)
		if err == nil || !leaderChanged(err) {
			return result, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(leaderPollInterval):
		}
	}
}

// leaderChanged reports whether a proposal failed because its replica did not lead, or ceased to.
func leaderChanged(err error) bool {
	return errors.Is(err, &Error{Kind: KindLeader}) || errors.Is(err, &node.Error{Kind: node.KindNotLeader}) || errors.Is(err, &node.Error{Kind: node.KindLost})
}

func (d *Daemon) proposeAtLeader(ctx context.Context, data []byte) ([]byte, error) {
	reply := &proposeReply{}
	if err := d.callLeader(ctx, methodPropose, &proposeRequest{Data: data}, reply); err != nil {
		return nil, err
	}
	if reply.Refused != plane.KindNone {
		return nil, &Error{Op: "propose", Kind: KindLeader}
	}
	return reply.Data, nil
}

// callLeader sends one request to the leader and receives the reply. It fails if this replica is
// the leader, and with KindLeader if it ceases to follow that leader before the reply.
func (d *Daemon) callLeader(ctx context.Context, method string, request, reply any) error {
	status, err := d.findLeader(ctx)
	if err != nil {
		return err
	}
	following, release := d.node.WhileLeader(ctx)
	defer release()
	err = d.callReplica(following, status, method, request, reply)
	if err != nil && following.Err() != nil && ctx.Err() == nil {
		return &Error{Op: method, Kind: KindLeader, Err: err}
	}
	return err
}

// callReplica sends one request to the leader of a status and receives the reply.
func (d *Daemon) callReplica(ctx context.Context, status node.Status, method string, request, reply any) error {
	if status.Leading {
		return &Error{Op: method, Kind: KindLeader}
	}
	stream, err := d.openLeader(ctx, status.Leader, method)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	defer stream.CloseOnDone(ctx)()
	if err := stream.Send(request); err != nil {
		return err
	}
	return stream.Receive(reply)
}

func (d *Daemon) servePropose(ctx context.Context, stream *wire.Stream) error {
	request := &proposeRequest{}
	if err := stream.Receive(request); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	data, err := d.node.Propose(ctx, request.Data)
	if err != nil {
		return stream.Send(&proposeReply{Refused: plane.KindNoLeader})
	}
	return stream.Send(&proposeReply{Data: data})
}

// commitReservations commits the token reservations of the quota owner. Only the leader may reserve.
func (d *Daemon) commitReservations(ctx context.Context, term uint64, reservations []state.Reservation) error {
	if !d.node.Status().Leading {
		return &Error{Op: "reserve tokens", Kind: KindLeader}
	}
	_, err := d.propose(ctx, &state.Command{Reservations: reservations, ReservationTerm: term})
	return err
}

func (d *Daemon) committedConfig() *conf.Config {
	config, _ := d.machine.Config()
	return config
}
