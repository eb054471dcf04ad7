package advert

import "slices"

// Record describes one endpoint that announces itself to control.
type Record struct {
	// Name identifies the endpoint. A restarted process usually has a new name.
	Name string `protobuf:"bytes,1,opt" json:"name"`
	// Service is the service that the endpoint belongs to.
	Service string `protobuf:"bytes,2,opt" json:"service"`
	// Address is where the endpoint accepts requests, as IP:port.
	Address string `protobuf:"bytes,3,opt" json:"address"`
	// DataCentre is the data centre that the endpoint runs in.
	DataCentre string `protobuf:"bytes,4,opt" json:"data_centre"`
	// Agent is the address of the agent beside the endpoint, or empty if there is none.
	Agent string `protobuf:"bytes,5,opt" json:"agent"`
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int32 `protobuf:"varint,6,opt" json:"slots"`
	// Draining means that the endpoint accepts no new requests.
	Draining bool `protobuf:"varint,7,opt" json:"leaving"`
	// Removed marks a tombstone: the endpoint has left. Tombstones are kept so that
	// late announcements do not add the endpoint again.
	Removed bool `protobuf:"varint,8,opt" json:"gone"`
	// StartedMillis is when the process started, in Unix milliseconds by its own
	// clock. Of two processes that announce the same address, the one that started
	// later holds it.
	StartedMillis int64 `protobuf:"varint,9,opt" json:"born"`
	// Seq increases with each announcement of a process.
	Seq uint64 `protobuf:"varint,10,opt" json:"seq"`
	// Revision is the table's revision at which the record last changed.
	Revision uint64 `protobuf:"varint,11,opt" json:"revision"`
	// SoftwareVersion is the version of the process's software, not of its weights; empty
	// if it is unknown. Streams do not go on at a process of another version.
	SoftwareVersion string `protobuf:"bytes,12,opt" json:"software,omitempty"`
	// FormerSoftware are the other versions that processes of this name have announced,
	// oldest first, and FormerRevision is the table's revision at which the last of them was
	// replaced. The table sets both. Streams that were begun under the name may be of any of
	// these versions.
	FormerSoftware []string `protobuf:"bytes,13,rep" json:"former_software,omitempty"`
	FormerRevision uint64   `protobuf:"varint,14,opt" json:"former_revision,omitempty"`
}

// maxFormerSoftware bounds the versions remembered for a name; the oldest are dropped.
// Within the time that streams take, an endpoint is replaced once or twice.
const maxFormerSoftware = 4

// inheritSoftware sets the former versions of a record from the record that it replaces, nil
// if there is none.
func (r *Record) inheritSoftware(former *Record, revision uint64) {
	r.FormerSoftware, r.FormerRevision = nil, 0
	if former == nil {
		return
	}
	r.FormerSoftware, r.FormerRevision = former.FormerSoftware, former.FormerRevision
	if former.SoftwareVersion == r.SoftwareVersion {
		return
	}
	versions := slices.DeleteFunc(slices.Clone(former.FormerSoftware), func(version string) bool {
		return version == r.SoftwareVersion || version == former.SoftwareVersion
	})
	versions = append(versions, former.SoftwareVersion)
	r.FormerSoftware, r.FormerRevision = versions[max(len(versions)-maxFormerSoftware, 0):], revision
}

// Check reports the first invalid field.
func (r *Record) Check() error {
	if r.Name == "" || len(r.Name) > maxNameBytes {
		return &Error{Op: "check name", Kind: KindField}
	}
	if r.Removed {
		return nil
	}
	if len(r.SoftwareVersion) > maxNameBytes {
		return &Error{Op: "check software version", Kind: KindField}
	}
	if r.Service == "" || r.Address == "" || r.DataCentre == "" || r.Slots < 0 || r.StartedMillis < 0 {
		return &Error{Op: "check endpoint", Kind: KindField}
	}
	return nil
}

// sameContent reports whether two records of one process announce the same content.
func (r *Record) sameContent(other *Record) bool {
	return r.Service == other.Service && r.Address == other.Address && r.DataCentre == other.DataCentre &&
		r.Agent == other.Agent && r.Slots == other.Slots && r.Draining == other.Draining && r.StartedMillis == other.StartedMillis &&
		r.SoftwareVersion == other.SoftwareVersion
}

// available reports whether the endpoint accepts new requests.
func (r *Record) available() bool { return !r.Draining && !r.Removed }
