package direct_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/crash"
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

// reply is the result of one attempt.
type reply struct {
	// err is returned in place of an answer.
	err error
	// status, authentic, notExecuted and body make up an answer; broken ends the
	// body with an error.
	status                 int
	authentic, notExecuted bool
	body                   string
	broken                 bool
	// endsWithConnection states that the answer has neither a length nor chunks.
	endsWithConnection bool
	// notice is what the endpoint says of itself in the answer.
	notice advert.Notice
	// unresponsive returns nothing until the attempt is cancelled.
	unresponsive bool
	// encoding is the Content-Encoding of the answer.
	encoding string
	// contentType is the Content-Type of the answer.
	contentType string
	// pieces are the rest of the body after body, each sent after pause. The last
	// one is repeated until the attempt is cancelled if endless is set.
	pieces  []string
	pause   time.Duration
	endless bool
	// firstPause is the pause before the first piece; zero means pause.
	firstPause time.Duration
}

// pieceReader is the body of a reply with pieces.
type pieceReader struct {
	ctx   context.Context
	reply reply
	next  int
}

func (p *pieceReader) Read(data []byte) (int, error) {
	if p.next == len(p.reply.pieces) && !p.reply.endless {
		return 0, io.EOF
	}
	pause := p.reply.pause
	if p.next == 0 && p.reply.firstPause > 0 {
		pause = p.reply.firstPause
	}
	select {
	case <-p.ctx.Done():
		return 0, &httpc.Error{Kind: httpc.KindCancelled, Err: p.ctx.Err()}
	case <-time.After(pause):
	}
	n := copy(data, p.reply.pieces[min(p.next, len(p.reply.pieces)-1)])
	p.next = min(p.next+1, len(p.reply.pieces))
	return n, nil
}

// service returns one reply after another to the attempts of a request.
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
	if next.unresponsive {
		<-ctx.Done()
		return nil, &httpc.Error{Kind: httpc.KindCancelled, Err: ctx.Err()}
	}
	if next.err != nil {
		return nil, next.err
	}
	if c.OnNotice != nil {
		c.OnNotice(next.notice)
	}
	var body io.Reader = strings.NewReader(next.body)
	if next.broken {
		body = io.MultiReader(body, broken{})
	}
	if len(next.pieces) > 0 {
		body = io.MultiReader(body, &pieceReader{ctx: ctx, reply: next})
	}
	header := http.Header{"X-Own": {next.body}}
	if next.encoding != "" {
		header.Set("Content-Encoding", next.encoding)
	}
	if next.contentType != "" {
		header.Set("Content-Type", next.contentType)
	}
	return &direct.Answer{
		Status: next.status, Header: header, Authentic: next.authentic, NotExecuted: next.notExecuted, Body: io.NopCloser(body),
		EndsWithConnection: next.endsWithConnection,
	}, nil
}

type broken struct{}

func (broken) Read([]byte) (int, error) {
	return 0, &httpc.Error{Op: "exchange", Kind: httpc.KindBroken, Err: errors.New("reset")}
}

// caller collects the answer that a caller receives.
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

func newFilter(s *service, endpoints int) *direct.Filter {
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
			Report: func(string) bool { return true }, Lease: limitedRetries(100), EntryCount: func() int { return 0 },
		},
	}
}

// limitedRetries grants a limited number of retries. The function it returns is safe for concurrent use.
func limitedRetries(count int) func(context.Context, string) func(bool) {
	remaining := &atomic.Int64{}
	remaining.Store(int64(count))
	return func(context.Context, string) func(bool) {
		if remaining.Add(-1) < 0 {
			return nil
		}
		return func(bool) {}
	}
}

// run serves one request and returns the answer that its caller receives.
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

func retryable(r *chain.Request) { r.Route.Idempotent = true }

func resumable(r *chain.Request) {
	r.Route.Stream, r.Route.Resume = true, true
	r.Objective.FirstToken = span.Duration(time.Second)
	r.MaxWait = 8 * time.Second
}

func streaming(r *chain.Request) { r.Route.Stream = true }

var (
	unreached    = reply{err: &httpc.Error{Kind: httpc.KindDial}}
	reset        = reply{err: &httpc.Error{Kind: httpc.KindBroken}}
	malformed    = reply{err: &httpc.Error{Kind: httpc.KindAnswer}}
	rejected     = reply{status: 503, notExecuted: true}
	failed       = reply{status: 500, authentic: true, body: "bad"}
	good         = reply{status: 200, authentic: true, body: "good"}
	wholeStream  = reply{status: 200, authentic: true, body: completeStream}
	unauthentic  = reply{status: 200, body: "good"}
	encoded      = reply{status: 200, authentic: true, body: "good", encoding: "gzip"}
	truncated    = reply{status: 200, authentic: true, body: "go", broken: true}
	unresponsive = reply{unresponsive: true}
)

const completeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

// An error page or a JSON body has no events that could be incomplete.
func TestAnswerOfStreamingRouteWithoutEventsIsForwarded(t *testing.T) {
	for contentType, ended := range map[string]bool{"application/json": true, "text/plain; charset=utf-8": true, "text/event-stream; charset=utf-8": false, "": false} {
		s := &service{replies: []reply{{status: 200, authentic: true, body: "{}", contentType: contentType}}}
		got, err := run(context.Background(), newFilter(s, 1), streaming)
		require.Equal(t, ended, err == nil, contentType)
		require.Equal(t, ended, got.ended, contentType)
		require.Equal(t, ended, got.text == "{}", contentType)
	}
}

func TestAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		change  func(*chain.Request)
		replies []reply
		// status is what the caller receives; calls is the number of attempts.
		status, calls int
		text          string
		ran           chain.Ran
	}{
		"answered by the first attempt":          {nil, []reply{good}, 200, 1, "good", ""},
		"never sent, so retried":                 {nil, []reply{unreached, good}, 200, 2, "good", ""},
		"rejected, so retried":                   {nil, []reply{rejected, good}, 200, 2, "good", ""},
		"rejected everywhere":                    {nil, []reply{rejected}, 503, 3, "", chain.RanNo},
		"unreachable everywhere":                 {nil, []reply{unreached}, 503, 3, "", chain.RanNo},
		"may have run, must not run twice":       {nil, []reply{reset, good}, 502, 1, "", chain.RanUnknown},
		"malformed answer, must not run twice":   {nil, []reply{malformed, good}, 502, 1, "", chain.RanUnknown},
		"truncated, must not run twice":          {nil, []reply{truncated, good}, 502, 1, "", chain.RanUnknown},
		"unauthentic answer, must not run twice": {nil, []reply{unauthentic, good}, 502, 1, "", chain.RanUnknown},
		"error answer is forwarded":              {nil, []reply{failed, good}, 500, 1, "bad", ""},
		"rejected, then lost":                    {nil, []reply{rejected, reset, good}, 502, 2, "", chain.RanUnknown},
		"retried after a reset":                  {retryable, []reply{reset, good}, 200, 2, "good", ""},
		"retried after a malformed answer":       {retryable, []reply{malformed, good}, 200, 2, "good", ""},
		"retried after a truncated answer":       {retryable, []reply{truncated, good}, 200, 2, "good", ""},
		"retried after an unauthentic answer":    {retryable, []reply{unauthentic, good}, 200, 2, "good", ""},
		"retried after an encoded answer":        {retryable, []reply{encoded, good}, 200, 2, "good", ""},
		"retried after an error answer":          {retryable, []reply{failed, good}, 200, 2, "good", ""},
		"error forwarded after two attempts":     {retryable, []reply{failed}, 500, 2, "bad", ""},
		"error forwarded after a lost second":    {retryable, []reply{failed, reset}, 500, 2, "bad", ""},
		"at most two endpoints run a request":    {retryable, []reply{reset}, 502, 2, "", chain.RanUnknown},
		"rejected attempt is no run":             {retryable, []reply{rejected, reset, good}, 200, 3, "good", ""},
		"unresponsive endpoint is replaced":      {retryable, []reply{unresponsive, good}, 200, 2, "good", ""},
		"complete stream":                        {streaming, []reply{{status: 200, authentic: true, body: completeStream}}, 200, 1, completeStream, ""},
		"empty stream":                           {streaming, []reply{{status: 200, authentic: true}}, 200, 1, "", ""},
		"broken stream that must not resume": {
			streaming,
			[]reply{{status: 200, authentic: true, body: completeStream[:20], broken: true}, {status: 200, authentic: true, body: completeStream}},
			200, 1, completeStream[:15], chain.RanUnknown,
		},
		"broken stream that is resumed": {
			resumable,
			[]reply{{status: 200, authentic: true, body: completeStream[:20], broken: true}, {status: 200, authentic: true, body: completeStream[15:]}},
			200, 2, completeStream, "",
		},
		"stream that starts at another endpoint": {resumable, []reply{unresponsive, {status: 200, authentic: true, body: completeStream}}, 200, 2, completeStream, ""},
		"stream that repeats an event": {
			resumable,
			[]reply{{status: 200, authentic: true, body: completeStream[:20], broken: true}, {status: 200, authentic: true, body: completeStream}},
			200, 2, completeStream[:15], chain.RanUnknown,
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := &service{replies: test.replies}
				got, err := run(context.Background(), newFilter(s, 3), test.change)
				status := int(got.status)
				if err != nil && status == 0 {
					refusal := chain.RefusalOf(err)
					status = refusal.Status
					require.Equal(t, test.ran, refusal.Ran)
					require.Equal(t, refusal.Ran == chain.RanNo, refusal.RetryAfter > 0, "a refusal has a retry delay exactly if the request has not run")
				}
				require.Equal(t, test.status, status)
				require.Equal(t, test.calls, len(s.calls))
				require.Equal(t, test.text, got.text)
				require.Equal(t, err == nil, got.ended, "an incomplete answer must not be ended as a complete one")
			})
		})
	}
}

// An endpoint that crashes may close its connection like one that has finished.
// The end of an answer without length is then no sign that its stream is complete.
func TestStreamThatEndsInsideEventIsNotEndedAsComplete(t *testing.T) {
	// inside is how much of the stream arrives; it ends inside the second event.
	const inside, first = 20, 15
	whole := reply{status: 200, authentic: true, body: completeStream, endsWithConnection: true}
	cut := reply{status: 200, authentic: true, body: completeStream[:inside], endsWithConnection: true}
	cutInChunks := reply{status: 200, authentic: true, body: completeStream[:inside]}
	cutAtStart := reply{status: 200, authentic: true, endsWithConnection: true}
	rest := reply{status: 200, authentic: true, body: completeStream[first:], endsWithConnection: true}
	for name, test := range map[string]struct {
		change        func(*chain.Request)
		replies       []reply
		status, calls int
		text          string
		ended         bool
	}{
		"whole stream without length":                  {streaming, []reply{whole}, 200, 1, completeStream, true},
		"cut inside an event":                          {streaming, []reply{cut, whole}, 200, 1, completeStream[:first], false},
		"cut inside an event in chunks":                {streaming, []reply{cutInChunks, whole}, 200, 1, completeStream[:first], false},
		"cut before the first event":                   {streaming, []reply{cutAtStart, whole}, 502, 1, "", false},
		"cut inside an event, resumed":                 {resumable, []reply{cut, rest}, 200, 2, completeStream, true},
		"cut before the first event, then repeated":    {resumable, []reply{cutAtStart, whole}, 200, 2, completeStream, true},
		"cut inside an event at both endpoints it ran": {resumable, []reply{cut, {status: 200, authentic: true, body: completeStream[first : first+4], endsWithConnection: true}}, 200, 2, completeStream[:first], false},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := &service{replies: test.replies}
				got, err := run(context.Background(), newFilter(s, 3), test.change)
				status := int(got.status)
				if err != nil && status == 0 {
					status = chain.RefusalOf(err).Status
				}
				require.Equal(t, test.status, status)
				require.Equal(t, test.calls, len(s.calls))
				require.Equal(t, test.text, got.text)
				require.Equal(t, test.ended, got.ended)
				require.Equal(t, test.ended, err == nil)
			})
		})
	}
}

// A request is reported as a possible cause of a crash only if its connection
// broke before the answer was complete. A suspected request that is answered
// completely is cleared.
func TestConnectionLossIsReportedAsSuspect(t *testing.T) {
	for name, test := range map[string]struct {
		change  func(*chain.Request)
		replies []reply
		// lost and begun are the numbers of reports, and of those after the first event.
		lost, begun int
	}{
		"reset":                    {nil, []reply{reset}, 1, 0},
		"reset twice":              {retryable, []reply{reset}, 2, 0},
		"rejected by endpoint":     {nil, []reply{rejected}, 0, 0},
		"unreached":                {nil, []reply{unreached}, 0, 0},
		"malformed answer":         {retryable, []reply{malformed}, 0, 0},
		"failed":                   {nil, []reply{failed}, 0, 0},
		"silent":                   {nil, []reply{unresponsive}, 0, 0},
		"broken after its head":    {nil, []reply{{status: 200, authentic: true, body: "half", broken: true}}, 1, 0},
		"broken inside an event":   {streaming, []reply{{status: 200, authentic: true, body: completeStream[:5], broken: true}}, 1, 0},
		"broken after two events":  {streaming, []reply{{status: 200, authentic: true, body: completeStream[:33], broken: true}}, 1, 1},
		"and at the next endpoint": {resumable, []reply{{status: 200, authentic: true, body: completeStream[:33], broken: true}, reset}, 2, 2},
		"complete":                 {streaming, []reply{wholeStream}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				d, lost, begun := newFilter(&service{replies: test.replies}, 3), 0, 0
				d.OnConnectionLost = func(endpoint advert.Record, request crash.Request, _ time.Time) {
					require.NotEmpty(t, endpoint.Address)
					require.Equal(t, []byte("x"), request.Digest)
					lost++
					if request.Begun {
						begun++
					}
				}
				_, _ = run(context.Background(), d, func(r *chain.Request) {
					r.Digest = []byte("x")
					if test.change != nil {
						test.change(r)
					}
				})
				require.Equal(t, test.lost, lost)
				require.Equal(t, test.begun, begun)
			})
		})
	}
	for _, suspect := range []bool{true, false} {
		d, cleared := newFilter(&service{replies: []reply{good}}, 3), 0
		d.OnSuspectCleared = func([]byte) { cleared++ }
		_, err := run(context.Background(), d, func(r *chain.Request) { r.Suspect = suspect })
		require.NoError(t, err)
		require.Equal(t, suspect, cleared == 1)
	}
}

// The caller of a resumed stream did not get the valid events that the first endpoint had sent
// in one packet with an invalid event.
func TestEventsBeforeInvalidOneReachTheCaller(t *testing.T) {
	for name, test := range map[string]struct {
		first string
		last  int64
	}{
		"first read":    {completeStream[:30] + "id: \x033\ndata: c\n\n", 2},
		"first event":   {"id: \x031\ndata: a\n\n", 0},
		"repeated ID":   {completeStream[:30] + completeStream[15:], 2},
		"too large":     {completeStream[:30] + "data: " + strings.Repeat("c", 1<<20), 2},
		"at the end":    {completeStream[:15] + "id: x\n\n", 1},
		"second ID bad": {completeStream[:15] + "id: 2\nid: x\n\n", 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := &service{replies: []reply{
				{status: 200, authentic: true, body: test.first},
				{status: 200, authentic: true, body: completeStream[15*test.last:]},
			}}
			got, err := run(context.Background(), newFilter(s, 3), resumable)
			require.NoError(t, err)
			require.Equal(t, completeStream, got.text)
			require.True(t, got.ended)
			require.Len(t, s.calls, 2)
			if test.last == 0 {
				require.Nil(t, s.calls[1].LastEventID)
				return
			}
			require.Equal(t, test.last, *s.calls[1].LastEventID)
		})
	}
}

// A stream was continued after the last event with an ID, so that its caller got the events
// without one, or the whole stream, twice.
func TestEventsWithoutIDAreNotRepeated(t *testing.T) {
	const unidentified = "data: x\n\n"
	silent := reply{status: 200, authentic: true, body: completeStream[:15] + unidentified, pieces: []string{": wait\n\n"}, pause: 300 * time.Millisecond, endless: true}
	for name, test := range map[string]struct {
		first reply
		want  string
	}{
		"without any ID":       {reply{status: 200, authentic: true, body: unidentified, broken: true}, unidentified},
		"after an ID":          {reply{status: 200, authentic: true, body: completeStream[:15] + unidentified, broken: true}, completeStream[:15] + unidentified},
		"endpoint then silent": {silent, completeStream[:15] + unidentified},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := &service{replies: []reply{test.first, wholeStream}}
				got, err := run(context.Background(), newFilter(s, 3), resumable)
				require.Error(t, err)
				require.Equal(t, test.want, strings.ReplaceAll(got.text, ": wait\n\n", ""))
				require.False(t, got.ended)
				require.Len(t, s.calls, 1)
			})
		})
	}
}

func TestContinuedStreamNamesTheLastEvent(t *testing.T) {
	s := &service{replies: []reply{{status: 200, authentic: true, body: completeStream[:33], broken: true}, {status: 200, authentic: true, body: completeStream[30:]}}}
	_, err := run(context.Background(), newFilter(s, 3), resumable)
	require.NoError(t, err)
	require.Nil(t, s.calls[0].LastEventID)
	require.EqualValues(t, 2, *s.calls[1].LastEventID)
	require.NotEqual(t, s.calls[0].Endpoint.Name, s.calls[1].Endpoint.Name)
}

// A stalled stream that still sends something now and then, but no event, is
// continued at another endpoint within the same time as one that sends nothing.
func TestStreamWithoutProgressIsContinuedElsewhere(t *testing.T) {
	for name, piece := range map[string]string{"bytes of an event": "d", "comments": ": wait\n\n"} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := &service{replies: []reply{
					{status: 200, authentic: true, body: completeStream[:15], pieces: []string{piece}, pause: 300 * time.Millisecond, endless: true},
					{status: 200, authentic: true, body: completeStream[15:]},
				}}
				started := time.Now()
				got, err := run(context.Background(), newFilter(s, 3), resumable)
				require.NoError(t, err)
				require.Len(t, s.calls, 2)
				require.True(t, got.ended)
				require.Equal(t, completeStream, strings.ReplaceAll(got.text, ": wait\n\n", ""))
				require.Less(t, time.Since(started), 2*time.Second)
			})
		})
	}
}

// After the caller has received a part of one answer, nothing of another kind of
// answer follows it: neither an error answer in place of the rest of a stream, nor a
// stream in place of the rest of a large plain answer.
func TestPartsOfDifferentAnswersAreNotJoined(t *testing.T) {
	large := strings.Repeat("x", 100<<10)
	for name, replies := range map[string][]reply{
		"error after a part of a stream": {
			{status: 200, authentic: true, body: completeStream[:20], broken: true},
			{status: 404, authentic: true, body: "unknown"},
		},
		"stream after a part of a large answer": {
			{status: 404, authentic: true, body: large, broken: true},
			{status: 200, authentic: true, body: completeStream},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := &service{replies: replies}
			got, err := run(context.Background(), newFilter(s, 3), resumable)
			require.Error(t, err)
			require.False(t, got.ended, "a broken answer must not look complete")
			require.NotContains(t, got.text, "unknown")
			require.False(t, strings.Contains(got.text, "x") && strings.Contains(got.text, "data:"))
		})
	}
}

// A slow stream that makes progress stays where it is: its first event may take as
// long after the head as after the request, and each event arrives in pieces.
func TestSlowStreamStaysAtItsEndpoint(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		pieces := []string{completeStream[:15], completeStream[15:20], completeStream[20:30], completeStream[30:]}
		slow := reply{status: 200, authentic: true, pieces: pieces, firstPause: 1500 * time.Millisecond, pause: 550 * time.Millisecond}
		s := &service{replies: []reply{slow}}
		got, err := run(context.Background(), newFilter(s, 3), resumable)
		require.NoError(t, err)
		require.Len(t, s.calls, 1)
		require.Equal(t, completeStream, got.text)
	})
}

// A request that may be retried is cancelled when its caller disconnects; a
// request that must not run twice is not.
func TestCallerDisconnects(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		for _, idempotent := range []bool{true, false} {
			s := &service{replies: []reply{unresponsive}}
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(50*time.Millisecond, cancel)
			started := time.Now()
			_, err := run(ctx, newFilter(s, 1), func(r *chain.Request) { r.Route.Idempotent = idempotent })
			status := chain.RefusalOf(err).Status
			if idempotent {
				require.Equal(t, chain.StatusClientClosed, status)
				require.Less(t, time.Since(started), 100*time.Millisecond)
				continue
			}
			require.Equal(t, http.StatusGatewayTimeout, status)
			require.Equal(t, 2*time.Second, time.Since(started))
		}
	})
}

// No request is held beyond the caller's deadline.
func TestTimeout(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		started := time.Now()
		_, err := run(context.Background(), newFilter(&service{replies: []reply{unresponsive}}, 1), nil)
		require.Equal(t, http.StatusGatewayTimeout, chain.RefusalOf(err).Status)
		require.Equal(t, chain.RanUnknown, chain.RefusalOf(err).Ran)
		require.Equal(t, 2*time.Second, time.Since(started))
	})
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	s := &service{replies: []reply{reset}}
	d := newFilter(s, 3)
	d.Budget.Lease = limitedRetries(3)
	for range 10 {
		_, err := run(context.Background(), d, retryable)
		require.Error(t, err)
	}
	require.Len(t, s.calls, 13)
}

// The log line of a retry decision names the budget that it was taken from.
func TestRetryDecisionsAreLogged(t *testing.T) {
	var lines strings.Builder
	d := newFilter(&service{replies: []reply{reset}}, 3)
	d.Host.Log = event.New(&lines, "entry")
	d.Budget.Lease = limitedRetries(1)
	for range 2 {
		_, err := run(context.Background(), d, retryable)
		require.Error(t, err)
	}
	require.Contains(t, lines.String(), "event=repeat request=r service=s source=pool arrived=1 waited=")
	require.Contains(t, lines.String(), "event=repeat request=r service=s source=none arrived=1 waited=")
	require.EqualValues(t, 1, d.Host.Meter.Value("repeats_pool_s"))
	require.EqualValues(t, 1, d.Host.Meter.Value("repeats_none_s"))
}

func TestRequestWithWithdrawnKeyIsNotRetried(t *testing.T) {
	s := &service{replies: []reply{rejected, good}}
	_, err := run(context.Background(), newFilter(s, 3), func(r *chain.Request) {
		r.Check = func() error {
			if len(s.calls) > 0 {
				return chain.Refuse(http.StatusUnauthorized, "invalid_key", "withdrawn")
			}
			return nil
		}
	})
	require.Equal(t, http.StatusUnauthorized, chain.RefusalOf(err).Status)
	require.Len(t, s.calls, 1)
}

// A key is withdrawn after an endpoint has answered with an error: the caller gets that answer
// and no other. A second answer on the connection belongs to no request, and the connection is
// closed in the middle of the next one.
func TestRequestWithWithdrawnKeyIsAnsweredOnce(t *testing.T) {
	for name, checks := range map[string]int{"before the next choice": 2, "before the next attempt": 3} {
		t.Run(name, func(t *testing.T) {
			s := &service{replies: []reply{failed, good}}
			got, err := run(context.Background(), newFilter(s, 3), func(r *chain.Request) {
				retryable(r)
				checked := 0
				r.Check = func() error {
					if checked++; checked > checks {
						return chain.Refuse(http.StatusUnauthorized, "invalid_key", "withdrawn")
					}
					return nil
				}
			})
			require.NoError(t, err)
			require.Len(t, s.calls, 1)
			require.EqualValues(t, http.StatusInternalServerError, got.status)
			require.Equal(t, "bad", got.text)
		})
	}
}

// A stopping entry refuses streams that it could not complete.
func TestStoppingEntryRefusesLongStreams(t *testing.T) {
	d := newFilter(&service{replies: []reply{{status: 200, authentic: true, body: completeStream}}}, 3)
	ends := time.Now().Add(4 * time.Second)
	d.ShutdownTime = func() time.Time { return ends }
	for tokens, status := range map[int64]int{100: 200, 600: 503} {
		got, err := run(context.Background(), d, func(r *chain.Request) {
			streaming(r)
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
	d := newFilter(s, 1)
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
	_, err := run(context.Background(), newFilter(&service{}, 1), func(r *chain.Request) { r.Route.Kind = conf.RouteModel })
	require.EqualError(t, err, "passed on")
}
