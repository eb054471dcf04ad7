package conf

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Delta leads from configuration number From to To. From is 0 in a delta that
// carries a whole configuration; then Put replaces everything.
type Delta struct {
	From uint64 `protobuf:"varint,1,opt" json:"from"`
	To   uint64 `protobuf:"varint,2,opt" json:"to"`
	// Put holds the records that are new or changed; its Number equals To.
	Put *Config `protobuf:"bytes,3,opt" json:"put"`
	// The names of records that are gone.
	DropWorkspaces []string `protobuf:"bytes,4,rep" json:"drop_workspaces"`
	DropKeys       []string `protobuf:"bytes,5,rep" json:"drop_keys"`
	DropAdapters   []string `protobuf:"bytes,6,rep" json:"drop_adapters"`
	DropRoutes     []string `protobuf:"bytes,7,rep" json:"drop_routes"`
	DropServices   []string `protobuf:"bytes,8,rep" json:"drop_services"`
}

// Diff returns the delta that leads from old to next. A nil old gives a delta
// that carries the whole of next.
func Diff(old, next *Config) *Delta {
	if old == nil {
		return &Delta{To: next.Number, Put: next.withoutSource()}
	}
	put := &Config{Number: next.Number, Weights: next.Weights, Limits: next.Limits}
	delta := &Delta{From: old.Number, To: next.Number, Put: put}
	put.Workspaces, delta.DropWorkspaces = diffMap(old.Workspaces, next.Workspaces)
	put.Keys, delta.DropKeys = diffMap(old.Keys, next.Keys)
	put.Adapters, delta.DropAdapters = diffMap(old.Adapters, next.Adapters)
	put.Routes, delta.DropRoutes = diffMap(old.Routes, next.Routes)
	put.Services, delta.DropServices = diffMap(old.Services, next.Services)
	return delta
}

// withoutSource returns the configuration without what stays at control.
func (c *Config) withoutSource() *Config {
	if len(c.Source) == 0 {
		return c
	}
	other := *c
	other.Source = nil
	return &other
}

// Apply returns the configuration that delta leads to and leaves c as it is.
// c may be nil for a delta that carries a whole configuration. The error is of
// KindDelta when the delta starts from another number.
func (c *Config) Apply(delta *Delta) (*Config, error) {
	if delta.Put == nil {
		return nil, &Error{Op: "apply delta", Kind: KindDelta, Err: fmt.Errorf("delta to %d is empty", delta.To)}
	}
	if delta.From == 0 {
		whole := *delta.Put
		whole.Number = delta.To
		return &whole, nil
	}
	if c == nil || c.Number != delta.From {
		return nil, &Error{Op: "apply delta", Kind: KindDelta, Err: fmt.Errorf("delta starts from %d", delta.From)}
	}
	return &Config{
		Number:     delta.To,
		Workspaces: applyMap(c.Workspaces, delta.Put.Workspaces, delta.DropWorkspaces),
		Keys:       applyMap(c.Keys, delta.Put.Keys, delta.DropKeys),
		Adapters:   applyMap(c.Adapters, delta.Put.Adapters, delta.DropAdapters),
		Routes:     applyMap(c.Routes, delta.Put.Routes, delta.DropRoutes),
		Weights:    delta.Put.Weights,
		Services:   applyMap(c.Services, delta.Put.Services, delta.DropServices),
		Limits:     delta.Put.Limits,
	}, nil
}

// diffMap returns the records of next that are new or changed, and the sorted
// names of those that are gone.
func diffMap[V any](old, next map[string]V) (put map[string]V, drop []string) {
	for name, value := range next {
		former, ok := old[name]
		if ok && reflect.DeepEqual(former, value) {
			continue
		}
		if put == nil {
			put = map[string]V{}
		}
		put[name] = value
	}
	for name := range old {
		if _, ok := next[name]; !ok {
			drop = append(drop, name)
		}
	}
	slices.Sort(drop)
	return put, drop
}

func applyMap[V any](old, put map[string]V, drop []string) map[string]V {
	if len(put) == 0 && len(drop) == 0 {
		return old
	}
	next := make(map[string]V, len(old)+len(put))
	maps.Copy(next, old)
	for _, name := range drop {
		delete(next, name)
	}
	maps.Copy(next, put)
	return next
}
