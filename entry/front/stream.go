package front

import (
	"encoding/json"
	"net/http"
	"unicode/utf8"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/call"
)

// stream is an answer as server-sent events.
type stream struct {
	w       http.ResponseWriter
	flush   func() error
	request *chain.Request
	head    bool
	// rest is the start of a character whose other bytes have not come yet.
	rest   []byte
	tokens int64
}

func newStream(w http.ResponseWriter, q *chain.Request) *stream {
	return &stream{w: w, flush: http.NewResponseController(w).Flush, request: q}
}

func (a *stream) begun() bool { return a.head }

func (a *stream) write(frame *call.Frame) error {
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

func (a *stream) open(frame *call.Frame) error {
	a.head = true
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
	return a.send(a.event(choice{Delta: &spoken{Role: "assistant", Content: &empty}}, nil))
}

// text sends the whole characters so far.
func (a *stream) text(data []byte) error {
	if len(a.rest) > 0 {
		data = append(a.rest, data...)
	}
	whole := wholeRunes(data)
	a.rest = append([]byte(nil), data[whole:]...)
	if whole == 0 {
		return nil
	}
	text := string(data[:whole])
	if a.request.API == chain.APIChat {
		return a.send(a.event(choice{Delta: &spoken{Content: &text}}, nil))
	}
	return a.send(a.event(choice{Text: &text}, nil))
}

// wholeRunes returns the length of data without a character cut off at its
// end.
func wholeRunes(data []byte) int {
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

func (a *stream) end(frame *call.Frame) error {
	empty := ""
	last := choice{FinishReason: &frame.FinishReason}
	if a.request.API == chain.APIChat {
		last.Delta = &spoken{}
	} else {
		last.Text = &empty
	}
	if err := a.send(a.event(last, newUsage(a.request, a.tokens))); err != nil {
		return err
	}
	return a.raw("data: [DONE]\n\n")
}

func (a *stream) event(c choice, u *usage) *reply {
	object := "text_completion"
	if a.request.API == chain.APIChat {
		object = "chat.completion.chunk"
	}
	q := a.request
	return &reply{ID: q.ID, Object: object, Created: q.Start.Unix(), Model: q.ModelName, Choices: []choice{c}, Usage: u}
}

func (a *stream) send(event *reply) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	return a.raw("data: " + string(data) + "\n\n")
}

func (a *stream) raw(text string) error {
	if _, err := a.w.Write([]byte(text)); err != nil {
		return err
	}
	return a.flush()
}

// finish tells the caller of an answer that broke off; no end mark follows.
func (a *stream) finish(refusal *chain.Refusal) {
	if refusal == nil {
		return
	}
	_ = a.raw("event: error\ndata: " + string(refusalJSON(refusal)) + "\n")
}
