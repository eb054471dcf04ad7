package driver

import (
	"net/http"
	"time"
)

// Request is one request and what became of it.
type Request struct {
	Caller    CallerKind
	Workspace string
	Adapter   string
	Prompt    string
	// MaxTokens bounds the answer.
	MaxTokens int
	Stream    bool
	// IdempotencyKey is the idempotency key of a filing; a resend has the same.
	IdempotencyKey string
	Resend         bool
	// Sent is when the request was sent, FirstOutput when the first token or byte
	// of the answer came, Ended when the answer ended.
	Sent, FirstOutput, Ended time.Time
	// Status is the HTTP status; 0 when no answer came.
	Status int
	// Code and Ran come from a refusal's JSON.
	Code, Ran string
	// Text is the answer, Tokens its length in tokens and Prompted the
	// prompt's length as the answer's usage tells it.
	Text                           string
	CompletionTokens, PromptTokens int64
	// Complete says that the answer had its end mark.
	Complete bool
	// Failure tells why no whole answer came.
	Failure string
	// Entry is the one that the balancer chose.
	Entry string
}

// Answered reports whether a whole answer came.
func (r *Request) Answered() bool { return r.succeeded() && r.Complete }

func (r *Request) succeeded() bool {
	return r.Status == http.StatusOK || r.Status == http.StatusCreated
}

// Refused reports whether the system refused the request.
func (r *Request) Refused() bool { return !r.succeeded() && r.Code != "" }
