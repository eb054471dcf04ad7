package quota

import (
	"slices"
	"time"

	"github.com/tanagerspindle/tanagerspindle/ctrl/state"
	"github.com/tanagerspindle/tanagerspindle/pkg/bucket"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// space is one workspace's bucket. The sum of the bucket's level, pending,
// reserve and the leases' tokens never exceeds the burst.
type space struct {
	name   string
	bucket *bucket.Bucket
	// pending is taken from the bucket by a record that is not committed yet.
	pending int64
	// reserve is committed as granted and may be granted until valid.
	reserve int64
	valid   time.Time
	// life is how long a grant may be spent by the last committed record, and
	// proposed by the one under way. Grants go by the shorter.
	life, proposed time.Duration
	// leases are the grants that may still be spent, by their end.
	leases []lease
	out    int64
	// tickets are the entries that wait for tokens, first come first.
	tickets []ticket
	wants   map[string]want
	// granted counts the tokens granted since the last tick and use is their
	// smoothed number per second.
	granted int64
	use     float64
	// starved says that an ask waits for a further record.
	starved bool
	// owed is what entries have spent without a grant and the bucket has not
	// repaid.
	owed int64
}

type lease struct {
	id     uint64
	entry  string
	tokens int64
	until  time.Time
}

type ticket struct {
	entry string
	least int64
	until time.Time
}

type want struct {
	tokens int64
	at     time.Time
}

func newSpace(name string, limits conf.Workspace, horizon state.Reservation, seen time.Time, known bool) *space {
	now := time.Now()
	s := &space{name: name, wants: map[string]want{}, life: longestLife, proposed: longestLife}
	if !known {
		s.bucket = bucket.New(limits.Rate, limits.Burst, limits.Burst, now)
		return s
	}
	s.bucket = bucket.New(limits.Rate, limits.Burst, horizon.Level, seen)
	if horizon.Held > 0 {
		ends := horizon.EndsAfter.Std()
		if ends == 0 {
			ends = reserveLife + longestLife
		}
		s.lease(lease{tokens: horizon.Held, until: seen.Add(ends + clockDrift)})
	}
	return s
}

// lease adds a grant in the order of the ends.
func (s *space) lease(granted lease) {
	at, _ := slices.BinarySearchFunc(s.leases, granted, func(a, b lease) int { return a.until.Compare(b.until) })
	s.leases = slices.Insert(s.leases, at, granted)
	s.out += granted.tokens
}

func (s *space) held() int64 { return s.pending + s.reserve + s.out }

// advance brings the bucket to now. Leases that end on the way free their
// room in the bucket only from then on.
func (s *space) advance(now time.Time) {
	for len(s.leases) > 0 && !s.leases[0].until.After(now) {
		ended := s.leases[0]
		s.leases = s.leases[1:]
		s.bucket.Advance(ended.until, s.held())
		s.out -= ended.tokens
	}
	s.bucket.Advance(now, s.held())
	if s.reserve > 0 && !s.valid.After(now) {
		s.bucket.Refund(s.reserve)
		s.reserve = 0
	}
	s.repay()
	s.tickets = slices.DeleteFunc(s.tickets, func(t ticket) bool { return !t.until.After(now) })
	for entry, wish := range s.wants {
		if now.Sub(wish.at) > wantLife {
			delete(s.wants, entry)
		}
	}
}

// repay takes what is owed out of the bucket, as far as it goes.
func (s *space) repay() { s.owed -= s.bucket.Take(s.owed) }

// wish is how long a grant should be valid. Tokens that may still be spent keep
// room in the bucket, so it is short when the burst is small.
func (s *space) wish() time.Duration {
	half := time.Duration(float64(s.bucket.Burst()) / float64(s.bucket.Rate()) / 2 * float64(time.Second))
	return min(max(half, shortestLife), longestLife)
}

// giveBack takes back unused tokens of a lease that has not ended, and frees
// the room of spent ones.
func (s *space) giveBack(entry string, ask *plane.TokenRequest) {
	for i := range s.leases {
		held := &s.leases[i]
		if held.id != ask.LeaseID || held.entry != entry || held.id == 0 {
			continue
		}
		back := min(ask.UnusedTokens, held.tokens)
		spent := min(ask.SpentTokens, held.tokens-back)
		held.tokens -= back + spent
		s.out -= back + spent
		s.reserve += back
		return
	}
}

// ahead returns the tokens that entries before this one in line wait for.
func (s *space) ahead(entry string) int64 {
	sum := int64(0)
	for _, t := range s.tickets {
		if t.entry == entry {
			break
		}
		sum += t.least
	}
	return sum
}

// grant answers one ask. short says that a commit would bring enough tokens;
// nothing is granted then.
func (s *space) grant(id uint64, entry string, ask *plane.TokenRequest, now time.Time) (given plane.Grant, short bool) {
	life := min(s.life, s.proposed)
	given = plane.Grant{Workspace: s.name, Lifetime: span.Duration(life)}
	if ask.WantedTokens <= 0 && ask.MinTokens <= 0 {
		given.DemandRatio = s.demand()
		return given, false
	}
	least := max(ask.MinTokens, 1)
	s.wants[entry] = want{tokens: max(ask.WantedTokens, least), at: now}
	given.DemandRatio = s.demand()
	if least > s.bucket.Burst() {
		given.ExceedsBurst = true
		return given, false
	}
	ahead := s.ahead(entry)
	if s.reserve-ahead < least {
		if s.reserve+s.pending+s.bucket.Level()-ahead >= least {
			s.starved = s.reserve+s.pending-ahead < least
			return given, true
		}
		given.Wait = span.Duration(s.line(entry, least, ahead, now))
		return given, false
	}
	given.Tokens = s.share(least, max(ask.WantedTokens, least), s.reserve-ahead, entry)
	given.LeaseID = id
	s.reserve -= given.Tokens
	s.granted += given.Tokens
	s.lease(lease{id: id, entry: entry, tokens: given.Tokens, until: now.Add(life)})
	s.tickets = slices.DeleteFunc(s.tickets, func(t ticket) bool { return t.entry == entry })
	return given, false
}

// share returns least and an equal share of the rest, up to want.
func (s *space) share(least, most, usable int64, entry string) int64 {
	others := int64(0)
	for other := range s.wants {
		if other != entry {
			others++
		}
	}
	extra := (usable - least) / (others + 1)
	return least + min(most-least, extra)
}

// line puts an entry in line and returns when its tokens will probably be
// there.
func (s *space) line(entry string, least, ahead int64, now time.Time) time.Duration {
	wait := max(s.bucket.Wait(ahead+least-s.reserve), shortestWait)
	if ahead+least > s.bucket.Burst()-s.out && len(s.leases) > 0 {
		wait = max(wait, s.leases[0].until.Sub(now))
	}
	until := now.Add(wait + ticketLife)
	at := slices.IndexFunc(s.tickets, func(t ticket) bool { return t.entry == entry })
	if at < 0 {
		s.tickets = append(s.tickets, ticket{entry: entry, least: least, until: until})
		return wait
	}
	s.tickets[at].least, s.tickets[at].until = least, until
	return wait
}

// demand is what entries wished for lately over the rate.
func (s *space) demand() float64 {
	sum := int64(0)
	for _, wish := range s.wants {
		sum += wish.tokens
	}
	return float64(sum) / float64(s.bucket.Rate())
}

// target is how many tokens the reserve should hold: what entries wish for
// now, or what they use in reserveLife.
func (s *space) target() int64 {
	sum := int64(0)
	for _, wish := range s.wants {
		sum += wish.tokens
	}
	for _, t := range s.tickets {
		sum += t.least
	}
	return max(sum, int64(s.use*reserveLife.Seconds()))
}

// topUp takes tokens for the next record. It returns false when the workspace
// needs none.
func (s *space) topUp(now time.Time) (state.Reservation, bool) {
	s.advance(now)
	missing := s.target() - s.reserve
	ending := s.reserve > 0 && s.target() > 0 && s.valid.Sub(now) < 2*tick
	low := 2*s.reserve <= s.target() || s.starved
	s.starved = false
	if (missing <= 0 || !low) && !ending {
		return state.Reservation{}, false
	}
	s.pending = s.bucket.Take(missing)
	if s.pending == 0 && !ending {
		return state.Reservation{}, false
	}
	s.proposed = s.wish()
	ends := max(reserveLife+s.proposed, s.lastEnd(now))
	return state.Reservation{Workspace: s.name, Level: s.bucket.Level(), Held: s.held(), EndsAfter: span.Duration(ends)}, true
}

// lastEnd is how long the last lease may still be spent.
func (s *space) lastEnd(now time.Time) time.Duration {
	if len(s.leases) == 0 {
		return 0
	}
	return s.leases[len(s.leases)-1].until.Sub(now)
}

// yield empties the reserve and returns what a successor starts from.
func (s *space) yield(now time.Time) state.Reservation {
	s.advance(now)
	s.bucket.Refund(s.reserve + s.pending)
	s.reserve, s.pending = 0, 0
	return state.Reservation{Workspace: s.name, Level: s.bucket.Level(), Held: s.out, EndsAfter: span.Duration(max(s.lastEnd(now), 1))}
}

// settle ends a record that was proposed at a time.
func (s *space) settle(committed bool, proposed time.Time) {
	if !committed {
		s.life = min(s.life, s.proposed)
		s.bucket.Refund(s.pending)
		s.pending = 0
		return
	}
	s.life = s.proposed
	s.reserve += s.pending
	s.pending = 0
	s.valid = proposed.Add(reserveLife)
}

// smooth follows the use of the workspace, once each tick.
func (s *space) smooth() {
	// The use is averaged over about 0.8 s.
	const weight = 0.12
	perSecond := float64(s.granted) * float64(time.Second/tick)
	s.use += weight * (perSecond - s.use)
	if s.use < 1 {
		s.use = 0
	}
	s.granted = 0
}

// idle reports whether nothing depends on the space any more: its state
// follows from the committed horizon.
func (s *space) idle() bool {
	return s.held() == 0 && s.owed == 0 && len(s.tickets) == 0 && len(s.wants) == 0 && s.use == 0 && s.bucket.Level() == s.bucket.Burst()
}
