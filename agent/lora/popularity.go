package lora

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which the weight of a past request halves. Demand shifts to
	// other adapters within several seconds.
	halfLife = 15 * time.Second
	// maxTracked bounds the number of adapters whose popularity is tracked. It is a few times
	// the number of adapters that requests to one engine use.
	maxTracked = 20_000
	// minWeight is the weight below which an entry is dropped when the limit is reached.
	minWeight = 0.01
)

// popularity is an exponentially decayed count of the requests for one adapter.
type popularity struct {
	// weight is the count as of last, the time of the last request.
	weight float64
	last   time.Time
}

// weightAt returns the count decayed to a time.
func (p *popularity) weightAt(now time.Time) float64 {
	if p == nil {
		return 0
	}
	return p.weight * math.Exp2(-float64(now.Sub(p.last))/float64(halfLife))
}

// Touch counts one request for an adapter.
func (c *Cache) Touch(key Key, now time.Time) {
	c.prepare()
	entry := c.popularity[key]
	if entry == nil {
		c.trimPopularity(now)
		entry = &popularity{}
		c.popularity[key] = entry
	}
	entry.weight = entry.weightAt(now) + 1
	entry.last = now
}

// trimPopularity makes room for one more entry. It drops entries of low weight first and then
// arbitrary ones.
func (c *Cache) trimPopularity(now time.Time) {
	if len(c.popularity) < maxTracked {
		return
	}
	for key, entry := range c.popularity {
		if entry.weightAt(now) < minWeight {
			delete(c.popularity, key)
		}
	}
	for key := range c.popularity {
		if len(c.popularity) < maxTracked {
			return
		}
		delete(c.popularity, key)
	}
}
