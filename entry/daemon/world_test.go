package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/daemon"
	"github.com/tanagerspindle/tanagerspindle/pkg/bubble"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/vnet"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

const (
	keyAnand = "sk-anand-0123456789"
	keyBapu  = "sk-bapu-0123456789"
)

func testConfig() *conf.Config {
	return &conf.Config{
		Number: 1,
		Workspaces: map[string]conf.Workspace{
			"anand": {Rate: 1000, Burst: 10000, Objective: conf.Objective{FirstToken: span.Duration(time.Second), Share: 0.95}},
			"bapu":  {Rate: 100, Burst: 400},
		},
		Keys: map[string]conf.Key{
			digest.Key(keyAnand): {Workspace: "anand"},
			digest.Key(keyBapu):  {Workspace: "bapu"},
		},
		Adapters: map[string]conf.Adapter{
			"notes": {Model: "base", Workspace: "anand", Versions: []string{"v1", "v2"}, Current: "v1"},
			"books": {Model: "base", Workspace: "bapu", Versions: []string{"v1"}, Current: "v1"},
		},
		Routes: map[string]conf.Route{
			"filing": {Kind: conf.RouteService, Path: "/filing", Methods: []string{"POST"}, Service: "court", Workspaces: []string{"anand"}, AtMostOnce: true, Cost: 10, KeyQuery: []string{"token"}, KeyCookie: []string{"session"}, KeyHeader: []string{"X-Court-Key"}},
			"lookup": {Kind: conf.RouteService, Path: "/lookup", Service: "court", Workspaces: []string{"anand"}, Cost: 1},
			"status": {Kind: conf.RouteService, Path: "/status", Service: "court", Workspaces: []string{"anand"}, Open: true, Cost: 1},
		},
	}
}

// fakeAgent serves attempts with a script.
type fakeAgent struct {
	name   string
	record roster.Record
	// run answers an attempt; nil answers in full.
	run func(a *call.Attempt, stream *wire.Stream) error
	// probe answers a probe; nil says never.
	probe func(p *call.Probe) *call.ProbeReply
	// known makes a real agent's memory: an attempt runs at most once.
	mutex    sync.Mutex
	attempts []call.Attempt
	tombs    map[string]bool
	stop     context.CancelFunc
}

func (a *fakeAgent) handlers() map[string]link.Handler {
	return map[string]link.Handler{plane.MethodAttempt: a.attempt, plane.MethodProbe: a.serveProbe}
}

func (a *fakeAgent) attempt(_ context.Context, stream *wire.Stream) error {
	var got call.Attempt
	if err := stream.Receive(&got); err != nil {
		return err
	}
	a.mutex.Lock()
	a.attempts = append(a.attempts, got)
	buried := a.tombs[string(got.ID)]
	run := a.run
	a.mutex.Unlock()
	if buried {
		return stream.Send(&call.Frame{ID: got.ID, Type: call.FrameRefuse, Reason: call.ReasonTombstone})
	}
	if run != nil {
		return run(&got, stream)
	}
	return answer(&got, stream)
}

func (a *fakeAgent) serveProbe(_ context.Context, stream *wire.Stream) error {
	var probe call.Probe
	if err := stream.Receive(&probe); err != nil {
		return err
	}
	verdict := &call.ProbeReply{State: call.StateNotRun}
	if a.probe != nil {
		verdict = a.probe(&probe)
	}
	if verdict.State == call.StateNotRun {
		a.mutex.Lock()
		a.tombs[string(probe.ID)] = true
		a.mutex.Unlock()
	}
	verdict.Incarnation = a.record.Incarnation
	return stream.Send(verdict)
}

func (a *fakeAgent) got() []call.Attempt {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return append([]call.Attempt(nil), a.attempts...)
}

func (a *fakeAgent) setRun(run func(*call.Attempt, *wire.Stream) error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.run = run
}

// word is the answer's token at a place.
func word(at int64) string { return fmt.Sprintf("w%d ", at) }

// words is the whole answer of a length.
func words(count int64) string {
	var text strings.Builder
	for at := range count {
		text.WriteString(word(at))
	}
	return text.String()
}

// answer sends a whole answer: as many words as may be, or a service's line.
func answer(a *call.Attempt, stream *wire.Stream) error {
	if err := stream.Send(&call.Frame{ID: a.ID, Type: call.FrameHead, Status: http.StatusOK}); err != nil {
		return err
	}
	if a.Service != "" {
		_ = stream.Send(&call.Frame{ID: a.ID, Type: call.FramePart, Data: []byte("filed " + string(a.Body))})
		return stream.Send(&call.Frame{ID: a.ID, Type: call.FrameEnd})
	}
	if err := parts(a, stream, a.MaxTokens); err != nil {
		return err
	}
	return end(a, stream, a.MaxTokens-a.DeliveredTokens)
}

// parts sends the words from the offset up to a place, ten milliseconds apart,
// and waits for tokens as an engine does.
func parts(a *call.Attempt, stream *wire.Stream, to int64) error {
	paid := a.DeliveredTokens + a.ReservedTokens
	for at := a.DeliveredTokens; at < to; at++ {
		for at >= paid {
			var extend call.Frame
			if err := stream.Receive(&extend); err != nil {
				return err
			}
			paid = max(paid, a.DeliveredTokens+extend.Tokens)
		}
		time.Sleep(10 * time.Millisecond)
		frame := &call.Frame{ID: a.ID, Type: call.FramePart, Index: at - a.DeliveredTokens, Data: []byte(word(at)), Tokens: 1}
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
	return nil
}

func end(a *call.Attempt, stream *wire.Stream, tokens int64) error {
	return stream.Send(&call.Frame{ID: a.ID, Type: call.FrameEnd, Tokens: tokens, Version: a.Version, FinishReason: "length"})
}

func refuse(reason call.Reason, ran bool) func(*call.Attempt, *wire.Stream) error {
	return func(a *call.Attempt, stream *wire.Stream) error {
		return stream.Send(&call.Frame{ID: a.ID, Type: call.FrameRefuse, Reason: reason, MayHaveRun: ran})
	}
}

// world is one entry between a fake control and fake agents.
type world struct {
	t       *testing.T
	network *vnet.Network
	control *fakeControl
	agents  map[string]*fakeAgent
	meter   *meter.Meter
	client  *http.Client
	stop    context.CancelFunc
	ended   chan error
	context context.Context
	beat    uint64
	// killed holds the ends of entries that were killed.
	killed []chan error
}

// inWorld runs a test in virtual time with engines e1 and e2 and services s1
// and s2.
func inWorld(t *testing.T, test func(w *world)) {
	bubble.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close()
		test(w)
	})
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, network: vnet.New(), control: newControl(testConfig()), agents: map[string]*fakeAgent{}, meter: meter.New()}
	w.network.Latency = func(string, string) time.Duration { return time.Millisecond }
	ctx, cancel := context.WithCancel(context.Background())
	w.context, w.stop = ctx, cancel
	w.serve("control", w.control.handlers())
	for _, name := range []string{"e1", "e2"} {
		w.startAgent(name, roster.Record{Model: "base", AdapterSlots: 4, RequestSlots: 8})
	}
	for _, name := range []string{"s1", "s2"} {
		w.startAgent(name, roster.Record{Service: "court", RequestSlots: 8})
	}
	w.startEntry("entry")
	w.client = w.newClient()
	time.Sleep(100 * time.Millisecond)
	return w
}

func (w *world) newClient() *http.Client {
	dial := w.network.Dialer("caller")
	return &http.Client{Transport: &http.Transport{
		DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		DisableKeepAlives: true,
	}}
}

func (w *world) startEntry(name string) {
	d := &daemon.Daemon{
		Host:          host.Host{VM: name, Meter: w.meter, Dial: w.network.Dialer(name), Listen: w.network.Listen},
		ListenAddress: name + ":80",
		NewListener:   w.network.Listen,
		Control:       []string{"control:1"},
		Linger:        time.Second,
	}
	w.ended = make(chan error, 1)
	ended, ctx := w.ended, w.context
	go func() { ended <- d.Run(ctx) }()
}

func (w *world) serve(name string, handlers map[string]link.Handler) context.CancelFunc {
	listener, err := w.network.Listen(name + ":1")
	require.NoError(w.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = link.Serve(ctx, listener, handlers) }()
	w.t.Cleanup(cancel)
	return cancel
}

func (w *world) startAgent(name string, record roster.Record) {
	record.Agent = name
	record.Incarnation = 7
	record.Address = name + ":1"
	record.Ready = true
	agent := &fakeAgent{name: name, record: record, tombs: map[string]bool{}}
	w.agents[name] = agent
	agent.stop = w.serve(name, agent.handlers())
	w.report(name, func(*roster.Record) {})
}

// report changes what control knows of an agent.
func (w *world) report(name string, edit func(*roster.Record)) {
	agent := w.agents[name]
	w.control.change(func() {
		edit(&agent.record)
		w.beat++
		agent.record.ReportSeq = w.beat
		w.control.roster.Report(1, agent.record)
	})
}

// close stops the entry as planned and the rest at once.
func (w *world) close() {
	w.stop()
	require.NoError(w.t, <-w.ended)
	for _, ended := range w.killed {
		<-ended
	}
	w.network.Crash("control")
	for name, agent := range w.agents {
		agent.stop()
		w.network.Crash(name)
	}
	w.client.CloseIdleConnections()
	time.Sleep(10 * time.Minute)
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	took   time.Duration
}

func (w *world) request(method, path, key, body string, header ...string) reply {
	return w.requestAt("entry", method, path, key, body, header...)
}

func (w *world) requestAt(entry, method, path, key, body string, header ...string) reply {
	request, err := http.NewRequest(method, "http://"+entry+":80"+path, strings.NewReader(body))
	require.NoError(w.t, err)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	start := time.Now()
	response, err := w.client.Do(request)
	require.NoError(w.t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		data = append(data, "\n(broken off)"...)
	}
	return reply{status: response.StatusCode, header: response.Header, body: string(data), took: time.Since(start)}
}

func (w *world) complete(key, adapter string, tokens int, stream bool) reply {
	body := fmt.Sprintf(`{"model":%q,"prompt":"hello","max_tokens":%d,"stream":%t}`, adapter, tokens, stream)
	return w.request("POST", "/v1/completions", key, body)
}

// streamed joins the text of server-sent events.
func streamed(t *testing.T, body string) string {
	var text strings.Builder
	for line := range strings.SplitSeq(body, "\n") {
		data, ok := strings.CutPrefix(line, `data: {"id"`)
		if !ok {
			continue
		}
		_, data, ok = strings.Cut(data, `"text":"`)
		require.True(t, ok, line)
		data, _, _ = strings.Cut(data, `"`)
		text.WriteString(data)
	}
	return text.String()
}

// leave begins a request and goes away after a second.
func (w *world) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	body := strings.NewReader(`{"model":"notes","prompt":"hello","max_tokens":5}`)
	request, err := http.NewRequestWithContext(ctx, "POST", "http://entry:80/v1/completions", body)
	require.NoError(w.t, err)
	request.Header.Set("Authorization", "Bearer "+keyAnand)
	response, err := w.client.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

// kill ends all that an entry can do; callers hear nothing.
func (w *world) kill(name string) {
	w.network.LoseHost(name)
	w.network.Isolate(name, "control", "s1", "s2", "e1", "e2")
}

// switchVersion makes another version of the adapter the current one.
func switchVersion(c *conf.Config) {
	adapter := c.Adapters["notes"]
	adapter.Current = "v2"
	c.Adapters["notes"] = adapter
}

// try sends a filing and goes away after a time, if no answer has come.
func (w *world) try(patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "POST", "http://entry:80/filing/1", strings.NewReader("one"))
	require.NoError(w.t, err)
	request.Header.Set("Authorization", "Bearer "+keyAnand)
	response, err := w.client.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}
