// Package match finds the adapter or service that a request is for, within
// the workspace of its key.
package match

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/tanagerspindle/tanagerspindle/entry/auth"
	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
)

// Matcher is the filter that fixes a request's route, adapter and version.
type Matcher struct {
	// Config returns the configuration in force, or nil before the first.
	Config func() *conf.Config
	// Valid reports whether the entry has authority to serve keys.
	Valid func() bool

	index atomic.Pointer[index]
}

// Do matches the request or refuses it.
func (m *Matcher) Do(ctx context.Context, r *chain.Request, next chain.Next) error {
	x := m.table()
	if x == nil {
		return auth.NoAuthority()
	}
	if route, hosted, found := x.opaque(r); hosted {
		if err := m.opaque(r, route, found); err != nil {
			return err
		}
		return next(ctx, r)
	}
	found := m.find(x, r)
	if err := m.admit(r, found); err != nil {
		return err
	}
	if r.API == chain.APIModels {
		r.Models = x.visible(r.Workspace)
		return nil
	}
	if found.isZero() {
		return m.unknown(r)
	}
	if err := apply(x.config, r, found); err != nil {
		return err
	}
	return next(ctx, r)
}

// opaque fixes the route of a request that goes to an endpoint unread. It is
// served under the last configuration known, also without authority over keys:
// its operators want service to go on while control is out of reach.
func (m *Matcher) opaque(r *chain.Request, found named, ok bool) error {
	if !ok {
		return chain.Refuse(http.StatusNotFound, "unknown_path", "no route leads to this path")
	}
	if !found.route.Open && r.Key == "" {
		return auth.InvalidKey()
	}
	r.RouteName, r.Route, r.Open, r.Objective = found.name, found.route, found.route.Open, found.route.Objective
	if r.Open {
		r.Key, r.Workspace = "", ""
	}
	r.MaxWait = found.route.Timeout.Std()
	if r.CallerTimeout > 0 {
		r.MaxWait = min(r.MaxWait, r.CallerTimeout)
	}
	config := m.Config()
	if r.QuotaTokens == 0 {
		r.QuotaTokens = config.Workspaces[r.Workspace].DefaultTokens
	}
	r.Digest = digest.Of([]byte(r.Workspace), []byte(r.RouteName), []byte(r.Method), []byte(r.Path), []byte(r.Query), r.Body)
	return nil
}

// RoutesFor returns the routes that the path of a request may lead to.
func (m *Matcher) RoutesFor(r *chain.Request) []conf.Route {
	x := m.table()
	if x == nil {
		return nil
	}
	if route, hosted, _ := x.opaque(r); hosted {
		return []conf.Route{route.route}
	}
	var routes []conf.Route
	for _, named := range x.candidates(r) {
		routes = append(routes, named.route)
	}
	return routes
}

func (m *Matcher) table() *index {
	config := m.Config()
	if config == nil {
		return nil
	}
	x := m.index.Load()
	if x == nil || x.config != config {
		x = newIndex(config)
		m.index.Store(x)
	}
	return x
}

// find returns the target that the request's workspace may use, else one that
// is open, else the zero target.
func (m *Matcher) find(x *index, r *chain.Request) target {
	candidates := x.candidates(r)
	for _, named := range candidates {
		if r.Key != "" && !named.route.Open && slices.Contains(named.route.Workspaces, r.Workspace) {
			return target{named: named}
		}
	}
	for _, named := range candidates {
		if named.route.Open {
			return target{named: named}
		}
	}
	adapter, ok := x.config.Adapters[r.ModelName]
	if ok && r.API != chain.APIService && r.Key != "" && adapter.Workspace == r.Workspace {
		return target{adapter: r.ModelName}
	}
	return target{}
}

// admit lets keyed work pass only under authority and with a known key.
func (m *Matcher) admit(r *chain.Request, found target) error {
	if found.named.route.Open {
		return nil
	}
	if !m.Valid() {
		return auth.NoAuthority()
	}
	if r.Key == "" {
		return auth.InvalidKey()
	}
	return nil
}

// unknown does not tell another workspace's adapter from none.
func (m *Matcher) unknown(r *chain.Request) error {
	if r.API == chain.APIService {
		return chain.Refuse(http.StatusNotFound, "unknown_path", "no route leads to this path")
	}
	return chain.Refuse(http.StatusNotFound, "model_not_found", "the model does not exist or this key may not use it")
}

func apply(config *conf.Config, r *chain.Request, found target) error {
	route := found.named.route
	if r.API == chain.APIService && len(route.Methods) > 0 && !slices.Contains(route.Methods, r.Method) {
		refusal := chain.Refuse(http.StatusMethodNotAllowed, "wrong_method", "the route does not take this method")
		refusal.AllowedMethods = route.Methods
		return refusal
	}
	r.RouteName = found.named.name
	r.Route = route
	r.Open = route.Open
	r.AtMostOnce = route.AtMostOnce
	if route.Open {
		r.Key = ""
		r.Workspace = route.Workspaces[0]
	}
	r.Objective = goal(route.Objective, config.Workspaces[r.Workspace].Objective)
	if r.API == chain.APIService {
		r.Service = route.Service
		r.Digest = digest.Of([]byte(r.Workspace), []byte(r.RouteName), []byte(r.Method), []byte(r.Path), []byte(r.Query), r.Body)
		return nil
	}
	return applyModel(config, r, found)
}

func applyModel(config *conf.Config, r *chain.Request, found target) error {
	r.Adapter = found.adapter
	if r.Adapter == "" {
		r.Adapter = r.Route.Adapter
	}
	adapter, ok := config.Adapters[r.Adapter]
	if !ok {
		return chain.Refuse(http.StatusNotFound, "model_not_found", "the model does not exist or this key may not use it")
	}
	r.Model = adapter.Model
	r.Version = adapter.Current
	r.Digest = digest.Of([]byte(r.Workspace), []byte(r.Adapter), []byte(r.Prompt))
	return nil
}

func goal(route, workspace conf.Objective) conf.Objective {
	if route.FirstToken == 0 {
		route.FirstToken = workspace.FirstToken
	}
	if route.TokenGap == 0 {
		route.TokenGap = workspace.TokenGap
	}
	if route.Share == 0 {
		route.Share = workspace.Share
	}
	return route
}
