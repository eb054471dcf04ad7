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

// patience is how long a caller waits for an answer.
const patience = 120 * time.Second

// completion is what a caller sends to /v1/completions.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// answer is the part of an OpenAI-compatible answer or event that callers
// read.
type answer struct {
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

// complete sends one completion and records it.
func (c *Workload) complete(ctx context.Context, key string, request *Request) {
	body, err := json.Marshal(completion{
		Model: request.Adapter, Prompt: request.Prompt, MaxTokens: request.MaxTokens, Stream: request.Stream,
	})
	if err != nil {
		request.Failure = err.Error()
		return
	}
	c.exchange(ctx, key, http.MethodPost, "/v1/completions", body, request)
}

// call sends one request to a plain service and records it.
func (c *Workload) call(ctx context.Context, key, method, path string, request *Request) {
	var body []byte
	if request.IdempotencyKey != "" {
		body = []byte(`{"filing":"` + request.IdempotencyKey + `"}`)
	}
	c.exchange(ctx, key, method, path, body, request)
}

func (c *Workload) exchange(ctx context.Context, key, method, path string, body []byte, request *Request) {
	defer c.record(request)
	request.Entry = c.entry()
	request.Sent = time.Now()
	defer func() { request.Ended = time.Now() }()
	ctx, cancel := context.WithTimeout(ctx, patience)
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
	reply, err := c.Client.Do(message)
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
	request.readWhole(reply.Body)
}

func (r *Request) readWhole(body io.Reader) {
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
	var parsed answer
	if err := json.Unmarshal(data, &parsed); err != nil {
		r.Failure = fmt.Sprintf("answer is not JSON: %v", err)
		return
	}
	r.take(&parsed)
	r.Complete = parsed.Error == nil
}

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
		var parsed answer
		if err := json.Unmarshal([]byte(data), &parsed); err != nil {
			r.Failure = fmt.Sprintf("event is not JSON: %v", err)
			return
		}
		r.take(&parsed)
	}
	if r.Failure == "" {
		r.Failure = fmt.Sprintf("stream ended without its end mark: %v", lines.Err())
	}
}

func (r *Request) take(part *answer) {
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
