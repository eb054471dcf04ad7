package front

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
)

const (
	// defaultTokens is the longest answer when the caller names none, and
	// mostTokens the longest that may be asked for.
	defaultTokens = 1024
	mostTokens    = 128 << 10
	// bytesPerToken is the usual length of a token in a prompt.
	bytesPerToken = 4
)

// ask is the part of a completion request that the entry reads. The engine
// gets the whole body.
type ask struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []message       `json:"messages"`
	MaxTokens *int64          `json:"max_tokens"`
	MaxAnswer *int64          `json:"max_completion_tokens"`
	Stream    bool            `json:"stream"`
	N         *int64          `json:"n"`
	BestOf    *int64          `json:"best_of"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type piece struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// parse reads the body of a completion or chat request.
func parse(q *chain.Request) error {
	var a ask
	if err := json.Unmarshal(q.Body, &a); err != nil {
		return invalid("malformed_json", "the request body is not valid JSON of the expected shape")
	}
	if a.Model == "" {
		return invalid("model_missing", "the field model is missing")
	}
	if (a.N != nil && *a.N != 1) || (a.BestOf != nil && *a.BestOf != 1) {
		return invalid("unsupported", "only one answer per request is supported")
	}
	prompt, err := a.prompt(q.API)
	if err != nil {
		return err
	}
	q.ModelName = a.Model
	q.Prompt = prompt
	q.PromptTokens = int64(len(prompt)+bytesPerToken-1) / bytesPerToken
	q.Stream = a.Stream
	q.MaxTokens, err = a.tokens()
	return err
}

func (a *ask) tokens() (int64, error) {
	chosen := a.MaxAnswer
	if chosen == nil {
		chosen = a.MaxTokens
	}
	if chosen == nil {
		return defaultTokens, nil
	}
	if *chosen < 1 || *chosen > mostTokens {
		return 0, invalid("max_tokens", "max_tokens is out of range")
	}
	return *chosen, nil
}

func (a *ask) prompt(face chain.API) (string, error) {
	if face == chain.APICompletion {
		return onePrompt(a.Prompt)
	}
	if len(a.Messages) == 0 {
		return "", invalid("messages_missing", "the field messages is missing or empty")
	}
	var text strings.Builder
	for _, m := range a.Messages {
		content, err := contentOf(m.Content)
		if err != nil {
			return "", err
		}
		text.WriteString(m.Role + ": " + content + "\n")
	}
	return text.String(), nil
}

// onePrompt reads a string, or a list with one string.
func onePrompt(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil && len(raw) > 0 && raw[0] == '"' {
		return text, nil
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil && len(list) == 1 {
		return list[0], nil
	}
	return "", invalid("prompt", "the field prompt must be one string")
}

// contentOf reads a string, or a list of text pieces.
func contentOf(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", nil
	}
	var text string
	if raw[0] == '"' && json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var pieces []piece
	if json.Unmarshal(raw, &pieces) != nil {
		return "", invalid("content", "the content of a message must be text")
	}
	for _, p := range pieces {
		if p.Type != "text" {
			return "", invalid("content", "the content of a message must be text")
		}
		text += p.Text
	}
	return text, nil
}

func invalid(code, message string) error {
	return chain.Refuse(http.StatusBadRequest, code, message)
}
