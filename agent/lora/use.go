package lora

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which the weight of a past request halves. The
	// users' demand moves on to other adapters within several seconds.
	halfLife = 15 * time.Second
	// maxTracked bounds the adapters whose use is known: a few times what one
	// engine of today's sites serves.
	maxTracked = 20_000
	// minWeight is the worth below which a use is dropped to make room.
	minWeight = 0.01
)

// popularity counts the requests for one adapter, the older ones for less.
type popularity struct {
	weight float64
	last   time.Time
}

func (u *popularity) weightAt(now time.Time) float64 {
	if u == nil {
		return 0
	}
	return u.weight * math.Exp2(-float64(now.Sub(u.last))/float64(halfLife))
}

// Touch counts one request for an adapter.
func (s *Cache) Touch(key Key, now time.Time) {
	s.prepare()
	known := s.popularity[key]
	if known == nil {
		s.trimPopularity(now)
		known = &popularity{}
		s.popularity[key] = known
	}
	known.weight = known.weightAt(now) + 1
	known.last = now
}

func (s *Cache) trimPopularity(now time.Time) {
	if len(s.popularity) < maxTracked {
		return
	}
	for key, known := range s.popularity {
		if known.weightAt(now) < minWeight {
			delete(s.popularity, key)
		}
	}
	for key := range s.popularity {
		if len(s.popularity) < maxTracked {
			return
		}
		delete(s.popularity, key)
	}
}
