// Package chain passes a caller's request through a list of filters.
package chain

import (
	"context"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/buffer"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

// Kind classifies the failures of this package.
type Kind string

// KindUnhandled means that no filter answered the request.
const KindUnhandled Kind = "no filter answered the request"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Next runs the rest of the chain.
type Next func(ctx context.Context, r *Request) error

// Filter answers a request, refuses it, or passes it on by calling next, with or
// without changes. It returns a *Refusal if the caller gets no answer or an incomplete
// one.
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

// API is the kind of interface that a caller's request uses.
type API int

// The interfaces for callers.
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

// Request is one request as it passes through the chain.
type Request struct {
	// API, Method, Path, Query, Header and Body describe the caller's request. The auth
	// filter removes keys from them.
	API    API
	Method string
	// Path is the escaped path without the query.
	Path   string
	Query  string
	Header http.Header
	Body   []byte

	// ModelName, Prompt, PromptTokens, MaxTokens and Stream are set for completions
	// only. ModelName is the field "model" of the request.
	ModelName    string
	Prompt       string
	PromptTokens int64
	MaxTokens    int64
	Stream       bool
	// Host, CallerTimeout, QuotaTokens and ExpectedTokens are used by opaque routes.
	// Host is the host name in the caller's request.
	Host string
	// CallerTimeout is how long the caller waits by its own statement; 0 if it gives
	// none.
	CallerTimeout time.Duration
	// QuotaTokens is the number of tokens that count towards the workspace's rate; 0 if
	// the caller gives none.
	QuotaTokens int64
	// ExpectedTokens is the answer length that the caller expects; 0 if it gives none.
	ExpectedTokens int64

	// PromptParts identifies the parts of the prompt that other requests may share, in
	// order; the last part, which belongs to the request itself, is not among them.
	PromptParts []string

	// FirstAttempt is the ID of the caller's attempt that brought the first event of the
	// stream that this request continues, and LastEventID that of the last event that the
	// caller has. Both are empty for a request that continues no stream.
	FirstAttempt string
	LastEventID  string

	// ID identifies the request; the trace filter sets it if the frontend has not.
	// Start is when the request arrived.
	ID    string
	Start time.Time

	// Key is the digest of a configured key, otherwise empty. KeyPresented means that
	// the request had a key, configured or not.
	Key          string
	KeyPresented bool

	// The auth filter sets Workspace for a configured key. The match filter sets the
	// following fields up to Objective, and Workspace for an open route.
	Workspace string
	// RouteName is empty if an adapter was called by its own name.
	RouteName  string
	Route      conf.Route
	Open       bool
	AtMostOnce bool
	Model      string
	Adapter    string
	// Version does not change after the match filter.
	Version   string
	Service   string
	Objective conf.Objective
	// Models is the answer to APIModels.
	Models []string

	// Digest identifies the content. Suspect means that the request may have crashed an
	// endpoint.
	Digest  []byte
	Suspect bool

	// Class is the urgency of the request, inferred or, on an opaque route, set by the
	// route. MaxWait is how long the caller is expected to wait for the first token.
	Class   call.Class
	MaxWait time.Duration

	// ReservedTokens is the number of answer tokens reserved. Extend reserves more and
	// returns the new total; it waits until they are available or ctx ends.
	ReservedTokens int64
	Extend         func(ctx context.Context) (int64, error)

	// TakeTokens takes the request's tokens from its workspace before an attempt is sent, and
	// waits for them for a limited time. It returns a function that returns them, to be called
	// if the attempt provably has not run and no other one of the request may have. Once an
	// attempt may have run, it takes nothing more. It is nil for a request that needs no tokens
	// or has taken them on arrival.
	TakeTokens func(ctx context.Context) (giveBack func(), err error)

	// Claim is called before an attempt of an at-most-once request is sent, and Void
	// after an attempt that provably has not run. Both are nil for other requests.
	Claim func(ctx context.Context, attempt *call.Attempt, agent string) error
	Void  func(ctx context.Context, attempt *call.Attempt) error

	// Check is called between attempts and returns an error if the request must not run
	// any more.
	Check func() error

	// Memory is the memory that the request holds in the process. It is nil where memory is
	// not bounded; otherwise Write takes the answer into a buffer and blocks only while that
	// is full.
	Memory *buffer.Hold

	// Write takes the frames of the answer in order: one FrameHead, any number of
	// FramePart and one FrameEnd. Filters may wrap it. An error means that the caller has
	// disconnected.
	Write func(frame *call.Frame) error

	// SentTokens is the number of answer tokens passed to Write; FirstTokenAt and
	// LastTokenAt are the times of the first and the last of them.
	SentTokens   int64
	FirstTokenAt time.Time
	LastTokenAt  time.Time
	// MaxGap is the longest time between two parts of the answer.
	MaxGap time.Duration
	// AnswerBegun reports that the head of an answer was passed to Write.
	AnswerBegun bool
	// Endpoint is the target of the last attempt, AdmissionWait the time the request
	// waited to be admitted there, and FailedAttempts the number of attempts that
	// failed before. They are set for opaque routes only.
	Endpoint       string
	AdmissionWait  time.Duration
	FailedAttempts int
}

// Deadline returns the time until which the caller is expected to wait.
func (r *Request) Deadline() time.Time { return r.Start.Add(r.MaxWait) }

// ResumesStream reports whether the caller continues a stream that another attempt began.
func (r *Request) ResumesStream() bool { return r.FirstAttempt != "" || r.LastEventID != "" }
