package poison

import (
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
)

const (
	// settleTime is the time within which crashes may have one cause. A request that
	// crashes endpoints is at each endpoint that crashes; a rack that loses power has no
	// such request. The reports of crashes at the same moment arrive within this time.
	settleTime = 300 * time.Millisecond
	// begunPartSpacing is the time within which crashes count as one for a part on which
	// endpoints had begun to answer; a sound one is answered completely elsewhere meanwhile.
	begunPartSpacing = time.Second
	// minBegunListed is the number of crashes from which what endpoints had begun to
	// answer is listed as suspected: most is in one crash only.
	minBegunListed = 2
)

// hasBegun reports whether the endpoint had begun to answer any candidate.
func (c *Crash) hasBegun() bool {
	return slices.ContainsFunc(c.Parts, func(p plane.CrashPart) bool { return p.Begun })
}

// settlesAt returns the committed time at which all crashes at the same moment are known.
func (c *Crash) settlesAt() int64 { return c.AtNanos + int64(settleTime) }

// settle considers the crashes that have settled at a committed time.
func (p *Parts) settle(now int64) {
	due, ok := p.nextSettled()
	if !ok || due > now {
		return
	}
	p.settledUntil = now
	before := len(p.quarantined)
	p.quarantine(now)
	if len(p.quarantined) != before || len(p.begunCandidates(now)) > 0 {
		p.revision++
	}
}

// nextSettled returns the committed time at which the next crash settles, and false if there
// is none.
func (p *Parts) nextSettled() (int64, bool) {
	for i := range p.crashes {
		if crash := &p.crashes[i]; crash.settlesAt() > p.settledUntil && crash.hasBegun() {
			return crash.settlesAt(), true
		}
	}
	return 0, false
}

// groups returns the settled crashes that no quarantined part explains, those within
// settleTime together.
func (p *Parts) groups(now int64) [][]*Crash {
	var groups [][]*Crash
	for i := range p.crashes {
		crash := &p.crashes[i]
		if p.explained(crash) {
			continue
		}
		if last := len(groups) - 1; last >= 0 && crash.AtNanos < groups[last][0].settlesAt() {
			groups[last] = append(groups[last], crash)
			continue
		}
		if crash.settlesAt() > now {
			break
		}
		groups = append(groups, []*Crash{crash})
	}
	return groups
}

// begunCandidates returns, by digest, the candidates that endpoints had begun to answer. A
// candidate counts in a group of crashes if it is in each of them.
func (p *Parts) begunCandidates(now int64) map[string]*candidate {
	found := map[string]*candidate{}
	for _, group := range p.groups(now) {
		for _, part := range group[0].Parts {
			inAll, begun := true, false
			for _, crash := range group {
				inAll = inAll && crash.has(part.Digest)
				begun = begun || crash.has(part.Digest) && !crash.hasUnanswered(part.Digest)
			}
			known := found[string(part.Digest)]
			if !inAll || !begun && known == nil {
				continue
			}
			if known == nil {
				known = &candidate{digest: part.Digest}
				found[string(part.Digest)] = known
			}
			known.position = max(known.position, part.Position)
			known.addBegun(group[0])
		}
	}
	return found
}

// addBegun counts a group of crashes by its first one, unless it counts as one with the
// group before.
func (c *candidate) addBegun(crash *Crash) {
	if last := len(c.crashes) - 1; last >= 0 && c.position != plane.ContentPosition && crash.AtNanos-c.crashes[last].AtNanos < int64(begunPartSpacing) {
		return
	}
	c.crashes = append(c.crashes, crash)
}

// isListed reports whether a candidate that endpoints had begun to answer is listed as
// suspected; c may be nil.
func (c *candidate) isListed() bool { return c != nil && len(c.crashes) >= minBegunListed }

// findBegunCause returns the cause among the candidates that endpoints had begun to answer,
// nil if none explains enough.
func findBegunCause(candidates map[string]*candidate) *candidate {
	return findCause(candidates, func(c *candidate) bool {
		return hasLaterPart(c, candidates, (*Crash).has) || hasEqual(c, candidates)
	})
}

// hasEqual reports whether a part or content of another request, at the same position, is in
// all crashes of c.
func hasEqual(c *candidate, candidates map[string]*candidate) bool {
	for _, other := range candidates {
		if other != c && other.position == c.position && c.shared(other, (*Crash).has) == len(c.crashes) {
			return true
		}
	}
	return false
}
