package class

import (
	"container/list"
	"errors"
	"math"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
)

const (
	// halfLife is the time in which a caller's past behaviour loses half its weight.
	halfLife = 30 * time.Second
	// peakHalfLife is the half-life of the peak number of requests in progress.
	peakHalfLife = 10 * time.Second
	// chainedWithin is the longest time between an answer and the next request of a
	// program that sends its requests one after another.
	chainedWithin = 100 * time.Millisecond
	// maxCallers limits the number of callers remembered.
	maxCallers = 1 << 14
	// maxPause caps the length of a pause, so that a pause of hours does not dominate
	// the mean.
	maxPause = time.Minute
)

// caller holds decayed statistics about the recent requests of one key and kind of use.
type caller struct {
	name      string
	updatedAt time.Time
	inFlight  int
	// peakInFlight is the decayed peak of inFlight.
	peakInFlight float64
	// requests is the decayed number of requests.
	requests float64
	// answers and tokens are the decayed number of answers and the sum of their tokens.
	answers, tokens float64
	// pauseCount and pauseSeconds are the decayed number of pauses and the sum of their
	// lengths. idleSince is when the last request ended, zero while one is in progress.
	pauseCount, pauseSeconds float64
	idleSince                time.Time
	// chained is the decayed number of requests that came within chainedWithin of an
	// answer's end, as those of a sequential program do.
	chained float64
	// adapterRequests is the decayed number of requests to adapters, sameAdapter of
	// those that came shortly after another to the same adapter.
	adapterRequests, sameAdapter float64
	lastEnd                      time.Time
	resends, disconnects         float64
	lastDigest                   string
	lastDigestAt                 time.Time
}

// decay reduces the statistics by the time passed since the last update.
func (c *caller) decay(now time.Time) {
	passed := now.Sub(c.updatedAt)
	c.updatedAt = now
	share := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	for _, sum := range []*float64{&c.requests, &c.answers, &c.tokens, &c.pauseCount, &c.pauseSeconds, &c.chained, &c.adapterRequests, &c.sameAdapter, &c.resends, &c.disconnects} {
		*sum *= share
	}
	c.peakInFlight *= math.Exp2(-passed.Seconds() / peakHalfLife.Seconds())
}

func (c *caller) begin(now time.Time) {
	c.decay(now)
	c.requests++
	if !c.lastEnd.IsZero() && now.Sub(c.lastEnd) <= chainedWithin {
		c.chained++
	}
	c.lastEnd = time.Time{}
	if !c.idleSince.IsZero() {
		pause := min(now.Sub(c.idleSince), maxPause)
		c.pauseCount++
		c.pauseSeconds += pause.Seconds()
		c.idleSince = time.Time{}
	}
	c.inFlight++
	c.peakInFlight = max(c.peakInFlight, float64(c.inFlight))
}

// sameAdapterShare returns the share of adapter requests that came shortly after
// another to the same adapter, and the decayed number of adapter requests.
func (c *caller) sameAdapterShare() (share, requests float64) {
	if c.adapterRequests == 0 {
		return 0, 0
	}
	return c.sameAdapter / c.adapterRequests, c.adapterRequests
}

func (c *caller) recordAdapterRequest(sameAdapter bool) {
	c.adapterRequests++
	if sameAdapter {
		c.sameAdapter++
	}
}

func (c *caller) features(r *chain.Request, now time.Time) Features {
	f := Features{
		Service:      r.Service != "",
		AtMostOnce:   r.AtMostOnce,
		Stream:       r.Stream,
		MaxTokens:    r.MaxTokens,
		InFlight:     c.peakInFlight,
		PauseSamples: c.pauseCount,
		Rate:         c.requests * math.Ln2 / halfLife.Seconds(),
		ChainedShare: c.chained / c.requests,
		RequestCount: c.requests,
	}
	if c.answers > 0 {
		f.MeanTokens = c.tokens / c.answers
	}
	if c.pauseCount > 0 {
		f.MeanPause = time.Duration(c.pauseSeconds / c.pauseCount * float64(time.Second))
	}
	content := string(r.Digest)
	if content == c.lastDigest && now.Sub(c.lastDigestAt) < maxPause {
		c.resends++
	}
	c.lastDigest = content
	c.lastDigestAt = now
	f.Resends = c.resends
	f.Disconnects = c.disconnects
	return f
}

func (c *caller) end(r *chain.Request, err error, now time.Time) {
	c.decay(now)
	c.inFlight--
	c.lastEnd = now
	if c.inFlight == 0 {
		c.idleSince = now
	}
	var refusal *chain.Refusal
	if errors.As(err, &refusal) && refusal.Status == chain.StatusClientClosed {
		c.disconnects++
		return
	}
	if err == nil && r.SentTokens > 0 {
		c.answers++
		c.tokens += float64(r.SentTokens)
	}
}

// callers is a bounded set that evicts the least recently used caller.
type callers struct {
	byName map[string]*list.Element
	order  list.List
}

func (c *callers) get(name string) *caller {
	if c.byName == nil {
		c.byName = map[string]*list.Element{}
	}
	if element, ok := c.byName[name]; ok {
		c.order.MoveToFront(element)
		return element.Value.(*caller)
	}
	found := &caller{name: name}
	c.byName[name] = c.order.PushFront(found)
	if c.order.Len() > maxCallers {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.byName, oldest.Value.(*caller).name)
	}
	return found
}
