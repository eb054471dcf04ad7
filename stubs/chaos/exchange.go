package chaos

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tanagerspindle/tanagerspindle/stubs/fleet"
	"github.com/tanagerspindle/tanagerspindle/stubs/model"
	"github.com/tanagerspindle/tanagerspindle/stubs/plain"
)

// Request describes a request to an entry: a completion, or a call of a service
// if Adapter is empty.
type Request struct {
	// Entry is the index of the entry that receives the request.
	Entry int
	// Key is the caller's API key.
	Key string
	// Adapter and Prompt are those of a completion, Tokens is the number of answer
	// tokens it asks for and Stream whether the answer is streamed.
	Adapter, Prompt string
	Tokens          int
	Stream          bool
	// Method, Path and Body are those of a call of a service.
	Method, Path, Body string
	// Timeout is the time after which the caller disconnects; zero means a minute.
	Timeout time.Duration
}

// Exchange is a request and its outcome.
type Exchange struct {
	Request
	// Started is when the request was sent, Ended when its outcome was known.
	Started, Ended time.Time
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	// Text is the received text of a completion, or the body of a service's
	// response.
	Text string
	// Complete reports whether the response was successful and received to its end.
	Complete bool
	// Ran and Code are the fields of a refusal: whether the request ran, and the
	// error code.
	Ran, Code string
	// Err is the error that ended the exchange, if any.
	Err error
}

// String formats the exchange for test failure messages.
func (e *Exchange) String() string {
	return fmt.Sprintf("entry%d %s%s%s %v..%v: %d complete=%t ran=%q code=%q %d bytes err=%v", e.Entry, e.Prompt, e.Path, e.Body,
		e.Started.Format("05.000"), e.Ended.Format("05.000"), e.Status, e.Complete, e.Ran, e.Code, len(e.Text), e.Err)
}

// Version returns the adapter version whose complete answer the text is, or "" if
// it is none of the given versions.
func (e *Exchange) Version(versions ...string) string {
	for _, version := range versions {
		if e.Complete && e.Text == model.Answer(e.Adapter, version, e.Prompt, 0, e.Tokens) {
			return version
		}
	}
	return ""
}

// payload is the body of a completion, one event of a stream, or a refusal.
type payload struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// Send sends a request, waits for its outcome and records the exchange.
func (h *Harness) Send(request Request) *Exchange {
	if request.Timeout == 0 {
		request.Timeout = time.Minute
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.Timeout)
	defer cancel()
	e := &Exchange{Request: request, Started: time.Now()}
	e.Err = h.do(ctx, e)
	e.Ended = time.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.exchanges = append(h.exchanges, e)
	return e
}

// do sends the request of an exchange and fills in the response.
func (h *Harness) do(ctx context.Context, e *Exchange) error {
	request, err := e.newHTTPRequest(ctx, "http://"+h.Fleet.Network.Address(fleet.EntryName(e.Entry), "http"))
	if err != nil {
		return err
	}
	response, err := h.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	e.Status = response.StatusCode
	if e.Status == http.StatusOK && e.Adapter != "" && e.Stream {
		return e.readStream(response.Body)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	e.Complete = e.Status < http.StatusMultipleChoices
	e.Text = string(data)
	if e.Adapter == "" && e.Complete {
		return nil
	}
	e.Text = ""
	return e.decode(data)
}

// newHTTPRequest returns the HTTP request to an entry at a base URL.
func (e *Exchange) newHTTPRequest(ctx context.Context, base string) (*http.Request, error) {
	method, path, body := e.Method, e.Path, e.Body
	if e.Adapter != "" {
		method, path = http.MethodPost, "/v1/completions"
		data, err := json.Marshal(map[string]any{"model": e.Adapter, "prompt": e.Prompt, "max_tokens": e.Tokens, "stream": e.Stream})
		if err != nil {
			return nil, err
		}
		body = string(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, base+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+e.Key)
	return request, nil
}

// decode adds the content of a payload to the exchange.
func (e *Exchange) decode(data []byte) error {
	var p payload
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Error != nil {
		e.Code, e.Ran = p.Error.Code, p.Error.Ran
	}
	for _, choice := range p.Choices {
		e.Text += choice.Text
	}
	return nil
}

// readStream reads a streamed completion up to its end marker.
func (e *Exchange) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			e.Complete = true
			return nil
		}
		if err := e.decode([]byte(data)); err != nil {
			return err
		}
	}
	return lines.Err()
}

// Exchanges returns all exchanges that have ended.
func (h *Harness) Exchanges() []*Exchange {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]*Exchange(nil), h.exchanges...)
}

// Healthy sends a readiness check to an entry and reports whether it succeeded.
func (h *Harness) Healthy(entry int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + h.Fleet.Network.Address(fleet.EntryName(entry), "http") + "/healthz/ready"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := h.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// HealthyEntry selects an entry as a load balancer does: the preferred entry, or
// the next one whose last health check succeeded. It returns the preferred entry
// if no entry is healthy.
func (h *Harness) HealthyEntry(preferred int) int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for offset := range h.healthy {
		if entry := (preferred + offset) % len(h.healthy); h.healthy[entry] {
			return entry
		}
	}
	return preferred
}

// Completions returns the completion requests with a text in the prompt that an
// engine received after a time; engine -1 selects all engines.
func (h *Harness) Completions(text string, engine int, after time.Time) []model.Received {
	var found []model.Received
	for index, e := range h.Fleet.Engines {
		if engine >= 0 && index != engine {
			continue
		}
		for _, received := range e.Received() {
			prompt := model.Prompt([]byte(received.Body))
			if received.Path == "/v1/completions" && strings.Contains(prompt, text) && received.At.After(after) {
				found = append(found, received)
			}
		}
	}
	return found
}

// Calls returns the requests with a given body that services received, grouped by
// service and in order of arrival at each.
func (h *Harness) Calls(body string) []plain.Call {
	var found []plain.Call
	for _, service := range h.Fleet.Services {
		for _, received := range service.Calls() {
			if received.Body == body {
				found = append(found, received)
			}
		}
	}
	return found
}

// Filings returns how often services executed each filing, by its body.
func (h *Harness) Filings() map[string]int {
	counts := map[string]int{}
	for _, service := range h.Fleet.Services {
		for body, count := range service.Filings() {
			counts[body] += count
		}
	}
	return counts
}
