// Package conf defines the configuration that operators submit, with its defaults
// and checks.
package conf

import (
	"github.com/tanagerspindle/tanagerspindle/pkg/span"
)

// Config is a complete configuration. It is immutable once it is committed.
type Config struct {
	// Number of the configuration. Accepted configurations are numbered from 1, and
	// a submission carries the number that it is to get. Files may omit it; the
	// submission then asks for the next number.
	Number uint64 `protobuf:"varint,1,opt" json:"number"`
	// Workspaces by name: the tenants and their allowances.
	Workspaces map[string]Workspace `protobuf:"bytes,2,rep" json:"workspaces"`
	// API keys by the SHA-256 digest of the key in lower-case hexadecimal. The key
	// itself must not appear in the configuration.
	Keys map[string]Key `protobuf:"bytes,3,rep" json:"keys"`
	// LoRA adapters that may be served, by name.
	Adapters map[string]Adapter `protobuf:"bytes,4,rep" json:"adapters"`
	// Routes by name. A route leads callers to an adapter, to a plain service or to
	// the endpoints of an opaque route.
	Routes map[string]Route `protobuf:"bytes,5,rep" json:"routes"`
	// Weights of the measures of service quality. They are checked and distributed
	// to the daemons, but no decision uses them yet.
	Weights Weights `protobuf:"bytes,6,opt" json:"weights"`
	// Services by name, under which the endpoints of opaque routes announce
	// themselves. Routes of the other kinds need no record here.
	Services map[string]Service `protobuf:"bytes,7,rep" json:"services"`
	// Limits on what a caller of an opaque route may send.
	Limits Limits `protobuf:"bytes,8,opt" json:"limits"`
	// Source is the configuration as its operator sent it, so that it can be read
	// back unchanged. It is empty if the configuration came from a folder, and it
	// is not sent to the daemons.
	Source []byte `protobuf:"bytes,9,opt" json:"-"`
}

// Workspace is a tenant with its allowance and service level.
type Workspace struct {
	// Sustained allowance in tokens per second, prompt and answer together. It must
	// be positive; 1099511627776 (2^40) means unlimited.
	Rate int64 `protobuf:"varint,1,opt" json:"rate"`
	// Allowance that may be used at once, in tokens. It must be positive.
	Burst int64 `protobuf:"varint,2,opt" json:"burst"`
	// Service level objective of the workspace's requests.
	Objective Objective `protobuf:"bytes,3,opt" json:"goal"`
	// Priority of the workspace on opaque routes; 0 is the highest. It takes
	// precedence over the priority of the route.
	Priority int32 `protobuf:"varint,4,opt" json:"rank"`
	// Number of tokens that a request on an opaque route counts if its caller gives
	// no token counts.
	DefaultTokens int64 `protobuf:"varint,5,opt" json:"flat"`
}

// Key assigns a caller's API key to a workspace.
type Key struct {
	// Workspace that requests with this key run for.
	Workspace string `protobuf:"bytes,1,opt" json:"workspace"`
	// Note for operators, such as whose key it is.
	Note string `protobuf:"bytes,2,opt" json:"note"`
}

// Adapter is a LoRA adapter on a base model.
type Adapter struct {
	// Name of the base model.
	Model string `protobuf:"bytes,1,opt" json:"model"`
	// Workspace that owns the adapter. Its keys may request the adapter by name
	// without a route. If empty, the adapter can be reached only through routes.
	Workspace string `protobuf:"bytes,2,opt" json:"workspace"`
	// Versions that exist in the weight store.
	Versions []string `protobuf:"bytes,3,rep" json:"versions"`
	// Version that new requests run on. It must be one of the versions.
	Current string `protobuf:"bytes,4,opt" json:"current"`
}

// Route kinds.
const (
	// RouteModel is a route to an adapter on the model engines.
	RouteModel = "model"
	// RouteService is a route to a plain service.
	RouteService = "service"
	// RouteOpaque is a route to endpoints that entries call directly, with the
	// caller's request forwarded unread.
	RouteOpaque = "opaque"
)

// Route leads callers to an adapter, to a plain service or to the endpoints of an
// opaque route.
type Route struct {
	// Kind of the route: "model" for an adapter on the model engines, "service" for
	// a plain service, or "opaque" for endpoints to which requests are forwarded
	// unread.
	Kind string `protobuf:"bytes,1,opt" json:"kind"`
	// URL path of a service route, starting with "/". It matches itself and all
	// paths below it; the longest match wins. The path of an opaque route must also
	// end with "/" and matches every path that starts with it.
	Path string `protobuf:"bytes,2,opt" json:"path"`
	// HTTP methods that a service route accepts. Empty accepts every method.
	Methods []string `protobuf:"bytes,3,rep" json:"methods"`
	// Name that callers put into "model" to reach a model route.
	Name string `protobuf:"bytes,4,opt" json:"name"`
	// Adapter of a model route.
	Adapter string `protobuf:"bytes,5,opt" json:"adapter"`
	// Service of a service route or an opaque route: the name under which its
	// endpoints announce themselves. For an opaque route it must have a record in
	// services.
	Service string `protobuf:"bytes,6,opt" json:"service"`
	// Workspaces that may use the route. An open route names exactly one workspace,
	// and requests without a key use that workspace's allowance.
	Workspaces []string `protobuf:"bytes,7,rep" json:"workspaces"`
	// Whether requests on the route need no key.
	Open bool `protobuf:"varint,8,opt" json:"open"`
	// Whether a request must run at most once. Only for service routes; completions
	// and reads may be retried.
	AtMostOnce bool `protobuf:"varint,9,opt" json:"once"`
	// How long a repeated request gets the recorded answer, if requests run at most
	// once. At most 744h.
	ReplayWindow span.Duration `protobuf:"varint,10,opt" json:"window"`
	// Number of tokens that one call of a service route counts. Model routes count
	// the tokens of their prompts and answers instead.
	Cost int64 `protobuf:"varint,11,opt" json:"cost"`
	// Service level objective of the route. Missing or zero fields fall back to the
	// workspace's.
	Objective Objective `protobuf:"bytes,12,opt" json:"goal"`
	// Headers, besides Authorization, in which callers may send their keys. Keys
	// are removed from all their locations before a request is forwarded.
	KeyHeader []string `protobuf:"bytes,13,rep" json:"key_header"`
	// Query parameters in which callers may send their keys.
	KeyQuery []string `protobuf:"bytes,14,rep" json:"key_query"`
	// Cookies in which callers may send their keys.
	KeyCookie []string `protobuf:"bytes,15,rep" json:"key_cookie"`
	// Host name of an opaque route.
	Host string `protobuf:"bytes,16,opt" json:"host"`
	// Weights by which the requests of an opaque route are divided over several
	// services, used instead of a single service.
	Split []TrafficShare `protobuf:"bytes,17,rep" json:"split"`
	// Whether the requests of an opaque route are idempotent.
	Idempotent bool `protobuf:"varint,18,opt" json:"repeat"`
	// Whether the answers of an opaque route are event streams.
	Stream bool `protobuf:"varint,19,opt" json:"stream"`
	// Whether an interrupted stream may be resumed at another endpoint after the
	// last event received.
	Resume bool `protobuf:"varint,20,opt" json:"resume"`
	// Maximum number of endpoints that may run one request of an opaque route.
	Attempts int32 `protobuf:"varint,21,opt" json:"attempts"`
	// Maximum time that a caller of an opaque route is kept waiting.
	Timeout span.Duration `protobuf:"varint,22,opt" json:"timeout"`
	// Priority of an opaque route; 0 is the highest.
	Priority int32 `protobuf:"varint,23,opt" json:"rank"`
	// How long callers of an opaque route wait for the first or the next event of a
	// stream before they disconnect. 0 means as long as the route's timeout.
	EventTimeout span.Duration `protobuf:"varint,24,opt" json:"silence"`
	// Maximum share of the requests of an opaque route, over ten seconds, that are
	// sent to a second endpoint because the first one is slow (hedged). 0 sets no limit
	// for the route; its requests are then hedged only if their service has a share.
	// Only for idempotent routes without streams that allow two attempts.
	HedgeShare float64 `protobuf:"fixed64,25,opt" json:"hedge"`
}

// TrafficShare is one service's share of the requests of a split route.
type TrafficShare struct {
	// Name of a record in services.
	Service string `protobuf:"bytes,1,opt" json:"service"`
	// Share relative to the sum of all weights; 0 or more.
	Weight int64 `protobuf:"varint,2,opt" json:"weight"`
}

// Service describes the endpoints that announce themselves under its name, for
// opaque routes.
type Service struct {
	// URL path of the endpoints' health check.
	HealthPath string `protobuf:"bytes,1,opt" json:"health"`
	// Maximum number of connections that an endpoint accepts from all entries
	// together; 0 means no limit.
	MaxConnections int32 `protobuf:"varint,2,opt" json:"conns"`
	// Description of the service's model engines; nil for a plain service.
	Engine *Engine `protobuf:"bytes,3,opt" json:"engine"`
	// Maximum share of the requests for the service, over ten seconds, that are sent to
	// a second endpoint because the first one is slow (hedged). Applies to idempotent
	// routes without streams that allow two attempts. 0 sets no limit for the service;
	// its requests are then hedged only on routes that have a share.
	HedgeShare float64 `protobuf:"fixed64,4,opt" json:"hedge"`
}

// Engine describes the model engines of a service.
type Engine struct {
	// Number of requests that an engine runs concurrently.
	Slots int32 `protobuf:"varint,1,opt" json:"slots"`
	// Number of tokens that fit into an engine's memory.
	MemoryTokens int64 `protobuf:"varint,2,opt" json:"tokens"`
	// Number of adapters that an engine holds at once.
	AdapterSlots int32 `protobuf:"varint,3,opt" json:"places"`
	// Number of whole base models that the weight store can deliver per second.
	LoadsPerSecond float64 `protobuf:"fixed64,4,opt" json:"loads"`
	// Engine memory for weights, in megabytes.
	WeightMemoryMB float64 `protobuf:"fixed64,5,opt" json:"room"`
	// Number of tokens in one event of a stream.
	TokensPerEvent int32 `protobuf:"varint,6,opt" json:"stride"`
	// Base models that the engines may hold.
	Models []Model `protobuf:"bytes,7,rep" json:"models"`
}

// Model is a base model.
type Model struct {
	// Name of the model in requests and in orders to engines.
	Name string `protobuf:"bytes,1,opt" json:"name"`
	// Sizes of the model and of one adapter, in megabytes.
	WeightMB  float64 `protobuf:"fixed64,2,opt" json:"weight"`
	AdapterMB float64 `protobuf:"fixed64,3,opt" json:"adapter"`
	// How long it takes to load the model from the weight store at full speed.
	LoadTime span.Duration `protobuf:"varint,4,opt" json:"load"`
}

// Limits bounds what callers of opaque routes may send. Zero means no limit.
type Limits struct {
	// Maximum sizes of a request's header and body, in bytes.
	MaxHeaderBytes int64 `protobuf:"varint,1,opt" json:"header"`
	MaxBodyBytes   int64 `protobuf:"varint,2,opt" json:"body"`
	// Maximum time for a request's header to arrive.
	HeaderTimeout span.Duration `protobuf:"varint,3,opt" json:"read"`
	// Maximum time that a connection may stay open without a request.
	IdleTimeout span.Duration `protobuf:"varint,4,opt" json:"idle"`
}

// Objective is a service level objective.
type Objective struct {
	// Maximum time to the first token of an answer, or to the answer of a plain
	// service, for a request to count as good.
	FirstToken span.Duration `protobuf:"varint,1,opt" json:"first"`
	// Maximum mean time between two tokens for a request to count as good.
	TokenGap span.Duration `protobuf:"varint,2,opt" json:"gap"`
	// Share of the requests that must be good, at least 0 and below 1.
	Share float64 `protobuf:"fixed64,3,opt" json:"share"`
}

// Weights holds the relative weight of each measure of service quality; a larger
// weight makes the measure count more.
type Weights struct {
	// Weight of the time that requests wait for loads.
	Stalls float64 `protobuf:"fixed64,1,opt" json:"stalls"`
	// Weight of full batches.
	Batch float64 `protobuf:"fixed64,2,opt" json:"batch"`
	// Weight of the worst-served workspace.
	Worst float64 `protobuf:"fixed64,3,opt" json:"worst"`
	// Weight of refusals of requests that are within their workspace's allowance.
	Refused float64 `protobuf:"fixed64,4,opt" json:"refused"`
}
