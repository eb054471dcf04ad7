package node

import (
	"encoding/binary"

	"github.com/tanagerspindle/tanagerspindle/pkg/codec"

	"github.com/tanagerspindle/tanagerspindle/ctrl/raft"
)

// batch is a message of the stream between two replicas: parcels, each behind
// its length.
type batch struct {
	Packed []byte `protobuf:"bytes,1,opt"`
}

// parcel is one message of the core. Its entries are taken out and packed;
// raft.Pack says why.
type parcel struct {
	Message raft.Message `protobuf:"bytes,1,opt"`
	Entries []byte       `protobuf:"bytes,2,opt"`
}

func pack(messages []raft.Message) ([]byte, error) {
	var packed []byte
	for _, m := range messages {
		entries, err := raft.Pack(m.Entries)
		if err != nil {
			return nil, err
		}
		m.Entries = nil
		body, err := codec.Encode(&parcel{Message: m, Entries: entries})
		if err != nil {
			return nil, err
		}
		packed = binary.AppendUvarint(packed, uint64(len(body)))
		packed = append(packed, body...)
	}
	return packed, nil
}

// unpack returns the messages of a batch, each checked.
func unpack(packed []byte) ([]*raft.Message, error) {
	var messages []*raft.Message
	for len(packed) > 0 {
		size, width := binary.Uvarint(packed)
		if width <= 0 || size > uint64(len(packed)-width) {
			return nil, &raft.Error{Op: "unpack batch", Kind: raft.KindInvalid}
		}
		var next parcel
		if err := codec.Decode(packed[width:width+int(size)], &next); err != nil {
			return nil, err
		}
		entries, err := raft.Unpack(next.Entries)
		if err != nil {
			return nil, err
		}
		next.Message.Entries = entries
		if err := next.Message.Check(); err != nil {
			return nil, err
		}
		messages = append(messages, &next.Message)
		packed = packed[width+int(size):]
	}
	return messages, nil
}
