package plane

import (
	"fmt"
	"net"
)

// MethodLocate exchanges a LocateRequest for a LocateReply. Every control process serves it, also
// one without a replica.
const MethodLocate = "locate"

const (
	// maxReplicas bounds ReplicaList.Addresses. A group has at most ten members.
	maxReplicas = 32
	// maxAddressBytes bounds one address.
	maxAddressBytes = 64
)

// ReplicaList holds the addresses of the voting replicas.
type ReplicaList struct {
	Addresses []string `protobuf:"bytes,1,rep"`
	// Index is that of the log entry that set the membership: of two lists, the one with the
	// higher index is newer. It is 0 if no replica is known.
	Index uint64 `protobuf:"varint,2,opt"`
}

// Check reports the first invalid field.
func (l *ReplicaList) Check() error {
	if len(l.Addresses) > maxReplicas || l.Index == 0 && len(l.Addresses) > 0 {
		return &Error{Op: "check replica list", Kind: KindInvalid}
	}
	for _, address := range l.Addresses {
		if len(address) > maxAddressBytes {
			return &Error{Op: "check replica list", Kind: KindInvalid, Err: fmt.Errorf("address of %d bytes", len(address))}
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return &Error{Op: "check replica list", Kind: KindInvalid, Err: err}
		}
	}
	return nil
}

// LocateRequest asks a control process for the replicas.
type LocateRequest struct {
	// Known are the replicas that the sender knows.
	Known ReplicaList `protobuf:"bytes,1,opt"`
}

// Check reports the first invalid field.
func (r *LocateRequest) Check() error { return r.Known.Check() }

// LocateReply answers a LocateRequest.
type LocateReply struct {
	// Known are the replicas that the process knows, after it has seen the request.
	Known ReplicaList `protobuf:"bytes,1,opt"`
	// Serves means that the process runs a replica that belongs to the group, to the best of
	// its knowledge.
	Serves bool `protobuf:"varint,2,opt"`
}

// Check reports the first invalid field.
func (r *LocateReply) Check() error { return r.Known.Check() }
