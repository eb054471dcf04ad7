package lora

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which the weight of a past request halves. The
	// users' demand moves on to other adapters within several seconds.
	halfLife = 15 * time.Second
	// mostUses bounds the adapters whose use is known: a few times what one
	// engine of today's sites serves.
	mostUses = 20_000
	// forgotten is the worth below which a use is dropped to make room.
	forgotten = 0.01
)

// use counts the requests for one adapter, the older ones for less.
type use struct {
	worth float64
	last  time.Time
}

func (u *use) at(now time.Time) float64 {
	if u == nil {
		return 0
	}
	return u.worth * math.Exp2(-float64(now.Sub(u.last))/float64(halfLife))
}

// Touch counts one request for an adapter.
func (s *Cache) Touch(key Key, now time.Time) {
	s.prepare()
	known := s.uses[key]
	if known == nil {
		s.trim(now)
		known = &use{}
		s.uses[key] = known
	}
	known.worth = known.at(now) + 1
	known.last = now
}

func (s *Cache) trim(now time.Time) {
	if len(s.uses) < mostUses {
		return
	}
	for key, known := range s.uses {
		if known.at(now) < forgotten {
			delete(s.uses, key)
		}
	}
	for key := range s.uses {
		if len(s.uses) < mostUses {
			return
		}
		delete(s.uses, key)
	}
}
