// Package beacon announces a stand-in endpoint to the agent beside it.
package beacon

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
)

const (
	// interval is the time between two announcements.
	interval = time.Second
	// retry is the pause while there is nothing to announce.
	retry = 50 * time.Millisecond
	// timeout bounds one announcement.
	timeout = time.Second
)

// Kind classifies the failures of this package.
type Kind string

// KindPost says that the agent did not take an announcement.
const KindPost Kind = "announcement not taken"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Message is the announcement in the endpoint's own field names.
type Message struct {
	// Kind is "model" or "service".
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	Slots   int    `json:"slots,omitempty"`
	Places  int    `json:"places"`
	Address string `json:"address"`
	Fenced  bool   `json:"fenced,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	// Boot changes at each start of the endpoint.
	Boot uint64 `json:"boot,omitempty"`
}

// Beacon repeats announcements until its context ends.
type Beacon struct {
	// URL is where the agent listens, as http://IP:port.
	URL string
	// Dial connects to the agent; nil uses TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Message returns what to say now; nil says nothing this time.
	Message func() *Message
}

// Run announces at once and then each second.
func (b *Beacon) Run(ctx context.Context) {
	transport := &http.Transport{DisableKeepAlives: true}
	if b.Dial != nil {
		transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) { return b.Dial(ctx, address) }
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: timeout}
	for ctx.Err() == nil {
		wait := retry
		if message := b.Message(); message != nil {
			_ = b.post(ctx, client, message)
			wait = interval
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (b *Beacon) post(ctx context.Context, client *http.Client, message *Message) error {
	body, err := json.Marshal(message)
	if err != nil {
		return &Error{Op: "encode announcement", Kind: KindPost, Err: err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, b.URL+"/announce", bytes.NewReader(body))
	if err != nil {
		return &Error{Op: "post announcement", Kind: KindPost, Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return &Error{Op: "post announcement", Kind: KindPost, Err: err}
	}
	return response.Body.Close()
}
