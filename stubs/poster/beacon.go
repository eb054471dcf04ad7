// Package poster announces a stand-in endpoint to the agent beside it.
package poster

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

// Announcement is the announcement in the endpoint's own field names.
type Announcement struct {
	// Kind is "model" or "service".
	Kind         string `json:"kind"`
	Name         string `json:"name"`
	Model        string `json:"model,omitempty"`
	Service      string `json:"service,omitempty"`
	AdapterSlots int    `json:"slots,omitempty"`
	MaxRequests  int    `json:"places"`
	Address      string `json:"address"`
	Fenced       bool   `json:"fenced,omitempty"`
	Leaving      bool   `json:"leaving,omitempty"`
	// Boot changes at each start of the endpoint.
	Boot uint64 `json:"boot,omitempty"`
}

// Announcer repeats announcements until its context ends.
type Announcer struct {
	// URL is where the agent listens, as http://IP:port.
	URL string
	// Dial connects to the agent; nil uses TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Announcement returns what to say now; nil says nothing this time.
	Announcement func() *Announcement
}

// Run announces at once and then each second.
func (b *Announcer) Run(ctx context.Context) {
	transport := &http.Transport{DisableKeepAlives: true}
	if b.Dial != nil {
		transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) { return b.Dial(ctx, address) }
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: timeout}
	for ctx.Err() == nil {
		wait := retry
		if message := b.Announcement(); message != nil {
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

func (b *Announcer) post(ctx context.Context, client *http.Client, message *Announcement) error {
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
