package daemon_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/daemon"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
	"github.com/tanagerspindle/tanagerspindle/pkg/link"
	"github.com/tanagerspindle/tanagerspindle/pkg/meter"
	"github.com/tanagerspindle/tanagerspindle/pkg/roster"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

// benchTokens is the length of the benchmarks' answers.
const benchTokens = 16

// loopback runs one entry with a fake control and a fake agent over loopback
// and returns its address.
func loopback(b *testing.B) string {
	ctx, cancel := context.WithCancel(context.Background())
	config := testConfig()
	config.Workspaces["anand"] = conf.Workspace{Rate: 1e9, Burst: 1e9}
	control := newControl(config)
	agent := &fakeAgent{tombs: map[string]bool{}, run: atOnce}
	agent.record = roster.Record{
		Agent: "e1", Incarnation: 7, ReportSeq: 1, Model: "base", AdapterSlots: 4, RequestSlots: 1000, Ready: true,
		Address: listen(ctx, b, agent.handlers()),
	}
	control.roster.Report(1, agent.record)
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	dialer := &net.Dialer{}
	d := &daemon.Daemon{
		Host: host.Host{VM: "entry", Meter: meter.New(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}},
		NewListener: func(string) (net.Listener, error) { return callers, nil },
		Control:     []string{listen(ctx, b, control.handlers())},
		Linger:      time.Millisecond,
	}
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		<-ended
	})
	return callers.Addr().String()
}

func listen(ctx context.Context, b *testing.B, handlers map[string]link.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = link.Serve(ctx, listener, handlers) }()
	return listener.Addr().String()
}

// atOnce answers without the time of an engine.
func atOnce(a *call.Attempt, stream *wire.Stream) error {
	_ = stream.Send(&call.Frame{ID: a.ID, Type: call.FrameHead, Status: http.StatusOK})
	for at := range int64(benchTokens) {
		_ = stream.Send(&call.Frame{ID: a.ID, Type: call.FramePart, Index: at, Data: []byte("word "), Tokens: 1})
	}
	return end(a, stream, benchTokens)
}

func benchmark(b *testing.B, stream string) {
	address := loopback(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	body := []byte(`{"model":"notes","prompt":"hello","max_tokens":16` + stream + `}`)
	ask := func() int {
		request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
		request.Header.Set("Authorization", "Bearer "+keyAnand)
		response, err := client.Do(request)
		if err != nil {
			return 0
		}
		defer func() { _ = response.Body.Close() }()
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode
	}
	for ask() != http.StatusOK {
		time.Sleep(10 * time.Millisecond)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if status := ask(); status != http.StatusOK {
				b.Errorf("status %d", status)
			}
		}
	})
}

// BenchmarkSingleBody and BenchmarkStreamed measure a request of 16 answer tokens
// through entry, fake control and fake agent; client and fakes run in the same
// process and count.
func BenchmarkSingleBody(b *testing.B) { benchmark(b, "") }

func BenchmarkStreamed(b *testing.B) { benchmark(b, `,"stream":true`) }
