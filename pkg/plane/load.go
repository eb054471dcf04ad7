package plane

import "github.com/tanagerspindle/tanagerspindle/pkg/span"

// MethodLoad exchanges one LoadAsk for one LoadReply, at the leader.
const MethodLoad = "load"

// LoadRequest asks whether an engine may load a base model from the weight store.
type LoadRequest struct {
	Agent string `protobuf:"bytes,1,opt"`
	// Service is the one that the engine belongs to.
	Service string `protobuf:"bytes,2,opt"`
}

// Check reports the first invalid field.
func (a *LoadRequest) Check() error {
	if a.Agent == "" || a.Service == "" {
		return &Error{Op: "check load", Kind: KindInvalid}
	}
	return nil
}

// LoadReply answers a LoadAsk.
type LoadReply struct {
	// Wait is when to ask again; zero allows the load now.
	Wait span.Duration `protobuf:"varint,1,opt"`
}
