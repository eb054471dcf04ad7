// Package plain simulates a plain HTTP service for tests and benchmarks. It serves lookups,
// which clients may retry, and filings, which must be carried out at most once.
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

// sizeParameter is the query parameter that sets the length of the answer's body, in bytes.
const sizeParameter = "size"

// Call is a copy of one request that the service received.
type Call struct {
	Method, Path string
	Header       http.Header
	Body         string
	// At is when the request arrived.
	At time.Time
}

// Service answers GET as a lookup and every other method as a filing. Its
// exported fields are set before use; it is safe for concurrent use.
type Service struct {
	// Name is the name of the service in the configuration.
	Name string
	// Address is where the agent reaches the service, as IP:port.
	Address string
	// Delay is how long the service takes for a call.
	Delay time.Duration
	// MaxRequests limits the calls handled at once; zero means no limit. Further calls wait.
	MaxRequests int
	// Listen and Dial replace TCP in tests; nil means TCP.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	// Poison is a text that crashes the service when a call's body contains it; empty for
	// none.
	Poison string

	mutex       sync.Mutex
	calls       []Call
	filings     map[string]int
	draining    bool
	boot        uint64
	semaphore   chan struct{}
	closeServer func()
}

// Handler returns a handler for calls, for use without Run. It marks the service as started.
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
	s.recordCall(r, string(body))
	if s.Poison != "" && strings.Contains(string(body), s.Poison) {
		s.simulateCrash()
		panic(http.ErrAbortHandler)
	}
	if !s.acquire(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	defer s.release()
	select {
	case <-time.After(s.Delay):
	case <-r.Context().Done():
		// Returning would send status 200; aborting closes the connection without an answer,
		// as a crashed process does.
		panic(http.ErrAbortHandler)
	}
	s.writeAnswer(w, r, string(body))
}

// writeAnswer carries out a lookup or filing and writes its answer.
func (s *Service) writeAnswer(w http.ResponseWriter, r *http.Request, body string) {
	answer := map[string]any{"service": s.Name, "path": r.URL.Path}
	status := http.StatusOK
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		status = http.StatusCreated
		answer["receipt"] = s.recordFiling(filingKey(r.Header.Get("Idempotency-Key"), body))
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

// filingKey returns the key that identifies a filing: its Idempotency-Key or else its body.
func filingKey(idempotency, body string) string {
	if idempotency != "" {
		return idempotency
	}
	return body
}

func (s *Service) recordCall(r *http.Request, body string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	call := Call{Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header.Clone(), Body: body, At: time.Now()}
	s.calls = append(s.calls, call)
}

// recordFiling counts an execution of a filing and returns its receipt.
func (s *Service) recordFiling(key string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.filings == nil {
		s.filings = map[string]int{}
	}
	s.filings[key]++
	return fmt.Sprintf("%s-%d", s.Name, len(s.filings))
}

// acquire waits until a further call may be handled. It returns false when ctx ends first.
func (s *Service) acquire(ctx context.Context) bool {
	s.mutex.Lock()
	if s.semaphore == nil {
		s.semaphore = make(chan struct{}, max(s.MaxRequests, 1))
	}
	semaphore := s.semaphore
	s.mutex.Unlock()
	if s.MaxRequests <= 0 {
		return true
	}
	select {
	case semaphore <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) release() {
	if s.MaxRequests > 0 {
		<-s.semaphore
	}
}

// Calls returns all requests received so far.
func (s *Service) Calls() []Call {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]Call(nil), s.calls...)
}

// Filings returns how often each filing was carried out, by its Idempotency-Key or else its
// body.
func (s *Service) Filings() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	counts := make(map[string]int, len(s.filings))
	for key, count := range s.filings {
		counts[key] = count
	}
	return counts
}

// SetDraining sets whether the announcements declare that the service is draining.
func (s *Service) SetDraining(draining bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = draining
}

// Announce announces the service to the agent at the URL until ctx ends. A service that has
// not started sends no announcements.
func (s *Service) Announce(ctx context.Context, url string) {
	announcer := poster.Announcer{URL: url, Dial: s.Dial, Announcement: s.announcement}
	announcer.Run(ctx)
}

func (s *Service) announcement() *poster.Announcement {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.boot == 0 {
		return nil
	}
	return &poster.Announcement{
		Kind: "service", Name: s.Name, Service: s.Name, MaxRequests: max(s.MaxRequests, 1),
		Address: s.Address, Draining: s.draining, Boot: s.boot,
	}
}

// Run serves on Address until ctx ends. After a crash the service restarts at once.
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

// start records the start of a new process of the service.
func (s *Service) start(server *http.Server) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.boot++
	s.closeServer = func() { _ = server.Close() }
}

// simulateCrash closes the server with all its connections; Run restarts it.
func (s *Service) simulateCrash() {
	s.mutex.Lock()
	crash := s.closeServer
	s.mutex.Unlock()
	if crash != nil {
		crash()
	}
}
