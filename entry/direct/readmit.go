package direct

import (
	"context"
	"errors"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
)

// maxConnectSilence is how long after the first connection that was not made in time
// further ones are attempted if no other endpoint is left. A sound endpoint may be silent
// for 1.3 s.
const maxConnectSilence = 2 * time.Second

// connectTimedOut reports whether a connection was neither accepted nor refused in time.
func connectTimedOut(err error) bool {
	return errors.Is(err, &httpc.Error{Kind: httpc.KindDial}) && errors.Is(err, context.DeadlineExceeded)
}

// readmitSilent takes back the exclusion of endpoints to which a connection was not made in time,
// if the request is refused for want of others. It reports whether there are any, and time left.
func (j *job) readmitSilent(refusal *chain.Refusal) bool {
	if refusal == nil || len(j.silent) == 0 || !time.Now().Before(j.silentEnd) {
		return false
	}
	switch refusal.Code {
	case "no_endpoint", "software_gone":
	case "engines_busy":
		if j.lacksRoom {
			return false
		}
	default:
		return false
	}
	for _, name := range j.silent {
		delete(j.excluded, name)
	}
	j.silent = nil
	return true
}

// recordSilent records an endpoint to which a connection was not made in time.
func (j *job) recordSilent(name string) {
	j.silent = append(j.silent, name)
	if now := time.Now(); j.silentEnd.IsZero() {
		// Half of the caller's time is left for the endpoint.
		j.silentEnd = now.Add(min(maxConnectSilence, j.callerDeadline().Sub(now)/2))
	}
}
