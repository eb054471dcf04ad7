package class

import (
	"container/list"
	"errors"
	"math"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
)

const (
	// halfLife is the time in which what is known of a caller loses half its
	// weight.
	halfLife = 30 * time.Second
	// flightHalfLife is the same for the peak of requests in progress.
	flightHalfLife = 10 * time.Second
	// chainTime is how soon after an answer a program sends its next request.
	chainTime = 100 * time.Millisecond
	// mostCallers bounds the callers remembered.
	mostCallers = 1 << 14
	// longestThink bounds a pause, so that a night's rest is one long pause
	// and not more.
	longestThink = time.Minute
)

// caller is what one key did lately.
type caller struct {
	name   string
	seen   time.Time
	flight int
	// peak is the decayed peak of flight.
	peak float64
	// requests is the decayed count of requests.
	requests float64
	// answers and tokens are decayed sums of answers and their sizes.
	answers, tokens float64
	// pauses and paused are decayed sums of pauses and their lengths in
	// seconds; idle is when the last answer ended.
	pauses, paused float64
	idle           time.Time
	// chained is the decayed count of requests that came within chainTime of
	// an answer's end, as those of a program do that sends the next at once.
	chained float64
	// runs is the decayed count of requests to adapters, near of those that
	// came shortly after another to the same adapter.
	runs, near      float64
	ended           time.Time
	resends, leaves float64
	last            string
	lastAt          time.Time
}

// decay brings the sums to the present.
func (c *caller) decay(now time.Time) {
	passed := now.Sub(c.seen)
	c.seen = now
	share := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	for _, sum := range []*float64{&c.requests, &c.answers, &c.tokens, &c.pauses, &c.paused, &c.chained, &c.runs, &c.near, &c.resends, &c.leaves} {
		*sum *= share
	}
	c.peak *= math.Exp2(-passed.Seconds() / flightHalfLife.Seconds())
}

func (c *caller) begin(now time.Time) {
	c.decay(now)
	c.requests++
	if !c.ended.IsZero() && now.Sub(c.ended) <= chainTime {
		c.chained++
	}
	c.ended = time.Time{}
	if !c.idle.IsZero() {
		pause := min(now.Sub(c.idle), longestThink)
		c.pauses++
		c.paused += pause.Seconds()
		c.idle = time.Time{}
	}
	c.flight++
	c.peak = max(c.peak, float64(c.flight))
}

// habit returns the share of requests that came near another, and of how many.
func (c *caller) habit() (share, requests float64) {
	if c.runs == 0 {
		return 0, 0
	}
	return c.near / c.runs, c.runs
}

func (c *caller) noteRun(near bool) {
	c.runs++
	if near {
		c.near++
	}
}

func (c *caller) features(r *chain.Request, now time.Time) Features {
	f := Features{
		Service:      r.Service != "",
		AtMostOnce:   r.AtMostOnce,
		Stream:       r.Stream,
		MaxTokens:    r.MaxTokens,
		InFlight:     c.peak,
		PauseSamples: c.pauses,
		Rate:         c.requests * math.Ln2 / halfLife.Seconds(),
		ChainedShare: c.chained / c.requests,
		RequestCount: c.requests,
	}
	if c.answers > 0 {
		f.MeanTokens = c.tokens / c.answers
	}
	if c.pauses > 0 {
		f.MeanPause = time.Duration(c.paused / c.pauses * float64(time.Second))
	}
	content := string(r.Digest)
	if content == c.last && now.Sub(c.lastAt) < longestThink {
		c.resends++
	}
	c.last = content
	c.lastAt = now
	f.Resends = c.resends
	f.Disconnects = c.leaves
	return f
}

func (c *caller) end(r *chain.Request, err error, now time.Time) {
	c.decay(now)
	c.flight--
	c.ended = now
	if c.flight == 0 {
		c.idle = now
	}
	var refusal *chain.Refusal
	if errors.As(err, &refusal) && refusal.Status == chain.StatusClientClosed {
		c.leaves++
		return
	}
	if err == nil && r.SentTokens > 0 {
		c.answers++
		c.tokens += float64(r.SentTokens)
	}
}

// callers is a bounded set that forgets the one unused for longest.
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
	if c.order.Len() > mostCallers {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.byName, oldest.Value.(*caller).name)
	}
	return found
}
