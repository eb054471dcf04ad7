package advert

// Record is what control knows of one endpoint that announces itself.
type Record struct {
	// Name identifies the endpoint; a process that starts anew mostly has
	// another one.
	Name string `protobuf:"bytes,1,opt" json:"name"`
	// Service is the one that the endpoint belongs to.
	Service string `protobuf:"bytes,2,opt" json:"service"`
	// Address is where the endpoint takes requests, as IP:port.
	Address string `protobuf:"bytes,3,opt" json:"address"`
	// DataCentre is where it stands.
	DataCentre string `protobuf:"bytes,4,opt" json:"data_centre"`
	// Agent is the address of the agent beside it, if there is one.
	Agent string `protobuf:"bytes,5,opt" json:"agent"`
	// Slots is how many requests it runs at once.
	Slots int32 `protobuf:"varint,6,opt" json:"slots"`
	// Draining says that it takes no new requests.
	Draining bool `protobuf:"varint,7,opt" json:"leaving"`
	// Removed says that it has left. Such records are kept so that late
	// announcements do not bring them back.
	Removed bool `protobuf:"varint,8,opt" json:"gone"`
	// StartedMillis is when the process started, in Unix milliseconds by its own clock;
	// of two processes at one address the later one holds it.
	StartedMillis int64 `protobuf:"varint,9,opt" json:"born"`
	// Seq grows with each announcement of one process.
	Seq uint64 `protobuf:"varint,10,opt" json:"seq"`
	// Revision is the count of changes at which the record changed last.
	Revision uint64 `protobuf:"varint,11,opt" json:"revision"`
}

// Check reports the first invalid field.
func (r *Record) Check() error {
	if r.Name == "" || len(r.Name) > maxNameBytes {
		return &Error{Op: "check name", Kind: KindField}
	}
	if r.Removed {
		return nil
	}
	if r.Service == "" || r.Address == "" || r.DataCentre == "" || r.Slots < 0 || r.StartedMillis < 0 {
		return &Error{Op: "check endpoint", Kind: KindField}
	}
	return nil
}

// sameContent reports whether two records of one process say the sameContent.
func (r *Record) sameContent(other *Record) bool {
	return r.Service == other.Service && r.Address == other.Address && r.DataCentre == other.DataCentre &&
		r.Agent == other.Agent && r.Slots == other.Slots && r.Draining == other.Draining && r.StartedMillis == other.StartedMillis
}

// available reports whether new requests may go to the endpoint.
func (r *Record) available() bool { return !r.Draining && !r.Removed }
