package model

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/tanagerspindle/tanagerspindle/pkg/pause"
)

// defaultMaxTokens is the length of an answer without a limit.
const defaultMaxTokens = 16

// completionRequest is the body of a completion request.
type completionRequest struct {
	Adapter   string `json:"lora"`
	Version   string `json:"version"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	Stream    bool   `json:"stream"`
	Resume    struct {
		Offset int    `json:"offset"`
		Text   string `json:"text"`
	} `json:"resume"`

	prompt string
}

// chunk is one event of a streamed answer, or a whole answer.
type chunk struct {
	Choices []choice `json:"choices"`
	Version string   `json:"version,omitempty"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	PromptDetails    struct {
		Cached int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q, status := readCompletionRequest(r)
	if status != 0 {
		http.Error(w, http.StatusText(status), status)
		return
	}
	if e.Poison != "" && strings.Contains(q.prompt, e.Poison) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	slot, status := e.acquireAdapter(q)
	if slot == nil {
		http.Error(w, http.StatusText(status), status)
		return
	}
	// A client that has read the end may unload the adapter at once, so the
	// run is over before its end is sent.
	ended := sync.OnceFunc(func() { e.releaseAdapter(slot) })
	defer ended()
	places := e.currentScheduler()
	if err := places.acquire(r.Context(), max(e.MaxRequests, 1), q.Priority); err != nil {
		return
	}
	defer e.recordLoad()
	defer places.done()
	e.recordLoad()
	e.generate(r.Context(), w, q, places, ended)
}

func readCompletionRequest(r *http.Request) (*completionRequest, int) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, http.StatusBadRequest
	}
	q := &completionRequest{}
	if err := json.Unmarshal(body, q); err != nil {
		return nil, http.StatusBadRequest
	}
	if q.MaxTokens == 0 {
		q.MaxTokens = defaultMaxTokens
	}
	q.prompt = Prompt(body)
	return q, 0
}

// acquireAdapter counts a run on the resident adapter.
func (e *Engine) acquireAdapter(q *completionRequest) (*residentAdapter, int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	slot := e.adapters[adapterKey(q.Adapter, q.Version)]
	if slot == nil || slot.loading {
		e.addViolation("request for %s, which is not loaded", adapterKey(q.Adapter, q.Version))
		return nil, http.StatusNotFound
	}
	if q.Resume.Text != Answer(q.Adapter, q.Version, q.prompt, 0, q.Resume.Offset) {
		e.addViolation("resumed %s with other text", adapterKey(q.Adapter, q.Version))
		return nil, http.StatusUnprocessableEntity
	}
	slot.running++
	return slot, 0
}

func (e *Engine) releaseAdapter(slot *residentAdapter) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	slot.running--
}

// generate sends the answer token by token.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, q *completionRequest, places *scheduler, ended func()) {
	version := q.Version
	if e.RunVersion != nil {
		version = e.RunVersion(q.Adapter, q.Version)
	}
	count := CountTokens(q.prompt)
	cached := e.cachePrompt(q)
	pause.For(ctx, time.Duration(count-cached)*e.PrefillTime)
	last, finish := e.outputLimit(q)
	stream := newAnswerWriter(w, q.Stream, version)
	for index := q.Resume.Offset; index < last; index++ {
		pause.For(ctx, e.batchTokenTime(places))
		if ctx.Err() != nil {
			return
		}
		stream.writeToken(Token(q.Adapter, version, q.prompt, index))
	}
	final := usage{PromptTokens: count, CompletionTokens: max(last-q.Resume.Offset, 0)}
	final.PromptDetails.Cached = cached
	ended()
	stream.writeEnd(finish, &final)
}

func (e *Engine) outputLimit(q *completionRequest) (last int, finish string) {
	if e.StopAfter == nil {
		return q.MaxTokens, "length"
	}
	stop := e.StopAfter(q.Adapter, q.prompt)
	if stop <= 0 || stop > q.MaxTokens {
		return q.MaxTokens, "length"
	}
	return stop, "stop"
}

func (e *Engine) batchTokenTime(places *scheduler) time.Duration {
	running, _ := places.counts()
	return time.Duration(float64(e.TokenTime) * (1 + e.Slowdown*float64(running-1)))
}

func (e *Engine) currentScheduler() *scheduler {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.scheduler == nil {
		e.scheduler = &scheduler{}
	}
	return e.scheduler
}

// answerWriter writes one answerWriter, streamed or whole.
type answerWriter struct {
	writer  http.ResponseWriter
	flusher http.Flusher
	stream  bool
	version string
	text    strings.Builder
}

func newAnswerWriter(w http.ResponseWriter, stream bool, version string) *answerWriter {
	a := &answerWriter{writer: w, stream: stream, version: version}
	a.flusher, _ = w.(http.Flusher)
	if stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	return a
}

func (a *answerWriter) writeToken(text string) {
	if !a.stream {
		a.text.WriteString(text)
		return
	}
	a.writeEvent(chunk{Choices: []choice{{Text: text}}, Version: a.version})
}

func (a *answerWriter) writeEnd(finish string, final *usage) {
	closing := chunk{Choices: []choice{{Text: a.text.String(), FinishReason: finish}}, Version: a.version, Usage: final}
	if !a.stream {
		writeJSON(a.writer, closing)
		return
	}
	a.writeEvent(closing)
	_, _ = io.WriteString(a.writer, "data: [DONE]\n\n")
	a.flush()
}

func (a *answerWriter) writeEvent(c chunk) {
	data, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(a.writer, "data: %s\n\n", data)
	a.flush()
}

func (a *answerWriter) flush() {
	if a.flusher != nil {
		a.flusher.Flush()
	}
}
