package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// Digest returns the SHA-256 of the configuration's content in hexadecimal.
// The number does not count, nor does the difference between an empty list
// and none, so that a configuration has the same digest before and after it
// was sent and committed.
func (c *Config) Digest() string {
	content := Config{
		Workspaces: c.Workspaces,
		Keys:       c.Keys,
		Adapters:   make(map[string]Adapter, len(c.Adapters)),
		Routes:     make(map[string]Route, len(c.Routes)),
		Weights:    c.Weights,
		Services:   c.Services,
		Limits:     c.Limits,
	}
	if len(content.Services) == 0 {
		content.Services = nil
	}
	if len(content.Workspaces) == 0 {
		content.Workspaces = nil
	}
	if len(content.Keys) == 0 {
		content.Keys = nil
	}
	for name, adapter := range c.Adapters {
		adapter.Versions = nonNil(adapter.Versions)
		content.Adapters[name] = adapter
	}
	for name, route := range c.Routes {
		route.Methods = nonNil(route.Methods)
		route.Workspaces = nonNil(route.Workspaces)
		route.KeyHeader = nonNil(route.KeyHeader)
		route.KeyQuery = nonNil(route.KeyQuery)
		route.KeyCookie = nonNil(route.KeyCookie)
		if len(route.Split) == 0 {
			route.Split = nil
		}
		content.Routes[name] = route
	}
	text, err := json.Marshal(content)
	if err != nil {
		// A weight that is no number; Check refuses it.
		return ""
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// nonNil returns an empty list for none.
func nonNil(list []string) []string {
	return slices.Concat([]string{}, list)
}
