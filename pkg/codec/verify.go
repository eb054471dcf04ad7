package codec

import (
	"fmt"
	"reflect"
	"sync"
)

// verified holds the types that verify has accepted.
var verified sync.Map

// verify refuses a struct whose first non-repeated field is a bool. The
// protobuf library encodes the first such field of a nested struct also when
// it is zero, and writes a false bool there as true.
func verify(t reflect.Type) error {
	if _, ok := verified.Load(t); ok {
		return nil
	}
	if err := verifyType(t, map[reflect.Type]bool{}); err != nil {
		return err
	}
	verified.Store(t, true)
	return nil
}

func verifyType(t reflect.Type, seen map[reflect.Type]bool) error {
	if seen[t] {
		return nil
	}
	seen[t] = true
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		return verifyType(t.Elem(), seen)
	case reflect.Struct:
		return verifyStruct(t, seen)
	}
	return nil
}

func verifyStruct(t reflect.Type, seen map[reflect.Type]bool) error {
	leading := true
	for field := range t.Fields() {
		if !field.IsExported() {
			continue
		}
		kind := field.Type.Kind()
		if leading && kind == reflect.Bool {
			return &Error{Op: "verify " + t.String(), Kind: KindEncode, Err: fmt.Errorf("first field %s is a bool", field.Name)}
		}
		if !repeated(field.Type) && kind != reflect.Pointer && kind != reflect.Struct {
			leading = false
		}
		if err := verifyType(field.Type, seen); err != nil {
			return err
		}
	}
	return nil
}

func repeated(t reflect.Type) bool {
	if t.Kind() == reflect.Map {
		return true
	}
	return t.Kind() == reflect.Slice && t.Elem().Kind() != reflect.Uint8
}
