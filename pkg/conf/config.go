// Package conf holds what operators configure, with its checks.
package conf

import (
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// Config is a whole configuration. A committed one is immutable.
type Config struct {
	// Number counts accepted configurations from 1; a submission carries the
	// number that it wants to be. Files may leave it out: then the next number
	// is asked for.
	Number uint64 `protobuf:"varint,1,opt" json:"number"`
	// Workspaces by name: the tenants and their allowances.
	Workspaces map[string]Workspace `protobuf:"bytes,2,rep" json:"workspaces"`
	// Keys by the SHA-256 digest of the key in lower-case hexadecimal. Keys
	// themselves are never written down.
	Keys map[string]Key `protobuf:"bytes,3,rep" json:"keys"`
	// Adapters by name: the LoRA adapters that may be served.
	Adapters map[string]Adapter `protobuf:"bytes,4,rep" json:"adapters"`
	// Routes by name: they tie callers to adapters and to plain services.
	Routes map[string]Route `protobuf:"bytes,5,rep" json:"routes"`
	// Weights say which measures of service quality count most. They are
	// checked and spread to the daemons; no decision uses them yet.
	Weights Weights `protobuf:"bytes,6,opt" json:"weights"`
	// Services by name: what endpoints of opaque routes announce themselves
	// as. Routes of the other kinds need no record here.
	Services map[string]Service `protobuf:"bytes,7,rep" json:"services"`
	// Limits bound what a caller of an opaque route may send.
	Limits Limits `protobuf:"bytes,8,opt" json:"limits"`
	// Source is the configuration as its operator sent it, to be read back
	// unchanged; empty when it came from a folder. It stays at control.
	Source []byte `protobuf:"bytes,9,opt" json:"-"`
}

// Workspace is a tenant's allowance.
type Workspace struct {
	// Rate is the sustained allowance in tokens per second, prompt and answer
	// together. It is positive; Unlimited sets no bound.
	Rate int64 `protobuf:"varint,1,opt" json:"rate"`
	// Burst is the allowance that may be used at once, in tokens. It is
	// positive.
	Burst int64 `protobuf:"varint,2,opt" json:"burst"`
	// Objective is the service level for the workspace's requests.
	Objective Objective `protobuf:"bytes,3,opt" json:"goal"`
	// Priority is the workspace's priority on opaque routes, 0 first. It goes
	// before the route's.
	Priority int32 `protobuf:"varint,4,opt" json:"rank"`
	// DefaultTokens is what a request of an opaque route counts, in tokens, when its
	// caller names no token counts.
	DefaultTokens int64 `protobuf:"varint,5,opt" json:"flat"`
}

// Key ties a caller's key to a workspace.
type Key struct {
	// Workspace is the one that requests with this key run for.
	Workspace string `protobuf:"bytes,1,opt" json:"workspace"`
	// Note tells operators whose key it is.
	Note string `protobuf:"bytes,2,opt" json:"note"`
}

// Adapter is a LoRA adapter on a base model.
type Adapter struct {
	// Model is the base model's name.
	Model string `protobuf:"bytes,1,opt" json:"model"`
	// Workspace owns the adapter: its keys may call it by name without a
	// route. Empty means that only routes lead to it.
	Workspace string `protobuf:"bytes,2,opt" json:"workspace"`
	// Versions that exist in the weight store.
	Versions []string `protobuf:"bytes,3,rep" json:"versions"`
	// Current is the version that new requests run on. It is one of Versions.
	Current string `protobuf:"bytes,4,opt" json:"current"`
}

// Route kinds.
const (
	// RouteModel leads to an adapter on the model engines.
	RouteModel = "model"
	// RouteService leads to a plain service.
	RouteService = "service"
	// RouteOpaque leads to endpoints that entries call themselves with the
	// caller's request as it is.
	RouteOpaque = "opaque"
)

// Route ties callers to an adapter or to a plain service.
type Route struct {
	// Kind is "model" for a route to an adapter on the model engines,
	// "service" for one to a plain service, or "opaque" for one whose requests
	// go to an endpoint unread.
	Kind string `protobuf:"bytes,1,opt" json:"kind"`
	// Path is the URL path of a service route, starting with "/". It matches
	// itself and all paths below it; the longest match wins. That of an opaque
	// route ends with "/" too and matches what begins with it.
	Path string `protobuf:"bytes,2,opt" json:"path"`
	// Methods restricts a service route; empty allows every method.
	Methods []string `protobuf:"bytes,3,rep" json:"methods"`
	// Name is what callers put into "model" to reach a model route.
	Name string `protobuf:"bytes,4,opt" json:"name"`
	// Adapter is the adapter of a model route.
	Adapter string `protobuf:"bytes,5,opt" json:"adapter"`
	// Service is the name under which endpoints of a service route announce
	// themselves.
	Service string `protobuf:"bytes,6,opt" json:"service"`
	// Workspaces may use the route. An open route names exactly one, whose
	// allowance pays for callers without a key.
	Workspaces []string `protobuf:"bytes,7,rep" json:"workspaces"`
	// Open routes need no key.
	Open bool `protobuf:"varint,8,opt" json:"open"`
	// AtMostOnce says that a request must run at most once. Only for service
	// routes; completions and reads may be repeated.
	AtMostOnce bool `protobuf:"varint,9,opt" json:"once"`
	// ReplayWindow is how long a resend of a request that runs at most once gets
	// the recorded answer. At most 744h.
	ReplayWindow span.Duration `protobuf:"varint,10,opt" json:"window"`
	// Cost is what one call of a service route counts, in tokens. Model
	// routes count their prompts and answers instead.
	Cost int64 `protobuf:"varint,11,opt" json:"cost"`
	// Objective is the service level of the route; fields that are missing or zero
	// fall back to the workspace's.
	Objective Objective `protobuf:"bytes,12,opt" json:"goal"`
	// KeyHeader names headers, beside Authorization, in which callers put
	// keys. All places of keys are removed before a request goes on.
	KeyHeader []string `protobuf:"bytes,13,rep" json:"key_header"`
	// KeyQuery names query parameters that carry keys.
	KeyQuery []string `protobuf:"bytes,14,rep" json:"key_query"`
	// KeyCookie names cookies that carry keys.
	KeyCookie []string `protobuf:"bytes,15,rep" json:"key_cookie"`
	// Host is the host name of an opaque route.
	Host string `protobuf:"bytes,16,opt" json:"host"`
	// Split divides an opaque route's requests over services by weight, in
	// place of Service.
	Split []TrafficShare `protobuf:"bytes,17,rep" json:"split"`
	// Idempotent says that a request of an opaque route is idempotent.
	Idempotent bool `protobuf:"varint,18,opt" json:"repeat"`
	// Stream says that the answers of an opaque route are event streams.
	Stream bool `protobuf:"varint,19,opt" json:"stream"`
	// Resume says that a broken stream may be continued at another endpoint
	// behind the last event received.
	Resume bool `protobuf:"varint,20,opt" json:"resume"`
	// Attempts is how many endpoints may run one request of an opaque route.
	Attempts int32 `protobuf:"varint,21,opt" json:"attempts"`
	// Timeout is the longest time that a caller of an opaque route is kept
	// waiting.
	Timeout span.Duration `protobuf:"varint,22,opt" json:"timeout"`
	// Priority is the priority of an opaque route, 0 first.
	Priority int32 `protobuf:"varint,23,opt" json:"rank"`
	// EventTimeout is how long callers of an opaque route wait for the first or the
	// next event of a stream before they leave; 0 is as long as Timeout.
	EventTimeout span.Duration `protobuf:"varint,24,opt" json:"silence"`
}

// TrafficShare is one service's part of a split route.
type TrafficShare struct {
	// Service is the name of a record in services.
	Service string `protobuf:"bytes,1,opt" json:"service"`
	// Weight is the part relative to the sum of all weights; 0 or more.
	Weight int64 `protobuf:"varint,2,opt" json:"weight"`
}

// Service is what endpoints of opaque routes announce themselves as.
type Service struct {
	// HealthPath is the path of the endpoints' health check.
	HealthPath string `protobuf:"bytes,1,opt" json:"health"`
	// MaxConnections is how many connections an endpoint accepts from all entries
	// together; 0 knows no bound.
	MaxConnections int32 `protobuf:"varint,2,opt" json:"conns"`
	// Engine describes model engines; nil for a plain service.
	Engine *Engine `protobuf:"bytes,3,opt" json:"engine"`
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int32 `protobuf:"varint,1,opt" json:"slots"`
	// MemoryTokens is how many tokens fit into an engine's memory.
	MemoryTokens int64 `protobuf:"varint,2,opt" json:"tokens"`
	// AdapterSlots is how many adapters an engine holds at once.
	AdapterSlots int32 `protobuf:"varint,3,opt" json:"places"`
	// LoadsPerSecond is how many whole models the weight store serves a second.
	LoadsPerSecond float64 `protobuf:"fixed64,4,opt" json:"loads"`
	// WeightMemoryMB is an engine's memory for weights, in megabytes.
	WeightMemoryMB float64 `protobuf:"fixed64,5,opt" json:"room"`
	// TokensPerEvent is how many tokens one event of a stream holds.
	TokensPerEvent int32 `protobuf:"varint,6,opt" json:"stride"`
	// Models are the base models that the engines may hold.
	Models []Model `protobuf:"bytes,7,rep" json:"models"`
}

// Model is one base model.
type Model struct {
	// Name is what orders and requests call the model.
	Name string `protobuf:"bytes,1,opt" json:"name"`
	// WeightMB is its size in megabytes, and Adapter that of one adapter.
	WeightMB  float64 `protobuf:"fixed64,2,opt" json:"weight"`
	AdapterMB float64 `protobuf:"fixed64,3,opt" json:"adapter"`
	// LoadTime is how long a load from the weight store takes at full speed.
	LoadTime span.Duration `protobuf:"varint,4,opt" json:"load"`
}

// Limits bound what callers of opaque routes may send. Zero sets no bound.
type Limits struct {
	// MaxHeaderBytes and Body are the most bytes of a request's header and body.
	MaxHeaderBytes int64 `protobuf:"varint,1,opt" json:"header"`
	MaxBodyBytes   int64 `protobuf:"varint,2,opt" json:"body"`
	// HeaderTimeout is the longest time that a header may take to arrive.
	HeaderTimeout span.Duration `protobuf:"varint,3,opt" json:"read"`
	// IdleTimeout is how long a connection may be without a request.
	IdleTimeout span.Duration `protobuf:"varint,4,opt" json:"idle"`
}

// Objective is a service level.
type Objective struct {
	// FirstToken is the longest good time to the first token of an answer, or to
	// the answer of a plain service.
	FirstToken span.Duration `protobuf:"varint,1,opt" json:"first"`
	// TokenGap is the longest good mean time between two tokens.
	TokenGap span.Duration `protobuf:"varint,2,opt" json:"gap"`
	// Share of the requests that must be good, at least 0 and below 1.
	Share float64 `protobuf:"fixed64,3,opt" json:"share"`
}

// Weights say how much each measure counts; larger counts more.
type Weights struct {
	// Stalls weighs the time that requests wait for loads.
	Stalls float64 `protobuf:"fixed64,1,opt" json:"stalls"`
	// Batch weighs full batches.
	Batch float64 `protobuf:"fixed64,2,opt" json:"batch"`
	// Worst weighs the worst-served workspace.
	Worst float64 `protobuf:"fixed64,3,opt" json:"worst"`
	// Refused weighs refusals within the allowance.
	Refused float64 `protobuf:"fixed64,4,opt" json:"refused"`
}
