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
	// maxEventBytes bounds one event of a streamed answer, in bytes.
	maxEventBytes = 1 << 20
	// doneMarker ends a streamed answer.
	doneMarker = "[DONE]"
)

// resumePoint tells the engine where to continue an interrupted answer.
type resumePoint struct {
	Offset int64  `json:"offset"`
	Text   string `json:"text"`
}

// completionChunk is one event of a streamed answer.
type completionChunk struct {
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

// Result is the summary of a completed answer.
type Result struct {
	// Version is the adapter version that the engine reports to have run.
	Version string
	// FinishReason is why the engine stopped generating.
	FinishReason string
	// CachedTokens is the number of prompt tokens found in the engine's cache.
	CachedTokens int64
}

// TokenFunc receives the text of one token and the adapter version that the engine
// reports. The version is empty if the engine reports it only at the end.
type TokenFunc func(text, version string) error

// Run sends an attempt to the engine and calls onToken for each token as it arrives. It
// reads no further until onToken returns, which holds the engine back. Cancelling ctx
// cancels the run at the engine.
func (e *Engine) Run(ctx context.Context, a *call.Attempt, onToken TokenFunc) (*Result, error) {
	body, err := requestBody(a)
	if err != nil {
		return nil, err
	}
	answer, err := e.do(ctx, http.MethodPost, "/v1/completions", body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, refusalError("/v1/completions", answer)
	}
	return readStream(answer.Body, onToken)
}

// requestBody overrides the fields that the agent controls and keeps the caller's other
// fields.
func requestBody(a *call.Attempt) ([]byte, error) {
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
		fields["resume"] = resumePoint{Offset: a.DeliveredTokens, Text: a.DeliveredText}
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, &Error{Op: "write body", Kind: KindMalformedRequest, Err: err}
	}
	return body, nil
}

// readStream reads events up to doneMarker. It returns a KindLost error for an answer
// that ends without the marker.
func readStream(body io.Reader, onToken TokenFunc) (*Result, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	lines.Split(splitLines)
	result := &Result{}
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if string(data) == doneMarker {
			return result, nil
		}
		if err := readEvent(data, result, onToken); err != nil {
			return nil, err
		}
	}
	cause := lines.Err()
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	return nil, &Error{Op: "read answer", Kind: KindLost, Err: cause}
}

// splitLines is bufio.ScanLines without a last line that has no end, which the engine
// may have cut, unless that line is complete with doneMarker.
func splitLines(data []byte, atEOF bool) (advance int, line []byte, err error) {
	unterminated := atEOF && bytes.IndexByte(data, '\n') < 0
	if unterminated && !bytes.HasSuffix(data, []byte(doneMarker)) {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

func readEvent(data []byte, result *Result, onToken TokenFunc) error {
	var event completionChunk
	if err := json.Unmarshal(data, &event); err != nil {
		return &Error{Op: "read event", Kind: KindMalformedAnswer, Err: fmt.Errorf("%d bytes: %w", len(data), err)}
	}
	if event.Version != "" {
		result.Version = event.Version
		result.CachedTokens = event.Usage.Details.Cached
	}
	for _, choice := range event.Choices {
		if choice.Finish != "" {
			result.FinishReason = choice.Finish
		}
		if choice.Text == "" {
			continue
		}
		if err := onToken(choice.Text, event.Version); err != nil {
			return err
		}
	}
	return nil
}
