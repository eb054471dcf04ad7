package strict

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// Decode fills target, a pointer to a struct, by its json tags. Fields that
// the document lacks keep their values. A new record of a map starts from what
// fresh returns for its type; nil starts from zero values. Unknown fields and
// wrong types become faults of the document.
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
		d.document.fail(n, path, "want an object")
		return
	}
	fields := fieldsOf(target.Type())
	for _, name := range n.names() {
		index, ok := fields[name]
		if !ok {
			d.document.fail(n.members[name], append(path, name), "unknown field"+suggest(fields))
			continue
		}
		d.decode(n.members[name], target.Field(index), append(path, name))
	}
}

func (d *decoder) decodeMap(n *node, target reflect.Value, path []string) {
	if n.members == nil {
		d.document.fail(n, path, "want an object")
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
		d.document.fail(n, path, "want an array")
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
		d.document.fail(n, path, "want "+wanted(target))
		return
	}
	if err := json.Unmarshal(n.literal, target.Addr().Interface()); err != nil {
		d.document.fail(n, path, "want "+wanted(target))
	}
}

// wanted names the type in the words of a person who writes the file.
func wanted(target reflect.Value) string {
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

func (n *node) names() []string { return slices.Sorted(maps.Keys(n.members)) }

// fieldsOf returns the index of each field by the name in its json tag.
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

// suggest lists the known fields.
func suggest(fields map[string]int) string {
	return "; known are " + strings.Join(slices.Sorted(maps.Keys(fields)), ", ")
}
