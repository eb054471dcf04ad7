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

// exchange is one request of the demo: name is printed with the result, the other
// fields make the HTTP request.
type exchange struct {
	name, key, method, path, body, idempotencyKey string
}

// result is the response to an exchange's request, or the error.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends the request to the entry with the given index and reads the response.
func (d *Demo) send(ctx context.Context, entry int, e exchange) result {
	entries := d.fleet.EntryAddresses()
	url := "http://" + entries[entry%len(entries)] + e.path
	request, err := http.NewRequestWithContext(ctx, e.method, url, bytes.NewBufferString(e.body))
	if err != nil {
		return result{err: err}
	}
	if e.key != "" {
		request.Header.Set("Authorization", "Bearer "+e.key)
	}
	if e.idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", e.idempotencyKey)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// recordResult prints a request with its answer and counts a failure when wrong,
// the description of the failure, is not empty.
func (d *Demo) recordResult(e exchange, r result, wrong string) {
	d.checks++
	verdict := "ok"
	if r.err != nil {
		wrong = r.err.Error()
	}
	if wrong != "" {
		verdict = "WRONG: " + wrong
		d.failures++
	}
	_, _ = fmt.Fprintf(d.Out, "%-44s %s %s -> %d %s\n    %s\n", e.name, e.method, e.path, r.status, verdict, shorten(r.body))
}

// shorten returns an answer as one line of limited length.
func shorten(body string) string {
	const maxLength = 110
	line := strings.Join(strings.Fields(body), " ")
	if len(line) <= maxLength {
		return line
	}
	return line[:maxLength/2] + " ... " + line[len(line)-maxLength/2:]
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

// text returns the text of an answer, streamed or not, and whether the answer is
// complete.
func (r result) text() (string, bool) {
	if !strings.HasPrefix(r.header.Get("Content-Type"), "text/event-stream") {
		return completionText(r.body), r.status == http.StatusOK
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
		all.WriteString(completionText(data))
	}
	return all.String(), false
}

// completionText returns the text in the JSON of an answer or of one event.
func completionText(data string) string {
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

// refusal returns the fields "code" and "ran" of a refusal or an error event.
func (r result) refusal() (code, ran string) {
	for line := range strings.Lines(r.body) {
		data := strings.TrimPrefix(strings.TrimSpace(line), "data: ")
		var parsed completion
		if json.Unmarshal([]byte(data), &parsed) == nil && parsed.Error != nil {
			code, ran = parsed.Error.Code, parsed.Error.Ran
		}
	}
	return code, ran
}
