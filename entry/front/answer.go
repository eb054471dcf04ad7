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

// mostStatus is the largest HTTP status that an answer may have.
const mostStatus = 599

// refusalBody is the shape of every refusal.
type refusalBody struct {
	Error refusalDetail `json:"error"`
}

type refusalDetail struct {
	Type    string    `json:"type"`
	Message string    `json:"message"`
	Code    string    `json:"code"`
	Ran     chain.Ran `json:"ran"`
}

// reply is the shape of a whole answer and of a streamed piece.
type reply struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         *string `json:"text,omitempty"`
	Message      *spoken `json:"message,omitempty"`
	Delta        *spoken `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type spoken struct {
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

// writeRefusal answers a request that gets nothing else.
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
	w.WriteHeader(refusal.Status)
	_, _ = w.Write(refusalJSON(refusal))
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

// whole is an answer in one piece of JSON, sent only when it is complete.
type whole struct {
	w       http.ResponseWriter
	request *chain.Request
	header  []call.Field
	text    []byte
	tokens  int64
	stop    string
}

func (a *whole) begun() bool { return false }

func (a *whole) write(frame *call.Frame) error {
	switch frame.Type {
	case call.FrameHead:
		a.header = frame.Header
	case call.FramePart:
		a.text = append(a.text, frame.Data...)
		a.tokens += frame.Tokens
	case call.FrameEnd:
		a.stop = frame.FinishReason
	}
	return nil
}

func (a *whole) finish(*chain.Refusal) {
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
		body.Choices = []choice{{Message: &spoken{Role: "assistant", Content: &text}, FinishReason: &a.stop}}
	default:
		body.Object = "text_completion"
		body.Choices = []choice{{Text: &text, FinishReason: &a.stop}}
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

// service is a plain service's answer.
type service struct {
	w    http.ResponseWriter
	head bool
}

func (a *service) begun() bool { return a.head }

func (a *service) write(frame *call.Frame) error {
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

func (a *service) writeHead(frame *call.Frame) {
	a.head = true
	header := http.Header{}
	for _, field := range frame.Header {
		header.Add(field.Name, field.Value)
	}
	dropHop(header)
	for name, values := range header {
		a.w.Header()[name] = values
	}
	a.w.WriteHeader(validStatus(int(frame.Status)))
}

// validStatus replaces a status that cannot end an answer.
func validStatus(status int) int {
	if status < http.StatusOK || status > mostStatus {
		return http.StatusBadGateway
	}
	return status
}

// finish breaks the connection after an incomplete answer, so that the caller
// does not take it for a whole one.
func (a *service) finish(refusal *chain.Refusal) {
	if refusal != nil {
		panic(http.ErrAbortHandler)
	}
}
