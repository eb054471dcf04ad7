package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// attempt is one client attempt. sent is when the request had been written, left when the client
// closed its connection without an answer; zero if it did not.
type attempt struct {
	id, tenant string
	sent, left time.Time
	answered   time.Time
	status     int
	body, seal string
	retryAfter string
	failure    string
}

// call describes a request of a client.
type call struct {
	method, path, host, key string
	tokens                  string
	deadline                time.Duration
	// patience is after how long the client leaves; zero means at its deadline.
	patience time.Duration
	body     string
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request on a new connection and waits for its answer.
func (r *rig) send(front string, c call) *attempt {
	a := &attempt{id: newID()}
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		a.failure = "no connection"
		return a
	}
	defer func() { _ = conn.Close() }()
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.path, c.host, a.id, c.deadline.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&text, "Authorization: Bearer %s\r\n", c.key)
	}
	if c.tokens != "" {
		fmt.Fprintf(&text, "X-Token-Counts: %s\r\n", c.tokens)
	}
	if c.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(c.body))
	}
	fmt.Fprintf(&text, "\r\n%s", c.body)
	if _, err := io.WriteString(conn, text.String()); err != nil {
		a.failure = "not sent"
		return a
	}
	a.sent = time.Now()
	patience := c.deadline
	if c.patience > 0 {
		patience = min(patience, c.patience)
	}
	_ = conn.SetReadDeadline(a.sent.Add(patience))
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		a.status, a.body, a.seal, a.retryAfter = response.StatusCode, string(body), response.Header.Get("X-Response-Seal"), response.Header.Get("Retry-After")
	}
	switch timeout, ok := err.(net.Error); {
	case err == nil:
		a.answered = time.Now()
	case ok && timeout.Timeout():
		a.failure = "the client left"
		_ = conn.Close()
		a.left = time.Now()
	default:
		a.failure = "cut: " + err.Error()
	}
	return a
}

// readiness reports whether a front daemon says that it is ready.
func (r *rig) readiness(m machine) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/tanagerspindle/readiness", m.ip, r.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the front daemons are ready.
func (r *rig) awaitReady(fronts []machine, wait time.Duration) error {
	end := time.Now().Add(wait)
	for _, m := range fronts {
		for !r.readiness(m) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (r *rig) frontAddress(m machine) string { return fmt.Sprintf("%s:%d", m.ip, r.ports.front) }
