package prove

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

// Ask is what a caller sends.
type Ask struct {
	// Entry is the index of the entry that it goes to.
	Entry int
	// Key is the caller's.
	Key string
	// Adapter and Prompt make a completion of Tokens answer tokens.
	Adapter, Prompt string
	Tokens          int
	Stream          bool
	// Method, Path and Body make a call of a service when Adapter is empty.
	Method, Path, Body string
	// Patience is when the caller goes away; zero means a minute.
	Patience time.Duration
}

// Sent is one request and how it ended.
type Sent struct {
	Ask
	// Began and Ended are when it was sent and when its end was known.
	Began, Ended time.Time
	// Status is the HTTP status, 0 when there was no answer.
	Status int
	// Text is the answer's text so far, or a service's whole body.
	Text string
	// Whole says that the answer came to its end mark.
	Whole bool
	// Ran and Code are those of a refusal.
	Ran, Code string
	// Err is why nothing more was read.
	Err error
}

// String shows the end in messages of tests.
func (r *Sent) String() string {
	return fmt.Sprintf("entry%d %s%s%s %v..%v: %d whole=%t ran=%q code=%q %d bytes err=%v", r.Entry, r.Prompt, r.Path, r.Body,
		r.Began.Format("05.000"), r.Ended.Format("05.000"), r.Status, r.Whole, r.Ran, r.Code, len(r.Text), r.Err)
}

// Version returns the version whose whole answer the text is, or nothing.
func (r *Sent) Version(versions ...string) string {
	for _, version := range versions {
		if r.Whole && r.Text == model.Answer(r.Adapter, version, r.Prompt, 0, r.Tokens) {
			return version
		}
	}
	return ""
}

// piece is an answer, one event of it, or a refusal.
type piece struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
		Ran  string `json:"ran"`
	} `json:"error"`
}

// Send sends a request and returns when its end is known.
func (s *Site) Send(ask Ask) *Sent {
	if ask.Patience == 0 {
		ask.Patience = time.Minute
	}
	ctx, cancel := context.WithTimeout(context.Background(), ask.Patience)
	defer cancel()
	r := &Sent{Ask: ask, Began: time.Now()}
	r.Err = s.exchange(ctx, r)
	r.Ended = time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sent = append(s.sent, r)
	return r
}

func (s *Site) exchange(ctx context.Context, r *Sent) error {
	request, err := r.request(ctx, "http://"+s.Fleet.Network.Address(fleet.EntryName(r.Entry), "http"))
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	r.Status = response.StatusCode
	if r.Status == http.StatusOK && r.Adapter != "" && r.Stream {
		return r.readStream(response.Body)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	r.Whole = r.Status < http.StatusMultipleChoices
	r.Text = string(data)
	if r.Adapter == "" && r.Whole {
		return nil
	}
	r.Text = ""
	return r.take(data)
}

func (r *Sent) request(ctx context.Context, base string) (*http.Request, error) {
	method, path, body := r.Method, r.Path, r.Body
	if r.Adapter != "" {
		method, path = http.MethodPost, "/v1/completions"
		data, err := json.Marshal(map[string]any{"model": r.Adapter, "prompt": r.Prompt, "max_tokens": r.Tokens, "stream": r.Stream})
		if err != nil {
			return nil, err
		}
		body = string(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, base+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+r.Key)
	return request, nil
}

// take adds an answer, an event of it, or a refusal.
func (r *Sent) take(data []byte) error {
	var p piece
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Error != nil {
		r.Code, r.Ran = p.Error.Code, p.Error.Ran
	}
	for _, choice := range p.Choices {
		r.Text += choice.Text
	}
	return nil
}

func (r *Sent) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			r.Whole = true
			return nil
		}
		if err := r.take([]byte(data)); err != nil {
			return err
		}
	}
	return lines.Err()
}

// Sent returns every request that has ended.
func (s *Site) Sent() []*Sent {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]*Sent(nil), s.sent...)
}

// Healthy reports whether an entry's health check is green.
func (s *Site) Healthy(entry int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + s.Fleet.Network.Address(fleet.EntryName(entry), "http") + "/healthz/ready"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Balance returns an entry whose last health check was green, the wanted one
// first, as a balancer chooses.
func (s *Site) Balance(wanted int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for offset := range s.healthy {
		if entry := (wanted + offset) % len(s.healthy); s.healthy[entry] {
			return entry
		}
	}
	return wanted
}

// Completions returns what engines received with a text in the prompt after a
// time; engine -1 means all of them.
func (s *Site) Completions(text string, engine int, after time.Time) []model.Received {
	var found []model.Received
	for index, e := range s.Fleet.Engines {
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

// Calls returns what services received with a body, in the order of arrival
// at each.
func (s *Site) Calls(body string) []plain.Call {
	var found []plain.Call
	for _, service := range s.Fleet.Services {
		for _, received := range service.Calls() {
			if received.Body == body {
				found = append(found, received)
			}
		}
	}
	return found
}

// Filings counts how often services carried out each filing.
func (s *Site) Filings() map[string]int {
	counts := map[string]int{}
	for _, service := range s.Fleet.Services {
		for body, count := range service.Filings() {
			counts[body] += count
		}
	}
	return counts
}
