// Package chain runs a caller's request through a list of filters.
package chain

import (
	"context"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// KindUnhandled says that the last filter passed a request on.
const KindUnhandled Kind = "no filter answered"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Next runs the rest of the chain.
type Next func(ctx context.Context, r *Request) error

// Filter decides about a request, changes it, or passes it on by calling next.
// It returns a *Refusal when the caller gets no answer or no whole one.
type Filter func(ctx context.Context, r *Request, next Next) error

// Chain runs its filters in order.
type Chain struct {
	// Filters are fixed before the first request.
	Filters []Filter
}

// Run passes a request through every filter.
func (c *Chain) Run(ctx context.Context, r *Request) error {
	return c.run(ctx, r, 0)
}

func (c *Chain) run(ctx context.Context, r *Request, at int) error {
	if at == len(c.Filters) {
		return &Error{Op: "run chain", Kind: KindUnhandled}
	}
	return c.Filters[at](ctx, r, func(ctx context.Context, r *Request) error {
		return c.run(ctx, r, at+1)
	})
}

// API is the shape of a caller's request.
type API int

// The faces towards callers.
const (
	// APIService is a call of a plain service.
	APIService API = iota
	// APICompletion is POST /v1/completions.
	APICompletion
	// APIChat is POST /v1/chat/completions.
	APIChat
	// APIModels is GET /v1/models.
	APIModels
)

// Request is one request on its way through the chain.
type Request struct {
	// API, Method, Path, Query, Header and Body describe the caller's
	// request. From the auth filter on, none of them holds a key.
	API    API
	Method string
	// Path is the escaped path without the query.
	Path   string
	Query  string
	Header http.Header
	Body   []byte

	// ModelName, Prompt, PromptTokens, MaxTokens and Stream belong to the faces of
	// models. ModelName is what the caller put into "model".
	ModelName    string
	Prompt       string
	PromptTokens int64
	MaxTokens    int64
	Stream       bool
	// Host and the fields down to Hint belong to opaque routes. Host is the
	// host name that the caller asked.
	Host string
	// CallerTimeout is how long the caller says that it waits; 0 when it does not.
	CallerTimeout time.Duration
	// QuotaTokens is what the request counts towards its workspace's allowance; 0
	// when the caller names no counts.
	QuotaTokens int64
	// ExpectedTokens is how many answer tokens the caller expects; 0 when it does not
	// say.
	ExpectedTokens int64

	// ID is set by the trace filter unless the caller's face has set it; Start
	// is when the request arrived.
	ID    string
	Start time.Time

	// Key is the digest of a key that is configured, else empty. Presented
	// says that the caller showed any key.
	Key          string
	KeyPresented bool

	// The match filter sets the fields from Workspace to Goal.
	Workspace string
	// RouteName is empty when an adapter was called by its own name.
	RouteName  string
	Route      conf.Route
	Open       bool
	AtMostOnce bool
	Model      string
	Adapter    string
	// Version never changes after the match filter.
	Version   string
	Service   string
	Objective conf.Objective
	// Models is the answer to FaceModels.
	Models []string

	// Digest identifies the content; Suspect says that it may have crashed
	// an endpoint.
	Digest  []byte
	Suspect bool

	// Class and Patience are inferred. Patience is how long the caller will
	// probably wait for the first token.
	Class   call.Class
	MaxWait time.Duration

	// ReservedTokens is how many answer tokens are paid for. Extend pays for more
	// and returns the new total; it waits until they are there or ctx ends.
	ReservedTokens int64
	Extend         func(ctx context.Context) (int64, error)

	// Claim is called before an attempt of a request that must not repeat is
	// sent, and Void after one that is proved not to have run. Both are nil
	// for other requests.
	Claim func(ctx context.Context, attempt *call.Attempt, agent string) error
	Void  func(ctx context.Context, attempt *call.Attempt) error

	// Check reports, between attempts, why the request may no longer run.
	Check func() error

	// Write takes the frames of the answer in order: one StepHead, StepParts
	// and one StepEnd. Filters may wrap it. An error means that the caller
	// has gone away.
	Write func(frame *call.Frame) error

	// SentTokens counts the answer's tokens given to Write, and First and Last are
	// when the first and the last of them were.
	SentTokens   int64
	FirstTokenAt time.Time
	LastTokenAt  time.Time
	// MaxGap is the longest time between two pieces of the answer.
	MaxGap time.Duration
	// Endpoint is where the last attempt went, Waited how long the request
	// waited to be admitted there, and Tries how many attempts failed before;
	// for opaque routes.
	Endpoint       string
	AdmissionWait  time.Duration
	FailedAttempts int
}

// Deadline returns when the caller's patience ends.
func (r *Request) Deadline() time.Time { return r.Start.Add(r.MaxWait) }
