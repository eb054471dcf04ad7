package direct

import (
	"context"
	"encoding/hex"
	"net/http"
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
)

// partDigests returns the digests of the parts of a prompt. They include the service,
// since the engines of another one may answer on the same part.
func partDigests(service string, parts []string) [][]byte {
	digests := make([][]byte, 0, len(parts))
	for _, part := range parts {
		digests = append(digests, digest.Of([]byte("prompt part"), []byte(service), []byte(part)))
	}
	return digests
}

// recordAnswered reports that an endpoint has begun to answer on the prompt.
func (j *job) recordAnswered() {
	if j.filter.OnAnswered != nil && len(j.parts) > 0 {
		j.filter.OnAnswered(j.parts, time.Now())
	}
}

// refusePrompt refuses a request with a quarantined part in its prompt.
func (j *job) refusePrompt() *chain.Refusal {
	if j.filter.Quarantined == nil {
		return nil
	}
	if i := j.quarantinedPart(); i >= 0 {
		part := j.parts[i]
		remaining := j.filter.Quarantined(part)
		j.filter.Host.Log.Write("prompt-refused", "request", j.request.ID, "service", j.service, "part", j.request.PromptParts[i],
			"digest", hex.EncodeToString(part), "remaining", remaining)
		j.filter.Host.Meter.Add("prompts_refused", 1)
		return chain.Refuse(http.StatusServiceUnavailable, "quarantined", "endpoints crashed on a part of the prompt").WithRetryAfter(remaining)
	}
	return nil
}

// watchQuarantine returns a context that ends when a part of the prompt is quarantined, so
// that the request does not wait on; stop ends the watch.
func (j *job) watchQuarantine(ctx context.Context) (watched context.Context, stop func()) {
	watched, cancel := context.WithCancel(ctx)
	if j.filter.QuarantineChanged == nil || j.filter.Quarantined == nil || len(j.parts) == 0 {
		return watched, cancel
	}
	go func() {
		for {
			changed := j.filter.QuarantineChanged()
			if j.quarantinedPart() >= 0 {
				cancel()
				return
			}
			select {
			case <-watched.Done():
				return
			case <-changed:
			}
		}
	}()
	return watched, cancel
}

// quarantinedPart returns the index of the first quarantined part of the prompt, or -1.
func (j *job) quarantinedPart() int {
	return slices.IndexFunc(j.parts, func(part []byte) bool { return j.filter.Quarantined(part) > 0 })
}
