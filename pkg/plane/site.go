package plane

import (
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
)

// MethodForward exchanges a ForwardRequest for a ForwardReply, at any replica.
const MethodForward = "site"

// ForwardRequest carries one call of an operator or of an endpoint to a replica. One
// of its fields is set; a request without any field set reads the configuration.
type ForwardRequest struct {
	// Config is a configuration to put in force.
	Config *conf.Config `protobuf:"bytes,1,opt"`
	// Announcement is the announcement of an endpoint.
	Announcement *advert.Record `protobuf:"bytes,2,opt"`
	// DepartedEndpoint is the name of an endpoint that has left, and
	// DepartedStartMillis the start time of its process, or 0 if that is unknown.
	DepartedEndpoint    string `protobuf:"bytes,3,opt"`
	DepartedStartMillis int64  `protobuf:"varint,4,opt"`
	// Release is a new release of an adapter.
	Release *Release `protobuf:"bytes,5,opt"`
}

// ForwardReply answers a ForwardRequest.
type ForwardReply struct {
	// Refused is KindNone after success, KindInvalid if the call can never be
	// accepted, and another kind if the call may be sent again.
	Refused Kind   `protobuf:"bytes,1,opt"`
	Detail  string `protobuf:"bytes,2,opt"`
	// ConfigNumber is the number of the newest configuration. Config is that
	// configuration if the request reads it.
	ConfigNumber uint64       `protobuf:"varint,3,opt"`
	Config       *conf.Config `protobuf:"bytes,4,opt"`
}
