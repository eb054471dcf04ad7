package match

import (
	"net/url"
	"slices"
	"strings"

	"github.com/tanagerspindle/tanagerspindle/entry/chain"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
)

// named is a route with its name.
type named struct {
	name  string
	route conf.Route
}

// target is a route, or an adapter called by its own name.
type target struct {
	named   named
	adapter string
}

func (t target) isZero() bool { return t.named.name == "" && t.adapter == "" }

// index finds routes by path and by model name. It belongs to one
// configuration and is not changed.
type index struct {
	config *conf.Config
	// paths and models hold the routes of each key in the order of their
	// names.
	paths  map[string][]named
	models map[string][]named
	// owned holds the adapters of each workspace.
	owned map[string][]string
	// hosts holds the opaque routes by host name in lower case and path.
	hosts map[string]map[string]named
}

func newIndex(config *conf.Config) *index {
	x := &index{config: config, paths: map[string][]named{}, models: map[string][]named{}, owned: map[string][]string{}, hosts: map[string]map[string]named{}}
	for name, route := range config.Routes {
		switch route.Kind {
		case conf.RouteService:
			path := strings.TrimSuffix(route.Path, "/")
			x.paths[path] = append(x.paths[path], named{name, route})
		case conf.RouteModel:
			x.models[route.Name] = append(x.models[route.Name], named{name, route})
		case conf.RouteOpaque:
			host := strings.ToLower(route.Host)
			if x.hosts[host] == nil {
				x.hosts[host] = map[string]named{}
			}
			x.hosts[host][route.Path] = named{name, route}
		}
	}
	for _, routes := range []map[string][]named{x.paths, x.models} {
		for _, list := range routes {
			slices.SortFunc(list, func(a, b named) int { return strings.Compare(a.name, b.name) })
		}
	}
	for name, adapter := range config.Adapters {
		if adapter.Workspace != "" {
			x.owned[adapter.Workspace] = append(x.owned[adapter.Workspace], name)
		}
	}
	return x
}

// opaque returns the opaque route of a request, whose path is the longest that
// begins the request's. hosted reports whether its host has any.
func (x *index) opaque(r *chain.Request) (route named, hosted, found bool) {
	if r.API != chain.APIService || r.Host == "" {
		return named{}, false, false
	}
	paths := x.hosts[strings.ToLower(r.Host)]
	if paths == nil {
		return named{}, false, false
	}
	for at := strings.LastIndexByte(r.Path, '/'); at >= 0; at = strings.LastIndexByte(r.Path[:at], '/') {
		if route, ok := paths[r.Path[:at+1]]; ok {
			return route, true, true
		}
	}
	return named{}, true, false
}

// candidates returns the routes with the longest matching path, or those with
// the request's model name.
func (x *index) candidates(r *chain.Request) []named {
	if r.API != chain.APIService {
		return x.models[r.ModelName]
	}
	path, err := url.PathUnescape(r.Path)
	if err != nil {
		return nil
	}
	for path = strings.TrimSuffix(path, "/"); ; {
		if routes := x.paths[path]; len(routes) > 0 {
			return routes
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return nil
		}
		path = path[:cut]
	}
}

// visible lists what a workspace may put into "model".
func (x *index) visible(workspace string) []string {
	names := slices.Clone(x.owned[workspace])
	for name, routes := range x.models {
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
