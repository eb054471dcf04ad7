package plane

import "github.com/tanagerspindle/tanagerspindle/pkg/span"

// MethodLoad exchanges a LoadRequest for a LoadReply, at the leader.
const MethodLoad = "load"

// LoadRequest asks whether an engine may load a base model from the weight store.
type LoadRequest struct {
	Agent string `protobuf:"bytes,1,opt"`
	// Service is the service that the engine belongs to.
	Service string `protobuf:"bytes,2,opt"`
}

// Check reports the first invalid field.
func (r *LoadRequest) Check() error {
	if r.Agent == "" || r.Service == "" {
		return &Error{Op: "check load", Kind: KindInvalid}
	}
	return nil
}

// LoadReply answers a LoadRequest.
type LoadReply struct {
	// Wait is the delay after which to ask again; zero allows the load now.
	Wait span.Duration `protobuf:"varint,1,opt"`
}
