package codec

import (
	"math"
	"reflect"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"
)

// append adds a struct's fields that are not zero.
func (p *plan) append(out []byte, value reflect.Value) []byte {
	for index := range p.fields {
		part := &p.fields[index]
		out = part.item.appendField(out, part.number, value.Field(part.index))
	}
	return out
}

func (i *item) appendField(out []byte, number protowire.Number, value reflect.Value) []byte {
	if value.IsZero() {
		return out
	}
	switch i.shape {
	case shapeList:
		for index := range value.Len() {
			out = protowire.AppendTag(out, number, i.element.wire)
			out = i.element.appendValue(out, value.Index(index))
		}
		return out
	case shapePacked:
		return i.appendPacked(out, number, value)
	case shapeMap:
		return i.appendMap(out, number, value)
	}
	if i.shape == shapeBytes && value.Len() == 0 {
		return out
	}
	out = protowire.AppendTag(out, number, i.wire)
	return i.appendValue(out, value)
}

// appendValue adds one value without its tag, also when it is zero.
func (i *item) appendValue(out []byte, value reflect.Value) []byte {
	switch i.shape {
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
		return prefixed(out, func(out []byte) []byte { return i.plan.append(out, value) })
	case shapePointer:
		if value.IsNil() {
			return protowire.AppendVarint(out, 0)
		}
		return i.element.appendValue(out, value.Elem())
	}
	return out
}

func (i *item) appendPacked(out []byte, number protowire.Number, value reflect.Value) []byte {
	if value.Len() == 0 {
		return out
	}
	out = protowire.AppendTag(out, number, protowire.BytesType)
	return prefixed(out, func(out []byte) []byte {
		for index := range value.Len() {
			out = i.element.appendValue(out, value.Index(index))
		}
		return out
	})
}

func (i *item) appendMap(out []byte, number protowire.Number, value reflect.Value) []byte {
	keys := value.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(a.String(), b.String()) })
	for _, key := range keys {
		out = protowire.AppendTag(out, number, protowire.BytesType)
		out = prefixed(out, func(out []byte) []byte {
			out = protowire.AppendTag(out, mapKey, i.key.wire)
			out = i.key.appendValue(out, key)
			out = protowire.AppendTag(out, mapValue, i.element.wire)
			return i.element.appendValue(out, value.MapIndex(key))
		})
	}
	return out
}

// prefixed puts the length of what add appends in front of it. One byte is
// reserved, as most values are short; longer ones are moved.
func prefixed(out []byte, add func([]byte) []byte) []byte {
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
