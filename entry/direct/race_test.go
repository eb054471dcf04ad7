package direct_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/crash"
	"github.com/tanagerspindle/tanagerspindle/entry/direct"
	"github.com/tanagerspindle/tanagerspindle/entry/hedge"
	"github.com/tanagerspindle/tanagerspindle/pkg/admit"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/event"
	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// usual is the latency of the answers that the policy of a race has learned, and so the
// threshold. It is the end of an interval of the histogram.
const usual = 20700 * time.Microsecond

// step is what an endpoint does with an attempt: its head comes after head, its body after
// body more, and then err, if set, in place of the end of the body.
type step struct {
	reply
	head, bodyTime time.Duration
}

// runner answers the n-th attempt of a request by the n-th step.
type runner struct {
	mutex sync.Mutex
	steps []step
	calls []direct.Call
	// times are when the attempts were sent, and cancelled when they were cancelled before
	// they ended.
	times     []time.Time
	cancelled map[int]time.Time
	// open counts the bodies that are not closed.
	open int
}

// timedBody is a body whose content comes at a time.
type timedBody struct {
	ctx     context.Context
	arrives <-chan time.Time
	content io.Reader
	cancel  func()
	close   func()
}

func (b *timedBody) Read(data []byte) (int, error) {
	if b.arrives != nil {
		select {
		case <-b.ctx.Done():
			b.cancel()
			return 0, &httpc.Error{Kind: httpc.KindCancelled, Err: b.ctx.Err()}
		case <-b.arrives:
			b.arrives = nil
		}
	}
	return b.content.Read(data)
}

func (b *timedBody) Close() error {
	b.close()
	return nil
}

func (r *runner) send(ctx context.Context, c *direct.Call) (*direct.Answer, error) {
	r.mutex.Lock()
	n := len(r.calls)
	s := r.steps[min(n, len(r.steps)-1)]
	r.calls, r.times = append(r.calls, *c), append(r.times, time.Now())
	r.mutex.Unlock()
	cancel := func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.cancelled[n] = time.Now()
	}
	select {
	case <-ctx.Done():
		cancel()
		return nil, &httpc.Error{Kind: httpc.KindCancelled, Err: ctx.Err()}
	case <-time.After(s.head):
	}
	if s.err != nil {
		return nil, s.err
	}
	content := io.Reader(strings.NewReader(s.body))
	if s.broken {
		content = io.MultiReader(content, broken{})
	}
	r.mutex.Lock()
	r.open++
	r.mutex.Unlock()
	closed := sync.OnceFunc(func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.open--
	})
	return &direct.Answer{
		Status: s.status, Header: http.Header{"X-Own": {c.Endpoint.Name}}, Authentic: s.authentic, NotExecuted: s.notExecuted,
		Body: &timedBody{ctx: ctx, arrives: time.After(s.bodyTime), content: content, cancel: cancel, close: closed},
	}, nil
}

// raceTest is an entry with endpoints whose usual latency is known.
type raceTest struct {
	*runner
	filter *direct.Filter
	config *conf.Config
	log    *bytes.Buffer
	// leases are the repeats that were leased for hedges; leaseTime is how long a lease
	// takes, and leased and reached its result.
	leases          int
	leaseTime       time.Duration
	leased, reached bool
}

// newRace returns an entry whose policy knows many requests and answers of 20 ms.
func newRace(endpoints int, steps ...step) *raceTest {
	test := &raceTest{runner: &runner{steps: steps, cancelled: map[int]time.Time{}}, log: &bytes.Buffer{}, leased: true, reached: true}
	test.filter = newFilter(&service{}, endpoints)
	test.filter.Send = test.send
	test.filter.Host.Log = event.New(test.log, "entry")
	test.config = &conf.Config{Number: 1, Services: map[string]conf.Service{"s": {HedgeShare: 0.5}}, Routes: map[string]conf.Route{}}
	test.filter.Config = func() *conf.Config { return test.config }
	test.filter.Hedges = &hedge.Policy{}
	test.filter.Budget.LeaseHedge = func(ctx context.Context, _ string) (bool, bool) {
		select {
		case <-ctx.Done():
			return false, true
		case <-time.After(test.leaseTime):
		}
		test.leases++
		return test.leased, test.reached
	}
	for range 100 {
		test.filter.Hedges.RecordRequest("s", "", time.Now())
		for i := range endpoints {
			test.filter.Hedges.RecordAnswer("s", "", fmt.Sprint("e", i), usual, time.Now())
		}
	}
	return test
}

// run serves one request and waits for all goroutines of its attempts.
func (test *raceTest) run(t *testing.T, change func(*chain.Request)) (*caller, error) {
	got, err := run(context.Background(), test.filter, func(r *chain.Request) {
		r.Route.Idempotent = true
		r.Objective = conf.Objective{}
		if change != nil {
			change(r)
		}
	})
	synctest.Wait()
	require.Zero(t, test.open, "every body is closed")
	for i := range 3 {
		alternative, found := test.filter.Endpoints.FindAlternative("s", "", "", excludeAllBut(i), 0, time.Now())
		require.True(t, !found || alternative.Load == 0, "no endpoint is still counted as busy")
	}
	return got, err
}

func excludeAllBut(index int) map[string]bool {
	excluded := map[string]bool{}
	for i := range 3 {
		excluded[fmt.Sprint("e", i)] = i != index
	}
	return excluded
}

func answer(body string, head time.Duration) step {
	return step{reply: reply{status: 200, authentic: true, body: body}, head: head}
}

func failing(r reply, head time.Duration) step { return step{reply: r, head: head} }

const never = time.Hour

// The cases of two attempts of one job: which answer is delivered, when, and what the
// caller is told if none is. A mix of both, a wait for the loser, or "not run" while an
// attempt may have run are the failures to guard against.
func TestRace(t *testing.T) {
	const ms = time.Millisecond
	large := strings.Repeat("x", 100<<10)
	for name, test := range map[string]struct {
		steps []step
		// calls is the number of attempts, took the time until the answer.
		calls  int
		took   time.Duration
		status int
		text   string
		ran    chain.Ran
		result string
	}{
		"answer in time":                         {[]step{answer("a", 19*ms)}, 1, 19 * ms, 200, "a", "", ""},
		"late answer, the hedge is faster":       {[]step{answer("a", 500*ms), answer("b", 10*ms)}, 2, usual + 10*ms, 200, "b", "", "won"},
		"late answer, the first is faster":       {[]step{answer("a", 25*ms), answer("b", 10*ms)}, 2, 25 * ms, 200, "a", "", "lost"},
		"first never answers":                    {[]step{answer("a", never), answer("b", 10*ms)}, 2, usual + 10*ms, 200, "b", "", "won"},
		"hedge never answers":                    {[]step{answer("a", 900*ms), answer("b", never)}, 2, 900 * ms, 200, "a", "", "lost"},
		"neither answers":                        {[]step{answer("a", never), answer("b", never)}, 2, 2 * time.Second, 504, "", chain.RanUnknown, "failed"},
		"body is late":                           {[]step{{reply: good, head: ms, bodyTime: never}, answer("b", 10*ms)}, 2, usual + 10*ms, 200, "b", "", "won"},
		"head of the hedge only":                 {[]step{answer("a", 100*ms), {reply: good, head: ms, bodyTime: never}}, 2, 100 * ms, 200, "a", "", "lost"},
		"hedge is reset, first answers":          {[]step{answer("a", 100*ms), failing(reset, ms)}, 2, 100 * ms, 200, "a", "", "lost"},
		"hedge cannot connect, first answers":    {[]step{answer("a", 100*ms), failing(unreached, ms)}, 2, 100 * ms, 200, "a", "", "lost"},
		"hedge is rejected, first answers":       {[]step{answer("a", 100*ms), failing(rejected, ms)}, 2, 100 * ms, 200, "a", "", "lost"},
		"hedge fails, first answers":             {[]step{answer("a", 100*ms), failing(failed, ms)}, 2, 100 * ms, 200, "a", "", "lost"},
		"hedge is truncated, first answers":      {[]step{answer("a", 100*ms), failing(truncated, ms)}, 2, 100 * ms, 200, "a", "", "lost"},
		"hedge is unauthentic, first answers":    {[]step{answer("a", 100*ms), failing(unauthentic, ms)}, 2, 100 * ms, 200, "a", "", "lost"},
		"first is reset, hedge answers":          {[]step{failing(reset, 25*ms), answer("b", 100*ms)}, 2, usual + 100*ms, 200, "b", "", "won"},
		"first fails, hedge answers":             {[]step{failing(failed, 25*ms), answer("b", 100*ms)}, 2, usual + 100*ms, 200, "b", "", "won"},
		"first is truncated, hedge answers":      {[]step{failing(truncated, 25*ms), answer("b", 100*ms)}, 2, usual + 100*ms, 200, "b", "", "won"},
		"both are reset":                         {[]step{failing(reset, 25*ms), failing(reset, 100*ms), answer("c", ms)}, 2, usual + 100*ms, 502, "", chain.RanUnknown, "failed"},
		"both fail, the last error is forwarded": {[]step{failing(failed, 25*ms), failing(reply{status: 503, authentic: true, body: "worse"}, 100*ms), answer("c", ms)}, 2, usual + 100*ms, 503, "worse", "", "failed"},
		"first is lost, hedge is rejected":       {[]step{failing(reset, 25*ms), failing(rejected, 100*ms), answer("c", ms)}, 3, usual + 101*ms, 200, "c", "", "failed"},
		"first is rejected late, hedge answers":  {[]step{failing(rejected, 25*ms), answer("b", 100*ms)}, 2, usual + 100*ms, 200, "b", "", "won"},
		"large answer of the first":              {[]step{answer(large, 25*ms), answer("b", 100*ms)}, 2, 25 * ms, 200, large, "", "lost"},
		"large answer of the hedge":              {[]step{answer("a", 100*ms), answer(large, 10*ms)}, 2, usual + 10*ms, 200, large, "", "won"},
		"refusal by the endpoint":                {[]step{answer("a", 100*ms), failing(reply{status: 404, authentic: true, body: "none"}, ms)}, 2, usual + ms, 404, "none", "", "won"},
		"reset before the threshold":             {[]step{failing(reset, ms), answer("b", ms)}, 2, 2 * ms, 200, "b", "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				r := newRace(3, test.steps...)
				started := time.Now()
				got, err := r.run(t, nil)
				require.Equal(t, test.took, time.Since(started))
				status := int(got.status)
				if status == 0 {
					status = chain.RefusalOf(err).Status
					require.Equal(t, test.ran, chain.RefusalOf(err).Ran)
					require.Zero(t, chain.RefusalOf(err).RetryAfter)
				}
				require.Equal(t, test.status, status)
				require.Equal(t, test.text, got.text)
				require.Equal(t, err == nil, got.ended)
				require.Equal(t, test.calls, len(r.calls))
				meter := r.filter.Host.Meter
				for _, result := range []string{"won", "lost", "failed"} {
					require.Equal(t, test.result == result, meter.Value("hedges_"+result+"_s_") == 1, result)
				}
				if test.result == "" {
					require.Zero(t, r.leases)
					return
				}
				require.Equal(t, 1, r.leases, "a hedge takes one repeat")
				require.EqualValues(t, 1, meter.Value("hedges_sent_s_"))
				require.NotEqual(t, r.calls[0].Endpoint.Name, r.calls[1].Endpoint.Name)
				require.True(t, r.calls[1].NewConnection)
				require.Equal(t, usual, r.times[1].Sub(r.times[0]))
				require.Equal(t, 2*time.Second-usual, r.calls[1].Remaining, "the time that is left")
			})
		})
	}
}

// The loser is cancelled at the moment of the first whole success, also while its body is
// arriving, so that its endpoint stops working for nobody.
func TestLoserIsCancelledAtOnce(t *testing.T) {
	for name, loser := range map[string]step{"before the head": answer("a", never), "inside the body": {reply: good, head: time.Millisecond, bodyTime: never}} {
		bubble.Test(t, func(t *testing.T) {
			r := newRace(3, loser, answer("b", 10*time.Millisecond))
			started := time.Now()
			_, err := run(context.Background(), r.filter, func(request *chain.Request) {
				request.Route.Idempotent = true
				request.Objective = conf.Objective{}
				write := request.Write
				request.Write = func(frame *call.Frame) error {
					// A caller that reads slowly must not keep the loser running.
					time.Sleep(time.Second)
					return write(frame)
				}
			})
			require.NoError(t, err)
			synctest.Wait()
			require.Equal(t, usual+10*time.Millisecond, r.cancelled[0].Sub(started), name)
			require.Zero(t, r.open)
		})
	}
}

// Both attempts may end at the same moment. One of the answers is delivered, whole and
// once; the other one is dropped.
func TestAnswersOfBothAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		winners := map[string]int{}
		for range 300 {
			r := newRace(3, answer("first", usual+10*time.Millisecond), answer("second", 10*time.Millisecond))
			ends := 0
			got, err := r.run(t, func(request *chain.Request) {
				write := request.Write
				request.Write = func(frame *call.Frame) error {
					if frame.Type == call.FrameEnd {
						ends++
					}
					return write(frame)
				}
			})
			require.NoError(t, err)
			require.Equal(t, 1, ends)
			require.Contains(t, []string{"first", "second"}, got.text)
			winners[got.text]++
		}
		t.Logf("winners: %v", winners)
	})
}

// What denies a hedge, each by itself. The first attempt goes on and its answer is
// delivered; the operators' limit is not used up.
func TestDeniedHedges(t *testing.T) {
	late := 100 * time.Millisecond
	for cause, test := range map[string]struct {
		prepare func(r *raceTest)
		change  func(*chain.Request)
	}{
		"attempts": {nil, func(request *chain.Request) { request.Route.Attempts = 1 }},
		"suspect":  {nil, func(request *chain.Request) { request.Suspect = true }},
		"removed": {nil, func(request *chain.Request) {
			started := time.Now()
			request.Check = func() error {
				if time.Since(started) > 0 {
					return chain.Refuse(401, "invalid_key", "withdrawn")
				}
				return nil
			}
		}},
		"time": {func(r *raceTest) { late = 25 * time.Millisecond }, func(request *chain.Request) { request.MaxWait = 30 * time.Millisecond }},
		"endpoint": {func(r *raceTest) {
			r.filter.Endpoints.Update(map[string][]advert.Record{"s": {{Name: "e0", Service: "s", Address: "e0:1", DataCentre: "d", Slots: 4}}})
		}, nil},
		"share":   {func(r *raceTest) { r.config.Services["s"] = conf.Service{HedgeShare: 0.001} }, nil},
		"budget":  {func(r *raceTest) { r.leased = false }, nil},
		"control": {func(r *raceTest) { r.leased, r.reached = false, false }, nil},
		"load": {func(r *raceTest) {
			for _, name := range []string{"e0", "e1", "e2"} {
				r.filter.Endpoints.SetLoad(name, 500, time.Now())
			}
		}, nil},
		"peak": {func(r *raceTest) {
			for _, name := range []string{"e0", "e1", "e2"} {
				r.filter.Endpoints.SetLoad(name, 750, time.Now())
			}
		}, nil},
	} {
		t.Run(cause, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				late = 100 * time.Millisecond
				r := newRace(3)
				if test.prepare != nil {
					test.prepare(r)
				}
				r.steps = []step{answer("a", late), answer("b", time.Millisecond)}
				got, err := run(context.Background(), r.filter, func(request *chain.Request) {
					request.Route.Idempotent, request.Objective = true, conf.Objective{}
					if test.change != nil {
						test.change(request)
					}
				})
				require.NoError(t, err)
				require.Equal(t, "a", got.text)
				require.Len(t, r.calls, 1)
				require.EqualValues(t, 1, r.filter.Host.Meter.Value("hedges_denied_"+cause+"_s_"), r.log.String())
				require.Contains(t, r.log.String(), "event=hedge-denied request=r service=s")
				require.Contains(t, r.log.String(), "cause="+cause)
				require.Zero(t, r.filter.Host.Meter.Value("hedges_sent_s_"))
			})
		})
	}
}

// Nothing is hedged unless an operator has set a share, and streams and requests that may
// run only once never are, also with a share.
func TestHedgingIsOffByDefaultAndForOtherRequests(t *testing.T) {
	for name, change := range map[string]func(r *raceTest, request *chain.Request){
		"no share":      func(r *raceTest, request *chain.Request) { r.config.Services["s"] = conf.Service{} },
		"no policy":     func(r *raceTest, request *chain.Request) { r.filter.Hedges = nil },
		"run only once": func(r *raceTest, request *chain.Request) { request.Route.Idempotent = false },
		"stream": func(r *raceTest, request *chain.Request) {
			request.Route.Stream = true
			r.steps[0].body = completeStream
		},
	} {
		bubble.Test(t, func(t *testing.T) {
			r := newRace(3, answer("a", 100*time.Millisecond), answer("b", time.Millisecond))
			_, err := r.run(t, func(request *chain.Request) { change(r, request) })
			require.NoError(t, err, name)
			require.Len(t, r.calls, 1, name)
			require.Zero(t, r.leases, name)
			require.NotContains(t, r.filter.Host.Meter.String(), "hedge", name)
			require.NotContains(t, r.log.String(), "hedge", name)
		})
	}
	bubble.Test(t, func(t *testing.T) {
		r := newRace(3, answer("a", 100*time.Millisecond), answer("b", time.Millisecond))
		r.config.Services["s"] = conf.Service{}
		r.filter.HedgeShare = 0.5
		got, err := r.run(t, nil)
		require.NoError(t, err)
		require.Equal(t, "b", got.text, "the entry's option applies to services without a share")
	})
}

// A lease that takes long delays neither the first answer nor that of a hedge that is no
// longer needed; a hedge that was prepared too late is not sent.
func TestFirstAnswerDoesNotWaitForTheLease(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		r := newRace(3, answer("a", 40*time.Millisecond), answer("b", time.Millisecond))
		r.leaseTime = 50 * time.Millisecond
		started := time.Now()
		got, err := r.run(t, nil)
		require.NoError(t, err)
		require.Equal(t, "a", got.text)
		require.Equal(t, 40*time.Millisecond, time.Since(started))
		time.Sleep(time.Second)
		require.Len(t, r.calls, 1)
	})
}

// The endpoint of the hedge leaves, the key is withdrawn or a part of the prompt is
// quarantined while the repeat is leased: the hedge is not sent.
func TestHedgeIsNotSentIfThingsChangeDuringTheLease(t *testing.T) {
	for cause, change := range map[string]func(r *raceTest, request *chain.Request){
		"endpoint": func(r *raceTest, request *chain.Request) { r.filter.Endpoints.Update(nil) },
		"removed": func(r *raceTest, request *chain.Request) {
			r.filter.Quarantined = func([]byte) time.Duration { return time.Minute }
		},
	} {
		bubble.Test(t, func(t *testing.T) {
			r := newRace(3, answer("a", 100*time.Millisecond), answer("b", time.Millisecond))
			r.filter.Quarantined = func([]byte) time.Duration { return 0 }
			r.leaseTime = 20 * time.Millisecond
			got, err := run(context.Background(), r.filter, func(request *chain.Request) {
				request.Route.Idempotent, request.Objective = true, conf.Objective{}
				request.PromptParts = []string{"p"}
				time.AfterFunc(30*time.Millisecond, func() { change(r, request) })
			})
			require.NoError(t, err)
			require.Equal(t, "a", got.text)
			require.Len(t, r.calls, 1)
			require.EqualValues(t, 1, r.filter.Host.Meter.Value("hedges_denied_"+cause+"_s_"), r.log.String())
		})
	}
}

// A caller that leaves during a race cancels both attempts, and its request may have run,
// also if one of the attempts provably has not.
func TestCallerLeavesDuringTheRace(t *testing.T) {
	for name, steps := range map[string][]step{
		"both run":           {answer("a", never), answer("b", never)},
		"hedge was rejected": {answer("a", never), failing(rejected, time.Millisecond)},
		"first was rejected": {failing(rejected, 25*time.Millisecond), answer("b", never)},
	} {
		bubble.Test(t, func(t *testing.T) {
			r := newRace(3, steps...)
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(100*time.Millisecond, cancel)
			_, err := run(ctx, r.filter, func(request *chain.Request) {
				request.Route.Idempotent, request.Objective = true, conf.Objective{}
			})
			refusal := chain.RefusalOf(err)
			require.Equal(t, "caller_gone", refusal.Code, name)
			require.Equal(t, chain.RanUnknown, refusal.Ran, name)
			synctest.Wait()
			require.Zero(t, r.open)
			require.Len(t, r.calls, 2, name)
		})
	}
}

// A caller that is gone when the answer is to be written has its request run all the same.
func TestCallerGoneAtTheAnswer(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		r := newRace(3, answer("a", time.Millisecond))
		_, err := r.run(t, func(request *chain.Request) {
			request.Write = func(*call.Frame) error { return errors.New("gone") }
		})
		require.Equal(t, chain.RanUnknown, chain.RefusalOf(err).Ran)
	})
}

// A process that was suspended, or had no processor, notices all thresholds late. Replays
// a pause of 200 ms in which the timer of the threshold did not fire.
func TestNoHedgeAfterTheProcessWasSuspended(t *testing.T) {
	q := hedge.Question{
		Service: "s", Shares: hedge.Shares{Service: 1}, Threshold: usual, Elapsed: usual + 200*time.Millisecond, Remaining: time.Second, AttemptsLeft: 1,
		Loads: hedge.Loads{First: 1, Found: true},
	}
	p := &hedge.Policy{}
	for range 100 {
		p.RecordRequest("s", "", time.Now())
	}
	require.Equal(t, hedge.CauseStalled, p.Decide(&q, time.Now()))
}

// With three attempts allowed, a third one may follow a race whose attempts both failed,
// and it takes a repeat as before; with two, none may.
func TestAttemptsAfterARace(t *testing.T) {
	for attempts, calls := range map[int32]int{2: 2, 3: 3} {
		bubble.Test(t, func(t *testing.T) {
			r := newRace(3, failing(reset, 25*time.Millisecond), failing(reset, 50*time.Millisecond), answer("c", 100*time.Millisecond))
			got, err := r.run(t, func(request *chain.Request) { request.Route.Attempts = attempts })
			require.Len(t, r.calls, calls)
			require.Equal(t, 1, r.leases)
			if attempts == 3 {
				require.NoError(t, err)
				require.Equal(t, "c", got.text)
				require.EqualValues(t, 1, r.filter.Host.Meter.Value("repeats_pool_s"))
			}
			endpoints := map[string]bool{}
			for _, c := range r.calls {
				endpoints[c.Endpoint.Name] = true
			}
			require.Len(t, endpoints, calls, "no endpoint gets the request twice")
		})
	}
}

// A hedged request whose connections break is reported as a possible cause of crashes, and
// a loser that was cancelled is not: nothing is wrong with its endpoint.
func TestLoserIsNoSuspectAndItsEndpointStaysInUse(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		lost := 0
		r := newRace(2, answer("a", never), answer("b", 10*time.Millisecond))
		r.filter.OnConnectionLost = func(advert.Record, crash.Request, time.Time) { lost++ }
		_, err := r.run(t, nil)
		require.NoError(t, err)
		require.Zero(t, lost)
		require.Zero(t, r.filter.Host.Meter.Value("attempts_failed"))
		_, found := r.filter.Endpoints.FindAlternative("s", r.calls[1].Endpoint.Name, "", nil, 0, time.Now())
		require.True(t, found, "the loser's endpoint is not taken for unreachable")
	})
}

// The hedge of a request for an engine is admitted by the engine's agent like every other
// request. If the agent refuses or does not answer, the first attempt goes on.
func TestHedgeAtAnEngineNeedsAdmission(t *testing.T) {
	for name, test := range map[string]struct {
		reply        admit.Reply
		unresponsive bool
		calls        int
	}{
		"admitted":      {admit.Reply{}, false, 2},
		"busy":          {admit.Reply{Reason: admit.ReasonBusy, Wait: span.Duration(time.Second)}, false, 1},
		"agent is down": {admit.Reply{}, true, 1},
	} {
		inSite(t, 2, func(t *testing.T, s *site) {
			r := newRace(2, answer("a", 400*time.Millisecond), answer("b", 10*time.Millisecond))
			services := s.filter.Config().Services["s"]
			services.HedgeShare = 0.5
			r.config.Services["s"] = services
			s.filter.Config, s.filter.Hedges, s.filter.Send, s.filter.Host.Log = r.filter.Config, r.filter.Hedges, r.send, r.filter.Host.Log
			s.filter.Budget.LeaseHedge = r.filter.Budget.LeaseHedge
			time.AfterFunc(10*time.Millisecond, func() {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				for _, name := range []string{"e0", "e1"} {
					s.agentReplies[name], s.unresponsive[name] = test.reply, test.unresponsive
				}
			})
			got, err := run(t.Context(), s.filter, func(request *chain.Request) {
				request.Route.Idempotent, request.Objective = true, conf.Objective{}
				request.Model = "m"
			})
			require.NoError(t, err, name)
			require.Len(t, r.calls, test.calls, name)
			require.Equal(t, test.calls == 2, got.text == "b", name)
			require.Len(t, s.received, 2, name)
			require.NotEqual(t, s.received[0].Endpoint, s.received[1].Endpoint)
		})
	}
}
