package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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
	// run answers an attempt; if nil, the attempt is answered in full.
	run func(a *call.Attempt, stream *wire.Stream) error
	// probe answers a probe; if nil, the answer is that the attempt never arrived.
	probe func(p *call.Probe) *call.ProbeReply
	// mutex guards the attempts received, and the tombstones of attempts that must not
	// run.
	mutex      sync.Mutex
	attempts   []call.Attempt
	tombstones map[string]bool
	stop       context.CancelFunc
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
	tombstoned := a.tombstones[string(got.ID)]
	run := a.run
	a.mutex.Unlock()
	if tombstoned {
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
		a.tombstones[string(probe.ID)] = true
		a.mutex.Unlock()
	}
	verdict.Incarnation = a.record.Incarnation
	return stream.Send(verdict)
}

func (a *fakeAgent) receivedAttempts() []call.Attempt {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return append([]call.Attempt(nil), a.attempts...)
}

func (a *fakeAgent) setRun(run func(*call.Attempt, *wire.Stream) error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.run = run
}

// word returns the answer's token at an index.
func word(at int64) string { return fmt.Sprintf("w%d ", at) }

// words returns the complete answer of count tokens.
func words(count int64) string {
	var text strings.Builder
	for at := range count {
		text.WriteString(word(at))
	}
	return text.String()
}

// answer sends a complete answer: the largest number of words, or the line of a
// service.
func answer(a *call.Attempt, stream *wire.Stream) error {
	if err := stream.Send(&call.Frame{ID: a.ID, Type: call.FrameHead, Status: http.StatusOK}); err != nil {
		return err
	}
	if a.Service != "" {
		_ = stream.Send(&call.Frame{ID: a.ID, Type: call.FramePart, Data: []byte("filed " + string(a.Body))})
		return stream.Send(&call.Frame{ID: a.ID, Type: call.FrameEnd})
	}
	if err := sendParts(a, stream, a.MaxTokens); err != nil {
		return err
	}
	return sendEnd(a, stream, a.MaxTokens-a.DeliveredTokens)
}

// sendParts sends the words from the attempt's offset up to an index, ten milliseconds
// apart, and waits for reserved tokens as an engine does.
func sendParts(a *call.Attempt, stream *wire.Stream, to int64) error {
	reserved := a.DeliveredTokens + a.ReservedTokens
	for at := a.DeliveredTokens; at < to; at++ {
		for at >= reserved {
			var extend call.Frame
			if err := stream.Receive(&extend); err != nil {
				return err
			}
			reserved = max(reserved, a.DeliveredTokens+extend.Tokens)
		}
		time.Sleep(10 * time.Millisecond)
		frame := &call.Frame{ID: a.ID, Type: call.FramePart, Index: at - a.DeliveredTokens, Data: []byte(word(at)), Tokens: 1}
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
	return nil
}

func sendEnd(a *call.Attempt, stream *wire.Stream, tokens int64) error {
	return stream.Send(&call.Frame{ID: a.ID, Type: call.FrameEnd, Tokens: tokens, Version: a.Version, FinishReason: "length"})
}

func refuse(reason call.Reason, ran bool) func(*call.Attempt, *wire.Stream) error {
	return func(a *call.Attempt, stream *wire.Stream) error {
		return stream.Send(&call.Frame{ID: a.ID, Type: call.FrameRefuse, Reason: reason, MayHaveRun: ran})
	}
}

// harness runs one entry between a fake control and fake agents.
type harness struct {
	t            *testing.T
	network      *vnet.Network
	control      *fakeControl
	agents       map[string]*fakeAgent
	meter        *meter.Meter
	client       *http.Client
	stop         context.CancelFunc
	ended        chan error
	entryContext context.Context
	reportNumber uint64
	// killed holds the results of entries that were killed.
	killed []chan error
	// callerLatency is the one-way latency between the caller and the entries.
	callerLatency atomic.Int64
	// grace is the Daemon.Grace of the entries that are started from now on.
	grace time.Duration
}

// withHarness runs a test in virtual time with the engines e1 and e2 and the services
// s1 and s2.
func withHarness(t *testing.T, test func(h *harness)) {
	bubble.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close()
		test(h)
	})
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, network: vnet.New(), control: newControl(testConfig()), agents: map[string]*fakeAgent{}, meter: meter.New()}
	h.callerLatency.Store(int64(time.Millisecond))
	h.network.Latency = func(from, to string) time.Duration {
		if from == "caller" || to == "caller" {
			return time.Duration(h.callerLatency.Load())
		}
		return time.Millisecond
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.entryContext, h.stop = ctx, cancel
	h.serve("control", h.control.handlers())
	for _, name := range []string{"e1", "e2"} {
		h.startAgent(name, roster.Record{Model: "base", AdapterSlots: 4, RequestSlots: 8})
	}
	for _, name := range []string{"s1", "s2"} {
		h.startAgent(name, roster.Record{Service: "court", RequestSlots: 8})
	}
	h.startEntry("entry")
	h.client = h.newClient()
	time.Sleep(100 * time.Millisecond)
	return h
}

func (h *harness) newClient() *http.Client {
	dial := h.network.Dialer("caller")
	return &http.Client{Transport: &http.Transport{
		DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		DisableKeepAlives: true,
	}}
}

func (h *harness) startEntry(name string) {
	d := &daemon.Daemon{
		Host:          host.Host{VM: name, Meter: h.meter, Dial: h.network.Dialer(name), Listen: h.network.Listen},
		ListenAddress: name + ":80",
		NewListener:   h.network.Listen,
		Control:       []string{"control:1"},
		Linger:        time.Second,
		Grace:         h.grace,
	}
	h.ended = make(chan error, 1)
	ended, ctx := h.ended, h.entryContext
	go func() { ended <- d.Run(ctx) }()
}

func (h *harness) serve(name string, handlers map[string]link.Handler) context.CancelFunc {
	listener, err := h.network.Listen(name + ":1")
	require.NoError(h.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = link.Serve(ctx, listener, handlers) }()
	h.t.Cleanup(cancel)
	return cancel
}

func (h *harness) startAgent(name string, record roster.Record) {
	record.Agent = name
	record.Incarnation = 7
	record.Address = name + ":1"
	record.Ready = true
	agent := &fakeAgent{name: name, record: record, tombstones: map[string]bool{}}
	h.agents[name] = agent
	agent.stop = h.serve(name, agent.handlers())
	h.report(name, func(*roster.Record) {})
}

// report changes an agent's record at control.
func (h *harness) report(name string, edit func(*roster.Record)) {
	agent := h.agents[name]
	h.control.change(func() {
		edit(&agent.record)
		h.reportNumber++
		agent.record.ReportSeq = h.reportNumber
		h.control.roster.Report(1, agent.record)
	})
}

// close stops the entry by a planned stop, and everything else at once.
func (h *harness) close() {
	h.stop()
	require.NoError(h.t, <-h.ended)
	for _, ended := range h.killed {
		<-ended
	}
	h.network.Crash("control")
	for name, agent := range h.agents {
		agent.stop()
		h.network.Crash(name)
	}
	h.client.CloseIdleConnections()
	time.Sleep(10 * time.Minute)
}

// reply is the response to a caller.
type reply struct {
	status int
	header http.Header
	body   string
	took   time.Duration
}

func (h *harness) request(method, path, key, body string, header ...string) reply {
	return h.requestAt("entry", method, path, key, body, header...)
}

func (h *harness) requestAt(entry, method, path, key, body string, header ...string) reply {
	request, err := http.NewRequest(method, "http://"+entry+":80"+path, strings.NewReader(body))
	require.NoError(h.t, err)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	start := time.Now()
	response, err := h.client.Do(request)
	require.NoError(h.t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		data = append(data, "\n(answer interrupted)"...)
	}
	return reply{status: response.StatusCode, header: response.Header, body: string(data), took: time.Since(start)}
}

func (h *harness) complete(key, adapter string, tokens int, stream bool) reply {
	body := fmt.Sprintf(`{"model":%q,"prompt":"hello","max_tokens":%d,"stream":%t}`, adapter, tokens, stream)
	return h.request("POST", "/v1/completions", key, body)
}

// streamedText joins the text of the server-sent events.
func streamedText(t *testing.T, body string) string {
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

// sendAndDisconnect starts a request and disconnects after a second.
func (h *harness) sendAndDisconnect() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	body := strings.NewReader(`{"model":"notes","prompt":"hello","max_tokens":5}`)
	request, err := http.NewRequestWithContext(ctx, "POST", "http://entry:80/v1/completions", body)
	require.NoError(h.t, err)
	request.Header.Set("Authorization", "Bearer "+keyAnand)
	response, err := h.client.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

// killEntry cuts an entry off from the network. Its callers get no answer.
func (h *harness) killEntry(name string) {
	h.network.LoseHost(name)
	h.network.Isolate(name, "control", "s1", "s2", "e1", "e2")
}

// switchVersion changes the current version of the adapter.
func switchVersion(c *conf.Config) {
	adapter := c.Adapters["notes"]
	adapter.Current = "v2"
	c.Adapters["notes"] = adapter
}

// sendFiling sends a filing and disconnects after maxWait if no answer has come.
func (h *harness) sendFiling(maxWait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), maxWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "POST", "http://entry:80/filing/1", strings.NewReader("one"))
	require.NoError(h.t, err)
	request.Header.Set("Authorization", "Bearer "+keyAnand)
	response, err := h.client.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}
