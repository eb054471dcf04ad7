package plane

import (
	"github.com/tanagerspindle/tanagerspindle/pkg/advert"
	"github.com/tanagerspindle/tanagerspindle/pkg/conf"
)

// MethodSite exchanges one SiteAsk for one SiteReply, at any replica.
const MethodSite = "site"

// SiteRequest carries one call of an operator or an endpoint to a replica. One of
// its fields is set; none asks for the configuration.
type SiteRequest struct {
	// Config is a configuration to be put in force.
	Config *conf.Config `protobuf:"bytes,1,opt"`
	// Announcement is an announcement of an endpoint.
	Announcement *advert.Record `protobuf:"bytes,2,opt"`
	// DepartedEndpoint names an endpoint that has left, and Born the process.
	DepartedEndpoint    string `protobuf:"bytes,3,opt"`
	DepartedStartMillis int64  `protobuf:"varint,4,opt"`
	// Release names a version of an adapter.
	Release *Release `protobuf:"bytes,5,opt"`
}

// SiteReply answers a SiteAsk.
type SiteReply struct {
	// Refused is KindInvalid when the call can never be accepted, and any other
	// kind when it may be sent again.
	Refused Kind   `protobuf:"bytes,1,opt"`
	Detail  string `protobuf:"bytes,2,opt"`
	// ConfigNumber is the newest configuration's, Config the configuration itself
	// where it was asked for.
	ConfigNumber uint64       `protobuf:"varint,3,opt"`
	Config       *conf.Config `protobuf:"bytes,4,opt"`
}
