package conf_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

func opaqueRoute() conf.Route {
	return conf.Route{
		Kind: conf.RouteOpaque, Host: "h", Path: "/p/", Service: "s", Attempts: 1, Timeout: span.Duration(time.Second),
	}
}

func configWith(change func(r *conf.Route)) *conf.Config {
	route := opaqueRoute()
	change(&route)
	return &conf.Config{
		Services: map[string]conf.Service{"s": {}, "u": {}},
		Routes:   map[string]conf.Route{"r": route},
	}
}

func TestOpaqueRoutes(t *testing.T) {
	require.NoError(t, configWith(func(*conf.Route) {}).Check())
	require.NoError(t, configWith(func(r *conf.Route) {
		r.Service, r.Split = "", []conf.TrafficShare{{Service: "s", Weight: 0}, {Service: "u", Weight: 1}}
	}).Check())
	for name, change := range map[string]func(r *conf.Route){
		"no host":            func(r *conf.Route) { r.Host = "" },
		"path without slash": func(r *conf.Route) { r.Path = "/p" },
		"no timeout":         func(r *conf.Route) { r.Timeout = 0 },
		"no attempts":        func(r *conf.Route) { r.Attempts = 0 },
		"unknown service":    func(r *conf.Route) { r.Service = "x" },
		"unknown in split":   func(r *conf.Route) { r.Split = []conf.TrafficShare{{Service: "x", Weight: 1}} },
		"no weight":          func(r *conf.Route) { r.Split = []conf.TrafficShare{{Service: "s"}} },
		"negative weight": func(r *conf.Route) {
			r.Split = []conf.TrafficShare{{Service: "s", Weight: -1}, {Service: "u", Weight: 2}}
		},
	} {
		require.Error(t, configWith(change).Check(), name)
	}
	twice := configWith(func(*conf.Route) {})
	twice.Routes["other"] = opaqueRoute()
	require.Error(t, twice.Check(), "same host and path")
}

func TestDeltaCarriesServicesButNotSource(t *testing.T) {
	old := configWith(func(*conf.Route) {})
	old.Number, old.Source = 3, []byte("old")
	next := configWith(func(r *conf.Route) { r.Attempts = 2 })
	next.Number, next.Source = 9, []byte("new")
	delete(next.Services, "u")
	next.Limits.MaxBodyBytes = 7
	changed, err := old.Apply(conf.Diff(old, next))
	require.NoError(t, err)
	require.Equal(t, next.Services, changed.Services)
	require.Equal(t, next.Routes, changed.Routes)
	require.Equal(t, next.Limits, changed.Limits)
	require.Empty(t, changed.Source)
	var none *conf.Config
	complete, err := none.Apply(conf.Diff(nil, next))
	require.NoError(t, err)
	require.Empty(t, complete.Source)
	require.Equal(t, []byte("new"), next.Source)
}

// A share that is no share, or that stands on a route whose requests are never hedged, is
// an error with the field's name. Without that, an operator would wait in vain for hedges.
func TestHedgeShares(t *testing.T) {
	hedged := func(r *conf.Route) { r.Idempotent, r.Attempts, r.HedgeShare = true, 2, 0.05 }
	require.NoError(t, configWith(hedged).Check())
	for name, change := range map[string]func(c *conf.Config, r *conf.Route){
		"routes.r.hedge: must be a share of the requests from 0 to 1": func(_ *conf.Config, r *conf.Route) { r.HedgeShare = 1.5 },
		"routes.r.hedge: must be a share":                             func(_ *conf.Config, r *conf.Route) { r.HedgeShare = -0.1 },
		"routes.r.hedge: must be":                                     func(_ *conf.Config, r *conf.Route) { r.HedgeShare = math.NaN() },
		`routes.r.hedge: only for routes with "repeat"`:               func(_ *conf.Config, r *conf.Route) { r.Idempotent = false },
		`routes.r.hedge: only for routes`:                             func(_ *conf.Config, r *conf.Route) { r.Stream = true },
		`routes.r.hedge: only`:                                        func(_ *conf.Config, r *conf.Route) { r.Attempts = 1 },
		"services.s.hedge: must be a share of the requests":           func(c *conf.Config, _ *conf.Route) { c.Services["s"] = conf.Service{HedgeShare: 2} },
		`routes.m.hedge: only for routes of kind "opaque"`: func(c *conf.Config, _ *conf.Route) {
			c.Workspaces = map[string]conf.Workspace{"w": {Rate: 1, Burst: 1}}
			c.Routes["m"] = conf.Route{Kind: conf.RouteService, Path: "/m", Service: "s", Workspaces: []string{"w"}, HedgeShare: 0.1}
		},
	} {
		config := configWith(hedged)
		route := config.Routes["r"]
		change(config, &route)
		config.Routes["r"] = route
		var diagnostics strict.Diagnostics
		require.ErrorAs(t, config.Check(), &diagnostics, name)
		require.Len(t, diagnostics, 1, name)
		require.Contains(t, diagnostics[0].Field+": "+diagnostics.Error(), name[:strings.Index(name, ":")], name)
		require.Contains(t, diagnostics.Error(), name[strings.Index(name, ": ")+2:], name)
	}
}
