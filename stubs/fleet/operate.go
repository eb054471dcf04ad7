package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

const (
	// operator is the host that operators' calls come from.
	operator = "operator"
	// callLimit bounds one call to control.
	callLimit = 10 * time.Second
	// retryDelay is the pause before another replica is asked.
	retryDelay = 100 * time.Millisecond
)

// Call asks control as an operator does, each replica in turn until one
// answers or ctx ends.
func (f *Fleet) Call(ctx context.Context, method string, request, reply any) error {
	var last error
	for turn := 0; ctx.Err() == nil; turn++ {
		address := f.Network.Address(ControlName(turn%f.Spec.Control), "control")
		if last = f.callOne(ctx, address, method, request, reply); last == nil {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	return &Error{Op: "call " + method, Kind: KindUnavailable, Err: last}
}

func (f *Fleet) callOne(ctx context.Context, address, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	session, err := link.Dial(ctx, f.Network.Dialer(operator), address)
	if err != nil {
		return err
	}
	defer func() { _ = session.Close() }()
	return session.Call(ctx, method, request, reply)
}

// Apply submits a configuration and waits until it is in force everywhere.
func (f *Fleet) Apply(ctx context.Context, config *conf.Config) error {
	for ctx.Err() == nil {
		var reply plane.SubmitReply
		request := &plane.SubmitRequest{Config: config, Author: operator, Wait: span.Duration(callLimit / 2)}
		if err := f.Call(ctx, plane.MethodSubmit, request, &reply); err != nil {
			return err
		}
		if reply.Refused == plane.KindNone && reply.InForce {
			return nil
		}
		if reply.Refused == plane.KindConflict || reply.Refused == plane.KindInvalid {
			return &Error{Op: "apply", Kind: KindRefused, Err: fmt.Errorf("%s: %s", reply.Refused, reply.Detail)}
		}
		time.Sleep(retryDelay)
	}
	return &Error{Op: "apply", Kind: KindUnready, Err: ctx.Err()}
}

// Status asks control for its view.
func (f *Fleet) Status(ctx context.Context) (*plane.Status, error) {
	var status plane.Status
	err := f.Call(ctx, plane.MethodStatus, &plane.StatusRequest{}, &status)
	return &status, err
}

// WaitReady waits until control lists every endpoint as ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	want := f.Spec.Engines + f.Spec.Services
	for ctx.Err() == nil {
		status, err := f.Status(ctx)
		if err == nil && readyCount(status) >= want && len(status.Entries) >= f.Spec.Entries {
			return nil
		}
		time.Sleep(retryDelay)
	}
	return &Error{Op: "wait", Kind: KindUnready, Err: ctx.Err()}
}

func readyCount(status *plane.Status) int {
	count := 0
	for index := range status.Endpoints {
		if status.Endpoints[index].Ready {
			count++
		}
	}
	return count
}
