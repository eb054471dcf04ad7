package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
)

// Digest returns the SHA-256 digest of the configuration's content in hexadecimal.
// It ignores the number and treats an absent list like an empty one, so that the
// digest is the same before and after the configuration was encoded and committed.
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
		// JSON cannot encode a weight that is NaN or infinite; Check rejects such weights.
		return ""
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// nonNil returns a copy of a list that is empty instead of nil.
func nonNil(list []string) []string {
	return slices.Concat([]string{}, list)
}
