package codec

import (
	"encoding/binary"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"sync"
)

// The wire types of protobuf.
const (
	wireVarint  = 0
	wireFixed64 = 1
	wireBytes   = 2
	wireFixed32 = 5
)

// unmarshal fills the struct that message points to. The library's own
// decoder is not used: it grows lists through an internal function of the Go
// runtime whose signature has changed, and crashes the process at the eleventh
// element of any list.
func unmarshal(data []byte, message any) error {
	target := reflect.ValueOf(message)
	if target.Kind() != reflect.Pointer || target.IsNil() || target.Elem().Kind() != reflect.Struct {
		return fmt.Errorf("%T is not a pointer to a struct", message)
	}
	return decodeStruct(data, target.Elem())
}

// layouts holds the field numbers of struct types: map[uint64]int by
// reflect.Type.
var layouts sync.Map

// layoutOf returns the index of the struct field for each protobuf number.
func layoutOf(t reflect.Type) map[uint64]int {
	if known, ok := layouts.Load(t); ok {
		return known.(map[uint64]int)
	}
	layout := map[uint64]int{}
	for i := range t.NumField() {
		parts := strings.Split(t.Field(i).Tag.Get("protobuf"), ",")
		if len(parts) < 2 {
			continue
		}
		number, err := strconv.ParseUint(parts[1], 10, 29)
		if err == nil {
			layout[number] = i
		}
	}
	layouts.Store(t, layout)
	return layout
}

func decodeStruct(data []byte, target reflect.Value) error {
	layout := layoutOf(target.Type())
	for len(data) > 0 {
		number, value, rest, err := readField(data)
		if err != nil {
			return err
		}
		data = rest
		index, ok := layout[number]
		if !ok {
			continue
		}
		if err := decodeField(value, target.Field(index)); err != nil {
			return fmt.Errorf("field %d of %s: %w", number, target.Type(), err)
		}
	}
	return nil
}

// wireValue is one value as it is on the wire.
type wireValue struct {
	kind  int
	bits  uint64
	bytes []byte
}

// readField reads one field and returns what follows it.
func readField(data []byte) (number uint64, value wireValue, rest []byte, err error) {
	tag, n := binary.Uvarint(data)
	if n <= 0 {
		return 0, value, nil, fmt.Errorf("bad tag")
	}
	value.kind = int(tag & 7)
	rest, err = value.read(data[n:])
	return tag >> 3, value, rest, err
}

func (v *wireValue) read(data []byte) (rest []byte, err error) {
	switch v.kind {
	case wireVarint:
		bits, n := binary.Uvarint(data)
		if n <= 0 {
			return nil, fmt.Errorf("bad varint")
		}
		v.bits = bits
		return data[n:], nil
	case wireFixed64:
		if len(data) < 8 {
			return nil, fmt.Errorf("short fixed64")
		}
		v.bits = binary.LittleEndian.Uint64(data)
		return data[8:], nil
	case wireFixed32:
		if len(data) < 4 {
			return nil, fmt.Errorf("short fixed32")
		}
		v.bits = uint64(binary.LittleEndian.Uint32(data))
		return data[4:], nil
	case wireBytes:
		size, n := binary.Uvarint(data)
		if n <= 0 || size > uint64(len(data)-n) {
			return nil, fmt.Errorf("bad length")
		}
		v.bytes = data[n : n+int(size)]
		return data[n+int(size):], nil
	}
	return nil, fmt.Errorf("unknown wire type %d", v.kind)
}

// decodeField sets a field, or adds to it when it is a list or map.
func decodeField(value wireValue, target reflect.Value) error {
	switch target.Kind() {
	case reflect.Map:
		return decodeEntry(value, target)
	case reflect.Slice:
		if target.Type().Elem().Kind() != reflect.Uint8 {
			return decodeElement(value, target)
		}
	}
	return decodeValue(value, target)
}

// decodeElement adds to a list one element, or several numbers in one run of
// bytes.
func decodeElement(value wireValue, target reflect.Value) error {
	element := target.Type().Elem()
	if value.kind != wireBytes || !numeric(element.Kind()) {
		return appendValue(value, target)
	}
	for data := value.bytes; len(data) > 0; {
		packed := wireValue{kind: packedKind(element.Kind())}
		rest, err := packed.read(data)
		if err != nil {
			return err
		}
		if err := appendValue(packed, target); err != nil {
			return err
		}
		data = rest
	}
	return nil
}

func appendValue(value wireValue, target reflect.Value) error {
	element := reflect.New(target.Type().Elem()).Elem()
	if err := decodeValue(value, element); err != nil {
		return err
	}
	target.Set(reflect.Append(target, element))
	return nil
}

func numeric(kind reflect.Kind) bool {
	return kind >= reflect.Bool && kind <= reflect.Float64
}

func packedKind(kind reflect.Kind) int {
	switch kind {
	case reflect.Float64:
		return wireFixed64
	case reflect.Float32:
		return wireFixed32
	}
	return wireVarint
}

// decodeEntry adds one entry to a map. The library encodes a map without
// entries as one of no bytes.
func decodeEntry(value wireValue, target reflect.Value) error {
	if value.kind != wireBytes {
		return fmt.Errorf("map entry has wire type %d", value.kind)
	}
	if target.IsNil() {
		target.Set(reflect.MakeMap(target.Type()))
	}
	if len(value.bytes) == 0 {
		return nil
	}
	key := reflect.New(target.Type().Key()).Elem()
	element := reflect.New(target.Type().Elem()).Elem()
	for data := value.bytes; len(data) > 0; {
		number, part, rest, err := readField(data)
		if err != nil {
			return err
		}
		data = rest
		switch number {
		case 1:
			err = decodeField(part, key)
		case 2:
			err = decodeField(part, element)
		}
		if err != nil {
			return err
		}
	}
	target.SetMapIndex(key, element)
	return nil
}

// decodeValue sets one value that is neither a list nor a map.
func decodeValue(value wireValue, target reflect.Value) error {
	switch target.Kind() {
	case reflect.Pointer:
		if target.IsNil() {
			target.Set(reflect.New(target.Type().Elem()))
		}
		return decodeValue(value, target.Elem())
	case reflect.Struct, reflect.String, reflect.Slice:
		if value.kind != wireBytes {
			return fmt.Errorf("%s has wire type %d", target.Type(), value.kind)
		}
		return decodeBytes(value.bytes, target)
	}
	if value.kind == wireBytes {
		return fmt.Errorf("%s has wire type %d", target.Type(), value.kind)
	}
	return decodeNumber(value.bits, target)
}

func decodeBytes(data []byte, target reflect.Value) error {
	switch target.Kind() {
	case reflect.Struct:
		return decodeStruct(data, target)
	case reflect.String:
		target.SetString(string(data))
		return nil
	}
	if target.Type().Elem().Kind() != reflect.Uint8 {
		return fmt.Errorf("%s inside a list", target.Type())
	}
	target.SetBytes(append([]byte{}, data...))
	return nil
}

func decodeNumber(bits uint64, target reflect.Value) error {
	switch target.Kind() {
	case reflect.Bool:
		target.SetBool(bits != 0)
	case reflect.Int, reflect.Int64:
		target.SetInt(int64(bits))
	case reflect.Int32:
		target.SetInt(int64(int32(bits)))
	case reflect.Uint, reflect.Uint64:
		target.SetUint(bits)
	case reflect.Uint32:
		target.SetUint(uint64(uint32(bits)))
	case reflect.Float64:
		target.SetFloat(math.Float64frombits(bits))
	case reflect.Float32:
		target.SetFloat(float64(math.Float32frombits(uint32(bits))))
	default:
		return fmt.Errorf("%s cannot be decoded", target.Type())
	}
	return nil
}
