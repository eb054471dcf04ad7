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
	// askTimeout bounds one question to one replica, beyond what the question
	// itself waits for.
	askTimeout = 5 * time.Second
	// orderTimeout is how long an order may take at control; a replacement has
	// to copy the log first.
	orderTimeout = 25 * time.Second
	// retryDelay is the pause before the replicas are tried again.
	retryDelay = 300 * time.Millisecond
)

// control asks the replicas of control, one after the other.
type control struct {
	dial      func(ctx context.Context, address string) (net.Conn, error)
	addresses []string
	// timeout bounds the search for a replica that answers.
	timeout time.Duration
}

func (p *Program) control(c *cli.Command) (*control, error) {
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
	return &control{dial: dial, addresses: addresses, timeout: c.Duration(flagTimeout)}, nil
}

// call asks one replica.
func (k *control) call(ctx context.Context, address, method string, wait time.Duration, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+askTimeout)
	defer cancel()
	session, err := link.Dial(ctx, k.dial, address)
	if err != nil {
		return err
	}
	defer func() { _ = session.Close() }()
	return session.Call(ctx, method, request, reply)
}

// ask asks the replicas in turn until one answers with more than again, a
// request to ask again. Only questions that may be asked twice go this way. When there is
// no answer in time, the last failure tells why.
func ask[Reply any](ctx context.Context, k *control, method string, wait time.Duration, request any, again func(*Reply) bool) (*Reply, error) {
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
				last = explain(err, address)
			}
		}
		if !pause.For(ctx, retryDelay) {
			return nil, &Error{Op: "spindle", Kind: KindUnreachable, Err: last}
		}
	}
}

// waiting reports whether a refusal only says to ask again.
func waiting(kind plane.Kind) bool {
	return kind == plane.KindNoLeader || kind == plane.KindTimeout
}

func explain(err error, address string) error {
	if err == nil {
		return fmt.Errorf("%s answers that control has no leader", address)
	}
	return err
}

func (k *control) fetch(ctx context.Context) (*plane.FetchReply, error) {
	return ask(ctx, k, plane.MethodFetch, 0, &plane.FetchRequest{},
		func(reply *plane.FetchReply) bool { return waiting(reply.Refused) })
}

func (k *control) submit(ctx context.Context, submit *plane.SubmitRequest) (*plane.SubmitReply, error) {
	return ask(ctx, k, plane.MethodSubmit, submit.Wait.Std(), submit,
		func(reply *plane.SubmitReply) bool { return waiting(reply.Refused) })
}

// order gives control an order and turns a refusal into an error. An order
// that control could not finish in time is not repeated: its detail says why.
func (k *control) order(ctx context.Context, order *plane.AdminRequest) error {
	reply, err := ask(ctx, k, plane.MethodAdmin, orderTimeout, order,
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
