package wlog

import (
	"encoding/binary"
	"hash/crc32"
)

// headerBytes is the size of a record's header: length of the body, CRC-32C
// of the body, CRC-32C of those two.
const headerBytes = 12

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame puts the header before a record's body.
func encodeFrame(body []byte) []byte {
	framed := make([]byte, headerBytes, headerBytes+len(body))
	binary.LittleEndian.PutUint32(framed[0:], uint32(len(body)))
	binary.LittleEndian.PutUint32(framed[4:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(framed[8:], crc32.Checksum(framed[:8], castagnoli))
	return append(framed, body...)
}

// The states of the bytes at an offset.
const (
	frameComplete = iota
	// frameTruncated is a record that runs past, or in its wrong body up to, the
	// end of the file.
	frameTruncated
	// frameCorrupt is a record that ends before the end of the file and is
	// not as written, or a header that is not as written.
	frameCorrupt
)

// decodeFrame returns the body of the record at the start of data.
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

// containsFrame reports whether a whole record starts anywhere in data.
func containsFrame(data []byte) bool {
	for offset := range data {
		if _, state := decodeFrame(data[offset:]); state == frameComplete {
			return true
		}
	}
	return false
}
