package raft

import (
	"encoding/binary"

	"github.com/tanagerspindle/tanagerspindle/pkg/codec"
)

// Pack encodes entries one after the other, each behind its length.
//
// A repeated protobuf field would be the usual form, but the library's
// decoder passes wrong arguments to the runtime when it grows a slice and
// crashes the process at the eleventh element.
func Pack(entries []Entry) ([]byte, error) {
	var packed []byte
	for i := range entries {
		body, err := codec.Encode(&entries[i])
		if err != nil {
			return nil, err
		}
		packed = binary.AppendUvarint(packed, uint64(len(body)))
		packed = append(packed, body...)
	}
	return packed, nil
}

// Unpack decodes what Pack made.
func Unpack(packed []byte) ([]Entry, error) {
	var entries []Entry
	for len(packed) > 0 {
		size, width := binary.Uvarint(packed)
		if width <= 0 || size > uint64(len(packed)-width) {
			return nil, &Error{Op: "unpack entries", Kind: KindInvalid}
		}
		var entry Entry
		if err := codec.Decode(packed[width:width+int(size)], &entry); err != nil {
			return nil, err
		}
		entries = append(entries, entry)
		packed = packed[width+int(size):]
	}
	return entries, nil
}
