package chain

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Ran says whether a refused request may have run.
type Ran string

// The values of Ran.
const (
	// RanNo is said only when it is proved.
	RanNo Ran = "no"
	// RanUnknown says that the request may have run in part or whole.
	RanUnknown Ran = "unknown"
)

// Refusal is the end of a request without a whole answer.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Type and Code are for programs, Message is for people.
	Type    string
	Code    string
	Message string
	Ran     Ran
	// RetryAfter is when asking again helps; zero when waiting does not help.
	RetryAfter time.Duration
	// AllowedMethods lists the methods of the route after a wrong one.
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

// WithRetryAfter returns the refusal with a time to come back.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	r.RetryAfter = wait
	return r
}

// WithRanUnknown returns a copy that says that the request may have run.
func (r *Refusal) WithRanUnknown() *Refusal {
	other := *r
	other.Ran = RanUnknown
	return &other
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

// Canceled returns the refusal that ended ctx, or one that says that the caller
// went away.
func Canceled(ctx context.Context, ran Ran) *Refusal {
	var cause *Refusal
	if errors.As(context.Cause(ctx), &cause) {
		other := *cause
		other.Ran = ran
		return &other
	}
	return &Refusal{Status: StatusClientClosed, Type: "caller_error", Code: "caller_gone", Message: "the caller went away", Ran: ran}
}

// The codes of refusals whose effect is not known.
const (
	// CodeOutcomeUnknown says that the outcome will never be known.
	CodeOutcomeUnknown = "outcome_unknown"
	// CodeOutcomePending says that the outcome could not be found out yet.
	CodeOutcomePending = "outcome_pending"
)

// StatusClientClosed is the status in logs of a request whose caller went away.
const StatusClientClosed = 499

// RefusalOf returns the refusal in err; any other error becomes a failure
// whose effect is unknown.
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
