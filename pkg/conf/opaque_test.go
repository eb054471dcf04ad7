package conf_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
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
