// Package strict decodes JSON with comments into structs and reports every
// fault with its file, line, column and field.
package strict

import (
	"bytes"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

const (
	// maxSize is the largest file accepted, in bytes.
	maxSize = 4 << 20
	// maxDepth is how deep objects and arrays may be nested; the parser
	// recurses once for each level.
	maxDepth = 32
)

// Document is the merged content of some files.
type Document struct {
	root *node
	// Diagnostics are those found so far.
	Diagnostics Diagnostics
}

// node is a JSON value with the place it came from. Exactly one of members,
// elements and literal is set.
type node struct {
	file         string
	line, column int
	members      map[string]*node
	elements     []*node
	literal      hujson.Literal
}

// New returns a document that is an empty object.
func New() *Document {
	return &Document{root: &node{members: map[string]*node{}}}
}

// Merge lays the content of a file over the document: objects merge by name,
// null deletes, anything else replaces. A file that is no object is left out.
func (d *Document) Merge(file string, text []byte) {
	root := d.parse(file, text)
	if root == nil {
		return
	}
	d.root.file, d.root.line, d.root.column = root.file, root.line, root.column
	overlay(d.root, root)
}

// parse returns the object that a file holds; nil after a fault.
func (d *Document) parse(file string, text []byte) *node {
	if len(text) > maxSize {
		d.fail(&node{file: file}, nil, "larger than "+strconv.Itoa(maxSize)+" bytes")
		return nil
	}
	if at := tooDeep(text); at >= 0 {
		d.fail(newPlace(file, text, at), nil, "nested deeper than "+strconv.Itoa(maxDepth)+" levels")
		return nil
	}
	value, err := parseValue(text)
	if err != nil {
		d.fail(newParsePlace(file, err), nil, parseText(err))
		return nil
	}
	builder := builder{document: d, file: file, text: text}
	root := builder.build(&value, nil)
	if root.members == nil {
		d.fail(root, nil, "want an object")
		return nil
	}
	return root
}

// parseValue accepts a comment at the end that no line's end follows, which
// the parser does not.
func parseValue(text []byte) (hujson.Value, error) {
	value, err := hujson.Parse(text)
	if err == nil {
		return value, nil
	}
	if ended, again := hujson.Parse(append(slices.Clip(text), '\n')); again == nil {
		return ended, nil
	}
	return value, err
}

// overlay merges from into the object to.
func overlay(to, from *node) {
	for name, value := range from.members {
		old := to.members[name]
		switch {
		case value.isNull():
			delete(to.members, name)
		case value.members == nil:
			to.members[name] = value
		case old == nil || old.members == nil:
			fresh := &node{file: value.file, line: value.line, column: value.column, members: map[string]*node{}}
			overlay(fresh, value)
			to.members[name] = fresh
		default:
			overlay(old, value)
		}
	}
}

func (n *node) isNull() bool { return n.literal != nil && n.literal.Kind() == 'n' }

// Find returns file, line and column of the field that the path leads to, or
// of the nearest field around it that exists.
func (d *Document) Find(path []string) (file string, line, column int) {
	at := d.root
	for _, name := range path {
		next := at.child(name)
		if next == nil {
			break
		}
		at = next
	}
	return at.file, at.line, at.column
}

func (n *node) child(name string) *node {
	if n.members != nil {
		return n.members[name]
	}
	index, err := strconv.Atoi(name)
	if err != nil || index < 0 || index >= len(n.elements) {
		return nil
	}
	return n.elements[index]
}

// AddDiagnostics adds faults that know only their path, with their places. It leaves
// out those at a field that already has one. The fault of a file left out is
// at the root, around every field: what the others miss may stand in that
// file.
func (d *Document) AddDiagnostics(faults Diagnostics) {
	known := len(d.Diagnostics)
	for _, one := range faults {
		if slices.ContainsFunc(d.Diagnostics[:known], func(old Diagnostic) bool { return touches(old.Path, one.Path) }) {
			continue
		}
		one.File, one.Line, one.Column = d.Find(one.Path)
		d.Diagnostics = append(d.Diagnostics, one)
	}
}

// touches reports whether one path leads through the other.
func touches(a, b []string) bool {
	shorter := min(len(a), len(b))
	return slices.Equal(a[:shorter], b[:shorter])
}

func (d *Document) fail(at *node, path []string, text string) {
	d.Diagnostics.Add(path, "%s", text)
	last := &d.Diagnostics[len(d.Diagnostics)-1]
	last.File, last.Line, last.Column = at.file, at.line, at.column
}

// builder turns the syntax tree of one file into nodes.
type builder struct {
	document *Document
	file     string
	text     []byte
	// from, line and start continue the count of lines, so that placing all
	// nodes of a file takes one pass over it.
	from, line, start int
}

func (b *builder) build(value *hujson.Value, path []string) *node {
	n := b.place(value.StartOffset)
	switch content := value.Value.(type) {
	case *hujson.Object:
		b.buildMembers(n, content, path)
	case *hujson.Array:
		n.elements = make([]*node, 0, len(content.Elements))
		for i := range content.Elements {
			n.elements = append(n.elements, b.build(&content.Elements[i], append(path, strconv.Itoa(i))))
		}
	case hujson.Literal:
		n.literal = content
	}
	return n
}

func (b *builder) buildMembers(n *node, object *hujson.Object, path []string) {
	n.members = make(map[string]*node, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		inner := append(path, name)
		at := b.place(member.Name.StartOffset)
		child := b.build(&member.Value, inner)
		child.line, child.column = at.line, at.column
		if n.members[name] != nil {
			b.document.fail(at, inner, "named twice in this object")
		}
		n.members[name] = child
	}
}

func (b *builder) place(offset int) *node {
	passed := b.text[b.from:offset]
	b.line += bytes.Count(passed, []byte("\n"))
	if last := bytes.LastIndexByte(passed, '\n'); last >= 0 {
		b.start = b.from + last + 1
	}
	b.from = offset
	return &node{file: b.file, line: b.line + 1, column: offset - b.start + 1}
}

func newPlace(file string, text []byte, offset int) *node {
	b := builder{file: file, text: text}
	return b.place(offset)
}

var parsePlace = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)`)

func newParsePlace(file string, err error) *node {
	n := &node{file: file}
	if found := parsePlace.FindStringSubmatch(err.Error()); found != nil {
		n.line, _ = strconv.Atoi(found[1])
		n.column, _ = strconv.Atoi(found[2])
	}
	return n
}

// parseText drops the place and, since it may be a secret, the literal.
func parseText(err error) string {
	text := err.Error()
	if found := parsePlace.FindStringSubmatch(text); found != nil {
		text = found[3]
	}
	text, _, _ = strings.Cut(text, "invalid literal: ")
	if text == "" {
		return "invalid literal"
	}
	return text
}
