package wlog

import (
	"encoding/binary"
	"hash/crc32"
)

// headerBytes is the size of a record's header: length of the body, CRC-32C
// of the body, CRC-32C of those two.
const headerBytes = 12

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame puts the header before a record's body.
func frame(body []byte) []byte {
	framed := make([]byte, headerBytes, headerBytes+len(body))
	binary.LittleEndian.PutUint32(framed[0:], uint32(len(body)))
	binary.LittleEndian.PutUint32(framed[4:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(framed[8:], crc32.Checksum(framed[:8], castagnoli))
	return append(framed, body...)
}

// The states of the bytes at an offset.
const (
	frameWhole = iota
	// frameShort is a record that runs past, or in its wrong body up to, the
	// end of the file.
	frameShort
	// frameWrong is a record that ends before the end of the file and is
	// not as written, or a header that is not as written.
	frameWrong
)

// unframe returns the body of the record at the start of data.
func unframe(data []byte) (body []byte, state int) {
	if len(data) < headerBytes {
		return nil, frameShort
	}
	if binary.LittleEndian.Uint32(data[8:]) != crc32.Checksum(data[:8], castagnoli) {
		return nil, frameWrong
	}
	end := headerBytes + int(binary.LittleEndian.Uint32(data))
	if end > len(data) {
		return nil, frameShort
	}
	body = data[headerBytes:end]
	if crc32.Checksum(body, castagnoli) == binary.LittleEndian.Uint32(data[4:]) {
		return body, frameWhole
	}
	if end == len(data) {
		return nil, frameShort
	}
	return nil, frameWrong
}

// recordBehind reports whether a whole record starts anywhere in data.
func recordBehind(data []byte) bool {
	for offset := range data {
		if _, state := unframe(data[offset:]); state == frameWhole {
			return true
		}
	}
	return false
}
