package front_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/entry/front"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// handler returns a face whose chain answers with the given parts.
func handler(parts ...string) http.Handler {
	answer := func(_ context.Context, r *chain.Request, _ chain.Next) error {
		if r.API == chain.APIModels {
			return nil
		}
		_ = r.Write(&call.Frame{Type: call.FrameHead, Status: http.StatusOK})
		for _, part := range parts {
			_ = r.Write(&call.Frame{Type: call.FramePart, Data: []byte(part), Tokens: 1})
		}
		return r.Write(&call.Frame{Type: call.FrameEnd, FinishReason: "stop"})
	}
	f := &front.Front{
		Chain:        &chain.Chain{Filters: []chain.Filter{answer}},
		Ready:        func() bool { return true },
		Draining:     func() bool { return false },
		Enter:        func() func() { return func() {} },
		MaxBodyBytes: 1 << 16,
	}
	return f.Handler()
}

func TestStreamSplitsNoCharacter(t *testing.T) {
	w := httptest.NewRecorder()
	body := strings.NewReader(`{"model":"m","prompt":"p","stream":true}`)
	handler("\xe0", "\xaa\xb0", "\xe0\xaa", "\xbe", "j").ServeHTTP(w, httptest.NewRequest("POST", "/v1/completions", body))
	require.Contains(t, w.Body.String(), `"text":"ર"`)
	require.Contains(t, w.Body.String(), `"text":"ા"`)
	require.NotContains(t, w.Body.String(), "�")
}

func TestFullEntryRefusesAtOnce(t *testing.T) {
	running, release := make(chan bool), make(chan bool)
	wait := func(_ context.Context, r *chain.Request, _ chain.Next) error {
		if r.Path == "/first" {
			running <- true
			<-release
		}
		return chain.Refuse(http.StatusNotFound, "none", "none")
	}
	f := &front.Front{
		Chain:         &chain.Chain{Filters: []chain.Filter{wait}},
		Draining:      func() bool { return false },
		Enter:         func() func() { return func() {} },
		MaxConcurrent: 1,
	}
	h := f.Handler()
	first := httptest.NewRecorder()
	ended := make(chan bool)
	go func() {
		h.ServeHTTP(first, httptest.NewRequest("GET", "/first", nil))
		close(ended)
	}()
	<-running
	second := httptest.NewRecorder()
	h.ServeHTTP(second, httptest.NewRequest("GET", "/second", nil))
	require.Equal(t, http.StatusServiceUnavailable, second.Code)
	require.Contains(t, second.Body.String(), `"ran":"no"`)
	require.Equal(t, "1", second.Header().Get("Retry-After"))
	close(release)
	<-ended
	require.Equal(t, http.StatusNotFound, first.Code)
}

func FuzzCallerRequest(f *testing.F) {
	seeds := []struct{ method, path, body string }{
		{"POST", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":3}`},
		{"POST", "/v1/completions", `{"model":"m","prompt":["p"],"stream":true}`},
		{"POST", "/v1/completions", `{"model":1,"prompt":[[1,2]]}`},
		{"POST", "/v1/completions", `{"model":"m","prompt":"p","max_tokens":-9223372036854775808}`},
		{"POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`},
		{"POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":null}]}`},
		{"POST", "/v1/chat/completions", `{"messages":{}}`},
		{"GET", "/v1/models", ""},
		{"PUT", "/a/../b//c?d=%zz&e", "\x00\xff"},
		{"BREW", "/%2e%2e/%2f", "{"},
	}
	for _, s := range seeds {
		f.Add(s.method, s.path, s.body)
	}
	h := handler("a", "b")
	f.Fuzz(func(t *testing.T, method, path, body string) {
		request, err := http.NewRequest(method, "http://entry"+path, strings.NewReader(body))
		if err != nil || !strings.HasPrefix(path, "/") {
			return
		}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, request)
		require.NotEqual(t, http.StatusInternalServerError, w.Code)
		if strings.HasPrefix(w.Header().Get("Content-Type"), "application/json") {
			require.True(t, utf8.Valid(w.Body.Bytes()))
		}
		if w.Code >= http.StatusBadRequest && !strings.HasPrefix(request.URL.Path, "/healthz") {
			require.Contains(t, w.Body.String(), `"ran":"no"`)
		}
	})
}
