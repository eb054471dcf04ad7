// Package direct sends the requests of opaque routes to endpoints itself and
// gives callers the endpoints' answers unchanged.
//
// A request is sent to another endpoint only when it is proved not to have run,
// or when the route says that it may run again; a stream that broke off is
// continued behind its last whole event where the route allows that.
package direct

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/pool"
	"github.com/tanagerspindle/tanagerspindle/entry/retry"
	"github.com/tanagerspindle/tanagerspindle/entry/shares"
	"github.com/tanagerspindle/tanagerspindle/entry/view"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

// Kind classifies the failures of this package.
type Kind string

// The kinds of failure.
const (
	// KindAnswer says that what an endpoint sent is not its answer.
	KindAnswer Kind = "not the endpoint's answer"
	// KindSize says that an answer is larger than may be held.
	KindSize Kind = "answer too large"
	// KindUnresponsive says that an endpoint sent nothing for too long.
	KindUnresponsive Kind = "endpoint is silent"
	// KindUnreachable says that an agent did not answer lately and is not asked.
	KindUnreachable Kind = "agent did not answer lately"
)

// Error is this package's error type.
type Error = fault.Error[Kind]

const (
	// beginTime is how long a stream may take to begin, and answerTime how
	// long each of its tokens takes at a busy engine; from the users' sheets,
	// 8 ms and a half more.
	beginTime  = 1500 * time.Millisecond
	answerTime = 12 * time.Millisecond
	// stoppingLater is when a caller may come back to another entry: at once.
	stoppingLater = 10 * time.Millisecond
)

// Call is one attempt of a request at one endpoint.
type Call struct {
	// Request is the caller's. Its header and body go on unchanged.
	Request *chain.Request
	// Endpoint is the only one that may run it.
	Endpoint advert.Record
	// Remaining is how long the caller waits from now.
	Remaining time.Duration
	// Version is the version of the adapter that the endpoint must hold; 0
	// does not ask for one.
	Version int64
	// Priority is the request's priority, 0 first.
	Priority int32
	// LastEventID is the ID of the last event that the caller has of a stream that
	// is continued; nil when the attempt starts where the caller asked.
	LastEventID *int64
	// NewConnection asks for a new connection.
	NewConnection bool
}

// Answer is an endpoint's answer.
type Answer struct {
	Status int
	Header http.Header
	// Authentic says that the endpoint vouches for the answer.
	Authentic bool
	// NotExecuted says that the endpoint vouches that it has not run the request
	// and will not.
	NotExecuted bool
	// Body ends with an error when the answer is not whole. It is closed by
	// the receiver.
	Body io.ReadCloser
}

// Filter is the filter that serves opaque routes; it passes others on. Its
// exported fields are set before the first request.
type Filter struct {
	// Host is the daemon's.
	Host host.Host
	// Config returns the configuration in force.
	Config func() *conf.Config
	// Endpoints holds the endpoints.
	Endpoints *view.Endpoints
	// Agents holds the sessions to agents.
	Agents *pool.Pool
	// Budget bounds the repeats.
	Budget *retry.Budget
	// Send sends a call and returns the answer's head. An error is a
	// *kept.Error; one of kept.KindDial says that nothing was sent.
	Send func(ctx context.Context, c *Call) (*Answer, error)
	// ShutdownTime returns when this process will be gone, zero while it goes on; nil
	// never ends.
	ShutdownTime func() time.Time
	// OnConnectionLost is called with a request that broke off at an endpoint before
	// anything of its answer came, Cleared with a suspected one that ended well.
	// Nil calls nobody.
	OnConnectionLost func(endpoint advert.Record, digest []byte, now time.Time)
	OnSuspectCleared func(digest []byte)
	// Random returns a number between 0 and 1; nil uses the global generator.
	Random func() float64

	fame  shares.Estimator
	mutex sync.Mutex
	// newest are the versions that new requests need, by model and adapter.
	newest map[[2]string]int64
}

// AddReleases takes versions of adapters that new requests need.
func (d *Filter) AddReleases(releases []plane.Release) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.newest == nil {
		d.newest = map[[2]string]int64{}
	}
	for _, release := range releases {
		key := [2]string{release.Model, release.Adapter}
		d.newest[key] = max(d.newest[key], release.Version)
	}
}

func (d *Filter) version(model, adapter string) int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.newest[[2]string{model, adapter}]
}

func (d *Filter) random() float64 {
	if d.Random != nil {
		return d.Random()
	}
	return rand.Float64()
}

// Do serves a request of an opaque route.
func (d *Filter) Do(ctx context.Context, r *chain.Request, next chain.Next) error {
	if r.Route.Kind != conf.RouteOpaque {
		return next(ctx, r)
	}
	if refusal := d.tooLong(r, time.Now()); refusal != nil {
		return refusal
	}
	service := d.service(&r.Route)
	d.Budget.RecordRequest(service)
	if d.finishes(r) {
		// What must not repeat goes on to its end although its caller leaves.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline())
	defer cancel()
	j := &job{direct: d, request: r, service: service, excluded: map[string]bool{}, ran: chain.RanNo}
	if configured, ok := d.Config().Services[service]; ok {
		j.engine = configured.Engine
	}
	return j.run(ctx)
}

// tooLong refuses a stream at an entry that stops when its answer would
// probably be cut off by the process's end; another entry can serve it whole.
func (d *Filter) tooLong(r *chain.Request, now time.Time) *chain.Refusal {
	if d.ShutdownTime == nil || !r.Route.Stream {
		return nil
	}
	ends := d.ShutdownTime()
	if ends.IsZero() || now.Add(beginTime+time.Duration(r.MaxTokens)*answerTime).Before(ends) {
		return nil
	}
	return chain.Refuse(http.StatusServiceUnavailable, "stopping", "this entry stops before the answer could be whole").WithRetryAfter(stoppingLater)
}

// finishes reports whether a request is not cancelled when its caller leaves.
func (d *Filter) finishes(r *chain.Request) bool { return !r.Route.Idempotent && !r.Route.Stream }

// service returns the service that a request goes to, by the weights of a
// split route.
func (d *Filter) service(route *conf.Route) string {
	if len(route.Split) == 0 {
		return route.Service
	}
	sum := int64(0)
	for _, share := range route.Split {
		sum += share.Weight
	}
	at := int64(d.random() * float64(sum))
	for _, share := range route.Split {
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	return route.Split[0].Service
}
