package codec

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
)

// shape is how a field's value stands on the wire.
type shape int

const (
	shapeBool shape = iota
	shapeInt
	shapeUint
	shapeFloat
	shapeString
	shapeBytes
	shapeStruct
	shapePointer
	shapeList
	shapePacked
	shapeMap
)

// Field numbers of a map entry.
const (
	mapKey   protowire.Number = 1
	mapValue protowire.Number = 2
)

// field is one field of a struct.
type field struct {
	index  int
	number protowire.Number
	item   *item
}

// item is one value: a field's, a list's element or a map's key or value.
type item struct {
	shape shape
	wire  protowire.Type
	// element belongs to lists, pointers and map values; key to maps.
	element, key *item
	// plan belongs to structs. It is filled after the item is made, so that
	// types may contain themselves through lists.
	plan *plan
}

// plan says how to encode and decode one struct type.
type plan struct {
	fields []field
	// byNumber finds a field's place in fields.
	byNumber map[protowire.Number]int
}

// plans holds the finished plan of each type seen.
var plans sync.Map

func planOf(t reflect.Type) (*plan, error) {
	if known, ok := plans.Load(t); ok {
		return known.(*plan), nil
	}
	made, err := makePlan(t, map[reflect.Type]*plan{})
	if err != nil {
		return nil, &Error{Op: "plan " + t.String(), Kind: KindType, Err: err}
	}
	plans.Store(t, made)
	return made, nil
}

func makePlan(t reflect.Type, open map[reflect.Type]*plan) (*plan, error) {
	if known, ok := open[t]; ok {
		return known, nil
	}
	made := &plan{byNumber: map[protowire.Number]int{}}
	open[t] = made
	for index := range t.NumField() {
		part := t.Field(index)
		tag, ok := part.Tag.Lookup("protobuf")
		if !ok {
			if part.IsExported() {
				return nil, fmt.Errorf("field %s has no protobuf tag", part.Name)
			}
			continue
		}
		number, err := numberOf(tag)
		if err != nil {
			return nil, fmt.Errorf("field %s: %w", part.Name, err)
		}
		if _, taken := made.byNumber[number]; taken {
			return nil, fmt.Errorf("field %s repeats number %d", part.Name, number)
		}
		shaped, err := itemOf(part.Type, open)
		if err != nil {
			return nil, fmt.Errorf("field %s: %w", part.Name, err)
		}
		made.byNumber[number] = len(made.fields)
		made.fields = append(made.fields, field{index: index, number: number, item: shaped})
	}
	return made, nil
}

// numberOf reads the field number from a tag such as "varint,1,opt".
func numberOf(tag string) (protowire.Number, error) {
	parts := strings.Split(tag, ",")
	if len(parts) < 2 {
		return 0, fmt.Errorf("tag %q has no number", tag)
	}
	number, err := strconv.Atoi(parts[1])
	if err != nil || !protowire.Number(number).IsValid() {
		return 0, fmt.Errorf("tag %q has no valid number", tag)
	}
	return protowire.Number(number), nil
}

func itemOf(t reflect.Type, open map[reflect.Type]*plan) (*item, error) {
	switch t.Kind() {
	case reflect.Bool:
		return &item{shape: shapeBool, wire: protowire.VarintType}, nil
	case reflect.Int, reflect.Int32, reflect.Int64:
		return &item{shape: shapeInt, wire: protowire.VarintType}, nil
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		return &item{shape: shapeUint, wire: protowire.VarintType}, nil
	case reflect.Float64:
		return &item{shape: shapeFloat, wire: protowire.Fixed64Type}, nil
	case reflect.String:
		return &item{shape: shapeString, wire: protowire.BytesType}, nil
	case reflect.Struct:
		nested, err := makePlan(t, open)
		return &item{shape: shapeStruct, wire: protowire.BytesType, plan: nested}, err
	case reflect.Pointer:
		return pointerOf(t, open)
	case reflect.Slice:
		return listOf(t, open)
	case reflect.Map:
		return mapOf(t, open)
	}
	return nil, fmt.Errorf("type %s has no protobuf form here", t)
}

func pointerOf(t reflect.Type, open map[reflect.Type]*plan) (*item, error) {
	if t.Elem().Kind() != reflect.Struct {
		return nil, fmt.Errorf("pointer to %s has no protobuf form here", t.Elem())
	}
	element, err := itemOf(t.Elem(), open)
	return &item{shape: shapePointer, wire: protowire.BytesType, element: element}, err
}

func listOf(t reflect.Type, open map[reflect.Type]*plan) (*item, error) {
	if t.Elem().Kind() == reflect.Uint8 {
		return &item{shape: shapeBytes, wire: protowire.BytesType}, nil
	}
	element, err := itemOf(t.Elem(), open)
	if err != nil {
		return nil, err
	}
	if element.shape >= shapeList {
		return nil, fmt.Errorf("list of %s has no protobuf form here", t.Elem())
	}
	if element.wire != protowire.BytesType {
		return &item{shape: shapePacked, wire: protowire.BytesType, element: element}, nil
	}
	return &item{shape: shapeList, wire: protowire.BytesType, element: element}, nil
}

func mapOf(t reflect.Type, open map[reflect.Type]*plan) (*item, error) {
	if t.Key().Kind() != reflect.String {
		return nil, fmt.Errorf("map with key %s has no protobuf form here", t.Key())
	}
	element, err := itemOf(t.Elem(), open)
	if err != nil {
		return nil, err
	}
	if element.shape >= shapeList {
		return nil, fmt.Errorf("map of %s has no protobuf form here", t.Elem())
	}
	key := &item{shape: shapeString, wire: protowire.BytesType}
	return &item{shape: shapeMap, wire: protowire.BytesType, element: element, key: key}, nil
}
