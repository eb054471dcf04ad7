package strict

import (
	"encoding/json"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"
)

// Decoder fills structs from a document.
type Decoder struct {
	// Fresh returns the value that a new record of a map starts from; nil
	// starts from zero values.
	Fresh func(reflect.Type) reflect.Value
}

// Decode fills target, a pointer to a struct, by its json tags. Fields that
// the document lacks keep their values. Unknown fields and wrong types become
// faults of the document.
func (d *Decoder) Decode(document *Document, target any) {
	d.decode(document, document.root, reflect.ValueOf(target).Elem(), nil)
}

func (d *Decoder) decode(document *Document, n *node, target reflect.Value, path []string) {
	if _, ok := target.Addr().Interface().(json.Unmarshaler); ok {
		decodeLiteral(document, n, target, path)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(document, n, target, path)
	case reflect.Map:
		d.decodeMap(document, n, target, path)
	case reflect.Slice:
		d.decodeSlice(document, n, target, path)
	default:
		decodeLiteral(document, n, target, path)
	}
}

func (d *Decoder) decodeStruct(document *Document, n *node, target reflect.Value, path []string) {
	if n.members == nil {
		document.fail(n, path, "want an object")
		return
	}
	fields := fieldsOf(target.Type())
	for _, name := range n.names() {
		index, ok := fields[name]
		if !ok {
			document.fail(n.members[name], append(path, name), "unknown field"+suggest(fields))
			continue
		}
		d.decode(document, n.members[name], target.Field(index), append(path, name))
	}
}

func (d *Decoder) decodeMap(document *Document, n *node, target reflect.Value, path []string) {
	if n.members == nil {
		document.fail(n, path, "want an object")
		return
	}
	kind := target.Type()
	filled := reflect.MakeMapWithSize(kind, len(n.members))
	for _, name := range n.names() {
		record := reflect.New(kind.Elem()).Elem()
		if d.Fresh != nil {
			record.Set(d.Fresh(kind.Elem()))
		}
		d.decode(document, n.members[name], record, append(path, name))
		filled.SetMapIndex(reflect.ValueOf(name), record)
	}
	target.Set(filled)
}

func (d *Decoder) decodeSlice(document *Document, n *node, target reflect.Value, path []string) {
	if n.elements == nil {
		document.fail(n, path, "want an array")
		return
	}
	if len(n.elements) == 0 {
		target.SetZero()
		return
	}
	filled := reflect.MakeSlice(target.Type(), len(n.elements), len(n.elements))
	for i, element := range n.elements {
		d.decode(document, element, filled.Index(i), append(path, strconv.Itoa(i)))
	}
	target.Set(filled)
}

func decodeLiteral(document *Document, n *node, target reflect.Value, path []string) {
	if n.literal == nil || n.isNull() {
		document.fail(n, path, "want "+wanted(target))
		return
	}
	if err := json.Unmarshal(n.literal, target.Addr().Interface()); err != nil {
		document.fail(n, path, "want "+wanted(target))
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

func (n *node) names() []string {
	names := make([]string, 0, len(n.members))
	for name := range n.members {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

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
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return "; known are " + strings.Join(names, ", ")
}
