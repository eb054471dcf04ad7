// Package front is the HTTP frontend of an entry. It serves OpenAI-compatible
// completions, routes to plain services, and the health checks.
package front

import (
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/tanagerspindle/tanagerspindle/entry/buffer"
	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/conns"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

// defaultMaxBodyBytes is the largest accepted request body if Front.MaxBodyBytes is
// zero.
const defaultMaxBodyBytes = 4 << 20

const (
	// bodyTimeout limits the time in which a request body must arrive.
	bodyTimeout = time.Minute
	// defaultMaxConcurrent limits concurrent requests if Front.MaxConcurrent is zero.
	defaultMaxConcurrent = 16 << 10
	// fullRetryAfter is the Retry-After when the entry is at its limit of concurrent
	// requests.
	fullRetryAfter = time.Second
)

// Front serves the HTTP requests of callers. Its exported fields are set before
// Handler.
type Front struct {
	// Host is the daemon's host.
	Host host.Host
	// Chain handles each request.
	Chain *chain.Chain
	// Ready reports whether the load balancer should send requests to this entry.
	Ready func() bool
	// Draining reports whether the entry is stopping.
	Draining func() bool
	// Enter counts a request as running until the returned function is called.
	Enter func() func()
	// MaxBodyBytes is the size of the largest accepted request body; zero means 4 MiB.
	MaxBodyBytes int64
	// MaxConcurrent limits the requests served at the same time; zero means 16,384.
	MaxConcurrent int64
	// Memory bounds what is held for the requests in progress; nil means no bound.
	Memory *buffer.Pool

	running atomic.Int64
}

// Handler returns the HTTP handler for all paths.
func (f *Front) Handler() http.Handler {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleOPTIONS = false
	router.Handler(http.MethodGet, "/healthz/live", http.HandlerFunc(live))
	router.Handler(http.MethodGet, "/healthz/ready", http.HandlerFunc(f.ready))
	router.Handler(http.MethodPost, "/v1/completions", f.handle(chain.APICompletion))
	router.Handler(http.MethodPost, "/v1/chat/completions", f.handle(chain.APIChat))
	router.Handler(http.MethodGet, "/v1/models", f.handle(chain.APIModels))
	router.NotFound = f.handle(chain.APIService)
	router.MethodNotAllowed = http.HandlerFunc(wrongMethod)
	return router
}

func live(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "live\n")
}

func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	if f.Draining() || !f.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// wrongMethod refuses a wrong method on the fixed paths; the router has set the header
// Allow.
func wrongMethod(w http.ResponseWriter, r *http.Request) {
	refusal := chain.Refuse(http.StatusMethodNotAllowed, "wrong_method", "the path does not take this method")
	writeRefusal(w, refusal)
}

// handle returns the handler for one kind of request.
func (f *Front) handle(api chain.API) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		leave := f.Enter()
		defer leave()
		defer f.running.Add(-1)
		if f.running.Add(1) > f.maxConcurrent() {
			full := chain.Refuse(http.StatusServiceUnavailable, "entry_full", "this entry serves too many requests")
			writeRefusal(w, full.WithRetryAfter(fullRetryAfter))
			return
		}
		hold := f.Memory.NewHold()
		hold.Take(conns.HeaderBytes(r.Header))
		defer hold.Release()
		q, err := f.read(w, r, api, hold)
		if err != nil {
			hold.Release()
			writeRefusal(w, chain.RefusalOf(err))
			chain.DiscardUnread(w, r, f.maxBodyBytes())
			return
		}
		f.serve(w, r, q)
	})
}

func (f *Front) maxConcurrent() int64 {
	if f.MaxConcurrent == 0 {
		return defaultMaxConcurrent
	}
	return f.MaxConcurrent
}

// answer writes one kind of answer.
type answer interface {
	// headSent reports whether the status line and headers have been written.
	headSent() bool
	// finish ends the answer after the chain has returned; refusal is nil if it
	// succeeded.
	finish(refusal *chain.Refusal)
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request, q *chain.Request) {
	var a answer
	switch {
	case q.API == chain.APIService:
		service := &serviceAnswer{w: w, request: r}
		q.Write = service.write
		a = service
	case q.Stream:
		stream := newStream(w, q)
		q.Write = stream.write
		a = stream
	default:
		body := &jsonAnswer{w: w, request: q}
		q.Write = body.write
		a = body
	}
	err := f.Chain.Run(r.Context(), q)
	if err == nil {
		a.finish(nil)
		return
	}
	refusal := chain.RefusalOf(err)
	if !a.headSent() {
		writeRefusal(w, refusal)
		return
	}
	a.finish(refusal.WithRanUnknown())
}

// read builds the chain's request. It shares no data with the HTTP request: the header
// is a copy.
func (f *Front) read(w http.ResponseWriter, r *http.Request, api chain.API, hold *buffer.Hold) (*chain.Request, error) {
	q := &chain.Request{
		API:    api,
		Method: r.Method,
		Path:   r.URL.EscapedPath(),
		Query:  r.URL.RawQuery,
		Header: r.Header.Clone(),
		Start:  time.Now(),
	}
	removeHopHeaders(q.Header)
	if err := checkPath(r.URL); err != nil {
		return nil, err
	}
	body, err := f.body(w, r, hold)
	if err != nil {
		return nil, err
	}
	q.Body = body
	if api == chain.APICompletion || api == chain.APIChat {
		err := parse(q)
		hold.Take(int64(len(q.Prompt)))
		return q, err
	}
	return q, nil
}

func (f *Front) body(w http.ResponseWriter, r *http.Request, hold *buffer.Hold) ([]byte, error) {
	return chain.ReadBodyInto(hold, w, r, chain.BodyLimits{MaxBytes: f.maxBodyBytes(), Timeout: bodyTimeout})
}

// maxBodyBytes returns the size of the largest body.
func (f *Front) maxBodyBytes() int64 {
	if f.MaxBodyBytes == 0 {
		return defaultMaxBodyBytes
	}
	return f.MaxBodyBytes
}

// checkPath refuses paths that a service could resolve to another path than the one
// that the route was matched with.
func checkPath(u *url.URL) error {
	if !strings.HasPrefix(u.Path, "/") {
		return badPath()
	}
	segments := strings.Split(u.Path, "/")
	for i, segment := range segments[1:] {
		last := i == len(segments)-2
		if segment == "." || segment == ".." || (segment == "" && !last) {
			return badPath()
		}
	}
	return nil
}

func badPath() error {
	return chain.Refuse(http.StatusBadRequest, "bad_path", "the path is not in its shortest form")
}

// removeHopHeaders removes the header fields that belong to a single connection.
func removeHopHeaders(header http.Header) {
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"} {
		header.Del(name)
	}
}
