package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// question is one request of the demo.
type question struct {
	name, key, method, path, body, once string
}

// reply is what came back.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// ask sends a question to the entry with the given index.
func (d *Demo) ask(ctx context.Context, entry int, q question) reply {
	entries := d.fleet.EntryAddresses()
	url := "http://" + entries[entry%len(entries)] + q.path
	request, err := http.NewRequestWithContext(ctx, q.method, url, bytes.NewBufferString(q.body))
	if err != nil {
		return reply{err: err}
	}
	if q.key != "" {
		request.Header.Set("Authorization", "Bearer "+q.key)
	}
	if q.once != "" {
		request.Header.Set("Idempotency-Key", q.once)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// judge prints a request with its answer and counts it when wrong is not
// empty.
func (d *Demo) judge(q question, r reply, wrong string) {
	d.count++
	verdict := "ok"
	if r.err != nil {
		wrong = r.err.Error()
	}
	if wrong != "" {
		verdict = "WRONG: " + wrong
		d.failed++
	}
	_, _ = fmt.Fprintf(d.Out, "%-44s %s %s -> %d %s\n    %s\n", q.name, q.method, q.path, r.status, verdict, brief(r.body))
}

// brief shortens an answer to one line.
func brief(body string) string {
	const most = 110
	line := strings.Join(strings.Fields(body), " ")
	if len(line) <= most {
		return line
	}
	return line[:most/2] + " ... " + line[len(line)-most/2:]
}

// completion is the part of an answer or event that the demo reads.
type completion struct {
	Choices []struct {
		Text    string `json:"text"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Data []struct {
		ID string `json:"id"`
	} `json:"data"`
	Error *struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// text returns the answer's text, streamed or whole, and whether it had its
// end.
func (r reply) text() (string, bool) {
	if !strings.HasPrefix(r.header.Get("Content-Type"), "text/event-stream") {
		return pieces(r.body), r.status == http.StatusOK
	}
	var all strings.Builder
	for line := range strings.Lines(r.body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return all.String(), true
		}
		all.WriteString(pieces(data))
	}
	return all.String(), false
}

func pieces(data string) string {
	var parsed completion
	if err := json.Unmarshal([]byte(data), &parsed); err != nil {
		return ""
	}
	var text string
	for _, choice := range parsed.Choices {
		text += choice.Text + choice.Message.Content + choice.Delta.Content
	}
	return text
}

// refusal returns the code and "ran" of a refusal or error event.
func (r reply) refusal() (code, ran string) {
	for line := range strings.Lines(r.body) {
		data := strings.TrimPrefix(strings.TrimSpace(line), "data: ")
		var parsed completion
		if json.Unmarshal([]byte(data), &parsed) == nil && parsed.Error != nil {
			code, ran = parsed.Error.Code, parsed.Error.Ran
		}
	}
	return code, ran
}
