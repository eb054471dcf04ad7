package model

import (
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
)

const (
	// maxReports limits the number of load reports kept.
	maxReports = 4096
	// maxEvents limits the number of cache events kept.
	maxEvents = 4096
	// droppedEventInterval is the interval, in sequence numbers, of the cache events that are
	// never published, to simulate lost events.
	droppedEventInterval = 13
	// maxPrefixBlocks limits the number of leading blocks of a prompt that are cached.
	maxPrefixBlocks = 16
)

// loadReport is the number of requests at one time.
type loadReport struct {
	at      time.Time
	running int
	waiting int
}

// recordLoad stores the present load for later reports.
func (e *Engine) recordLoad() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.scheduler == nil {
		return
	}
	running, waiting := e.scheduler.counts()
	e.loadReports = append(e.loadReports, loadReport{at: time.Now(), running: running, waiting: waiting})
	if len(e.loadReports) > maxReports {
		e.loadReports = e.loadReports[len(e.loadReports)-maxReports/2:]
	}
}

// serveLoad serves GET /load with the load as it was ReportDelay ago.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	e.mutex.Lock()
	var last loadReport
	for _, r := range e.loadReports {
		if time.Since(r.at) >= e.ReportDelay {
			last = r
		}
	}
	boot := e.boot
	e.mutex.Unlock()
	writeJSON(w, map[string]any{"running": last.running, "waiting": last.waiting, "boot": boot})
}

// cache is the prefix cache. It evicts blocks in the order in which they were stored.
type cache struct {
	blocks  []uint64
	present map[uint64]bool
	events  []cacheEvent
	seq     uint64
}

// cacheEvent reports that a block was stored or removed.
type cacheEvent struct {
	Seq   uint64 `json:"seq"`
	Block uint64 `json:"block"`
	Kind  string `json:"kind"`
	at    time.Time
}

// cachePrompt stores the prompt's blocks in the cache and returns how many of its tokens
// were cached already.
func (e *Engine) cachePrompt(request *completionRequest) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	found := 0
	for _, block := range digest.PrefixHashes(adapterKey(request.Adapter, request.Version)+"\x00"+request.prompt, maxPrefixBlocks) {
		if e.cache.present[block] {
			found++
			continue
		}
		e.cache.store(block, e.CacheBlocks)
	}
	return min(found*digest.PrefixBlock/bytesPerToken, CountTokens(request.prompt))
}

// store adds a block and evicts the oldest ones beyond the limit.
func (c *cache) store(block uint64, limit int) {
	if limit <= 0 {
		return
	}
	if c.present == nil {
		c.present = map[uint64]bool{}
	}
	for len(c.blocks) >= limit {
		c.publish(c.blocks[0], "removed")
		delete(c.present, c.blocks[0])
		c.blocks = c.blocks[1:]
	}
	c.blocks = append(c.blocks, block)
	c.present[block] = true
	c.publish(block, "stored")
}

// publish adds an event to those that the engine serves.
func (c *cache) publish(block uint64, kind string) {
	c.seq++
	if c.seq%droppedEventInterval == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Seq: c.seq, Block: block, Kind: kind, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents/2:]
	}
}

// serveCacheEvents serves GET /cache/events with the events after the sequence number in the
// query parameter "since" that are at least ReportDelay old.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	e.mutex.Lock()
	visible := []cacheEvent{}
	for _, event := range e.cache.events {
		if event.Seq > since && time.Since(event.at) >= e.ReportDelay {
			visible = append(visible, event)
		}
	}
	e.mutex.Unlock()
	writeJSON(w, map[string]any{"events": visible})
}
