package drain

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
)

const (
	codeExiting = "exiting"
	// exitRetryAfter is the retry delay of callers that are refused because the process
	// exits. It is minimal, since another entry can serve the request at once.
	exitRetryAfter = 10 * time.Millisecond
)

// pending is a request whose answer has not begun.
type pending struct{ cancel context.CancelCauseFunc }

// RefuseAtExit is a filter that refuses the requests whose answers have not begun when the
// exit time has come: the process is killed shortly after.
func (d *Drain) RefuseAtExit(ctx context.Context, r *chain.Request, next chain.Next) error {
	if d.Grace == 0 {
		return next(ctx, r)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p := &pending{cancel: cancel}
	d.addPending(p)
	defer d.removePending(p)
	write := r.Write
	r.Write = func(frame *call.Frame) error {
		if frame.Type == call.FrameHead {
			d.removePending(p)
		}
		return write(frame)
	}
	return d.count(markUncertain(next(ctx, r)))
}

// RefuseLate is a filter that refuses the requests that arrive when the entry accepts no more
// connections, unless they end for certain before the process exits. Only opaque routes limit
// the time of a whole answer.
func (d *Drain) RefuseLate(ctx context.Context, r *chain.Request, next chain.Next) error {
	if exitTime := d.closingExitTime(); exitTime.IsZero() || (r.Route.Kind == conf.RouteOpaque && r.Deadline().Before(exitTime)) {
		return next(ctx, r)
	}
	return chain.Refuse(http.StatusServiceUnavailable, chain.CodeStopping, "this entry stops, possibly before the request could be answered").WithRetryAfter(exitRetryAfter)
}

// closingExitTime returns the latest time at which the process exits if the entry accepts no
// more connections, zero otherwise and without Grace.
func (d *Drain) closingExitTime() time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.closing {
		return time.Time{}
	}
	return d.exitTime
}

// count counts a request that was refused because of the stop, and returns its error.
func (d *Drain) count(err error) error {
	var refusal *chain.Refusal
	if errors.As(err, &refusal) && (refusal.Code == codeExiting || refusal.Code == chain.CodeStopping) {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.refused++
	}
	return err
}

func (d *Drain) addPending(p *pending) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.exitTime.IsZero() && !time.Now().Before(d.exitTime) {
		p.cancel(exiting())
		return
	}
	if d.pending == nil {
		d.pending = map[*pending]struct{}{}
	}
	d.pending[p] = struct{}{}
}

func (d *Drain) removePending(p *pending) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(d.pending, p)
}

// refusePending refuses the requests whose answers have not begun.
func (d *Drain) refusePending() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for p := range d.pending {
		p.cancel(exiting())
	}
}

func exiting() *chain.Refusal {
	return chain.Refuse(http.StatusServiceUnavailable, codeExiting, "this entry stops before the request could be answered").WithRetryAfter(exitRetryAfter)
}

// markUncertain changes the refusal of a request that may have run: status 503 would promise
// that it has not.
func markUncertain(err error) error {
	var refusal *chain.Refusal
	if !errors.As(err, &refusal) || refusal.Code != codeExiting || refusal.Ran == chain.RanNo {
		return err
	}
	return refusal.MayHaveRun()
}
