// Package plain is a stand-in plain service: lookups that may be repeated and
// filings that may not.
package plain

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/stubs/poster"
)

// sizeParameter makes an answer's body that many bytes long.
const sizeParameter = "size"

// Call is one request that the service received.
type Call struct {
	Method, Path string
	Header       http.Header
	Body         string
	// At is when it arrived.
	At time.Time
}

// Service answers GET as a lookup and every other method as a filing. Its
// exported fields are set before use; it is safe for concurrent use.
type Service struct {
	// Name is the service's.
	Name string
	// Address is where the agent reaches it, as IP:port.
	Address string
	// Delay is how long a call takes.
	Delay time.Duration
	// MaxRequests is the number of calls at once; zero means no limit.
	MaxRequests int
	// Listen and Dial replace TCP in tests; nil uses TCP.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	// Poison crashes the service when a call's body contains it; empty never.
	Poison string

	mutex   sync.Mutex
	calls   []Call
	filings map[string]int
	leaving bool
	boot    uint64
	places  chan struct{}
	crash   func()
}

// Handler serves the calls without Run; the service counts as started.
func (s *Service) Handler() http.Handler {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.boot = max(s.boot, 1)
	return http.HandlerFunc(s.serve)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.record(r, string(body))
	if s.Poison != "" && strings.Contains(string(body), s.Poison) {
		s.die()
		panic(http.ErrAbortHandler)
	}
	if !s.enter(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	defer s.leave()
	select {
	case <-time.After(s.Delay):
	case <-r.Context().Done():
		// A handler that returns answers 200; a dying process does not.
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, string(body))
}

func (s *Service) answer(w http.ResponseWriter, r *http.Request, body string) {
	answer := map[string]any{"service": s.Name, "path": r.URL.Path}
	status := http.StatusOK
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		status = http.StatusCreated
		answer["receipt"] = s.file(key(r.Header.Get("Idempotency-Key"), body))
		answer["body"] = body
	}
	data, _ := json.Marshal(answer)
	if size, _ := strconv.Atoi(r.URL.Query().Get(sizeParameter)); size > 0 {
		data = []byte(strings.Repeat("x", size))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func key(idempotency, body string) string {
	if idempotency != "" {
		return idempotency
	}
	return body
}

func (s *Service) record(r *http.Request, body string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	call := Call{Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header.Clone(), Body: body, At: time.Now()}
	s.calls = append(s.calls, call)
}

// file counts one filing and returns its receipt.
func (s *Service) file(key string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.filings == nil {
		s.filings = map[string]int{}
	}
	s.filings[key]++
	return fmt.Sprintf("%s-%d", s.Name, len(s.filings))
}

func (s *Service) enter(ctx context.Context) bool {
	s.mutex.Lock()
	if s.places == nil {
		s.places = make(chan struct{}, max(s.MaxRequests, 1))
	}
	places := s.places
	s.mutex.Unlock()
	if s.MaxRequests <= 0 {
		return true
	}
	select {
	case places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) leave() {
	if s.MaxRequests > 0 {
		<-s.places
	}
}

// Calls returns every request received so far.
func (s *Service) Calls() []Call {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Call(nil), s.calls...)
}

// Filings returns how often each filing was carried out, by its
// Idempotency-Key or else its body.
func (s *Service) Filings() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := make(map[string]int, len(s.filings))
	for key, count := range s.filings {
		counts[key] = count
	}
	return counts
}

// SetLeaving makes the announcements say that the service is leaving, or not.
func (s *Service) SetLeaving(leaving bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.leaving = leaving
}

// Announce tells the agent at the URL about the service until ctx ends.
func (s *Service) Announce(ctx context.Context, url string) {
	announcer := poster.Announcer{URL: url, Dial: s.Dial, Announcement: s.message}
	announcer.Run(ctx)
}

func (s *Service) message() *poster.Announcement {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.boot == 0 {
		return nil
	}
	return &poster.Announcement{
		Kind: "service", Name: s.Name, Service: s.Name, MaxRequests: max(s.MaxRequests, 1),
		Address: s.Address, Leaving: s.leaving, Boot: s.boot,
	}
}

// Run serves on Address until ctx ends; after a crash it starts again.
func (s *Service) Run(ctx context.Context) error {
	listen := s.Listen
	if listen == nil {
		listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	for ctx.Err() == nil {
		listener, err := listen(s.Address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
		s.start(server)
		release := context.AfterFunc(ctx, func() { _ = server.Close() })
		_ = server.Serve(listener)
		release()
	}
	return nil
}

func (s *Service) start(server *http.Server) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.boot++
	s.crash = func() { _ = server.Close() }
}

func (s *Service) die() {
	s.mutex.Lock()
	crash := s.crash
	s.mutex.Unlock()
	if crash != nil {
		crash()
	}
}
