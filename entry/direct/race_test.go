package direct_test

import (
	"bytes"
	"context"
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
	"github.com/tanagerspindle/tanagerspindle/entry/direct"
	"github.com/tanagerspindle/tanagerspindle/entry/hedge"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/event"
	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
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
	// leases are the repeats that were leased for hedges, and returned those of hedges that
	// were not sent; leaseTime is how long a lease
	// takes, and leased and reached its result.
	leases          int
	returned        int
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
	test.filter.Budget.LeaseHedge = func(ctx context.Context, _ string) (func(bool), bool) {
		select {
		case <-ctx.Done():
			return nil, true
		case <-time.After(test.leaseTime):
		}
		test.leases++
		if !test.leased {
			return nil, test.reached
		}
		return func(sent bool) {
			if !sent {
				test.returned++
			}
		}, true
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

const ms = time.Millisecond

var large = strings.Repeat("x", 100<<10)

// raceCases are the ways in which two attempts of one request may end.
var raceCases = map[string]struct {
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
}

// The cases of two attempts of one job: which answer is delivered, when, and what the
// caller is told if none is. A mix of both, a wait for the loser, or "not run" while an
// attempt may have run are the failures to guard against.
func TestRace(t *testing.T) {
	for name, test := range raceCases {
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
				require.Zero(t, r.returned)
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
					r.mutex.Lock()
					open := r.open
					r.mutex.Unlock()
					require.Equal(t, 1, open, "the loser's answer is dropped before the caller has read the other one")
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
