package daemon_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/stubs/model"
)

const (
	historyCallers = 6
	historyTime    = 90 * time.Second
)

// recorded is one attempt and what its entry saw.
type recorded struct {
	attempt *call.Attempt
	result  *result
}

// history collects the attempts of concurrent callers.
type history struct {
	mutex   sync.Mutex
	records []recorded
}

func (h *history) add(a *call.Attempt, r *result) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.records = append(h.records, recorded{a, r})
}

// count returns the number of whole answers and of refusals as not run.
func (h *history) count() (whole, unrun int) {
	for _, record := range h.records {
		if record.result.end != nil {
			whole++
		}
		if refused := record.result.refused; refused != nil && !refused.MayHaveRun {
			unrun++
		}
	}
	return whole, unrun
}

// traffic runs concurrent callers for historyTime, each with its own seed.
// Some go away while they are answered.
func (s *site) traffic(h *history, next func(*rand.Rand, int) *call.Attempt) {
	var group sync.WaitGroup
	until := time.Now().Add(historyTime)
	for n := range historyCallers {
		group.Add(1)
		go func() {
			defer group.Done()
			random := rand.New(rand.NewPCG(uint64(n), 21))
			for serial := 0; time.Now().Before(until); serial++ {
				s.call(h, next(random, n*10_000+serial), random.IntN(8) == 0)
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			}
		}()
	}
	group.Wait()
}

// call runs one attempt on a session of its own, which may break off.
func (s *site) call(h *history, a *call.Attempt, breaks bool) {
	entry := s.dialOwn()
	stream := entry.open(a)
	if breaks {
		time.AfterFunc(700*time.Millisecond, func() { _ = entry.session.Close() })
	}
	h.add(a, read(stream))
	_ = stream.Close()
	_ = entry.session.Close()
}

func TestHistoryOfCompletionsUnderFaults(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var failing sync.Map
		s := start(t, func(s *site) {
			s.engine.Slots, s.engine.Places = 3, 3
			s.engine.FailLoad = func(adapter, _ string) bool {
				_, fails := failing.Load(adapter)
				return fails
			}
		})
		defer s.end()
		h := &history{}
		go func() {
			random := rand.New(rand.NewPCG(31, 32))
			for s.ctx.Err() == nil {
				time.Sleep(time.Duration(3+random.IntN(8)) * time.Second)
				switch random.IntN(4) {
				case 0:
					s.engine.Crash()
				case 1:
					failing.Store("a1", true)
					time.AfterFunc(4*time.Second, func() { failing.Delete("a1") })
				case 2:
					s.muted.Store(true)
					time.AfterFunc(4*time.Second, func() { s.muted.Store(false) })
				case 3:
					s.engine.Leave(true)
					time.AfterFunc(3*time.Second, func() { s.engine.Leave(false) })
				}
			}
		}()
		s.traffic(h, func(random *rand.Rand, serial int) *call.Attempt {
			a := s.attempt(fmt.Sprint("a", random.IntN(6)), fmt.Sprintf("prompt-%d.", serial), 10+random.Int64N(200))
			a.Version = fmt.Sprint("v", 1+random.IntN(2))
			a.Class = call.Class(random.IntN(call.ClassCount))
			a.Remaining = 20 * time.Second
			return a
		})
		seen := s.seen()
		for _, record := range h.records {
			if record.result.end != nil {
				whole(t, record.attempt, record.result)
			}
			if refused := record.result.refused; refused != nil && !refused.MayHaveRun {
				require.NotContains(t, seen, `"`+model.Prompt(record.attempt.Body)+`"`, "refused as not run: %s", refused.Reason)
			}
		}
		answered, unrun := h.count()
		t.Logf("%d attempts: %d whole, %d not run, %d interrupted", len(h.records), answered, unrun, s.agent.Host.Meter.Value("preempted"))
		require.Greater(t, answered, 100)
		require.Positive(t, unrun)
	})
}

// seen returns the bodies of all completions that the engine received.
func (s *site) seen() string {
	var bodies strings.Builder
	for _, received := range s.engine.Received() {
		if received.Path == "/v1/completions" {
			bodies.WriteString(received.Body)
		}
	}
	return bodies.String()
}

func TestHistoryOfFilingsUnderFaults(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := start(t, func(s *site) {
			plainService(s)
			s.service.Poison = "poison"
		})
		defer s.end()
		h := &history{}
		s.traffic(h, func(random *rand.Rand, serial int) *call.Attempt {
			body := fmt.Sprintf("case-%d.", serial)
			if random.IntN(25) == 0 {
				body += "poison"
			}
			return s.filing(body)
		})
		time.Sleep(10 * time.Second)
		filings := s.service.Filings()
		for _, record := range h.records {
			body := string(record.attempt.Body)
			require.LessOrEqual(t, filings[body], 1, body)
			if record.result.end != nil {
				require.Equal(t, 1, filings[body], body)
			}
			if refused := record.result.refused; refused != nil && !refused.MayHaveRun {
				require.Zero(t, filings[body], body)
			}
			s.checkVerdict(record, filings[body])
		}
		answered, unrun := h.count()
		t.Logf("%d filings: %d answered, %d not run", len(h.records), answered, unrun)
		require.Greater(t, answered, 100)
	})
}

// checkVerdict asks what became of a filing, which has to agree with what the
// service did.
func (s *site) checkVerdict(record recorded, filed int) {
	entry := s.dialOwn()
	verdict := entry.probe(record.attempt)
	_ = entry.session.Close()
	switch verdict.State {
	case call.StateNotRun:
		require.Zero(s.t, filed)
	case call.StateDone:
		if verdict.Outcome != nil {
			require.Equal(s.t, 1, filed)
		}
	default:
		require.Failf(s.t, "unsettled", "state %d", verdict.State)
	}
}
