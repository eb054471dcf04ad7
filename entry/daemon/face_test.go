package daemon_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
	"github.com/tanagerspindle/tanagerspindle/pkg/plane"
	"github.com/tanagerspindle/tanagerspindle/pkg/wire"
)

func TestCompletionIsAnsweredInOneBody(t *testing.T) {
	inWorld(t, func(w *world) {
		got := w.complete(keyAnand, "notes", 5, false)
		require.Equal(t, 200, got.status, got.body)
		require.Contains(t, got.body, `"text":"`+words(5)+`"`)
		require.Contains(t, got.body, `"usage":{"prompt_tokens":2,"completion_tokens":5,"total_tokens":7}`)
	})
}

func TestCompletionIsStreamed(t *testing.T) {
	inWorld(t, func(w *world) {
		got := w.complete(keyAnand, "notes", 300, true)
		require.Equal(t, 200, got.status, got.body)
		require.Equal(t, words(300), streamed(t, got.body))
		require.Contains(t, got.body, "data: [DONE]")
		require.Equal(t, int64(64), w.all("e1", "e2")[0].ReservedTokens)
	})
}

func TestChatIsAnsweredAndStreamed(t *testing.T) {
	inWorld(t, func(w *world) {
		ask := `{"model":"notes","messages":[{"role":"user","content":"hi"}],"max_tokens":2`
		got := w.request("POST", "/v1/chat/completions", keyAnand, ask+"}")
		require.Equal(t, 200, got.status, got.body)
		require.Contains(t, got.body, `"message":{"role":"assistant","content":"w0 w1 "}`)
		got = w.request("POST", "/v1/chat/completions", keyAnand, ask+`,"stream":true}`)
		require.Contains(t, got.body, `"delta":{"content":"w1 "}`)
		require.Contains(t, got.body, "data: [DONE]")
	})
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	cases := []struct {
		name, method, path, key, body string
		status                        int
		code                          string
	}{
		{"malformed JSON", "POST", "/v1/completions", keyAnand, `{"model":`, 400, "malformed_json"},
		{"no model", "POST", "/v1/completions", keyAnand, `{"prompt":"x"}`, 400, "model_missing"},
		{"several answers", "POST", "/v1/completions", keyAnand, `{"model":"notes","prompt":"x","n":2}`, 400, "unsupported"},
		{"oversize body", "POST", "/v1/completions", keyAnand, strings.Repeat("x", 4<<20+1), 413, "body_too_large"},
		{"unknown adapter", "POST", "/v1/completions", keyAnand, `{"model":"none","prompt":"x"}`, 404, "model_not_found"},
		{"other workspace's adapter", "POST", "/v1/completions", keyAnand, `{"model":"books","prompt":"x"}`, 404, "model_not_found"},
		{"no key", "POST", "/v1/completions", "", `{"model":"notes","prompt":"x"}`, 401, "invalid_key"},
		{"unknown key", "POST", "/v1/completions", "sk-wrong-0123456789", `{"model":"notes","prompt":"x"}`, 401, "invalid_key"},
		{"wrong method", "GET", "/v1/completions", keyAnand, "", 405, "wrong_method"},
		{"wrong method of a route", "GET", "/filing/1", keyAnand, "", 405, "wrong_method"},
		{"no route", "GET", "/nowhere", keyAnand, "", 404, "unknown_path"},
		{"other workspace's route", "GET", "/lookup/1", keyBapu, "", 404, "unknown_path"},
		{"path with dots", "GET", "/status/../filing", "", "", 400, "bad_path"},
		{"escaped path with dots", "GET", "/status/%2e%2e/filing", "", "", 400, "bad_path"},
	}
	inWorld(t, func(w *world) {
		for _, c := range cases {
			got := w.request(c.method, c.path, c.key, c.body)
			require.Equal(t, c.status, got.status, c.name)
			require.Contains(t, got.body, `"code":"`+c.code+`"`, c.name)
			require.Contains(t, got.body, `"ran":"no"`, c.name)
			require.Equal(t, c.status == 405, got.header.Get("Allow") != "", c.name)
		}
		for _, agent := range w.agents {
			require.Empty(t, agent.got())
		}
		unknown := w.request("POST", "/v1/completions", keyAnand, cases[4].body)
		foreign := w.request("POST", "/v1/completions", keyAnand, cases[5].body)
		require.Equal(t, unknown.body, foreign.body)
	})
}

func TestIncompleteBodyTimesOut(t *testing.T) {
	inWorld(t, func(w *world) {
		body, writer := io.Pipe()
		go func() {
			_, _ = writer.Write([]byte("{"))
			time.Sleep(2 * time.Minute)
			_ = writer.Close()
		}()
		request, err := http.NewRequest("POST", "http://entry:80/v1/completions", body)
		require.NoError(t, err)
		start := time.Now()
		response, err := w.client.Do(request)
		require.NoError(t, err)
		_ = response.Body.Close()
		require.Equal(t, 400, response.StatusCode)
		require.InDelta(t, 60, time.Since(start).Seconds(), 1)
	})
}

func TestKeySeesOnlyItsModels(t *testing.T) {
	inWorld(t, func(w *world) {
		got := w.request("GET", "/v1/models", keyBapu, "")
		require.Equal(t, 200, got.status)
		require.Contains(t, got.body, `"books"`)
		require.NotContains(t, got.body, `"notes"`)
		require.Equal(t, 401, w.request("GET", "/v1/models", "", "").status)
	})
}

func TestOpenRouteNeedsNoKey(t *testing.T) {
	inWorld(t, func(w *world) {
		got := w.request("GET", "/status/today", "", "")
		require.Equal(t, 200, got.status, got.body)
	})
}

func TestNoEndpointSeesTheKey(t *testing.T) {
	inWorld(t, func(w *world) {
		spots := []reply{
			w.request("POST", "/filing/1?token="+keyAnand+"&a=b", "", "one"),
			w.request("POST", "/filing/2", "", "two", "X-Court-Key", keyAnand),
			w.request("POST", "/filing/3", "", "three", "Cookie", "a=b; session="+keyAnand),
			w.request("POST", "/filing/4", "", "four", "X-Api-Key", keyAnand),
			w.request("POST", "/filing/5", keyAnand, "five", "X-Copy", "the key is "+keyAnand),
			w.complete(keyAnand, "notes", 3, false),
			w.request("GET", "/status/1", keyAnand, ""),
			w.request("GET", "/status/2", "short", "", "X-Api-Key", "other"),
		}
		for i, got := range spots {
			require.Equal(t, 200, got.status, "%d: %s", i, got.body)
		}
		got := w.request("POST", "/filing/6", keyAnand, "my key is "+keyAnand)
		require.Equal(t, 400, got.status)
		count := 0
		for _, agent := range w.agents {
			for _, attempt := range agent.got() {
				raw, err := codec.Encode(&attempt)
				require.NoError(t, err)
				require.NotContains(t, string(raw), keyAnand)
				require.NotContains(t, string(raw), digest.Key(keyAnand))
				require.True(t, attempt.Service != "" || len(attempt.Header) == 0)
				for _, field := range attempt.Header {
					require.NotContains(t, []string{"Authorization", "X-Api-Key", "X-Court-Key"}, field.Name)
				}
				count++
			}
		}
		require.Equal(t, len(spots), count)
	})
}

// queued holds an attempt as an agent's queue does, until it is cancelled.
func queued(a *call.Attempt, stream *wire.Stream) error {
	var cancel call.Frame
	if err := stream.Receive(&cancel); err != nil {
		return err
	}
	return refuse(call.ReasonCancelled, false)(a, stream)
}

func (w *world) withdraw(key string) {
	w.control.setConfig(func(c *conf.Config) { delete(c.Keys, digest.Key(key)) })
}

func TestWithdrawnKeyStopsStream(t *testing.T) {
	inWorld(t, func(w *world) {
		got := make(chan reply, 1)
		go func() { got <- w.complete(keyAnand, "notes", 5000, true) }()
		time.Sleep(2 * time.Second)
		w.withdraw(keyAnand)
		start := time.Now()
		end := <-got
		require.Less(t, time.Since(start), 2*time.Second)
		require.Contains(t, end.body, "event: error")
		require.Contains(t, end.body, "invalid_key")
		require.NotContains(t, end.body, "[DONE]")
		require.Equal(t, 401, w.complete(keyAnand, "notes", 1, false).status)
	})
}

func TestWithdrawnKeyCancelsQueuedRequests(t *testing.T) {
	inWorld(t, func(w *world) {
		w.agents["e1"].setRun(queued)
		w.agents["e2"].setRun(queued)
		got := make(chan reply, 1)
		go func() { got <- w.complete(keyAnand, "notes", 5, false) }()
		time.Sleep(time.Second)
		w.withdraw(keyAnand)
		end := <-got
		require.Equal(t, 401, end.status)
		require.Contains(t, end.body, `"ran":"no"`)
		require.Less(t, end.took, 2*time.Second)
	})
}

func TestFilingFinishesAfterItsKeyIsWithdrawn(t *testing.T) {
	inWorld(t, func(w *world) {
		for _, name := range []string{"s1", "s2"} {
			w.agents[name].setRun(func(a *call.Attempt, stream *wire.Stream) error {
				time.Sleep(3 * time.Second)
				return answer(a, stream)
			})
		}
		got := make(chan reply, 1)
		go func() { got <- w.request("POST", "/filing/1", keyAnand, "one") }()
		time.Sleep(time.Second)
		w.withdraw(keyAnand)
		end := <-got
		require.Equal(t, 401, end.status)
		require.Contains(t, end.body, `"ran":"unknown"`)
		time.Sleep(5 * time.Second)
		require.Equal(t, []plane.ClaimState{plane.ClaimDone}, w.control.claimStates())
	})
}

func TestExpiredLeaseFailsClosed(t *testing.T) {
	inWorld(t, func(w *world) {
		got := make(chan reply, 1)
		go func() { got <- w.complete(keyAnand, "notes", 5000, true) }()
		time.Sleep(time.Second)
		w.network.Isolate("entry", "control")
		start := time.Now()
		end := <-got
		require.Less(t, time.Since(start), 5*time.Second)
		require.Contains(t, end.body, "no_authority")
		refused := w.complete(keyAnand, "notes", 1, false)
		require.Equal(t, 503, refused.status)
		require.Contains(t, refused.body, `"ran":"no"`)
		require.NotEmpty(t, refused.header.Get("Retry-After"))
		require.Equal(t, 503, w.request("GET", "/healthz/ready", "", "").status)
		require.Equal(t, 200, w.request("GET", "/healthz/live", "", "").status)
		w.network.Rejoin("entry", "control")
		time.Sleep(10 * time.Second)
		require.Equal(t, 200, w.complete(keyAnand, "notes", 1, false).status)
		require.Equal(t, 200, w.request("GET", "/healthz/ready", "", "").status)
	})
}

func TestEntryLeavesReplicaThatDoesNotRenewItsLease(t *testing.T) {
	inWorld(t, func(w *world) {
		w.control.change(func() { w.control.mute = true })
		time.Sleep(4 * time.Second)
		require.Equal(t, 503, w.complete(keyAnand, "notes", 1, false).status)
		require.GreaterOrEqual(t, w.meter.Value("feeds_lost"), int64(2))
		w.control.change(func() { w.control.mute = false })
		time.Sleep(3 * time.Second)
		require.Equal(t, 200, w.complete(keyAnand, "notes", 1, false).status)
	})
}
