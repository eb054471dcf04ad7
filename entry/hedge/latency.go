package hedge

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// periodTime is how long answers are collected before a new histogram is begun. The
	// former one is kept for as long again, so a quantile covers 10 to 20 seconds.
	periodTime = 10 * time.Second
	// refreshTime is how long a computed threshold is used.
	refreshTime = 250 * time.Millisecond
	// minAnswers is how many answers of an endpoint must be known for its quantile, and
	// minRouteAnswers how many of a route for the quantile of all its endpoints, of which
	// some may be slow.
	minAnswers      = 50
	minRouteAnswers = 100
	// maxEndpoints bounds the endpoints of a route whose latencies are kept apart; answers
	// of further ones count for the route only. A histogram takes about 2 KB.
	maxEndpoints = 64
	// maxRoutes bounds the routes whose latencies are kept.
	maxRoutes = 64
	// latencyUnit is the resolution of a latency, maxLatency the longest one, and
	// latencyDigits the number of significant decimal digits: a threshold need not be more
	// precise than 6%.
	latencyUnit   = 100 * time.Microsecond
	maxLatency    = time.Minute
	latencyDigits = 1
)

// history holds the recent latencies of an endpoint on a route, or of a whole route.
type history struct {
	current, former *hdrhistogram.Histogram
	// began is when current was begun, and recorded when the last latency came.
	began, recorded time.Time
}

// advance begins a new period if the current one has ended.
func (h *history) advance(now time.Time) {
	age := now.Sub(h.began)
	switch {
	case h.current == nil || age >= 2*periodTime:
		h.current, h.former, h.began = newHistogram(), nil, now
	case age >= periodTime:
		h.current, h.former, h.began = newHistogram(), h.current, h.began.Add(periodTime)
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencyDigits)
}

func (h *history) record(latency time.Duration, now time.Time) {
	h.advance(now)
	h.recorded = now
	_ = h.current.RecordValue(int64(min(max(latency, latencyUnit), maxLatency) / latencyUnit))
}

// quantile returns the quantile of the recent latencies, or 0 if fewer than the given
// number are known.
func (h *history) quantile(minimum int64, now time.Time) time.Duration {
	h.advance(now)
	both := h.current
	if h.former != nil {
		both = newHistogram()
		both.Merge(h.current)
		both.Merge(h.former)
	}
	if both.TotalCount() < minimum {
		return 0
	}
	return time.Duration(both.ValueAtQuantile(quantile)) * latencyUnit
}

// routeLatencies holds the latencies of one route, together and by endpoint.
type routeLatencies struct {
	all       history
	endpoints map[string]*history
	// usual is the threshold as of computedAt.
	usual      time.Duration
	computedAt time.Time
	usedAt     time.Time
}

// latencies holds the recent latencies by service and route.
type latencies struct {
	routes map[[2]string]*routeLatencies
}

func (l *latencies) record(key [2]string, endpoint string, latency time.Duration, now time.Time) {
	route := l.routes[key]
	if route == nil {
		if route = l.add(key, now); route == nil {
			return
		}
	}
	route.usedAt = now
	route.all.record(latency, now)
	of := route.endpoints[endpoint]
	if of == nil {
		if len(route.endpoints) >= maxEndpoints {
			route.forget(now)
		}
		if len(route.endpoints) >= maxEndpoints {
			return
		}
		of = &history{}
		route.endpoints[endpoint] = of
	}
	of.record(latency, now)
}

// add adds a route, or returns nil if there are too many.
func (l *latencies) add(key [2]string, now time.Time) *routeLatencies {
	if l.routes == nil {
		l.routes = map[[2]string]*routeLatencies{}
	}
	if len(l.routes) >= maxRoutes {
		for other, route := range l.routes {
			if now.Sub(route.usedAt) >= 2*periodTime {
				delete(l.routes, other)
			}
		}
	}
	if len(l.routes) >= maxRoutes {
		return nil
	}
	l.routes[key] = &routeLatencies{endpoints: map[string]*history{}}
	return l.routes[key]
}

// forget removes the endpoints that have not answered for two periods.
func (r *routeLatencies) forget(now time.Time) {
	for name, of := range r.endpoints {
		if now.Sub(of.recorded) >= 2*periodTime {
			delete(r.endpoints, name)
		}
	}
}

// usual returns the threshold of a route, 0 if it is not known, and whether it was
// computed anew.
func (l *latencies) usual(key [2]string, now time.Time) (threshold time.Duration, renewed bool) {
	route := l.routes[key]
	if route == nil {
		return 0, false
	}
	if !route.computedAt.IsZero() && now.Sub(route.computedAt) < refreshTime {
		return route.usual, false
	}
	route.computedAt = now
	route.usual = route.compute(now)
	return route.usual, true
}

// compute returns the lower median of the endpoints' quantiles: that of a single slow
// endpoint would hide its slowness, and that of all answers is dominated by one slow
// endpoint of a few. Where fewer than two endpoints are known well enough, it is the
// quantile of all answers.
func (r *routeLatencies) compute(now time.Time) time.Duration {
	var known []time.Duration
	for _, of := range r.endpoints {
		if value := of.quantile(minAnswers, now); value > 0 {
			known = append(known, value)
		}
	}
	value := time.Duration(0)
	if len(known) >= 2 {
		slices.Sort(known)
		value = known[(len(known)-1)/2]
	} else {
		value = r.all.quantile(minRouteAnswers, now)
	}
	if value == 0 {
		return 0
	}
	return max(value, minThreshold)
}
