package strict

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Decode fills target, a pointer to a struct, according to its json tags. Fields
// that are not in the document keep their values. Each value of a map starts from
// the value that fresh returns for its type, or from the zero value if fresh is nil.
// Unknown fields and wrong types are added to the document's diagnostics.
func (d *Document) Decode(target any, fresh func(reflect.Type) reflect.Value) {
	decoder := decoder{document: d, fresh: fresh}
	decoder.decode(d.root, reflect.ValueOf(target).Elem(), nil)
}

// decoder fills one struct from a document.
type decoder struct {
	document *Document
	fresh    func(reflect.Type) reflect.Value
}

func (d *decoder) decode(n *node, target reflect.Value, path []string) {
	if _, ok := target.Addr().Interface().(json.Unmarshaler); ok {
		d.decodeLiteral(n, target, path)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, target, path)
	case reflect.Map:
		d.decodeMap(n, target, path)
	case reflect.Slice:
		d.decodeSlice(n, target, path)
	default:
		d.decodeLiteral(n, target, path)
	}
}

func (d *decoder) decodeStruct(n *node, target reflect.Value, path []string) {
	if n.members == nil {
		d.document.report(n, path, "want an object")
		return
	}
	fields := fieldsOf(target.Type())
	for _, name := range n.names() {
		index, ok := fields[name]
		if !ok {
			d.document.report(n.members[name], append(path, name), "unknown field"+knownFields(fields))
			continue
		}
		d.decode(n.members[name], target.Field(index), append(path, name))
	}
}

func (d *decoder) decodeMap(n *node, target reflect.Value, path []string) {
	if n.members == nil {
		d.document.report(n, path, "want an object")
		return
	}
	kind := target.Type()
	filled := reflect.MakeMapWithSize(kind, len(n.members))
	for _, name := range n.names() {
		record := reflect.New(kind.Elem()).Elem()
		if d.fresh != nil {
			record.Set(d.fresh(kind.Elem()))
		}
		d.decode(n.members[name], record, append(path, name))
		filled.SetMapIndex(reflect.ValueOf(name), record)
	}
	target.Set(filled)
}

func (d *decoder) decodeSlice(n *node, target reflect.Value, path []string) {
	if n.elements == nil {
		d.document.report(n, path, "want an array")
		return
	}
	if len(n.elements) == 0 {
		target.SetZero()
		return
	}
	filled := reflect.MakeSlice(target.Type(), len(n.elements), len(n.elements))
	for i, element := range n.elements {
		d.decode(element, filled.Index(i), append(path, strconv.Itoa(i)))
	}
	target.Set(filled)
}

func (d *decoder) decodeLiteral(n *node, target reflect.Value, path []string) {
	if n.literal == nil || n.isNull() {
		d.document.report(n, path, "want "+expectedType(target))
		return
	}
	if err := json.Unmarshal(n.literal, target.Addr().Interface()); err != nil {
		d.document.report(n, path, "want "+expectedType(target))
	}
}

// expectedType describes the type of target for the author of a file.
func expectedType(target reflect.Value) string {
	if _, ok := target.Addr().Interface().(json.Unmarshaler); ok {
		return `a duration such as "250ms", "3s" or "24h"`
	}
	switch target.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64, reflect.Float32:
		return "a number"
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		return "a whole number of 0 or more"
	}
	return "a whole number"
}

// names returns the names of an object's members in order.
func (n *node) names() []string { return slices.Sorted(maps.Keys(n.members)) }

// fieldsOf returns the indexes of a struct's fields by the names in their json tags.
func fieldsOf(kind reflect.Type) map[string]int {
	fields := make(map[string]int, kind.NumField())
	for i := range kind.NumField() {
		name, _, _ := strings.Cut(kind.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

// knownFields returns the part of an error message that lists the known fields.
func knownFields(fields map[string]int) string {
	return "; known are " + strings.Join(slices.Sorted(maps.Keys(fields)), ", ")
}
