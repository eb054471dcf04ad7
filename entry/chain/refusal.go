package chain

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Ran states whether a refused request may have run.
type Ran string

// The values of Ran.
const (
	// RanNo means that the request provably has not run.
	RanNo Ran = "no"
	// RanUnknown means that the request may have run, in part or completely.
	RanUnknown Ran = "unknown"
)

// Refusal is the error of a request that gets no complete answer.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Type and Code are meant for programs, Message for people.
	Type    string
	Code    string
	Message string
	Ran     Ran
	// RetryAfter is the time after which to retry; zero if a retry does not help.
	RetryAfter time.Duration
	// AllowedMethods lists the methods of the route if the request's method is not one
	// of them.
	AllowedMethods []string
}

// Error formats the refusal for logs.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused %d %s (ran: %s): %s", r.Status, r.Code, r.Ran, r.Message)
}

// Refuse returns a refusal of a request that has not run.
func Refuse(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Type: typeOf(status), Code: code, Message: message, Ran: RanNo}
}

// WithRetryAfter sets the time after which to retry and returns the refusal.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	r.RetryAfter = wait
	return r
}

// WithRanUnknown returns a copy which states that the request may have run.
func (r *Refusal) WithRanUnknown() *Refusal {
	other := *r
	other.Ran = RanUnknown
	return &other
}

// MayHaveRun returns a copy for a request that may have run: neither its status nor a retry
// delay promises that it has not.
func (r *Refusal) MayHaveRun() *Refusal {
	other := r.WithRanUnknown()
	other.RetryAfter = 0
	if other.Status != http.StatusGatewayTimeout {
		other.Status = http.StatusBadGateway
	}
	return other
}

func typeOf(status int) string {
	switch status {
	case http.StatusUnauthorized:
		return "authentication_error"
	case http.StatusNotFound:
		return "not_found_error"
	case http.StatusTooManyRequests:
		return "rate_limit_error"
	}
	if status < http.StatusInternalServerError {
		return "invalid_request_error"
	}
	return "unavailable_error"
}

// Canceled returns the refusal that canceled ctx, or one for a caller that has
// disconnected.
func Canceled(ctx context.Context, ran Ran) *Refusal {
	var cause *Refusal
	if errors.As(context.Cause(ctx), &cause) {
		other := *cause
		other.Ran = ran
		return &other
	}
	return &Refusal{Status: StatusClientClosed, Type: "caller_error", Code: "caller_gone", Message: "the caller went away", Ran: ran}
}

// Codes of refusals after which the request may have run.
const (
	// CodeOutcomeUnknown means that the outcome will never be known.
	CodeOutcomeUnknown = "outcome_unknown"
	// CodeOutcomePending means that the outcome could not be determined yet.
	CodeOutcomePending = "outcome_pending"
)

// CodeStopping is the code of requests that a stopping entry refuses on arrival, since it
// might exit before the end of the answer.
const CodeStopping = "stopping"

// StatusClientClosed is the status logged for a request whose caller disconnected.
const StatusClientClosed = 499

// RefusalOf returns the refusal in err. Any other error becomes an internal error,
// after which the request may have run.
func RefusalOf(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{
		Status:  http.StatusInternalServerError,
		Type:    "internal_error",
		Code:    "internal",
		Message: "the request failed inside the entry",
		Ran:     RanUnknown,
	}
}
