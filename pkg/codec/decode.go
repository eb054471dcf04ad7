package codec

import (
	"fmt"
	"math"
	"reflect"

	"google.golang.org/protobuf/encoding/protowire"
)

// decode sets the fields of the struct value from its encoding.
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
			f := &p.fields[index]
			if err := f.value.decodeField(data[:size], wire, value.Field(f.index)); err != nil {
				return fmt.Errorf("field %d: %w", number, err)
			}
		}
		data = data[size:]
	}
	return nil
}

// decodeField decodes one occurrence of a field; data holds its value without the
// tag. An unpacked element of a packed list is accepted as well.
func (v *valuePlan) decodeField(data []byte, wire protowire.Type, value reflect.Value) error {
	if v.shape == shapePacked && wire == v.element.wire {
		return v.decodeElement(data, wire, value)
	}
	if wire != v.wire {
		return fmt.Errorf("wire type %d, expected %d", wire, v.wire)
	}
	switch v.shape {
	case shapeList:
		return v.decodeElement(data, wire, value)
	case shapePacked:
		return v.decodePacked(data, value)
	case shapeMap:
		return v.decodeMapEntry(data, value)
	}
	return v.decodeValue(data, value)
}

func (v *valuePlan) decodeValue(data []byte, value reflect.Value) error {
	switch v.shape {
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
		encoded, _ := protowire.ConsumeBytes(data)
		return v.plan.decode(encoded, value)
	case shapePointer:
		if value.IsNil() {
			value.Set(reflect.New(value.Type().Elem()))
		}
		return v.element.decodeValue(data, value.Elem())
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

func (v *valuePlan) decodeElement(data []byte, wire protowire.Type, list reflect.Value) error {
	element := reflect.New(list.Type().Elem()).Elem()
	if err := v.element.decodeField(data, wire, element); err != nil {
		return err
	}
	list.Set(reflect.Append(list, element))
	return nil
}

func (v *valuePlan) decodePacked(data []byte, list reflect.Value) error {
	packed, _ := protowire.ConsumeBytes(data)
	for len(packed) > 0 {
		size := protowire.ConsumeFieldValue(1, v.element.wire, packed)
		if size < 0 {
			return protowire.ParseError(size)
		}
		if err := v.decodeElement(packed[:size], v.element.wire, list); err != nil {
			return err
		}
		packed = packed[size:]
	}
	return nil
}

func (v *valuePlan) decodeMapEntry(data []byte, table reflect.Value) error {
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
		if err := v.decodeMapField(number, entry[:size], wire, key, value); err != nil {
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

func (v *valuePlan) decodeMapField(number protowire.Number, data []byte, wire protowire.Type, key, value reflect.Value) error {
	switch number {
	case mapKey:
		return v.key.decodeField(data, wire, key)
	case mapValue:
		return v.element.decodeField(data, wire, value)
	}
	return nil
}
