package front

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// maxStatus is the largest valid HTTP status of an answer.
const maxStatus = 599

// refusalBody is the JSON body of every refusal.
type refusalBody struct {
	Error refusalDetail `json:"error"`
}

type refusalDetail struct {
	Type    string    `json:"type"`
	Message string    `json:"message"`
	Code    string    `json:"code"`
	Ran     chain.Ran `json:"ran"`
}

// reply is the JSON body of a complete answer and of each event of a stream.
type reply struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Total      int64 `json:"total_tokens"`
}

type models struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// writeRefusal answers a request with a refusal; nothing must have been written before.
func writeRefusal(w http.ResponseWriter, refusal *chain.Refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		header.Set("Retry-After", strconv.Itoa(max(seconds, 1)))
	}
	if len(refusal.AllowedMethods) > 0 {
		header.Set("Allow", strings.Join(refusal.AllowedMethods, ", "))
	}
	body := refusalJSON(refusal)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(refusal.Status)
	_, _ = w.Write(body)
}

func refusalJSON(refusal *chain.Refusal) []byte {
	body, _ := json.Marshal(refusalBody{Error: refusalDetail{
		Type:    refusal.Type,
		Message: refusal.Message,
		Code:    refusal.Code,
		Ran:     refusal.Ran,
	}})
	return append(body, '\n')
}

func writeJSON(w http.ResponseWriter, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		writeRefusal(w, chain.RefusalOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n'))
}

func newUsage(q *chain.Request, tokens int64) *usage {
	return &usage{Prompt: q.PromptTokens, Completion: tokens, Total: q.PromptTokens + tokens}
}

// jsonAnswer is an answer in one JSON body, which is written only when it is complete.
type jsonAnswer struct {
	w            http.ResponseWriter
	request      *chain.Request
	header       []call.Field
	text         []byte
	tokens       int64
	finishReason string
}

func (a *jsonAnswer) headSent() bool { return false }

func (a *jsonAnswer) write(frame *call.Frame) error {
	switch frame.Type {
	case call.FrameHead:
		a.header = frame.Header
	case call.FramePart:
		a.text = append(a.text, frame.Data...)
		a.tokens += frame.Tokens
	case call.FrameEnd:
		a.finishReason = frame.FinishReason
	}
	return nil
}

func (a *jsonAnswer) finish(*chain.Refusal) {
	q := a.request
	if q.API == chain.APIModels {
		writeJSON(a.w, modelList(q.Models, q.Workspace))
		return
	}
	for _, field := range a.header {
		a.w.Header().Set(field.Name, field.Value)
	}
	text := string(a.text)
	body := reply{ID: q.ID, Created: q.Start.Unix(), Model: q.ModelName, Usage: newUsage(q, a.tokens)}
	switch q.API {
	case chain.APIChat:
		body.Object = "chat.completion"
		body.Choices = []choice{{Message: &chatMessage{Role: "assistant", Content: &text}, FinishReason: &a.finishReason}}
	default:
		body.Object = "text_completion"
		body.Choices = []choice{{Text: &text, FinishReason: &a.finishReason}}
	}
	writeJSON(a.w, body)
}

func modelList(names []string, owner string) models {
	list := models{Object: "list", Data: []model{}}
	for _, name := range names {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: owner})
	}
	return list
}

// serviceAnswer is the answer of a plain service, written as it arrives.
type serviceAnswer struct {
	w           http.ResponseWriter
	request     *http.Request
	headWritten bool
}

func (a *serviceAnswer) headSent() bool { return a.headWritten }

func (a *serviceAnswer) write(frame *call.Frame) error {
	switch frame.Type {
	case call.FrameHead:
		a.writeHead(frame)
	case call.FramePart:
		_, err := a.w.Write(frame.Data)
		if errors.Is(err, http.ErrBodyNotAllowed) {
			return nil
		}
		return err
	}
	return nil
}

func (a *serviceAnswer) writeHead(frame *call.Frame) {
	a.headWritten = true
	header := http.Header{}
	for _, field := range frame.Header {
		header.Add(field.Name, field.Value)
	}
	removeHopHeaders(header)
	for name, values := range header {
		a.w.Header()[name] = values
	}
	a.w.WriteHeader(validStatus(int(frame.Status)))
}

// validStatus replaces a status that is not valid for a final answer.
func validStatus(status int) int {
	if status < http.StatusOK || status > maxStatus {
		return http.StatusBadGateway
	}
	return status
}

// finish aborts the connection after an incomplete answer, so that the caller does not
// mistake it for a complete one.
func (a *serviceAnswer) finish(refusal *chain.Refusal) {
	if refusal != nil {
		chain.AbortAnswer(a.w, a.request)
	}
}
