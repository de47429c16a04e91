package config

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// This file implements a strict JSON decoder. json.Unmarshal accepts duplicate
// names and names that differ in case, and its errors do not say which element
// of a list is wrong. Here encoding/json checks the syntax first, and the
// decoder then scans the valid text and sets the fields without syntax checks
// of its own. (Decoding from the tokens of json.Decoder took 50 ms for 850 kB,
// which at the design target's rate of changes is most of a node's processor
// budget.) A value of the wrong type is reported and skipped, so that one run
// reports every fault.

// decoder decodes one document.
type decoder struct {
	body     []byte // valid JSON
	offset   int    // of the next byte to read
	path     []pathElement
	findings Findings
}

// pathElement is one element of the path to the value being decoded: a field
// name or, if that is empty, a list index.
type pathElement struct {
	field string
	index int
}

// decodeDocument decodes body into the struct that dst points to. Places in the
// findings begin with root, the name of the document.
func decodeDocument(root string, body []byte, dst any) Findings {
	d := &decoder{body: body, path: []pathElement{{field: root}}}
	if !json.Valid(body) {
		var raw json.RawMessage
		d.reportSyntaxError(json.Unmarshal(body, &raw))
		return d.findings
	}
	d.decodeValue(reflect.ValueOf(dst).Elem())
	return d.findings
}

// reportSyntaxError adds a finding with the line and column of a syntax error.
func (d *decoder) reportSyntaxError(err error) {
	offset := len(d.body)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = min(int(syntax.Offset), offset)
	}
	before := d.body[:offset]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	d.report(description(fmt.Sprintf("line %d, column %d", line, column)),
		"is not valid JSON ("+err.Error()+")", "correct the syntax there")
}

// report adds a finding about the value at the current path.
func (d *decoder) report(value any, problem, remedy string) {
	var b strings.Builder
	for i, s := range d.path {
		switch {
		case s.field == "":
			b.WriteString("[" + strconv.Itoa(s.index) + "]")
		case i == 0:
			b.WriteString(s.field)
		default:
			b.WriteString("." + s.field)
		}
	}
	d.findings.add(value, problem, remedy, "%s", b.String())
}

// peek skips white space and separators and returns the first byte of the next
// token without consuming it.
func (d *decoder) peek() byte {
	for {
		switch c := d.body[d.offset]; c {
		case ' ', '\t', '\r', '\n', ',', ':':
			d.offset++
		default:
			return c
		}
	}
}

// literal returns the source text of a string, a number, true, false or null.
func (d *decoder) literal() []byte {
	start := d.offset
	if d.body[d.offset] == '"' {
		for d.offset++; d.body[d.offset] != '"'; d.offset++ {
			if d.body[d.offset] == '\\' {
				d.offset++
			}
		}
		d.offset++
		return d.body[start:d.offset]
	}
	for d.offset < len(d.body) && strings.IndexByte(" \t\r\n,:]}", d.body[d.offset]) < 0 {
		d.offset++
	}
	return d.body[start:d.offset]
}

// decodeString decodes a string.
func (d *decoder) decodeString() string {
	l := d.literal()
	if bytes.IndexByte(l, '\\') < 0 {
		return string(l[1 : len(l)-1])
	}
	var s string
	if err := json.Unmarshal(l, &s); err != nil {
		panic("config: valid JSON has an invalid string: " + err.Error())
	}
	return s
}

// decodeValue decodes the next value into v.
func (d *decoder) decodeValue(v reflect.Value) {
	c := d.peek()
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(c, u)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		if c != '{' {
			d.reportWrongType("an object")
			return
		}
		d.decodeObject(v)
	case reflect.Slice:
		if c != '[' {
			d.reportWrongType("a list")
			return
		}
		d.decodeList(v)
	case reflect.String:
		if c != '"' {
			d.reportWrongType("a string")
			return
		}
		v.SetString(d.decodeString())
	case reflect.Bool:
		if c != 't' && c != 'f' {
			d.reportWrongType("true or false")
			return
		}
		v.SetBool(d.literal()[0] == 't')
	case reflect.Float64:
		d.decodeNumber("a number that fits 64 bits", func(s string) error {
			f, err := strconv.ParseFloat(s, 64)
			v.SetFloat(f)
			return err
		})
	case reflect.Int:
		d.decodeNumber("a whole number", func(s string) error {
			i, err := strconv.ParseInt(s, 10, strconv.IntSize)
			v.SetInt(i)
			return err
		})
	default:
		panic("config: no decoding for " + v.Type().String())
	}
}

// decodeNumber passes the next number to set and reports any other value, or
// one that set rejects, as not the expected type.
func (d *decoder) decodeNumber(expected string, set func(string) error) {
	start := d.offset
	if c := d.body[d.offset]; c == '-' || (c >= '0' && c <= '9') {
		if set(string(d.literal())) == nil {
			return
		}
	}
	d.offset = start
	d.reportWrongType(expected)
}

// decodeText decodes a time or an address, whose first byte is c.
func (d *decoder) decodeText(c byte, u encoding.TextUnmarshaler) {
	expected := "a time such as 2026-01-31T08:00:00Z"
	if reflect.TypeOf(u).Elem().PkgPath() == "net/netip" {
		expected = "an IP address and port such as 10.1.2.3:7070"
	}
	if c != '"' {
		d.reportWrongType(expected)
		return
	}
	s := d.decodeString()
	if err := u.UnmarshalText([]byte(s)); err != nil {
		d.report(s, "has the wrong form", "write "+expected)
	}
}

// decodeObject decodes an object into the struct v. Unknown and repeated names
// are reported.
func (d *decoder) decodeObject(v reflect.Value) {
	seen := make(map[string]bool, v.NumField())
	for d.offset++; d.peek() != '}'; {
		name := d.decodeString()
		d.peek()
		field := v.FieldByName(name)
		switch {
		case !field.IsValid():
			d.report(name, "is not a field", "remove it or correct its name; the fields are "+fieldNames(v.Type()))
			d.skipValue()
		case seen[name]:
			d.report(name, "is given twice", "remove one of the two")
			d.skipValue()
		default:
			seen[name] = true
			d.path = append(d.path, pathElement{field: name})
			d.decodeValue(field)
			d.path = d.path[:len(d.path)-1]
		}
	}
	d.offset++
}

// decodeList decodes a list into the slice v.
func (d *decoder) decodeList(v reflect.Value) {
	d.offset++
	for i := 0; d.peek() != ']'; i++ {
		d.path = append(d.path, pathElement{index: i})
		v.Grow(1)
		v.SetLen(i + 1)
		v.Index(i).SetZero()
		d.decodeValue(v.Index(i))
		d.path = d.path[:len(d.path)-1]
	}
	d.offset++
}

// reportWrongType reports and skips a value that is not of the expected type.
func (d *decoder) reportWrongType(expected string) {
	start := d.offset
	d.skipValue()
	var value any
	switch d.body[start] {
	case '{':
		value = description("an object")
	case '[':
		value = description("a list")
	case '"':
		d.offset = start
		value = d.decodeString()
	default:
		value = description(d.body[start:min(d.offset, start+maxShownBytes)])
	}
	d.report(value, "has the wrong type", "write "+expected)
}

// skipValue skips the next value, including nested ones.
func (d *decoder) skipValue() {
	for depth := 0; ; {
		switch d.peek() {
		case '{', '[':
			depth++
			d.offset++
		case '}', ']':
			depth--
			d.offset++
		default:
			d.literal()
		}
		if depth == 0 {
			return
		}
	}
}

// fieldNames returns the names of a struct type's fields, separated by commas.
func fieldNames(t reflect.Type) string {
	var names []string
	for f := range t.Fields() {
		names = append(names, f.Name)
	}
	return strings.Join(names, ", ")
}
