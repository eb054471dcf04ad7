package conf

import "strings"

// checkOpaqueRoute checks a route whose requests are forwarded to endpoints unread.
func (k *checker) checkOpaqueRoute(name string, r Route) {
	if r.Host == "" {
		k.fail([]string{"routes", name, "host"}, "is missing")
	}
	if !strings.HasPrefix(r.Path, "/") || !strings.HasSuffix(r.Path, "/") {
		k.fail([]string{"routes", name, "path"}, "must begin and end with \"/\"")
	}
	if r.Timeout <= 0 {
		k.fail([]string{"routes", name, "timeout"}, "must be positive")
	}
	if r.Attempts < 1 {
		k.fail([]string{"routes", name, "attempts"}, "must be at least 1")
	}
	k.checkOpaqueServices(name, r)
	k.checkHedgeShare(r.HedgeShare, "routes", name, "hedge")
	if r.HedgeShare > 0 && (!r.Idempotent || r.Stream || r.Attempts < 2) {
		k.fail([]string{"routes", name, "hedge"}, "only for routes with \"repeat\", without \"stream\" and with \"attempts\" of at least 2")
	}
	k.checkAbsent(name, RouteService, map[string]bool{"methods": len(r.Methods) > 0, "once": r.AtMostOnce})
	k.checkAbsent(name, RouteModel, map[string]bool{"name": r.Name != "", "adapter": r.Adapter != ""})
}

// checkHedgeShare checks a maximum share of hedged requests.
func (k *checker) checkHedgeShare(share float64, path ...string) {
	if !(share >= 0 && share <= 1) {
		k.fail(path, "must be a share of the requests from 0 to 1, for example 0.05")
	}
}

// checkOpaqueServices checks the services that an opaque route leads to.
func (k *checker) checkOpaqueServices(name string, r Route) {
	if len(r.Split) == 0 {
		k.checkServiceExists(r.Service, "routes", name, "service")
		return
	}
	sum := int64(0)
	for _, share := range r.Split {
		k.checkServiceExists(share.Service, "routes", name, "split")
		if share.Weight < 0 || share.Weight > maxTokens {
			k.fail([]string{"routes", name, "split"}, "a weight must be from 0 to %d", int64(maxTokens))
			return
		}
		sum += share.Weight
	}
	if sum == 0 {
		k.fail([]string{"routes", name, "split"}, "the weights add up to 0")
	}
}

func (k *checker) checkServiceExists(service string, path ...string) {
	if _, ok := k.config.Services[service]; !ok {
		k.fail(path, "no such service")
	}
}

// checkOpaquePaths reports opaque routes with the same host and path.
func (k *checker) checkOpaquePaths() {
	taken := map[[2]string]string{}
	for _, name := range sorted(k.config.Routes) {
		route := k.config.Routes[name]
		if route.Kind != RouteOpaque {
			continue
		}
		hostPath := [2]string{strings.ToLower(route.Host), route.Path}
		if other, ok := taken[hostPath]; ok {
			k.fail([]string{"routes", name, "path"}, "route %q has the same host and path", other)
		}
		taken[hostPath] = name
	}
}
