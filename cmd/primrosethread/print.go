package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// This file prints any JSON object for people. Fields keep the order of the
// answer. A list of objects, or an object of objects, becomes a table; other
// objects become indented lines. The command does not know the fields, so a
// newer node can be asked with an older command.

// object is a JSON object that keeps the order of its fields. The other values
// are those of encoding/json with json.Number.
type object []field

type field struct {
	name  string
	value any
}

func (o object) get(name string) (any, bool) {
	i := slices.IndexFunc(o, func(f field) bool { return f.name == name })
	if i < 0 {
		return nil, false
	}
	return o[i].value, true
}

// printJSON prints a JSON object.
func printJSON(out io.Writer, body []byte) error {
	if !json.Valid(body) {
		return fmt.Errorf("the answer is not JSON; check that -admin is the admin-listen address of a node")
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	v, err := decodeOrdered(dec)
	if err != nil {
		return err
	}
	o, ok := v.(object)
	if !ok {
		return fmt.Errorf("the answer is not a JSON object; check that -admin is the admin-listen address of a node")
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	printObject(w, o, "")
	return w.Flush()
}

// decodeOrdered decodes the next value.
func decodeOrdered(dec *json.Decoder) (any, error) {
	t, err := dec.Token()
	if err != nil {
		return nil, err
	}
	switch t {
	case json.Delim('{'):
		o := object{}
		for dec.More() {
			name, err := dec.Token()
			if err != nil {
				return nil, err
			}
			v, err := decodeOrdered(dec)
			if err != nil {
				return nil, err
			}
			o = append(o, field{name.(string), v})
		}
		_, err := dec.Token()
		return o, err
	case json.Delim('['):
		l := []any{}
		for dec.More() {
			v, err := decodeOrdered(dec)
			if err != nil {
				return nil, err
			}
			l = append(l, v)
		}
		_, err := dec.Token()
		return l, err
	}
	return t, nil
}

// printObject prints each field in turn: a plain one on a line, a table or a
// nested object under its name.
func printObject(w *tabwriter.Writer, o object, indent string) {
	for _, f := range o {
		name := plain(f.name)
		if head, rows, ok := table(f.value); ok {
			w.Flush() // columns are aligned within one table
			fmt.Fprintf(w, "%s%s (%d)\n", indent, name, len(rows))
			printTable(w, head, rows, indent+"  ")
			continue
		}
		if nested, ok := f.value.(object); ok && len(nested) > 0 {
			w.Flush()
			fmt.Fprintf(w, "%s%s\n", indent, name)
			printObject(w, nested, indent+"  ")
			w.Flush()
			continue
		}
		fmt.Fprintf(w, "%s%s\t%s\n", indent, name, cell(f.value))
	}
}

// table returns the columns and rows of a value that is shown as a table.
func table(v any) (head []string, rows []object, ok bool) {
	switch v := v.(type) {
	case []any:
		for _, e := range v {
			o, ok := e.(object)
			if !ok {
				return nil, nil, false
			}
			rows = append(rows, o)
		}
	case object:
		for _, f := range v {
			o, ok := f.value.(object)
			if !ok {
				return nil, nil, false
			}
			if _, named := o.get("Name"); !named {
				o = append(object{{"Name", f.name}}, o...)
			}
			rows = append(rows, o)
		}
	}
	for _, r := range rows {
		for _, f := range r {
			if !slices.Contains(head, f.name) {
				head = append(head, f.name)
			}
		}
	}
	return head, rows, len(rows) > 0
}

// printTable prints rows under the names of their columns.
func printTable(w *tabwriter.Writer, head []string, rows []object, indent string) {
	names := make([]string, len(head))
	for i, name := range head {
		names[i] = plain(name)
	}
	fmt.Fprintf(w, "%s%s\n", indent, strings.Join(names, "\t"))
	for _, r := range rows {
		cells := make([]string, len(head))
		for i, name := range head {
			cells[i] = "-"
			if v, ok := r.get(name); ok {
				cells[i] = cell(v)
			}
		}
		fmt.Fprintf(w, "%s%s\n", indent, strings.Join(cells, "\t"))
	}
	w.Flush()
}

// cell formats a value on one line.
func cell(v any) string {
	switch v := v.(type) {
	case nil:
		return "-"
	case string:
		return plain(v)
	case object:
		parts := make([]string, len(v))
		for i, f := range v {
			parts[i] = plain(f.name) + "=" + cell(f.value)
		}
		return orDash(strings.Join(parts, " "))
	case []any:
		parts := make([]string, len(v))
		for i, e := range v {
			parts[i] = cell(e)
		}
		return orDash(strings.Join(parts, ", "))
	}
	return fmt.Sprint(v)
}

// plain returns text as it is if it can be shown in a terminal, and quoted
// otherwise, so that an answer cannot send control sequences.
func plain(s string) string {
	if q := strconv.Quote(s); q[1:len(q)-1] != s {
		return q
	}
	return orDash(s)
}

// orDash shows an empty value, so that it is not mistaken for the next column.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
