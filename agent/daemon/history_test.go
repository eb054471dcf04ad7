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
	historyCallers  = 6
	historyDuration = 90 * time.Second
)

// historyRecord is one attempt and what its entry received.
type historyRecord struct {
	attempt *call.Attempt
	result  *result
}

// history collects the attempts of concurrent callers.
type history struct {
	mutex   sync.Mutex
	records []historyRecord
}

func (h *history) add(a *call.Attempt, r *result) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.records = append(h.records, historyRecord{a, r})
}

// count returns the number of complete answers and of refusals of attempts that have
// not run.
func (h *history) count() (complete, notRun int) {
	for _, record := range h.records {
		if record.result.end != nil {
			complete++
		}
		if refused := record.result.refusal; refused != nil && !refused.MayHaveRun {
			notRun++
		}
	}
	return complete, notRun
}

// runTraffic runs concurrent callers for historyDuration, each with its own seed. Some
// disconnect while they are being answered.
func (f *fixture) runTraffic(h *history, next func(*rand.Rand, int) *call.Attempt) {
	var group sync.WaitGroup
	until := time.Now().Add(historyDuration)
	for n := range historyCallers {
		group.Add(1)
		go func() {
			defer group.Done()
			random := rand.New(rand.NewPCG(uint64(n), 21))
			for serial := 0; time.Now().Before(until); serial++ {
				f.runCall(h, next(random, n*10_000+serial), random.IntN(8) == 0)
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			}
		}()
	}
	group.Wait()
}

// runCall runs one attempt on its own session, which disconnects during the run if
// disconnects is set.
func (f *fixture) runCall(h *history, a *call.Attempt, disconnects bool) {
	entry := f.dialUnmanaged()
	stream := entry.open(a)
	if disconnects {
		time.AfterFunc(700*time.Millisecond, func() { _ = entry.session.Close() })
	}
	h.add(a, readResult(stream))
	_ = stream.Close()
	_ = entry.session.Close()
}

func TestHistoryOfCompletionsUnderFaults(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var failing sync.Map
		f := start(t, func(f *fixture) {
			f.engine.AdapterSlots, f.engine.MaxRequests = 3, 3
			f.engine.FailLoad = func(adapter, _ string) bool {
				_, shouldFail := failing.Load(adapter)
				return shouldFail
			}
		})
		defer f.shutDown()
		h := &history{}
		go func() {
			random := rand.New(rand.NewPCG(31, 32))
			for f.ctx.Err() == nil {
				time.Sleep(time.Duration(3+random.IntN(8)) * time.Second)
				switch random.IntN(4) {
				case 0:
					f.engine.Crash()
				case 1:
					failing.Store("a1", true)
					time.AfterFunc(4*time.Second, func() { failing.Delete("a1") })
				case 2:
					f.muteAnnouncements.Store(true)
					time.AfterFunc(4*time.Second, func() { f.muteAnnouncements.Store(false) })
				case 3:
					f.engine.SetDraining(true)
					time.AfterFunc(3*time.Second, func() { f.engine.SetDraining(false) })
				}
			}
		}()
		f.runTraffic(h, func(random *rand.Rand, serial int) *call.Attempt {
			a := f.newAttempt(fmt.Sprint("a", random.IntN(6)), fmt.Sprintf("prompt-%d.", serial), 10+random.Int64N(200))
			a.Version = fmt.Sprint("v", 1+random.IntN(2))
			a.Class = call.Class(random.IntN(call.ClassCount))
			a.Remaining = 20 * time.Second
			return a
		})
		received := f.completionBodies()
		for _, record := range h.records {
			if record.result.end != nil {
				requireComplete(t, record.attempt, record.result)
			}
			if refused := record.result.refusal; refused != nil && !refused.MayHaveRun {
				require.NotContains(t, received, `"`+model.Prompt(record.attempt.Body)+`"`, "attempt ran but was refused as not run: %s", refused.Reason)
			}
		}
		answered, notRun := h.count()
		t.Logf("%d attempts: %d complete, %d not run, %d preempted", len(h.records), answered, notRun, f.agent.Host.Meter.Value("preempted"))
		require.Greater(t, answered, 100)
		require.Positive(t, notRun)
	})
}

// completionBodies returns the bodies of all completions that the engine received.
func (f *fixture) completionBodies() string {
	var bodies strings.Builder
	for _, received := range f.engine.Received() {
		if received.Path == "/v1/completions" {
			bodies.WriteString(received.Body)
		}
	}
	return bodies.String()
}

func TestHistoryOfFilingsUnderFaults(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := start(t, func(f *fixture) {
			plainService(f)
			f.service.Poison = "poison"
		})
		defer f.shutDown()
		h := &history{}
		f.runTraffic(h, func(random *rand.Rand, serial int) *call.Attempt {
			body := fmt.Sprintf("case-%d.", serial)
			if random.IntN(25) == 0 {
				body += "poison"
			}
			return f.newFiling(body)
		})
		time.Sleep(10 * time.Second)
		filings := f.service.Filings()
		for _, record := range h.records {
			body := string(record.attempt.Body)
			require.LessOrEqual(t, filings[body], 1, body)
			if record.result.end != nil {
				require.Equal(t, 1, filings[body], body)
			}
			if refused := record.result.refusal; refused != nil && !refused.MayHaveRun {
				require.Zero(t, filings[body], body)
			}
			f.checkProbe(record, filings[body])
		}
		answered, notRun := h.count()
		t.Logf("%d filings: %d answered, %d not run", len(h.records), answered, notRun)
		require.Greater(t, answered, 100)
	})
}

// checkProbe probes for the outcome of a filing and checks that the outcome agrees with
// how often the service has run the filing.
func (f *fixture) checkProbe(record historyRecord, filed int) {
	entry := f.dialUnmanaged()
	reply := entry.probe(record.attempt)
	_ = entry.session.Close()
	switch reply.State {
	case call.StateNotRun:
		require.Zero(f.t, filed)
	case call.StateDone:
		if reply.Outcome != nil {
			require.Equal(f.t, 1, filed)
		}
	default:
		require.Failf(f.t, "unsettled", "state %d", reply.State)
	}
}
