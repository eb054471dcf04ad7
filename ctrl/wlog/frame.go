package wlog

import (
	"encoding/binary"
	"hash/crc32"
)

// headerBytes is the size of a record's header: length of the body, CRC-32C of the
// body, CRC-32C of those two fields.
const headerBytes = 12

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame returns a record's body with its header in front.
func encodeFrame(body []byte) []byte {
	framed := make([]byte, headerBytes, headerBytes+len(body))
	binary.LittleEndian.PutUint32(framed[0:], uint32(len(body)))
	binary.LittleEndian.PutUint32(framed[4:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(framed[8:], crc32.Checksum(framed[:8], castagnoli))
	return append(framed, body...)
}

// The results of decodeFrame.
const (
	frameComplete = iota
	// frameTruncated is a record that runs past the end of the file, or one that
	// ends there and whose body has a wrong checksum.
	frameTruncated
	// frameCorrupt is a record with a wrong header checksum, or one that ends
	// before the end of the file and whose body has a wrong checksum.
	frameCorrupt
)

// decodeFrame returns the body of the record at the start of data, which extends to
// the end of the file.
func decodeFrame(data []byte) (body []byte, state int) {
	if len(data) < headerBytes {
		return nil, frameTruncated
	}
	if binary.LittleEndian.Uint32(data[8:]) != crc32.Checksum(data[:8], castagnoli) {
		return nil, frameCorrupt
	}
	end := headerBytes + int(binary.LittleEndian.Uint32(data))
	if end > len(data) {
		return nil, frameTruncated
	}
	body = data[headerBytes:end]
	if crc32.Checksum(body, castagnoli) == binary.LittleEndian.Uint32(data[4:]) {
		return body, frameComplete
	}
	if end == len(data) {
		return nil, frameTruncated
	}
	return nil, frameCorrupt
}

// containsFrame reports whether a complete record starts anywhere in data.
func containsFrame(data []byte) bool {
	for offset := range data {
		if _, state := decodeFrame(data[offset:]); state == frameComplete {
			return true
		}
	}
	return false
}
