package conf

import (
	"net/http"
	"path"
	"regexp"
	"slices"
	"strings"
)

// maxReplayWindow bounds ReplayWindow, because control keeps each outcome for that long.
const maxReplayWindow = 31 * DefaultReplayWindow

var (
	// reservedPaths are the paths that the entry handles itself.
	reservedPaths = []string{"/v1/completions", "/v1/chat/completions", "/v1/models", "/healthz"}
	// requiredHeaders are headers that HTTP needs, so they cannot be removed as a key.
	requiredHeaders = []string{"Host", "Content-Length", "Transfer-Encoding", "Connection", "Content-Type"}
	tokenPattern    = regexp.MustCompile("^[A-Za-z0-9!#$%&'*+.^_`|~-]+$")
	methodPattern   = regexp.MustCompile(`^[A-Z]+$`)
)

func (k *checker) checkRoute(name string, r Route) {
	k.checkRecord("routes", name)
	switch r.Kind {
	case RouteModel:
		k.checkModelRoute(name, r)
	case RouteService:
		k.checkServiceRoute(name, r)
	case RouteOpaque:
		k.checkOpaqueRoute(name, r)
	default:
		k.fail([]string{"routes", name, "kind"}, "must be %q, %q or %q", RouteModel, RouteService, RouteOpaque)
	}
	if r.Kind != RouteOpaque {
		k.checkRouteWorkspaces(name, r)
		k.checkAbsent(name, RouteOpaque, map[string]bool{"hedge": r.HedgeShare != 0})
	}
	k.checkObjective(r.Objective, "routes", name, "goal")
	if r.ReplayWindow < 0 || r.ReplayWindow.Std() > maxReplayWindow {
		k.fail([]string{"routes", name, "window"}, "must be from 0s to %s", maxReplayWindow)
	}
	if r.Cost < 0 || r.Cost > maxTokens {
		k.fail([]string{"routes", name, "cost"}, "must be from 0 to %d", int64(maxTokens))
	}
	k.checkKeyLocations(name, r)
}

func (k *checker) checkModelRoute(name string, r Route) {
	k.checkName(r.Name, "routes", name, "name")
	if _, ok := k.config.Adapters[r.Adapter]; !ok {
		k.fail([]string{"routes", name, "adapter"}, "no such adapter")
	}
	k.checkAbsent(name, RouteService, map[string]bool{
		"path":    r.Path != "",
		"methods": len(r.Methods) > 0,
		"service": r.Service != "",
		"once":    r.AtMostOnce,
	})
}

func (k *checker) checkServiceRoute(name string, r Route) {
	k.checkName(r.Service, "routes", name, "service")
	k.checkPath(name, r.Path)
	for _, method := range r.Methods {
		if !methodPattern.MatchString(method) || method == http.MethodConnect {
			k.fail([]string{"routes", name, "methods"}, "%q is not an HTTP method in capitals that can be forwarded", method)
		}
	}
	k.checkUnique(r.Methods, "routes", name, "methods")
	k.checkAbsent(name, RouteModel, map[string]bool{"name": r.Name != "", "adapter": r.Adapter != ""})
}

// checkAbsent reports the fields that are present although they are only for routes
// of another kind.
func (k *checker) checkAbsent(name, kind string, present map[string]bool) {
	for _, field := range sorted(present) {
		if present[field] {
			k.fail([]string{"routes", name, field}, "only for routes of kind %q", kind)
		}
	}
}

func (k *checker) checkPath(name, route string) {
	field := []string{"routes", name, "path"}
	if !isClean(route) {
		k.fail(field, "must be a clean URL path such as \"/filings\" or \"/register/\"")
		return
	}
	route = trimSlash(route)
	for _, entryPath := range reservedPaths {
		if route == entryPath || strings.HasPrefix(route, entryPath+"/") {
			k.fail(field, "%s is handled by the entry itself", entryPath)
		}
	}
}

// isClean reports whether a path is absolute and has no empty or dotted segments,
// escapes or query. It may end with a slash.
func isClean(route string) bool {
	if !strings.HasPrefix(route, "/") || strings.ContainsAny(route, "?#% \\") {
		return false
	}
	clean := path.Clean(route)
	return route == clean || route == clean+"/"
}

func (k *checker) checkRouteWorkspaces(name string, r Route) {
	field := []string{"routes", name, "workspaces"}
	if r.Open && len(r.Workspaces) != 1 {
		k.fail(field, "an open route must name exactly one workspace, whose allowance its requests use")
	}
	if !r.Open && len(r.Workspaces) == 0 {
		k.fail(field, "must name at least one workspace")
	}
	k.checkUnique(r.Workspaces, field...)
	for _, workspace := range r.Workspaces {
		k.checkWorkspaceExists(workspace, field...)
	}
}

func (k *checker) checkKeyLocations(name string, r Route) {
	for _, header := range r.KeyHeader {
		canonical := http.CanonicalHeaderKey(header)
		if !tokenPattern.MatchString(header) || slices.Contains(requiredHeaders, canonical) {
			k.fail([]string{"routes", name, "key_header"}, "%q cannot carry a key", header)
		}
	}
	for _, query := range r.KeyQuery {
		if query == "" {
			k.fail([]string{"routes", name, "key_query"}, "a parameter has no name")
		}
	}
	for _, cookie := range r.KeyCookie {
		if !tokenPattern.MatchString(cookie) {
			k.fail([]string{"routes", name, "key_cookie"}, "%q is not a valid cookie name", cookie)
		}
	}
}

// trimSlash removes a trailing slash, which has no effect on matching.
func trimSlash(route string) string { return strings.TrimSuffix(route, "/") }

// checkServicePaths reports service routes that match the same requests: their
// paths are equal and they have a method in common. A path below another is
// allowed, since the longest prefix wins.
func (k *checker) checkServicePaths() {
	taken := map[string][]string{}
	for _, name := range sorted(k.config.Routes) {
		route := k.config.Routes[name]
		if route.Kind != RouteService {
			continue
		}
		at := trimSlash(route.Path)
		for _, other := range taken[at] {
			if methodsOverlap(route.Methods, k.config.Routes[other].Methods) {
				k.fail([]string{"routes", name, "path"}, "route %q has the same path and a method in common", other)
			}
		}
		taken[at] = append(taken[at], name)
	}
}

func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(method string) bool { return slices.Contains(b, method) })
}

// checkModelNames reports names that lead a caller to two adapters.
func (k *checker) checkModelNames() {
	taken := map[string][]string{}
	for _, name := range sorted(k.config.Routes) {
		route := k.config.Routes[name]
		if route.Kind != RouteModel {
			continue
		}
		for _, other := range taken[route.Name] {
			if callersOverlap(route, k.config.Routes[other]) {
				k.fail([]string{"routes", name, "name"}, "route %q has the same name and a caller in common", other)
			}
		}
		taken[route.Name] = append(taken[route.Name], name)
		k.checkOwnedAdapter(name, route)
	}
}

// checkOwnedAdapter reports a route that hides an adapter of the same name from the
// workspace that owns the adapter.
func (k *checker) checkOwnedAdapter(name string, route Route) {
	adapter, ok := k.config.Adapters[route.Name]
	if !ok || route.Adapter == route.Name || adapter.Workspace == "" {
		return
	}
	if route.Open || slices.Contains(route.Workspaces, adapter.Workspace) {
		k.fail([]string{"routes", name, "name"}, "workspace %q owns another adapter of this name", adapter.Workspace)
	}
}

func callersOverlap(a, b Route) bool {
	if a.Open || b.Open {
		return true
	}
	return slices.ContainsFunc(a.Workspaces, func(w string) bool { return slices.Contains(b.Workspaces, w) })
}
