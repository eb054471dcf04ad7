package driver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// requestTimeout limits a request, including its answer.
const requestTimeout = 120 * time.Second

// completionRequest is the body of a request to /v1/completions.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// response holds the evaluated fields of an OpenAI-compatible response or of an event in its
// stream.
type response struct {
	Choices []struct {
		Text   string  `json:"text"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Prompt     int64 `json:"prompt_tokens"`
		Completion int64 `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Message string `json:"message"`
		Code    string `json:"code"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

// sendCompletion sends one completion request and records its outcome.
func (w *Workload) sendCompletion(ctx context.Context, key string, request *Request) {
	body, err := json.Marshal(completionRequest{
		Model: request.Adapter, Prompt: request.Prompt, MaxTokens: request.MaxTokens, Stream: request.Stream,
	})
	if err != nil {
		request.Failure = err.Error()
		return
	}
	w.send(ctx, key, http.MethodPost, "/v1/completions", body, request)
}

// sendCall sends one request to a plain service and records its outcome.
func (w *Workload) sendCall(ctx context.Context, key, method, path string, request *Request) {
	var body []byte
	if request.IdempotencyKey != "" {
		body = []byte(`{"filing":"` + request.IdempotencyKey + `"}`)
	}
	w.send(ctx, key, method, path, body, request)
}

// send sends a request to the next entry and records its outcome.
func (w *Workload) send(ctx context.Context, key, method, path string, body []byte, request *Request) {
	defer w.record(request)
	request.Entry = w.nextEntry()
	request.Sent = time.Now()
	defer func() { request.Ended = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, method, "http://"+request.Entry+path, bytes.NewReader(body))
	if err != nil {
		request.Failure = err.Error()
		return
	}
	message.Header.Set("Authorization", "Bearer "+key)
	message.Header.Set("Content-Type", "application/json")
	if request.IdempotencyKey != "" {
		message.Header.Set("Idempotency-Key", request.IdempotencyKey)
	}
	reply, err := w.Client.Do(message)
	if err != nil {
		request.Failure = err.Error()
		return
	}
	defer func() { _ = reply.Body.Close() }()
	request.Status = reply.StatusCode
	if strings.HasPrefix(reply.Header.Get("Content-Type"), "text/event-stream") {
		request.readStream(reply.Body)
		return
	}
	request.readBody(reply.Body)
}

// readBody reads an answer that is not streamed.
func (r *Request) readBody(body io.Reader) {
	data, err := io.ReadAll(body)
	r.FirstOutput = time.Now()
	if err != nil {
		r.Failure = err.Error()
		return
	}
	if r.Caller == CallerLookup || r.Caller == CallerFiling {
		r.Text, r.Complete = string(data), true
		if r.succeeded() {
			return
		}
	}
	var parsed response
	if err := json.Unmarshal(data, &parsed); err != nil {
		r.Failure = fmt.Sprintf("answer is not JSON: %v", err)
		return
	}
	r.addPart(&parsed)
	r.Complete = parsed.Error == nil
}

// readStream reads a stream of events up to its [DONE] event.
func (r *Request) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Complete = true
			return
		}
		var parsed response
		if err := json.Unmarshal([]byte(data), &parsed); err != nil {
			r.Failure = fmt.Sprintf("event is not JSON: %v", err)
			return
		}
		r.addPart(&parsed)
	}
	if r.Failure == "" {
		r.Failure = fmt.Sprintf("stream ended without its [DONE] event: %v", lines.Err())
	}
}

// addPart adds a complete response or one event of a stream to the outcome.
func (r *Request) addPart(part *response) {
	if part.Error != nil {
		r.Code, r.Ran = part.Error.Code, part.Error.Ran
		r.Failure = part.Error.Message
	}
	for _, choice := range part.Choices {
		if choice.Text != "" && r.FirstOutput.IsZero() {
			r.FirstOutput = time.Now()
		}
		r.Text += choice.Text
	}
	if part.Usage != nil {
		r.PromptTokens, r.CompletionTokens = part.Usage.Prompt, part.Usage.Completion
	}
}
