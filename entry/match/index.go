package match

import (
	"net/url"
	"slices"
	"strings"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
)

// namedRoute is a route with its name.
type namedRoute struct {
	name  string
	route conf.Route
}

// target is what a request is for: a route, or an adapter called by its own name.
type target struct {
	named   namedRoute
	adapter string
}

func (t target) isZero() bool { return t.named.name == "" && t.adapter == "" }

// index finds routes by path, host and model name. It is built from one configuration
// and never changed.
type index struct {
	config *conf.Config
	// routesByPath and routesByModel hold the routes of each path or model name, sorted
	// by route name.
	routesByPath  map[string][]namedRoute
	routesByModel map[string][]namedRoute
	// adaptersByWorkspace holds the names of each workspace's adapters.
	adaptersByWorkspace map[string][]string
	// opaqueByHost holds the opaque routes by lower-case host name and path prefix.
	opaqueByHost map[string]map[string]namedRoute
}

func newIndex(config *conf.Config) *index {
	x := &index{config: config, routesByPath: map[string][]namedRoute{}, routesByModel: map[string][]namedRoute{}, adaptersByWorkspace: map[string][]string{}, opaqueByHost: map[string]map[string]namedRoute{}}
	for name, route := range config.Routes {
		switch route.Kind {
		case conf.RouteService:
			path := strings.TrimSuffix(route.Path, "/")
			x.routesByPath[path] = append(x.routesByPath[path], namedRoute{name, route})
		case conf.RouteModel:
			x.routesByModel[route.Name] = append(x.routesByModel[route.Name], namedRoute{name, route})
		case conf.RouteOpaque:
			host := strings.ToLower(route.Host)
			if x.opaqueByHost[host] == nil {
				x.opaqueByHost[host] = map[string]namedRoute{}
			}
			x.opaqueByHost[host][route.Path] = namedRoute{name, route}
		}
	}
	for _, routes := range []map[string][]namedRoute{x.routesByPath, x.routesByModel} {
		for _, list := range routes {
			slices.SortFunc(list, func(a, b namedRoute) int { return strings.Compare(a.name, b.name) })
		}
	}
	for name, adapter := range config.Adapters {
		if adapter.Workspace != "" {
			x.adaptersByWorkspace[adapter.Workspace] = append(x.adaptersByWorkspace[adapter.Workspace], name)
		}
	}
	return x
}

// opaqueRoute returns the opaque route of a request, the one with the longest path that
// is a prefix of the request's path. hosted reports whether the request's host has
// opaque routes.
func (x *index) opaqueRoute(r *chain.Request) (route namedRoute, hosted, found bool) {
	if r.API != chain.APIService || r.Host == "" {
		return namedRoute{}, false, false
	}
	paths := x.opaqueByHost[strings.ToLower(r.Host)]
	if paths == nil {
		return namedRoute{}, false, false
	}
	for at := strings.LastIndexByte(r.Path, '/'); at >= 0; at = strings.LastIndexByte(r.Path[:at], '/') {
		if route, ok := paths[r.Path[:at+1]]; ok {
			return route, true, true
		}
	}
	return namedRoute{}, true, false
}

// candidates returns the routes with the longest path that matches, or those with the
// request's model name.
func (x *index) candidates(r *chain.Request) []namedRoute {
	if r.API != chain.APIService {
		return x.routesByModel[r.ModelName]
	}
	path, err := url.PathUnescape(r.Path)
	if err != nil {
		return nil
	}
	for path = strings.TrimSuffix(path, "/"); ; {
		if routes := x.routesByPath[path]; len(routes) > 0 {
			return routes
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return nil
		}
		path = path[:cut]
	}
}

// visible lists the model names that a workspace may use.
func (x *index) visible(workspace string) []string {
	names := slices.Clone(x.adaptersByWorkspace[workspace])
	for name, routes := range x.routesByModel {
		for _, route := range routes {
			if route.route.Open || slices.Contains(route.route.Workspaces, workspace) {
				names = append(names, name)
				break
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
