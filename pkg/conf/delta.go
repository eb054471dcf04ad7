package conf

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Delta is the difference between the configurations numbered From and To. If From
// is 0, the delta carries a complete configuration, and Put replaces everything.
type Delta struct {
	From uint64 `protobuf:"varint,1,opt" json:"from"`
	To   uint64 `protobuf:"varint,2,opt" json:"to"`
	// Put holds the new and the changed records. Its Number equals To.
	Put *Config `protobuf:"bytes,3,opt" json:"put"`
	// The names of removed records.
	DropWorkspaces []string `protobuf:"bytes,4,rep" json:"drop_workspaces"`
	DropKeys       []string `protobuf:"bytes,5,rep" json:"drop_keys"`
	DropAdapters   []string `protobuf:"bytes,6,rep" json:"drop_adapters"`
	DropRoutes     []string `protobuf:"bytes,7,rep" json:"drop_routes"`
	DropServices   []string `protobuf:"bytes,8,rep" json:"drop_services"`
}

// Diff returns the delta from old to next. If old is nil, the delta carries the
// complete configuration.
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

// withoutSource returns the configuration without the part that is not sent to daemons.
func (c *Config) withoutSource() *Config {
	if len(c.Source) == 0 {
		return c
	}
	other := *c
	other.Source = nil
	return &other
}

// Apply returns the configuration that results from applying delta and does not
// modify c. c may be nil if delta carries a complete configuration. The error is of
// KindDelta if delta starts from another number than that of c.
func (c *Config) Apply(delta *Delta) (*Config, error) {
	if delta.Put == nil {
		return nil, &Error{Op: "apply delta", Kind: KindDelta, Err: fmt.Errorf("delta to %d is empty", delta.To)}
	}
	if delta.From == 0 {
		complete := *delta.Put
		complete.Number = delta.To
		return &complete, nil
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

// diffMap returns the records of next that are new or changed, and the sorted names
// of the records that next lacks.
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

// applyMap returns a copy of old with the records in drop removed and those in put
// set. It returns old itself if nothing changes.
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
