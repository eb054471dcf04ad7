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
}

func newIndex(config *conf.Config) *index {
	x := &index{config: config, paths: map[string][]named{}, models: map[string][]named{}, owned: map[string][]string{}}
	for name, route := range config.Routes {
		switch route.Kind {
		case conf.KindService:
			path := strings.TrimSuffix(route.Path, "/")
			x.paths[path] = append(x.paths[path], named{name, route})
		case conf.KindModel:
			x.models[route.Name] = append(x.models[route.Name], named{name, route})
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

// candidates returns the routes with the longest matching path, or those with
// the request's model name.
func (x *index) candidates(r *chain.Request) []named {
	if r.Face != chain.FaceService {
		return x.models[r.Name]
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
