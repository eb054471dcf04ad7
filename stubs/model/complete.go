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

// defaultTokens is the length of an answer without a limit.
const defaultTokens = 16

// question is the body of a completion request.
type question struct {
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
	q, status := readQuestion(r)
	if status != 0 {
		http.Error(w, http.StatusText(status), status)
		return
	}
	if e.Poison != "" && strings.Contains(q.prompt, e.Poison) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	slot, status := e.use(q)
	if slot == nil {
		http.Error(w, http.StatusText(status), status)
		return
	}
	// A client that has read the end may unload the adapter at once, so the
	// run is over before its end is sent.
	ended := sync.OnceFunc(func() { e.unuse(slot) })
	defer ended()
	places := e.currentBatch()
	if err := places.enter(r.Context(), max(e.MaxRequests, 1), q.Priority); err != nil {
		return
	}
	defer e.noteLoad()
	defer places.leave()
	e.noteLoad()
	e.generate(r.Context(), w, q, places, ended)
}

func readQuestion(r *http.Request) (*question, int) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, http.StatusBadRequest
	}
	q := &question{}
	if err := json.Unmarshal(body, q); err != nil {
		return nil, http.StatusBadRequest
	}
	if q.MaxTokens == 0 {
		q.MaxTokens = defaultTokens
	}
	q.prompt = Prompt(body)
	return q, 0
}

// use counts a run on the resident adapter.
func (e *Engine) use(q *question) (*resident, int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	slot := e.resident[identity(q.Adapter, q.Version)]
	if slot == nil || slot.loading {
		e.fault("request for %s, which is not loaded", identity(q.Adapter, q.Version))
		return nil, http.StatusNotFound
	}
	if q.Resume.Text != Answer(q.Adapter, q.Version, q.prompt, 0, q.Resume.Offset) {
		e.fault("resumed %s with other text", identity(q.Adapter, q.Version))
		return nil, http.StatusUnprocessableEntity
	}
	slot.running++
	return slot, 0
}

func (e *Engine) unuse(slot *resident) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	slot.running--
}

// generate sends the answer token by token.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, q *question, places *batch, ended func()) {
	version := q.Version
	if e.RunVersion != nil {
		version = e.RunVersion(q.Adapter, q.Version)
	}
	count := CountTokens(q.prompt)
	cached := e.remember(q)
	pause.For(ctx, time.Duration(count-cached)*e.PrefillTime)
	last, finish := e.limit(q)
	stream := newAnswer(w, q.Stream, version)
	for index := q.Resume.Offset; index < last; index++ {
		pause.For(ctx, e.tokenTime(places))
		if ctx.Err() != nil {
			return
		}
		stream.token(Token(q.Adapter, version, q.prompt, index))
	}
	final := usage{PromptTokens: count, CompletionTokens: max(last-q.Resume.Offset, 0)}
	final.PromptDetails.Cached = cached
	ended()
	stream.end(finish, &final)
}

func (e *Engine) limit(q *question) (last int, finish string) {
	if e.StopAfter == nil {
		return q.MaxTokens, "length"
	}
	stop := e.StopAfter(q.Adapter, q.prompt)
	if stop <= 0 || stop > q.MaxTokens {
		return q.MaxTokens, "length"
	}
	return stop, "stop"
}

func (e *Engine) tokenTime(places *batch) time.Duration {
	running, _ := places.counts()
	return time.Duration(float64(e.TokenTime) * (1 + e.Slowdown*float64(running-1)))
}

func (e *Engine) currentBatch() *batch {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.batch == nil {
		e.batch = &batch{}
	}
	return e.batch
}

// answer writes one answer, streamed or whole.
type answer struct {
	writer  http.ResponseWriter
	flusher http.Flusher
	stream  bool
	version string
	text    strings.Builder
}

func newAnswer(w http.ResponseWriter, stream bool, version string) *answer {
	a := &answer{writer: w, stream: stream, version: version}
	a.flusher, _ = w.(http.Flusher)
	if stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	return a
}

func (a *answer) token(text string) {
	if !a.stream {
		a.text.WriteString(text)
		return
	}
	a.event(chunk{Choices: []choice{{Text: text}}, Version: a.version})
}

func (a *answer) end(finish string, final *usage) {
	closing := chunk{Choices: []choice{{Text: a.text.String(), FinishReason: finish}}, Version: a.version, Usage: final}
	if !a.stream {
		writeJSON(a.writer, closing)
		return
	}
	a.event(closing)
	_, _ = io.WriteString(a.writer, "data: [DONE]\n\n")
	a.flush()
}

func (a *answer) event(c chunk) {
	data, _ := json.Marshal(c)
	_, _ = fmt.Fprintf(a.writer, "data: %s\n\n", data)
	a.flush()
}

func (a *answer) flush() {
	if a.flusher != nil {
		a.flusher.Flush()
	}
}
