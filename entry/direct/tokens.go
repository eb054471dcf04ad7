package direct

import (
	"context"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
)

const (
	// maxTokenHold is how long a request holds its tokens while it waits for its admission.
	// Leases live for a few hundred milliseconds, and tokens that outlive their lease are lost
	// to the workspace.
	maxTokenHold = 100 * time.Millisecond
	// maxTokenRetake is how long an admitted request waits for its tokens if it no longer holds
	// them. The engine keeps a place for it meanwhile; an exchange with control takes a few
	// milliseconds.
	maxTokenRetake = 60 * time.Millisecond
)

// heldTokens are the tokens of a request that waits for its admission.
type heldTokens struct {
	mutex    sync.Mutex
	giveBack func()
	timer    *time.Timer
}

// selectWithTokens takes the request's tokens and chooses an endpoint that may be sent the
// request. Tokens come first, so that requests beyond their workspace's rate occupy no engine;
// a request that waits for long gives them back meanwhile. It returns neither a target nor a
// refusal when ctx has ended, and reports whether the request has to begin again.
func (j *job) selectWithTokens(ctx context.Context) (selected *target, giveBack func(), refusal *chain.Refusal, again bool) {
	if refusal := j.awaitEndpoint(ctx); refusal != nil {
		return nil, nil, refusal, false
	}
	held, refusal := j.holdTokens(ctx)
	if refusal != nil {
		return nil, nil, refusal, false
	}
	selecting, stop := j.watchQuarantine(ctx)
	selected, refusal = j.selectTarget(selecting)
	stop()
	if selected == nil {
		held.drop()
		return nil, nil, refusal, false
	}
	if giveBack = held.keep(); giveBack != nil {
		return selected, giveBack, nil, false
	}
	if giveBack = j.retakeTokens(ctx); giveBack != nil {
		return selected, giveBack, nil, false
	}
	j.filter.Host.Meter.Add("admissions_without_tokens", 1)
	selected.release()
	return nil, nil, nil, true
}

// holdTokens takes the request's tokens, unless they were taken on arrival or by an earlier
// attempt that may have run. It may wait for them.
func (j *job) holdTokens(ctx context.Context) (*heldTokens, *chain.Refusal) {
	held := &heldTokens{giveBack: func() {}}
	if j.request.TakeTokens == nil {
		return held, nil
	}
	giveBack, err := j.request.TakeTokens(ctx)
	if err != nil {
		return nil, chain.RefusalOf(err)
	}
	held.mutex.Lock()
	defer held.mutex.Unlock()
	held.giveBack = giveBack
	held.timer = time.AfterFunc(maxTokenHold, held.drop)
	return held, nil
}

// drop gives the tokens back.
func (h *heldTokens) drop() {
	if giveBack := h.keep(); giveBack != nil {
		giveBack()
	}
}

// keep ends the hold. It returns the function that gives the tokens back, or nil if they were
// given back.
func (h *heldTokens) keep() func() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.timer != nil {
		h.timer.Stop()
	}
	giveBack := h.giveBack
	h.giveBack = nil
	return giveBack
}

// retakeTokens takes the tokens of a request that has been admitted. It returns nil if they do
// not come at once, or if the agent that gave the admission was lost meanwhile.
func (j *job) retakeTokens(ctx context.Context) (giveBack func()) {
	waiting, cancel := context.WithTimeout(ctx, maxTokenRetake)
	defer cancel()
	if lost := j.admissionLost; lost != nil {
		go func() {
			select {
			case <-lost:
				cancel()
			case <-waiting.Done():
			}
		}()
	}
	giveBack, err := j.request.TakeTokens(waiting)
	if err != nil {
		return nil
	}
	if waiting.Err() != nil {
		giveBack()
		return nil
	}
	return giveBack
}
