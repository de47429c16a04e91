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

// This file prints a JSON object in readable form. Fields keep the order of the
// response. A list of objects, or an object of objects, becomes a table; other
// objects become indented lines. The code knows none of the field names, so an
// older command can show the state of a newer node.

// object is a JSON object that keeps the order of its fields. All other values
// are represented as encoding/json does with Decoder.UseNumber.
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

// printJSON prints the JSON object in body.
func printJSON(out io.Writer, body []byte) error {
	if !json.Valid(body) {
		return fmt.Errorf("the response is not JSON; check that -admin is the admin-listen address of a node")
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	v, err := decodeOrdered(dec)
	if err != nil {
		return err
	}
	obj, ok := v.(object)
	if !ok {
		return fmt.Errorf("the response is not a JSON object; check that -admin is the admin-listen address of a node")
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	printObject(w, obj, "")
	return w.Flush()
}

// decodeOrdered decodes the next JSON value, with objects as type object.
func decodeOrdered(dec *json.Decoder) (any, error) {
	token, err := dec.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		obj := object{}
		for dec.More() {
			name, err := dec.Token()
			if err != nil {
				return nil, err
			}
			v, err := decodeOrdered(dec)
			if err != nil {
				return nil, err
			}
			obj = append(obj, field{name.(string), v})
		}
		_, err := dec.Token()
		return obj, err
	case json.Delim('['):
		list := []any{}
		for dec.More() {
			v, err := decodeOrdered(dec)
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		_, err := dec.Token()
		return list, err
	}
	return token, nil
}

// printObject prints each field: a scalar on one line, a table or a nested object
// below a line with its name.
func printObject(w *tabwriter.Writer, obj object, indent string) {
	for _, f := range obj {
		name := printable(f.name)
		if columns, rows, ok := asTable(f.value); ok {
			w.Flush() // align columns only within one table
			fmt.Fprintf(w, "%s%s (%d)\n", indent, name, len(rows))
			printTable(w, columns, rows, indent+"  ")
			continue
		}
		if nested, ok := f.value.(object); ok && len(nested) > 0 {
			w.Flush()
			fmt.Fprintf(w, "%s%s\n", indent, name)
			printObject(w, nested, indent+"  ")
			w.Flush()
			continue
		}
		fmt.Fprintf(w, "%s%s\t%s\n", indent, name, formatValue(f.value))
	}
}

// asTable returns the columns and rows of a value that is printed as a table. For
// an object of objects, the names of the fields become the column Name. It returns
// false for a value that is not printed as a table.
func asTable(v any) (columns []string, rows []object, ok bool) {
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
			if !slices.Contains(columns, f.name) {
				columns = append(columns, f.name)
			}
		}
	}
	return columns, rows, len(rows) > 0
}

// printTable prints the rows below a line with the column names.
func printTable(w *tabwriter.Writer, columns []string, rows []object, indent string) {
	names := make([]string, len(columns))
	for i, name := range columns {
		names[i] = printable(name)
	}
	fmt.Fprintf(w, "%s%s\n", indent, strings.Join(names, "\t"))
	for _, r := range rows {
		cells := make([]string, len(columns))
		for i, name := range columns {
			cells[i] = "-"
			if v, ok := r.get(name); ok {
				cells[i] = formatValue(v)
			}
		}
		fmt.Fprintf(w, "%s%s\n", indent, strings.Join(cells, "\t"))
	}
	w.Flush()
}

// formatValue formats a value on one line.
func formatValue(v any) string {
	switch v := v.(type) {
	case nil:
		return "-"
	case string:
		return printable(v)
	case object:
		parts := make([]string, len(v))
		for i, f := range v {
			parts[i] = printable(f.name) + "=" + formatValue(f.value)
		}
		return orDash(strings.Join(parts, " "))
	case []any:
		parts := make([]string, len(v))
		for i, e := range v {
			parts[i] = formatValue(e)
		}
		return orDash(strings.Join(parts, ", "))
	}
	return fmt.Sprint(v)
}

// printable quotes text that contains non-printable characters, so that a response
// cannot send control sequences to the terminal. Other text stays unchanged.
func printable(s string) string {
	if quoted := strconv.Quote(s); quoted[1:len(quoted)-1] != s {
		return quoted
	}
	return orDash(s)
}

// orDash returns a dash for an empty value, since an empty cell would make the
// columns of a table ambiguous.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
