// Package auth takes callers' keys out of requests, and ends requests whose
// key is withdrawn.
package auth

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
)

// The headers in which every route accepts a key.
const (
	headerBearer = "Authorization"
	headerKey    = "X-Api-Key"
	headerProxy  = "Proxy-Authorization"
)

// shortestKey is the length in bytes from which an unknown value is looked for
// in the rest of the request; shorter ones turn up there by chance.
const shortestKey = 8

// retryExpired is when an entry without authority may have it again.
const retryExpired = 2 * time.Second

// Auth finds a request's key, removes every trace of it and remembers whom to
// stop when it is withdrawn.
type Auth struct {
	// Config returns the configuration in force, or nil before the first.
	Config func() *conf.Config
	// RoutesFor returns the route that a request's path leads to, for its
	// KeyHeader, KeyQuery and KeyCookie.
	RoutesFor func(r *chain.Request) []conf.Route
	// Valid reports whether the entry has authority to serve keys.
	Valid func() bool

	mutex   sync.Mutex
	watched map[*watch]struct{}
}

// watch is one request that runs under a key.
type watch struct {
	key       string
	workspace string
	cancel    context.CancelCauseFunc
}

// StripKeys removes the key from the request and sets Key and Workspace when it is
// configured. A request that holds its key elsewhere too is refused.
func (a *Auth) StripKeys(ctx context.Context, r *chain.Request, next chain.Next) error {
	values := a.take(r)
	r.KeyPresented = len(values) > 0
	if config := a.Config(); config != nil {
		a.identify(config, r, values)
	}
	for _, value := range values {
		if len(value) < shortestKey && digest.Key(value) != r.Key {
			continue
		}
		if err := scrub(r, value); err != nil {
			return err
		}
	}
	return next(ctx, r)
}

func (a *Auth) identify(config *conf.Config, r *chain.Request, values []string) {
	for _, value := range values {
		sum := digest.Key(value)
		if key, ok := config.Keys[sum]; ok {
			r.Key = sum
			r.Workspace = key.Workspace
			return
		}
	}
}

// take removes the values in all places where keys may be.
func (a *Auth) take(r *chain.Request) []string {
	headers := []string{headerBearer, headerKey, headerProxy}
	var queries, cookies []string
	for _, route := range a.RoutesFor(r) {
		headers = append(headers, route.KeyHeader...)
		queries = append(queries, route.KeyQuery...)
		cookies = append(cookies, route.KeyCookie...)
	}
	var values []string
	for _, name := range headers {
		values = append(values, takeHeader(r.Header, name)...)
	}
	if len(queries) > 0 {
		values = append(values, takeQuery(r, queries)...)
	}
	if len(cookies) > 0 {
		values = append(values, takeCookies(r.Header, cookies)...)
	}
	return values
}

func takeHeader(header http.Header, name string) []string {
	var values []string
	for _, value := range header.Values(name) {
		if _, token, ok := strings.Cut(value, " "); ok {
			value = strings.TrimSpace(token)
		}
		if value != "" {
			values = append(values, value)
		}
	}
	header.Del(name)
	return values
}

func takeQuery(r *chain.Request, names []string) []string {
	var values, kept []string
	for pair := range strings.SplitSeq(r.Query, "&") {
		name, value, _ := strings.Cut(pair, "=")
		plain, err := url.QueryUnescape(name)
		if err != nil || !slices.Contains(names, plain) {
			kept = append(kept, pair)
			continue
		}
		if key, err := url.QueryUnescape(value); err == nil && key != "" {
			values = append(values, key)
		}
	}
	r.Query = strings.Join(kept, "&")
	return values
}

func takeCookies(header http.Header, names []string) []string {
	var values []string
	var kept []string
	reader := http.Request{Header: header}
	for _, cookie := range reader.Cookies() {
		if slices.Contains(names, cookie.Name) {
			values = append(values, cookie.Value)
			continue
		}
		kept = append(kept, cookie.Name+"="+cookie.Value)
	}
	header.Del("Cookie")
	if len(kept) > 0 {
		header.Set("Cookie", strings.Join(kept, "; "))
	}
	return values
}

// scrub removes headers that repeat the key, and refuses a request that has
// it in a place that cannot be removed.
func scrub(r *chain.Request, value string) error {
	for name, values := range r.Header {
		kept := slices.DeleteFunc(slices.Clone(values), func(v string) bool { return strings.Contains(v, value) })
		if len(kept) == len(values) {
			continue
		}
		delete(r.Header, name)
		if len(kept) > 0 {
			r.Header[name] = kept
		}
	}
	if holds(r, value) {
		return chain.Refuse(http.StatusBadRequest, "key_in_request", "the request repeats its key in the path, the query or the body")
	}
	return nil
}

func holds(r *chain.Request, value string) bool {
	if bytes.Contains(r.Body, []byte(value)) {
		return true
	}
	for _, text := range []string{r.Path, r.Query} {
		plain, err := url.QueryUnescape(text)
		if strings.Contains(text, value) || (err == nil && strings.Contains(plain, value)) {
			return true
		}
	}
	return false
}

// WatchKey ends a keyed request when its key is withdrawn or the entry's
// authority is over. It comes after the match filter; open routes and requests
// that must not repeat go on to their end. So do those of opaque routes, whose
// key is looked at before each attempt only.
func (a *Auth) WatchKey(ctx context.Context, r *chain.Request, next chain.Next) error {
	if r.Open {
		return next(ctx, r)
	}
	if r.Route.Kind == conf.RouteOpaque {
		w := &watch{key: r.Key, workspace: r.Workspace}
		r.Check = func() error { return a.check(w) }
		return next(ctx, r)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := &watch{key: r.Key, workspace: r.Workspace, cancel: cancel}
	a.add(w)
	defer a.remove(w)
	if refusal := a.judge(a.Config(), w); refusal != nil {
		return refusal
	}
	r.Check = func() error { return a.check(w) }
	return next(ctx, r)
}

func (a *Auth) check(w *watch) error {
	if refusal := a.judge(a.Config(), w); refusal != nil {
		return refusal
	}
	return nil
}

// RecheckKeys ends the requests whose key the configuration no longer has. It is
// called at each new configuration.
func (a *Auth) RecheckKeys(config *conf.Config) {
	for _, w := range a.all() {
		if refusal := a.judge(config, w); refusal != nil {
			w.cancel(refusal)
		}
	}
}

// CancelAll ends all keyed requests, because a withdrawal could no longer be
// heard of.
func (a *Auth) CancelAll() {
	for _, w := range a.all() {
		w.cancel(NoAuthority())
	}
}

func (a *Auth) judge(config *conf.Config, w *watch) *chain.Refusal {
	if config == nil {
		return NoAuthority()
	}
	if key, ok := config.Keys[w.key]; !ok || key.Workspace != w.workspace {
		return InvalidKey()
	}
	return nil
}

func (a *Auth) add(w *watch) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.watched == nil {
		a.watched = map[*watch]struct{}{}
	}
	a.watched[w] = struct{}{}
}

func (a *Auth) remove(w *watch) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.watched, w)
}

func (a *Auth) all() []*watch {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	all := make([]*watch, 0, len(a.watched))
	for w := range a.watched {
		all = append(all, w)
	}
	return all
}

// InvalidKey is the refusal of a key that is missing, unknown or withdrawn.
func InvalidKey() *chain.Refusal {
	return chain.Refuse(http.StatusUnauthorized, "invalid_key", "the key is missing, unknown or withdrawn")
}

// NoAuthority is the refusal of keyed work while the entry has no authority.
func NoAuthority() *chain.Refusal {
	return chain.Refuse(http.StatusServiceUnavailable, "no_authority", "this entry cannot check keys at the moment").WithRetryAfter(retryExpired)
}
