// Package direct implements the filter that serves opaque routes: it sends
// their requests to endpoints without an agent in between and returns the
// endpoints' answers unchanged.
//
// A request is sent to another endpoint only when it provably has not run, or
// when its route allows it to run again. An interrupted stream is continued
// after its last complete event if the route allows that.
package direct

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/crash"
	"github.com/tanagerspindle/tanagerspindle/entry/hedge"
	"github.com/tanagerspindle/tanagerspindle/entry/pool"
	"github.com/tanagerspindle/tanagerspindle/entry/retry"
	"github.com/tanagerspindle/tanagerspindle/entry/shares"
	"github.com/tanagerspindle/tanagerspindle/entry/view"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/origin"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/stream"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindAnswer reports that a response is not a valid answer of the endpoint.
	KindAnswer Kind = "invalid endpoint answer"
	// KindSize reports an answer that is larger than may be buffered.
	KindSize Kind = "answer too large"
	// KindTruncated reports a stream that ended before it was complete.
	KindTruncated Kind = "stream ended early"
	// KindUnresponsive reports an endpoint that sent nothing for too long.
	KindUnresponsive Kind = "endpoint is unresponsive"
	// KindUnreachable reports an agent that is not queried because it recently
	// failed to reply.
	KindUnreachable Kind = "agent recently failed to reply"
	// KindBacklog reports an endpoint that gets no further body because it does not read
	// those that it has.
	KindBacklog Kind = "endpoint does not read its request bodies"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// streamStartTime is how long a stream may take to start, and timePerToken
	// how long each of its tokens takes at a busy engine: 8 ms by the engines'
	// specification, and half as much again.
	streamStartTime = 1500 * time.Millisecond
	timePerToken    = 12 * time.Millisecond
	// stoppingRetryAfter is the retry delay of a caller rejected by a stopping
	// entry. It is minimal, since another entry can serve the request at once.
	stoppingRetryAfter = 10 * time.Millisecond
)

// Call is one attempt of a request at one endpoint.
type Call struct {
	// Request is the caller's request. Its header and body are sent unchanged.
	Request *chain.Request
	// Endpoint is the only endpoint that may run the request.
	Endpoint advert.Record
	// Remaining is how much longer the caller waits for the answer.
	Remaining time.Duration
	// Version is the adapter version that the endpoint must hold; 0 requires no
	// particular version.
	Version int64
	// Priority is the request's priority, 0 first.
	Priority int32
	// LastEventID is the ID of the last event that the caller has received of a
	// resumed stream; nil when the attempt starts the stream from its
	// beginning.
	LastEventID *int64
	// NewConnection requires a new connection; it is set for every attempt but
	// the first.
	NewConnection bool
	// OnNotice is called with what the endpoint says of itself in each answer,
	// also in one to another request. It may be nil.
	OnNotice func(notice advert.Notice)
	// OnSent is called when nothing of the body will be sent any more; it may be nil and
	// may be called more than once.
	OnSent func()
}

// Answer is an endpoint's answer to a Call.
type Answer struct {
	Status int
	Header http.Header
	// Authentic reports that the answer provably comes from the endpoint.
	Authentic bool
	// NotExecuted reports that the endpoint guarantees that it has not run the
	// request and will not run it.
	NotExecuted bool
	// EndsWithConnection reports that the end of the connection is the only mark
	// of the body's end.
	EndsWithConnection bool
	// Body returns an error when the answer is incomplete. The receiver of the
	// Answer closes it.
	Body io.ReadCloser
}

// isEventStream reports whether the answer is a stream of events. An answer that
// does not state its type is taken for one.
func (a *Answer) isEventStream() bool {
	contentType := a.Header.Get("Content-Type")
	return contentType == "" || stream.IsContentType(contentType)
}

// Filter is the filter that serves opaque routes; it passes requests of other
// routes to the next filter. Its exported fields are set before the first
// request.
type Filter struct {
	// Host provides the daemon's log and metrics.
	Host host.Host
	// Config returns the configuration in force.
	Config func() *conf.Config
	// Endpoints holds the state of the endpoints.
	Endpoints *view.Endpoints
	// Agents holds the sessions to agents.
	Agents *pool.Pool
	// Budget limits retries.
	Budget *retry.Budget
	// Hedges decides on second attempts of requests whose answers are late; nil makes none.
	// HedgeShare is the limit on them for services that set none.
	Hedges     *hedge.Policy
	HedgeShare float64
	// Send sends a call and returns the head of the answer. An error is an
	// *httpc.Error; httpc.KindDial means that nothing was sent.
	Send func(ctx context.Context, c *Call) (*Answer, error)
	// ShutdownTime returns when this process will exit, or zero while no
	// shutdown is in progress. Nil means that the process never exits.
	ShutdownTime func() time.Time
	// OnConnectionLost is called with a request whose connection broke before the answer
	// was complete, OnSuspectCleared with the digest of a suspected request that was
	// answered completely. Both may be nil.
	OnConnectionLost func(endpoint advert.Record, request crash.Request, now time.Time)
	OnSuspectCleared func(digest []byte)
	// OnAnswered is called with the digests of the parts of a prompt on which an
	// endpoint has begun to answer, OnCompleted with a request that was answered
	// completely. Quarantined returns how much longer requests with a part are
	// refused, 0 if they are not. Each may be nil.
	OnAnswered  func(parts [][]byte, now time.Time)
	OnCompleted func(request crash.Request, now time.Time)
	Quarantined func(part []byte) time.Duration
	// QuarantineChanged returns a channel that is closed when the quarantine changes. Nil
	// means that it does not change.
	QuarantineChanged func() <-chan struct{}
	// OnNoticeChanged is called when an endpoint has said something new of itself. It may be
	// nil.
	OnNoticeChanged func()
	// RecordOrigin is called with where a stream began, and FindOrigin finds it by the ID
	// of the attempt of the caller that began it; answered is false if an agent that may hold
	// the record did not reply in time. Nil keeps no origins. Current reports
	// whether the endpoints are known as of about now; nil means that they are.
	RecordOrigin func(record origin.Record)
	FindOrigin   func(ctx context.Context, attempt string) (found origin.Record, answered bool)
	Current      func() bool
	// Confirm waits until Endpoints holds all that control had committed when Confirm was
	// called, and reports whether that happened before ctx ended. Nil means that it does.
	Confirm func(ctx context.Context) bool
	// Random returns a number between 0 and 1; nil uses the global generator.
	Random func() float64

	popularity shares.Estimator
	anew       anewSpread
	// malformedLog limits the lines about malformed notices.
	malformedLog     rate.Sometimes
	malformedLogOnce sync.Once
	mutex            sync.Mutex
	// minVersions are the adapter versions that new requests need, by model and
	// adapter.
	minVersions map[[2]string]int64
}

// AddReleases records released adapter versions, which new requests then need.
func (f *Filter) AddReleases(releases []plane.Release) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.minVersions == nil {
		f.minVersions = map[[2]string]int64{}
	}
	for _, release := range releases {
		key := [2]string{release.Model, release.Adapter}
		f.minVersions[key] = max(f.minVersions[key], release.Version)
	}
}

func (f *Filter) minVersion(model, adapter string) int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.minVersions[[2]string{model, adapter}]
}

func (f *Filter) random() float64 {
	if f.Random != nil {
		return f.Random()
	}
	return rand.Float64()
}

// Do serves a request of an opaque route.
func (f *Filter) Do(ctx context.Context, r *chain.Request, next chain.Next) error {
	if r.Route.Kind != conf.RouteOpaque {
		return next(ctx, r)
	}
	if refusal := f.refuseLongStream(r, time.Now()); refusal != nil {
		return refusal
	}
	service := f.service(&r.Route)
	f.Budget.RecordRequest(service)
	f.recordHedgeable(service, r, time.Now())
	if f.runsToCompletion(r) {
		detached, stop := detachFromCaller(ctx)
		defer stop()
		ctx = detached
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline())
	defer cancel()
	j := &job{filter: f, request: r, service: service, excluded: map[string]bool{}, ran: chain.RanNo, awaitsAgents: true}
	return j.run(ctx)
}

// detachFromCaller returns a context for a request that is completed although its caller has
// disconnected, because it must not run twice. It ends if the entry itself ends the request.
func detachFromCaller(ctx context.Context) (detached context.Context, stop func()) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	unregister := context.AfterFunc(ctx, func() {
		if refusal := chain.Canceled(ctx, chain.RanUnknown); refusal.Status != chain.StatusClientClosed {
			cancel(context.Cause(ctx))
		}
	})
	return detached, func() {
		unregister()
		cancel(nil)
	}
}

// refuseLongStream refuses a stream at a stopping entry when the process would
// probably exit before the end of the answer; another entry can serve it
// completely.
func (f *Filter) refuseLongStream(r *chain.Request, now time.Time) *chain.Refusal {
	if f.ShutdownTime == nil || !r.Route.Stream {
		return nil
	}
	ends := f.ShutdownTime()
	if ends.IsZero() || now.Add(streamStartTime+time.Duration(r.MaxTokens)*timePerToken).Before(ends) {
		return nil
	}
	return chain.Refuse(http.StatusServiceUnavailable, chain.CodeStopping, "this entry stops before the answer could be whole").WithRetryAfter(stoppingRetryAfter)
}

// runsToCompletion reports whether a request continues after its caller has
// disconnected.
func (f *Filter) runsToCompletion(r *chain.Request) bool {
	return !r.Route.Idempotent && !r.Route.Stream
}

// service returns the service that serves a request, drawn by weight on a split
// route.
func (f *Filter) service(route *conf.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	sum := int64(0)
	for _, share := range route.Split {
		sum += share.Weight
	}
	at := int64(f.random() * float64(sum))
	for _, share := range route.Split {
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	return route.Split[0].Service
}
