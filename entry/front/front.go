// Package front is the entry's face towards callers: OpenAI-compatible
// completions, operators' service routes, and the health check.
package front

import (
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/fault"
	"github.com/tanagerspindle/tanagerspindle/pkg/host"
)

// Kind classifies the failures of this package.
type Kind string

// Error is this package's error type.
type Error = fault.Error[Kind]

// maxBody is the largest request body accepted when Front.MaxBody is zero, in
// bytes.
const maxBody = 4 << 20

const (
	// bodyLimit bounds the time in which a request body arrives.
	bodyLimit = time.Minute
	// mostRunning is the number of requests at once when Front.Most is zero.
	mostRunning = 16 << 10
	// retryFull is when a caller turned away by a full entry may ask again.
	retryFull = time.Second
)

// Front serves callers. Its exported fields are set before Handler.
type Front struct {
	// Host is the daemon's.
	Host host.Host
	// Chain runs each request.
	Chain *chain.Chain
	// Ready reports whether the balancer should send requests here.
	Ready func() bool
	// Draining reports whether connections should be closed after an answer.
	Draining func() bool
	// Enter counts a request until the returned function is called.
	Enter func() func()
	// MaxBodyBytes is the largest request body in bytes; zero means 4 MiB.
	MaxBodyBytes int64
	// MaxConcurrent is the number of requests served at once; zero means 16,384.
	MaxConcurrent int64

	running atomic.Int64
}

// Handler returns the face as one HTTP handler.
func (f *Front) Handler() http.Handler {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleOPTIONS = false
	router.Handler(http.MethodGet, "/healthz/live", http.HandlerFunc(live))
	router.Handler(http.MethodGet, "/healthz/ready", http.HandlerFunc(f.ready))
	router.Handler(http.MethodPost, "/v1/completions", f.face(chain.APICompletion))
	router.Handler(http.MethodPost, "/v1/chat/completions", f.face(chain.APIChat))
	router.Handler(http.MethodGet, "/v1/models", f.face(chain.APIModels))
	router.NotFound = f.face(chain.APIService)
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

// wrongMethod answers for the fixed paths; the router has set Allow.
func wrongMethod(w http.ResponseWriter, r *http.Request) {
	refusal := chain.Refuse(http.StatusMethodNotAllowed, "wrong_method", "the path does not take this method")
	writeRefusal(w, refusal)
}

// face serves one kind of request.
func (f *Front) face(face chain.API) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		leave := f.Enter()
		defer leave()
		if f.Draining() {
			w.Header().Set("Connection", "close")
		}
		defer f.running.Add(-1)
		if f.running.Add(1) > f.most() {
			full := chain.Refuse(http.StatusServiceUnavailable, "entry_full", "this entry serves too many requests")
			writeRefusal(w, full.WithRetryAfter(retryFull))
			return
		}
		q, err := f.read(w, r, face)
		if err != nil {
			writeRefusal(w, chain.RefusalOf(err))
			return
		}
		f.serve(w, r, q)
	})
}

func (f *Front) most() int64 {
	if f.MaxConcurrent == 0 {
		return mostRunning
	}
	return f.MaxConcurrent
}

// answer writes one kind of answer.
type answer interface {
	// begun reports whether the caller has the head.
	begun() bool
	// finish ends the answer after the chain; it is told how that ended.
	finish(refusal *chain.Refusal)
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request, q *chain.Request) {
	var a answer
	switch {
	case q.API == chain.APIService:
		service := &service{w: w}
		q.Write = service.write
		a = service
	case q.Stream:
		stream := newStream(w, q)
		q.Write = stream.write
		a = stream
	default:
		whole := &whole{w: w, request: q}
		q.Write = whole.write
		a = whole
	}
	err := f.Chain.Run(r.Context(), q)
	if err == nil {
		a.finish(nil)
		return
	}
	refusal := chain.RefusalOf(err)
	if !a.begun() {
		writeRefusal(w, refusal)
		return
	}
	a.finish(refusal.WithRanUnknown())
}

// read builds the chain's request. Nothing in it refers to the caller's own
// request but the header, which is a copy.
func (f *Front) read(w http.ResponseWriter, r *http.Request, face chain.API) (*chain.Request, error) {
	q := &chain.Request{
		API:    face,
		Method: r.Method,
		Path:   r.URL.EscapedPath(),
		Query:  r.URL.RawQuery,
		Header: r.Header.Clone(),
		Start:  time.Now(),
	}
	dropHop(q.Header)
	if err := checkPath(r.URL); err != nil {
		return nil, err
	}
	body, err := f.body(w, r)
	if err != nil {
		return nil, err
	}
	q.Body = body
	if face == chain.APICompletion || face == chain.APIChat {
		return q, parse(q)
	}
	return q, nil
}

func (f *Front) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	most := f.MaxBodyBytes
	if most == 0 {
		most = maxBody
	}
	return chain.ReadBody(w, r, most, bodyLimit)
}

// checkPath refuses paths that a service could resolve to another one than the
// route was matched by.
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

// dropHop removes the header fields that belong to one connection only.
func dropHop(header http.Header) {
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"} {
		header.Del(name)
	}
}
