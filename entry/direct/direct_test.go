package direct_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/direct"
	"github.com/tanagerspindle/tanagerspindle/entry/pool"
	"github.com/tanagerspindle/tanagerspindle/entry/retry"
	"github.com/tanagerspindle/tanagerspindle/entry/view"
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/event"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/httpc"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// reply is what one attempt brings.
type reply struct {
	// err comes in place of an answer.
	err error
	// status, own, notRun and body make an answer; broken ends the body with an
	// error.
	status      int
	own, notRun bool
	body        string
	broken      bool
	// silent brings nothing until the attempt ends.
	silent bool
	// encoding is the answer's Content-Encoding.
	encoding string
}

// service answers the attempts of one request in turn.
type service struct {
	mutex   sync.Mutex
	replies []reply
	calls   []direct.Call
}

func (s *service) send(ctx context.Context, c *direct.Call) (*direct.Answer, error) {
	s.mutex.Lock()
	next := s.replies[min(len(s.calls), len(s.replies)-1)]
	s.calls = append(s.calls, *c)
	s.mutex.Unlock()
	if next.silent {
		<-ctx.Done()
		return nil, &httpc.Error{Kind: httpc.KindCancelled, Err: ctx.Err()}
	}
	if next.err != nil {
		return nil, next.err
	}
	var body io.Reader = strings.NewReader(next.body)
	if next.broken {
		body = io.MultiReader(body, broken{})
	}
	header := http.Header{"X-Own": {next.body}}
	if next.encoding != "" {
		header.Set("Content-Encoding", next.encoding)
	}
	return &direct.Answer{Status: next.status, Header: header, Authentic: next.own, NotExecuted: next.notRun, Body: io.NopCloser(body)}, nil
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errors.New("reset") }

// caller gathers an answer.
type caller struct {
	status int32
	text   string
	ended  bool
}

func (c *caller) write(frame *call.Frame) error {
	switch frame.Type {
	case call.FrameHead:
		c.status = frame.Status
	case call.FramePart:
		c.text += string(frame.Data)
	case call.FrameEnd:
		c.ended = true
	}
	return nil
}

func newDirect(s *service, endpoints int) *direct.Filter {
	v := &view.Endpoints{DataCentre: "d"}
	usable := map[string][]advert.Record{}
	for i := range endpoints {
		name := fmt.Sprint("e", i)
		usable["s"] = append(usable["s"], advert.Record{Name: name, Service: "s", Address: name + ":1", DataCentre: "d", Slots: 4})
	}
	v.Update(usable)
	config := &conf.Config{Number: 1, Services: map[string]conf.Service{"s": {}}}
	return &direct.Filter{
		Host: host.Host{Meter: meter.New()}, Endpoints: v, Send: s.send, Agents: &pool.Pool{},
		Config: func() *conf.Config { return config },
		Budget: &retry.Budget{
			Report: func(string) bool { return true }, Lease: leased(100), EntryCount: func() int { return 0 },
		},
	}
}

// leased gives a number of repeats.
func leased(left int) func(context.Context, string) bool {
	return func(context.Context, string) bool {
		left--
		return left >= 0
	}
}

// run serves one request and returns what its caller got.
func run(ctx context.Context, d *direct.Filter, change func(*chain.Request)) (*caller, error) {
	got := &caller{}
	r := &chain.Request{
		ID: "r", Start: time.Now(), MaxWait: 2 * time.Second, Write: got.write, Objective: conf.Objective{FirstToken: span.Duration(150 * time.Millisecond)},
		Route: conf.Route{Kind: conf.RouteOpaque, Service: "s", Attempts: 2},
	}
	if change != nil {
		change(r)
	}
	err := d.Do(ctx, r, func(context.Context, *chain.Request) error { return errors.New("passed on") })
	return got, err
}

func repeats(r *chain.Request) { r.Route.Idempotent = true }

func resumes(r *chain.Request) {
	r.Route.Stream, r.Route.Resume = true, true
	r.Objective.FirstToken = span.Duration(time.Second)
	r.MaxWait = 8 * time.Second
}

func streams(r *chain.Request) { r.Route.Stream = true }

var (
	unreached = reply{err: &httpc.Error{Kind: httpc.KindDial}}
	reset     = reply{err: &httpc.Error{Kind: httpc.KindBroken}}
	full      = reply{status: 503, notRun: true}
	failed    = reply{status: 500, own: true, body: "bad"}
	good      = reply{status: 200, own: true, body: "good"}
	foreign   = reply{status: 200, body: "good"}
	packed    = reply{status: 200, own: true, body: "good", encoding: "gzip"}
	cut       = reply{status: 200, own: true, body: "go", broken: true}
	silent    = reply{silent: true}
)

const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

func TestAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		change  func(*chain.Request)
		replies []reply
		// status is the caller's; calls is the number of attempts.
		status, calls int
		text          string
		ran           chain.Ran
	}{
		"good at once":                          {nil, []reply{good}, 200, 1, "good", ""},
		"never sent, so tried elsewhere":        {nil, []reply{unreached, good}, 200, 2, "good", ""},
		"turned away, so tried elsewhere":       {nil, []reply{full, good}, 200, 2, "good", ""},
		"turned away everywhere":                {nil, []reply{full}, 503, 3, "", chain.RanNo},
		"unreachable everywhere":                {nil, []reply{unreached}, 503, 3, "", chain.RanNo},
		"may have run, must not repeat":         {nil, []reply{reset, good}, 502, 1, "", chain.RanUnknown},
		"cut short, must not repeat":            {nil, []reply{cut, good}, 502, 1, "", chain.RanUnknown},
		"not its own answer, must not repeat":   {nil, []reply{foreign, good}, 502, 1, "", chain.RanUnknown},
		"its own failure is passed on":          {nil, []reply{failed, good}, 500, 1, "bad", ""},
		"turned away, then lost":                {nil, []reply{full, reset, good}, 502, 2, "", chain.RanUnknown},
		"may repeat after a reset":              {repeats, []reply{reset, good}, 200, 2, "good", ""},
		"may repeat after a cut":                {repeats, []reply{cut, good}, 200, 2, "good", ""},
		"may repeat after a foreign answer":     {repeats, []reply{foreign, good}, 200, 2, "good", ""},
		"may repeat after an encoded answer":    {repeats, []reply{packed, good}, 200, 2, "good", ""},
		"may repeat after a failure":            {repeats, []reply{failed, good}, 200, 2, "good", ""},
		"failure passed on after two attempts":  {repeats, []reply{failed}, 500, 2, "bad", ""},
		"failure passed on after a lost second": {repeats, []reply{failed, reset}, 500, 2, "bad", ""},
		"two endpoints at most run it":          {repeats, []reply{reset}, 502, 2, "", chain.RanUnknown},
		"turned away counts for no run":         {repeats, []reply{full, reset, good}, 200, 3, "good", ""},
		"silent one is left where it may":       {repeats, []reply{silent, good}, 200, 2, "good", ""},
		"whole stream":                          {streams, []reply{{status: 200, own: true, body: whole}}, 200, 1, whole, ""},
		"empty stream":                          {streams, []reply{{status: 200, own: true}}, 200, 1, "", ""},
		"broken stream that must not go on": {
			streams,
			[]reply{{status: 200, own: true, body: whole[:20], broken: true}, {status: 200, own: true, body: whole}},
			200, 1, whole[:15], chain.RanUnknown,
		},
		"broken stream that goes on": {
			resumes,
			[]reply{{status: 200, own: true, body: whole[:20], broken: true}, {status: 200, own: true, body: whole[15:]}},
			200, 2, whole, "",
		},
		"stream that begins elsewhere": {resumes, []reply{silent, {status: 200, own: true, body: whole}}, 200, 2, whole, ""},
		"stream that repeats an event": {
			resumes,
			[]reply{{status: 200, own: true, body: whole[:20], broken: true}, {status: 200, own: true, body: whole}},
			200, 2, whole[:15], chain.RanUnknown,
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := &service{replies: test.replies}
				got, err := run(context.Background(), newDirect(s, 3), test.change)
				status := int(got.status)
				if err != nil && status == 0 {
					refusal := chain.RefusalOf(err)
					status = refusal.Status
					require.Equal(t, test.ran, refusal.Ran)
					require.Equal(t, refusal.Ran == chain.RanNo, refusal.RetryAfter > 0, "when to come back is told where it has not run")
				}
				require.Equal(t, test.status, status)
				require.Equal(t, test.calls, len(s.calls))
				require.Equal(t, test.text, got.text)
				require.Equal(t, err == nil, got.ended, "an answer that is not whole must not look so")
			})
		})
	}
}

// Only a request that broke off before anything of its answer came may have
// crashed its endpoint; one that was suspected and ends well is cleared.
func TestConnectionLossIsReportedAsSuspect(t *testing.T) {
	for name, test := range map[string]struct {
		change  func(*chain.Request)
		replies []reply
		broke   int
	}{
		"reset":                   {nil, []reply{reset}, 1},
		"reset twice":             {repeats, []reply{reset}, 2},
		"turned away":             {nil, []reply{full}, 0},
		"unreached":               {nil, []reply{unreached}, 0},
		"failed":                  {nil, []reply{failed}, 0},
		"silent":                  {nil, []reply{silent}, 0},
		"broken after two events": {streams, []reply{{status: 200, own: true, body: whole[:33], broken: true}}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				d, broke := newDirect(&service{replies: test.replies}, 3), 0
				d.OnConnectionLost = func(endpoint advert.Record, digest []byte, _ time.Time) {
					require.NotEmpty(t, endpoint.Address)
					require.Equal(t, []byte("x"), digest)
					broke++
				}
				_, _ = run(context.Background(), d, func(r *chain.Request) {
					r.Digest = []byte("x")
					if test.change != nil {
						test.change(r)
					}
				})
				require.Equal(t, test.broke, broke)
			})
		})
	}
	for _, suspect := range []bool{true, false} {
		d, cleared := newDirect(&service{replies: []reply{good}}, 3), 0
		d.OnSuspectCleared = func([]byte) { cleared++ }
		_, err := run(context.Background(), d, func(r *chain.Request) { r.Suspect = suspect })
		require.NoError(t, err)
		require.Equal(t, suspect, cleared == 1)
	}
}

func TestContinuedStreamNamesTheLastEvent(t *testing.T) {
	s := &service{replies: []reply{{status: 200, own: true, body: whole[:33], broken: true}, {status: 200, own: true, body: whole[30:]}}}
	_, err := run(context.Background(), newDirect(s, 3), resumes)
	require.NoError(t, err)
	require.Nil(t, s.calls[0].LastEventID)
	require.EqualValues(t, 2, *s.calls[1].LastEventID)
	require.NotEqual(t, s.calls[0].Endpoint.Name, s.calls[1].Endpoint.Name)
}

// A caller that leaves ends what may repeat, and not what must not.
func TestCallerDisconnects(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		for _, repeat := range []bool{true, false} {
			s := &service{replies: []reply{silent}}
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(50*time.Millisecond, cancel)
			began := time.Now()
			_, err := run(ctx, newDirect(s, 1), func(r *chain.Request) { r.Route.Idempotent = repeat })
			status := chain.RefusalOf(err).Status
			if repeat {
				require.Equal(t, chain.StatusClientClosed, status)
				require.Less(t, time.Since(began), 100*time.Millisecond)
				continue
			}
			require.Equal(t, http.StatusGatewayTimeout, status)
			require.Equal(t, 2*time.Second, time.Since(began))
		}
	})
}

// Nothing is held beyond the caller's patience.
func TestTimeout(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		began := time.Now()
		_, err := run(context.Background(), newDirect(&service{replies: []reply{silent}}, 1), nil)
		require.Equal(t, http.StatusGatewayTimeout, chain.RefusalOf(err).Status)
		require.Equal(t, chain.RanUnknown, chain.RefusalOf(err).Ran)
		require.Equal(t, 2*time.Second, time.Since(began))
	})
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	s := &service{replies: []reply{reset}}
	d := newDirect(s, 3)
	d.Budget.Lease = leased(3)
	for range 10 {
		_, err := run(context.Background(), d, repeats)
		require.Error(t, err)
	}
	require.Len(t, s.calls, 13)
}

// Each decision on a repeat can be explained from its line.
func TestRetryDecisionsAreLogged(t *testing.T) {
	var lines strings.Builder
	d := newDirect(&service{replies: []reply{reset}}, 3)
	d.Host.Log = event.New(&lines, "entry")
	d.Budget.Lease = leased(1)
	for range 2 {
		_, err := run(context.Background(), d, repeats)
		require.Error(t, err)
	}
	require.Contains(t, lines.String(), "event=repeat request=r service=s source=pool arrived=1 waited=")
	require.Contains(t, lines.String(), "event=repeat request=r service=s source=none arrived=1 waited=")
	require.EqualValues(t, 1, d.Host.Meter.Value("repeats_pool_s"))
	require.EqualValues(t, 1, d.Host.Meter.Value("repeats_none_s"))
}

func TestRequestWithRevokedKeyIsNotRetried(t *testing.T) {
	s := &service{replies: []reply{full, good}}
	withdrawn := false
	_, err := run(context.Background(), newDirect(s, 3), func(r *chain.Request) {
		r.Check = func() error {
			if withdrawn {
				return chain.Refuse(http.StatusUnauthorized, "invalid_key", "withdrawn")
			}
			withdrawn = true
			return nil
		}
	})
	require.Equal(t, http.StatusUnauthorized, chain.RefusalOf(err).Status)
	require.Len(t, s.calls, 1)
}

// An entry that stops turns away streams that it could not finish.
func TestStoppingEntryRefusesLongStreams(t *testing.T) {
	d := newDirect(&service{replies: []reply{{status: 200, own: true, body: whole}}}, 3)
	ends := time.Now().Add(4 * time.Second)
	d.ShutdownTime = func() time.Time { return ends }
	for tokens, status := range map[int64]int{100: 200, 600: 503} {
		got, err := run(context.Background(), d, func(r *chain.Request) {
			streams(r)
			r.MaxTokens = tokens
		})
		if err != nil {
			got.status = int32(chain.RefusalOf(err).Status)
		}
		require.EqualValues(t, status, got.status)
	}
}

func TestSplitFollowsTheWeights(t *testing.T) {
	s := &service{replies: []reply{good}}
	d := newDirect(s, 1)
	config := &conf.Config{Services: map[string]conf.Service{"s": {}, "x": {}}}
	d.Config = func() *conf.Config { return config }
	served := 0
	for range 1000 {
		if _, err := run(context.Background(), d, func(r *chain.Request) {
			r.Route.Split = []conf.TrafficShare{{Service: "x", Weight: 3}, {Service: "s", Weight: 1}}
		}); err == nil {
			served++
		}
	}
	require.InDelta(t, 250, served, 60)
}

func TestOtherRoutesArePassedOn(t *testing.T) {
	_, err := run(context.Background(), newDirect(&service{}, 1), func(r *chain.Request) { r.Route.Kind = conf.RouteModel })
	require.EqualError(t, err, "passed on")
}
