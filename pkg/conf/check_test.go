package conf

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerspindle/tanagerspindle/pkg/digest"
	"github.com/tanagerspindle/tanagerspindle/pkg/strict"
)

// valid returns a configuration without errors.
func valid() *Config {
	return &Config{
		Workspaces: map[string]Workspace{"w": {Rate: 1, Burst: 1}, "v": {Rate: 1, Burst: 1}},
		Keys:       map[string]Key{digest.Key("k"): {Workspace: "w"}},
		Adapters:   map[string]Adapter{"a": {Model: "m", Workspace: "w", Versions: []string{"1"}, Current: "1"}},
		Routes: map[string]Route{
			"m": {Kind: RouteModel, Name: "n", Adapter: "a", Workspaces: []string{"w"}},
			"s": {Kind: RouteService, Path: "/s", Service: "s", Workspaces: []string{"w"}, AtMostOnce: true},
		},
	}
}

func TestCheckAcceptsValidAndEmpty(t *testing.T) {
	require.NoError(t, valid().Check())
	require.NoError(t, (&Config{}).Check())
}

func TestCheckReportsEachError(t *testing.T) {
	for field, change := range map[string]func(*Config){
		"workspaces.-":            func(c *Config) { c.Workspaces["-"] = Workspace{Rate: 1, Burst: 1} },
		"workspaces.w.rate":       func(c *Config) { c.Workspaces["w"] = Workspace{Burst: 1} },
		"workspaces.w.burst":      func(c *Config) { c.Workspaces["w"] = Workspace{Rate: 1, Burst: -1} },
		"workspaces.w.goal.share": func(c *Config) { c.Workspaces["w"] = Workspace{Rate: 1, Burst: 1, Objective: Objective{Share: 1}} },
		"workspaces.w.goal.first": func(c *Config) {
			c.Workspaces["w"] = Workspace{Rate: 1, Burst: 1, Objective: Objective{FirstToken: -1}}
		},
		"workspaces.w.goal.gap":                  func(c *Config) { c.Workspaces["w"] = Workspace{Rate: 1, Burst: 1, Objective: Objective{TokenGap: -1}} },
		"keys.(hidden)":                          func(c *Config) { c.Keys["plain"] = Key{Workspace: "w"} },
		"keys." + digest.Key("k") + ".workspace": func(c *Config) { c.Keys[digest.Key("k")] = Key{Workspace: "gone"} },
		"keys." + digest.Key("k") + ".note": func(c *Config) {
			c.Keys[digest.Key("k")] = Key{Workspace: "w", Note: "ts_0123456789abcdefghijk"}
		},
		"adapters.a.model":     func(c *Config) { c.Adapters["a"] = Adapter{Versions: []string{"1"}, Current: "1"} },
		"adapters.a.workspace": func(c *Config) { changeAdapter(c, func(a *Adapter) { a.Workspace = "gone" }) },
		"adapters.a.versions":  func(c *Config) { changeAdapter(c, func(a *Adapter) { a.Versions = []string{"1", "1"} }) },
		"adapters.a.current":   func(c *Config) { changeAdapter(c, func(a *Adapter) { a.Current = "2" }) },
		"routes.m.kind":        func(c *Config) { changeRoute(c, "m", func(r *Route) { r.Kind = "other" }) },
		"routes.m.adapter":     func(c *Config) { changeRoute(c, "m", func(r *Route) { r.Adapter = "gone" }) },
		"routes.m.once":        func(c *Config) { changeRoute(c, "m", func(r *Route) { r.AtMostOnce = true }) },
		"routes.m.path":        func(c *Config) { changeRoute(c, "m", func(r *Route) { r.Path = "/m" }) },
		"routes.s.name":        func(c *Config) { changeRoute(c, "s", func(r *Route) { r.Name = "n" }) },
		"routes.s.service":     func(c *Config) { changeRoute(c, "s", func(r *Route) { r.Service = "" }) },
		"routes.s.path":        func(c *Config) { changeRoute(c, "s", func(r *Route) { r.Path = "/v1/models" }) },
		"routes.s.methods":     func(c *Config) { changeRoute(c, "s", func(r *Route) { r.Methods = []string{"post"} }) },
		"routes.s.workspaces":  func(c *Config) { changeRoute(c, "s", func(r *Route) { r.Workspaces = []string{"gone"} }) },
		"routes.s.window":      func(c *Config) { changeRoute(c, "s", func(r *Route) { r.ReplayWindow = -1 }) },
		"routes.s.cost":        func(c *Config) { changeRoute(c, "s", func(r *Route) { r.Cost = -1 }) },
		"routes.s.key_header":  func(c *Config) { changeRoute(c, "s", func(r *Route) { r.KeyHeader = []string{"host"} }) },
		"routes.s.key_query":   func(c *Config) { changeRoute(c, "s", func(r *Route) { r.KeyQuery = []string{""} }) },
		"routes.s.key_cookie":  func(c *Config) { changeRoute(c, "s", func(r *Route) { r.KeyCookie = []string{"a b"} }) },
		"weights.batch":        func(c *Config) { c.Weights.Batch = -1 },
	} {
		t.Run(field, func(t *testing.T) {
			config := valid()
			change(config)
			var diagnostics strict.Diagnostics
			require.ErrorAs(t, config.Check(), &diagnostics)
			require.Len(t, diagnostics, 1, "%v", diagnostics)
			require.Equal(t, field, diagnostics[0].Field)
		})
	}
}

func changeAdapter(c *Config, change func(*Adapter)) {
	a := c.Adapters["a"]
	change(&a)
	c.Adapters["a"] = a
}

func changeRoute(c *Config, name string, change func(*Route)) {
	r := c.Routes[name]
	change(&r)
	c.Routes[name] = r
}

func TestCheckOpenRouteNamesOneWorkspace(t *testing.T) {
	for count, good := range []bool{false, true, false} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			config := valid()
			changeRoute(config, "s", func(r *Route) { r.Open, r.Workspaces = true, []string{"w", "v"}[:count] })
			require.Equal(t, good, config.Check() == nil)
		})
	}
}

func TestCheckReportsConflictingRoutes(t *testing.T) {
	for name, test := range map[string]struct {
		add  Route
		good bool
	}{
		"same path, any method":     {Route{Kind: RouteService, Path: "/s", Service: "x", Workspaces: []string{"v"}, Methods: []string{"GET"}}, false},
		"same path but a slash":     {Route{Kind: RouteService, Path: "/s/", Service: "x", Workspaces: []string{"w"}}, false},
		"longer path":               {Route{Kind: RouteService, Path: "/s/x", Service: "x", Workspaces: []string{"w"}}, true},
		"same name, same caller":    {Route{Kind: RouteModel, Name: "n", Adapter: "a", Workspaces: []string{"v", "w"}}, false},
		"same name, open":           {Route{Kind: RouteModel, Name: "n", Adapter: "a", Workspaces: []string{"v"}, Open: true}, false},
		"same name, other caller":   {Route{Kind: RouteModel, Name: "n", Adapter: "a", Workspaces: []string{"v"}}, true},
		"hides an owned adapter":    {Route{Kind: RouteModel, Name: "a", Adapter: "b", Workspaces: []string{"w"}}, false},
		"adapter by its own name":   {Route{Kind: RouteModel, Name: "a", Adapter: "a", Workspaces: []string{"w"}}, true},
		"name of another's adapter": {Route{Kind: RouteModel, Name: "a", Adapter: "b", Workspaces: []string{"v"}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			config := valid()
			config.Adapters["b"] = Adapter{Model: "m", Versions: []string{"1"}, Current: "1"}
			config.Routes["z"] = test.add
			require.Equal(t, test.good, config.Check() == nil, "%v", config.Check())
		})
	}
}
