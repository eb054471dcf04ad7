// Package poster sends the announcements of a simulated endpoint to its agent by HTTP POST.
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
	// idleInterval is the time between two checks while the endpoint has nothing to announce.
	idleInterval = 50 * time.Millisecond
	// timeout limits the request of one announcement.
	timeout = time.Second
)

// Kind classifies the failures of this package.
type Kind string

// KindPost means that an announcement was not sent.
const KindPost Kind = "announcement not sent"

// Error is this package's error type.
type Error = fault.Error[Kind]

// Announcement describes an endpoint to its agent. AdapterSlots and MaxRequests limit the
// adapters loaded and the requests handled at once; EnforcesFencing means that the
// endpoint checks fencing numbers, and Draining that it is about to stop.
type Announcement struct {
	// Kind is "model" or "service".
	Kind            string `json:"kind"`
	Name            string `json:"name"`
	Model           string `json:"model,omitempty"`
	Service         string `json:"service,omitempty"`
	AdapterSlots    int    `json:"slots,omitempty"`
	MaxRequests     int    `json:"places"`
	Address         string `json:"address"`
	EnforcesFencing bool   `json:"fenced,omitempty"`
	Draining        bool   `json:"leaving,omitempty"`
	// Boot changes at each start of the endpoint.
	Boot uint64 `json:"boot,omitempty"`
}

// Announcer sends announcements periodically until its context ends. The simulated engines
// and plain services use it.
type Announcer struct {
	// URL is where the agent receives announcements, as http://IP:port.
	URL string
	// Dial connects to the agent; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Announcement returns the present announcement, or nil to send none this time.
	Announcement func() *Announcement
}

// Run sends an announcement at once and then every second. Failed announcements are not
// reported, because the next one follows.
func (a *Announcer) Run(ctx context.Context) {
	transport := &http.Transport{DisableKeepAlives: true}
	if a.Dial != nil {
		transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) { return a.Dial(ctx, address) }
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: timeout}
	for ctx.Err() == nil {
		wait := idleInterval
		if announcement := a.Announcement(); announcement != nil {
			_ = a.post(ctx, client, announcement)
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

func (a *Announcer) post(ctx context.Context, client *http.Client, announcement *Announcement) error {
	body, err := json.Marshal(announcement)
	if err != nil {
		return &Error{Op: "encode announcement", Kind: KindPost, Err: err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.URL+"/announce", bytes.NewReader(body))
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
