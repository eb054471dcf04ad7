package cmds

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tanagerspindle/tanagerspindle/pkg/launch"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/setup"
)

const (
	// callTimeout bounds one call to one replica, in addition to the time that
	// the call itself asks control to wait.
	callTimeout = 5 * time.Second
	// orderTimeout is the time that an order may take at control: replacing a
	// replica requires copying the log first.
	orderTimeout = 25 * time.Second
	// retryDelay is the pause before all replicas are tried again.
	retryDelay = 300 * time.Millisecond
)

// controlClient calls the control replicas, one after the other.
type controlClient struct {
	dial      func(ctx context.Context, address string) (net.Conn, error)
	addresses []string
	// timeout bounds the time to find a replica that answers.
	timeout time.Duration
}

func (p *Program) newControlClient(c *cli.Command) (*controlClient, error) {
	addresses := c.StringSlice(flagControl)
	if len(addresses) == 0 {
		return nil, &Error{Op: c.FullName(), Kind: KindUsage, Err: fmt.Errorf("name control's addresses with --control or SPINDLE_CONTROL")}
	}
	dial := p.Dial
	if dial == nil {
		var err error
		dial, err = launch.Dial(&setup.Settings{
			Certificate: c.String(flagCertificate), Key: c.String(flagKey), Authority: c.String(flagAuthority),
		})
		if err != nil {
			return nil, &Error{Op: c.FullName(), Kind: KindUsage, Err: err}
		}
	}
	return &controlClient{dial: dial, addresses: addresses, timeout: c.Duration(flagTimeout)}, nil
}

// call makes one call to one replica.
func (k *controlClient) call(ctx context.Context, address, method string, wait time.Duration, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	session, err := link.Dial(ctx, k.dial, address)
	if err != nil {
		return err
	}
	defer func() { _ = session.Close() }()
	return session.Call(ctx, method, request, reply)
}

// callAny calls the replicas in turn until one gives a reply for which again is
// false. The call must be safe to repeat. When there is no such reply in time, the
// error contains the last failure.
func callAny[Reply any](ctx context.Context, k *controlClient, method string, wait time.Duration, request any, again func(*Reply) bool) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, k.timeout+wait)
	defer cancel()
	var last error
	for {
		for _, address := range k.addresses {
			reply := new(Reply)
			err := k.call(ctx, address, method, wait, request, reply)
			if err == nil && !again(reply) {
				return reply, nil
			}
			if ctx.Err() == nil || last == nil {
				last = replyError(err, address)
			}
		}
		if !pause.For(ctx, retryDelay) {
			return nil, &Error{Op: "spindle", Kind: KindUnreachable, Err: last}
		}
	}
}

// retryable reports whether a refusal is temporary, so that the call may be
// repeated.
func retryable(kind plane.Kind) bool {
	return kind == plane.KindNoLeader || kind == plane.KindTimeout
}

// replyError returns err, or the meaning of a temporary refusal if err is nil.
func replyError(err error, address string) error {
	if err == nil {
		return fmt.Errorf("%s answers that control has no leader", address)
	}
	return err
}

func (k *controlClient) fetch(ctx context.Context) (*plane.FetchReply, error) {
	return callAny(ctx, k, plane.MethodFetch, 0, &plane.FetchRequest{},
		func(reply *plane.FetchReply) bool { return retryable(reply.Refused) })
}

func (k *controlClient) submit(ctx context.Context, submit *plane.SubmitRequest) (*plane.SubmitReply, error) {
	return callAny(ctx, k, plane.MethodSubmit, submit.Wait.Std(), submit,
		func(reply *plane.SubmitReply) bool { return retryable(reply.Refused) })
}

// order sends an order to control and converts a refusal to an error. An order
// that control could not finish in time is not repeated; the error contains the
// reason.
func (k *controlClient) order(ctx context.Context, order *plane.AdminRequest) error {
	reply, err := callAny(ctx, k, plane.MethodAdmin, orderTimeout, order,
		func(reply *plane.AdminReply) bool { return reply.Refused == plane.KindNoLeader })
	if err != nil {
		return err
	}
	kind := KindRefused
	switch reply.Refused {
	case plane.KindNone:
		return nil
	case plane.KindTimeout:
		kind = KindUnreachable
	}
	return &Error{Op: "spindle " + string(order.Order), Kind: kind, Err: fmt.Errorf("%s: %s", reply.Refused, reply.Detail)}
}
