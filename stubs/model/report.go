package model

import (
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
)

const (
	// maxReports bounds the kept load reports.
	maxReports = 4096
	// maxEvents bounds the kept cache events.
	maxEvents = 4096
	// gapEvery is which cache events are never published.
	gapEvery = 13
	// maxPrefix is the number of leading blocks of a prompt that are cached.
	maxPrefix = 16
)

// report is the load at a time.
type report struct {
	at      time.Time
	running int
	waiting int
}

// noteLoad keeps the present load for later reports.
func (e *Engine) noteLoad() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.batch == nil {
		return
	}
	running, waiting := e.batch.counts()
	e.reports = append(e.reports, report{at: time.Now(), running: running, waiting: waiting})
	if len(e.reports) > maxReports {
		e.reports = e.reports[len(e.reports)-maxReports/2:]
	}
}

// report answers with the load as it was Lag ago.
func (e *Engine) report(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.mutex.Lock()
	var last report
	for _, r := range e.reports {
		if time.Since(r.at) >= e.ReportDelay {
			last = r
		}
	}
	boot := e.boot
	e.mutex.Unlock()
	writeJSON(w, map[string]any{"running": last.running, "waiting": last.waiting, "boot": boot})
}

// cache is the prefix cache, oldest block first.
type cache struct {
	blocks []uint64
	held   map[uint64]bool
	events []cacheEvent
	seq    uint64
}

// cacheEvent says that a block was stored or removed.
type cacheEvent struct {
	Seq   uint64 `json:"seq"`
	Block uint64 `json:"block"`
	Kind  string `json:"kind"`
	at    time.Time
}

// remember stores the prompt's blocks and returns how many of its tokens were
// cached already.
func (e *Engine) remember(q *question) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	found := 0
	for _, block := range digest.PrefixHashes(identity(q.Adapter, q.Version)+"\x00"+q.prompt, maxPrefix) {
		if e.cache.held[block] {
			found++
			continue
		}
		e.cache.store(block, e.CacheBlocks)
	}
	return min(found*digest.PrefixBlock/bytesPerToken, CountTokens(q.prompt))
}

func (c *cache) store(block uint64, limit int) {
	if limit <= 0 {
		return
	}
	if c.held == nil {
		c.held = map[uint64]bool{}
	}
	for len(c.blocks) >= limit {
		c.publish(c.blocks[0], "removed")
		delete(c.held, c.blocks[0])
		c.blocks = c.blocks[1:]
	}
	c.blocks = append(c.blocks, block)
	c.held[block] = true
	c.publish(block, "stored")
}

func (c *cache) publish(block uint64, kind string) {
	c.seq++
	if c.seq%gapEvery == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Seq: c.seq, Block: block, Kind: kind, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents/2:]
	}
}

// events answers with the cache events after "since" that are Lag old.
func (e *Engine) events(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	e.mutex.Lock()
	shown := []cacheEvent{}
	for _, event := range e.cache.events {
		if event.Seq > since && time.Since(event.at) >= e.ReportDelay {
			shown = append(shown, event)
		}
	}
	e.mutex.Unlock()
	writeJSON(w, map[string]any{"events": shown})
}
