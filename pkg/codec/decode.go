package codec

import (
	"fmt"
	"math"
	"reflect"

	"google.golang.org/protobuf/encoding/protowire"
)

func (p *plan) decode(data []byte, value reflect.Value) error {
	for len(data) > 0 {
		number, wire, size := protowire.ConsumeTag(data)
		if size < 0 {
			return protowire.ParseError(size)
		}
		data = data[size:]
		size = protowire.ConsumeFieldValue(number, wire, data)
		if size < 0 {
			return protowire.ParseError(size)
		}
		index, known := p.byNumber[number]
		if known {
			part := &p.fields[index]
			if err := part.item.decodeField(data[:size], wire, value.Field(part.index)); err != nil {
				return fmt.Errorf("field %d: %w", number, err)
			}
		}
		data = data[size:]
	}
	return nil
}

// decodeField reads one occurrence of a field; data is exactly its value.
func (i *item) decodeField(data []byte, wire protowire.Type, value reflect.Value) error {
	if i.shape == shapePacked && wire == i.element.wire {
		return i.decodeElement(data, wire, value)
	}
	if wire != i.wire {
		return fmt.Errorf("wire type %d instead of %d", wire, i.wire)
	}
	switch i.shape {
	case shapeList:
		return i.decodeElement(data, wire, value)
	case shapePacked:
		return i.decodePacked(data, value)
	case shapeMap:
		return i.decodeEntry(data, value)
	}
	return i.decodeValue(data, value)
}

func (i *item) decodeValue(data []byte, value reflect.Value) error {
	switch i.shape {
	case shapeBool:
		number, _ := protowire.ConsumeVarint(data)
		value.SetBool(number != 0)
	case shapeInt:
		return setInt(data, value)
	case shapeUint:
		return setUint(data, value)
	case shapeFloat:
		bits, _ := protowire.ConsumeFixed64(data)
		value.SetFloat(math.Float64frombits(bits))
	case shapeString:
		text, _ := protowire.ConsumeBytes(data)
		value.SetString(string(text))
	case shapeBytes:
		bytes, _ := protowire.ConsumeBytes(data)
		value.SetBytes(append([]byte(nil), bytes...))
	case shapeStruct:
		nested, _ := protowire.ConsumeBytes(data)
		return i.plan.decode(nested, value)
	case shapePointer:
		if value.IsNil() {
			value.Set(reflect.New(value.Type().Elem()))
		}
		return i.element.decodeValue(data, value.Elem())
	}
	return nil
}

func setInt(data []byte, value reflect.Value) error {
	number, _ := protowire.ConsumeVarint(data)
	if value.OverflowInt(int64(number)) {
		return fmt.Errorf("number %d does not fit %s", int64(number), value.Type())
	}
	value.SetInt(int64(number))
	return nil
}

func setUint(data []byte, value reflect.Value) error {
	number, _ := protowire.ConsumeVarint(data)
	if value.OverflowUint(number) {
		return fmt.Errorf("number %d does not fit %s", number, value.Type())
	}
	value.SetUint(number)
	return nil
}

func (i *item) decodeElement(data []byte, wire protowire.Type, list reflect.Value) error {
	element := reflect.New(list.Type().Elem()).Elem()
	if err := i.element.decodeField(data, wire, element); err != nil {
		return err
	}
	list.Set(reflect.Append(list, element))
	return nil
}

func (i *item) decodePacked(data []byte, list reflect.Value) error {
	packed, _ := protowire.ConsumeBytes(data)
	for len(packed) > 0 {
		size := protowire.ConsumeFieldValue(1, i.element.wire, packed)
		if size < 0 {
			return protowire.ParseError(size)
		}
		if err := i.decodeElement(packed[:size], i.element.wire, list); err != nil {
			return err
		}
		packed = packed[size:]
	}
	return nil
}

func (i *item) decodeEntry(data []byte, table reflect.Value) error {
	entry, _ := protowire.ConsumeBytes(data)
	key := reflect.New(table.Type().Key()).Elem()
	value := reflect.New(table.Type().Elem()).Elem()
	for len(entry) > 0 {
		number, wire, size := protowire.ConsumeTag(entry)
		if size < 0 {
			return protowire.ParseError(size)
		}
		entry = entry[size:]
		size = protowire.ConsumeFieldValue(number, wire, entry)
		if size < 0 {
			return protowire.ParseError(size)
		}
		if err := i.decodeHalf(number, entry[:size], wire, key, value); err != nil {
			return err
		}
		entry = entry[size:]
	}
	if table.IsNil() {
		table.Set(reflect.MakeMap(table.Type()))
	}
	table.SetMapIndex(key, value)
	return nil
}

func (i *item) decodeHalf(number protowire.Number, data []byte, wire protowire.Type, key, value reflect.Value) error {
	switch number {
	case mapKey:
		return i.key.decodeField(data, wire, key)
	case mapValue:
		return i.element.decodeField(data, wire, value)
	}
	return nil
}
