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

// This file decodes JSON strictly. json.Unmarshal accepts duplicate names and
// names in another case, and its errors do not say which element of a list is
// wrong. So encoding/json checks the syntax, and a walk over the valid text
// sets the fields. The walk needs no syntax checks of its own. (A walk over the
// tokens of json.Decoder took 50 ms for 850 kB, which at the target's rate of
// changes is most of a node's processor budget.) A value of the wrong type is
// reported and skipped, so that one run shows every fault.

// decoder decodes one document.
type decoder struct {
	body  []byte // valid JSON
	at    int    // the next byte to read
	path  []step
	found Findings
}

// step is one element of the place that is being decoded: a field or, if the
// field is empty, an index.
type step struct {
	field string
	index int
}

// decode fills the struct that into points to. The root names the document in
// places.
func decode(root string, body []byte, into any) Findings {
	d := &decoder{body: body, path: []step{{field: root}}}
	if !json.Valid(body) {
		var raw json.RawMessage
		d.malformed(json.Unmarshal(body, &raw))
		return d.found
	}
	d.value(reflect.ValueOf(into).Elem())
	return d.found
}

// malformed reports a syntax error with its line and column.
func (d *decoder) malformed(err error) {
	at := len(d.body)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		at = min(int(syntax.Offset), at)
	}
	before := d.body[:at]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	d.add(unshown(fmt.Sprintf("line %d, column %d", line, column)),
		"is not valid JSON ("+err.Error()+")", "correct the syntax there")
}

// add reports a value at the current place.
func (d *decoder) add(value any, problem, remedy string) {
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
	d.found.add(value, problem, remedy, "%s", b.String())
}

// next returns the first byte of the next token and stays before it.
func (d *decoder) next() byte {
	for {
		switch c := d.body[d.at]; c {
		case ' ', '\t', '\r', '\n', ',', ':':
			d.at++
		default:
			return c
		}
	}
}

// literal reads a string, a number, true, false or null as it is written.
func (d *decoder) literal() []byte {
	start := d.at
	if d.body[d.at] == '"' {
		for d.at++; d.body[d.at] != '"'; d.at++ {
			if d.body[d.at] == '\\' {
				d.at++
			}
		}
		d.at++
		return d.body[start:d.at]
	}
	for d.at < len(d.body) && strings.IndexByte(" \t\r\n,:]}", d.body[d.at]) < 0 {
		d.at++
	}
	return d.body[start:d.at]
}

// text reads a string.
func (d *decoder) text() string {
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

// value decodes the next value into v.
func (d *decoder) value(v reflect.Value) {
	c := d.next()
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.unmarshal(c, u)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		if c != '{' {
			d.wrong("an object")
			return
		}
		d.object(v)
	case reflect.Slice:
		if c != '[' {
			d.wrong("a list")
			return
		}
		d.list(v)
	case reflect.String:
		if c != '"' {
			d.wrong("a string")
			return
		}
		v.SetString(d.text())
	case reflect.Bool:
		if c != 't' && c != 'f' {
			d.wrong("true or false")
			return
		}
		v.SetBool(d.literal()[0] == 't')
	case reflect.Float64:
		d.number("a number that fits 64 bits", func(s string) error {
			f, err := strconv.ParseFloat(s, 64)
			v.SetFloat(f)
			return err
		})
	case reflect.Int:
		d.number("a whole number", func(s string) error {
			i, err := strconv.ParseInt(s, 10, strconv.IntSize)
			v.SetInt(i)
			return err
		})
	default:
		panic("config: no decoding for " + v.Type().String())
	}
}

// number decodes a number with set.
func (d *decoder) number(want string, set func(string) error) {
	start := d.at
	if c := d.body[d.at]; c == '-' || (c >= '0' && c <= '9') {
		if set(string(d.literal())) == nil {
			return
		}
	}
	d.at = start
	d.wrong(want)
}

// unmarshal decodes times and addresses.
func (d *decoder) unmarshal(c byte, u encoding.TextUnmarshaler) {
	want := "a time such as 2026-01-31T08:00:00Z"
	if reflect.TypeOf(u).Elem().PkgPath() == "net/netip" {
		want = "an IP address and port such as 10.1.2.3:7070"
	}
	if c != '"' {
		d.wrong(want)
		return
	}
	s := d.text()
	if err := u.UnmarshalText([]byte(s)); err != nil {
		d.add(s, "has the wrong form", "write "+want)
	}
}

// object decodes an object.
func (d *decoder) object(v reflect.Value) {
	seen := make(map[string]bool, v.NumField())
	for d.at++; d.next() != '}'; {
		name := d.text()
		d.next()
		field := v.FieldByName(name)
		switch {
		case !field.IsValid():
			d.add(name, "is not a field", "remove it or correct its name; the fields are "+fields(v.Type()))
			d.skip()
		case seen[name]:
			d.add(name, "is given twice", "remove one of the two")
			d.skip()
		default:
			seen[name] = true
			d.path = append(d.path, step{field: name})
			d.value(field)
			d.path = d.path[:len(d.path)-1]
		}
	}
	d.at++
}

// list decodes a list.
func (d *decoder) list(v reflect.Value) {
	d.at++
	for i := 0; d.next() != ']'; i++ {
		d.path = append(d.path, step{index: i})
		v.Grow(1)
		v.SetLen(i + 1)
		v.Index(i).SetZero()
		d.value(v.Index(i))
		d.path = d.path[:len(d.path)-1]
	}
	d.at++
}

// wrong reports a value of the wrong type and skips it.
func (d *decoder) wrong(want string) {
	start := d.at
	d.skip()
	var value any
	switch d.body[start] {
	case '{':
		value = unshown("an object")
	case '[':
		value = unshown("a list")
	case '"':
		d.at = start
		value = d.text()
	default:
		value = unshown(d.body[start:min(d.at, start+maxShown)])
	}
	d.add(value, "has the wrong type", "write "+want)
}

// skip passes over the next value.
func (d *decoder) skip() {
	for depth := 0; ; {
		switch d.next() {
		case '{', '[':
			depth++
			d.at++
		case '}', ']':
			depth--
			d.at++
		default:
			d.literal()
		}
		if depth == 0 {
			return
		}
	}
}

// fields lists the fields of a struct type.
func fields(t reflect.Type) string {
	var names []string
	for f := range t.Fields() {
		names = append(names, f.Name)
	}
	return strings.Join(names, ", ")
}
