// Package strict decodes JSON with comments into structs and reports every problem
// with its file, line, column and field.
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
	// maxSize is the maximum size of a file, in bytes.
	maxSize = 4 << 20
	// maxDepth is the maximum nesting of objects and arrays. The parser recurses
	// once for each level.
	maxDepth = 32
)

// Document is the merged content of several files.
type Document struct {
	root *node
	// Diagnostics are the problems found so far.
	Diagnostics Diagnostics
}

// node is a JSON value with its position in a file. Exactly one of members, elements
// and literal is set.
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

// Merge merges the content of a file into the document: objects are merged by name,
// null deletes a member, and any other value replaces it. A file that cannot be
// parsed or is no object is reported and left out.
func (d *Document) Merge(file string, text []byte) {
	root := d.parse(file, text)
	if root == nil {
		return
	}
	d.root.file, d.root.line, d.root.column = root.file, root.line, root.column
	mergeObject(d.root, root)
}

// parse returns the object in a file, or nil after it has reported a problem.
func (d *Document) parse(file string, text []byte) *node {
	if len(text) > maxSize {
		d.report(&node{file: file}, nil, "larger than "+strconv.Itoa(maxSize)+" bytes")
		return nil
	}
	if at := findTooDeep(text); at >= 0 {
		d.report(nodeAt(file, text, at), nil, "nested deeper than "+strconv.Itoa(maxDepth)+" levels")
		return nil
	}
	value, err := parseValue(text)
	if err != nil {
		d.report(nodeAtParseError(file, err), nil, parseErrorMessage(err))
		return nil
	}
	builder := builder{document: d, file: file, text: text}
	root := builder.build(&value, nil)
	if root.members == nil {
		d.report(root, nil, "want an object")
		return nil
	}
	return root
}

// parseValue parses a file. Unlike the parser, it accepts a comment at the end of the
// file without a line break after it.
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

// mergeObject merges the object from into the object to.
func mergeObject(to, from *node) {
	for name, value := range from.members {
		old := to.members[name]
		switch {
		case value.isNull():
			delete(to.members, name)
		case value.members == nil:
			to.members[name] = value
		case old == nil || old.members == nil:
			fresh := &node{file: value.file, line: value.line, column: value.column, members: map[string]*node{}}
			mergeObject(fresh, value)
			to.members[name] = fresh
		default:
			mergeObject(old, value)
		}
	}
}

func (n *node) isNull() bool { return n.literal != nil && n.literal.Kind() == 'n' }

// Find returns the position of the field at path, or of the innermost enclosing field
// that exists.
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

// AddDiagnostics adds diagnostics that have only a path, such as those of a check of
// the decoded struct, and sets their positions. It skips those at, inside or around
// a field that already has a diagnostic. A file that was left out has a diagnostic at
// the root, which encloses all fields; then all are skipped, because a field that
// seems to be missing may be in that file.
func (d *Document) AddDiagnostics(diagnostics Diagnostics) {
	known := len(d.Diagnostics)
	for _, one := range diagnostics {
		if slices.ContainsFunc(d.Diagnostics[:known], func(old Diagnostic) bool { return overlaps(old.Path, one.Path) }) {
			continue
		}
		one.File, one.Line, one.Column = d.Find(one.Path)
		d.Diagnostics = append(d.Diagnostics, one)
	}
}

// overlaps reports whether one path is a prefix of the other.
func overlaps(a, b []string) bool {
	shorter := min(len(a), len(b))
	return slices.Equal(a[:shorter], b[:shorter])
}

// report adds a diagnostic at the position of a node.
func (d *Document) report(at *node, path []string, text string) {
	d.Diagnostics.Add(path, "%s", text)
	last := &d.Diagnostics[len(d.Diagnostics)-1]
	last.File, last.Line, last.Column = at.file, at.line, at.column
}

// builder converts the syntax tree of one file to nodes.
type builder struct {
	document *Document
	file     string
	text     []byte
	// countedTo is the offset up to which lines were counted, line is their number
	// and lineStart the offset of the current line. They make the computation of all
	// positions in a file take one pass over its text.
	countedTo, line, lineStart int
}

func (b *builder) build(value *hujson.Value, path []string) *node {
	n := b.nodeAtOffset(value.StartOffset)
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
		at := b.nodeAtOffset(member.Name.StartOffset)
		child := b.build(&member.Value, inner)
		child.line, child.column = at.line, at.column
		if n.members[name] != nil {
			b.document.report(at, inner, "named twice in this object")
		}
		n.members[name] = child
	}
}

// nodeAtOffset returns an empty node with the position of an offset. Offsets must not
// decrease from call to call.
func (b *builder) nodeAtOffset(offset int) *node {
	passed := b.text[b.countedTo:offset]
	b.line += bytes.Count(passed, []byte("\n"))
	if last := bytes.LastIndexByte(passed, '\n'); last >= 0 {
		b.lineStart = b.countedTo + last + 1
	}
	b.countedTo = offset
	return &node{file: b.file, line: b.line + 1, column: offset - b.lineStart + 1}
}

// nodeAt returns an empty node with the position of an offset in text.
func nodeAt(file string, text []byte, offset int) *node {
	b := builder{file: file, text: text}
	return b.nodeAtOffset(offset)
}

// parseErrorPattern matches the parser's errors: line, column and text.
var parseErrorPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)`)

// nodeAtParseError returns an empty node with the position of a parse error.
func nodeAtParseError(file string, err error) *node {
	n := &node{file: file}
	if found := parseErrorPattern.FindStringSubmatch(err.Error()); found != nil {
		n.line, _ = strconv.Atoi(found[1])
		n.column, _ = strconv.Atoi(found[2])
	}
	return n
}

// parseErrorMessage returns the text of a parse error without the position and
// without the literal, which may be a secret.
func parseErrorMessage(err error) string {
	text := err.Error()
	if found := parseErrorPattern.FindStringSubmatch(text); found != nil {
		text = found[3]
	}
	text, _, _ = strings.Cut(text, "invalid literal: ")
	if text == "" {
		return "invalid literal"
	}
	return text
}
