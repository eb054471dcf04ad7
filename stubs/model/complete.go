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

// defaultMaxTokens limits the answer to a request that states no limit.
const defaultMaxTokens = 16

// completionRequest is the body of a completion request. Resume holds the part of the answer
// that the client has received before an interruption: its number of tokens and its text.
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

// chunk is one event of a streamed answer, or a complete answer.
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

// complete serves POST /v1/completions.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	request, status := readCompletionRequest(r)
	if status != 0 {
		http.Error(w, http.StatusText(status), status)
		return
	}
	if e.Poison != "" && strings.Contains(request.prompt, e.Poison) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	slot, status := e.acquireAdapter(request)
	if slot == nil {
		http.Error(w, http.StatusText(status), status)
		return
	}
	// The adapter is released before the end of the answer is sent, because a client that
	// has read the end may unload the adapter at once.
	release := sync.OnceFunc(func() { e.releaseAdapter(slot) })
	defer release()
	sched := e.currentScheduler()
	if err := sched.acquire(r.Context(), max(e.MaxRequests, 1), request.Priority); err != nil {
		return
	}
	defer e.recordLoad()
	defer sched.done()
	e.recordLoad()
	e.generate(r.Context(), w, request, sched, release)
}

func readCompletionRequest(r *http.Request) (*completionRequest, int) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, http.StatusBadRequest
	}
	request := &completionRequest{}
	if err := json.Unmarshal(body, request); err != nil {
		return nil, http.StatusBadRequest
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	request.prompt = Prompt(body)
	return request, 0
}

// acquireAdapter returns the request's adapter and counts the request as running on it. It
// returns nil and an HTTP status when the adapter is not loaded or the resumed text is not
// the beginning of the answer.
func (e *Engine) acquireAdapter(request *completionRequest) (*residentAdapter, int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	slot := e.adapters[adapterKey(request.Adapter, request.Version)]
	if slot == nil || slot.loading {
		e.addViolation("request for %s, which is not loaded", adapterKey(request.Adapter, request.Version))
		return nil, http.StatusNotFound
	}
	if request.Resume.Text != Answer(request.Adapter, request.Version, request.prompt, 0, request.Resume.Offset) {
		e.addViolation("resume of %s with text that differs from its answer", adapterKey(request.Adapter, request.Version))
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

// generate sends the answer token by token. It calls release before the end of the answer.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, request *completionRequest, sched *scheduler, release func()) {
	version := request.Version
	if e.RunVersion != nil {
		version = e.RunVersion(request.Adapter, request.Version)
	}
	count := CountTokens(request.prompt)
	cached := e.cachePrompt(request)
	pause.For(ctx, time.Duration(count-cached)*e.PrefillTime)
	last, finish := e.outputLimit(request)
	stream := newAnswerWriter(w, request.Stream, version)
	for index := request.Resume.Offset; index < last; index++ {
		pause.For(ctx, e.batchTokenTime(sched))
		if ctx.Err() != nil {
			return
		}
		stream.writeToken(Token(request.Adapter, version, request.prompt, index))
	}
	final := usage{PromptTokens: count, CompletionTokens: max(last-request.Resume.Offset, 0)}
	final.PromptDetails.Cached = cached
	release()
	stream.writeEnd(finish, &final)
}

// outputLimit returns the number of tokens of the answer and its finish reason.
func (e *Engine) outputLimit(request *completionRequest) (last int, finish string) {
	if e.StopAfter == nil {
		return request.MaxTokens, "length"
	}
	stop := e.StopAfter(request.Adapter, request.prompt)
	if stop <= 0 || stop > request.MaxTokens {
		return request.MaxTokens, "length"
	}
	return stop, "stop"
}

// batchTokenTime returns the time for one token at the present size of the batch.
func (e *Engine) batchTokenTime(sched *scheduler) time.Duration {
	running, _ := sched.counts()
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

// answerWriter writes one answer, as an event stream or as a single JSON document.
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
