// Package strict decodes JSON with comments into Go values and reports every mistake with its line and path.
//
// Unknown fields, duplicate fields, wrong types and durations without a unit are mistakes. Decoding continues after a
// mistake, so that all of them are reported at once.
package strict

import (
	"bytes"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// MaxNesting is the maximum nesting depth of objects and lists. Parsers recurse once per level, so that deeper text could
// overflow their stack.
const MaxNesting = 64

// Problem is one mistake in the input.
type Problem struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"` // from 1; 0 if the input has no lines
	Path    string `json:"path"`           // such as "organisations.camurca.classes.chat.tier"
	Message string `json:"message"`        // what was found and what was expected
}

// String returns the form that commands print: file:line: path: message.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	}
	if p.Path != "" {
		fmt.Fprintf(&b, "%s: ", p.Path)
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems are all mistakes of one input. It is an error when it is not empty.
type Problems []Problem

// Error returns the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, nil if there is no problem.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Duration is a time.Duration that is written with its unit, such as "700ms".
type Duration time.Duration

// MarshalText returns the form with units.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText is the inverse of MarshalText.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration with a unit, such as \"700ms\" or \"30s\"", text)
	}
	*d = Duration(v)
	return nil
}

// Source maps the paths of an input's fields to their lines.
type Source struct {
	file  string
	lines map[string]int
}

// Line returns the line of path, or of the nearest enclosing field.
func (s *Source) Line(path string) int {
	for {
		if line, ok := s.lines[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return s.lines[""]
		}
		path = path[:cut]
	}
}

// Locate fills in file and line of problems that have a path, and sorts them by line.
func (s *Source) Locate(ps Problems) Problems {
	for i := range ps {
		ps[i].File = s.file
		if ps[i].Line == 0 {
			ps[i].Line = s.Line(ps[i].Path)
		}
	}
	sort.SliceStable(ps, func(i, j int) bool { return ps[i].Line < ps[j].Line })
	return ps
}

// Decode fills dst, a pointer to a struct, from JSON with comments. file is the name that the problems have.
func Decode(file string, data []byte, dst any) (*Source, Problems) {
	source := &Source{file: file, lines: map[string]int{"": 1}}
	if offset, ok := excessNesting(data); ok {
		line := newLineIndex(data).line(offset)
		return source, Problems{{File: file, Line: line, Message: fmt.Sprintf("nested more than %d deep", MaxNesting)}}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		p := Problem{File: file, Line: 1, Message: err.Error()}
		var column int
		if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &p.Line, &column); n == 2 {
			_, p.Message, _ = strings.Cut(err.Error(), ": line ")
			p.Message = "syntax error at line " + p.Message
		}
		return source, Problems{p}
	}
	d := &decoder{source: source, lines: newLineIndex(data)}
	d.decode("", root, reflect.ValueOf(dst).Elem())
	return source, source.Locate(d.problems)
}

// CheckNesting returns a problem if text is nested deeper than MaxNesting.
func CheckNesting(text string) Problems {
	if _, ok := excessNesting([]byte(text)); ok {
		return Problems{{Message: fmt.Sprintf("nested more than %d deep", MaxNesting)}}
	}
	return nil
}

// excessNesting returns the offset at which the nesting exceeds MaxNesting. Brackets in strings and comments don't count.
func excessNesting(data []byte) (offset int, ok bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '[', '{':
			if depth++; depth > MaxNesting {
				return i, true
			}
		case ']', '}':
			depth--
		case '"':
			i = endOfString(data, i)
		case '/':
			i = endOfComment(data, i)
		}
	}
	return 0, false
}

// endOfString returns the offset of the quote that ends the string at start.
func endOfString(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data)
}

// endOfComment returns the offset of the last byte of the comment at start, or start if there is no comment.
func endOfComment(data []byte, start int) int {
	rest := data[start:]
	end := ""
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = "\n"
	case bytes.HasPrefix(rest, []byte("/*")):
		end = "*/"
	default:
		return start
	}
	const opening = 2 // bytes
	i := bytes.Index(rest[opening:], []byte(end))
	if i < 0 {
		return len(data)
	}
	return start + opening + i + len(end) - 1
}

type decoder struct {
	source   *Source
	lines    lineIndex
	problems Problems
}

func (d *decoder) addProblem(path string, v hujson.Value, format string, args ...any) {
	p := Problem{Path: path, Line: d.lines.line(v.StartOffset), Message: fmt.Sprintf(format, args...)}
	d.problems = append(d.problems, p)
}

var textUnmarshaler = reflect.TypeFor[interface{ UnmarshalText([]byte) error }]()

func (d *decoder) decode(path string, v hujson.Value, dst reflect.Value) {
	if _, ok := d.source.lines[path]; !ok || path == "" {
		d.source.lines[path] = d.lines.line(v.StartOffset)
	}
	if dst.Kind() == reflect.Pointer {
		fresh := reflect.New(dst.Type().Elem())
		d.decode(path, v, fresh.Elem())
		dst.Set(fresh)
		return
	}
	if dst.Addr().Type().Implements(textUnmarshaler) {
		d.decodeText(path, v, dst)
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, v, dst)
	case reflect.Map:
		d.decodeMap(path, v, dst)
	case reflect.Slice:
		d.decodeSlice(path, v, dst)
	default:
		d.decodeScalar(path, v, dst)
	}
}

func (d *decoder) decodeText(path string, v hujson.Value, dst reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		d.addProblem(path, v, "expected %s in quotes, found %s", textForm(dst.Type()), describe(v))
		return
	}
	u := dst.Addr().Interface().(interface{ UnmarshalText([]byte) error })
	if err := u.UnmarshalText([]byte(lit.String())); err != nil {
		d.addProblem(path, v, "%v", err)
	}
}

// textForm describes the text that a type is decoded from, for error messages.
func textForm(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return "a duration with a unit, such as \"700ms\","
	}
	return "a text"
}

func (d *decoder) decodeStruct(path string, v hujson.Value, dst reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addProblem(path, v, "expected an object, found %s", describe(v))
		return
	}
	fields := fieldsOf(dst)
	d.forEachMember(path, obj, func(name, at string, m hujson.ObjectMember) {
		field, ok := fields[name]
		if !ok {
			d.addProblem(at, m.Name, "unknown field; expected one of %s", strings.Join(sortedNames(fields), ", "))
			return
		}
		d.decode(at, m.Value, field)
	})
}

func (d *decoder) decodeMap(path string, v hujson.Value, dst reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addProblem(path, v, "expected an object, found %s", describe(v))
		return
	}
	dst.Set(reflect.MakeMap(dst.Type()))
	d.forEachMember(path, obj, func(name, at string, m hujson.ObjectMember) {
		elem := reflect.New(dst.Type().Elem()).Elem()
		d.decode(at, m.Value, elem)
		dst.SetMapIndex(reflect.ValueOf(name), elem)
	})
}

// forEachMember calls f for each member of obj and reports duplicates.
func (d *decoder) forEachMember(path string, obj *hujson.Object, f func(name, at string, m hujson.ObjectMember)) {
	seen := make(map[string]bool, len(obj.Members))
	for _, m := range obj.Members {
		lit, _ := m.Name.Value.(hujson.Literal)
		name := lit.String()
		at := Join(path, name)
		if seen[name] {
			d.addProblem(at, m.Name, "duplicate field")
			continue
		}
		seen[name] = true
		d.source.lines[at] = d.lines.line(m.Name.StartOffset)
		f(name, at, m)
	}
}

func (d *decoder) decodeSlice(path string, v hujson.Value, dst reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addProblem(path, v, "expected a list, found %s", describe(v))
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements)))
	for i, e := range arr.Elements {
		d.decode(Index(path, i), e, dst.Index(i))
	}
}

func (d *decoder) decodeScalar(path string, v hujson.Value, dst reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok {
		d.addProblem(path, v, "expected %s, found %s", kindName(dst.Kind()), describe(v))
		return
	}
	kind := lit.Kind()
	switch {
	case dst.Kind() == reflect.String && kind == '"':
		dst.SetString(lit.String())
	case dst.Kind() == reflect.Bool && (kind == 't' || kind == 'f'):
		dst.SetBool(lit.Bool())
	case kind == '0' && setNumber(dst, string(lit)):
	default:
		d.addProblem(path, v, "expected %s, found %s", kindName(dst.Kind()), describe(v))
	}
}

func setNumber(dst reflect.Value, text string) bool {
	switch {
	case dst.CanInt():
		n, err := strconv.ParseInt(text, 10, dst.Type().Bits())
		dst.SetInt(n)
		return err == nil
	case dst.CanUint():
		n, err := strconv.ParseUint(text, 10, dst.Type().Bits())
		dst.SetUint(n)
		return err == nil
	case dst.CanFloat():
		n, err := strconv.ParseFloat(text, dst.Type().Bits())
		dst.SetFloat(n)
		return err == nil
	}
	return false
}

// fieldsOf returns the fields of a struct by their JSON names, those of embedded structs included.
func fieldsOf(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value)
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Anonymous {
			for name, inner := range fieldsOf(v.Field(i)) {
				fields[name] = inner
			}
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

func sortedNames(fields map[string]reflect.Value) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// describe returns the form of v in error messages: its type for an object or list, otherwise the shortened literal.
func describe(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	}
	const shown = 40 // bytes of a literal in a message
	text := string(v.Value.(hujson.Literal))
	if len(text) > shown {
		text = text[:shown] + "…"
	}
	return text
}

// Join returns the path of field name inside path.
func Join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// Index returns the path of element i of the list at path.
func Index(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// lineIndex holds the offset of each line's first byte.
type lineIndex []int

func newLineIndex(data []byte) lineIndex {
	index := lineIndex{0}
	for i, c := range data {
		if c == '\n' {
			index = append(index, i+1)
		}
	}
	return index
}

// line returns the line of the byte at offset, from 1.
func (l lineIndex) line(offset int) int {
	return sort.Search(len(l), func(i int) bool { return l[i] > offset })
}
