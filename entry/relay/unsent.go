package relay

import (
	"context"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
)

// maxUnsentTime is how long after the first failed connection a request that could not be
// sent is attempted. Agents restart within a second; those that do not come back leave the
// roster within three.
const maxUnsentTime = 8 * time.Second

// afterUnsent records an attempt of which nothing was sent, and returns an error unless another
// one follows. It pauses before the connections that follow many failed ones.
func (j *job) afterUnsent(ctx context.Context) error {
	if j.unsent == 0 {
		j.unsentSince = time.Now()
	}
	j.unsent++
	if time.Since(j.unsentSince) >= maxUnsentTime {
		return j.refusal(attemptsFailed())
	}
	if j.unsent%maxTries == 0 {
		pause.For(ctx, fullRetryInterval)
	}
	return nil
}
