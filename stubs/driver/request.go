package driver

import (
	"net/http"
	"time"
)

// Request is one request and its outcome.
type Request struct {
	Caller    CallerKind
	Workspace string
	Adapter   string
	Prompt    string
	// MaxTokens limits the answer.
	MaxTokens int
	Stream    bool
	// IdempotencyKey identifies a filing. Resend marks the second request with the same key.
	IdempotencyKey string
	Resend         bool
	// Sent is when the request was sent, FirstOutput when the first token of a completion or
	// the body of another answer arrived, and Ended when the answer ended.
	Sent, FirstOutput, Ended time.Time
	// Status is the HTTP status, or 0 when no answer arrived.
	Status int
	// Code and Ran are fields of the error in a refusal's body.
	Code, Ran string
	// Text is the answer. CompletionTokens and PromptTokens are the token counts that the
	// answer reports.
	Text                           string
	CompletionTokens, PromptTokens int64
	// Complete reports whether the answer arrived up to its end.
	Complete bool
	// Failure is the reason why no complete answer arrived.
	Failure string
	// Entry is the address of the entry that received the request.
	Entry string
}

// Answered reports whether the request succeeded and its answer is complete.
func (r *Request) Answered() bool { return r.succeeded() && r.Complete }

// succeeded reports whether the HTTP status is that of a success.
func (r *Request) succeeded() bool {
	return r.Status == http.StatusOK || r.Status == http.StatusCreated
}

// Refused reports whether the request was refused with an error code.
func (r *Request) Refused() bool { return !r.succeeded() && r.Code != "" }
