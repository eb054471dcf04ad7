package front

import (
	"encoding/json"
	"net/http"
	"unicode/utf8"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// streamAnswer is an answer as server-sent events.
type streamAnswer struct {
	w           http.ResponseWriter
	flush       func() error
	request     *chain.Request
	headWritten bool
	// partialRune is the start of a character whose other bytes have not arrived yet.
	partialRune []byte
	tokens      int64
}

func newStream(w http.ResponseWriter, q *chain.Request) *streamAnswer {
	return &streamAnswer{w: w, flush: http.NewResponseController(w).Flush, request: q}
}

func (a *streamAnswer) headSent() bool { return a.headWritten }

func (a *streamAnswer) write(frame *call.Frame) error {
	switch frame.Type {
	case call.FrameHead:
		return a.open(frame)
	case call.FramePart:
		a.tokens += frame.Tokens
		return a.text(frame.Data)
	case call.FrameEnd:
		return a.end(frame)
	}
	return nil
}

func (a *streamAnswer) open(frame *call.Frame) error {
	a.headWritten = true
	header := a.w.Header()
	for _, field := range frame.Header {
		header.Set(field.Name, field.Value)
	}
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	a.w.WriteHeader(http.StatusOK)
	if a.request.API != chain.APIChat {
		return a.flush()
	}
	empty := ""
	return a.send(a.event(choice{Delta: &chatMessage{Role: "assistant", Content: &empty}}, nil))
}

// text sends the complete characters received so far.
func (a *streamAnswer) text(data []byte) error {
	if len(a.partialRune) > 0 {
		data = append(a.partialRune, data...)
	}
	complete := completeRunes(data)
	a.partialRune = append([]byte(nil), data[complete:]...)
	if complete == 0 {
		return nil
	}
	text := string(data[:complete])
	if a.request.API == chain.APIChat {
		return a.send(a.event(choice{Delta: &chatMessage{Content: &text}}, nil))
	}
	return a.send(a.event(choice{Text: &text}, nil))
}

// completeRunes returns the length of data without an incomplete character at its end.
func completeRunes(data []byte) int {
	for back := 1; back <= min(len(data), utf8.UTFMax); back++ {
		start := len(data) - back
		if !utf8.RuneStart(data[start]) {
			continue
		}
		if utf8.FullRune(data[start:]) {
			return len(data)
		}
		return start
	}
	return len(data)
}

func (a *streamAnswer) end(frame *call.Frame) error {
	empty := ""
	last := choice{FinishReason: &frame.FinishReason}
	if a.request.API == chain.APIChat {
		last.Delta = &chatMessage{}
	} else {
		last.Text = &empty
	}
	if err := a.send(a.event(last, newUsage(a.request, a.tokens))); err != nil {
		return err
	}
	return a.writeRaw("data: [DONE]\n\n")
}

func (a *streamAnswer) event(c choice, u *usage) *reply {
	object := "text_completion"
	if a.request.API == chain.APIChat {
		object = "chat.completion.chunk"
	}
	q := a.request
	return &reply{ID: q.ID, Object: object, Created: q.Start.Unix(), Model: q.ModelName, Choices: []choice{c}, Usage: u}
}

func (a *streamAnswer) send(event *reply) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	return a.writeRaw("data: " + string(data) + "\n\n")
}

func (a *streamAnswer) writeRaw(text string) error {
	if _, err := a.w.Write([]byte(text)); err != nil {
		return err
	}
	return a.flush()
}

// finish sends an error event after an incomplete answer, in place of "[DONE]".
func (a *streamAnswer) finish(refusal *chain.Refusal) {
	if refusal == nil {
		return
	}
	_ = a.writeRaw("event: error\ndata: " + string(refusalJSON(refusal)) + "\n")
}
