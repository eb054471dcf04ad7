package codec

import (
	"math"
	"reflect"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"
)

// append appends the fields of a struct that are not zero.
func (p *plan) append(out []byte, value reflect.Value) []byte {
	for index := range p.fields {
		f := &p.fields[index]
		out = f.value.appendField(out, f.number, value.Field(f.index))
	}
	return out
}

func (v *valuePlan) appendField(out []byte, number protowire.Number, value reflect.Value) []byte {
	if value.IsZero() {
		return out
	}
	switch v.shape {
	case shapeList:
		for index := range value.Len() {
			out = protowire.AppendTag(out, number, v.element.wire)
			out = v.element.appendValue(out, value.Index(index))
		}
		return out
	case shapePacked:
		return v.appendPacked(out, number, value)
	case shapeMap:
		return v.appendMap(out, number, value)
	}
	if v.shape == shapeBytes && value.Len() == 0 {
		return out
	}
	out = protowire.AppendTag(out, number, v.wire)
	return v.appendValue(out, value)
}

// appendValue appends one value without its tag, even if it is zero.
func (v *valuePlan) appendValue(out []byte, value reflect.Value) []byte {
	switch v.shape {
	case shapeBool:
		return protowire.AppendVarint(out, protowire.EncodeBool(value.Bool()))
	case shapeInt:
		return protowire.AppendVarint(out, uint64(value.Int()))
	case shapeUint:
		return protowire.AppendVarint(out, value.Uint())
	case shapeFloat:
		return protowire.AppendFixed64(out, math.Float64bits(value.Float()))
	case shapeString:
		return protowire.AppendString(out, value.String())
	case shapeBytes:
		return protowire.AppendBytes(out, value.Bytes())
	case shapeStruct:
		return appendLengthPrefixed(out, func(out []byte) []byte { return v.plan.append(out, value) })
	case shapePointer:
		if value.IsNil() {
			return protowire.AppendVarint(out, 0)
		}
		return v.element.appendValue(out, value.Elem())
	}
	return out
}

func (v *valuePlan) appendPacked(out []byte, number protowire.Number, value reflect.Value) []byte {
	if value.Len() == 0 {
		return out
	}
	out = protowire.AppendTag(out, number, protowire.BytesType)
	return appendLengthPrefixed(out, func(out []byte) []byte {
		for index := range value.Len() {
			out = v.element.appendValue(out, value.Index(index))
		}
		return out
	})
}

func (v *valuePlan) appendMap(out []byte, number protowire.Number, value reflect.Value) []byte {
	keys := value.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
	for _, key := range keys {
		out = protowire.AppendTag(out, number, protowire.BytesType)
		out = appendLengthPrefixed(out, func(out []byte) []byte {
			out = protowire.AppendTag(out, mapKey, v.key.wire)
			out = v.key.appendValue(out, key)
			out = protowire.AppendTag(out, mapValue, v.element.wire)
			return v.element.appendValue(out, value.MapIndex(key))
		})
	}
	return out
}

// appendLengthPrefixed calls add and inserts the length of the bytes that add
// appended in front of them. It reserves one byte for the length, since most values
// are short, and moves longer values.
func appendLengthPrefixed(out []byte, add func([]byte) []byte) []byte {
	start := len(out)
	out = add(append(out, 0))
	length := len(out) - start - 1
	extra := protowire.SizeVarint(uint64(length)) - 1
	if extra > 0 {
		out = append(out, make([]byte, extra)...)
		copy(out[start+1+extra:], out[start+1:start+1+length])
	}
	protowire.AppendVarint(out[:start], uint64(length))
	return out
}
