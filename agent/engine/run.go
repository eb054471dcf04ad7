package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

const (
	// maxEvent bounds one event of a streamed answer, in bytes.
	maxEvent = 1 << 20
	// doneMark ends a streamed answer.
	doneMark = "[DONE]"
)

// resume says where an interrupted answer goes on.
type resume struct {
	Offset int64  `json:"offset"`
	Text   string `json:"text"`
}

// chunk is one event of a streamed answer.
type chunk struct {
	Choices []struct {
		Text   string `json:"text"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Version string `json:"version"`
	Usage   struct {
		Answer  int64 `json:"completion_tokens"`
		Details struct {
			Cached int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// Result is the engine's closing report of an answer.
type Result struct {
	// Version is what the engine says it ran.
	Version string
	// FinishReason is why it stopped.
	FinishReason string
	// CachedTokens is the number of prompt tokens found cached.
	CachedTokens int64
}

// TokenFunc takes the text of one token and the version that the engine says it
// runs, empty when it says so only at the end.
type TokenFunc func(text, version string) error

// Run puts an attempt to the engine and calls part with each token as it
// comes. It reads no further while part has not returned, so that the engine
// waits. Ending ctx cancels the run at the engine.
func (e *Engine) Run(ctx context.Context, a *call.Attempt, part TokenFunc) (*Result, error) {
	body, err := request(a)
	if err != nil {
		return nil, err
	}
	response, err := e.do(ctx, http.MethodPost, "/v1/completions", body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, refusal("/v1/completions", response)
	}
	return readStream(response.Body, part)
}

// request sets the fields that are the agent's to say and keeps the caller's
// others.
func request(a *call.Attempt) ([]byte, error) {
	fields := map[string]any{}
	if len(a.Body) > 0 {
		if err := json.Unmarshal(a.Body, &fields); err != nil {
			return nil, &Error{Op: "read body", Kind: KindMalformedRequest, Err: err}
		}
	}
	fields["model"] = a.Model
	fields["lora"] = a.Adapter
	fields["version"] = a.Version
	fields["priority"] = int32(a.Class)
	fields["stream"] = true
	if a.MaxTokens > 0 {
		fields["max_tokens"] = a.MaxTokens
	}
	delete(fields, "resume")
	if a.DeliveredTokens > 0 {
		fields["resume"] = resume{Offset: a.DeliveredTokens, Text: a.DeliveredText}
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, &Error{Op: "write body", Kind: KindMalformedRequest, Err: err}
	}
	return body, nil
}

// readStream reads events up to the closing mark. An answer that ends without
// it is KindLost.
func readStream(body io.Reader, part TokenFunc) (*Result, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEvent)
	end := &Result{}
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneMark {
			return end, nil
		}
		if err := readEvent(data, end, part); err != nil {
			return nil, err
		}
	}
	cause := lines.Err()
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	return nil, &Error{Op: "read answer", Kind: KindLost, Err: cause}
}

func readEvent(data []byte, end *Result, part TokenFunc) error {
	var event chunk
	if err := json.Unmarshal(data, &event); err != nil {
		return &Error{Op: "read event", Kind: KindMalformedAnswer, Err: fmt.Errorf("%d bytes: %w", len(data), err)}
	}
	if event.Version != "" {
		end.Version = event.Version
		end.CachedTokens = event.Usage.Details.Cached
	}
	for _, choice := range event.Choices {
		if choice.Finish != "" {
			end.FinishReason = choice.Finish
		}
		if choice.Text == "" {
			continue
		}
		if err := part(choice.Text, event.Version); err != nil {
			return err
		}
	}
	return nil
}
