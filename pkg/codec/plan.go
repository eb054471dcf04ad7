package codec

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
)

// shape is the way in which a value is encoded.
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

// field describes how one field of a struct is encoded.
type field struct {
	index  int
	number protowire.Number
	value  *valuePlan
}

// valuePlan describes how a value is encoded: a field, an element of a list or a key
// or value of a map.
type valuePlan struct {
	shape shape
	wire  protowire.Type
	// element is set for lists, pointers and maps; key is set for maps.
	element, key *valuePlan
	// plan is set for structs. It may be completed after the valuePlan was made,
	// so that types may contain themselves through lists.
	plan *plan
}

// plan describes how one struct type is encoded.
type plan struct {
	fields []field
	// byNumber is the index in fields by field number.
	byNumber map[protowire.Number]int
}

// plans caches the complete plan of each type, by reflect.Type.
var plans sync.Map

func planOf(t reflect.Type) (*plan, error) {
	if known, ok := plans.Load(t); ok {
		return known.(*plan), nil
	}
	p, err := makePlan(t, map[reflect.Type]*plan{})
	if err != nil {
		return nil, &Error{Op: "plan " + t.String(), Kind: KindType, Err: err}
	}
	plans.Store(t, p)
	return p, nil
}

// makePlan returns the plan of a struct type. inProgress holds the plans of the types
// reached so far, complete or not.
func makePlan(t reflect.Type, inProgress map[reflect.Type]*plan) (*plan, error) {
	if known, ok := inProgress[t]; ok {
		return known, nil
	}
	p := &plan{byNumber: map[protowire.Number]int{}}
	inProgress[t] = p
	for index := range t.NumField() {
		f := t.Field(index)
		tag, ok := f.Tag.Lookup("protobuf")
		if !ok {
			if f.IsExported() {
				return nil, fmt.Errorf("field %s has no protobuf tag", f.Name)
			}
			continue
		}
		number, err := numberOf(tag)
		if err != nil {
			return nil, fmt.Errorf("field %s: %w", f.Name, err)
		}
		if _, taken := p.byNumber[number]; taken {
			return nil, fmt.Errorf("field %s has the number %d of another field", f.Name, number)
		}
		value, err := valuePlanOf(f.Type, inProgress)
		if err != nil {
			return nil, fmt.Errorf("field %s: %w", f.Name, err)
		}
		p.byNumber[number] = len(p.fields)
		p.fields = append(p.fields, field{index: index, number: number, value: value})
	}
	return p, nil
}

// numberOf returns the field number in a tag such as "varint,1,opt".
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

func valuePlanOf(t reflect.Type, inProgress map[reflect.Type]*plan) (*valuePlan, error) {
	switch t.Kind() {
	case reflect.Bool:
		return &valuePlan{shape: shapeBool, wire: protowire.VarintType}, nil
	case reflect.Int, reflect.Int32, reflect.Int64:
		return &valuePlan{shape: shapeInt, wire: protowire.VarintType}, nil
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		return &valuePlan{shape: shapeUint, wire: protowire.VarintType}, nil
	case reflect.Float64:
		return &valuePlan{shape: shapeFloat, wire: protowire.Fixed64Type}, nil
	case reflect.String:
		return &valuePlan{shape: shapeString, wire: protowire.BytesType}, nil
	case reflect.Struct:
		nested, err := makePlan(t, inProgress)
		return &valuePlan{shape: shapeStruct, wire: protowire.BytesType, plan: nested}, err
	case reflect.Pointer:
		return pointerPlan(t, inProgress)
	case reflect.Slice:
		return listPlan(t, inProgress)
	case reflect.Map:
		return mapPlan(t, inProgress)
	}
	return nil, fmt.Errorf("type %s is not supported", t)
}

func pointerPlan(t reflect.Type, inProgress map[reflect.Type]*plan) (*valuePlan, error) {
	if t.Elem().Kind() != reflect.Struct {
		return nil, fmt.Errorf("pointer to %s is not supported", t.Elem())
	}
	element, err := valuePlanOf(t.Elem(), inProgress)
	return &valuePlan{shape: shapePointer, wire: protowire.BytesType, element: element}, err
}

func listPlan(t reflect.Type, inProgress map[reflect.Type]*plan) (*valuePlan, error) {
	if t.Elem().Kind() == reflect.Uint8 {
		return &valuePlan{shape: shapeBytes, wire: protowire.BytesType}, nil
	}
	element, err := valuePlanOf(t.Elem(), inProgress)
	if err != nil {
		return nil, err
	}
	if element.shape >= shapeList {
		return nil, fmt.Errorf("list of %s is not supported", t.Elem())
	}
	if element.wire != protowire.BytesType {
		return &valuePlan{shape: shapePacked, wire: protowire.BytesType, element: element}, nil
	}
	return &valuePlan{shape: shapeList, wire: protowire.BytesType, element: element}, nil
}

func mapPlan(t reflect.Type, inProgress map[reflect.Type]*plan) (*valuePlan, error) {
	if t.Key().Kind() != reflect.String {
		return nil, fmt.Errorf("map with key type %s is not supported", t.Key())
	}
	element, err := valuePlanOf(t.Elem(), inProgress)
	if err != nil {
		return nil, err
	}
	if element.shape >= shapeList {
		return nil, fmt.Errorf("map of %s is not supported", t.Elem())
	}
	key := &valuePlan{shape: shapeString, wire: protowire.BytesType}
	return &valuePlan{shape: shapeMap, wire: protowire.BytesType, element: element, key: key}, nil
}
