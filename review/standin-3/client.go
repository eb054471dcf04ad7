package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, target, host, key string
	deadline                      time.Duration
	header                        [][2]string
	body                          string
}

// result is what a client saw.
type result struct {
	status int
	seal   string
	body   string
	err    error
	header http.Header
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// text returns the request as it is sent.
func (q *request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.target, q.host, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", q.key)
	}
	for _, field := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", field[0], field[1])
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}

// send sends a request on a connection of its own and reads the answer. With leave above zero,
// the client closes its connection after that time.
func (q *request) send(address string, leave time.Duration) (got result, left time.Time) {
	conn, err := dial(address)
	if err != nil {
		return result{err: err}, time.Time{}
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, q.text()); err != nil {
		return result{err: err}, time.Time{}
	}
	wait := q.deadline
	if leave > 0 {
		wait = min(wait, leave)
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		_ = conn.Close()
		return result{err: err}, time.Now()
	}
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, seal: response.Header.Get("X-Response-Seal"), body: string(body), err: err, header: response.Header}, time.Time{}
}
